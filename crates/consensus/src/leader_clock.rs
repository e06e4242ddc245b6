//! The leader's clock as a follower estimates it: a lower bound, since a message takes time on its
//! way. A moment on that clock is one that the leader itself can compare with its clock, however
//! late the message arrives.

use crate::config::Milliseconds;
use crate::log_position::Term;
use crate::message::{Message, MessageBody};
use nanoserde::{DeBin, SerBin};

/// A moment on the clock of the leader of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LeaderTime {
    /// The term, which identifies the leader's process.
    pub term: Term,
    /// Milliseconds on that process's clock.
    pub at: Milliseconds,
}

/// What is known of the clock of one term's leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderClock {
    term: Term,
    /// The greatest difference seen between the leader's clock, as sent, and this machine's, in
    /// milliseconds.
    offset_ms: i128,
    /// The latest time that the leader has sent, on its clock.
    latest: Milliseconds,
}

impl LeaderClock {
    /// The leader of a term has sent its time.
    pub fn observe(&mut self, now: Milliseconds, term: Term, leader_time: Milliseconds) {
        let offset_ms = i128::from(leader_time) - i128::from(now);
        let former = (term == self.term).then_some(*self);
        self.offset_ms = former.map_or(offset_ms, |former| former.offset_ms.max(offset_ms));
        self.latest = former.map_or(leader_time, |former| former.latest.max(leader_time));
        self.term = term;
    }

    /// A moment of this machine's clock on the clock of a term's leader, or an earlier one; `None`
    /// where that leader was not heard of.
    pub fn to_leader_time(self, term: Term, moment: Milliseconds) -> Option<LeaderTime> {
        let at = u64::try_from(i128::from(moment) + self.offset_ms).ok()?;
        (term == self.term).then_some(LeaderTime { term, at })
    }

    /// When the newest message of a term's leader was sent, by this machine's clock: a message that
    /// a partition or a pause of the process has delayed is no sign that the leader is alive now.
    pub fn last_sent(&self, term: Term) -> Option<Milliseconds> {
        let at = u64::try_from(i128::from(self.latest) - self.offset_ms).ok()?;
        (term == self.term).then_some(at)
    }
}

/// Whether only the leader of a term sends such a message, so that its clock is the leader's.
pub fn is_from_leader(message: &Message) -> bool {
    matches!(
        message.body,
        MessageBody::AppendEntriesRequest(_) | MessageBody::InstallSnapshotRequest(_)
    )
}
