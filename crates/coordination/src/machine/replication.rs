//! The replicated log behind the machine: carries out what the replica asks for, and applies
//! committed entries to the state.

use super::lease_clock::LeaseClock;
use super::state_age::leader_commit;
use super::{Action, CoordinationMachine, LogEvent};
use crate::batch::Batch;
use crate::state::{AppliedBatch, CoordinationState};
use crate::wire::Packet;
use woadstall_consensus::{Entry, EntryPayload, Message, Output, Snapshot, is_from_leader};

/// Bytes of batches in the log since its last snapshot from which on a new one is taken.
const COMPACT_BYTES: usize = 1 << 20;
/// Entries in the log since its last snapshot from which on a new one is taken.
const COMPACT_ENTRIES: usize = 2_000;
/// The same while a snapshot is on its way to another machine, which needs the entries next.
const COMPACT_ENTRIES_DURING_TRANSFER: usize = 6_000;

impl CoordinationMachine {
    /// Records up to this number are durable.
    pub fn persisted(&mut self, now: u64, sequence: u64) {
        self.advance_clock(now);
        self.replica.handle_persisted(sequence);
        self.process_replica_outputs();
    }

    /// A message of the log has arrived, with its sender's time.
    pub(super) fn on_consensus(&mut self, message: Message, clock: u64) {
        let (from, term) = (message.from, message.term);
        let is_from_leader = is_from_leader(&message);
        let leader_commit = leader_commit(&message);
        self.replica.handle_message(self.now, message);
        if is_from_leader && self.replica.term() == term && self.replica.leader() == Some(from) {
            self.leader_clock.observe(self.now, term, clock);
        }
        self.process_replica_outputs();
        if let Some(commit) = leader_commit
            && self.replica.term() == term
        {
            self.observe_leader_commit(commit);
        }
        self.answer_held_back_watches();
    }

    /// Carries out all that the replica asks for, until it asks for nothing more.
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
        self.send_durable_report();
        self.connect_members();
        self.track_leadership();
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
            // Queries ride on batches.
            Output::ReadReady { .. } | Output::ReadFailed { .. } => {}
        }
    }

    fn send_consensus(&mut self, message: Message) {
        if let Some(address) = self.address_of(message.to) {
            let clock = self.now;
            self.send(&address, Packet::Consensus { message, clock });
        }
    }

    /// Tells the voters that are not known to hold the newest entries durably which ones do, so that
    /// they answer their calls without waiting for the notice of the commit.
    fn send_durable_report(&mut self) {
        let Some(report) = self.replica.take_durable_report() else {
            return;
        };
        let voters = self.replica.membership().all_voters();
        let others = voters.map(|voter| voter.id);
        let others: Vec<_> = others
            .filter(|voter| !report.holders.contains(voter) && *voter != self.replica.id())
            .collect();
        for voter in others {
            if let Some(address) = self.address_of(voter) {
                let from = self.replica.id();
                let report = report.clone();
                self.send(&address, Packet::DurableReport { from, report });
            }
        }
    }

    fn restore_snapshot(&mut self, snapshot: &Snapshot) {
        match CoordinationState::decode(&snapshot.state) {
            Ok(state) => {
                self.applied = snapshot.index;
                self.state_age.applied_term = snapshot.term;
                self.log_bytes = 0;
                self.state = state;
                self.is_state_damaged = false;
                self.answer_all_watches();
            }
            Err(error) => {
                self.is_state_damaged = true;
                self.log(LogEvent::SnapshotRejected {
                    index: snapshot.index,
                    error: error.to_string(),
                });
            }
        }
    }

    fn apply_entry(&mut self, entry: Entry) {
        let index = entry.index;
        self.applied = index;
        self.state_age.applied_term = entry.term;
        match entry.payload {
            EntryPayload::Command(bytes) => {
                self.log_bytes += bytes.len();
                match Batch::decode(&bytes) {
                    Ok(batch) => self.apply_batch(index, batch),
                    Err(error) => {
                        self.is_state_damaged = true;
                        self.log(LogEvent::EntryRejected {
                            index,
                            error: error.to_string(),
                        });
                    }
                }
            }
            EntryPayload::Membership(membership) => {
                self.log(LogEvent::MembersChanged { index, membership });
            }
            EntryPayload::Blank => self.start_lease_clock(entry.term),
        }
    }

    /// The first entry of a leader's term is applied, and with it all entries of former leaders.
    fn start_lease_clock(&mut self, term: u64) {
        if self.replica.is_leader() && self.replica.term() == term {
            let clock = LeaseClock::starting_at(term, self.state.clock_ms(), self.now);
            self.lease_clock = Some(clock);
        }
    }

    fn apply_batch(&mut self, index: u64, batch: Batch) {
        let AppliedBatch {
            outcomes,
            changed_groups,
            expired_locks,
        } = self.state.apply(index, batch, self.settings.incarnation);
        self.counters.expired_leases += expired_locks.len() as u64;
        if self.replica.is_leader() {
            for lock in expired_locks {
                self.log(LogEvent::LeaseExpired { index, lock });
            }
        }
        for group in &changed_groups {
            self.answer_watches_of(group);
        }
        self.on_executed_calls(outcomes);
    }

    /// Replaces the log's beginning by a snapshot of the state, where it has grown long.
    fn compact(&mut self) {
        if self.is_state_damaged {
            return;
        }
        let entries = self.replica.log().entries().len();
        let most_entries = if self.replica.is_sending_snapshot() {
            COMPACT_ENTRIES_DURING_TRANSFER
        } else {
            COMPACT_ENTRIES
        };
        if self.log_bytes < COMPACT_BYTES && entries < most_entries {
            return;
        }
        let index = self.state.index();
        if index > self.replica.log().snapshot().index {
            self.log_bytes = 0;
            self.replica.compact(index, self.state.encode());
            for output in self.replica.take_outputs() {
                self.process_output(output);
            }
        }
    }
}
