//! A machine of the coordination group: its replica of the log, the calls and the watches that wait
//! at it, and, while it leads, the queue of all calls.
//!
//! # The way of a call
//!
//! Any machine takes calls (`calls`) and forwards them to the leader, each with the moment after
//! which it must not be proposed. The leader queues them (`queue`) and proposes what has come
//! together as one [`Batch`](crate::batch::Batch). Each machine applies the batch once it knows that
//! it is committed, and answers the calls that it has taken itself. Queries stand in the batch too:
//! they are answered from the state at their position, which was proposed after they came, so they
//! see everything that was acknowledged before.
//!
//! A call whose fate is unknown is never reported as not executed.

mod action;
mod calls;
mod leadership;
mod lease_clock;
mod log_event;
mod packets;
mod peers;
mod queue;
mod replication;
mod settings;
mod state_age;
mod status;
mod watches;

pub use action::{Action, Response};
pub use log_event::{CallSummary, LogEvent};
pub use settings::{MachineSettings, initial_snapshot};
pub use status::{Counters, MachineStatus};
pub use watches::WatchRequest;

use crate::state::CoordinationState;
use calls::PendingCalls;
use leadership::LeadershipTracker;
use lease_clock::LeaseClock;
use peers::{Peer, PeerTimers};
use queue::CallQueue;
use state_age::StateAge;
use std::collections::{BTreeMap, BTreeSet};
use watches::Watches;
use woadstall_consensus::{DurableState, LeaderClock, Replica, Settings, Timing};

/// A machine of the coordination group.
#[derive(Debug)]
pub struct CoordinationMachine {
    settings: MachineSettings,
    /// The latest time that was handed in, in milliseconds.
    now: u64,
    actions: Vec<Action>,
    timers: PeerTimers,
    replica: Replica,
    /// The state as far as the log is applied.
    state: CoordinationState,
    /// The position of the last entry that was applied.
    applied: u64,
    state_age: StateAge,
    /// Whether an entry or a snapshot could not be read, so that the state is not the group's.
    is_state_damaged: bool,
    /// Bytes of commands in the log since its last snapshot.
    log_bytes: usize,
    leader_clock: LeaderClock,
    /// While this machine leads: how it continues the state's clock.
    lease_clock: Option<LeaseClock>,
    leadership: LeadershipTracker,
    /// Other machines by their internal addresses.
    peers: BTreeMap<String, Peer>,
    /// Addresses that machines of the group may have, as the process knows them.
    known_addresses: BTreeSet<String>,
    /// Internal addresses to which a connection is kept.
    connected: BTreeSet<String>,
    calls: PendingCalls,
    queue: CallQueue,
    watches: Watches,
    counters: Counters,
}

impl CoordinationMachine {
    /// A machine with what its disk holds, at a time in milliseconds. The seed is for the random
    /// draws of its replica.
    pub fn new(settings: MachineSettings, durable: DurableState, now: u64, seed: u64) -> Self {
        let replica_settings = Settings {
            timing: Timing::MULTI_REGION,
            min_voters: 2 * settings.tolerated_failures + 1,
        };
        let mut machine = Self {
            now,
            actions: Vec::new(),
            timers: PeerTimers::new(now),
            replica: Replica::new(durable, replica_settings, now, seed),
            state: CoordinationState::default(),
            applied: 0,
            state_age: StateAge::default(),
            is_state_damaged: false,
            log_bytes: 0,
            leader_clock: LeaderClock::default(),
            lease_clock: None,
            leadership: LeadershipTracker::default(),
            peers: BTreeMap::new(),
            known_addresses: BTreeSet::new(),
            connected: BTreeSet::new(),
            calls: PendingCalls::default(),
            queue: CallQueue::new(now),
            watches: Watches::default(),
            counters: Counters::default(),
            settings,
        };
        let address = machine.settings.machine.member.address.clone();
        let domain = peers::failure_domain_of(&machine.settings.machine);
        machine.replica.set_failure_domain(address, domain);
        machine.connect_known();
        machine.process_replica_outputs();
        machine
    }

    /// Takes the actions that are to be carried out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The state as far as it is applied here.
    pub fn state(&self) -> &CoordinationState {
        &self.state
    }

    /// The replica of the log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The time at which [`tick`](Self::tick) is to be called at the latest, beside its regular
    /// interval; `None` where nothing is due.
    pub fn next_due(&self) -> Option<u64> {
        self.batch_due()
    }

    /// Lets time pass, and does what is due.
    pub fn tick(&mut self, now: u64) {
        self.advance_clock(now);
        self.replica.tick(self.now);
        self.process_replica_outputs();
        self.flush_queue();
        self.maintain_peers();
        self.advance_calls();
        self.advance_watches();
    }

    /// Takes over the time of an event; time never goes back.
    fn advance_clock(&mut self, now: u64) {
        self.now = self.now.max(now);
    }

    fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }
}
