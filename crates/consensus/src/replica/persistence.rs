//! The order of writes and messages. A message that depends on a record is held back until the
//! record is durable.

use super::Replica;
use crate::durable_state::Record;
use crate::entry::Entry;
use crate::log_position::{LogIndex, LogPosition};
use crate::membership::ReplicaId;
use crate::message::{Message, MessageBody};
use crate::output::Output;
use std::collections::VecDeque;

/// A message that must not be sent before a record is durable.
#[derive(Clone, Debug)]
pub(super) struct PendingMessage {
    sequence: u64,
    message: Message,
}

/// The end of a run of entries whose record is not durable yet.
#[derive(Clone, Copy, Debug)]
struct PendingAppend {
    sequence: u64,
    last: LogPosition,
}

/// The records that have been issued, and the messages and entries that depend on them. Sequence
/// numbers begin at 1 and rise by one.
#[derive(Clone, Debug)]
pub(super) struct Persistence {
    next_sequence: u64,
    /// The sequence number up to which records are durable.
    persisted_sequence: u64,
    messages: VecDeque<PendingMessage>,
    appends: VecDeque<PendingAppend>,
    /// The index up to which the log is durable.
    durable_index: LogIndex,
    /// The sequence number of the record of this replica's vote for itself, until the record is
    /// durable.
    own_vote_sequence: Option<u64>,
}

impl Persistence {
    /// Creates the state after a start, in which all entries up to `durable_index` are durable.
    pub fn new(durable_index: LogIndex) -> Self {
        Self {
            next_sequence: 1,
            persisted_sequence: 0,
            messages: VecDeque::new(),
            appends: VecDeque::new(),
            durable_index,
            own_vote_sequence: None,
        }
    }

    /// Returns the index up to which the log is durable.
    pub fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    /// Returns whether some issued records are not durable yet.
    pub fn has_pending_records(&self) -> bool {
        self.persisted_sequence + 1 != self.next_sequence
    }

    /// Returns the messages that wait for records to become durable, the oldest first.
    pub fn pending_messages(&self) -> &VecDeque<PendingMessage> {
        &self.messages
    }

    /// Notes that the next record is this replica's vote for itself.
    pub fn expect_own_vote(&mut self) {
        self.own_vote_sequence = Some(self.next_sequence);
    }

    /// Forgets this replica's vote for itself, which does not count in a newer term.
    pub fn forget_own_vote(&mut self) {
        self.own_vote_sequence = None;
    }

    /// Notes that the next record installs a snapshot whose last entry is at `last`.
    pub fn expect_snapshot(&mut self, last: LogPosition) {
        self.durable_index = self.durable_index.min(last.index);
        self.appends.retain(|append| append.last.index > last.index);
        self.appends.push_back(PendingAppend {
            sequence: self.next_sequence,
            last,
        });
    }

    /// Notes that the next record appends entries from `first_index` up to `last`.
    fn expect_append(&mut self, first_index: LogIndex, last: LogPosition) {
        self.durable_index = self.durable_index.min(first_index - 1);
        self.appends.push_back(PendingAppend {
            sequence: self.next_sequence,
            last,
        });
    }

    fn is_persisted(&self, sequence: u64) -> bool {
        sequence <= self.persisted_sequence
    }

    fn pop_persisted_append(&mut self) -> Option<PendingAppend> {
        let append = *self.appends.front()?;
        if !self.is_persisted(append.sequence) {
            return None;
        }
        self.appends.pop_front()
    }

    fn pop_sendable_message(&mut self) -> Option<Message> {
        let sequence = self.messages.front()?.sequence;
        if !self.is_persisted(sequence) {
            return None;
        }
        self.messages.pop_front().map(|pending| pending.message)
    }

    /// Returns whether this replica's vote for itself has become durable since the last call that
    /// returned `true`.
    fn take_persisted_own_vote(&mut self) -> bool {
        let is_persisted = self
            .own_vote_sequence
            .is_some_and(|sequence| self.is_persisted(sequence));
        if is_persisted {
            self.own_vote_sequence = None;
        }
        is_persisted
    }
}

impl Replica {
    /// Handles the completion of writes: all records up to `sequence` are durable.
    pub fn handle_persisted(&mut self, sequence: u64) {
        self.persistence.persisted_sequence = self.persistence.persisted_sequence.max(sequence);
        while let Some(append) = self.persistence.pop_persisted_append() {
            // Entries that were replaced before they became durable do not count.
            if self.log.contains(append.last) {
                self.persistence.durable_index =
                    self.persistence.durable_index.max(append.last.index);
            }
        }
        while let Some(message) = self.persistence.pop_sendable_message() {
            self.outputs.push_back(Output::Send(message));
        }
        if self.persistence.take_persisted_own_vote() {
            self.count_vote(self.id, false);
        }
        self.advance_commit_index();
        self.commit_reported();
    }

    /// Issues a record that the driver makes durable.
    pub(super) fn persist(&mut self, record: Record) {
        let sequence = self.persistence.next_sequence;
        self.persistence.next_sequence += 1;
        self.outputs.push_back(Output::Persist { sequence, record });
    }

    /// Appends entries to the log, and issues the record that makes the entries durable.
    pub(super) fn append(&mut self, entries: Vec<Entry>) {
        let (Some(first), Some(last)) = (entries.first(), entries.last()) else {
            return;
        };
        self.persistence.expect_append(first.index, last.position());
        self.log.append(&entries);
        self.persist(Record::Append(entries));
    }

    /// Sends a message without waiting for records to become durable.
    pub(super) fn send(&mut self, to: ReplicaId, body: MessageBody) {
        let message = self.message(to, body);
        self.outputs.push_back(Output::Send(message));
    }

    /// Sends a message once all records issued so far are durable.
    pub(super) fn send_when_durable(&mut self, to: ReplicaId, body: MessageBody) {
        if !self.persistence.has_pending_records() {
            self.send(to, body);
            return;
        }
        let message = self.message(to, body);
        let sequence = self.persistence.next_sequence - 1;
        self.persistence
            .messages
            .push_back(PendingMessage { sequence, message });
    }

    fn message(&self, to: ReplicaId, body: MessageBody) -> Message {
        Message {
            from: self.id,
            to,
            term: self.term,
            body,
        }
    }
}
