//! A control machine as a state machine without I/O. It holds a replica of the configuration log,
//! the registrations of upstreams, the heartbeats of balancers, and the feeds to which balancers
//! subscribe.
//!
//! The host process calls one method per input event and carries out the resulting [`Action`]s. All
//! times are milliseconds of the host process's clock.

mod action;
mod balancer_heartbeats;
mod call;
mod calls;
mod commands;
mod directory;
mod failure_detection;
mod feeds;
mod gossip;
mod leadership;
mod load_notices;
mod log_event;
mod packets;
mod peers;
mod read_index;
mod registrations;
mod replication;
mod settings;
mod timers;

pub use action::{Action, CallResponse};
pub use directory::{ResolveRequest, ResolveResponse};
pub use log_event::LogEvent;
pub use settings::{MachineSettings, TIMING};

use crate::balancers::BalancerTable;
use crate::loads::LoadReports;
use crate::registry::{Registration, Registry};
use crate::state::ControlState;
use calls::PendingCalls;
use feeds::Feeds;
use gossip::PendingGossip;
use leadership::LeadershipTracker;
use load_notices::LoadNotices;
use peers::Peer;
use registrations::PersistProgress;
use std::collections::{BTreeMap, BTreeSet};
use timers::Timers;
use woadstall_consensus::{
    DurableState, LeaderClock, Member, Membership, Replica, Settings, Snapshot,
};

/// The state of one control machine.
#[derive(Debug)]
pub struct ControlMachine {
    settings: MachineSettings,
    /// The latest time passed to any method, in milliseconds.
    now_ms: u64,
    actions: Vec<Action>,
    timers: Timers,
    replica: Replica,
    /// The configuration and the evacuated zones after the last applied log entry.
    state: ControlState,
    /// The log index of the last applied entry.
    applied_index: u64,
    /// The total size in bytes of the commands in the log since its last snapshot.
    log_bytes: usize,
    leader_clock: LeaderClock,
    leadership: LeadershipTracker,
    /// The other control machines, keyed by internal address.
    peers: BTreeMap<String, Peer>,
    /// The internal addresses of the machines to which a connection is kept.
    connected: BTreeSet<String>,
    calls: PendingCalls,
    registry: Registry,
    /// The number of registration events published by this process.
    registry_version: u64,
    persist_progress: PersistProgress,
    balancers: BalancerTable,
    gossip: PendingGossip,
    feeds: Feeds,
    load_reports: LoadReports,
    load_notices: LoadNotices,
}

/// Returns the initial snapshot of a new replica group, whose voters are the seeds. All founders
/// create an identical snapshot, so that they form a single group regardless of which founder
/// starts first.
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
    /// Creates a machine from the durable state on its disk. `seed` initializes the random number
    /// generator of the replica.
    pub fn new(settings: MachineSettings, durable: DurableState, now_ms: u64, seed: u64) -> Self {
        let min_voters = 2 * settings.tolerated_failures + 1;
        let replica = Replica::new(
            durable,
            Settings {
                timing: TIMING,
                min_voters,
            },
            now_ms,
            seed,
        );
        let mut machine = Self {
            now_ms,
            actions: Vec::new(),
            timers: Timers::new(now_ms),
            replica,
            state: ControlState::default(),
            applied_index: 0,
            log_bytes: 0,
            leader_clock: LeaderClock::default(),
            leadership: LeadershipTracker::default(),
            peers: BTreeMap::new(),
            connected: BTreeSet::new(),
            calls: PendingCalls::new(),
            registry: Registry::default(),
            registry_version: 0,
            persist_progress: PersistProgress::default(),
            balancers: BalancerTable::default(),
            gossip: PendingGossip::default(),
            feeds: Feeds::new(settings.incarnation),
            load_reports: LoadReports::default(),
            load_notices: LoadNotices::default(),
            settings,
        };
        let own = machine.settings.machine.clone();
        machine
            .replica
            .set_failure_domain(own.member.address.clone(), peers::failure_domain_of(&own));
        for seed in machine.settings.seeds.clone() {
            machine.connect(seed);
        }
        machine.process_replica_outputs();
        machine
    }

    /// Returns and clears the queued actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the configuration and the evacuated zones after the last log entry applied by this
    /// machine.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns this machine's replica of the configuration log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns a counter that increases with each published registration change. A changed value
    /// means that the registrations on disk are out of date.
    pub fn registry_version(&self) -> u64 {
        self.registry_version
    }

    /// Returns all registrations, with their ages and remaining times as of now.
    pub fn registrations(&self) -> Vec<Registration> {
        self.registry.all(self.now_ms)
    }

    /// Returns the registry of upstreams.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Advances the clock, carries out periodic work that is due, and times out calls and
    /// upstreams.
    pub fn tick(&mut self, now_ms: u64) {
        self.advance_clock(now_ms);
        self.replica.tick(self.now_ms);
        self.process_replica_outputs();
        self.track_leadership();
        self.deliver_events();
        self.deliver_snapshots();
        self.deliver_loads();
        if self.timers.hello.fire(self.now_ms) {
            self.send_hello_to_all();
            self.registry.remove_expired(self.now_ms);
            self.balancers.remove_expired(self.now_ms);
        }
        if self.timers.join.fire(self.now_ms) {
            self.request_to_join();
        }
        if self.timers.gossip.fire(self.now_ms) {
            self.send_gossip();
            self.time_out_upstreams();
        }
        if self.timers.repeat.fire(self.now_ms) {
            self.repeat_registrations();
        }
        if self.timers.status.fire(self.now_ms) {
            self.deliver_status();
        }
        self.time_out_calls();
    }

    /// Advances the clock to the time of an event. An earlier time leaves the clock unchanged.
    fn advance_clock(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
    }

    fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }
}
