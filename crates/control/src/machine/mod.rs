//! A control machine: its replica of the configuration's log, the registrations, the balancers, and the feeds. All that
//! happens to it goes in by a method; what it wants done comes out as [`Action`]s.

mod directory;
mod feeds;
mod leader_clock;
mod loads;
mod orders;
mod peers;
mod reads;
mod registrations;
mod replication;

pub use directory::{ResolveRequest, ResolveResponse};

use crate::balancers::{BalancerHeartbeat, BalancerRenewal, Balancers, Heard};
use crate::feed::Journal;
use crate::loads::Loads;
use crate::registry::{Registration, Registry};
use crate::shards::short_hash;
use crate::state::ControlState;
use crate::wire::{CallId, MachineInfo, Packet, Renewal, ZoneBalancers};
use feeds::{Newcomer, Subscriber};
use leader_clock::LeaderClock;
use loads::ToldLoads;
use orders::{Order, Proposed};
use peers::{HELLO_EVERY, Peer};
use reads::PendingRead;
use registrations::{PendingTaken, Spread};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use woadstall_consensus::{
    DurableState, Member, Membership, Record, Replica, Settings, Snapshot, Timing,
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
    /// Make a record durable, then call [`ControlMachine::persisted`].
    Persist {
        /// The record's number.
        sequence: u64,
        /// The record.
        record: Record,
    },
    /// Keep all registrations on disk, then call [`ControlControlMachine::registrations_persisted`].
    PersistRegistrations {
        /// The number of this wish; a later one includes it.
        number: u64,
    },
    /// Answer a call.
    Respond {
        /// The call.
        token: u64,
        /// The response.
        response: CallResponse,
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
pub enum CallResponse {
    /// Done, and known to enough machines.
    Acknowledged,
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
    /// Nobody can tell now; the caller asks again.
    Indeterminate,
}

/// What a machine is told at its start.
#[derive(Clone, Debug)]
pub struct MachineSettings {
    /// Itself.
    pub machine: MachineInfo,
    /// Internal addresses of the seeds.
    pub seeds: Vec<String>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// How often upstreams send heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Machines with a disk that may be lost at a time.
    pub tolerated: usize,
    /// Tells this process, its calls and its journal from others of the machine.
    pub incarnation: u64,
}

/// Times of the replicated log: a round trip between regions is up to 110 ms, and a machine has a part of a core.
pub const TIMING: Timing = Timing {
    heartbeat_interval: 150,
    election_timeout_min: 900,
    election_timeout_max: 1_500,
};
/// How often a machine that does not vote asks to join.
const JOIN_EVERY: u64 = 500;
/// How long a caller is kept waiting at most: after a second it goes to another machine.
const CALL_PATIENCE: u64 = 900;
/// How often heartbeats that came are told to the other machines.
const GOSSIP_EVERY: u64 = 200;

/// A control machine.
#[derive(Debug)]
pub struct ControlMachine {
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
    /// Calls of other machines that are answered once the registrations are kept.
    taken: Vec<PendingTaken>,
    /// The newest wish that registrations be kept, and the newest that was met.
    keep_wanted: u64,
    kept: u64,
    leader_clock: LeaderClock,
    subscribers: BTreeMap<u64, Subscriber>,
    newcomers: Vec<Newcomer>,
    renewals: Vec<Renewal>,
    heartbeats: BTreeMap<String, BalancerHeartbeat>,
    still_there: BTreeMap<String, BalancerRenewal>,
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
    /// What balancers tell of upstreams.
    loads: Loads,
    told_loads: ToldLoads,
}

/// The snapshot that founders begin with: the seeds are its voters. All founders make the same one, so there is one group
/// whoever of them comes first.
pub fn founding_snapshot(seeds: &[Member]) -> Snapshot {
    let mut voters = seeds.to_vec();
    voters.sort_by_key(|member| member.id);
    voters.dedup();
    Snapshot {
        index: 1,
        term: 1,
        membership: Membership::new(voters),
        state: ControlState::default().encode(),
    }
}

impl ControlMachine {
    /// A machine as its disk has it, at a time in milliseconds.
    pub fn new(settings: MachineSettings, durable: DurableState, now: u64, seed: u64) -> Self {
        let journal = Journal::new(settings.incarnation);
        let mut machine = Self {
            now,
            replica: Replica::new(
                durable,
                Settings {
                    timing: TIMING,
                    min_voters: 2 * settings.tolerated + 1,
                },
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
            taken: Vec::new(),
            keep_wanted: 0,
            kept: 0,
            leader_clock: LeaderClock::default(),
            subscribers: BTreeMap::new(),
            newcomers: Vec::new(),
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
            loads: Loads::default(),
            told_loads: ToldLoads::default(),
            settings,
        };
        let own = machine.settings.machine.clone();
        machine
            .replica
            .set_failure_domain(own.member.address.clone(), peers::place_of(&own));
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

    /// All registrations, with their times as of now.
    pub fn registrations(&self) -> Vec<Registration> {
        self.registry.all(self.now)
    }

    /// The registrations.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.replica.tick(self.now);
        self.settle();
        self.note_quorum();
        self.tell_events();
        self.admit_newcomers();
        self.tell_loads();
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
        self.replica.handle_persisted(sequence);
        self.settle();
    }

    /// A packet has come from the machine with this internal address.
    pub fn receive_packet(&mut self, now: u64, from: &str, packet: Packet) {
        self.now = self.now.max(now);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.heard = self.now;
        }
        match packet {
            Packet::Hello { machine, known } => self.on_hello(machine, known),
            Packet::Consensus { message, clock } => self.on_consensus(message, clock),
            Packet::JoinRequest(member) => {
                self.replica.add_learner(member);
                self.settle();
            }
            Packet::ReplicaStopping(replica) => self.replica.set_retiring(self.now, replica),
            Packet::Registrations {
                call,
                registrations,
            } => self.on_registrations(from, call, registrations),
            Packet::RegistrationsAck { call } => self.on_taken(from, call),
            Packet::Renewals(renewals) => {
                for Renewal { id, sequence } in renewals {
                    self.registry.renew(self.now, &id, sequence);
                }
            }
            Packet::BalancerHeartbeats(heartbeats) => {
                for heartbeat in heartbeats {
                    self.balancers.merge(self.now, heartbeat);
                }
            }
            Packet::BalancerRenewals(still_there) => self.balancers.renew(self.now, &still_there),
            Packet::ForwardedCommand {
                call,
                expires,
                command,
            } => self.on_forwarded_order(from, call, expires, command),
            Packet::ForwardedCommandReply { call, outcome } => self.on_order_done(call, outcome),
            Packet::ReadIndexRequest { call } => self.on_forwarded_read(from, call),
            Packet::ReadIndexReply { call, index } => self.on_read_done(call, index),
            Packet::BalancerHeartbeat(heartbeat) => self.receive_heartbeat(now, heartbeat),
            Packet::LoadReport(report) => self.on_load(report),
            Packet::Subscribe { .. }
            | Packet::Snapshot { .. }
            | Packet::Events { .. }
            | Packet::MachineStatus { .. }
            | Packet::ActiveBalancers(_)
            | Packet::FleetLoads(_) => {}
        }
    }

    /// A balancer's heartbeat has come.
    pub fn receive_heartbeat(&mut self, now: u64, heartbeat: BalancerHeartbeat) {
        self.now = self.now.max(now);
        let name = heartbeat.name.clone();
        match self.balancers.merge(self.now, heartbeat.clone()) {
            Heard::Old => {}
            Heard::Changed => drop(self.heartbeats.insert(name, heartbeat)),
            Heard::Renewed => {
                let BalancerHeartbeat {
                    incarnation,
                    sequence,
                    ..
                } = heartbeat;
                let news = BalancerRenewal {
                    name: short_hash(&name),
                    incarnation,
                    sequence,
                };
                self.still_there.insert(name, news);
            }
        }
    }

    /// Whether a leader that holds a quorum was there lately.
    pub fn in_quorum(&self) -> bool {
        let heard = match self.replica.is_leader() {
            true => self.replica.last_leader_contact(),
            false => self
                .replica
                .leader()
                .and_then(|_| self.leader_clock.last_sent(self.replica.term())),
        };
        heard.is_some_and(|at| self.now <= at + TIMING.election_timeout_max)
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn next_call(&mut self) -> CallId {
        let number = self.number();
        self.call(number)
    }

    /// The call of this process with a number.
    fn call(&self, number: u64) -> CallId {
        CallId {
            incarnation: self.settings.incarnation,
            number,
        }
    }

    /// The number of a call, if this process made it.
    fn own_number(&self, call: CallId) -> Option<u64> {
        (call.incarnation == self.settings.incarnation).then_some(call.number)
    }

    fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }

    fn send(&mut self, address: &str, packet: Packet) {
        self.actions.push(Action::Send {
            address: address.to_owned(),
            packet,
        });
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
            let word = if self.was_leader {
                "leader elected"
            } else {
                "leadership ended"
            };
            self.log(format!(
                "{word} term={} id={:x}",
                self.replica.term(),
                self.replica.id()
            ));
            if !self.was_leader {
                self.give_up_proposed();
            }
        }
    }
}
