//! The registrations of upstreams. Every control machine has all of them; changes are merged, so
//! that their order does not matter: a registration with a higher sequence number wins, and an
//! incarnation that has deregistered stays so.

use crate::merge::MergeOutcome;
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;
use std::fmt;

/// The state of an upstream's registration. A later one wins at the same sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum UpstreamStatus {
    /// It accepts requests.
    Ready,
    /// No heartbeat has come for several periods; the next one sets the status again.
    TimedOut,
    /// It is about to leave and gets no new requests.
    Draining,
    /// It has left for good.
    Deregistered,
}

/// The name of a status in the log and in the JSON of a machine's status, which differs from the
/// identifier for two of them.
impl fmt::Display for UpstreamStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ready => "Ready",
            Self::TimedOut => "Silent",
            Self::Draining => "Draining",
            Self::Deregistered => "Gone",
        })
    }
}

impl UpstreamStatus {
    /// Whether the upstream is shutting down or has left.
    pub fn is_terminating(self) -> bool {
        matches!(self, Self::Draining | Self::Deregistered)
    }
}

/// An upstream's registration.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Registration {
    /// The incarnation's id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The number of requests that it processes concurrently.
    pub capacity: u64,
    /// The sequence number of the newest heartbeat.
    pub sequence: u64,
    /// Its status.
    pub status: UpstreamStatus,
    /// How much longer it warms up after its start, in milliseconds, as of when this record was
    /// made or sent.
    pub slow_start_remaining_ms: u64,
    /// The time left to one that is terminated at short notice, in milliseconds; 0 where no notice
    /// was given.
    pub termination_remaining_ms: u64,
    /// The age of its newest heartbeat in milliseconds, as of when this record was made or sent.
    pub age_ms: u64,
}

impl Registration {
    /// All that is known of an upstream that has left without having been heard of.
    fn deregistered(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: String::new(),
            address: String::new(),
            zone: String::new(),
            capacity: 0,
            sequence: 0,
            status: UpstreamStatus::Deregistered,
            slow_start_remaining_ms: 0,
            termination_remaining_ms: 0,
            age_ms: 0,
        }
    }

    /// Whether this differs from another registration in something that balancers must be notified
    /// of.
    fn differs_from(&self, other: &Self) -> bool {
        let has_restarted = self.slow_start_remaining_ms > other.slow_start_remaining_ms;
        self.status != other.status
            || self.address != other.address
            || self.service != other.service
            || self.zone != other.zone
            || self.capacity != other.capacity
            || has_restarted
    }

    /// Whether this replaces another registration of the incarnation.
    fn supersedes(&self, other: &Self) -> bool {
        match (other.status, self.status) {
            (UpstreamStatus::Deregistered, _) => false,
            (_, UpstreamStatus::Deregistered) => true,
            _ => (self.sequence, self.status) > (other.sequence, other.status),
        }
    }
}

/// A registration as one machine knows it.
#[derive(Clone, Debug)]
struct RegistrationRecord {
    registration: Registration,
    /// When the newest heartbeat arrived here or at another machine.
    last_heartbeat: u64,
    /// When it was last changed in a way that balancers hear of.
    changed_at: u64,
    slow_start_until: u64,
}

/// All registrations, with times in milliseconds of one machine's clock.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    records: BTreeMap<String, RegistrationRecord>,
}

/// The time in milliseconds for which an incarnation that has left, or timed out, is remembered, so
/// that a late heartbeat does not bring it back.
const TOMBSTONE_RETENTION_MS: u64 = 120_000;
/// The age in milliseconds from which on an unknown upstream that was ready counts as timed out:
/// others may have heard that it left and have forgotten it since. Far less than the retention, far
/// more than the period of heartbeats.
const UNKNOWN_MAX_AGE_MS: u64 = 60_000;
/// The time in milliseconds by which an upstream's own count of its slow start may differ from ours
/// without meaning a new one.
const SLOW_START_TOLERANCE_MS: u64 = 400;

impl Registry {
    /// Merges a registration that has arrived at a time.
    pub fn merge(&mut self, now: u64, registration: Registration) -> MergeOutcome {
        match self.records.get_mut(&registration.id) {
            Some(record) => record.merge(now, registration),
            None => {
                let id = registration.id.clone();
                self.records
                    .insert(id, RegistrationRecord::new(now, registration));
                MergeOutcome::Changed
            }
        }
    }

    /// An upstream has left. One that is not known is remembered all the same: other machines may
    /// know it, or hear of it later.
    pub fn deregister(&mut self, now: u64, id: &str) -> MergeOutcome {
        self.merge(now, Registration::deregistered(id))
    }

    /// Marks ready upstreams of the services that the caller owns as timed out, if their last
    /// heartbeat is older than `timeout_ms`, and returns them.
    pub fn time_out(
        &mut self,
        now: u64,
        timeout_ms: u64,
        owns: impl Fn(&str) -> bool,
    ) -> Vec<Registration> {
        let is_overdue = |record: &&mut RegistrationRecord| {
            let registration = &record.registration;
            let is_ready = registration.status == UpstreamStatus::Ready;
            let has_missed_heartbeats = now > record.last_heartbeat + timeout_ms;
            has_missed_heartbeats && is_ready && owns(&registration.service)
        };
        let time_out = |record: &mut RegistrationRecord| {
            record.registration.status = UpstreamStatus::TimedOut;
            record.changed_at = now;
            record.registration.clone()
        };
        self.records
            .values_mut()
            .filter(is_overdue)
            .map(time_out)
            .collect()
    }

    /// Forgets upstreams that left or timed out long ago.
    pub fn remove_expired(&mut self, now: u64) {
        self.records
            .retain(|_, record| match record.registration.status {
                UpstreamStatus::Ready => true,
                UpstreamStatus::Draining => now <= record.last_heartbeat + TOMBSTONE_RETENTION_MS,
                UpstreamStatus::TimedOut | UpstreamStatus::Deregistered => {
                    now <= record.changed_at + TOMBSTONE_RETENTION_MS
                }
            });
    }

    /// Another machine has received a heartbeat with this sequence number, without changes.
    pub fn renew(&mut self, now: u64, id: &str, sequence: u64) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        let registration = &mut record.registration;
        if sequence > registration.sequence && registration.status == UpstreamStatus::Ready {
            registration.sequence = sequence;
            record.last_heartbeat = now;
        }
    }

    /// A registration, with its times as of now.
    pub fn get(&self, now: u64, id: &str) -> Option<Registration> {
        self.records.get(id).map(|record| record.as_of(now))
    }

    /// All registrations, with their times as of now.
    pub fn all(&self, now: u64) -> Vec<Registration> {
        self.records
            .values()
            .map(|record| record.as_of(now))
            .collect()
    }

    /// The number of registrations.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl RegistrationRecord {
    /// The record of an upstream that was not known.
    fn new(now: u64, mut registration: Registration) -> Self {
        let is_ready = registration.status == UpstreamStatus::Ready;
        if is_ready && registration.age_ms > UNKNOWN_MAX_AGE_MS {
            registration.status = UpstreamStatus::TimedOut;
        }
        Self {
            last_heartbeat: now.saturating_sub(registration.age_ms),
            changed_at: now,
            slow_start_until: now + registration.slow_start_remaining_ms,
            registration,
        }
    }

    fn merge(&mut self, now: u64, registration: Registration) -> MergeOutcome {
        if !registration.supersedes(&self.registration) {
            return MergeOutcome::Stale;
        }
        if registration.status == UpstreamStatus::Deregistered {
            self.registration.status = UpstreamStatus::Deregistered;
            self.changed_at = now;
            return MergeOutcome::Changed;
        }
        if registration.sequence > self.registration.sequence {
            let heartbeat_at = now.saturating_sub(registration.age_ms);
            self.last_heartbeat = self.last_heartbeat.max(heartbeat_at);
        }
        let has_changed = registration.differs_from(&self.expected(now));
        if has_changed || registration.slow_start_remaining_ms == 0 {
            self.slow_start_until = now + registration.slow_start_remaining_ms;
        }
        self.registration = registration;
        if has_changed {
            self.changed_at = now;
            MergeOutcome::Changed
        } else {
            MergeOutcome::Renewed
        }
    }

    /// The registration that a heartbeat without changes has now, with the tolerance for its slow
    /// start.
    fn expected(&self, now: u64) -> Registration {
        let remaining_ms = self.slow_start_until.saturating_sub(now);
        let slow_start_remaining_ms = remaining_ms + SLOW_START_TOLERANCE_MS;
        Registration {
            slow_start_remaining_ms,
            ..self.registration.clone()
        }
    }

    fn as_of(&self, now: u64) -> Registration {
        let slow_start_remaining_ms = self.slow_start_until.saturating_sub(now);
        let age_ms = now.saturating_sub(self.last_heartbeat);
        Registration {
            slow_start_remaining_ms,
            age_ms,
            ..self.registration.clone()
        }
    }
}
