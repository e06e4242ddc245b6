//! What a leader does: replication, commits, reads, changes of members, transfer.

use crate::log::{Member, Membership, Payload, ReplicaId};
use crate::message::Body;
use crate::replica::{Output, ProposeError, Replica, Role};
use std::collections::{BTreeMap, VecDeque};

/// Bytes of commands in one message at most, so that heartbeats are not held up behind it for long.
const MOST_BYTES: usize = 256 << 10;
/// Milliseconds after which a snapshot that was not acknowledged is sent again.
const SNAPSHOT_RETRY: u64 = 2_000;
/// Milliseconds for which a learner that no longer asks to join is still replicated to.
const LEARNER_PATIENCE: u64 = 5_000;
/// Milliseconds within which a transfer must have ended; commands are refused until then.
const TRANSFER_PATIENCE: u64 = 1_000;

/// Milliseconds of silence after which a voter gives way to a newcomer of its zone.
const REPLACED_AFTER: u64 = 2_000;
/// Milliseconds of silence after which a voter that is not needed loses its vote: far more than a restart takes, less than
/// until the next loss. One that comes back joins again.
const REMOVED_AFTER: u64 = 5_000;

/// How far a follower is.
#[derive(Debug, Default)]
struct Progress {
    /// The next entry to send.
    next: u64,
    /// The last entry known to be durable there.
    matched: u64,
    /// When it last answered, if it did in this term.
    contact: Option<u64>,
    /// The newest round that it answered.
    round: u64,
    /// When a snapshot was last sent.
    snapshot_sent: Option<u64>,
}

/// A read that waits for a quorum to confirm the leader.
#[derive(Debug)]
pub struct Read {
    /// The caller's number of it.
    pub number: u64,
    round: u64,
}

/// A learner that asks to become a voter.
#[derive(Debug)]
struct Learner {
    member: Member,
    asked: u64,
}

/// The state of a leader.
#[derive(Debug)]
pub struct Leadership {
    since: u64,
    progress: BTreeMap<ReplicaId, Progress>,
    learners: BTreeMap<ReplicaId, Learner>,
    round: u64,
    heartbeat_due: u64,
    /// The first entry of its term: until it is committed, nothing can be read and no member changed.
    first_index: u64,
    reads: VecDeque<Read>,
    transfer_until: Option<u64>,
}

impl Leadership {
    pub(crate) fn into_reads(self) -> impl Iterator<Item = Read> {
        self.reads.into_iter()
    }

    /// Whether a follower has not answered for so long.
    fn is_silent(&self, now: u64, follower: ReplicaId, patience: u64) -> bool {
        let contact = self.progress.get(&follower).and_then(|progress| progress.contact);
        now > contact.unwrap_or(self.since) + patience
    }

    /// The latest time at which a quorum had answered.
    pub(crate) fn quorum_contact(&self, replica: &Replica) -> u64 {
        let contact = |member: &Member| {
            if member.id == replica.id {
                return replica.now;
            }
            let progress = self.progress.get(&member.id);
            progress.and_then(|progress| progress.contact).unwrap_or(self.since)
        };
        let members = replica.log.members();
        let mut contacts: Vec<u64> = members.voters.iter().map(contact).collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts.get(members.quorum() - 1).copied().unwrap_or(self.since)
    }
}

impl Replica {
    /// Proposes a command; its position and term identify it when it is applied.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(u64, u64), ProposeError> {
        let Role::Leader(leadership) = &self.role else { return Err(ProposeError::NotLeader(self.leader())) };
        if leadership.transfer_until.is_some_and(|until| self.now < until) {
            return Err(ProposeError::NotLeader(None));
        }
        let entry = self.next_entry(Payload::Command(command));
        let place = (entry.index, entry.term);
        self.append(vec![entry]);
        self.replicate();
        Ok(place)
    }

    /// Asks to read the state machine as of now; [`Output::ReadReady`] or [`Output::ReadFailed`] answers.
    pub fn read(&mut self, number: u64) {
        let committed = self.commit;
        let Role::Leader(leadership) = &mut self.role else {
            self.outputs.push_back(Output::ReadFailed { read: number });
            return;
        };
        if committed < leadership.first_index {
            self.outputs.push_back(Output::ReadFailed { read: number });
            return;
        }
        let round = leadership.round + 1;
        leadership.reads.push_back(Read { number, round });
        self.heartbeat();
        self.confirm_reads();
    }

    /// A replica asks to join as a voter. It is replicated to at once.
    pub fn join(&mut self, member: Member) {
        let (now, last) = (self.now, self.log.last_index());
        let is_voter = self.log.members().is_voter(member.id);
        let Role::Leader(leadership) = &mut self.role else { return };
        if is_voter || member.id == self.id {
            return;
        }
        let next = last + 1;
        leadership.progress.entry(member.id).or_insert_with(|| Progress { next, ..Progress::default() });
        leadership.learners.insert(member.id, Learner { member, asked: now });
    }

    /// Removes a voter.
    pub fn remove(&mut self, id: ReplicaId) -> Result<(), ProposeError> {
        let mut members = self.log.members().clone();
        members.voters.retain(|member| member.id != id);
        self.change_members(members)
    }

    /// Hands leadership to the follower that has most of the log, before this process stops.
    pub fn transfer(&mut self) {
        let (now, members) = (self.now, self.log.members().clone());
        let (id, fresh) = (self.id, now.saturating_sub(2 * self.timing.heartbeat));
        let Role::Leader(leadership) = &mut self.role else { return };
        let best = leadership
            .progress
            .iter()
            .filter(|(other, progress)| {
                **other != id && members.is_voter(**other) && progress.contact.is_some_and(|at| at >= fresh)
            })
            .max_by_key(|(_, progress)| (progress.matched, progress.contact));
        let Some(best) = best.map(|(best, _)| *best) else { return };
        leadership.transfer_until = Some(now + TRANSFER_PATIENCE);
        self.send(best, Body::Elect);
    }

    /// Whether a voter has answered within this time; meaningful on a leader.
    pub fn is_in_contact(&self, id: ReplicaId, within: u64) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        let contact = leadership.progress.get(&id).and_then(|progress| progress.contact);
        id == self.id || contact.is_some_and(|at| self.now < at + within)
    }

    pub(crate) fn become_leader(&mut self) {
        let next = self.log.last_index() + 1;
        let fresh = |member: &Member| (member.id, Progress { next, ..Progress::default() });
        let others = self.log.members().voters.iter().filter(|member| member.id != self.id);
        let leadership = Leadership {
            since: self.now,
            progress: others.map(fresh).collect(),
            learners: BTreeMap::new(),
            round: 0,
            heartbeat_due: self.now,
            first_index: next,
            reads: VecDeque::new(),
            transfer_until: None,
        };
        self.role = Role::Leader(Box::new(leadership));
        let entry = self.next_entry(Payload::Empty);
        self.append(vec![entry]);
        self.heartbeat();
        self.advance_commit();
    }

    /// What a leader does as time passes.
    pub(crate) fn lead(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let heard = leadership.quorum_contact(self);
        let due = leadership.heartbeat_due;
        if self.now > heard + self.timing.election_max {
            self.step_down(None);
            return;
        }
        if self.now >= due {
            self.heartbeat();
        }
        self.admit_learners();
        self.remove_silent_voter();
    }

    /// Sends to all followers, entries or not, in a new round.
    fn heartbeat(&mut self) {
        let now = self.now;
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.round += 1;
        leadership.heartbeat_due = now + self.timing.heartbeat;
        let followers: Vec<ReplicaId> = leadership.progress.keys().copied().collect();
        for follower in followers {
            self.send_entries(follower, true);
        }
    }

    /// Sends new entries to the followers that lack them.
    pub(crate) fn replicate(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let followers: Vec<ReplicaId> = leadership.progress.keys().copied().collect();
        for follower in followers {
            self.send_entries(follower, false);
        }
        self.advance_commit();
    }

    fn send_entries(&mut self, follower: ReplicaId, even_if_empty: bool) {
        let (now, begin) = (self.now, self.log.snapshot().index);
        let Role::Leader(leadership) = &mut self.role else { return };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(&follower) else { return };
        if progress.next <= begin {
            let resend = progress.snapshot_sent.is_none_or(|at| now >= at + SNAPSHOT_RETRY);
            if resend {
                progress.snapshot_sent = Some(now);
                let snapshot = self.log.snapshot().clone();
                self.send(follower, Body::Install { snapshot, round });
                return;
            }
            if !even_if_empty {
                return;
            }
        }
        let previous_index = progress.next.max(begin + 1) - 1;
        let entries = match progress.next > begin {
            true => self.log.from(progress.next, MOST_BYTES),
            false => Vec::new(),
        };
        if entries.is_empty() && !even_if_empty {
            return;
        }
        progress.next += entries.len() as u64;
        let Some(previous_term) = self.log.term_at(previous_index) else { return };
        let commit = self.commit;
        self.send(follower, Body::Append { previous_index, previous_term, entries, commit, round });
    }

    pub(crate) fn on_append_reply(&mut self, from: ReplicaId, success: bool, index: u64, round: u64) {
        let (now, last) = (self.now, self.log.last_index());
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(progress) = leadership.progress.get_mut(&from) else { return };
        progress.contact = Some(now);
        progress.round = progress.round.max(round);
        if success {
            progress.matched = progress.matched.max(index);
            if progress.next <= progress.matched {
                progress.next = progress.matched + 1;
            }
            if progress.matched >= self.log.snapshot().index {
                progress.snapshot_sent = None;
            }
            let more = progress.next <= last;
            self.advance_commit();
            if more {
                self.send_entries(from, false);
            }
        } else {
            let next = index.max(progress.matched) + 1;
            if next < progress.next {
                progress.next = next;
                self.send_entries(from, false);
            }
        }
        self.confirm_reads();
    }

    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let members = self.log.members();
        let matched = |member: &Member| match member.id == self.id {
            true => self.durable,
            false => leadership.progress.get(&member.id).map_or(0, |progress| progress.matched),
        };
        let mut all: Vec<u64> = members.voters.iter().map(matched).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = all.get(members.quorum() - 1).copied() else { return };
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit = index;
            self.apply_committed();
            // Followers hear of it at once, not with the next heartbeat.
            self.heartbeat();
        }
    }

    fn confirm_reads(&mut self) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let members = self.log.members();
        let (id, progress) = (self.id, &leadership.progress);
        let confirmed = |read: &Read| {
            let answered = |other: ReplicaId| {
                other == id || progress.get(&other).is_some_and(|progress| progress.round >= read.round)
            };
            members.is_quorum(answered)
        };
        while leadership.reads.front().is_some_and(&confirmed) {
            let read = leadership.reads.pop_front();
            self.outputs.extend(read.map(|read| Output::ReadReady { read: read.number }));
        }
    }

    fn change_members(&mut self, members: Membership) -> Result<(), ProposeError> {
        let Role::Leader(leadership) = &self.role else { return Err(ProposeError::NotLeader(self.leader())) };
        let settled = self.log.newest_change().is_none_or(|index| index <= self.commit);
        if !settled || self.commit < leadership.first_index {
            return Err(ProposeError::Busy);
        }
        let entry = self.next_entry(Payload::Members(members));
        self.append(vec![entry]);
        let voters: Vec<ReplicaId> = self.log.members().voters.iter().map(|member| member.id).collect();
        let id = self.id;
        if let Role::Leader(leadership) = &mut self.role {
            let learners = &leadership.learners;
            leadership.progress.retain(|other, _| voters.contains(other) || learners.contains_key(other));
            let next = self.log.last_index();
            for voter in voters.into_iter().filter(|voter| *voter != id) {
                leadership.progress.entry(voter).or_insert_with(|| Progress { next, ..Progress::default() });
            }
        }
        self.heartbeat();
        self.advance_commit();
        Ok(())
    }

    /// Takes the vote of a voter that has long been silent, where enough others are there. Its vote would count against the
    /// quorum when the next one is lost.
    fn remove_silent_voter(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let (id, now) = (self.id, self.now);
        let is_silent =
            |voter: &&Member| voter.id != id && leadership.is_silent(now, voter.id, REMOVED_AFTER);
        let is_there = |voter: &&Member| {
            voter.id == id || !leadership.is_silent(now, voter.id, 2 * self.timing.election_min)
        };
        let voters = &self.log.members().voters;
        let silent = voters.iter().find(is_silent).map(|voter| voter.id);
        if let Some(silent) = silent.filter(|_| voters.iter().filter(is_there).count() >= self.least_voters) {
            self.remove(silent).ok();
        }
    }

    /// Makes voters of learners that have caught up, one at a time. A learner at the address of a voter replaces it: that
    /// voter's disk is lost.
    fn admit_learners(&mut self) {
        let (id, now, commit) = (self.id, self.now, self.commit);
        let Role::Leader(leadership) = &mut self.role else { return };
        let members = self.log.members().clone();
        let progress = &mut leadership.progress;
        leadership.learners.retain(|id, learner| {
            let stays = now < learner.asked + LEARNER_PATIENCE && !members.is_voter(*id);
            if !stays && !members.is_voter(*id) {
                progress.remove(id);
            }
            stays
        });
        let caught_up = |id: &ReplicaId| progress.get(id).is_some_and(|progress| progress.matched >= commit);
        let ready = leadership.learners.iter().find(|(id, _)| caught_up(id));
        let Some(member) = ready.map(|(_, learner)| learner.member.clone()) else { return };
        let mut next = members;
        let zones = &self.zones;
        let zone = zones.get(&member.id);
        let gives_way = |voter: &Member| {
            let is_silent = voter.id != id && leadership.is_silent(now, voter.id, REPLACED_AFTER);
            voter.address == member.address || zone.is_some() && zones.get(&voter.id) == zone && is_silent
        };
        let replaced = next.voters.iter().position(gives_way);
        match replaced {
            Some(position) => drop(next.voters.remove(position)),
            None => next.voters.push(member),
        }
        self.change_members(next).ok();
    }
}
