//! How old the state of this machine may be.
//!
//! A watch that is answered with events is answered from the state here. It must not lag behind what
//! was acknowledged before the watch came, so this machine must have applied all that was committed
//! by then.

use super::CoordinationMachine;
use woadstall_consensus::{LogIndex, Message, MessageBody, Term, Timing};

/// The time in milliseconds by which a follower may date a leader's message too late: the leader's
/// clock is known only up to the shortest way of a message.
const MAX_ONE_WAY_DELAY_MS: u64 = 60;
/// The time in milliseconds by which a voter may have committed, and acknowledged, an entry before the
/// leader has: the way of its acknowledgement.
const MAX_COMMIT_LEAD_MS: u64 = 60;

/// When the state was last known to be complete.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StateAge {
    /// The term of the last entry that was applied.
    pub applied_term: Term,
    /// The term whose leader was last heard from.
    heard_term: Term,
    /// When that leader was first heard from.
    first_heard_at: u64,
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
    ///
    /// The first messages of a term may have been delayed together, and nothing tells by how much:
    /// they count only for what comes later.
    pub(super) fn observe_leader_commit(&mut self, commit: LogIndex) {
        let term = self.replica.term();
        if self.state_age.heard_term != term {
            self.state_age.heard_term = term;
            self.state_age.first_heard_at = self.now;
        }
        if self.now < self.state_age.first_heard_at + Timing::MULTI_REGION.heartbeat_interval {
            return;
        }
        if self.state_age.applied_term == term && self.applied >= commit {
            let sent = self.leader_clock.last_sent(term);
            self.state_age.complete_at = self.state_age.complete_at.max(sent);
        }
    }

    /// Whether the state has all that was committed by a time.
    pub(super) fn is_state_complete_since(&self, time: u64) -> bool {
        let complete_at = if self.lease_clock.is_some() {
            self.replica.last_leader_contact()
        } else {
            let sent = self.state_age.complete_at;
            sent.map(|sent| sent.saturating_sub(MAX_ONE_WAY_DELAY_MS + MAX_COMMIT_LEAD_MS))
        };
        !self.is_state_damaged && complete_at.is_some_and(|at| at >= time)
    }
}
