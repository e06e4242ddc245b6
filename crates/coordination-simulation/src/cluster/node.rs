//! A node: a process, if one runs, and what outlives it.

use super::event::Event;
use std::collections::{BTreeSet, VecDeque};
use woadstall_consensus::DurableState;
use woadstall_control_simulation::disk::SimulatedDisk;
use woadstall_coordination::machine::CoordinationMachine;

/// A node of the cluster.
pub(super) struct Node {
    /// Its internal address.
    pub address: String,
    pub zone: usize,
    pub region: usize,
    /// The process, if it runs.
    pub process: Option<CoordinationMachine>,
    pub disk: SimulatedDisk,
    /// The number of processes that were started here so far.
    pub incarnation: u64,
    /// When the process started, in milliseconds: its own clock counts from there.
    pub started_ms: u64,
    /// Until when the process is frozen, in milliseconds.
    pub frozen_until_ms: u64,
    /// What has arrived while it is frozen.
    pub inbox: VecDeque<Event>,
    /// Whether the process was told that it will be ended.
    pub is_shutting_down: bool,
    /// When the process is to be called next, beside its ticks, in milliseconds.
    pub due_ms: Option<u64>,
    /// The addresses to which the process keeps connections.
    pub connected: BTreeSet<String>,
    /// Whether it was not removed.
    pub is_present: bool,
}

impl Node {
    /// A node whose process does not run yet.
    pub fn new(address: String, zone: usize, region: usize, initial: DurableState) -> Self {
        Self {
            address,
            zone,
            region,
            process: None,
            disk: SimulatedDisk::new(initial),
            incarnation: 0,
            started_ms: 0,
            frozen_until_ms: 0,
            inbox: VecDeque::new(),
            is_shutting_down: false,
            due_ms: None,
            connected: BTreeSet::new(),
            is_present: true,
        }
    }

    /// The process's own clock at a time.
    pub fn clock(&self, now_ms: u64) -> u64 {
        now_ms - self.started_ms
    }
}
