//! The registry of upstreams. Every control machine holds all registrations. The result of merging
//! changes does not depend on their order: a registration with a higher sequence number wins, and a
//! deregistered incarnation stays deregistered.

#[cfg(doc)]
use crate::merge::REFRESH_INTERVAL_MS;
use crate::merge::{MergeOutcome, is_refresh_due};
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;
use std::fmt;

/// The status of an upstream's registration. Of two registrations with the same sequence number,
/// the one with the status listed later wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum UpstreamStatus {
    /// The upstream accepts requests.
    Ready,
    /// The upstream has missed several heartbeats. Its next heartbeat sets the status again.
    TimedOut,
    /// The upstream is shutting down and gets no new requests.
    Draining,
    /// The upstream has left. This status is final for the incarnation.
    Deregistered,
}

/// The name of a status in the log and in the JSON of a machine's status. `TimedOut` and
/// `Deregistered` have names that differ from their identifiers.
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
    /// Returns whether the upstream is shutting down or has left.
    pub fn is_terminating(self) -> bool {
        matches!(self, Self::Draining | Self::Deregistered)
    }
}

/// The registration of one incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Registration {
    /// The id of the upstream's incarnation.
    pub id: String,
    /// The name of the upstream's service.
    pub service: String,
    /// The address on which the upstream listens, as `ip:port`.
    pub address: String,
    /// The zone of the upstream.
    pub zone: String,
    /// The number of requests that the upstream processes concurrently.
    pub capacity: u64,
    /// The sequence number of the newest heartbeat.
    pub sequence: u64,
    /// The status of the upstream.
    pub status: UpstreamStatus,
    /// The remaining time in milliseconds of the warm-up after the upstream's start, at the time at
    /// which this registration was created or sent.
    pub slow_start_remaining_ms: u64,
    /// The time in milliseconds until the termination of an upstream that is terminated at short
    /// notice; 0 if no notice was given.
    pub termination_remaining_ms: u64,
    /// The age of the newest heartbeat in milliseconds, at the time at which this registration was
    /// created or sent.
    pub age_ms: u64,
}

impl Registration {
    /// Creates the registration of an unknown upstream that has deregistered.
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

    /// Returns whether this registration differs from an earlier one in a way of which balancers must
    /// be notified. `max_slow_start_remaining_ms` is the longest remaining warm-up of an upstream
    /// that has not restarted since.
    fn differs_from(&self, earlier: &Self, max_slow_start_remaining_ms: u64) -> bool {
        self.status != earlier.status
            || self.address != earlier.address
            || self.service != earlier.service
            || self.zone != earlier.zone
            || self.capacity != earlier.capacity
            || self.slow_start_remaining_ms > max_slow_start_remaining_ms
    }

    /// Returns whether machines that were told in time have forgotten this upstream.
    fn has_expired(&self) -> bool {
        self.status != UpstreamStatus::Ready && self.age_ms > TOMBSTONE_RETENTION_MS
    }

    /// Returns whether this registration replaces another one of the same incarnation.
    fn supersedes(&self, other: &Self) -> bool {
        match (other.status, self.status) {
            (UpstreamStatus::Deregistered, _) => false,
            (_, UpstreamStatus::Deregistered) => true,
            _ => (self.sequence, self.status) > (other.sequence, other.status),
        }
    }
}

/// The result of comparing an outdated mark that an upstream has timed out with what is known here.
#[derive(Clone, Debug, PartialEq)]
pub enum OutdatedTimeOut {
    /// It is no such mark.
    Irrelevant,
    /// The newest heartbeat known here is overdue too. The upstream is marked as timed out here as
    /// well, with the returned registration.
    Confirmed(Registration),
    /// The heartbeat of the returned registration, which the other machine does not know, is not
    /// overdue.
    Contradicted(Registration),
}

/// The record of a registration at one machine.
#[derive(Clone, Debug)]
struct RegistrationRecord {
    registration: Registration,
    /// The time in milliseconds at which the newest heartbeat arrived at this or another machine.
    last_heartbeat_ms: u64,
    /// The time in milliseconds of the last change that was sent to balancers.
    changed_at_ms: u64,
    /// The time in milliseconds at which this machine last sent a heartbeat of the upstream in full
    /// to the other machines; 0 if it has not.
    refreshed_at_ms: u64,
    slow_start_until_ms: u64,
}

/// The registrations known to one machine. All times are milliseconds of that machine's clock.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    records: BTreeMap<String, RegistrationRecord>,
}

/// The time in milliseconds for which an incarnation that has left or timed out is remembered, so
/// that a late heartbeat does not restore it.
const TOMBSTONE_RETENTION_MS: u64 = 120_000;
/// The heartbeat age in milliseconds above which a ready registration of an unknown upstream counts
/// as timed out. Other machines may have recorded that such an upstream left, and removed the
/// record since. The limit is far below the retention time and far above the heartbeat period.
const UNKNOWN_MAX_AGE_MS: u64 = 60_000;
/// The tolerance in milliseconds for the difference between an upstream's reported and expected
/// remaining warm-up. A longer remaining warm-up means that the upstream has restarted.
const SLOW_START_TOLERANCE_MS: u64 = 400;

impl Registry {
    /// Merges a registration that arrived at the time `now_ms`.
    pub fn merge(&mut self, now_ms: u64, registration: Registration) -> MergeOutcome {
        match self.records.get_mut(&registration.id) {
            Some(record) => record.merge(now_ms, registration),
            None if registration.has_expired() => MergeOutcome::Stale,
            None => {
                let id = registration.id.clone();
                self.records
                    .insert(id, RegistrationRecord::new(now_ms, registration));
                MergeOutcome::Changed
            }
        }
    }

    /// Deregisters an upstream. An unknown upstream is recorded as deregistered too, because other
    /// machines may know it or receive its registration later.
    pub fn deregister(&mut self, now_ms: u64, id: &str) -> MergeOutcome {
        self.merge(now_ms, Registration::deregistered(id))
    }

    /// Marks ready upstreams as timed out if `owns` holds for their service and their last
    /// heartbeat is older than `timeout_ms`. Returns the registrations of the marked upstreams.
    pub fn time_out(
        &mut self,
        now_ms: u64,
        timeout_ms: u64,
        owns: impl Fn(&str) -> bool,
    ) -> Vec<Registration> {
        let is_overdue = |record: &&mut RegistrationRecord| {
            let registration = &record.registration;
            let is_ready = registration.status == UpstreamStatus::Ready;
            is_ready && record.is_overdue(now_ms, timeout_ms) && owns(&registration.service)
        };
        self.records
            .values_mut()
            .filter(is_overdue)
            .map(|record| record.time_out(now_ms))
            .collect()
    }

    /// Handles a mark of another machine that an upstream has timed out, if the mark is older than
    /// the newest heartbeat known here. That heartbeat has not reached the other machine, or crosses
    /// the mark.
    pub fn handle_outdated_time_out(
        &mut self,
        now_ms: u64,
        timeout_ms: u64,
        mark: &Registration,
    ) -> OutdatedTimeOut {
        let Some(record) = self.records.get_mut(&mark.id) else {
            return OutdatedTimeOut::Irrelevant;
        };
        let is_ready = record.registration.status == UpstreamStatus::Ready;
        let is_outdated = mark.sequence < record.registration.sequence;
        if mark.status != UpstreamStatus::TimedOut || !is_ready || !is_outdated {
            OutdatedTimeOut::Irrelevant
        } else if record.is_overdue(now_ms, timeout_ms) {
            OutdatedTimeOut::Confirmed(record.time_out(now_ms))
        } else {
            OutdatedTimeOut::Contradicted(record.as_of(now_ms))
        }
    }

    /// Removes draining, timed-out and deregistered upstreams after the retention time.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.records
            .retain(|_, record| match record.registration.status {
                UpstreamStatus::Ready => true,
                UpstreamStatus::Draining => {
                    now_ms <= record.last_heartbeat_ms + TOMBSTONE_RETENTION_MS
                }
                UpstreamStatus::TimedOut | UpstreamStatus::Deregistered => {
                    now_ms <= record.changed_at_ms + TOMBSTONE_RETENTION_MS
                }
            });
    }

    /// Applies a renewal: another machine has received a heartbeat with this sequence number, which
    /// changed nothing there. An upstream that has timed out here is ready again, because that
    /// machine may never have known of the time-out. The renewal of an unknown or terminating
    /// upstream is stale; the next heartbeat that is sent in full shows what has changed.
    pub fn renew(&mut self, now_ms: u64, id: &str, sequence: u64) -> MergeOutcome {
        let Some(record) = self.records.get_mut(id) else {
            return MergeOutcome::Stale;
        };
        let registration = &mut record.registration;
        let has_timed_out = registration.status == UpstreamStatus::TimedOut;
        if sequence <= registration.sequence || registration.status.is_terminating() {
            return MergeOutcome::Stale;
        }
        registration.sequence = sequence;
        registration.status = UpstreamStatus::Ready;
        record.last_heartbeat_ms = now_ms;
        if has_timed_out {
            record.changed_at_ms = now_ms;
            MergeOutcome::Changed
        } else {
            MergeOutcome::Renewed
        }
    }

    /// Returns whether a heartbeat of an upstream should be sent in full to the other machines,
    /// although it changed nothing here: the last one was sent [`REFRESH_INTERVAL_MS`] ago or
    /// earlier. If so, records that it is sent now.
    pub fn take_refresh(&mut self, now_ms: u64, id: &str) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let is_due = is_refresh_due(now_ms, record.refreshed_at_ms);
        if is_due {
            record.refreshed_at_ms = now_ms;
        }
        is_due
    }

    /// Returns the registrations that no heartbeat repeats to the other machines: those of upstreams
    /// that are not ready, or whose newest heartbeat is older than `timeout_ms`. The owner of such
    /// an upstream may not know of it.
    pub fn without_heartbeats(&self, now_ms: u64, timeout_ms: u64) -> Vec<Registration> {
        self.records
            .values()
            .filter(|record| {
                record.registration.status != UpstreamStatus::Ready
                    || record.is_overdue(now_ms, timeout_ms)
            })
            .map(|record| record.as_of(now_ms))
            .collect()
    }

    /// Returns the status of an upstream; `None` if the upstream is unknown.
    pub fn status(&self, id: &str) -> Option<UpstreamStatus> {
        let record = self.records.get(id)?;
        Some(record.registration.status)
    }

    /// Returns a registration, with its age and remaining warm-up as of `now_ms`.
    pub fn get(&self, now_ms: u64, id: &str) -> Option<Registration> {
        self.records.get(id).map(|record| record.as_of(now_ms))
    }

    /// Returns all registrations, with their ages and remaining warm-ups as of `now_ms`.
    pub fn all(&self, now_ms: u64) -> Vec<Registration> {
        self.records
            .values()
            .map(|record| record.as_of(now_ms))
            .collect()
    }

    /// Returns the number of registrations, including those that have timed out or deregistered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no registrations.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl RegistrationRecord {
    /// Creates the record of a previously unknown upstream.
    fn new(now_ms: u64, mut registration: Registration) -> Self {
        let is_ready = registration.status == UpstreamStatus::Ready;
        if is_ready && registration.age_ms > UNKNOWN_MAX_AGE_MS {
            registration.status = UpstreamStatus::TimedOut;
        }
        Self {
            last_heartbeat_ms: now_ms.saturating_sub(registration.age_ms),
            changed_at_ms: now_ms,
            refreshed_at_ms: 0,
            slow_start_until_ms: now_ms + registration.slow_start_remaining_ms,
            registration,
        }
    }

    fn merge(&mut self, now_ms: u64, registration: Registration) -> MergeOutcome {
        if !registration.supersedes(&self.registration) {
            return MergeOutcome::Stale;
        }
        if registration.status == UpstreamStatus::Deregistered {
            self.registration.status = UpstreamStatus::Deregistered;
            self.changed_at_ms = now_ms;
            return MergeOutcome::Changed;
        }
        if registration.sequence > self.registration.sequence {
            let heartbeat_at = now_ms.saturating_sub(registration.age_ms);
            self.last_heartbeat_ms = self.last_heartbeat_ms.max(heartbeat_at);
        }
        let max_slow_start_remaining_ms =
            self.slow_start_until_ms.saturating_sub(now_ms) + SLOW_START_TOLERANCE_MS;
        let has_changed =
            registration.differs_from(&self.registration, max_slow_start_remaining_ms);
        if has_changed || registration.slow_start_remaining_ms == 0 {
            self.slow_start_until_ms = now_ms + registration.slow_start_remaining_ms;
        }
        self.registration = registration;
        if has_changed {
            self.changed_at_ms = now_ms;
            MergeOutcome::Changed
        } else {
            MergeOutcome::Renewed
        }
    }

    fn is_overdue(&self, now_ms: u64, timeout_ms: u64) -> bool {
        now_ms > self.last_heartbeat_ms + timeout_ms
    }

    /// Marks the upstream as timed out, and returns its registration.
    fn time_out(&mut self, now_ms: u64) -> Registration {
        self.registration.status = UpstreamStatus::TimedOut;
        self.changed_at_ms = now_ms;
        self.registration.clone()
    }

    fn as_of(&self, now_ms: u64) -> Registration {
        let slow_start_remaining_ms = self.slow_start_until_ms.saturating_sub(now_ms);
        let age_ms = now_ms.saturating_sub(self.last_heartbeat_ms);
        Registration {
            slow_start_remaining_ms,
            age_ms,
            ..self.registration.clone()
        }
    }
}
