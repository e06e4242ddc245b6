//! Start and end of processes.

use super::Cluster;
use super::event::Event;
use super::time::TICK_MS;
use crate::history::{Answer, OperationId};
use woadstall_consensus::Member;
use woadstall_control_simulation::NodeIndex;
use woadstall_control_simulation::network::Link;
use woadstall_coordination::machine::{CoordinationMachine, MachineSettings};
use woadstall_coordination::wire::MachineInfo;

impl Cluster {
    /// Starts the process of a node from its disk, unless it runs already or the node was removed.
    pub fn start(&mut self, node: NodeIndex) {
        if self.nodes[node].process.is_some() || !self.nodes[node].is_present {
            return;
        }
        let (incarnation_id, seed) = (self.random.u64(1..), self.random.u64(..));
        let settings = self.settings(node, incarnation_id);
        let known_addresses = self.known_addresses();
        let now_ms = self.now_ms;
        let host = &mut self.nodes[node];
        host.incarnation += 1;
        host.started_ms = now_ms;
        host.frozen_until_ms = 0;
        host.is_shutting_down = false;
        host.deadline_ms = None;
        let durable = host.disk.durable().clone();
        let mut process = CoordinationMachine::new(settings, durable, 0, seed);
        process.set_known_addresses(known_addresses);
        host.process = Some(process);
        let incarnation = host.incarnation;
        let phase_ms = self.random.u64(..TICK_MS);
        self.schedule(phase_ms, Event::Tick { node, incarnation });
        self.log_event(Some(node), format!("process started seed={seed}"));
        self.execute_actions(node);
    }

    /// Starts all processes that do not run.
    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    fn settings(&self, node: NodeIndex, incarnation: u64) -> MachineSettings {
        let host = &self.nodes[node];
        let machine = MachineInfo {
            member: Member {
                id: host.disk.durable().id,
                address: host.address.clone(),
            },
            zone: format!("zone-{}", host.zone),
            region: format!("region-{}", host.region),
        };
        MachineSettings {
            machine,
            seeds: (0..self.topology.founders).map(super::address).collect(),
            tolerated_failures: self.topology.tolerated_failures,
            history_ms: super::HISTORY_RETENTION_MS,
            incarnation,
        }
    }

    pub(super) fn known_addresses(&self) -> Vec<String> {
        let present_nodes = self.present_nodes().into_iter();
        present_nodes
            .map(|node| self.nodes[node].address.clone())
            .collect()
    }

    /// Ends a process. The disk had started the first `started_writes` of its queued writes: a
    /// random part of these becomes durable, and the last one may be torn.
    pub(super) fn end(&mut self, node: NodeIndex, started_writes: usize) {
        let host = &mut self.nodes[node];
        host.process = None;
        host.inbox.clear();
        host.frozen_until_ms = 0;
        host.wanted_connections.clear();
        host.disk.lose_power(started_writes, &mut self.random);
        for other in 0..self.nodes.len() {
            for (from, to) in [(node, other), (other, node)] {
                self.drop_connection(Link { from, to });
            }
        }
        self.disconnect_clients(node);
    }

    /// Closes a connection and drops the packets that it holds back.
    fn drop_connection(&mut self, link: Link) {
        for packet in self.network.reset(self.now_ms, link) {
            self.packets.remove(&packet);
        }
    }

    /// Answers all pending requests to a node with the loss of the connection.
    fn disconnect_clients(&mut self, node: NodeIndex) {
        let operations = self.history.operations.iter().enumerate();
        let pending = operations
            .filter(|(_, operation)| operation.node == node && operation.completion.is_none());
        let pending: Vec<OperationId> = pending.map(|(id, _)| id).collect();
        for operation in pending {
            self.send_answer(operation, Answer::Disconnected);
        }
    }
}
