//! Dispatches packets from other machines and from balancers to their handlers.

use super::{Action, ControlMachine};
use crate::balancers::BalancerHeartbeat;
use crate::wire::Packet;

impl ControlMachine {
    /// Handles a packet from the process with the internal address `from`.
    pub fn receive_packet(&mut self, now_ms: u64, from: &str, packet: Packet) {
        self.advance_clock(now_ms);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_heard_ms = self.now_ms;
        }
        match packet {
            Packet::Hello { machine, known } => self.on_hello(machine, known),
            Packet::Consensus {
                message,
                sender_clock_ms,
            } => self.on_consensus(message, sender_clock_ms),
            Packet::JoinRequest(member) => {
                self.replica.add_learner(member);
                self.process_replica_outputs();
            }
            Packet::ReplicaStopping(replica) => self.replica.set_retiring(self.now_ms, replica),
            Packet::Registrations {
                call,
                registrations,
            } => {
                self.on_registrations(from, call, registrations);
            }
            Packet::RegistrationsAck { call } => self.on_registrations_ack(from, call),
            Packet::Renewals(renewals) => self.on_renewals(&renewals),
            Packet::BalancerHeartbeats(heartbeats) => self.on_gossiped_heartbeats(heartbeats),
            Packet::BalancerRenewals(renewals) => self.balancers.renew(self.now_ms, &renewals),
            Packet::ForwardedCommand {
                call,
                expires,
                command,
            } => {
                self.on_forwarded_command(from, call, expires, command);
            }
            Packet::ForwardedCommandReply { call, outcome } => {
                self.on_forwarded_command_reply(call, outcome);
            }
            Packet::ReadIndexRequest { call } => self.on_read_index_request(from, call),
            Packet::ReadIndexReply { call, index } => self.on_read_index_reply(call, index),
            Packet::BalancerHeartbeat(heartbeat) => self.receive_heartbeat(now_ms, heartbeat),
            Packet::LoadReport(report) => self.load_reports.record(self.now_ms, report),
            // Control machines send these packets to balancers only, except `Subscribe`, which
            // arrives on a feed connection and is handled by `subscribe`.
            Packet::Subscribe(_)
            | Packet::Snapshot { .. }
            | Packet::Events { .. }
            | Packet::MachineStatus { .. }
            | Packet::ActiveBalancers(_)
            | Packet::FleetLoads(_) => {}
        }
    }

    /// Queues a packet to the machine with the given internal address.
    pub(super) fn send(&mut self, address: &str, packet: Packet) {
        self.actions.push(Action::Send {
            address: address.to_owned(),
            packet,
        });
    }

    /// Queues a packet to all machines to which a connection is kept.
    pub(super) fn broadcast(&mut self, packet: &Packet) {
        for address in self.connected.clone() {
            self.send(&address, packet.clone());
        }
    }

    fn on_gossiped_heartbeats(&mut self, heartbeats: Vec<BalancerHeartbeat>) {
        for heartbeat in heartbeats {
            self.balancers.merge(self.now_ms, heartbeat);
        }
    }
}
