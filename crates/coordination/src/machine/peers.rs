//! The other machines of the group: connections, introductions, membership.

use super::{Action, CoordinationMachine};
use crate::wire::{MachineInfo, Packet};
use woadstall_consensus::{FailureDomain, ReplicaId};

/// The interval in milliseconds at which machines introduce themselves to each other.
const HELLO_INTERVAL_MS: u64 = 1_000;
/// The interval in milliseconds at which a machine that does not vote asks to join.
const JOIN_INTERVAL_MS: u64 = 500;
/// The time in milliseconds for which a machine that does not vote is remembered after it was last
/// heard of.
const PEER_RETENTION_MS: u64 = 30_000;

/// Another machine.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub machine: MachineInfo,
    /// When the last packet of it arrived, in milliseconds.
    pub last_heard: u64,
}

/// When periodic work is due, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerTimers {
    hello_due: u64,
    join_due: u64,
}

impl PeerTimers {
    /// Introductions are due at once; a new machine first waits to hear from others before it asks
    /// to join.
    pub fn new(now: u64) -> Self {
        Self {
            hello_due: now,
            join_due: now + JOIN_INTERVAL_MS,
        }
    }
}

impl CoordinationMachine {
    /// The settings name other seeds: connections to them are kept as well.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.settings.seeds = seeds;
        self.connect_known();
    }

    /// Machines of the group may be found at these internal addresses.
    pub fn set_known_addresses(&mut self, addresses: impl IntoIterator<Item = String>) {
        self.known_addresses = addresses.into_iter().collect();
        self.connect_known();
    }

    /// The connection to a machine is up. What was in flight on a former one may be lost.
    pub fn connection_established(&mut self, now: u64, address: &str) {
        self.advance_clock(now);
        let hello = self.hello();
        self.send(address, hello);
        self.resend_calls(address);
    }

    /// Hands leadership and, where there is a learner, the vote over before the process stops, and
    /// responds to all watches.
    pub fn begin_shutdown(&mut self, now: u64) {
        self.advance_clock(now);
        let id = self.replica.id();
        self.replica.set_retiring(self.now, id);
        self.broadcast(&Packet::ReplicaStopping(id));
        self.replica.transfer_leadership();
        self.process_replica_outputs();
        self.end_watches();
    }

    /// Whether this machine's vote is being given to another one.
    pub fn is_being_replaced(&self) -> bool {
        let members = self.replica.membership();
        let id = self.replica.id();
        let is_next = members.next_voters.iter().any(|member| member.id == id);
        members.is_joint() && members.is_voter(id) && !is_next
    }

    /// Introduces this machine, forgets others that are gone, and asks to join, where that is due.
    pub(super) fn maintain_peers(&mut self) {
        if self.now >= self.timers.hello_due {
            self.timers.hello_due = self.now + HELLO_INTERVAL_MS;
            self.forget_peers();
            self.disconnect_unneeded();
            let hello = self.hello();
            self.broadcast(&hello);
        }
        if self.now >= self.timers.join_due {
            self.timers.join_due = self.now + JOIN_INTERVAL_MS;
            if self.replica.should_join() {
                let member = self.settings.machine.member.clone();
                self.broadcast(&Packet::JoinRequest(member));
            }
        }
    }

    pub(super) fn on_hello(&mut self, machine: MachineInfo) {
        let address = machine.member.address.clone();
        if address == self.own_address() {
            return;
        }
        self.connect(address.clone());
        self.replica
            .set_failure_domain(address.clone(), failure_domain_of(&machine));
        let last_heard = self.now;
        let peer = Peer {
            machine,
            last_heard,
        };
        self.peers.insert(address, peer);
    }

    /// Keeps connections to the seeds and to the addresses that the process knows.
    pub(super) fn connect_known(&mut self) {
        let seeds = self.settings.seeds.iter();
        let known: Vec<String> = seeds.chain(&self.known_addresses).cloned().collect();
        for address in known {
            self.connect(address);
        }
    }

    /// Keeps connections to all voters.
    pub(super) fn connect_members(&mut self) {
        let members = self.replica.membership().all_voters();
        let is_new = |address: &&String| !self.connected.contains(*address);
        let addresses = members.map(|member| &member.address).filter(is_new);
        let addresses: Vec<String> = addresses.cloned().collect();
        for address in addresses {
            self.connect(address);
        }
    }

    /// The internal address of a replica.
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

    pub(super) fn own_address(&self) -> &str {
        &self.settings.machine.member.address
    }

    pub(super) fn send(&mut self, address: &str, packet: Packet) {
        self.actions.push(Action::Send {
            address: address.to_owned(),
            packet,
        });
    }

    fn broadcast(&mut self, packet: &Packet) {
        let addresses: Vec<String> = self.peers.keys().cloned().collect();
        for address in addresses {
            self.send(&address, packet.clone());
        }
    }

    fn connect(&mut self, address: String) {
        if address != self.own_address() && self.connected.insert(address.clone()) {
            self.actions.push(Action::Connect { address });
        }
    }

    fn hello(&self) -> Packet {
        Packet::Hello(self.settings.machine.clone())
    }

    fn forget_peers(&mut self) {
        let members = self.replica.membership();
        let now = self.now;
        self.peers.retain(|_, peer| {
            now <= peer.last_heard + PEER_RETENTION_MS || members.is_voter(peer.machine.member.id)
        });
    }

    /// Closes connections to machines that are neither known, nor seeds, nor members.
    fn disconnect_unneeded(&mut self) {
        let members = self.replica.membership();
        let is_needed = |address: &String| {
            self.peers.contains_key(address)
                || self.known_addresses.contains(address)
                || self.settings.seeds.contains(address)
                || members
                    .all_voters()
                    .any(|member| member.address == *address)
        };
        let connected = self.connected.iter();
        let unneeded: Vec<String> = connected
            .filter(|address| !is_needed(address))
            .cloned()
            .collect();
        for address in unneeded {
            self.connected.remove(&address);
            self.actions.push(Action::Disconnect { address });
        }
    }
}

/// The failure domain of a machine.
pub(super) fn failure_domain_of(machine: &MachineInfo) -> FailureDomain {
    FailureDomain {
        zone: machine.zone.clone(),
        region: machine.region.clone(),
    }
}
