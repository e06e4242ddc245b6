//! A follower's estimate of the leader's clock. The estimate is a lower bound, because each message
//! takes time on the network. A follower expresses a time on the leader's clock, so that the leader
//! can compare the time with its own clock however late the follower's message arrives.

use crate::config::Milliseconds;
use crate::log_position::Term;
use crate::message::{Message, MessageBody};
use nanoserde::{DeBin, SerBin};

/// A time on the clock of the leader of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LeaderTime {
    /// The term of the leader. It identifies the process whose clock is meant.
    pub term: Term,
    /// The time in milliseconds on the clock of the leader's process.
    pub at: Milliseconds,
}

/// The relation between this machine's clock and the clock of one term's leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderClock {
    term: Term,
    /// The greatest difference, in milliseconds, between a time that the leader has sent and this
    /// machine's time at the arrival of the message.
    offset_ms: i128,
    /// The latest time that the leader has sent, on the leader's clock.
    latest_leader_time: Milliseconds,
}

impl LeaderClock {
    /// Records a time that the leader of a term has sent and that arrived at `now`. A leader of
    /// another term replaces the previous leader.
    pub fn observe(&mut self, now: Milliseconds, term: Term, leader_time: Milliseconds) {
        let offset_ms = i128::from(leader_time) - i128::from(now);
        let previous = (term == self.term).then_some(*self);
        self.offset_ms = previous.map_or(offset_ms, |previous| previous.offset_ms.max(offset_ms));
        self.latest_leader_time = previous.map_or(leader_time, |previous| {
            previous.latest_leader_time.max(leader_time)
        });
        self.term = term;
    }

    /// Converts a time on this machine's clock to the clock of a term's leader. The result is a
    /// lower bound. Returns `None` if the leader of the term has not sent its time, or if the
    /// result would be negative.
    pub fn to_leader_time(self, term: Term, local_time: Milliseconds) -> Option<LeaderTime> {
        let at = u64::try_from(i128::from(local_time) + self.offset_ms).ok()?;
        (term == self.term).then_some(LeaderTime { term, at })
    }

    /// Returns the time, on this machine's clock, at which a term's leader sent its newest message.
    /// The time of sending is used instead of the time of arrival, because a message that was
    /// delayed by a partition or a pause of the process does not show that the leader is alive now.
    pub fn last_sent(&self, term: Term) -> Option<Milliseconds> {
        let sent_at = u64::try_from(i128::from(self.latest_leader_time) - self.offset_ms).ok()?;
        (term == self.term).then_some(sent_at)
    }
}

/// Returns whether only the leader of a term sends messages of this kind. The time in such a
/// message is then a time on the leader's clock.
pub fn is_from_leader(message: &Message) -> bool {
    matches!(
        message.body,
        MessageBody::AppendEntriesRequest(_) | MessageBody::InstallSnapshotRequest(_)
    )
}
