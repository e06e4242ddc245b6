//! The table of balancers, built from the heartbeats that each balancer sends to a few monitors.

#[cfg(doc)]
use crate::merge::REFRESH_INTERVAL_MS;
use crate::merge::{MergeOutcome, is_refresh_due};
use crate::shards::short_hash;
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// A balancer's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BalancerHeartbeat {
    /// The balancer's name.
    pub name: String,
    /// The start time of the balancer's process. A higher incarnation replaces a lower one.
    pub incarnation: u64,
    /// The sequence number, which rises with each heartbeat of an incarnation.
    pub sequence: u64,
    /// The address for clients, as `ip:port`.
    pub address: String,
    /// The balancer's zone.
    pub zone: String,
    /// Whether the balancer accepts clients.
    pub ready: bool,
}

/// A short form of a heartbeat that differs from the preceding heartbeat in the sequence number
/// only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BalancerRenewal {
    /// The balancer's name, hashed by [`short_hash`].
    pub name: u32,
    /// The incarnation that sent the heartbeat.
    pub incarnation: u64,
    /// The heartbeat's sequence number.
    pub sequence: u64,
}

/// The record of a balancer at one control machine.
#[derive(Clone, Debug)]
struct BalancerRecord {
    heartbeat: BalancerHeartbeat,
    /// The time in milliseconds at which this machine received the newest heartbeat, directly or by
    /// gossip.
    last_heard_ms: u64,
    /// The time in milliseconds of the newest ready heartbeat of this incarnation, if there has
    /// been one.
    last_ready_ms: Option<u64>,
    /// The time in milliseconds at which this machine last sent a heartbeat of the balancer in full
    /// to the other machines; 0 if it has not.
    refreshed_at_ms: u64,
}

/// The balancers known to one control machine. All times are milliseconds of that machine's clock.
#[derive(Clone, Debug, Default)]
pub struct BalancerTable {
    records: BTreeMap<String, BalancerRecord>,
}

/// The time in milliseconds without a heartbeat after which any other incarnation may replace the
/// recorded one: more than two heartbeat periods.
const INCARNATION_TIMEOUT_MS: u64 = 900;
/// The time in milliseconds without a heartbeat after which a balancer is removed from the table.
const RECORD_RETENTION_MS: u64 = 60_000;

impl BalancerTable {
    /// Merges a heartbeat into the table. An incarnation that has timed out is replaced by any
    /// other one, including a lower one: incarnations are taken from the time of day, which may
    /// step back.
    pub fn merge(&mut self, now_ms: u64, heartbeat: BalancerHeartbeat) -> MergeOutcome {
        let known = self.records.get(&heartbeat.name);
        if known.is_some_and(|known| !known.is_superseded_by(now_ms, &heartbeat)) {
            return MergeOutcome::Stale;
        }
        let outcome = match known {
            Some(known) if known.differs_only_in_sequence(&heartbeat) => MergeOutcome::Renewed,
            _ => MergeOutcome::Changed,
        };
        let same_incarnation =
            known.filter(|known| known.heartbeat.incarnation == heartbeat.incarnation);
        let last_ready_ms = if heartbeat.ready {
            Some(now_ms)
        } else {
            same_incarnation.and_then(|known| known.last_ready_ms)
        };
        let refreshed_at_ms = known.map_or(0, |known| known.refreshed_at_ms);
        let name = heartbeat.name.clone();
        self.records.insert(
            name,
            BalancerRecord {
                heartbeat,
                last_heard_ms: now_ms,
                last_ready_ms,
                refreshed_at_ms,
            },
        );
        outcome
    }

    /// Returns whether a heartbeat of a balancer should be sent in full to the other machines,
    /// although it changed nothing here: the last one was sent [`REFRESH_INTERVAL_MS`] ago or
    /// earlier. If so, records that it is sent now.
    pub fn take_refresh(&mut self, now_ms: u64, name: &str) -> bool {
        let Some(record) = self.records.get_mut(name) else {
            return false;
        };
        let is_due = is_refresh_due(now_ms, record.refreshed_at_ms);
        if is_due {
            record.refreshed_at_ms = now_ms;
        }
        is_due
    }

    /// Returns the newest heartbeats of the balancers that have not missed any.
    pub fn current(&self, now_ms: u64) -> Vec<BalancerHeartbeat> {
        self.alive(now_ms, INCARNATION_TIMEOUT_MS)
            .cloned()
            .collect()
    }

    /// Applies renewals received by another machine. A renewal counts only for the incarnation that
    /// is recorded here.
    pub fn renew(&mut self, now_ms: u64, renewals: &[BalancerRenewal]) {
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
                record.last_heard_ms = now_ms;
                if record.heartbeat.ready {
                    record.last_ready_ms = Some(now_ms);
                }
            }
        }
    }

    /// Returns the balancers whose newest heartbeat is at most `timeout_ms` old.
    pub fn alive(&self, now_ms: u64, timeout_ms: u64) -> impl Iterator<Item = &BalancerHeartbeat> {
        let is_alive = move |record: &&BalancerRecord| now_ms <= record.last_heard_ms + timeout_ms;
        self.records
            .values()
            .filter(is_alive)
            .map(|record| &record.heartbeat)
    }

    /// Returns the balancers that are shutting down and still accept clients for a while. Such a
    /// balancer is alive and not ready, but was ready at most `ready_within_ms` ago.
    pub fn stopping(
        &self,
        now_ms: u64,
        timeout_ms: u64,
        ready_within_ms: u64,
    ) -> impl Iterator<Item = &BalancerHeartbeat> {
        let is_stopping = move |record: &&BalancerRecord| {
            let was_ready = record
                .last_ready_ms
                .is_some_and(|at| now_ms <= at + ready_within_ms);
            !record.heartbeat.ready && was_ready && now_ms <= record.last_heard_ms + timeout_ms
        };
        self.records
            .values()
            .filter(is_stopping)
            .map(|record| &record.heartbeat)
    }

    /// Returns the zone of a balancer, or `None` if the balancer is unknown.
    pub fn zone_of(&self, name: &str) -> Option<&str> {
        self.records.get(name).map(|record| &*record.heartbeat.zone)
    }

    /// Removes balancers whose newest heartbeat is older than the retention time.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.records
            .retain(|_, record| now_ms <= record.last_heard_ms + RECORD_RETENTION_MS);
    }
}

impl BalancerRecord {
    fn is_superseded_by(&self, now_ms: u64, heartbeat: &BalancerHeartbeat) -> bool {
        let known = &self.heartbeat;
        if known.incarnation == heartbeat.incarnation {
            heartbeat.sequence > known.sequence
        } else {
            let has_timed_out = now_ms > self.last_heard_ms + INCARNATION_TIMEOUT_MS;
            heartbeat.incarnation > known.incarnation || has_timed_out
        }
    }

    /// Returns whether a heartbeat differs from the recorded one in the sequence number only.
    fn differs_only_in_sequence(&self, heartbeat: &BalancerHeartbeat) -> bool {
        let sequence = self.heartbeat.sequence;
        BalancerHeartbeat {
            sequence,
            ..heartbeat.clone()
        } == self.heartbeat
    }
}
