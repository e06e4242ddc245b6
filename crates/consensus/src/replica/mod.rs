//! A replica as a state machine: its state, its inputs and its outputs. Each kind of message and
//! each task of a role has a module of its own.

mod append_entries;
mod commit;
mod dispatch;
mod durable_report;
mod election;
mod install_snapshot;
mod leader;
mod learners;
mod membership_change;
mod persistence;
mod propose;
mod read;
mod replication;
mod retirement;
mod vote;

use crate::config::{Milliseconds, Settings};
use crate::durable_report::DurableReport;
use crate::durable_state::{DurableState, Record};
use crate::entry::{Entry, EntryPayload};
use crate::log::Log;
use crate::log_position::{LogIndex, Term};
use crate::membership::{Membership, ReplicaId};
use crate::output::Output;
use crate::role::Role;
use crate::snapshot::Snapshot;
use crate::snapshot_transfer::SnapshotReceiver;
use crate::voter_selection::FailureDomain;
use persistence::Persistence;
use std::collections::{BTreeMap, VecDeque};

/// A replica of the group. The driver passes in the time, received messages and completed writes,
/// and carries out the outputs.
#[derive(Clone, Debug)]
pub struct Replica {
    id: ReplicaId,
    settings: Settings,
    /// The known failure domains of replicas, by address.
    failure_domains: BTreeMap<String, FailureDomain>,
    /// The replicas whose process is about to stop, with the time until which they count as
    /// retiring.
    retiring_until: BTreeMap<ReplicaId, Milliseconds>,
    now: Milliseconds,
    term: Term,
    voted_for: ReplicaId,
    log: Log,
    commit_index: LogIndex,
    applied_index: LogIndex,
    role: Role,
    election_deadline: Milliseconds,
    /// The time of the last message from a leader that this replica followed.
    leader_contact: Option<Milliseconds>,
    random: fastrand::Rng,
    outputs: VecDeque<Output>,
    persistence: Persistence,
    /// The snapshot that this replica is receiving from a leader.
    incoming_snapshot: Option<SnapshotReceiver>,
    /// The last durable report from a leader. The report is valid only in its own term.
    durable_report: Option<DurableReport>,
}

impl Replica {
    /// Creates a replica from the durable state of its last run. `now` is the current time. `seed`
    /// determines the random election time-outs.
    pub fn new(state: DurableState, settings: Settings, now: Milliseconds, seed: u64) -> Self {
        let snapshot = state.log.snapshot().clone();
        let last_index = state.log.last_index();
        let mut replica = Self {
            id: state.id,
            settings,
            failure_domains: BTreeMap::new(),
            retiring_until: BTreeMap::new(),
            now,
            term: state.term.max(snapshot.term),
            voted_for: state.voted_for,
            commit_index: snapshot.index.max(state.commit_index.min(last_index)),
            applied_index: snapshot.index,
            log: state.log,
            role: Role::Follower { leader: None },
            election_deadline: 0,
            leader_contact: None,
            random: fastrand::Rng::with_seed(seed),
            outputs: VecDeque::new(),
            persistence: Persistence::new(last_index),
            incoming_snapshot: None,
            durable_report: None,
        };
        if snapshot.index > 0 {
            replica.outputs.push_back(Output::Restore(snapshot));
        }
        replica.apply_committed();
        replica.reset_startup_election_timer();
        replica
    }

    /// Returns the identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the index up to which this replica knows the log to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the log of this replica, including its uncommitted entries.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the membership as of the last entry, which may be uncommitted.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns whether this replica is the leader of the current term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the leader of the current term, if this replica knows it.
    pub fn leader(&self) -> Option<ReplicaId> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Candidate { .. } => None,
            Role::Leader(_) => Some(self.id),
        }
    }

    /// Returns the time of the last contact with the leader. On the leader itself, this is the
    /// latest time at which a quorum was in contact with it.
    pub fn last_leader_contact(&self) -> Option<Milliseconds> {
        match &self.role {
            Role::Leader(leader) => Some(self.quorum_contact(leader)),
            Role::Follower { .. } | Role::Candidate { .. } => self.leader_contact,
        }
    }

    /// Sets the failure domain of the replicas at an address. The automatic choice of voters
    /// spreads the voters over failure domains.
    pub fn set_failure_domain(&mut self, address: String, domain: FailureDomain) {
        self.failure_domains.insert(address, domain);
    }

    /// Returns a text by which a model checker distinguishes states. The text contains the durable
    /// state, the role, the messages that wait for records to become durable, and the current
    /// durable report. Replicas with equal texts behave alike, provided that time stands still and
    /// that neither failure domains nor retiring replicas are set.
    pub fn state_key(&self) -> String {
        let durable = (
            self.id,
            self.term,
            self.voted_for,
            self.persistence.durable_index(),
            self.persistence.has_pending_records(),
        );
        let log = (
            self.log.snapshot().index,
            self.log.entries(),
            self.commit_index,
            self.applied_index,
        );
        let pending_messages = self.persistence.pending_messages();
        let report = self.current_report();
        format!(
            "{durable:?} {log:?} {:?} {pending_messages:?} {report:?}",
            self.role
        )
    }

    /// Takes the outputs since the last call. The driver performs the outputs in the returned
    /// order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        self.outputs.drain(..).collect()
    }

    /// Advances the time, and performs the work that is due: an election after an election
    /// time-out, or the periodic work of a leader.
    pub fn tick(&mut self, now: Milliseconds) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.handle_election_timeout();
        }
    }

    /// Replaces the entries up to `index` by a snapshot. `state` is the state of the state machine
    /// as of `index`. Does nothing if the entry at `index` is not applied or is already compacted.
    pub fn compact(&mut self, index: LogIndex, state: Vec<u8>) {
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index > self.applied_index || index <= self.log.snapshot().index {
            return;
        }
        let membership = self.log.membership_at(index).clone();
        let snapshot = Snapshot {
            index,
            term,
            membership,
            state,
        };
        self.log.install(snapshot.clone());
        self.persist(Record::InstallSnapshot(snapshot));
    }

    /// Creates the entry that a leader appends next.
    fn next_entry(&self, payload: EntryPayload) -> Entry {
        Entry {
            index: self.log.last_index() + 1,
            term: self.term,
            payload,
        }
    }
}
