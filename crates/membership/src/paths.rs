//! State of the two directions between the local member and another one. A one-way partition is not
//! a death, and either end can determine which direction is partitioned.

use crate::time::Timestamp;

/// The observed state of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PathState {
    /// The direction was never observed, or the last observation is too old.
    #[default]
    Unknown,
    /// Messages are delivered.
    Open,
    /// Messages are not delivered although the other member is alive.
    Partitioned,
}

/// State of a direction and the time of the observation.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PathObservation {
    state: PathState,
    observed_at: Timestamp,
}

impl PathObservation {
    fn open(observed_at: Timestamp) -> Self {
        let state = PathState::Open;
        Self { state, observed_at }
    }

    fn partitioned(observed_at: Timestamp) -> Self {
        let state = PathState::Partitioned;
        Self { state, observed_at }
    }
}

/// The two directions between the local member and another one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Paths {
    outbound: Option<PathObservation>,
    inbound: Option<PathObservation>,
    /// Sequence number of the most recent direct ping received from the other member.
    pub last_direct_sequence: u64,
    /// Number of consecutive probes that were acknowledged only through relays.
    consecutive_indirect_acks: u32,
}

/// Number of consecutive indirect acknowledgements that indicates a partition. Fewer indirect
/// acknowledgements may be due to lost messages.
const PARTITION_THRESHOLD: u32 = 3;

impl Paths {
    /// Records a message received directly from the other member.
    pub fn record_received(&mut self, now: Timestamp) {
        self.inbound = Some(PathObservation::open(now));
    }

    /// Records a direct acknowledgement of a direct ping, which shows that both directions are
    /// open.
    pub fn record_direct_ack(&mut self, now: Timestamp) {
        self.outbound = Some(PathObservation::open(now));
        self.inbound = Some(PathObservation::open(now));
        self.consecutive_indirect_acks = 0;
    }

    /// Records an indirect acknowledgement: a relay reached the other member, but the direct ping
    /// `sequence` was not acknowledged directly. `last_direct_sequence` is the sequence number of
    /// the last direct ping that the other member received from the local one. A message received
    /// within the last `recent_ns` nanoseconds shows that the inbound direction is open.
    ///
    /// A failed probe of a member that still sends messages is recorded in the same way, with 0 as
    /// `last_direct_sequence`.
    ///
    /// Returns whether enough consecutive indirect acknowledgements were recorded to rule out a
    /// lost message.
    pub fn record_indirect_ack(
        &mut self,
        now: Timestamp,
        sequence: u64,
        last_direct_sequence: u64,
        recent_ns: u64,
    ) -> bool {
        let was_delivered = last_direct_sequence >= sequence && sequence > 0;
        self.consecutive_indirect_acks = self.consecutive_indirect_acks.saturating_add(1);
        if was_delivered {
            self.outbound = Some(PathObservation::open(now));
        }
        if self.consecutive_indirect_acks < PARTITION_THRESHOLD {
            return false;
        }
        if !was_delivered {
            self.outbound = Some(PathObservation::partitioned(now));
        }
        // If the ping was delivered but its acknowledgement did not arrive, the inbound direction
        // is partitioned, unless another message arrived on it recently. An undelivered ping says
        // nothing about the inbound direction.
        let is_recently_open = self.inbound.is_some_and(|inbound| {
            inbound.state == PathState::Open && now < inbound.observed_at.saturating_add(recent_ns)
        });
        if was_delivered && !is_recently_open {
            self.inbound = Some(PathObservation::partitioned(now));
        }
        true
    }

    /// Whether a direct message from the other member arrived at or after `since`.
    pub fn received_since(&self, since: Timestamp) -> bool {
        let inbound = self.inbound;
        inbound
            .is_some_and(|inbound| inbound.state == PathState::Open && inbound.observed_at >= since)
    }

    /// Whether the most recent acknowledgement arrived only through a relay.
    pub fn is_doubtful(&self) -> bool {
        self.consecutive_indirect_acks > 0
    }

    /// State of the direction from the local member to the other one. Observations stay valid for
    /// `lifetime_ns` nanoseconds.
    pub fn outbound(&self, now: Timestamp, lifetime_ns: u64) -> PathState {
        Self::current(self.outbound, now, lifetime_ns)
    }

    /// State of the direction from the other member to the local one. Observations stay valid for
    /// `lifetime_ns` nanoseconds.
    pub fn inbound(&self, now: Timestamp, lifetime_ns: u64) -> PathState {
        Self::current(self.inbound, now, lifetime_ns)
    }

    /// Whether either direction is partitioned.
    pub fn is_partitioned(&self, now: Timestamp, lifetime_ns: u64) -> bool {
        let directions = [
            self.outbound(now, lifetime_ns),
            self.inbound(now, lifetime_ns),
        ];
        directions.contains(&PathState::Partitioned)
    }

    fn current(path: Option<PathObservation>, now: Timestamp, lifetime_ns: u64) -> PathState {
        path.filter(|path| now < path.observed_at.saturating_add(lifetime_ns))
            .map_or(PathState::Unknown, |path| path.state)
    }
}
