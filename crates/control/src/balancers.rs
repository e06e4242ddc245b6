//! The balancers that are alive, by the heartbeats that they send to a few monitors.

use crate::merge::MergeOutcome;
use crate::shards::short_hash;
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// A balancer's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BalancerHeartbeat {
    /// The balancer's name.
    pub name: String,
    /// When this process started: a later one replaces an earlier one.
    pub incarnation: u64,
    /// Rises with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Where clients reach it, as `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Whether it accepts clients.
    pub ready: bool,
}

/// A heartbeat without changes since the one before it, in short form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BalancerRenewal {
    /// The hash of the balancer's name.
    pub name: u32,
    /// The incarnation that sent the heartbeat.
    pub incarnation: u64,
    /// The heartbeat's sequence number.
    pub sequence: u64,
}

/// A balancer as one control machine knows it.
#[derive(Clone, Debug)]
struct BalancerRecord {
    heartbeat: BalancerHeartbeat,
    /// When the newest heartbeat was heard of.
    last_heard: u64,
    /// When this incarnation was last heard of as ready, if it ever was.
    last_ready: Option<u64>,
}

/// The balancers as one control machine knows them, with times in milliseconds of its clock.
#[derive(Clone, Debug, Default)]
pub struct BalancerTable {
    records: BTreeMap<String, BalancerRecord>,
}

/// The time in milliseconds after which an incarnation that was not heard of may be replaced by any
/// other: more than two heartbeats.
const INCARNATION_TIMEOUT_MS: u64 = 900;
/// The time in milliseconds after which a balancer that was not heard of is forgotten.
const RETENTION_MS: u64 = 60_000;

impl BalancerTable {
    /// Merges a heartbeat. Another incarnation replaces one that has timed out, whatever their
    /// numbers: the time of day that these are drawn from may step back.
    pub fn merge(&mut self, now: u64, heartbeat: BalancerHeartbeat) -> MergeOutcome {
        let former = self.records.get(&heartbeat.name);
        if former.is_some_and(|former| !former.is_superseded_by(now, &heartbeat)) {
            return MergeOutcome::Stale;
        }
        let outcome = match former {
            Some(former) if former.differs_only_in_sequence(&heartbeat) => MergeOutcome::Renewed,
            _ => MergeOutcome::Changed,
        };
        let former_of_incarnation =
            former.filter(|former| former.heartbeat.incarnation == heartbeat.incarnation);
        let last_ready = if heartbeat.ready {
            Some(now)
        } else {
            former_of_incarnation.and_then(|former| former.last_ready)
        };
        let name = heartbeat.name.clone();
        self.records.insert(
            name,
            BalancerRecord {
                heartbeat,
                last_heard: now,
                last_ready,
            },
        );
        outcome
    }

    /// Another machine has heard renewals: those of the incarnation that is known confirm it.
    pub fn renew(&mut self, now: u64, renewals: &[BalancerRenewal]) {
        let by_name: BTreeMap<u32, &BalancerRenewal> = renewals
            .iter()
            .map(|renewal| (renewal.name, renewal))
            .collect();
        for (name, record) in &mut self.records {
            let Some(renewal) = by_name.get(&short_hash(name)) else {
                continue;
            };
            let known = &record.heartbeat;
            if renewal.incarnation == known.incarnation && renewal.sequence > known.sequence {
                record.heartbeat.sequence = renewal.sequence;
                record.last_heard = now;
                if record.heartbeat.ready {
                    record.last_ready = Some(now);
                }
            }
        }
    }

    /// The balancers that were heard of within a time-out in milliseconds.
    pub fn alive(&self, now: u64, timeout_ms: u64) -> impl Iterator<Item = &BalancerHeartbeat> {
        let is_alive = move |record: &&BalancerRecord| now <= record.last_heard + timeout_ms;
        self.records
            .values()
            .filter(is_alive)
            .map(|record| &record.heartbeat)
    }

    /// The balancers that are alive and no longer ready, but were ready within `ready_within_ms`:
    /// they are shutting down, and still accept clients for a while.
    pub fn stopping(
        &self,
        now: u64,
        timeout_ms: u64,
        ready_within_ms: u64,
    ) -> impl Iterator<Item = &BalancerHeartbeat> {
        let is_stopping = move |record: &&BalancerRecord| {
            let was_ready = record
                .last_ready
                .is_some_and(|at| now <= at + ready_within_ms);
            !record.heartbeat.ready && was_ready && now <= record.last_heard + timeout_ms
        };
        self.records
            .values()
            .filter(is_stopping)
            .map(|record| &record.heartbeat)
    }

    /// The zone of a balancer.
    pub fn zone_of(&self, name: &str) -> Option<&str> {
        self.records.get(name).map(|record| &*record.heartbeat.zone)
    }

    /// Forgets balancers that were not heard of for long.
    pub fn remove_expired(&mut self, now: u64) {
        self.records
            .retain(|_, record| now <= record.last_heard + RETENTION_MS);
    }
}

impl BalancerRecord {
    fn is_superseded_by(&self, now: u64, heartbeat: &BalancerHeartbeat) -> bool {
        let known = &self.heartbeat;
        if known.incarnation == heartbeat.incarnation {
            heartbeat.sequence > known.sequence
        } else {
            let has_timed_out = now > self.last_heard + INCARNATION_TIMEOUT_MS;
            heartbeat.incarnation > known.incarnation || has_timed_out
        }
    }

    /// Whether a heartbeat differs from the known one in nothing but its sequence number.
    fn differs_only_in_sequence(&self, heartbeat: &BalancerHeartbeat) -> bool {
        let sequence = self.heartbeat.sequence;
        BalancerHeartbeat {
            sequence,
            ..heartbeat.clone()
        } == self.heartbeat
    }
}
