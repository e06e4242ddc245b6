//! A replica: its state, its inputs and its outputs. Each request, each response and each duty of a
//! role has a module of its own.

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

/// A replica of the group.
#[derive(Clone, Debug)]
pub struct Replica {
    id: ReplicaId,
    settings: Settings,
    /// The failure domains of the replicas by address, as far as they are known.
    failure_domains: BTreeMap<String, FailureDomain>,
    /// Replicas whose process is about to end, and until when that holds.
    retiring_until: BTreeMap<ReplicaId, Milliseconds>,
    now: Milliseconds,
    term: Term,
    voted_for: ReplicaId,
    log: Log,
    commit_index: LogIndex,
    applied_index: LogIndex,
    role: Role,
    election_deadline: Milliseconds,
    /// When a leader was last heard from, as a follower.
    leader_contact: Option<Milliseconds>,
    random: fastrand::Rng,
    outputs: VecDeque<Output>,
    persistence: Persistence,
    /// The snapshot that a leader is sending.
    incoming_snapshot: Option<SnapshotReceiver>,
    /// The last report of a leader; it counts only in its term.
    durable_report: Option<DurableReport>,
}

impl Replica {
    /// A replica with the durable state of its last run, at a time. `seed` determines its random
    /// election time-outs.
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

    /// This replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The index up to which the log is known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The membership as of the last entry.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader of the current term, if it is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Candidate { .. } => None,
            Role::Leader(_) => Some(self.id),
        }
    }

    /// When this replica last knew of a leader with a quorum: on a leader, when a quorum was last
    /// in contact with it.
    pub fn last_leader_contact(&self) -> Option<Milliseconds> {
        match &self.role {
            Role::Leader(leader) => Some(self.quorum_contact(leader)),
            Role::Follower { .. } | Role::Candidate { .. } => self.leader_contact,
        }
    }

    /// Sets the failure domain of the replicas at an address. Voters are spread over failure
    /// domains.
    pub fn set_failure_domain(&mut self, address: String, domain: FailureDomain) {
        self.failure_domains.insert(address, domain);
    }

    /// Text by which a model checker tells states apart: the durable state, the role and what waits
    /// for the disk. Replicas with equal texts behave alike where time stands still and neither
    /// failure domains nor retirements are set.
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

    /// Takes the outputs since the last call, in the order in which they are to be carried out.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        self.outputs.drain(..).collect()
    }

    /// Advances the time.
    pub fn tick(&mut self, now: Milliseconds) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.handle_election_timeout();
        }
    }

    /// Replaces the entries up to an index by a snapshot. `state` is the state machine at that
    /// index, which must be applied; otherwise nothing changes.
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

    /// The next entry of a leader.
    fn next_entry(&self, payload: EntryPayload) -> Entry {
        Entry {
            index: self.log.last_index() + 1,
            term: self.term,
            payload,
        }
    }
}
