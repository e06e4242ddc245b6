//! Whether there is a leader with a quorum, and whether this machine is that leader.

use super::{ControlMachine, LogEvent, TIMING};

/// What was last seen of leadership.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LeadershipTracker {
    /// Since when a leader with a quorum has been heard of without a pause, in milliseconds.
    pub quorum_since: Option<u64>,
    was_leader: bool,
}

impl ControlMachine {
    /// Whether a leader with a quorum was heard of within the longest election time-out.
    pub fn in_quorum(&self) -> bool {
        let last_heard = if self.replica.is_leader() {
            self.replica.last_leader_contact()
        } else {
            self.replica
                .leader()
                .and_then(|_| self.leader_clock.last_sent(self.replica.term()))
        };
        last_heard.is_some_and(|at| self.now <= at + TIMING.election_timeout_max)
    }

    /// Notes and logs changes of the quorum and of this machine's leadership.
    pub(super) fn track_leadership(&mut self) {
        match (self.in_quorum(), self.leadership.quorum_since) {
            (true, None) => self.leadership.quorum_since = Some(self.now),
            (false, Some(_)) => {
                self.leadership.quorum_since = None;
                let term = self.replica.term();
                self.log(LogEvent::QuorumLost { term });
            }
            _ => {}
        }
        let is_leader = self.replica.is_leader();
        if is_leader == self.leadership.was_leader {
            return;
        }
        self.leadership.was_leader = is_leader;
        let (term, id) = (self.replica.term(), self.replica.id());
        if is_leader {
            self.log(LogEvent::LeaderElected { term, id });
        } else {
            self.log(LogEvent::LeadershipEnded { term, id });
            self.abandon_proposals();
        }
    }
}
