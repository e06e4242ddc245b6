//! What a machine is given at its start.

use crate::state::CoordinationState;
use crate::wire::MachineInfo;
use woadstall_consensus::{Member, Membership, Snapshot};

/// The settings of a machine.
#[derive(Clone, Debug)]
pub struct MachineSettings {
    /// The machine itself.
    pub machine: MachineInfo,
    /// Internal addresses of the seeds.
    pub seeds: Vec<String>,
    /// The number of machines with a disk that may be lost at a time.
    pub tolerated_failures: usize,
    /// For how long the history of keys is kept at least, in milliseconds.
    pub history_ms: u64,
    /// Distinguishes this process and its calls from earlier processes of the machine.
    pub incarnation: u64,
}

/// The snapshot that founders of a group begin with: the seeds are its voters. All founders make
/// the same one, so that there is one group, whichever of them starts first.
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
