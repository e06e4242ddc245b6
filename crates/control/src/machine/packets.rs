//! Packets from other machines and from balancers, each handed to the module that is responsible
//! for it.

use super::{Action, ControlMachine};
use crate::balancers::BalancerHeartbeat;
use crate::wire::{Packet, Renewal};

impl ControlMachine {
    /// A packet has arrived from the process with this internal address.
    pub fn receive_packet(&mut self, now: u64, from: &str, packet: Packet) {
        self.advance_clock(now);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_heard = self.now;
        }
        match packet {
            Packet::Hello { machine, known } => self.on_hello(machine, known),
            Packet::Consensus { message, clock } => self.on_consensus(message, clock),
            Packet::JoinRequest(member) => {
                self.replica.add_learner(member);
                self.process_replica_outputs();
            }
            Packet::ReplicaStopping(replica) => self.replica.set_retiring(self.now, replica),
            Packet::Registrations {
                call,
                registrations,
            } => {
                self.on_registrations(from, call, registrations);
            }
            Packet::RegistrationsAck { call } => self.on_registrations_ack(from, call),
            Packet::Renewals(renewals) => self.on_renewals(&renewals),
            Packet::BalancerHeartbeats(heartbeats) => self.on_gossiped_heartbeats(heartbeats),
            Packet::BalancerRenewals(renewals) => self.balancers.renew(self.now, &renewals),
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
            Packet::BalancerHeartbeat(heartbeat) => self.receive_heartbeat(now, heartbeat),
            Packet::LoadReport(report) => self.load_reports.record(self.now, report),
            // These go to balancers only, or come over a connection that is handled by `subscribe`.
            Packet::Subscribe(_)
            | Packet::Snapshot { .. }
            | Packet::Events { .. }
            | Packet::MachineStatus { .. }
            | Packet::ActiveBalancers(_)
            | Packet::FleetLoads(_) => {}
        }
    }

    /// Sends a packet to the machine with an internal address.
    pub(super) fn send(&mut self, address: &str, packet: Packet) {
        self.actions.push(Action::Send {
            address: address.to_owned(),
            packet,
        });
    }

    /// Sends a packet to all machines that a connection is kept to.
    pub(super) fn broadcast(&mut self, packet: &Packet) {
        for address in self.connected.clone() {
            self.send(&address, packet.clone());
        }
    }

    fn on_renewals(&mut self, renewals: &[Renewal]) {
        for renewal in renewals {
            self.registry.renew(self.now, &renewal.id, renewal.sequence);
        }
    }

    fn on_gossiped_heartbeats(&mut self, heartbeats: Vec<BalancerHeartbeat>) {
        for heartbeat in heartbeats {
            self.balancers.merge(self.now, heartbeat);
        }
    }
}
