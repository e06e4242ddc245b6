//! The other machines of the group: connections, hello packets and join requests.

use super::{Action, CoordinationMachine};
use crate::wire::{MachineInfo, Packet};
use woadstall_consensus::{FailureDomain, ReplicaId};

/// The interval in milliseconds at which a machine broadcasts its hello packet.
const HELLO_INTERVAL_MS: u64 = 1_000;
/// The interval in milliseconds at which a machine that is not a voter asks to join.
const JOIN_INTERVAL_MS: u64 = 500;
/// The time in milliseconds after its last packet for which a peer that is not a voter is retained.
const PEER_RETENTION_MS: u64 = 30_000;

/// Another machine that has introduced itself.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub machine: MachineInfo,
    /// The arrival time of the peer's last packet, in milliseconds of this machine's clock.
    pub last_heard: u64,
}

/// The due times of periodic work, in milliseconds of this machine's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerTimers {
    hello_due: u64,
    join_due: u64,
}

impl PeerTimers {
    /// Schedules the first hello packet immediately and the first join request after one interval.
    /// The delay lets a new machine receive packets from others before it asks to join.
    pub fn new(now: u64) -> Self {
        Self {
            hello_due: now,
            join_due: now + JOIN_INTERVAL_MS,
        }
    }
}

impl CoordinationMachine {
    /// Replaces the seed addresses and connects to the new seeds.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.settings.seeds = seeds;
        self.connect_known_addresses();
    }

    /// Replaces the internal addresses of possible group members and connects to them.
    pub fn set_known_addresses(&mut self, addresses: impl IntoIterator<Item = String>) {
        self.known_addresses = addresses.into_iter().collect();
        self.connect_known_addresses();
    }

    /// Handles a new connection to a machine. Packets in flight on a former connection may be lost,
    /// so calls assigned to that machine are sent again where that is safe.
    pub fn connection_established(&mut self, now: u64, address: &str) {
        self.advance_clock(now);
        let hello = self.hello();
        self.send(address, hello);
        self.resend_calls(address);
    }

    /// Prepares the machine for the end of the process. It transfers the leadership, requests that
    /// a learner, if there is one, replaces it as a voter, and ends all watches.
    pub fn begin_shutdown(&mut self, now: u64) {
        self.advance_clock(now);
        let id = self.replica.id();
        self.replica.set_retiring(self.now, id);
        self.broadcast(&Packet::ReplicaStopping(id));
        self.replica.transfer_leadership();
        self.process_replica_outputs();
        self.end_watches();
    }

    /// Whether a membership change in progress removes this machine from the voters.
    pub fn is_being_replaced(&self) -> bool {
        let members = self.replica.membership();
        let id = self.replica.id();
        let is_next = members.next_voters.iter().any(|member| member.id == id);
        members.is_joint() && members.is_voter(id) && !is_next
    }

    /// Performs the periodic work that is due: broadcasts the hello packet, evicts silent peers,
    /// closes unneeded connections and asks to join.
    pub(super) fn maintain_peers(&mut self) {
        if self.now >= self.timers.hello_due {
            self.timers.hello_due = self.now + HELLO_INTERVAL_MS;
            self.evict_silent_peers();
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

    /// Connects to the seeds and to the addresses supplied by the process.
    pub(super) fn connect_known_addresses(&mut self) {
        let seeds = self.settings.seeds.iter();
        let known: Vec<String> = seeds.chain(&self.known_addresses).cloned().collect();
        for address in known {
            self.connect(address);
        }
    }

    /// Connects to all voters, including the voters of a membership change in progress.
    pub(super) fn connect_members(&mut self) {
        let members = self.replica.membership().all_voters();
        let is_new = |address: &&String| !self.connection_targets.contains(*address);
        let addresses = members.map(|member| &member.address).filter(is_new);
        let addresses: Vec<String> = addresses.cloned().collect();
        for address in addresses {
            self.connect(address);
        }
    }

    /// The internal address of a replica. The address from the peer's hello packet takes precedence
    /// over the address in the membership.
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
        if address != self.own_address() && self.connection_targets.insert(address.clone()) {
            self.actions.push(Action::Connect { address });
        }
    }

    fn hello(&self) -> Packet {
        Packet::Hello(self.settings.machine.clone())
    }

    fn evict_silent_peers(&mut self) {
        let members = self.replica.membership();
        let now = self.now;
        self.peers.retain(|_, peer| {
            now <= peer.last_heard + PEER_RETENTION_MS || members.is_voter(peer.machine.member.id)
        });
    }

    /// Closes connections to machines that are neither peers, nor known addresses, nor seeds, nor
    /// voters.
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
        let targets = self.connection_targets.iter();
        let unneeded: Vec<String> = targets
            .filter(|address| !is_needed(address))
            .cloned()
            .collect();
        for address in unneeded {
            self.connection_targets.remove(&address);
            self.actions.push(Action::Disconnect { address });
        }
    }
}

/// The failure domain of a machine, for the placement of voters.
pub(super) fn failure_domain_of(machine: &MachineInfo) -> FailureDomain {
    FailureDomain {
        zone: machine.zone.clone(),
        region: machine.region.clone(),
    }
}
