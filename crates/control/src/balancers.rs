//! The balancers that are there, by their heartbeats to a few monitors.

use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// What a balancer says of itself.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Heartbeat {
    /// Its name.
    pub name: String,
    /// When this process started: a later one replaces an earlier one.
    pub incarnation: u64,
    /// Rises with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Where clients reach it, as `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Whether it takes clients.
    pub ready: bool,
}

#[derive(Clone, Debug)]
struct Seen {
    heartbeat: Heartbeat,
    heard: u64,
}

/// The balancers as one control machine knows them, with times in milliseconds of its clock.
#[derive(Clone, Debug, Default)]
pub struct Balancers {
    seen: BTreeMap<String, Seen>,
}

/// Two heartbeats and more, in milliseconds: an incarnation that was not heard of for so long may be replaced by any other.
const SILENT: u64 = 900;
/// A balancer that was not heard of for so long is forgotten.
const FORGET: u64 = 60_000;

impl Balancers {
    /// Merges a heartbeat; `true` if it says something new. Another incarnation replaces one that has fallen silent, whatever
    /// their numbers: the time of day that they are drawn from may step back.
    pub fn merge(&mut self, now: u64, heartbeat: Heartbeat) -> bool {
        if let Some(old) = self.seen.get(&heartbeat.name) {
            let known = &old.heartbeat;
            let newer = match known.incarnation == heartbeat.incarnation {
                true => heartbeat.sequence > known.sequence,
                false => heartbeat.incarnation > known.incarnation || now > old.heard + SILENT,
            };
            if !newer {
                return false;
            }
        }
        self.seen.insert(heartbeat.name.clone(), Seen { heartbeat, heard: now });
        true
    }

    /// The balancers that were heard of within this time.
    pub fn alive(&self, now: u64, within: u64) -> impl Iterator<Item = &Heartbeat> {
        let lately = move |seen: &&Seen| now <= seen.heard + within;
        self.seen.values().filter(lately).map(|seen| &seen.heartbeat)
    }

    /// Forgets who was not heard of for long.
    pub fn forget(&mut self, now: u64) {
        self.seen.retain(|_, seen| now <= seen.heard + FORGET);
    }
}
