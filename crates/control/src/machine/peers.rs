//! The other control machines: links, introductions, membership.

use super::{Action, ControlMachine};
use crate::wire::{MachineInfo, Packet};
use woadstall_consensus::{FailureDomain, ReplicaId};

/// How often machines introduce themselves, in milliseconds, and how long one counts as there after it was last heard of.
pub(super) const HELLO_EVERY: u64 = 1_000;
const PEER_ALIVE: u64 = 2_500;
/// How long a machine that does not vote is remembered after it was last heard of.
const FORGET_PEER: u64 = 30_000;

/// Another control machine.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub machine: MachineInfo,
    pub heard: u64,
}

impl ControlMachine {
    /// The settings name other seeds: links to them are kept as well.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.settings.seeds = seeds;
        for seed in self.settings.seeds.clone() {
            self.connect(seed);
        }
    }

    /// The link to a machine has come up. What was under way on a former one may be lost: it is told all registrations, and
    /// calls are passed to it again.
    pub fn link_up(&mut self, now: u64, address: &str) {
        self.now = self.now.max(now);
        let hello = self.hello();
        self.send(address, hello);
        let registrations = self.registry.all(self.now);
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
        self.pass_calls_again(address);
    }

    /// Hands leadership and, where there is a learner, the vote over before the process stops.
    pub fn begin_shutdown(&mut self, now: u64) {
        self.now = self.now.max(now);
        let id = self.replica.id();
        self.replica.set_retiring(self.now, id);
        self.broadcast(&Packet::ReplicaStopping(id));
        self.replica.transfer_leadership();
        self.settle();
    }

    /// Whether this machine's vote is being given to another one.
    pub fn is_being_replaced(&self) -> bool {
        let members = self.replica.membership();
        let id = self.replica.id();
        members.is_joint()
            && members.is_voter(id)
            && !members.next_voters.iter().any(|member| member.id == id)
    }

    /// The control machines that are there, this one among them.
    pub fn machines(&self) -> Vec<MachineInfo> {
        let alive = |peer: &&Peer| self.now <= peer.heard + PEER_ALIVE;
        let others = self
            .peers
            .values()
            .filter(alive)
            .map(|peer| peer.machine.clone());
        std::iter::once(self.settings.machine.clone())
            .chain(others)
            .collect()
    }

    pub(super) fn broadcast(&mut self, packet: &Packet) {
        for address in self.connected.clone() {
            self.send(&address, packet.clone());
        }
    }

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

    pub(super) fn introduce(&mut self) {
        let members = self.replica.membership().clone();
        let now = self.now;
        self.peers.retain(|_, peer| {
            now <= peer.heard + FORGET_PEER || members.is_voter(peer.machine.member.id)
        });
        let is_wanted = |address: &String| {
            self.peers.contains_key(address)
                || self.settings.seeds.contains(address)
                || members
                    .all_voters()
                    .any(|member| member.address == *address)
        };
        let unwanted: Vec<String> = self
            .connected
            .iter()
            .filter(|address| !is_wanted(address))
            .cloned()
            .collect();
        for address in unwanted {
            self.connected.remove(&address);
            self.actions.push(Action::Disconnect { address });
        }
        let hello = self.hello();
        self.broadcast(&hello);
    }

    pub(super) fn on_hello(&mut self, machine: MachineInfo, known: Vec<MachineInfo>) {
        let address = machine.member.address.clone();
        self.connect(address.clone());
        if address != self.settings.machine.member.address {
            self.replica
                .set_failure_domain(address.clone(), place_of(&machine));
            self.peers.insert(
                address,
                Peer {
                    machine,
                    heard: self.now,
                },
            );
        }
        for machine in known {
            let address = machine.member.address.clone();
            if address != self.settings.machine.member.address && !self.peers.contains_key(&address)
            {
                self.connect(address);
            }
        }
    }

    pub(super) fn ask_to_join(&mut self) {
        let member = self.settings.machine.member.clone();
        if self.replica.should_join() {
            self.broadcast(&Packet::JoinRequest(member));
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
}

/// Where a machine is.
pub(super) fn place_of(machine: &MachineInfo) -> FailureDomain {
    FailureDomain {
        zone: machine.zone.clone(),
        region: machine.region.clone(),
    }
}
