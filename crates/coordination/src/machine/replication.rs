//! Connects the machine to its consensus replica. It processes the outputs of the replica and
//! applies committed entries to the state.

use super::freshness::leader_commit;
use super::lease_clock::LeaseClock;
use super::{Action, CoordinationMachine, LogEvent};
use crate::batch::Batch;
use crate::state::{AppliedBatch, CoordinationState};
use crate::wire::Packet;
use woadstall_consensus::{Entry, EntryPayload, Message, Output, Snapshot, is_from_leader};

/// The size of batches since the last snapshot, in bytes, that triggers a new snapshot.
const COMPACTION_THRESHOLD_BYTES: usize = 1 << 20;
/// The number of log entries since the last snapshot that triggers a new snapshot.
const COMPACTION_THRESHOLD_ENTRIES: usize = 2_000;
/// The number of log entries that triggers a new snapshot during the transfer of a snapshot to
/// another machine. It is higher because the receiver needs the entries after that snapshot next.
const COMPACTION_THRESHOLD_ENTRIES_DURING_TRANSFER: usize = 6_000;

impl CoordinationMachine {
    /// Reports that all records up to the sequence number `sequence` are durable.
    pub fn persisted(&mut self, now: u64, sequence: u64) {
        self.advance_clock(now);
        self.replica.handle_persisted(sequence);
        self.process_replica_outputs();
    }

    /// Handles a consensus message. `clock` is the sender's clock in milliseconds when it sent the
    /// message.
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
        self.retry_deferred_watches();
    }

    /// Processes the outputs of the replica until no output is left, then updates the dependent
    /// state: connections, leadership and log compaction.
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
            // Queries are part of batches, so the machine never requests reads from the replica.
            Output::ReadReady { .. } | Output::ReadFailed { .. } => {}
        }
    }

    fn send_consensus(&mut self, message: Message) {
        if let Some(address) = self.address_of(message.to) {
            let clock = self.now;
            self.send(&address, Packet::Consensus { message, clock });
        }
    }

    /// Sends the durable report to the voters that are not known to have persisted the newest
    /// entries. The report lists the voters that have persisted them. A receiver that persists them
    /// as well completes the quorum and responds to its calls without waiting for the leader's next
    /// commit index.
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
                self.applied_index = snapshot.index;
                self.state_freshness.applied_term = snapshot.term;
                self.log_bytes = 0;
                self.state = state;
                self.is_state_invalid = false;
                self.advance_watches();
            }
            Err(error) => {
                self.is_state_invalid = true;
                self.log(LogEvent::SnapshotRejected {
                    index: snapshot.index,
                    error: error.to_string(),
                });
            }
        }
    }

    fn apply_entry(&mut self, entry: Entry) {
        let index = entry.index;
        self.applied_index = index;
        self.state_freshness.applied_term = entry.term;
        match entry.payload {
            EntryPayload::Command(bytes) => {
                self.log_bytes += bytes.len();
                match Batch::decode(&bytes) {
                    Ok(batch) => self.apply_batch(index, batch),
                    Err(error) => {
                        self.is_state_invalid = true;
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

    /// Starts the lease clock if this machine leads `term`. Called when the first entry of a term
    /// is applied, which implies that all entries of former leaders are applied.
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
            self.advance_watches_of_group(group);
        }
        self.on_executed_calls(outcomes);
    }

    /// Replaces the prefix of the log by a snapshot of the state once the log exceeds a threshold.
    /// An invalid state is never used for a snapshot.
    fn compact(&mut self) {
        if self.is_state_invalid {
            return;
        }
        let entries = self.replica.log().entries().len();
        let threshold_entries = if self.replica.is_sending_snapshot() {
            COMPACTION_THRESHOLD_ENTRIES_DURING_TRANSFER
        } else {
            COMPACTION_THRESHOLD_ENTRIES
        };
        if self.log_bytes < COMPACTION_THRESHOLD_BYTES && entries < threshold_entries {
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
