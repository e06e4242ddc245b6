//! Operations and faults on nodes: start, stop, crash and pause of processes; stalls, rejected
//! writes and losses of disks; partitions.

use super::node::Node;
use super::{Cluster, address};
use crate::NodeIndex;
use crate::digest::Observation;
use crate::disk::SimulatedDisk;
use crate::network::Link;
use std::collections::BTreeMap;
use woadstall_consensus::{DurableState, Member, Snapshot};
use woadstall_control::machine::{ControlMachine, MachineSettings};
use woadstall_control::wire::MachineInfo;

/// Interval of the heartbeats that processes expect from upstreams, in milliseconds.
const UPSTREAM_HEARTBEAT_MS: u64 = 1_200;

impl Cluster {
    /// Starts the process of a node from its disk, unless it runs already or the node was removed.
    pub fn start(&mut self, node: NodeIndex) {
        if self.nodes[node].process.is_some() || !self.nodes[node].is_present {
            return;
        }
        let (incarnation, seed) = (self.random.u64(1..), self.random.u64(..));
        let settings = self.settings(node, incarnation);
        let host = &mut self.nodes[node];
        host.incarnation += 1;
        host.paused_until_ms = 0;
        let durable = host.disk.durable().clone();
        let mut process = ControlMachine::new(settings, durable, self.now_ms, seed);
        process.restore_registrations(host.disk.registrations.clone());
        host.process = Some(process);
        self.observe(Observation::Start, |digest| {
            digest.node(node).number(incarnation).number(seed)
        });
        self.execute_actions(node);
    }

    /// Starts all processes that do not run.
    pub fn start_all(&mut self) {
        (0..self.len()).for_each(|node| self.start(node));
    }

    fn settings(&self, node: NodeIndex, incarnation: u64) -> MachineSettings {
        let machine = MachineInfo {
            member: Member {
                id: self.disk(node).durable().id,
                address: address(node),
            },
            zone: format!("zone-{node}"),
            region: format!("region-{}", node % self.topology.regions),
            control_address: String::new(),
        };
        MachineSettings {
            machine,
            seeds: (0..self.topology.founders).map(address).collect(),
            zones: BTreeMap::new(),
            heartbeat_ms: UPSTREAM_HEARTBEAT_MS,
            tolerated_failures: self.topology.tolerated_failures,
            incarnation,
        }
    }

    /// Stops a process. Unsynced writes are lost.
    pub fn stop(&mut self, node: NodeIndex) {
        self.end(node, 0);
    }

    /// Ends a process by a power loss. A random part of the unsynced writes survives, possibly
    /// torn.
    pub fn crash(&mut self, node: NodeIndex) {
        let started_writes = self.random.usize(..=self.nodes[node].disk.queued());
        self.end(node, started_writes);
    }

    /// Crashes all processes.
    pub fn crash_all(&mut self) {
        (0..self.len()).for_each(|node| self.crash(node));
    }

    /// Ends a process. The disk had started the first `started_writes` of its queued writes.
    fn end(&mut self, node: NodeIndex, started_writes: usize) {
        self.observe(Observation::End, |digest| {
            digest.node(node).number(started_writes as u64)
        });
        let host = &mut self.nodes[node];
        host.process = None;
        host.balancers = BTreeMap::new();
        host.disk.lose_power(started_writes, &mut self.random);
        for other in 0..self.len() {
            self.network.reset(
                self.now_ms,
                Link {
                    from: node,
                    to: other,
                },
            );
            self.network.reset(
                self.now_ms,
                Link {
                    from: other,
                    to: node,
                },
            );
        }
    }

    /// Stops a process and replaces its disk by an empty one. The next process of the node has a
    /// new replica id.
    pub fn wipe_disk(&mut self, node: NodeIndex) {
        self.stop(node);
        self.nodes[node].disk = SimulatedDisk::new(self.state_of_empty_disk());
    }

    fn state_of_empty_disk(&mut self) -> DurableState {
        let id = self.next_replica_id;
        self.next_replica_id += 1;
        DurableState::new(id, Snapshot::default())
    }

    /// Stops a node and removes it permanently.
    pub fn remove_node(&mut self, node: NodeIndex) {
        self.stop(node);
        self.nodes[node].is_present = false;
    }

    /// Adds a node with an empty disk and starts it. Returns its index.
    pub fn add_node(&mut self) -> NodeIndex {
        let initial_state = self.state_of_empty_disk();
        self.nodes.push(Node::new(initial_state));
        let node = self.len() - 1;
        self.start(node);
        node
    }

    /// Pauses a process for `duration_ms`. Packets that arrive meanwhile are delivered afterwards.
    pub fn pause(&mut self, node: NodeIndex, duration_ms: u64) {
        self.nodes[node].paused_until_ms = self.now_ms + duration_ms;
    }

    pub(super) fn is_paused(&self, node: NodeIndex) -> bool {
        self.now_ms < self.nodes[node].paused_until_ms
    }

    /// Stalls a disk for `duration_ms`: it completes no sync until then.
    pub fn stall_disk(&mut self, node: NodeIndex, duration_ms: u64) {
        self.nodes[node].disk.stalled_until_ms = self.now_ms + duration_ms;
    }

    /// Lets a disk reject all writes for `duration_ms`.
    pub fn reject_writes(&mut self, node: NodeIndex, duration_ms: u64) {
        self.nodes[node].disk.rejects_until_ms = self.now_ms + duration_ms;
    }

    /// Notifies a process that it is about to be stopped.
    pub fn announce_shutdown(&mut self, node: NodeIndex) {
        self.call(node, |process, now_ms, _| process.begin_shutdown(now_ms));
    }

    /// Partitions a node from all others.
    pub fn isolate(&mut self, node: NodeIndex) {
        for other in self.others(node) {
            self.network.partition(node, other);
        }
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.network.heal();
    }

    /// Ends all faults, and starts all processes.
    pub fn clear_faults(&mut self) {
        self.heal();
        for node in &mut self.nodes {
            node.paused_until_ms = 0;
            node.disk.clear_faults();
        }
        self.start_all();
    }
}
