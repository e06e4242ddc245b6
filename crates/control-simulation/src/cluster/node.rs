//! A node: a process, if one runs, and what outlives it.

use crate::balancer::Balancer;
use crate::disk::SimulatedDisk;
use std::collections::BTreeMap;
use woadstall_consensus::DurableState;
use woadstall_control::machine::ControlMachine;

/// A node of the cluster.
pub(super) struct Node {
    /// The control process, if it runs.
    pub(super) process: Option<ControlMachine>,
    pub(super) disk: SimulatedDisk,
    /// The number of processes that were started here so far.
    pub(super) incarnation: u64,
    /// Until when the process is paused, in milliseconds.
    pub(super) paused_until_ms: u64,
    /// The balancers that read the process's feed, by subscription.
    pub(super) balancers: BTreeMap<u64, Balancer>,
    /// Whether it was not removed.
    pub(super) is_present: bool,
}

impl Node {
    /// A node whose process does not run yet.
    pub(super) fn new(initial: DurableState) -> Self {
        Self {
            process: None,
            disk: SimulatedDisk::new(initial),
            incarnation: 0,
            paused_until_ms: 0,
            balancers: BTreeMap::new(),
            is_present: true,
        }
    }
}
