//! The settings of a machine and the snapshot that a new group starts from.

use crate::state::CoordinationState;
use crate::wire::MachineInfo;
use woadstall_consensus::{Member, Membership, Snapshot};

/// The settings with which a machine starts.
#[derive(Clone, Debug)]
pub struct MachineSettings {
    /// The identity and the location of this machine.
    pub machine: MachineInfo,
    /// Internal addresses of the seed machines.
    pub seeds: Vec<String>,
    /// The number of simultaneous failures of machines with a disk that the group tolerates. The
    /// group needs `2 * tolerated_failures + 1` voters.
    pub tolerated_failures: usize,
    /// The minimum retention time of the key history, in milliseconds.
    pub history_ms: u64,
    /// Distinguishes this process and its calls from earlier processes on the machine.
    pub incarnation: u64,
}

/// The snapshot from which the seeds bootstrap a group, with the seeds as voters. Every seed builds
/// an identical snapshot, so a single group forms regardless of the order in which the seeds start.
pub fn initial_snapshot(seeds: &[Member]) -> Snapshot {
    let mut voters = seeds.to_vec();
    voters.sort_by_key(|member| member.id);
    voters.dedup();
    Snapshot {
        index: 1,
        term: 1,
        membership: Membership::new(voters),
        state: CoordinationState::default().encode(),
    }
}
