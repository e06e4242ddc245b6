//! Faults of nodes: killed, frozen and shut down processes, power losses, stalled and lost disks,
//! replaced machines, and reset connections.

use super::event::Event;
use super::node::Node;
use super::{Cluster, address};
use woadstall_consensus::{DurableState, Snapshot};
use woadstall_control_simulation::NodeIndex;
use woadstall_control_simulation::disk::SimulatedDisk;
use woadstall_control_simulation::network::Link;

/// Time between the notice of a shutdown and the end of the process, in milliseconds.
const SHUTDOWN_NOTICE_MS: u64 = 600;

impl Cluster {
    /// Kills a process, which restarts after `down_ms`. Writes that were not synced are lost.
    pub fn kill(&mut self, node: NodeIndex, down_ms: u64) {
        self.log_event(Some(node), format!("fault kill for {down_ms}"));
        self.end(node, 0);
        self.schedule(down_ms, Event::Start { node });
    }

    /// Cuts the power of a node, which restarts after `down_ms`. A random part of the writes that
    /// were not synced is lost.
    pub fn lose_power(&mut self, node: NodeIndex, down_ms: u64) {
        self.log_event(Some(node), format!("fault power for {down_ms}"));
        let started_writes = self.random.usize(..=self.nodes[node].disk.queued());
        self.end(node, started_writes);
        self.schedule(down_ms, Event::Start { node });
    }

    /// Destroys the disk of a node, which restarts after `down_ms` with an empty disk and a new
    /// replica id.
    pub fn lose_disk(&mut self, node: NodeIndex, down_ms: u64) {
        self.log_event(Some(node), format!("fault disk lost for {down_ms}"));
        self.end(node, 0);
        self.nodes[node].disk = SimulatedDisk::new(self.state_of_empty_disk());
        self.schedule(down_ms, Event::Start { node });
    }

    fn state_of_empty_disk(&mut self) -> DurableState {
        let id = self.next_replica_id;
        self.next_replica_id += 1;
        DurableState::new(id, Snapshot::default())
    }

    /// Removes a machine, and adds an empty one at a new address in the same zone, which starts
    /// after `down_ms`.
    pub fn replace(&mut self, node: NodeIndex, down_ms: u64) {
        self.log_event(Some(node), format!("fault replace for {down_ms}"));
        self.end(node, 0);
        self.nodes[node].is_present = false;
        let initial_state = self.state_of_empty_disk();
        let (zone, region) = (self.nodes[node].zone, self.nodes[node].region);
        let added_node = self.nodes.len();
        self.nodes
            .push(Node::new(address(added_node), zone, region, initial_state));
        let known_addresses = self.known_addresses();
        for other in 0..self.nodes.len() {
            if let Some(process) = self.nodes[other].process.as_mut() {
                process.set_known_addresses(known_addresses.clone());
                self.execute_actions(other);
            }
        }
        self.schedule(down_ms, Event::Start { node: added_node });
    }

    /// Shuts a process down gracefully: the process gets notice, ends after the notice period, and
    /// restarts `down_ms` later. Does nothing to a process that is frozen or does not run.
    pub fn shut_down(&mut self, node: NodeIndex, down_ms: u64) {
        if self.nodes[node].process.is_none() || self.is_frozen(node) {
            return;
        }
        self.log_event(Some(node), format!("fault shutdown for {down_ms}"));
        self.nodes[node].is_shutting_down = true;
        self.with_process(node, |process, now_ms| process.begin_shutdown(now_ms));
        let incarnation = self.nodes[node].incarnation;
        self.schedule(SHUTDOWN_NOTICE_MS, Event::Stop { node, incarnation });
        self.schedule(SHUTDOWN_NOTICE_MS + down_ms, Event::Start { node });
    }

    /// Freezes a process for `duration_ms`: it handles no events until then.
    pub fn freeze(&mut self, node: NodeIndex, duration_ms: u64) {
        if self.nodes[node].process.is_none() {
            return;
        }
        self.log_event(Some(node), format!("fault freeze for {duration_ms}"));
        let until_ms = self.now_ms + duration_ms;
        let host = &mut self.nodes[node];
        host.frozen_until_ms = host.frozen_until_ms.max(until_ms);
        let incarnation = host.incarnation;
        self.schedule(duration_ms, Event::Resume { node, incarnation });
    }

    /// Stalls a disk for `duration_ms`: it completes no sync until then.
    pub fn stall_disk(&mut self, node: NodeIndex, duration_ms: u64) {
        self.log_event(Some(node), format!("fault disk stall for {duration_ms}"));
        let until_ms = self.now_ms + duration_ms;
        let disk = &mut self.nodes[node].disk;
        disk.stalled_until_ms = disk.stalled_until_ms.max(until_ms);
    }

    /// Resets all connections of a node. Packets that the network holds back may still arrive late.
    pub fn reset_connections(&mut self, node: NodeIndex) {
        self.log_event(Some(node), "fault connections reset".to_owned());
        for other in 0..self.nodes.len() {
            for (from, to) in [(node, other), (other, node)] {
                self.reset_connection(Link { from, to });
            }
        }
    }

    /// Ends all faults, and starts all processes that do not run.
    pub fn clear_faults(&mut self) {
        self.log_event(None, "all faults end".to_owned());
        self.heal();
        for node in 0..self.nodes.len() {
            self.nodes[node].disk.clear_faults();
            if self.is_frozen(node) {
                self.nodes[node].frozen_until_ms = 0;
                self.resume(node);
            }
        }
        self.start_all();
    }

    pub(super) fn is_frozen(&self, node: NodeIndex) -> bool {
        self.now_ms < self.nodes[node].frozen_until_ms
    }
}
