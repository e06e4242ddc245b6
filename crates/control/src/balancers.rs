//! The balancers that are there, by their heartbeats to a few monitors.

use crate::shards::short_hash;
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// What a balancer says of itself.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BalancerHeartbeat {
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

/// A balancer that is still there and says what it said before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BalancerRenewal {
    /// The hash of its name.
    pub name: u32,
    /// The incarnation that was heard of.
    pub incarnation: u64,
    /// Its newest heartbeat.
    pub sequence: u64,
}

/// What a heartbeat has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing: it was late.
    Old,
    /// Only that the balancer is still there.
    Renewed,
    /// What it says of itself.
    Changed,
}

#[derive(Clone, Debug)]
struct Seen {
    heartbeat: BalancerHeartbeat,
    heard: u64,
    /// When this incarnation was last heard of as ready, if it ever was.
    ready_at: Option<u64>,
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
    /// Merges a heartbeat. Another incarnation replaces one that has fallen silent, whatever
    /// their numbers: the time of day that they are drawn from may step back.
    pub fn merge(&mut self, now: u64, heartbeat: BalancerHeartbeat) -> Heard {
        let mut heard = Heard::Changed;
        if let Some(old) = self.seen.get(&heartbeat.name) {
            let known = &old.heartbeat;
            let newer = match known.incarnation == heartbeat.incarnation {
                true => heartbeat.sequence > known.sequence,
                false => heartbeat.incarnation > known.incarnation || now > old.heard + SILENT,
            };
            if !newer {
                return Heard::Old;
            }
            let as_known = BalancerHeartbeat {
                sequence: known.sequence,
                ..heartbeat.clone()
            };
            if as_known == *known {
                heard = Heard::Renewed;
            }
        }
        let former = self.seen.get(&heartbeat.name);
        let former = former.filter(|former| former.heartbeat.incarnation == heartbeat.incarnation);
        let ready_at = if heartbeat.ready {
            Some(now)
        } else {
            former.and_then(|former| former.ready_at)
        };
        self.seen.insert(
            heartbeat.name.clone(),
            Seen {
                heartbeat,
                heard: now,
                ready_at,
            },
        );
        heard
    }

    /// Hears from another machine that balancers are still there.
    pub fn renew(&mut self, now: u64, still_there: &[BalancerRenewal]) {
        let newest: BTreeMap<u32, &BalancerRenewal> =
            still_there.iter().map(|news| (news.name, news)).collect();
        for seen in self.seen.values_mut() {
            let Some(news) = newest.get(&short_hash(&seen.heartbeat.name)) else {
                continue;
            };
            if news.incarnation == seen.heartbeat.incarnation
                && news.sequence > seen.heartbeat.sequence
            {
                (seen.heartbeat.sequence, seen.heard) = (news.sequence, now);
                if seen.heartbeat.ready {
                    seen.ready_at = Some(now);
                }
            }
        }
    }

    /// The balancers that were heard of within this time.
    pub fn alive(&self, now: u64, within: u64) -> impl Iterator<Item = &BalancerHeartbeat> {
        let lately = move |seen: &&Seen| now <= seen.heard + within;
        self.seen
            .values()
            .filter(lately)
            .map(|seen| &seen.heartbeat)
    }

    /// The balancers that are there and no longer ready, but were so within this time: they are being stopped, and still take
    /// clients for a while.
    pub fn stopping(
        &self,
        now: u64,
        alive_within: u64,
        ready_within: u64,
    ) -> impl Iterator<Item = &BalancerHeartbeat> {
        let is_stopping = move |seen: &&Seen| {
            let was_ready = seen.ready_at.is_some_and(|at| now <= at + ready_within);
            !seen.heartbeat.ready && was_ready && now <= seen.heard + alive_within
        };
        self.seen
            .values()
            .filter(is_stopping)
            .map(|seen| &seen.heartbeat)
    }

    /// The zone of a balancer.
    pub fn zone_of(&self, name: &str) -> Option<&str> {
        self.seen.get(name).map(|seen| &*seen.heartbeat.zone)
    }

    /// Forgets who was not heard of for long.
    pub fn forget(&mut self, now: u64) {
        self.seen.retain(|_, seen| now <= seen.heard + FORGET);
    }
}
