//! A replica: terms, elections, and what a follower does.

use crate::durable::{DurableState, Record};
use crate::leader::{Leadership, Read};
use crate::log::{Entry, Log, Member, Membership, Payload, ReplicaId, Snapshot};
use crate::message::{Body, Message};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// When a replica that has just started asks for votes, in milliseconds: one that follows a leader hears of it within a
/// heartbeat.
const FIRST_ELECTION: std::ops::Range<u64> = 250..600;

/// Times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How often a leader is heard from at least.
    pub heartbeat: u64,
    /// The shortest silence of a leader after which an election begins.
    pub election_min: u64,
    /// The longest one; each replica draws its own between the two each time.
    pub election_max: u64,
}

/// What a group is built for.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Its times.
    pub timing: Timing,
    /// Voters that must be there beside a silent one before that one's vote is taken: twice the members that may be lost at
    /// a time, and one.
    pub least_voters: usize,
}

/// The role of a replica in its term.
#[derive(Debug)]
pub enum Role {
    /// Follows a leader, if it knows of one.
    Follower {
        /// The leader of the term.
        leader: Option<ReplicaId>,
    },
    /// Stands for election, or asks whether it could.
    Candidate {
        /// Whether it only asks.
        pre: bool,
        /// Who has granted a vote.
        votes: BTreeSet<ReplicaId>,
    },
    /// Leads the term.
    Leader(Box<Leadership>),
}

/// What the shell has to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Make a record durable, then call [`Replica::persisted`] with its number.
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
        /// The number that [`Replica::read`] was called with.
        read: u64,
    },
    /// The read with this number can't be answered here.
    ReadFailed {
        /// The number that [`Replica::read`] was called with.
        read: u64,
    },
}

/// Why a command or a change of members was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica does not lead; the leader, if it is known.
    NotLeader(Option<ReplicaId>),
    /// A change of members is under way, or the leader has committed nothing in its term yet.
    Busy,
}

/// A replica of the group.
#[derive(Debug)]
pub struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) timing: Timing,
    pub(crate) least_voters: usize,
    /// Zones of replicas, as far as they are known.
    pub(crate) zones: BTreeMap<ReplicaId, String>,
    pub(crate) now: u64,
    pub(crate) term: u64,
    vote: ReplicaId,
    pub(crate) log: Log,
    pub(crate) commit: u64,
    applied: u64,
    pub(crate) role: Role,
    election_due: u64,
    leader_heard: Option<u64>,
    random: fastrand::Rng,
    pub(crate) outputs: VecDeque<Output>,
    next_sequence: u64,
    persisted: u64,
    /// Messages that must not leave before the record with this number is durable.
    held: VecDeque<(u64, Message)>,
    /// Ends of appended runs that are not durable yet: record number, index, term.
    appended: VecDeque<(u64, u64, u64)>,
    /// The last entry that is durable.
    pub(crate) durable: u64,
    vote_sequence: u64,
}

impl Replica {
    /// A replica as it was when it last ran, at a time in milliseconds.
    pub fn new(state: DurableState, settings: Settings, now: u64, seed: u64) -> Self {
        let Settings { timing, least_voters } = settings;
        let snapshot = state.log.snapshot().clone();
        let mut replica = Self {
            id: state.id,
            timing,
            least_voters,
            zones: BTreeMap::new(),
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
        };
        if snapshot.index > 0 {
            replica.outputs.push_back(Output::Restore(snapshot));
        }
        replica.apply_up_to_commit();
        // Nobody was heard yet, and a pre-vote disturbs no leader that is there.
        replica.election_due = now + replica.random.u64(FIRST_ELECTION);
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
    pub fn members(&self) -> &Membership {
        self.log.members()
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
    pub fn leader_heard(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership.quorum_contact(self)),
            _ => self.leader_heard,
        }
    }

    /// Whether this replica should ask to join: it has no vote, or no leader has told it anything for so long that its vote may
    /// have been taken without its knowledge.
    pub fn wants_to_join(&self) -> bool {
        let patience = 2 * self.timing.election_max;
        let is_left = self.leader_heard().is_none_or(|at| self.now > at + patience) && !self.is_leader();
        !self.members().is_voter(self.id) || is_left
    }

    /// Hears which zone a replica is in: a newcomer takes the vote of a silent member of its zone.
    pub fn set_zone(&mut self, id: ReplicaId, zone: String) {
        self.zones.insert(id, zone);
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
            self.reset_election_timer();
            if self.leader().is_none() {
                // Whoever could not be reached may be there soon.
                self.election_due = self.now + self.random.u64(FIRST_ELECTION);
            }
            if self.log.members().is_voter(self.id) {
                self.ask_for_votes(true, false);
            } else {
                self.role = Role::Follower { leader: None };
            }
        }
    }

    /// Records up to this number are durable.
    pub fn persisted(&mut self, sequence: u64) {
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
        while self.held.front().is_some_and(|(number, _)| *number <= self.persisted) {
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
    pub fn receive(&mut self, now: u64, message: Message) {
        self.now = self.now.max(now);
        if message.to != self.id {
            return;
        }
        if let Body::Vote { pre, last_index, last_term, transfer } = message.body {
            self.on_vote(message.from, message.term, pre, (last_term, last_index), transfer);
            return;
        }
        let is_pre_reply = matches!(message.body, Body::VoteReply { pre: true, .. });
        if message.term > self.term && !is_pre_reply {
            self.adopt_term(message.term);
        }
        if message.term < self.term {
            self.refuse_old_term(&message);
            return;
        }
        match message.body {
            Body::Vote { .. } => {}
            Body::VoteReply { pre, granted } => {
                if granted {
                    self.count_vote(message.from, pre);
                }
            }
            Body::Append { previous_index, previous_term, entries, commit, round } => {
                self.follow(message.from);
                self.on_append(message.from, (previous_index, previous_term), entries, commit, round);
            }
            Body::AppendReply { success, index, round } => {
                self.on_append_reply(message.from, success, index, round);
            }
            Body::Install { snapshot, round } => {
                self.follow(message.from);
                self.on_install(message.from, snapshot, round);
            }
            Body::Elect => {
                if self.log.members().is_voter(self.id) {
                    self.ask_for_votes(false, true);
                }
            }
        }
    }

    /// Replaces the entries up to a position by the state machine's encoding at that position, which is applied.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) {
        let Some(term) = self.log.term_at(index) else { return };
        if index > self.applied || index <= self.log.snapshot().index {
            return;
        }
        let members = self.log.members_at(index).clone();
        let snapshot = Snapshot { index, term, members, state };
        self.log.install(snapshot.clone());
        self.persist(Record::Install(snapshot));
    }

    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        let message = Message { from: self.id, to, term: self.term, body };
        self.outputs.push_back(Output::Send(message));
    }

    /// Sends a message once all that was handed out for the disk is durable.
    fn send_durably(&mut self, to: ReplicaId, body: Body) {
        if self.persisted + 1 == self.next_sequence {
            self.send(to, body);
            return;
        }
        let message = Message { from: self.id, to, term: self.term, body };
        self.held.push_back((self.next_sequence - 1, message));
    }

    fn persist(&mut self, record: Record) {
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
            let Some(entry) = self.log.get(self.applied + 1).cloned() else { return };
            self.applied += 1;
            self.outputs.push_back(Output::Apply(entry));
        }
    }

    fn reset_election_timer(&mut self) {
        self.election_due = self.now + self.random.u64(self.timing.election_min..=self.timing.election_max);
    }

    fn adopt_term(&mut self, term: u64) {
        self.step_down(None);
        (self.term, self.vote) = (term, 0);
        self.vote_sequence = 0;
        self.persist(Record::Term { term, vote: 0 });
    }

    pub(crate) fn step_down(&mut self, leader: Option<ReplicaId>) {
        let role = std::mem::replace(&mut self.role, Role::Follower { leader });
        if let Role::Leader(leadership) = role {
            let failed =
                leadership.into_reads().map(|Read { number, .. }| Output::ReadFailed { read: number });
            self.outputs.extend(failed);
            self.reset_election_timer();
        }
    }

    fn follow(&mut self, leader: ReplicaId) {
        self.step_down(Some(leader));
        self.leader_heard = Some(self.now);
        self.reset_election_timer();
    }

    fn refuse_old_term(&mut self, message: &Message) {
        // The sender learns the newer term from the reply.
        let body = match message.body {
            Body::Append { round, .. } | Body::Install { round, .. } => {
                Body::AppendReply { success: false, index: self.log.last_index(), round }
            }
            _ => return,
        };
        self.send_durably(message.from, body);
    }

    /// Whether a leader was heard from so lately that no election is due.
    fn has_live_leader(&self) -> bool {
        let heard = self.leader_heard();
        let lately = heard.is_some_and(|at| self.now < at + self.timing.election_min);
        lately && self.leader().is_some()
    }

    fn on_vote(&mut self, from: ReplicaId, term: u64, pre: bool, last: (u64, u64), transfer: bool) {
        if !transfer && self.has_live_leader() {
            return;
        }
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        if pre {
            let granted = term > self.term && up_to_date;
            let message =
                Message { from: self.id, to: from, term, body: Body::VoteReply { pre: true, granted } };
            self.outputs.push_back(Output::Send(message));
            return;
        }
        if term > self.term {
            self.adopt_term(term);
        }
        if term < self.term {
            return;
        }
        let free = self.vote == 0 || self.vote == from;
        let granted = free && up_to_date && !self.is_leader();
        if granted && self.vote == 0 {
            self.vote = from;
            self.persist(Record::Term { term, vote: from });
            self.reset_election_timer();
        }
        self.send_durably(from, Body::VoteReply { pre: false, granted });
    }

    fn ask_for_votes(&mut self, pre: bool, transfer: bool) {
        self.step_down(None);
        self.role = Role::Candidate { pre, votes: BTreeSet::new() };
        if !pre {
            self.term += 1;
            self.vote = self.id;
            self.vote_sequence = self.next_sequence;
            self.persist(Record::Term { term: self.term, vote: self.id });
        }
        let term = self.term + u64::from(pre);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let others: Vec<Member> = self.log.members().voters.clone();
        for member in others.into_iter().filter(|member| member.id != self.id) {
            let body = Body::Vote { pre, last_index, last_term, transfer };
            let message = Message { from: self.id, to: member.id, term, body };
            match pre {
                true => self.outputs.push_back(Output::Send(message)),
                false => self.held.push_back((self.vote_sequence, message)),
            }
        }
        if pre {
            self.count_vote(self.id, true);
        }
    }

    fn count_vote(&mut self, from: ReplicaId, pre_vote: bool) {
        let Role::Candidate { pre, votes } = &mut self.role else { return };
        if *pre != pre_vote {
            return;
        }
        votes.insert(from);
        if !self.log.members().is_quorum(|id| votes.contains(&id)) {
            return;
        }
        if pre_vote {
            self.ask_for_votes(false, false);
        } else {
            self.become_leader();
        }
    }

    fn on_append(
        &mut self,
        from: ReplicaId,
        previous: (u64, u64),
        mut entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let (previous_index, previous_term) = previous;
        let begin = self.log.snapshot().index;
        let matches = previous_index < begin || self.log.term_at(previous_index) == Some(previous_term);
        if !matches {
            let index = self.log.last_index().min(previous_index.saturating_sub(1));
            // Positions up to the commit agree with every leader.
            let index = index.max(self.commit.min(previous_index.saturating_sub(1)));
            self.send(from, Body::AppendReply { success: false, index, round });
            return;
        }
        let end = previous_index + entries.len() as u64;
        entries.retain(|entry| entry.index > begin);
        let known =
            entries.iter().take_while(|entry| self.log.term_at(entry.index) == Some(entry.term)).count();
        entries.drain(..known);
        self.append(entries);
        if commit > self.commit {
            self.commit = commit.min(end).max(self.commit);
            self.apply_committed();
        }
        if self.durable < end {
            let index = self.durable;
            self.send(from, Body::AppendReply { success: true, index, round });
        }
        self.send_durably(from, Body::AppendReply { success: true, index: end, round });
    }

    fn on_install(&mut self, from: ReplicaId, snapshot: Snapshot, round: u64) {
        let index = snapshot.index;
        if index > self.commit {
            self.log.install(snapshot.clone());
            (self.commit, self.applied) = (index, index);
            self.durable = self.durable.min(index);
            self.appended.retain(|(_, end, _)| *end > index);
            self.appended.push_back((self.next_sequence, index, snapshot.term));
            self.persist(Record::Install(snapshot.clone()));
            self.outputs.push_back(Output::Restore(snapshot));
        }
        self.send_durably(from, Body::AppendReply { success: true, index, round });
    }

    /// An empty payload begins a leader's term.
    pub(crate) fn next_entry(&self, payload: Payload) -> Entry {
        Entry { index: self.log.last_index() + 1, term: self.term, payload }
    }
}
