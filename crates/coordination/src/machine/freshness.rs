//! Tracks how recent the local state is.
//!
//! Watches are answered with events from the local state. That state must contain every write that
//! was acknowledged before the watch arrived. The machine must therefore have applied every entry
//! that was committed by the time of the watch's arrival.

use super::CoordinationMachine;
use woadstall_consensus::{LogIndex, Message, MessageBody, Term, Timing};

/// The maximum error, in milliseconds, of a follower's estimate of when a leader's message was
/// sent. The estimate may be too late, because the leader's clock is known only up to the shortest
/// observed one-way delay of a message.
const MAX_ONE_WAY_DELAY_MS: u64 = 60;
/// The maximum time, in milliseconds, by which a voter may commit and acknowledge an entry before
/// the leader commits it. It is the one-way delay of the voter's acknowledgement to the leader.
const MAX_COMMIT_LEAD_MS: u64 = 60;

/// The evidence that the local state is up to date.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StateFreshness {
    /// The term of the last applied entry.
    pub applied_term: Term,
    /// The term of the last commit index received from a leader.
    leader_term: Term,
    /// When the first commit index of `leader_term` arrived, by this machine's clock.
    leader_first_heard_at: u64,
    /// The latest time known to satisfy the condition that every entry committed by then is applied
    /// here. Before use, [`MAX_ONE_WAY_DELAY_MS`] and [`MAX_COMMIT_LEAD_MS`] are subtracted.
    complete_as_of: Option<u64>,
}

/// The leader's commit index, if the message carries one.
pub(super) fn leader_commit(message: &Message) -> Option<LogIndex> {
    match &message.body {
        MessageBody::AppendEntriesRequest(request) => Some(request.leader_commit),
        _ => None,
    }
}

impl CoordinationMachine {
    /// Handles the commit index of the current term's leader. Once this machine has applied an
    /// entry of the leader's own term, it has also applied every entry that former leaders
    /// committed.
    ///
    /// The first messages of a term may all have been delayed by the same unknown time. Messages of
    /// the first heartbeat interval therefore only calibrate the estimate of the leader's clock.
    pub(super) fn observe_leader_commit(&mut self, commit: LogIndex) {
        let term = self.replica.term();
        if self.state_freshness.leader_term != term {
            self.state_freshness.leader_term = term;
            self.state_freshness.leader_first_heard_at = self.now;
        }
        if self.now
            < self.state_freshness.leader_first_heard_at + Timing::MULTI_REGION.heartbeat_interval
        {
            return;
        }
        if self.state_freshness.applied_term == term && self.applied_index >= commit {
            let sent = self.leader_clock.last_sent(term);
            self.state_freshness.complete_as_of = self.state_freshness.complete_as_of.max(sent);
        }
    }

    /// Whether the local state contains every entry that was committed by `time`.
    pub(super) fn is_state_complete_as_of(&self, time: u64) -> bool {
        let complete_as_of = if self.lease_clock.is_some() {
            self.replica.last_leader_contact()
        } else {
            let sent = self.state_freshness.complete_as_of;
            sent.map(|sent| sent.saturating_sub(MAX_ONE_WAY_DELAY_MS + MAX_COMMIT_LEAD_MS))
        };
        !self.is_state_invalid && complete_as_of.is_some_and(|at| at >= time)
    }
}
