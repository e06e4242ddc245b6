//! Drives the replica of the configuration log: carries out its outputs, and applies committed
//! entries to the state.

use super::{Action, ControlMachine, LogEvent};
use crate::command::Command;
use crate::feed::FeedEvent;
use crate::state::ControlState;
use crate::wire::Packet;
use nanoserde::DeBin;
use woadstall_consensus::{Entry, EntryPayload, Message, Output, Snapshot, is_from_leader};

/// The total size in bytes of the commands since the last snapshot at which a new snapshot is
/// taken.
const COMPACT_BYTES: usize = 4 << 20;
/// The number of log entries since the last snapshot at which a new snapshot is taken.
const COMPACT_ENTRIES: usize = 1_000;
/// The number of log entries at which a new snapshot is taken while a snapshot is being sent to
/// another machine. The limit is higher than otherwise, because the receiver needs the entries that
/// follow the transferred snapshot. `COMPACT_BYTES` still applies during the transfer, because the
/// segments on disk are sized for it.
const COMPACT_ENTRIES_DURING_TRANSFER: usize = 3_000;

impl ControlMachine {
    /// Handles the completion of writes: all records up to `sequence` are on stable storage.
    pub fn persisted(&mut self, now_ms: u64, sequence: u64) {
        self.advance_clock(now_ms);
        self.replica.handle_persisted(sequence);
        self.process_replica_outputs();
    }

    /// Handles a consensus message. `sender_clock_ms` is the time of sending by the sender's clock.
    pub(super) fn on_consensus(&mut self, message: Message, sender_clock_ms: u64) {
        let (from, term) = (message.from, message.term);
        let is_from_leader = is_from_leader(&message);
        self.replica.handle_message(self.now_ms, message);
        if is_from_leader && self.replica.term() == term && self.replica.leader() == Some(from) {
            self.leader_clock
                .observe(self.now_ms, term, sender_clock_ms);
        }
        self.process_replica_outputs();
    }

    /// Carries out the outputs of the replica until there are none left.
    pub(super) fn process_replica_outputs(&mut self) {
        loop {
            let outputs = self.replica.take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.process_output(output);
            }
        }
        let members = self.replica.membership().all_voters();
        let addresses: Vec<String> = members.map(|member| member.address.clone()).collect();
        for address in addresses {
            self.connect(address);
        }
        self.complete_reads();
        self.compact();
    }

    fn process_output(&mut self, output: Output) {
        match output {
            Output::Persist { sequence, record } => {
                self.actions.push(Action::Persist { sequence, record });
            }
            Output::Send(message) => self.send_consensus(message),
            Output::Apply(entry) => self.apply_entry(entry),
            Output::Restore(snapshot) => self.restore_snapshot(&snapshot),
            Output::ReadReady { read_id } => self.on_read_index_confirmed(read_id, true),
            Output::ReadFailed { read_id } => self.on_read_index_confirmed(read_id, false),
        }
    }

    fn send_consensus(&mut self, message: Message) {
        if let Some(address) = self.address_of(message.to) {
            let sender_clock_ms = self.now_ms;
            self.send(
                &address,
                Packet::Consensus {
                    message,
                    sender_clock_ms,
                },
            );
        }
    }

    fn restore_snapshot(&mut self, snapshot: &Snapshot) {
        match ControlState::decode(&snapshot.state) {
            Ok(state) => {
                self.applied_index = snapshot.index;
                self.restore_state(state);
            }
            Err(error) => self.log(LogEvent::SnapshotRejected {
                index: snapshot.index,
                error: error.to_string(),
            }),
        }
    }

    fn apply_entry(&mut self, entry: Entry) {
        self.applied_index = entry.index;
        match entry.payload {
            EntryPayload::Command(bytes) => {
                self.log_bytes += bytes.len();
                match Command::deserialize_bin(&bytes) {
                    Ok(command) => self.apply_command(entry.index, entry.term, command),
                    Err(error) => self.log(LogEvent::EntryRejected {
                        index: entry.index,
                        error: error.to_string(),
                    }),
                }
            }
            EntryPayload::Membership(membership) => {
                self.log(LogEvent::MembersChanged {
                    index: entry.index,
                    membership,
                });
                self.complete_proposal(entry.index, entry.term, None);
            }
            EntryPayload::Blank => self.complete_proposal(entry.index, entry.term, None),
        }
    }

    fn apply_command(&mut self, index: u64, term: u64, command: Command) {
        let outcome = self.state.apply(index, &command);
        let generation = self.state.generation();
        self.log(LogEvent::CommandApplied {
            index,
            outcome: outcome.clone(),
            generation,
        });
        self.publish(FeedEvent::Committed { index, command });
        self.complete_proposal(index, term, Some(outcome));
    }

    /// Replaces the applied entries of the log by a snapshot of the state once the log has reached
    /// a size limit.
    fn compact(&mut self) {
        let entries = self.replica.log().entries().len();
        let max_entries = if self.replica.is_sending_snapshot() {
            COMPACT_ENTRIES_DURING_TRANSFER
        } else {
            COMPACT_ENTRIES
        };
        if self.log_bytes < COMPACT_BYTES && entries < max_entries {
            return;
        }
        let index = self.state.index;
        if index > self.replica.log().snapshot().index {
            self.log_bytes = 0;
            self.replica.compact(index, self.state.encode());
            for output in self.replica.take_outputs() {
                self.process_output(output);
            }
        }
    }
}
