//! What operators read of a member, and what of that others build on.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use woadstall_membership::{Node, Observation, PathState, Verdict};

/// What was not believed, or not sent, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Of a form that this program does not know: a member of another version.
    pub other_version: u64,
    /// Under none of the keys in force.
    pub other_key: u64,
    /// A message that came before.
    pub had_before: u64,
    /// No message at all.
    pub no_message: u64,
    /// Streams that were turned away, as too many were open.
    pub turned_away: u64,
    /// Messages for which there was no room on the way out.
    pub not_sent: u64,
    /// Turns in which the calls' thread stood still, so that this member did, too.
    pub held_back: u64,
}

/// A member as this one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The zone's region.
    pub region: Option<String>,
    /// Where it is found.
    pub at: SocketAddr,
    /// When this life of it started, Unix time in milliseconds, by its clock.
    pub started_ms: u64,
    /// `alive`, `suspect`, `cut`, `dead`, `left` or `unknown`.
    pub state: String,
    /// The way there: `works`, `cut` or `unknown`.
    pub to: String,
    /// The way from there.
    pub from: String,
    /// How long that has been claimed of it, in seconds.
    pub for_s: f64,
    /// How long ago it was last found, in seconds.
    pub found_s: Option<f64>,
    /// Who suspects it.
    pub suspected_by: Vec<String>,
}

/// The ways from the members of a zone to those of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ways {
    /// From this zone.
    pub from: String,
    /// To this one.
    pub to: String,
    /// Ordered pairs of members.
    pub of: u64,
    /// Those whose way is cut.
    pub cut: u64,
}

/// All of it, at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where others find it.
    pub at: SocketAddr,
    /// When it started, Unix time in milliseconds, by its clock.
    pub started_ms: u64,
    /// Since its start, in seconds.
    pub for_s: f64,
    /// How large the fleet is, this member included: those that nothing is said against.
    pub least: usize,
    /// And all that are not known to be gone.
    pub most: usize,
    /// Part of its own zone's others that were found lately.
    pub own_zone: f64,
    /// Part of the other zones' members.
    pub other_zones: f64,
    /// Whether it is cut off or has just woken, and so judges nobody.
    pub cut_off: bool,
    /// How many times as slowly as usual it judges, since it does badly itself.
    pub slowed: u32,
    /// How often it stood still.
    pub stalls: u64,
    /// Facts that it knows.
    pub facts: usize,
    /// Messages that came.
    pub came: u64,
    /// Messages sent.
    pub sent: u64,
    /// Their bytes, without seals.
    pub bytes: u64,
    /// What was not believed or not sent.
    pub counts: Counts,
    /// The others, by name.
    pub members: Vec<Row>,
    /// Ways by zone and zone.
    pub ways: Vec<Ways>,
}

fn way(way: PathState) -> String {
    match way {
        PathState::Unknown => "unknown",
        PathState::Open => "works",
        PathState::Partitioned => "cut",
    }
    .to_owned()
}

fn seconds(from: u64, to: u64) -> f64 {
    (to.saturating_sub(from) / 1_000_000) as f64 / 1e3
}

impl Row {
    fn new(node: &Node, seen: &Observation<'_>, now: u64) -> Self {
        let state = match seen.state {
            Verdict::Alive => "alive",
            Verdict::Suspect => "suspect",
            Verdict::Partitioned { .. } => "cut",
            Verdict::Dead => "dead",
            Verdict::Left => "left",
            Verdict::UnknownSince(_) => "unknown",
        };
        let (to, from) = node.ways(&seen.card.name, now);
        Self {
            name: seen.card.name.to_string(),
            zone: seen.card.zone.to_string(),
            region: seen.card.region.as_ref().map(ToString::to_string),
            at: seen.card.at,
            started_ms: seen.card.life.started,
            state: state.to_owned(),
            to: way(to),
            from: way(from),
            for_s: seconds(seen.since, now),
            found_s: seen.found_at.map(|at| seconds(at, now)),
            suspected_by: seen.suspected_by.iter().map(ToString::to_string).collect(),
        }
    }
}

impl Report {
    /// Of a member, whose clock began at 0.
    pub fn new(node: &Node, counts: Counts, now: u64) -> Self {
        let (size, sure, tallies) = (node.size(), node.sure(now), node.tallies());
        let ways = node
            .cuts(now)
            .into_iter()
            .map(|((from, to), between)| Ways {
                from: from.to_string(),
                to: to.to_string(),
                of: between.of,
                cut: between.cut,
            });
        let mut members: Vec<Row> = node
            .members(now)
            .map(|seen| Row::new(node, &seen, now))
            .collect();
        members.sort_by(|one, other| one.name.cmp(&other.name));
        Self {
            name: node.me().name.to_string(),
            zone: node.me().zone.to_string(),
            at: node.me().at,
            started_ms: node.me().life.started,
            for_s: seconds(0, now),
            least: size.least,
            most: size.most,
            own_zone: sure.own_zone,
            other_zones: sure.others,
            cut_off: sure.cut_off,
            slowed: node.times(),
            stalls: tallies.stalls,
            facts: node.facts().count(),
            came: tallies.came,
            sent: tallies.sent,
            bytes: tallies.bytes,
            counts,
            members,
            ways: ways.collect(),
        }
    }
}
