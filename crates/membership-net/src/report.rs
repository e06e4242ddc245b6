//! What operators read of a member. The names in JSON are those of the operators' documentation.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use woadstall_membership::{Node, Observation, PathCounts, PathState, Timestamp, Verdict};

/// What was rejected or not sent since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionCounters {
    /// Messages in a format that this program does not know: of a member of another version.
    pub other_version: u64,
    /// Messages that are authentic under none of the keys.
    pub other_key: u64,
    /// Messages that were received before.
    #[serde(rename = "had_before")]
    pub replayed: u64,
    /// Bytes that are no message.
    #[serde(rename = "no_message")]
    pub malformed: u64,
    /// Incoming streams beyond the most at once.
    #[serde(rename = "turned_away")]
    pub streams_rejected: u64,
    /// Messages that were not sent as a queue was full.
    pub not_sent: u64,
    /// Steps that were skipped as the process hung.
    #[serde(rename = "held_back")]
    pub hung_steps: u64,
}

/// The state of a member, as another one reports it.
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
    /// Its name in JSON and for people.
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

/// A direction between two members, as one of them reports it.
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
    /// Its name in JSON and for people.
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

/// A member, as the reporting one observes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The zone's region.
    pub region: Option<String>,
    /// The address at which others reach it.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// When its process started, Unix time in milliseconds, by its clock.
    pub started_ms: u64,
    /// Its state.
    pub state: StateReport,
    /// The direction to it.
    #[serde(rename = "to")]
    pub outbound: PathReport,
    /// The direction from it.
    #[serde(rename = "from")]
    pub inbound: PathReport,
    /// How long its state has been known, in seconds.
    #[serde(rename = "for_s")]
    pub state_age_s: f64,
    /// How long ago it was last reached, in seconds.
    #[serde(rename = "found_s")]
    pub last_reached_s: Option<f64>,
    /// The members that suspect it.
    pub suspected_by: Vec<String>,
}

/// The paths from the members of one zone to those of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePathReport {
    /// From this zone.
    pub from: String,
    /// To this one.
    pub to: String,
    /// Ordered pairs of members.
    #[serde(rename = "of")]
    pub total: u64,
    /// Pairs whose path is partitioned.
    #[serde(rename = "cut")]
    pub partitioned: u64,
}

/// What a member reports at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The address at which others reach it.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// When its process started, Unix time in milliseconds, by its clock.
    pub started_ms: u64,
    /// Seconds since then.
    #[serde(rename = "for_s")]
    pub uptime_s: f64,
    /// Members that are alive, this one included.
    #[serde(rename = "least")]
    pub min_size: usize,
    /// Members that are alive or suspected.
    #[serde(rename = "most")]
    pub max_size: usize,
    /// Fraction of the other members of its zone that were reached lately.
    pub own_zone: f64,
    /// Fraction of the members of the other zones.
    pub other_zones: f64,
    /// Whether it is isolated or has just resumed, and so suspects nobody.
    #[serde(rename = "cut_off")]
    pub is_isolated: bool,
    /// The factor by which its time-outs grow with its local health.
    #[serde(rename = "slowed")]
    pub health_multiplier: u32,
    /// Pauses of its process.
    #[serde(rename = "stalls")]
    pub process_pauses: u64,
    /// Records that it knows.
    #[serde(rename = "facts")]
    pub records: usize,
    /// Messages received.
    #[serde(rename = "came")]
    pub messages_received: u64,
    /// Messages sent.
    #[serde(rename = "sent")]
    pub messages_sent: u64,
    /// Their bytes, without authentication.
    #[serde(rename = "bytes")]
    pub bytes_sent: u64,
    /// What was rejected or not sent.
    #[serde(rename = "counts")]
    pub rejections: RejectionCounters,
    /// The other members, by name.
    pub members: Vec<MemberReport>,
    /// The paths from each zone to each.
    #[serde(rename = "ways")]
    pub zone_paths: Vec<ZonePathReport>,
}

/// Seconds from one time to another, in whole milliseconds.
fn seconds(from: Timestamp, to: Timestamp) -> f64 {
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
            state_age_s: seconds(observation.since, now),
            last_reached_s: observation.last_reached_at.map(|at| seconds(at, now)),
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
    /// The report of a member whose clock started at 0.
    pub fn new(node: &Node, rejections: RejectionCounters, now: Timestamp) -> Self {
        let (size, confidence, counters) =
            (node.fleet_size(), node.confidence(now), node.counters());
        let observations = node.observations(now);
        let mut members: Vec<MemberReport> = observations
            .map(|observation| MemberReport::new(node, &observation, now))
            .collect();
        members.sort_by(|one, other| one.name.cmp(&other.name));
        let zone_paths = node.zone_paths(now).into_iter();
        let zone_paths = zone_paths
            .map(|((from, to), counts)| ZonePathReport::new(from.as_str(), to.as_str(), counts));
        let local = node.local();
        Self {
            name: local.name.to_string(),
            zone: local.zone.to_string(),
            address: local.address,
            started_ms: local.generation.started_ms,
            uptime_s: seconds(0, now),
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
