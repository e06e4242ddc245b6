//! What a leader does: heartbeats, replication, commits, transfer of leadership.

use crate::log::EntryPayload;
use crate::membership::{Member, ReplicaId};
use crate::message::MessageBody;
use crate::replica::{ProposeError, Replica};
use crate::roles::{Leadership, Role};
use crate::snapshots::OutgoingSnapshot;

/// Bytes of commands in one message at most, so that heartbeats are not held up behind it for long.
const MOST_BYTES: usize = 256 << 10;
/// Bytes of entries that may wait to be committed: with a snapshot and what is compacted next, they fit a segment of the disk.
const MOST_UNCOMMITTED: usize = 4 << 20;
/// Milliseconds within which a transfer must have ended; commands are refused until then.
const TRANSFER_PATIENCE: u64 = 1_000;

impl Replica {
    /// Proposes a command; its position and term identify it when it is applied.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(u64, u64), ProposeError> {
        let Role::Leader(leadership) = &self.role else {
            return Err(ProposeError::NotLeader(self.leader()));
        };
        if leadership
            .transfer_until
            .is_some_and(|until| self.now < until)
        {
            return Err(ProposeError::NotLeader(None));
        }
        if self.log.bytes_after(self.commit) > MOST_UNCOMMITTED {
            return Err(ProposeError::Busy);
        }
        let entry = self.next_entry(EntryPayload::Command(command));
        let place = (entry.index, entry.term);
        self.append(vec![entry]);
        self.replicate();
        Ok(place)
    }

    /// Hands leadership to the follower that has most of the log, before this process stops.
    pub fn transfer_leadership(&mut self) {
        let (now, members) = (self.now, self.log.membership().clone());
        let (id, fresh) = (
            self.id,
            now.saturating_sub(3 * self.timing.heartbeat_interval),
        );
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let best = leadership
            .progress
            .iter()
            .filter(|(other, progress)| {
                **other != id
                    && members.is_voter(**other)
                    && progress.contact.is_some_and(|at| at >= fresh)
            })
            .max_by_key(|(_, progress)| (progress.matched, progress.contact));
        let Some(best) = best.map(|(best, _)| *best) else {
            return;
        };
        leadership.transfer_until = Some(now + TRANSFER_PATIENCE);
        self.send(best, MessageBody::Elect);
    }

    /// The latest time at which a quorum is known to have been in contact with this leader.
    pub(crate) fn quorum_contact(&self, leadership: &Leadership) -> u64 {
        let contact = |member: &Member| match member.id == self.id {
            true => self.now,
            false => self.now - leadership.silent_for(self.now, member.id).min(self.now),
        };
        self.log.membership().quorum_value(contact)
    }

    /// Whether a snapshot is on its way to a follower: what it needs next is to be kept.
    pub fn is_sending_snapshot(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        leadership
            .progress
            .values()
            .any(|progress| progress.snapshot.is_some())
    }

    pub(crate) fn become_leader(&mut self) {
        let first_index = self.log.last_index() + 1;
        let others = self
            .log
            .membership()
            .all_voters()
            .map(|member| member.id)
            .filter(|id| *id != self.id);
        let leadership = Leadership::new(self.now, first_index, others);
        self.role = Role::Leader(Box::new(leadership));
        let entry = self.next_entry(EntryPayload::Blank);
        self.append(vec![entry]);
        self.heartbeat();
        self.advance_commit();
    }

    /// What a leader does as time passes.
    pub(crate) fn lead(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let due = leadership.heartbeat_due;
        if self.now > self.quorum_contact(leadership) + self.timing.election_timeout_max {
            self.step_down(None);
            return;
        }
        if self.now >= due {
            self.heartbeat();
        }
        self.review_members();
    }

    /// Sends to all followers, entries or not, in a new round.
    pub(crate) fn heartbeat(&mut self) {
        let now = self.now;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.begin_round(now);
        leadership.heartbeat_due = now + self.timing.heartbeat_interval;
        let followers: Vec<ReplicaId> = leadership.progress.keys().copied().collect();
        for follower in followers {
            self.send_entries(follower, true);
        }
    }

    /// Sends new entries to the followers that lack them.
    pub(crate) fn replicate(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let followers: Vec<ReplicaId> = leadership.progress.keys().copied().collect();
        for follower in followers {
            self.send_entries(follower, false);
        }
        self.advance_commit();
    }

    /// Sends the entries that a follower lacks, or a snapshot where they are gone.
    fn send_entries(&mut self, follower: ReplicaId, even_if_empty: bool) {
        let begin = self.log.snapshot().index;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(&follower) else {
            return;
        };
        let lacks_entries = progress.next <= begin;
        let previous_index = progress.next.max(begin + 1) - 1;
        let entries = if lacks_entries {
            Vec::new()
        } else {
            self.log.from(progress.next, MOST_BYTES)
        };
        progress.next += entries.len() as u64;
        match lacks_entries {
            true => self.send_snapshot(follower),
            false => progress.snapshot = None,
        }
        if entries.is_empty() && !even_if_empty {
            return;
        }
        let Some(previous_term) = self.log.term_at(previous_index) else {
            return;
        };
        let commit = self.commit;
        self.send(
            follower,
            MessageBody::Append {
                previous_index,
                previous_term,
                entries,
                commit,
                round,
            },
        );
    }

    /// Sends the next pieces of a snapshot, of a new one where none is on its way.
    fn send_snapshot(&mut self, follower: ReplicaId) {
        let (now, newest) = (self.now, self.log.shared_snapshot());
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(&follower) else {
            return;
        };
        let outgoing = progress
            .snapshot
            .get_or_insert_with(|| OutgoingSnapshot::new(&newest, now));
        for piece in outgoing.next_pieces(now) {
            self.send(follower, MessageBody::Install { piece, round });
        }
    }

    pub(crate) fn on_install_reply(&mut self, from: ReplicaId, received: u64, round: u64) {
        let now = self.now;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.note_answer(from, round);
        let progress = leadership.progress.get_mut(&from);
        let Some(outgoing) = progress.and_then(|progress| progress.snapshot.as_mut()) else {
            return;
        };
        outgoing.acknowledge(now, received);
        self.send_snapshot(from);
        self.confirm_reads();
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: ReplicaId,
        success: bool,
        index: u64,
        round: u64,
    ) {
        let last = self.log.last_index();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.note_answer(from, round);
        let Some(progress) = leadership.progress.get_mut(&from) else {
            return;
        };
        if success {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
            if progress
                .snapshot
                .as_ref()
                .is_some_and(|snapshot| progress.matched >= snapshot.index())
            {
                progress.snapshot = None;
            }
            let has_more = progress.next <= last;
            self.advance_commit();
            if has_more {
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
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let matched = |member: &Member| match member.id == self.id {
            true => self.durable,
            false => leadership
                .progress
                .get(&member.id)
                .map_or(0, |progress| progress.matched),
        };
        let index = self.log.membership().quorum_value(matched);
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit = index;
            self.apply_committed();
            // Followers hear of it at once, not with the next heartbeat.
            self.heartbeat();
            self.retire_without_vote();
        }
    }
}
