//! The leader's clock, as far as a follower can tell it: a lower bound, since a message takes time on its way. A moment by it
//! is one that the leader itself can compare with its clock, however late it hears of it.

use crate::wire::LeaderTime;
use woadstall_consensus::{Message, MessageBody};

/// What was heard of the clock of one term's leader.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LeaderClock {
    term: u64,
    /// The greatest difference that was seen between the leader's clock, as told, and this machine's.
    ahead: i128,
    /// The newest clock that the leader has told.
    newest: u64,
}

impl LeaderClock {
    /// The leader of a term has told its clock.
    pub fn hear(&mut self, now: u64, term: u64, clock: u64) {
        let ahead = i128::from(clock) - i128::from(now);
        let former = (term == self.term).then_some(*self);
        self.ahead = former.map_or(ahead, |former| former.ahead.max(ahead));
        self.newest = former.map_or(clock, |former| former.newest.max(clock));
        self.term = term;
    }

    /// A moment of this machine's clock by that of the leader of a term, or an earlier one; `None` where that leader was not
    /// heard of.
    pub fn by_leader(&self, term: u64, moment: u64) -> Option<LeaderTime> {
        let at = u64::try_from(i128::from(moment) + self.ahead).ok()?;
        (term == self.term).then_some(LeaderTime { term, at })
    }

    /// When the newest message of the leader of a term left it, by this machine's clock: what a cut or a freeze has held up is
    /// no sign that the leader is there now.
    pub fn last_sent(&self, term: u64) -> Option<u64> {
        let at = u64::try_from(i128::from(self.newest) - self.ahead).ok()?;
        (term == self.term).then_some(at)
    }
}

/// Whether only the leader of a term sends such a message.
pub(super) fn tells_time(message: &Message) -> bool {
    matches!(
        message.body,
        MessageBody::Append { .. } | MessageBody::Install { .. }
    )
}
