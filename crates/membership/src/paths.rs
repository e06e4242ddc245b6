//! The two directions between the local member and another one. A partition of one direction only
//! is no death, and which direction it is can be told from either end.

use crate::time::Timestamp;

/// What is known of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PathState {
    /// Nothing yet, or nothing recent enough.
    #[default]
    Unknown,
    /// Messages arrive.
    Open,
    /// No message arrives, though the other member is alive.
    Partitioned,
}

/// The state of a direction, and when it was observed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PathObservation {
    state: PathState,
    at: Timestamp,
}

impl PathObservation {
    fn open(at: Timestamp) -> Self {
        let state = PathState::Open;
        Self { state, at }
    }

    fn partitioned(at: Timestamp) -> Self {
        let state = PathState::Partitioned;
        Self { state, at }
    }
}

/// Both directions between the local member and another one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Paths {
    outbound: Option<PathObservation>,
    inbound: Option<PathObservation>,
    /// Sequence number of the last direct probe that the other member sent here.
    pub last_direct_sequence: u64,
    /// Direct probes in a row that were answered through others only.
    consecutive_indirect_acks: u32,
}

/// This many indirect acknowledgements in a row show a partition; fewer may be lost messages.
const PARTITION_THRESHOLD: u32 = 3;

impl Paths {
    /// A message came from the other member itself.
    pub fn record_received(&mut self, now: Timestamp) {
        self.inbound = Some(PathObservation::open(now));
    }

    /// The other member has acknowledged a direct probe itself, so both directions are open.
    pub fn record_direct_ack(&mut self, now: Timestamp) {
        self.outbound = Some(PathObservation::open(now));
        self.inbound = Some(PathObservation::open(now));
        self.consecutive_indirect_acks = 0;
    }

    /// The other member is alive, as a third one found, but has not acknowledged the direct probe
    /// `sequence` itself. The last direct probe that it received from here is `last_received`.
    /// A message that came within `recent` nanoseconds shows that the inbound direction is open.
    ///
    /// Returns whether that has happened often enough to be more than a lost message.
    pub fn record_indirect_ack(
        &mut self,
        now: Timestamp,
        sequence: u64,
        last_received: u64,
        recent: u64,
    ) -> bool {
        let was_delivered = last_received >= sequence && sequence > 0;
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
        // A probe that was delivered and not acknowledged lost its acknowledgement on the way back,
        // unless something else came that way lately. Of one that was not delivered nothing follows.
        let open_lately = self.inbound.is_some_and(|inbound| {
            inbound.state == PathState::Open && now < inbound.at.saturating_add(recent)
        });
        if was_delivered && !open_lately {
            self.inbound = Some(PathObservation::partitioned(now));
        }
        true
    }

    /// Whether a message came from the other member itself at or after `since`.
    pub fn received_since(&self, since: Timestamp) -> bool {
        let inbound = self.inbound;
        inbound.is_some_and(|inbound| inbound.state == PathState::Open && inbound.at >= since)
    }

    /// Whether the last acknowledgement came through others only.
    pub fn is_doubtful(&self) -> bool {
        self.consecutive_indirect_acks > 0
    }

    /// The direction from the local member to the other; observations hold for `lifetime`
    /// nanoseconds.
    pub fn outbound(&self, now: Timestamp, lifetime: u64) -> PathState {
        Self::current(self.outbound, now, lifetime)
    }

    /// The direction from the other member to the local one; observations hold for `lifetime`
    /// nanoseconds.
    pub fn inbound(&self, now: Timestamp, lifetime: u64) -> PathState {
        Self::current(self.inbound, now, lifetime)
    }

    /// Whether either direction is partitioned.
    pub fn is_partitioned(&self, now: Timestamp, lifetime: u64) -> bool {
        let directions = [self.outbound(now, lifetime), self.inbound(now, lifetime)];
        directions.contains(&PathState::Partitioned)
    }

    fn current(path: Option<PathObservation>, now: Timestamp, lifetime: u64) -> PathState {
        path.filter(|path| now < path.at.saturating_add(lifetime))
            .map_or(PathState::Unknown, |path| path.state)
    }
}
