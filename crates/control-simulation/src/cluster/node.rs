//! A node: its process, its disk and the state that outlives the process.

use crate::balancer::Balancer;
use crate::disk::SimulatedDisk;
use std::collections::BTreeMap;
use woadstall_consensus::DurableState;
use woadstall_control::machine::ControlMachine;

/// A node of the cluster.
pub(super) struct Node {
    /// The control process; `None` if it does not run.
    pub(super) process: Option<ControlMachine>,
    pub(super) disk: SimulatedDisk,
    /// Number of processes that have been started on the node; identifies the current process.
    pub(super) incarnation: u64,
    /// End of a pause of the process, in milliseconds; 0 if it was not paused.
    pub(super) paused_until_ms: u64,
    /// Balancers that read the feed of the process, by subscription number.
    pub(super) balancers: BTreeMap<u64, Balancer>,
    /// Whether the node is part of the cluster; `false` once it was removed.
    pub(super) is_present: bool,
}

impl Node {
    /// A node whose process does not run yet, with a disk that contains `initial_state`.
    pub(super) fn new(initial_state: DurableState) -> Self {
        Self {
            process: None,
            disk: SimulatedDisk::new(initial_state),
            incarnation: 0,
            paused_until_ms: 0,
            balancers: BTreeMap::new(),
            is_present: true,
        }
    }
}
