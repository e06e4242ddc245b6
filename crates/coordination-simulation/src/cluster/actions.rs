//! Executes the actions that processes request: sends packets, writes records and answers clients.

use super::Cluster;
use super::event::Event;
use crate::history::Answer;
use woadstall_control_simulation::NodeIndex;
use woadstall_control_simulation::network::{Link, Transmission};
use woadstall_coordination::machine::{Action, CoordinationMachine};
use woadstall_coordination::wire::Packet;

/// Latency between zones of a region, in milliseconds: half a millisecond, rounded up or down at
/// random.
const ZONE_LATENCY_MS: std::ops::RangeInclusive<u64> = 0..=1;
/// Latencies between regions, in milliseconds. The sum of the two region numbers selects the entry.
const REGION_LATENCY_MS: [u64; 2] = [35, 55];
/// Greatest random addition to the latency between regions, in milliseconds.
const REGION_JITTER_MS: u64 = 3;
/// Duration of a disk sync, in milliseconds.
const SYNC_MS: u64 = 5;

impl Cluster {
    /// Runs `call` on the process of a node, if it runs, with the time of the process's own clock,
    /// and executes the resulting actions.
    pub(super) fn with_process(
        &mut self,
        node: NodeIndex,
        call: impl FnOnce(&mut CoordinationMachine, u64),
    ) {
        let host = &mut self.nodes[node];
        let now_ms = host.clock_ms(self.now_ms);
        if let Some(process) = host.process.as_mut() {
            call(process, now_ms);
            self.execute_actions(node);
        }
    }

    /// Executes the pending actions of a process.
    pub(super) fn execute_actions(&mut self, node: NodeIndex) {
        let Some(process) = self.nodes[node].process.as_mut() else {
            return;
        };
        for action in process.take_actions() {
            self.execute_action(node, action);
        }
        self.schedule_deadline(node);
    }

    fn execute_action(&mut self, node: NodeIndex, action: Action) {
        match action {
            Action::Connect { address } => {
                self.nodes[node].wanted_connections.insert(address);
            }
            Action::Disconnect { address } => {
                self.nodes[node].wanted_connections.remove(&address);
                if let Some(to) = self.node_at(&address) {
                    self.reset_connection(Link { from: node, to });
                }
            }
            Action::Send { address, packet } => self.send(node, &address, packet),
            Action::Persist { sequence, record } => {
                self.nodes[node].disk.write_record(sequence, record);
                let incarnation = self.nodes[node].incarnation;
                self.schedule(SYNC_MS, Event::Sync { node, incarnation });
            }
            Action::Respond { token, response } => {
                let operation = usize::try_from(token).unwrap_or(usize::MAX);
                self.send_answer(operation, Answer::Response(response));
            }
            Action::Log(event) => self.log_event(Some(node), event.to_string()),
        }
    }

    /// The node with an internal address, unless it was removed.
    pub(super) fn node_at(&self, address: &str) -> Option<NodeIndex> {
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.is_present && node.address == address)
    }

    fn send(&mut self, from: NodeIndex, to: &str, packet: Packet) {
        let Some(to) = self.node_at(to) else { return };
        let link = Link { from, to };
        if !self.network.is_up(link) {
            return;
        }
        self.last_packet += 1;
        let packet_id = self.last_packet;
        self.packets.insert(packet_id, packet);
        let transmission = Transmission {
            link,
            packet: packet_id,
            bytes: 0,
            latency_ms: self.latency_ms(link),
        };
        if let Some(arrival_ms) = self.network.send(self.now_ms, transmission) {
            self.schedule_delivery(arrival_ms - self.now_ms, link, packet_id);
        }
    }

    fn latency_ms(&mut self, link: Link) -> u64 {
        let regions = [link.from, link.to].map(|node| self.nodes[node].region);
        if regions[0] == regions[1] {
            return self.random.u64(ZONE_LATENCY_MS);
        }
        let pair = (regions[0] + regions[1]) % REGION_LATENCY_MS.len();
        REGION_LATENCY_MS[pair] + self.random.u64(..=REGION_JITTER_MS)
    }
}
