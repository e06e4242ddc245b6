//! A control machine as a state machine without I/O: its replica of the configuration's log, the
//! registrations of upstreams, the heartbeats of balancers, and the feeds that balancers subscribe
//! to.
//!
//! The process that runs it calls a method for everything that happens and carries out the
//! [`Action`]s that come of it. Times are milliseconds of the process's own clock.

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

/// A control machine.
#[derive(Debug)]
pub struct ControlMachine {
    settings: MachineSettings,
    /// The latest time that was handed in, in milliseconds.
    now: u64,
    actions: Vec<Action>,
    timers: Timers,
    replica: Replica,
    /// The configuration and the evacuations, as far as the log is applied.
    state: ControlState,
    /// The position of the last entry that was applied.
    applied_index: u64,
    /// Bytes of commands in the log since its last snapshot.
    log_bytes: usize,
    leader_clock: LeaderClock,
    leadership: LeadershipTracker,
    /// Other machines by their internal addresses.
    peers: BTreeMap<String, Peer>,
    /// Internal addresses to which a connection is kept.
    connected: BTreeSet<String>,
    calls: PendingCalls,
    registry: Registry,
    /// Counts changes of registrations.
    registry_version: u64,
    persist_progress: PersistProgress,
    balancers: BalancerTable,
    gossip: PendingGossip,
    feeds: Feeds,
    load_reports: LoadReports,
    load_notices: LoadNotices,
}

/// The snapshot that founders of a group begin with: the seeds are its voters. All founders make
/// the same one, so that there is one group, whichever of them starts first.
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
    /// A machine with what its disk holds, at a time in milliseconds. The seed is for the random
    /// draws of its replica.
    pub fn new(settings: MachineSettings, durable: DurableState, now: u64, seed: u64) -> Self {
        let min_voters = 2 * settings.tolerated_failures + 1;
        let replica = Replica::new(
            durable,
            Settings {
                timing: TIMING,
                min_voters,
            },
            now,
            seed,
        );
        let mut machine = Self {
            now,
            actions: Vec::new(),
            timers: Timers::new(now),
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

    /// Takes the actions that are to be carried out.
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

    /// Counts changes of the registrations that are worth writing to disk.
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

    /// Lets time pass, and does what is due.
    pub fn tick(&mut self, now: u64) {
        self.advance_clock(now);
        self.replica.tick(self.now);
        self.process_replica_outputs();
        self.track_leadership();
        self.deliver_events();
        self.deliver_snapshots();
        self.deliver_loads();
        if self.timers.hello.fire(self.now) {
            self.introduce();
            self.registry.remove_expired(self.now);
            self.balancers.remove_expired(self.now);
        }
        if self.timers.join.fire(self.now) {
            self.request_to_join();
        }
        if self.timers.gossip.fire(self.now) {
            self.send_gossip();
            self.time_out_upstreams();
        }
        if self.timers.status.fire(self.now) {
            self.deliver_status();
        }
        self.time_out_calls();
    }

    /// Takes over the time of an event; time never goes back.
    fn advance_clock(&mut self, now: u64) {
        self.now = self.now.max(now);
    }

    fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }
}
