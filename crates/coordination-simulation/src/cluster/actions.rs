//! What processes ask for is carried out: packets are sent, records are written, clients are
//! answered.

use super::Cluster;
use super::event::Event;
use crate::history::Answer;
use woadstall_control_simulation::NodeIndex;
use woadstall_control_simulation::network::{Link, Transmission};
use woadstall_coordination::machine::{Action, CoordinationMachine};
use woadstall_coordination::wire::Packet;

/// The latency between zones of a region, in milliseconds: half a millisecond, rounded either way.
const ZONE_LATENCY_MS: std::ops::RangeInclusive<u64> = 0..=1;
/// The latencies between regions in milliseconds, one a pair.
const REGION_LATENCY_MS: [u64; 2] = [35, 55];
/// By how much the latency between regions varies at most, in milliseconds.
const REGION_JITTER_MS: u64 = 3;
/// How long a sync takes, in milliseconds.
const SYNC_MS: u64 = 5;

impl Cluster {
    /// Calls a process with the time of its own clock, and carries out what it asks for.
    pub(super) fn call(
        &mut self,
        node: NodeIndex,
        call: impl FnOnce(&mut CoordinationMachine, u64),
    ) {
        let host = &mut self.nodes[node];
        let now = host.clock(self.now_ms);
        if let Some(process) = host.process.as_mut() {
            call(process, now);
            self.carry_out_actions(node);
        }
    }

    /// Carries out the actions of a process.
    pub(super) fn carry_out_actions(&mut self, node: NodeIndex) {
        let Some(process) = self.nodes[node].process.as_mut() else {
            return;
        };
        for action in process.take_actions() {
            self.carry_out(node, action);
        }
        self.schedule_due(node);
    }

    fn carry_out(&mut self, node: NodeIndex, action: Action) {
        match action {
            Action::Connect { address } => {
                self.nodes[node].connected.insert(address);
            }
            Action::Disconnect { address } => {
                self.nodes[node].connected.remove(&address);
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

    /// The node at an internal address.
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
