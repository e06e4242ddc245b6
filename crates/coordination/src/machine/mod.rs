//! A machine of the coordination group. It owns a replica of the log and the pending calls and
//! watches of its clients. The leader additionally queues the calls of the whole group.
//!
//! # Life cycle of a call
//!
//! 1. Any machine accepts calls (`calls`) and forwards them to the leader. Each forwarded call
//!    carries a deadline after which the leader must not propose it.
//! 2. The leader queues the calls (`queue`) and proposes the queued calls together as one
//!    [`Batch`](crate::batch::Batch).
//! 3. Each machine applies the batch once it knows that the batch is committed, and responds to the
//!    calls that it accepted itself.
//!
//! Queries are part of the batch as well. A query is answered from the state at the position of its
//! batch. The batch is proposed after the query arrived, so the query observes every write that was
//! acknowledged before it.
//!
//! A call whose outcome is unknown is never reported as not executed.

mod action;
mod calls;
mod freshness;
mod leadership;
mod lease_clock;
mod log_event;
mod packets;
mod peers;
mod queue;
mod replication;
mod settings;
mod status;
mod watches;

pub use action::{Action, Response};
pub use log_event::{CallSummary, LogEvent};
pub use settings::{MachineSettings, initial_snapshot};
pub use status::{Counters, MachineStatus};
pub use watches::WatchRequest;

use crate::state::CoordinationState;
use calls::PendingCalls;
use freshness::StateFreshness;
use leadership::LeadershipTracker;
use lease_clock::LeaseClock;
use peers::{Peer, PeerTimers};
use queue::CallQueue;
use std::collections::{BTreeMap, BTreeSet};
use watches::Watches;
use woadstall_consensus::{DurableState, LeaderClock, Replica, Settings, Timing};

/// A machine of the coordination group.
#[derive(Debug)]
pub struct CoordinationMachine {
    settings: MachineSettings,
    /// The latest time passed in by the process, in milliseconds of this machine's monotonic clock.
    now: u64,
    actions: Vec<Action>,
    timers: PeerTimers,
    replica: Replica,
    /// The state after the last applied entry.
    state: CoordinationState,
    /// The log index of the last applied entry or restored snapshot.
    applied_index: u64,
    state_freshness: StateFreshness,
    /// Whether an entry or a snapshot could not be decoded. The local state then no longer matches
    /// the state of the group.
    is_state_invalid: bool,
    /// Bytes of batches applied since the last snapshot of the log.
    log_bytes: usize,
    leader_clock: LeaderClock,
    /// The source of the state's clock. Present on a leader that has applied the first entry of its
    /// term.
    lease_clock: Option<LeaseClock>,
    leadership: LeadershipTracker,
    /// Other machines, by internal address.
    peers: BTreeMap<String, Peer>,
    /// Internal addresses of possible group members, supplied by the process.
    known_addresses: BTreeSet<String>,
    /// Internal addresses to which the process maintains connections.
    connection_targets: BTreeSet<String>,
    calls: PendingCalls,
    queue: CallQueue,
    watches: Watches,
    counters: Counters,
}

impl CoordinationMachine {
    /// Creates a machine from its durable state. `now` is the machine's monotonic clock in
    /// milliseconds, `seed` initializes the random number generator of the replica.
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
            applied_index: 0,
            state_freshness: StateFreshness::default(),
            is_state_invalid: false,
            log_bytes: 0,
            leader_clock: LeaderClock::default(),
            lease_clock: None,
            leadership: LeadershipTracker::default(),
            peers: BTreeMap::new(),
            known_addresses: BTreeSet::new(),
            connection_targets: BTreeSet::new(),
            calls: PendingCalls::default(),
            queue: CallQueue::new(now),
            watches: Watches::default(),
            counters: Counters::default(),
            settings,
        };
        let address = machine.settings.machine.member.address.clone();
        let domain = peers::failure_domain_of(&machine.settings.machine);
        machine.replica.set_failure_domain(address, domain);
        machine.connect_known_addresses();
        machine.process_replica_outputs();
        machine
    }

    /// Drains the pending actions. The process carries them out in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The state after the last entry that this machine has applied.
    pub fn state(&self) -> &CoordinationState {
        &self.state
    }

    /// The machine's replica of the consensus log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The time in milliseconds at which the next batch is due. The process calls
    /// [`tick`](Self::tick) by then, in addition to its regular interval. `None` if no batch is
    /// waiting.
    pub fn next_due(&self) -> Option<u64> {
        self.batch_due()
    }

    /// Advances the clock to `now` and performs the work that is due.
    pub fn tick(&mut self, now: u64) {
        self.advance_clock(now);
        self.replica.tick(self.now);
        self.process_replica_outputs();
        self.flush_queue();
        self.maintain_peers();
        self.advance_calls();
        self.advance_watches();
    }

    /// Advances the clock to `now`. An earlier time is ignored, so the clock is monotonic.
    fn advance_clock(&mut self, now: u64) {
        self.now = self.now.max(now);
    }

    fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }
}
