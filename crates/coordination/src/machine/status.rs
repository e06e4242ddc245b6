//! Status and counters of a machine.

use super::{CoordinationMachine, Response};
use crate::state::StateSize;

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls that were executed and answered with their outcome.
    pub executed: u64,
    /// Calls and watches that were reported as not executed.
    pub not_executed: u64,
    /// Calls and watches that were rejected because too many were pending.
    pub overloaded: u64,
    /// Calls that were answered without a known outcome.
    pub unknown: u64,
    /// Watches that returned events.
    pub watches_with_events: u64,
    /// Watches that ended without an event, including watches for the revision only.
    pub watches_without_events: u64,
    /// Watches that started at a compacted revision, or at a revision that their group never had.
    pub watches_compacted: u64,
    /// Batches that this machine proposed as leader.
    pub batches: u64,
    /// Leases that expired in the batches that this process has applied.
    pub expired_leases: u64,
}

impl Counters {
    /// Increments the counter of a response's kind.
    pub(super) fn count(&mut self, response: &Response) {
        let counter = match response {
            Response::Executed(_) => &mut self.executed,
            Response::Events(found) if found.events.is_empty() => &mut self.watches_without_events,
            Response::Events(_) => &mut self.watches_with_events,
            Response::HistoryCompacted => &mut self.watches_compacted,
            Response::NotExecuted => &mut self.not_executed,
            Response::Overloaded => &mut self.overloaded,
            Response::Unknown => &mut self.unknown,
        };
        *counter += 1;
    }
}

/// A snapshot of a machine's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineStatus {
    /// Counters since the start of the process.
    pub counters: Counters,
    /// The size of the replicated state.
    pub state: StateSize,
    /// Calls accepted by this machine that have no result yet.
    pub pending_calls: usize,
    /// Calls that wait to be proposed. 0 on machines that do not lead.
    pub queued_calls: usize,
    /// Log entries after the commit index of this machine.
    pub uncommitted_entries: u64,
    /// Pending watches.
    pub watches: usize,
}

impl CoordinationMachine {
    /// The machine's current load and its counters.
    pub fn status(&self) -> MachineStatus {
        MachineStatus {
            counters: self.counters,
            state: self.state.size(),
            pending_calls: self.calls.len(),
            queued_calls: self.queue.len(),
            uncommitted_entries: self.replica.log().last_index() - self.replica.commit_index(),
            watches: self.watches.len(),
        }
    }
}
