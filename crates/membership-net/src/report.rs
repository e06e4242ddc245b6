//! Reports for operators. The names in JSON follow the operators' documentation.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use woadstall_membership::{Node, Observation, PathCounts, PathState, Timestamp, Verdict};

/// Counters of messages that were rejected or not sent since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionCounters {
    /// Messages in an unknown format, as sent by members of another version.
    pub other_version: u64,
    /// Messages that are not authentic under any key.
    pub other_key: u64,
    /// Messages that were received before (replays).
    #[serde(rename = "had_before")]
    pub replayed: u64,
    /// Frames or messages that could not be decoded.
    #[serde(rename = "no_message")]
    pub malformed: u64,
    /// Incoming streams rejected at the limit of simultaneous streams.
    #[serde(rename = "turned_away")]
    pub streams_rejected: u64,
    /// Messages that were not sent because a queue was full.
    pub not_sent: u64,
    /// Steps of the event loop that were skipped because the process hung.
    #[serde(rename = "held_back")]
    pub hung_steps: u64,
}

/// State of a member as reported by another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StateReport {
    /// [`Verdict::Alive`].
    Alive,
    /// [`Verdict::Suspect`].
    Suspect,
    /// [`Verdict::Partitioned`].
    #[serde(rename = "cut")]
    Partitioned,
    /// [`Verdict::Dead`].
    Dead,
    /// [`Verdict::Left`].
    Left,
    /// [`Verdict::UnknownSince`].
    Unknown,
}

impl StateReport {
    /// The name used in JSON and in text output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Partitioned => "cut",
            Self::Dead => "dead",
            Self::Left => "left",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for StateReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl From<Verdict> for StateReport {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Alive => Self::Alive,
            Verdict::Suspect => Self::Suspect,
            Verdict::Partitioned { .. } => Self::Partitioned,
            Verdict::Dead => Self::Dead,
            Verdict::Left => Self::Left,
            Verdict::UnknownSince(_) => Self::Unknown,
        }
    }
}

/// State of a direction between two members as reported by one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PathReport {
    /// [`PathState::Unknown`].
    Unknown,
    /// [`PathState::Open`].
    #[serde(rename = "works")]
    Open,
    /// [`PathState::Partitioned`].
    #[serde(rename = "cut")]
    Partitioned,
}

impl PathReport {
    /// The name used in JSON and in text output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Open => "works",
            Self::Partitioned => "cut",
        }
    }
}

impl fmt::Display for PathReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl From<PathState> for PathReport {
    fn from(path: PathState) -> Self {
        match path {
            PathState::Unknown => Self::Unknown,
            PathState::Open => Self::Open,
            PathState::Partitioned => Self::Partitioned,
        }
    }
}

/// State of a member as observed by the reporting member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the member.
    pub name: String,
    /// Zone of the member.
    pub zone: String,
    /// Region of the member's zone, if the zone belongs to one.
    pub region: Option<String>,
    /// Address at which other members reach the member.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Start time of the member's process by its own clock, Unix time in milliseconds.
    pub started_ms: u64,
    /// State of the member.
    pub state: StateReport,
    /// Direction from the reporting member to this member.
    #[serde(rename = "to")]
    pub outbound: PathReport,
    /// Direction from this member to the reporting member.
    #[serde(rename = "from")]
    pub inbound: PathReport,
    /// Seconds since the current state became known.
    #[serde(rename = "for_s")]
    pub state_age_s: f64,
    /// Seconds since the member was last reached, directly or through a relay.
    #[serde(rename = "found_s")]
    pub last_reached_s: Option<f64>,
    /// Names of the members known to suspect this member.
    pub suspected_by: Vec<String>,
}

/// Counts of the paths from the members of one zone to the members of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePathReport {
    /// Name of the sending zone.
    pub from: String,
    /// Name of the receiving zone.
    pub to: String,
    /// Number of ordered pairs of members.
    #[serde(rename = "of")]
    pub total: u64,
    /// Number of ordered pairs whose path is partitioned.
    #[serde(rename = "cut")]
    pub partitioned: u64,
}

/// The report of a member at one point in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the reporting member.
    pub name: String,
    /// Zone of the reporting member.
    pub zone: String,
    /// Address at which other members reach the reporting member.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Start time of the member's process by its own clock, Unix time in milliseconds.
    pub started_ms: u64,
    /// Seconds since the start of the process.
    #[serde(rename = "for_s")]
    pub uptime_s: f64,
    /// Number of alive members, including the reporting member.
    #[serde(rename = "least")]
    pub min_size: usize,
    /// Number of alive and suspected members, including the reporting member.
    #[serde(rename = "most")]
    pub max_size: usize,
    /// Fraction of the other members in the reporting member's zone that were reached recently; 1
    /// if there are none.
    pub own_zone: f64,
    /// Fraction of the members in all other zones that were reached recently; 1 if there are none.
    pub other_zones: f64,
    /// Whether the reporting member is isolated or has just resumed from a pause. In that state it
    /// suspects no other member.
    #[serde(rename = "cut_off")]
    pub is_isolated: bool,
    /// Factor that local health applies to the reporting member's time-outs; 1 when healthy.
    #[serde(rename = "slowed")]
    pub health_multiplier: u32,
    /// Number of detected pauses of the process.
    #[serde(rename = "stalls")]
    pub process_pauses: u64,
    /// Number of known records.
    #[serde(rename = "facts")]
    pub records: usize,
    /// Number of received messages.
    #[serde(rename = "came")]
    pub messages_received: u64,
    /// Number of sent messages.
    #[serde(rename = "sent")]
    pub messages_sent: u64,
    /// Total length of the sent messages in bytes, without authentication.
    #[serde(rename = "bytes")]
    pub bytes_sent: u64,
    /// Counters of messages that were rejected or not sent.
    #[serde(rename = "counts")]
    pub rejections: RejectionCounters,
    /// The other members, ordered by name.
    pub members: Vec<MemberReport>,
    /// Path counts from each zone to each other zone and within zones.
    #[serde(rename = "ways")]
    pub zone_paths: Vec<ZonePathReport>,
}

/// Seconds between two times, truncated to whole milliseconds.
fn seconds_between(from: Timestamp, to: Timestamp) -> f64 {
    (to.saturating_sub(from) / 1_000_000) as f64 / 1e3
}

impl MemberReport {
    fn new(node: &Node, observation: &Observation<'_>, now: Timestamp) -> Self {
        let member = observation.metadata;
        let (outbound, inbound) = node.path_states(&member.name, now);
        let suspected_by = observation.suspected_by.iter();
        Self {
            name: member.name.to_string(),
            zone: member.zone.to_string(),
            region: member.region.as_ref().map(ToString::to_string),
            address: member.address,
            started_ms: member.generation.started_ms,
            state: observation.verdict.into(),
            outbound: outbound.into(),
            inbound: inbound.into(),
            state_age_s: seconds_between(observation.since, now),
            last_reached_s: observation
                .last_reached_at
                .map(|at| seconds_between(at, now)),
            suspected_by: suspected_by.map(ToString::to_string).collect(),
        }
    }
}

impl ZonePathReport {
    fn new(from: &str, to: &str, counts: PathCounts) -> Self {
        Self {
            from: from.to_owned(),
            to: to.to_owned(),
            total: counts.total,
            partitioned: counts.partitioned,
        }
    }
}

impl Report {
    /// Creates the report of a member whose clock started at 0.
    pub fn new(node: &Node, rejections: RejectionCounters, now: Timestamp) -> Self {
        let (size, confidence, counters) =
            (node.fleet_size(), node.confidence(now), node.counters());
        let observations = node.observations(now);
        let mut members: Vec<MemberReport> = observations
            .map(|observation| MemberReport::new(node, &observation, now))
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let zone_paths = node.zone_paths(now).into_iter();
        let zone_paths = zone_paths
            .map(|((from, to), counts)| ZonePathReport::new(from.as_str(), to.as_str(), counts));
        let local = node.local();
        Self {
            name: local.name.to_string(),
            zone: local.zone.to_string(),
            address: local.address,
            started_ms: local.generation.started_ms,
            uptime_s: seconds_between(0, now),
            min_size: size.min,
            max_size: size.max,
            own_zone: confidence.own_zone,
            other_zones: confidence.other_zones,
            is_isolated: confidence.is_isolated,
            health_multiplier: node.health_multiplier(),
            process_pauses: counters.process_pauses,
            records: node.records().count(),
            messages_received: counters.messages_received,
            messages_sent: counters.messages_sent,
            bytes_sent: counters.bytes_sent,
            rejections,
            members,
            zone_paths: zone_paths.collect(),
        }
    }
}
