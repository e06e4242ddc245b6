//! The other control machines: connections, hello packets, and membership of the replica group.

use super::{Action, ControlMachine};
use crate::wire::{MachineInfo, Packet};
use woadstall_consensus::{FailureDomain, ReplicaId};

/// The time in milliseconds after its last packet for which a machine counts as alive.
const PEER_TIMEOUT_MS: u64 = 2_500;
/// The time in milliseconds after its last packet for which a non-voting machine is remembered.
const PEER_RETENTION_MS: u64 = 30_000;

/// Another control machine.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub machine: MachineInfo,
    /// The time in milliseconds at which the last packet from the machine arrived.
    pub last_heard_ms: u64,
}

impl ControlMachine {
    /// Replaces the seeds after a change of the settings, and connects to the new ones.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.settings.seeds = seeds;
        for seed in self.settings.seeds.clone() {
            self.connect(seed);
        }
    }

    /// Handles a newly established connection to a machine. Packets in flight on an earlier
    /// connection may be lost, so all registrations and balancers are sent and calls to the machine
    /// are forwarded again.
    pub fn link_up(&mut self, now_ms: u64, address: &str) {
        self.advance_clock(now_ms);
        let hello = self.hello();
        self.send(address, hello);
        let registrations = self.registry.all(self.now_ms);
        if !registrations.is_empty() {
            let call = self.next_call();
            self.send(
                address,
                Packet::Registrations {
                    call,
                    registrations,
                },
            );
        }
        let balancers = self.balancers.current(self.now_ms);
        if !balancers.is_empty() {
            self.send(address, Packet::BalancerHeartbeats(balancers));
        }
        self.resend_calls(address);
    }

    /// Prepares the process for its shutdown. The replica hands over its leadership, and its vote
    /// if there is a learner to take it.
    pub fn begin_shutdown(&mut self, now_ms: u64) {
        self.advance_clock(now_ms);
        let id = self.replica.id();
        self.replica.set_retiring(self.now_ms, id);
        self.broadcast(&Packet::ReplicaStopping(id));
        self.replica.transfer_leadership();
        self.process_replica_outputs();
    }

    /// Returns whether a membership change that replaces this machine as a voter is in progress.
    pub fn is_being_replaced(&self) -> bool {
        let members = self.replica.membership();
        let id = self.replica.id();
        let is_next = members.next_voters.iter().any(|member| member.id == id);
        members.is_joint() && members.is_voter(id) && !is_next
    }

    /// Returns the control machines that are alive, beginning with this one.
    pub fn machines(&self) -> Vec<MachineInfo> {
        let is_alive = |peer: &&Peer| self.now_ms <= peer.last_heard_ms + PEER_TIMEOUT_MS;
        let others = self
            .peers
            .values()
            .filter(is_alive)
            .map(|peer| peer.machine.clone());
        std::iter::once(self.settings.machine.clone())
            .chain(others)
            .collect()
    }

    /// Requests a connection to another machine, unless one has already been requested.
    pub(super) fn connect(&mut self, address: String) {
        if address != self.settings.machine.member.address && self.connected.insert(address.clone())
        {
            self.actions.push(Action::Connect { address });
        }
    }

    fn hello(&self) -> Packet {
        let known = self
            .peers
            .values()
            .map(|peer| peer.machine.clone())
            .collect();
        Packet::Hello {
            machine: self.settings.machine.clone(),
            known,
        }
    }

    /// Removes expired peers and unneeded connections, and sends a hello packet to all remaining
    /// machines.
    pub(super) fn send_hello_to_all(&mut self) {
        self.remove_expired_peers();
        self.disconnect_unneeded();
        let hello = self.hello();
        self.broadcast(&hello);
    }

    fn remove_expired_peers(&mut self) {
        let members = self.replica.membership();
        let now_ms = self.now_ms;
        self.peers.retain(|_, peer| {
            now_ms <= peer.last_heard_ms + PEER_RETENTION_MS
                || members.is_voter(peer.machine.member.id)
        });
    }

    /// Closes connections to machines that are not known peers, seeds or voters.
    fn disconnect_unneeded(&mut self) {
        let members = self.replica.membership();
        let is_needed = |address: &String| {
            self.peers.contains_key(address)
                || self.settings.seeds.contains(address)
                || members
                    .all_voters()
                    .any(|member| member.address == *address)
        };
        let unneeded: Vec<String> = self
            .connected
            .iter()
            .filter(|address| !is_needed(address))
            .cloned()
            .collect();
        for address in unneeded {
            self.connected.remove(&address);
            self.actions.push(Action::Disconnect { address });
        }
    }

    pub(super) fn on_hello(&mut self, machine: MachineInfo, known: Vec<MachineInfo>) {
        let address = machine.member.address.clone();
        self.connect(address.clone());
        if address != self.settings.machine.member.address {
            self.replica
                .set_failure_domain(address.clone(), failure_domain_of(&machine));
            self.peers.insert(
                address,
                Peer {
                    machine,
                    last_heard_ms: self.now_ms,
                },
            );
        }
        for machine in known {
            let address = machine.member.address;
            if address != self.settings.machine.member.address && !self.peers.contains_key(&address)
            {
                self.connect(address);
            }
        }
    }

    /// Asks to join the replica group if the replica has no vote, or may have lost its vote without
    /// noticing.
    pub(super) fn request_to_join(&mut self) {
        if self.replica.should_join() {
            let member = self.settings.machine.member.clone();
            self.broadcast(&Packet::JoinRequest(member));
        }
    }

    /// Returns the internal address of a replica, if the replica is a known peer or a voter.
    pub(super) fn address_of(&self, id: ReplicaId) -> Option<String> {
        let by_peer = self
            .peers
            .values()
            .map(|peer| &peer.machine.member)
            .find(|member| member.id == id);
        let mut members = self.replica.membership().all_voters();
        let member = by_peer.or_else(|| members.find(|member| member.id == id));
        member.map(|member| member.address.clone())
    }
}

/// Returns the failure domain of a machine.
pub(super) fn failure_domain_of(machine: &MachineInfo) -> FailureDomain {
    FailureDomain {
        zone: machine.zone.clone(),
        region: machine.region.clone(),
    }
}
