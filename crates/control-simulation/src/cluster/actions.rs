//! Executes the actions that processes request: sends packets, queues writes and records responses.

use super::{Cluster, LogRecord, address};
use crate::NodeIndex;
use crate::digest::Observation;
use crate::history::Output;
use crate::invariants::Violation;
use crate::network::{Link, Transmission};
use woadstall_control::machine::{Action, CallResponse, ControlMachine};
use woadstall_control::wire::Packet;

impl Cluster {
    /// Executes the actions of a process until it requests no more, then checks its invariants.
    pub(super) fn execute_actions(&mut self, node: NodeIndex) {
        loop {
            let Some(process) = self.nodes[node].process.as_mut() else {
                return;
            };
            let actions = process.take_actions();
            if actions.is_empty() {
                break;
            }
            actions
                .into_iter()
                .for_each(|action| self.execute_action(node, action));
        }
        let host = &self.nodes[node];
        let Some(process) = &host.process else { return };
        self.invariants
            .check_process(node, host.incarnation, process);
        if let Some(digest) = &mut self.digest {
            digest
                .observe(Observation::ReplicaState, self.now_ms)
                .node(node)
                .replica_state(process);
        }
    }

    fn execute_action(&mut self, node: NodeIndex, action: Action) {
        self.observe_action(node, &action);
        match action {
            // The cluster connects all nodes without requests.
            Action::Connect { .. } | Action::Disconnect { .. } => {}
            Action::Log(event) => self.log.push(LogRecord {
                at_ms: self.now_ms,
                node,
                text: event.to_string(),
            }),
            Action::Send {
                address: to,
                packet,
            } => self.send(node, &to, packet),
            Action::Persist { sequence, record } => {
                self.nodes[node].disk.write_record(sequence, record);
                self.schedule_sync(node);
            }
            Action::PersistRegistrations { number } => {
                let registrations = self.process(node).map(ControlMachine::registrations);
                let registrations = registrations.unwrap_or_default();
                self.nodes[node]
                    .disk
                    .write_registrations(number, registrations);
                self.schedule_sync(node);
            }
            Action::Respond { token, response } => self.on_response(node, token, response),
            Action::Deliver {
                subscribers,
                packet,
            } => {
                self.deliver_to_balancers(node, &subscribers, &packet);
            }
        }
    }

    fn send(&mut self, from: NodeIndex, to: &str, packet: Packet) {
        let Some(to) = (0..self.len()).find(|other| address(*other) == to) else {
            return;
        };
        let link = Link { from, to };
        if !self.network.is_up(link) {
            return;
        }
        for _ in 0..self.gossip_faults.copies(&packet, &mut self.random) {
            self.transmit(link, packet.clone());
        }
    }

    fn transmit(&mut self, link: Link, packet: Packet) {
        let conditions = self.network.conditions;
        let is_bandwidth_limited = conditions.bytes_per_ms > 0;
        let bytes = if is_bandwidth_limited {
            packet.encode().len() as u64
        } else {
            0
        };
        let latency_ms = self
            .random
            .u64(conditions.latency.min_ms..=conditions.latency.max_ms);
        let packet_id = self.packets.len();
        self.packets.push(packet);
        let transmission = Transmission {
            link,
            packet: packet_id,
            bytes,
            latency_ms,
        };
        if let Some(arrival_ms) = self.network.send(self.now_ms, transmission) {
            self.schedule_delivery(arrival_ms - self.now_ms, link, packet_id);
        }
    }

    fn deliver_to_balancers(&mut self, node: NodeIndex, subscribers: &[u64], packet: &Packet) {
        for subscriber in subscribers {
            if let Some(balancer) = self.nodes[node].balancers.get_mut(subscriber) {
                balancer.receive(packet.clone());
                self.invariants.check_balancer(node, *subscriber, balancer);
            }
        }
    }

    fn on_response(&mut self, node: NodeIndex, token: u64, response: CallResponse) {
        if let Some(id) = self.draining_requests.remove(&token)
            && response == CallResponse::Acknowledged
        {
            self.invariants.on_draining_acknowledged(&id);
        }
        if let Some(process) = self.process(node) {
            let state = process.state();
            let output =
                Output::from_response(&response, state.generation(), state.evacuated_zones.clone());
            self.check_durable_on_quorum(token, &output);
            self.history.complete(token, self.now_ms, output);
        }
        if self.responses.insert(token, response).is_some() {
            self.invariants
                .record_violation(Violation::DuplicateResponse { token });
        }
    }
}
