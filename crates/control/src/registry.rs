//! The registrations of upstreams. Every control machine holds all of them; changes are merged, so that their order does
//! not matter: a registration with a higher sequence number wins, and an incarnation that has left stays so.

use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;
use std::fmt;

/// How far an upstream's registration is. A later one wins at the same sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum UpstreamStatus {
    /// It takes requests.
    Ready,
    /// No heartbeat has come for several periods; the next one makes it what that says.
    TimedOut,
    /// It is about to leave and gets nothing new.
    Draining,
    /// It has left for good.
    Deregistered,
}

/// The name of a status in the log and in the JSON of a machine's status, which differs from the identifier for two of them.
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
    /// Whether an upstream says by this that it leaves or has left.
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
    /// Requests that it works on at once.
    pub capacity: u64,
    /// The newest heartbeat's number.
    pub sequence: u64,
    /// Its status.
    pub status: UpstreamStatus,
    /// How much longer it is slow from its start, in milliseconds, as of when this record was made or sent.
    pub slow_start_remaining_ms: u64,
    /// The time left of one that goes away at short notice, in milliseconds; 0 where none was told.
    pub remaining_ms: u64,
    /// How long ago its newest heartbeat came, in milliseconds, as of when this record was made or sent.
    pub age_ms: u64,
}

impl Registration {
    /// All that is known of an upstream that has left without having been heard of.
    fn departed(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: String::new(),
            address: String::new(),
            zone: String::new(),
            capacity: 0,
            sequence: 0,
            status: UpstreamStatus::Deregistered,
            slow_start_remaining_ms: 0,
            remaining_ms: 0,
            age_ms: 0,
        }
    }

    /// Whether this says something that balancers must hear of, beside what the other says.
    fn differs(&self, other: &Self) -> bool {
        let became_cold = self.slow_start_remaining_ms > other.slow_start_remaining_ms;
        self.status != other.status
            || self.address != other.address
            || self.service != other.service
            || self.zone != other.zone
            || self.capacity != other.capacity
            || became_cold
    }
}

/// A registration as one machine holds it.
#[derive(Clone, Debug)]
struct Held {
    registration: Registration,
    /// When the newest heartbeat was heard of.
    heard: u64,
    /// When it was last changed in a way that balancers hear of.
    changed: u64,
    cold_until: u64,
}

/// What a merge has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// Nothing: it was old or known.
    Old,
    /// Only that the upstream is still there.
    Renewed,
    /// Something that balancers must hear of.
    Changed,
}

/// All registrations, with times in milliseconds of one machine's clock.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    held: BTreeMap<String, Held>,
}

/// How long an incarnation that has left, or fell silent, is remembered in milliseconds, so that a late heartbeat does not bring it
/// back.
const REMEMBER: u64 = 120_000;
/// The age in milliseconds from which on nothing is believed of an unknown upstream that was ready: others may have heard that
/// it left and have forgotten it since. Far less than what is remembered, far more than heartbeats are apart.
const STALE: u64 = 60_000;

impl Registry {
    /// Merges a registration, heard of at a time.
    pub fn merge(&mut self, now: u64, mut registration: Registration) -> Merge {
        let cold_until = now + registration.slow_start_remaining_ms;
        let heard = now.saturating_sub(registration.age_ms);
        let id = registration.id.clone();
        let Some(held) = self.held.get_mut(&id) else {
            if registration.status == UpstreamStatus::Ready && registration.age_ms > STALE {
                registration.status = UpstreamStatus::TimedOut;
            }
            let held = Held {
                registration,
                heard,
                changed: now,
                cold_until,
            };
            self.held.insert(id, held);
            return Merge::Changed;
        };
        let old = &held.registration;
        let newer = match (old.status, registration.status) {
            (UpstreamStatus::Deregistered, _) => false,
            (_, UpstreamStatus::Deregistered) => true,
            _ => (registration.sequence, registration.status) > (old.sequence, old.status),
        };
        if !newer {
            return Merge::Old;
        }
        if registration.status == UpstreamStatus::Deregistered {
            held.registration.status = UpstreamStatus::Deregistered;
            held.changed = now;
            return Merge::Changed;
        }
        if registration.sequence > old.sequence {
            held.heard = held.heard.max(heard);
        }
        let left = held.cold_until.saturating_sub(now);
        let before = Registration {
            slow_start_remaining_ms: left + COLD_JITTER,
            ..old.clone()
        };
        let changed = registration.differs(&before);
        held.registration = registration;
        if changed || held.registration.slow_start_remaining_ms == 0 {
            held.cold_until = cold_until;
        }
        if changed {
            held.changed = now;
            return Merge::Changed;
        }
        Merge::Renewed
    }

    /// An upstream says that it has left. One that is not known is remembered all the same: others may know it, or hear of it
    /// later.
    pub fn leave(&mut self, now: u64, id: &str) -> Merge {
        self.merge(now, Registration::departed(id))
    }

    /// Marks upstreams of the given services silent whose last heartbeat is longer ago than this, and tells which.
    pub fn expire(
        &mut self,
        now: u64,
        after: u64,
        owns: impl Fn(&str) -> bool,
    ) -> Vec<Registration> {
        let overdue = |held: &&mut Held| {
            let registration = &held.registration;
            let silent = now > held.heard + after && registration.status == UpstreamStatus::Ready;
            silent && owns(&registration.service)
        };
        let mark = |held: &mut Held| {
            held.registration.status = UpstreamStatus::TimedOut;
            held.changed = now;
            held.registration.clone()
        };
        self.held.values_mut().filter(overdue).map(mark).collect()
    }

    /// Forgets what left or fell silent long ago.
    pub fn forget(&mut self, now: u64) {
        self.held.retain(|_, held| match held.registration.status {
            UpstreamStatus::Ready => true,
            UpstreamStatus::Draining => now <= held.heard + REMEMBER,
            UpstreamStatus::TimedOut | UpstreamStatus::Deregistered => {
                now <= held.changed + REMEMBER
            }
        });
    }

    /// Hears that upstreams were still there at these sequence numbers; they were heard by another machine.
    pub fn renew(&mut self, now: u64, id: &str, sequence: u64) {
        let Some(held) = self.held.get_mut(id) else {
            return;
        };
        if sequence > held.registration.sequence
            && held.registration.status == UpstreamStatus::Ready
        {
            held.registration.sequence = sequence;
            held.heard = now;
        }
    }

    /// A registration, with its times as of now.
    pub fn get(&self, now: u64, id: &str) -> Option<Registration> {
        self.held.get(id).map(|held| held.as_of(now))
    }

    /// All registrations, with their times as of now.
    pub fn all(&self, now: u64) -> Vec<Registration> {
        self.held.values().map(|held| held.as_of(now)).collect()
    }

    /// The number of registrations.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

/// Milliseconds by which an upstream's own count of its cold time may differ from ours without meaning a new one.
const COLD_JITTER: u64 = 400;

impl Held {
    fn as_of(&self, now: u64) -> Registration {
        let slow_start_remaining_ms = self.cold_until.saturating_sub(now);
        let age_ms = now.saturating_sub(self.heard);
        Registration {
            slow_start_remaining_ms,
            age_ms,
            ..self.registration.clone()
        }
    }
}
