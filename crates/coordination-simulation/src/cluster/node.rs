//! A node: its process, its disk and the state that outlives the process.

use super::event::Event;
use std::collections::{BTreeSet, VecDeque};
use woadstall_consensus::DurableState;
use woadstall_control_simulation::disk::SimulatedDisk;
use woadstall_coordination::machine::CoordinationMachine;

/// A node of the cluster.
pub(super) struct Node {
    /// Address at which other machines reach the node.
    pub address: String,
    pub zone: usize,
    pub region: usize,
    /// The process; `None` if it does not run.
    pub process: Option<CoordinationMachine>,
    pub disk: SimulatedDisk,
    /// Number of processes that have been started on the node; identifies the current process.
    pub incarnation: u64,
    /// When the process started, in milliseconds; the clock of the process starts at 0 then.
    pub started_ms: u64,
    /// When the process resumes after a freeze, in milliseconds; 0 if it was not frozen.
    pub frozen_until_ms: u64,
    /// Events that arrived while the process is frozen.
    pub inbox: VecDeque<Event>,
    /// Whether the process got notice of its shutdown.
    pub is_shutting_down: bool,
    /// Next scheduled deadline of the process in addition to its periodic ticks, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Addresses that the process has asked to be connected to.
    pub wanted_connections: BTreeSet<String>,
    /// Whether the node is part of the cluster; `false` once it was removed.
    pub is_present: bool,
}

impl Node {
    /// A node whose process does not run yet, with a disk that contains `initial_state`.
    pub fn new(address: String, zone: usize, region: usize, initial_state: DurableState) -> Self {
        Self {
            address,
            zone,
            region,
            process: None,
            disk: SimulatedDisk::new(initial_state),
            incarnation: 0,
            started_ms: 0,
            frozen_until_ms: 0,
            inbox: VecDeque::new(),
            is_shutting_down: false,
            deadline_ms: None,
            wanted_connections: BTreeSet::new(),
            is_present: true,
        }
    }

    /// Time of the process's own clock at a virtual time, in milliseconds.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.started_ms
    }
}
