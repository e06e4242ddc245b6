//! Dispatches packets from other machines to the modules that handle them.

use super::CoordinationMachine;
use crate::wire::Packet;

impl CoordinationMachine {
    /// Handles a packet from the machine with the internal address `from`. `now` is the machine's
    /// monotonic clock in milliseconds.
    pub fn receive_packet(&mut self, now: u64, from: &str, packet: Packet) {
        self.advance_clock(now);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_heard = self.now;
        }
        match packet {
            Packet::Hello(machine) => self.on_hello(machine),
            Packet::Consensus { message, clock } => self.on_consensus(message, clock),
            Packet::JoinRequest(member) => {
                self.replica.add_learner(member);
                self.process_replica_outputs();
            }
            Packet::ReplicaStopping(replica) => self.replica.set_retiring(self.now, replica),
            Packet::Calls(calls) => self.on_forwarded_calls(from, calls),
            Packet::RejectedCalls(calls) => self.on_rejected_calls(calls),
            Packet::DurableReport { from, report } => {
                self.replica.observe_durable_report(self.now, from, report);
                self.process_replica_outputs();
            }
        }
    }
}
