//! Faults of nodes: processes are killed, lose power, freeze and are shut down; disks stall and are
//! lost; machines are replaced; connections break.

use super::event::Event;
use super::node::Node;
use super::{Cluster, address};
use woadstall_consensus::{DurableState, Snapshot};
use woadstall_control_simulation::NodeIndex;
use woadstall_control_simulation::disk::SimulatedDisk;
use woadstall_control_simulation::network::Link;

/// Milliseconds between the announcement of a shutdown and the end of the process.
const SHUTDOWN_NOTICE_MS: u64 = 600;

impl Cluster {
    /// Kills a process, which starts again some milliseconds later; what it has not synced is lost.
    pub fn kill(&mut self, node: NodeIndex, down_ms: u64) {
        self.log_event(Some(node), format!("fault kill for {down_ms}"));
        self.end(node, 0);
        self.schedule(down_ms, Event::Start { node });
    }

    /// A node loses power, and starts again some milliseconds later; any part of what was not synced
    /// is lost.
    pub fn lose_power(&mut self, node: NodeIndex, down_ms: u64) {
        self.log_event(Some(node), format!("fault power for {down_ms}"));
        let started = self.random.usize(..=self.nodes[node].disk.queued());
        self.end(node, started);
        self.schedule(down_ms, Event::Start { node });
    }

    /// A node loses its disk, and starts again with an empty one and under a new identity.
    pub fn lose_disk(&mut self, node: NodeIndex, down_ms: u64) {
        self.log_event(Some(node), format!("fault disk lost for {down_ms}"));
        self.end(node, 0);
        self.nodes[node].disk = SimulatedDisk::new(self.empty_disk_state());
        self.schedule(down_ms, Event::Start { node });
    }

    fn empty_disk_state(&mut self) -> DurableState {
        let id = self.next_replica_id;
        self.next_replica_id += 1;
        DurableState::new(id, Snapshot::default())
    }

    /// Replaces a machine by an empty one at another address, which starts some milliseconds later.
    pub fn replace(&mut self, node: NodeIndex, down_ms: u64) {
        self.log_event(Some(node), format!("fault replace for {down_ms}"));
        self.end(node, 0);
        self.nodes[node].is_present = false;
        let initial = self.empty_disk_state();
        let (zone, region) = (self.nodes[node].zone, self.nodes[node].region);
        let added = self.nodes.len();
        self.nodes
            .push(Node::new(address(added), zone, region, initial));
        let known = self.known_addresses();
        for other in 0..self.nodes.len() {
            if let Some(process) = self.nodes[other].process.as_mut() {
                process.set_known_addresses(known.clone());
                self.carry_out_actions(other);
            }
        }
        self.schedule(down_ms, Event::Start { node: added });
    }

    /// A process is told that it will be ended, ends, and starts again some milliseconds later.
    pub fn shut_down(&mut self, node: NodeIndex, down_ms: u64) {
        if self.nodes[node].process.is_none() || self.is_frozen(node) {
            return;
        }
        self.log_event(Some(node), format!("fault shutdown for {down_ms}"));
        self.nodes[node].is_shutting_down = true;
        self.call(node, |process, now| process.begin_shutdown(now));
        let incarnation = self.nodes[node].incarnation;
        self.schedule(SHUTDOWN_NOTICE_MS, Event::Stop { node, incarnation });
        self.schedule(SHUTDOWN_NOTICE_MS + down_ms, Event::Start { node });
    }

    /// A process stands still for some milliseconds.
    pub fn freeze(&mut self, node: NodeIndex, duration_ms: u64) {
        if self.nodes[node].process.is_none() {
            return;
        }
        self.log_event(Some(node), format!("fault freeze for {duration_ms}"));
        let until_ms = self.now_ms + duration_ms;
        let host = &mut self.nodes[node];
        host.frozen_until_ms = host.frozen_until_ms.max(until_ms);
        let incarnation = host.incarnation;
        self.schedule(duration_ms, Event::Thaw { node, incarnation });
    }

    /// A disk syncs nothing for some milliseconds.
    pub fn stall_disk(&mut self, node: NodeIndex, duration_ms: u64) {
        self.log_event(Some(node), format!("fault disk stall for {duration_ms}"));
        let until_ms = self.now_ms + duration_ms;
        let disk = &mut self.nodes[node].disk;
        disk.stalled_until_ms = disk.stalled_until_ms.max(until_ms);
    }

    /// The connections of a node break; packets on their way may arrive late.
    pub fn reset_connections(&mut self, node: NodeIndex) {
        self.log_event(Some(node), "fault connections reset".to_owned());
        for other in 0..self.nodes.len() {
            for (from, to) in [(node, other), (other, node)] {
                self.reset_connection(Link { from, to });
            }
        }
    }

    /// All faults end, and all processes run.
    pub fn clear_faults(&mut self) {
        self.log_event(None, "all faults end".to_owned());
        self.heal();
        for node in 0..self.nodes.len() {
            self.nodes[node].disk.clear_faults();
            if self.is_frozen(node) {
                self.nodes[node].frozen_until_ms = 0;
                self.thaw(node);
            }
        }
        self.start_all();
    }

    pub(super) fn is_frozen(&self, node: NodeIndex) -> bool {
        self.now_ms < self.nodes[node].frozen_until_ms
    }
}
