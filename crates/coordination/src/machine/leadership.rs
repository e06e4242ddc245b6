//! Tracks the leader of the group and the effect of leadership changes on calls.

use super::{CoordinationMachine, LogEvent};
use woadstall_consensus::{Term, Timing};

/// The leader of a term and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LeaderAddress {
    /// The leader's internal address.
    pub address: String,
    /// The term of the leadership.
    pub term: Term,
}

/// The leadership after the last step of the replica.
#[derive(Clone, Debug, Default)]
pub(super) struct LeadershipTracker {
    /// The term that this machine leads, if it is the leader.
    own_term: Option<Term>,
    /// The last known leader, to which pending calls have been dispatched.
    last_leader: Option<LeaderAddress>,
}

impl CoordinationMachine {
    /// Whether the group had a leader with a quorum within the maximum election timeout, as far as
    /// this machine knows. Always false if the local state is invalid.
    pub fn in_quorum(&self) -> bool {
        if self.is_state_invalid {
            return false;
        }
        let last_contact = if self.replica.is_leader() {
            self.replica.last_leader_contact()
        } else {
            self.replica
                .leader()
                .and_then(|_| self.leader_clock.last_sent(self.replica.term()))
        };
        let election_timeout = Timing::MULTI_REGION.election_timeout_max;
        last_contact.is_some_and(|at| self.now <= at + election_timeout)
    }

    /// The leader of the current term, if it and its address are known. The leader may be this
    /// machine.
    pub(super) fn leader(&self) -> Option<LeaderAddress> {
        let leader = self.replica.leader()?;
        Some(LeaderAddress {
            address: self.address_of(leader)?,
            term: self.replica.term(),
        })
    }

    /// Detects changes of leadership. Called after each step of the replica.
    pub(super) fn track_leadership(&mut self) {
        let term = self.replica.term();
        let own_term = self.replica.is_leader().then_some(term);
        if own_term != self.leadership.own_term {
            let former = std::mem::replace(&mut self.leadership.own_term, own_term);
            self.end_own_leadership(former);
            if own_term.is_some() {
                let id = self.replica.id();
                self.log(LogEvent::LeaderElected { term, id });
            }
        }
        let leader = self.leader();
        if leader.is_some() && leader != self.leadership.last_leader {
            self.leadership.last_leader = leader;
            self.dispatch_calls();
        }
    }

    /// Handles the end of this machine's leadership. The next leader may or may not commit the
    /// calls that this machine has proposed. The calls in the queue are rejected without being
    /// executed.
    fn end_own_leadership(&mut self, former: Option<Term>) {
        self.lease_clock = None;
        let Some(term) = former else { return };
        let id = self.replica.id();
        self.log(LogEvent::LeadershipEnded { term, id });
        self.reject_queued_calls();
    }
}
