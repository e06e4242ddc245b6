//! Figures of a machine.

use super::{CoordinationMachine, Response};
use crate::state::StateSize;

/// What has happened since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls that were executed.
    pub executed: u64,
    /// Calls that were reported as not executed.
    pub not_executed: u64,
    /// Calls that were rejected because too many waited.
    pub overloaded: u64,
    /// Calls whose fate was unknown when their time was over.
    pub unknown: u64,
    /// Watches that were answered with events.
    pub watches_with_events: u64,
    /// Watches whose time was over before there was an event.
    pub watches_without_events: u64,
    /// Watches from a revision to which the history does not reach back.
    pub watches_compacted: u64,
    /// Batches that were proposed as leader.
    pub batches: u64,
    /// Leases that ran out, as far as this process has applied the log.
    pub expired_leases: u64,
}

impl Counters {
    /// Counts a response.
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

/// The status of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineStatus {
    /// Counted since the start.
    pub counters: Counters,
    /// What the state holds.
    pub state: StateSize,
    /// Calls that wait for a result.
    pub pending_calls: usize,
    /// Calls that wait to be proposed, on the leader.
    pub queued_calls: usize,
    /// Entries of the log that this machine does not know to be committed.
    pub uncommitted_entries: u64,
    /// Watches that wait.
    pub watches: usize,
}

impl CoordinationMachine {
    /// The status of the machine.
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
