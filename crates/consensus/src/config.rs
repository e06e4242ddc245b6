//! Settings of a replica group.

/// A time or a duration in milliseconds. A time is read from the replica's own monotonic clock.
pub type Milliseconds = u64;

/// The heartbeat interval and the election time-outs of a replica group.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The longest time between two heartbeats of a leader.
    pub heartbeat_interval: Milliseconds,
    /// The lower bound of the random election time-out. A follower ignores vote requests for this
    /// long after its last contact with the leader.
    pub election_timeout_min: Milliseconds,
    /// The upper bound of the random election time-out. A replica draws a new time-out between the
    /// two bounds each time its election timer is reset (Raft, section 5.2).
    pub election_timeout_max: Milliseconds,
}

impl Timing {
    /// Timing for a group whose replicas are in several regions. A round trip between two regions
    /// takes up to 110 ms, and a replica may have only a fraction of a CPU core.
    pub const MULTI_REGION: Self = Self {
        heartbeat_interval: 150,
        election_timeout_min: 900,
        election_timeout_max: 1_500,
    };
}

/// Settings that all replicas of a group share.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The heartbeat interval and the election time-outs.
    pub timing: Timing,
    /// The number of voters below which automatic membership changes do not shrink the group. A
    /// group that tolerates `n` faults needs `2 * n + 1` voters.
    pub min_voters: usize,
}
