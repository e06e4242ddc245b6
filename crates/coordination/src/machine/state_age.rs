//! How old the state of this machine may be.
//!
//! A watch that is answered with events is answered from the state here. Its caller may resume from
//! there at any machine, so what comes next must still be in the history of the others: a machine
//! that is far behind must not answer.

use super::CoordinationMachine;
use woadstall_consensus::{LogIndex, Message, MessageBody, Term};

/// The age in milliseconds up to which watches are answered with events. The history has to be kept
/// for so much longer than it is promised.
const MAX_STATE_AGE_MS: u64 = 5_000;

/// When the state was last known to be complete.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StateAge {
    /// The term of the last entry that was applied.
    pub applied_term: Term,
    /// A time at which all that was committed then is applied by now.
    complete_at: Option<u64>,
}

/// The commit index that a message of a leader names.
pub(super) fn leader_commit(message: &Message) -> Option<LogIndex> {
    match &message.body {
        MessageBody::AppendEntriesRequest(request) => Some(request.leader_commit),
        _ => None,
    }
}

impl CoordinationMachine {
    /// The leader of the current term has sent its commit index. Once an entry of its own term is
    /// applied, so are all that former leaders have committed.
    pub(super) fn observe_leader_commit(&mut self, commit: LogIndex) {
        let term = self.replica.term();
        if self.state_age.applied_term == term && self.applied >= commit {
            let sent = self.leader_clock.last_sent(term);
            self.state_age.complete_at = self.state_age.complete_at.max(sent);
        }
    }

    /// Whether the state lacks nothing that was committed long ago.
    pub(super) fn is_state_recent(&self) -> bool {
        let complete_at = if self.lease_clock.is_some() {
            self.replica.last_leader_contact()
        } else {
            self.state_age.complete_at
        };
        complete_at.is_some_and(|at| self.now <= at + MAX_STATE_AGE_MS)
    }
}
