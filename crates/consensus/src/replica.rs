//! A replica: its state, what it is told and what it wants done. Elections, replication, reads and changes of members are in
//! modules of their own.

use crate::durable::{DurableState, Record};
use crate::log::{Entry, EntryPayload, Log, Snapshot};
use crate::membership::{Membership, ReplicaId};
use crate::message::{Message, MessageBody};
use crate::roles::Role;
use crate::snapshots::IncomingSnapshot;
use crate::voters::FailureDomain;
use std::collections::{BTreeMap, VecDeque};

/// Times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How often a leader is heard from at least.
    pub heartbeat_interval: u64,
    /// The shortest silence of a leader after which an election begins.
    pub election_timeout_min: u64,
    /// The longest one; each replica draws its own between the two each time.
    pub election_timeout_max: u64,
}

/// What a group is built for.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Its times.
    pub timing: Timing,
    /// Voters that must be there beside a silent one before that one's vote is taken: twice the members that may be lost at
    /// a time, and one.
    pub min_voters: usize,
}

/// What the shell has to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Make a record durable, then call [`Replica::handle_persisted`] with its number.
    Persist {
        /// The record's number; numbers rise by one.
        sequence: u64,
        /// The record.
        record: Record,
    },
    /// Send a message.
    Send(Message),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state machine by a snapshot.
    Restore(Snapshot),
    /// The read with this number may be answered once all entries up to `index` are applied, as they are now.
    ReadReady {
        /// The number that [`Replica::request_read`] was called with.
        read_id: u64,
    },
    /// The read with this number can't be answered here.
    ReadFailed {
        /// The number that [`Replica::request_read`] was called with.
        read_id: u64,
    },
}

/// Why a command or a change of members was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica does not lead; the leader, if it is known.
    NotLeader(Option<ReplicaId>),
    /// A change of members is under way, too much waits to be committed, or the leader has committed nothing in its term yet.
    Busy,
    /// A group needs a voter.
    NoVoters,
}

/// A replica of the group.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) timing: Timing,
    pub(crate) min_voters: usize,
    /// Where the replicas at an address are, as far as it is known.
    pub(crate) places: BTreeMap<String, FailureDomain>,
    /// Replicas that have said that they leave, and until when that holds.
    pub(crate) leaving: BTreeMap<ReplicaId, u64>,
    pub(crate) now: u64,
    pub(crate) term: u64,
    pub(crate) vote: ReplicaId,
    pub(crate) log: Log,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) role: Role,
    pub(crate) election_due: u64,
    pub(crate) leader_heard: Option<u64>,
    pub(crate) random: fastrand::Rng,
    pub(crate) outputs: VecDeque<Output>,
    pub(crate) next_sequence: u64,
    persisted: u64,
    /// Messages that must not leave before the record with this number is durable.
    pub(crate) held: VecDeque<(u64, Message)>,
    /// Ends of appended runs that are not durable yet: record number, index, term.
    pub(crate) appended: VecDeque<(u64, u64, u64)>,
    /// The last entry that is durable.
    pub(crate) durable: u64,
    /// The record that holds this replica's vote for itself, until it is durable.
    pub(crate) vote_sequence: u64,
    /// The snapshot that is on its way here.
    pub(crate) incoming: Option<IncomingSnapshot>,
}

impl Replica {
    /// A replica as it was when it last ran, at a time in milliseconds.
    pub fn new(state: DurableState, settings: Settings, now: u64, seed: u64) -> Self {
        let Settings { timing, min_voters } = settings;
        let snapshot = state.log.snapshot().clone();
        let mut replica = Self {
            id: state.id,
            timing,
            min_voters,
            places: BTreeMap::new(),
            leaving: BTreeMap::new(),
            now,
            term: state.term.max(snapshot.term),
            vote: state.vote,
            commit: snapshot.index.max(state.commit.min(state.log.last_index())),
            applied: snapshot.index,
            durable: state.log.last_index(),
            log: state.log,
            role: Role::Follower { leader: None },
            election_due: 0,
            leader_heard: None,
            random: fastrand::Rng::with_seed(seed),
            outputs: VecDeque::new(),
            next_sequence: 1,
            persisted: 0,
            held: VecDeque::new(),
            appended: VecDeque::new(),
            vote_sequence: 0,
            incoming: None,
        };
        if snapshot.index > 0 {
            replica.outputs.push_back(Output::Restore(snapshot));
        }
        replica.apply_up_to_commit();
        replica.wait_for_first_election();
        replica
    }

    /// This replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The position up to which the log is known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The members as of the last entry.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Whether this replica leads.
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

    /// When a leader that holds a quorum was last heard from, on this replica's clock. A leader has heard from itself
    /// when a quorum last answered it.
    pub fn last_leader_contact(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(leadership) => Some(self.quorum_contact(leadership)),
            _ => self.leader_heard,
        }
    }

    /// Whether this replica should ask to join: it has no vote, or no leader has told it anything for so long that its vote may
    /// have been taken without its knowledge.
    pub fn should_join(&self) -> bool {
        let patience = 2 * self.timing.election_timeout_max;
        let is_left = self
            .last_leader_contact()
            .is_none_or(|at| self.now > at + patience)
            && !self.is_leader();
        !self.membership().is_voter(self.id) || is_left
    }

    /// Hears where the replicas at an address are: voters are spread over regions and zones.
    pub fn set_failure_domain(&mut self, address: String, place: FailureDomain) {
        self.places.insert(address, place);
    }

    /// All that its future depends on beside time and chance, as text: replicas of which it is equal behave alike.
    pub fn state_key(&self) -> String {
        let disk = (
            self.id,
            self.term,
            self.vote,
            self.durable,
            self.persisted + 1 - self.next_sequence,
        );
        let log = (
            self.log.snapshot().index,
            self.log.entries(),
            self.commit,
            self.applied,
        );
        format!("{disk:?} {log:?} {:?} {:?}", self.role, self.held)
    }

    /// Takes the outputs.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        self.outputs.drain(..).collect()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.lead();
        } else if self.now >= self.election_due {
            self.seek_leader();
        }
    }

    /// Records up to this number are durable.
    pub fn handle_persisted(&mut self, sequence: u64) {
        self.persisted = self.persisted.max(sequence);
        while let Some((number, index, term)) = self.appended.front().copied() {
            if number > self.persisted {
                break;
            }
            self.appended.pop_front();
            if self.log.term_at(index) == Some(term) {
                self.durable = self.durable.max(index);
            }
        }
        while self
            .held
            .front()
            .is_some_and(|(number, _)| *number <= self.persisted)
        {
            let message = self.held.pop_front().map(|(_, message)| message);
            self.outputs.extend(message.map(Output::Send));
        }
        if self.vote_sequence != 0 && self.vote_sequence <= self.persisted {
            self.vote_sequence = 0;
            self.count_vote(self.id, false);
        }
        self.advance_commit();
    }

    /// Handles a message from another replica.
    pub fn handle_message(&mut self, now: u64, message: Message) {
        self.now = self.now.max(now);
        if message.to != self.id {
            return;
        }
        if let MessageBody::Vote {
            pre,
            last_index,
            last_term,
            transfer,
        } = message.body
        {
            self.on_vote(
                message.from,
                message.term,
                pre,
                (last_term, last_index),
                transfer,
            );
            return;
        }
        let is_pre_reply = matches!(message.body, MessageBody::VoteReply { pre: true, .. });
        if message.term > self.term && !is_pre_reply {
            self.adopt_term(message.term);
        }
        if message.term < self.term {
            self.refuse_old_term(&message);
            return;
        }
        match message.body {
            MessageBody::Vote { .. } => {}
            MessageBody::VoteReply { pre, granted } => {
                if granted {
                    self.count_vote(message.from, pre);
                }
            }
            MessageBody::Append {
                previous_index,
                previous_term,
                entries,
                commit,
                round,
            } => {
                self.follow(message.from);
                self.on_append(
                    message.from,
                    (previous_index, previous_term),
                    entries,
                    commit,
                    round,
                );
            }
            MessageBody::AppendReply {
                success,
                index,
                round,
            } => {
                self.on_append_reply(message.from, success, index, round);
            }
            MessageBody::Install { piece, round } => {
                self.follow(message.from);
                self.on_install(message.from, piece, round);
            }
            MessageBody::InstallReply {
                received, round, ..
            } => {
                self.on_install_reply(message.from, received, round);
            }
            MessageBody::Elect => {
                if self.log.membership().is_voter(self.id) {
                    self.ask_for_votes(false, true);
                }
            }
        }
    }

    /// Replaces the entries up to a position by the state machine's encoding at that position, which is applied.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) {
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index > self.applied || index <= self.log.snapshot().index {
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

    pub(crate) fn send(&mut self, to: ReplicaId, body: MessageBody) {
        let message = Message {
            from: self.id,
            to,
            term: self.term,
            body,
        };
        self.outputs.push_back(Output::Send(message));
    }

    /// Sends a message once all that was handed out for the disk is durable.
    pub(crate) fn send_durably(&mut self, to: ReplicaId, body: MessageBody) {
        if self.persisted + 1 == self.next_sequence {
            self.send(to, body);
            return;
        }
        let message = Message {
            from: self.id,
            to,
            term: self.term,
            body,
        };
        self.held.push_back((self.next_sequence - 1, message));
    }

    pub(crate) fn persist(&mut self, record: Record) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.outputs.push_back(Output::Persist { sequence, record });
    }

    pub(crate) fn append(&mut self, entries: Vec<Entry>) {
        let Some(last) = entries.last() else { return };
        let (index, term) = (last.index, last.term);
        self.durable = self.durable.min(entries[0].index - 1);
        self.log.append(&entries);
        self.appended.push_back((self.next_sequence, index, term));
        self.persist(Record::Append(entries));
    }

    /// Applies what is newly committed, and has the disk remember how far that is.
    pub(crate) fn apply_committed(&mut self) {
        self.persist(Record::Commit(self.commit));
        self.apply_up_to_commit();
    }

    fn apply_up_to_commit(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied += 1;
            self.outputs.push_back(Output::Apply(entry));
        }
    }

    /// The next entry of a leader.
    pub(crate) fn next_entry(&self, payload: EntryPayload) -> Entry {
        Entry {
            index: self.log.last_index() + 1,
            term: self.term,
            payload,
        }
    }
}
