//! Settings of a replica group.

/// A time or a duration in milliseconds. Times are on the replica's own monotonic clock.
pub type Milliseconds = u64;

/// Intervals and time-outs.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The longest time between two heartbeats of a leader.
    pub heartbeat_interval: Milliseconds,
    /// The shortest election time-out.
    pub election_timeout_min: Milliseconds,
    /// The longest election time-out. A replica draws its own between the two each time (Raft,
    /// section 5.2).
    pub election_timeout_max: Milliseconds,
}

impl Timing {
    /// For a group over several regions: a round trip between them takes up to 110 ms, and a machine
    /// has a part of a core.
    pub const MULTI_REGION: Self = Self {
        heartbeat_interval: 150,
        election_timeout_min: 900,
        election_timeout_max: 1_500,
    };
}

/// Settings that all replicas of a group share.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Intervals and time-outs.
    pub timing: Timing,
    /// The smallest group that automatic membership changes leave: for `n` tolerated faults, `2 * n
    /// + 1` voters.
    pub min_voters: usize,
}
