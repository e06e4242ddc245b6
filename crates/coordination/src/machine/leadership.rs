//! Whether there is a leader with a quorum, and what a change of leadership means for calls.

use super::{CoordinationMachine, LogEvent};
use woadstall_consensus::{Term, Timing};

/// The leader of a term, as other machines reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LeaderAddress {
    /// The leader's internal address.
    pub address: String,
    /// The term that it leads.
    pub term: Term,
}

/// What was last seen of leadership.
#[derive(Clone, Debug, Default)]
pub(super) struct LeadershipTracker {
    /// The term in which this machine leads.
    own_term: Option<Term>,
    /// The leader that calls were last sent to.
    leader: Option<LeaderAddress>,
}

impl CoordinationMachine {
    /// Whether a leader with a quorum was heard of within the longest election time-out, and this
    /// machine's state is the group's.
    pub fn in_quorum(&self) -> bool {
        if self.is_state_damaged {
            return false;
        }
        let last_heard = if self.replica.is_leader() {
            self.replica.last_leader_contact()
        } else {
            self.replica
                .leader()
                .and_then(|_| self.leader_clock.last_sent(self.replica.term()))
        };
        let patience = Timing::MULTI_REGION.election_timeout_max;
        last_heard.is_some_and(|at| self.now <= at + patience)
    }

    /// The leader of the current term, if it is known; it may be this machine.
    pub(super) fn leader(&self) -> Option<LeaderAddress> {
        let leader = self.replica.leader()?;
        Some(LeaderAddress {
            address: self.address_of(leader)?,
            term: self.replica.term(),
        })
    }

    /// Notes changes of leadership, after each step of the replica.
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
        if leader.is_some() && leader != self.leadership.leader {
            self.leadership.leader = leader;
            self.dispatch_calls();
        }
    }

    /// This machine no longer leads in a term: calls that it has proposed may be committed by the
    /// next leader or not, those that wait in its queue are not executed.
    fn end_own_leadership(&mut self, former: Option<Term>) {
        self.lease_clock = None;
        let Some(term) = former else { return };
        let id = self.replica.id();
        self.log(LogEvent::LeadershipEnded { term, id });
        self.abandon_queue();
    }
}
