//! Tracks whether the machine is in contact with a leader that has a quorum, and whether this
//! machine is that leader.

use super::{ControlMachine, LogEvent, TIMING};

/// The last observed state of the quorum and of this machine's leadership.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LeadershipTracker {
    /// The time in milliseconds since which contact with a leader that has a quorum has been
    /// uninterrupted.
    pub quorum_since_ms: Option<u64>,
    was_leader: bool,
}

impl ControlMachine {
    /// Returns whether a leader with a quorum was active within the longest election time-out. On a
    /// follower, the age of the contact is counted from the time at which the leader sent its
    /// message, so that a delayed message is no sign that the leader is alive now.
    pub fn in_quorum(&self) -> bool {
        let last_heard_ms = if self.replica.is_leader() {
            self.replica.last_leader_contact()
        } else {
            self.replica
                .leader()
                .and_then(|_| self.leader_clock.last_sent(self.replica.term()))
        };
        last_heard_ms.is_some_and(|at| self.now_ms <= at + TIMING.election_timeout_max)
    }

    /// Records and logs changes of the quorum and of this machine's leadership.
    pub(super) fn track_leadership(&mut self) {
        match (self.in_quorum(), self.leadership.quorum_since_ms) {
            (true, None) => self.leadership.quorum_since_ms = Some(self.now_ms),
            (false, Some(_)) => {
                self.leadership.quorum_since_ms = None;
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
