//! A control machine: its replica of the configuration's log, the registrations, the balancers, and the feeds. All that
//! happens to it goes in by a method; what it wants done comes out as [`Action`]s.

mod directory;
mod feeds;
mod orders;
mod registrations;

pub use directory::{Question, Resolved};

use crate::balancers::{Balancers, Heard, Heartbeat, StillThere};
use crate::command::Command;
use crate::feed::{Event, Journal};
use crate::registry::{Registration, Registry};
use crate::shards::short_hash;
use crate::state::ControlState;
use crate::wire::{ControlMachine, Packet, Renewal, ZoneBalancers};
use feeds::Subscriber;
use nanoserde::{DeBin, SerBin};
use orders::{Order, PendingRead, Proposed};
use registrations::Spread;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use woadstall_consensus::{
    DurableState, Entry, Member, Membership, Output, Payload, Record, Replica, ReplicaId, Settings, Snapshot,
    Timing,
};

/// What the shell has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Keep a link to the control machine at this internal address.
    Connect {
        /// The address.
        address: String,
    },
    /// Keep that link no longer.
    Disconnect {
        /// The address.
        address: String,
    },
    /// Send a packet over that link, if it is up.
    Send {
        /// The address.
        address: String,
        /// The packet.
        packet: Packet,
    },
    /// Make a record durable, then call [`Machine::persisted`].
    Persist {
        /// The record's number.
        sequence: u64,
        /// The record.
        record: Record,
    },
    /// Answer a call.
    Answer {
        /// The call.
        token: u64,
        /// The answer.
        answer: Answer,
    },
    /// Send a packet to balancers that read the feed.
    Deliver {
        /// The balancers' connections.
        subscribers: Vec<u64>,
        /// The packet.
        packet: Packet,
    },
    /// Write a line to the log.
    Log(String),
}

/// The answer to a call of an operator or of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Done, and known to enough machines.
    Done,
    /// The configuration builds on another version than the current one.
    Conflict {
        /// The current one.
        current: u64,
    },
    /// The configuration is at fault.
    Invalid {
        /// The findings, one a line.
        findings: String,
    },
    /// The configuration, as JSON.
    Document(Vec<u8>),
    /// There is no configuration.
    Missing,
    /// Nobody can tell now; the caller asks again.
    Unclear,
}

/// What a machine is told at its start.
#[derive(Clone, Debug)]
pub struct MachineSettings {
    /// Itself.
    pub machine: ControlMachine,
    /// Internal addresses of the seeds.
    pub seeds: Vec<String>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// How often upstreams send heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Machines with a disk that may be lost at a time.
    pub tolerated: usize,
    /// Tells this process's journal from others.
    pub epoch: u64,
}

/// Times of the replicated log: a round trip between regions is up to 110 ms, and a machine has a part of a core.
pub const TIMING: Timing = Timing { heartbeat: 150, election_min: 900, election_max: 1_500 };
/// How often machines introduce themselves, and how long one counts as there after it was last heard of.
const HELLO_EVERY: u64 = 1_000;
const PEER_ALIVE: u64 = 2_500;
/// How long a machine that does not vote is remembered after it was last heard of.
const FORGET_PEER: u64 = 30_000;
/// How often a machine that does not vote asks to join.
const JOIN_EVERY: u64 = 500;
/// How long a caller is kept waiting at most: after a second it goes to another machine.
const CALL_PATIENCE: u64 = 900;
/// How often heartbeats that came are told to the other machines.
const GOSSIP_EVERY: u64 = 200;
/// Bytes and entries of the log behind its snapshot from which on a new one is taken.
const COMPACT_BYTES: usize = 4 << 20;
const COMPACT_ENTRIES: usize = 1_000;

/// Another control machine.
#[derive(Clone, Debug)]
struct Peer {
    machine: ControlMachine,
    heard: u64,
}

/// A control machine.
#[derive(Debug)]
pub struct Machine {
    settings: MachineSettings,
    now: u64,
    replica: Replica,
    state: ControlState,
    registry: Registry,
    balancers: Balancers,
    journal: Journal,
    /// The offset up to which readers have been told.
    told: u64,
    peers: BTreeMap<String, Peer>,
    connected: BTreeSet<String>,
    actions: Vec<Action>,
    next_number: u64,
    proposed: HashMap<u64, Proposed>,
    orders: HashMap<u64, Order>,
    reads: HashMap<u64, PendingRead>,
    spreads: HashMap<u64, Spread>,
    subscribers: BTreeMap<u64, Subscriber>,
    renewals: Vec<Renewal>,
    heartbeats: BTreeMap<String, Heartbeat>,
    still_there: BTreeMap<String, StillThere>,
    hello_due: u64,
    join_due: u64,
    gossip_due: u64,
    status_due: u64,
    log_bytes: usize,
    /// The last entry that was applied.
    applied: u64,
    quorum_since: Option<u64>,
    was_leader: bool,
    /// Counts changes of registrations.
    registry_version: u64,
    /// The balancers that were last told to readers.
    balancing: Vec<ZoneBalancers>,
}

/// The snapshot that founders begin with: the seeds are its voters. All founders make the same one, so there is one group
/// whoever of them comes first.
pub fn founding_snapshot(seeds: &[Member]) -> Snapshot {
    let mut voters = seeds.to_vec();
    voters.sort_by_key(|member| member.id);
    voters.dedup();
    Snapshot { index: 1, term: 1, members: Membership { voters }, state: ControlState::default().encode() }
}

impl Machine {
    /// A machine as its disk has it, at a time in milliseconds.
    pub fn new(settings: MachineSettings, durable: DurableState, now: u64, seed: u64) -> Self {
        let journal = Journal::new(settings.epoch);
        let mut machine = Self {
            now,
            replica: Replica::new(
                durable,
                Settings { timing: TIMING, least_voters: 2 * settings.tolerated + 1 },
                now,
                seed,
            ),
            state: ControlState::default(),
            registry: Registry::default(),
            balancers: Balancers::default(),
            journal,
            told: 0,
            peers: BTreeMap::new(),
            connected: BTreeSet::new(),
            actions: Vec::new(),
            next_number: 1,
            proposed: HashMap::new(),
            orders: HashMap::new(),
            reads: HashMap::new(),
            spreads: HashMap::new(),
            subscribers: BTreeMap::new(),
            renewals: Vec::new(),
            heartbeats: BTreeMap::new(),
            still_there: BTreeMap::new(),
            hello_due: now,
            join_due: now + JOIN_EVERY,
            gossip_due: now,
            status_due: now,
            log_bytes: 0,
            applied: 0,
            quorum_since: None,
            was_leader: false,
            registry_version: 0,
            balancing: Vec::new(),
            settings,
        };
        for seed in machine.settings.seeds.clone() {
            machine.connect(seed);
        }
        machine.settle();
        machine
    }

    /// Takes what is to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The configuration and the evacuations, as far as they are applied here.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The replica of the log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Counts changes of the registrations that are worth keeping.
    pub fn registry_version(&self) -> u64 {
        self.registry_version
    }

    /// Takes over the registrations that an earlier process of this machine kept. They are hints: whatever is heard goes
    /// before them.
    pub fn remember(&mut self, registrations: Vec<Registration>) {
        self.merge_all(registrations);
    }

    /// All registrations, with their times as of now.
    pub fn registrations(&self) -> Vec<Registration> {
        self.registry.all(self.now)
    }

    /// The registrations.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// The settings name other seeds: links to them are kept as well.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.settings.seeds = seeds;
        for seed in self.settings.seeds.clone() {
            self.connect(seed);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.replica.tick(self.now);
        self.settle();
        self.note_quorum();
        self.tell_events();
        if self.now >= self.hello_due {
            self.hello_due = self.now + HELLO_EVERY;
            self.introduce();
            self.registry.forget(self.now);
            self.balancers.forget(self.now);
        }
        if self.now >= self.join_due {
            self.join_due = self.now + JOIN_EVERY;
            self.ask_to_join();
        }
        if self.now >= self.gossip_due {
            self.gossip_due = self.now + GOSSIP_EVERY;
            self.gossip();
            self.expire_upstreams();
        }
        if self.now >= self.status_due {
            self.status_due = self.now + feeds::STATUS_EVERY;
            self.tell_status();
        }
        self.give_up_overdue();
    }

    /// Records up to this number are durable.
    pub fn persisted(&mut self, now: u64, sequence: u64) {
        self.now = self.now.max(now);
        self.replica.persisted(sequence);
        self.settle();
    }

    /// The link to a machine has come up: it is told all registrations, since it may have missed some.
    pub fn link_up(&mut self, now: u64, address: &str) {
        self.now = self.now.max(now);
        let hello = self.hello();
        self.send(address, hello);
        let registrations = self.registry.all(self.now);
        if !registrations.is_empty() {
            let number = self.number();
            self.send(address, Packet::Registrations { number, registrations });
        }
    }

    /// A packet has come from the machine with this internal address.
    pub fn packet(&mut self, now: u64, from: &str, packet: Packet) {
        self.now = self.now.max(now);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.heard = self.now;
        }
        match packet {
            Packet::Hello { machine, known } => self.on_hello(machine, known),
            Packet::Consensus(message) => {
                self.replica.receive(self.now, message);
                self.settle();
            }
            Packet::Join(member) => {
                self.replica.join(member);
                self.settle();
            }
            Packet::Registrations { number, registrations } => {
                self.merge_all(registrations);
                self.send(from, Packet::RegistrationsTaken { number });
            }
            Packet::RegistrationsTaken { number } => self.on_taken(from, number),
            Packet::Renewals(renewals) => {
                for Renewal { id, sequence } in renewals {
                    self.registry.renew(self.now, &id, sequence);
                }
            }
            Packet::Balancers(heartbeats) => {
                for heartbeat in heartbeats {
                    self.balancers.merge(self.now, heartbeat);
                }
            }
            Packet::BalancersStillThere(still_there) => self.balancers.renew(self.now, &still_there),
            Packet::Order { number, command } => self.on_forwarded_order(from, number, command),
            Packet::OrderDone { number, outcome } => self.on_order_done(number, outcome),
            Packet::Read { number } => self.on_forwarded_read(from, number),
            Packet::ReadDone { number, index } => self.on_read_done(number, index),
            Packet::Heartbeat(heartbeat) => self.heartbeat(now, heartbeat),
            Packet::Subscribe { .. }
            | Packet::Snapshot { .. }
            | Packet::Events { .. }
            | Packet::Status { .. }
            | Packet::Balancing(_) => {}
        }
    }

    /// A balancer's heartbeat has come.
    pub fn heartbeat(&mut self, now: u64, heartbeat: Heartbeat) {
        self.now = self.now.max(now);
        let name = heartbeat.name.clone();
        match self.balancers.merge(self.now, heartbeat.clone()) {
            Heard::Old => {}
            Heard::Changed => drop(self.heartbeats.insert(name, heartbeat)),
            Heard::Renewed => {
                let Heartbeat { incarnation, sequence, .. } = heartbeat;
                let news = StillThere { name: short_hash(&name), incarnation, sequence };
                self.still_there.insert(name, news);
            }
        }
    }

    /// Hands leadership over before the process stops.
    pub fn leave(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.replica.transfer();
        self.settle();
    }

    /// Whether a leader that holds a quorum was heard of lately.
    pub fn in_quorum(&self) -> bool {
        let heard = self.replica.leader_heard();
        heard.is_some_and(|at| self.now <= at + TIMING.election_max)
    }

    /// The control machines that are there, this one among them.
    pub fn machines(&self) -> Vec<ControlMachine> {
        let alive = |peer: &&Peer| self.now <= peer.heard + PEER_ALIVE;
        let others = self.peers.values().filter(alive).map(|peer| peer.machine.clone());
        std::iter::once(self.settings.machine.clone()).chain(others).collect()
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }

    fn send(&mut self, address: &str, packet: Packet) {
        self.actions.push(Action::Send { address: address.to_owned(), packet });
    }

    fn broadcast(&mut self, packet: &Packet) {
        for address in self.connected.clone() {
            self.send(&address, packet.clone());
        }
    }

    fn connect(&mut self, address: String) {
        if address != self.settings.machine.member.address && self.connected.insert(address.clone()) {
            self.actions.push(Action::Connect { address });
        }
    }

    fn hello(&self) -> Packet {
        let known = self.peers.values().map(|peer| peer.machine.clone()).collect();
        Packet::Hello { machine: self.settings.machine.clone(), known }
    }

    fn introduce(&mut self) {
        let members = self.replica.members().clone();
        let now = self.now;
        self.peers
            .retain(|_, peer| now <= peer.heard + FORGET_PEER || members.is_voter(peer.machine.member.id));
        let is_wanted = |address: &String| {
            self.peers.contains_key(address)
                || self.settings.seeds.contains(address)
                || members.voters.iter().any(|member| member.address == *address)
        };
        let unwanted: Vec<String> =
            self.connected.iter().filter(|address| !is_wanted(address)).cloned().collect();
        for address in unwanted {
            self.connected.remove(&address);
            self.actions.push(Action::Disconnect { address });
        }
        let hello = self.hello();
        self.broadcast(&hello);
    }

    fn on_hello(&mut self, machine: ControlMachine, known: Vec<ControlMachine>) {
        let address = machine.member.address.clone();
        self.connect(address.clone());
        if address != self.settings.machine.member.address {
            self.replica.set_zone(machine.member.id, machine.zone.clone());
            self.peers.insert(address, Peer { machine, heard: self.now });
        }
        for machine in known {
            let address = machine.member.address.clone();
            if address != self.settings.machine.member.address && !self.peers.contains_key(&address) {
                self.connect(address);
            }
        }
    }

    fn ask_to_join(&mut self) {
        let member = self.settings.machine.member.clone();
        if self.replica.wants_to_join() {
            self.broadcast(&Packet::Join(member));
        }
    }

    fn note_quorum(&mut self) {
        match (self.in_quorum(), self.quorum_since) {
            (true, None) => self.quorum_since = Some(self.now),
            (false, Some(_)) => {
                self.quorum_since = None;
                self.log(format!("quorum lost term={}", self.replica.term()));
            }
            _ => {}
        }
        if self.replica.is_leader() != self.was_leader {
            self.was_leader = !self.was_leader;
            let word = if self.was_leader { "leader elected" } else { "leadership ended" };
            self.log(format!("{word} term={} id={:x}", self.replica.term(), self.replica.id()));
        }
    }

    /// The internal address of a replica.
    fn address_of(&self, id: ReplicaId) -> Option<String> {
        let by_peer = self.peers.values().map(|peer| &peer.machine.member).find(|member| member.id == id);
        let voters = &self.replica.members().voters;
        let member = by_peer.or_else(|| voters.iter().find(|member| member.id == id));
        member.map(|member| member.address.clone())
    }

    /// Carries out what the replica wants.
    fn settle(&mut self) {
        loop {
            let outputs = self.replica.take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.carry_out(output);
            }
        }
        let members = self.replica.members().voters.clone();
        for member in members {
            self.connect(member.address);
        }
        self.answer_reads();
        self.compact();
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Persist { sequence, record } => self.actions.push(Action::Persist { sequence, record }),
            Output::Send(message) => {
                if let Some(address) = self.address_of(message.to) {
                    self.send(&address, Packet::Consensus(message));
                }
            }
            Output::Apply(entry) => self.apply_entry(entry),
            Output::Restore(snapshot) => match ControlState::decode(&snapshot.state) {
                Ok(state) => {
                    self.applied = snapshot.index;
                    self.restore(state);
                }
                Err(error) => self.log(format!("snapshot {} refused: {error}", snapshot.index)),
            },
            Output::ReadReady { read } => self.on_read_confirmed(read, true),
            Output::ReadFailed { read } => self.on_read_confirmed(read, false),
        }
    }

    fn apply_entry(&mut self, entry: Entry) {
        self.applied = entry.index;
        match entry.payload {
            Payload::Command(bytes) => {
                self.log_bytes += bytes.len();
                match Command::deserialize_bin(&bytes) {
                    Ok(command) => self.apply(entry.index, entry.term, command),
                    Err(error) => self.log(format!("entry {} can't be decoded: {error}", entry.index)),
                }
            }
            Payload::Members(members) => {
                let voters: Vec<String> =
                    members.voters.iter().map(|member| member.address.clone()).collect();
                self.log(format!("members changed index={} voters={}", entry.index, voters.join(",")));
                self.finish_proposed(entry.index, entry.term, None);
            }
            Payload::Empty => self.finish_proposed(entry.index, entry.term, None),
        }
    }

    fn apply(&mut self, index: u64, term: u64, command: Command) {
        let outcome = self.state.apply(index, &command);
        self.log(format!(
            "order applied index={index} outcome={outcome:?} generation={}",
            self.state.generation()
        ));
        self.publish(Event::Committed { index, command });
        self.finish_proposed(index, term, Some(outcome));
    }

    fn compact(&mut self) {
        let entries = self.replica.log().entries().len();
        if self.log_bytes < COMPACT_BYTES && entries < COMPACT_ENTRIES {
            return;
        }
        let index = self.state.index;
        if index > self.replica.log().snapshot().index {
            self.log_bytes = 0;
            self.replica.compact(index, self.state.encode());
            for output in self.replica.take_outputs() {
                self.carry_out(output);
            }
        }
    }
}

/// A command as an entry of the log holds it.
fn encoded(command: &Command) -> Vec<u8> {
    command.serialize_bin()
}
