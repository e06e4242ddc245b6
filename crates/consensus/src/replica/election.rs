//! Leader election: election timers, terms and campaigns (Raft, section 5.2).

use super::Replica;
use crate::config::Milliseconds;
use crate::durable_state::{NO_VOTE, Record};
use crate::log_position::Term;
use crate::membership::ReplicaId;
use crate::message::{Message, MessageBody, VoteRequest};
use crate::output::Output;
use crate::role::Role;
use std::collections::BTreeSet;
use std::ops::Range;

/// The range of the election time-out after a start. The time-out is longer than a heartbeat
/// interval, so that a replica whose group has a leader receives a heartbeat before the time-out.
const STARTUP_ELECTION_TIMEOUT: Range<Milliseconds> = 250..600;

/// The kinds of campaign in which a replica requests votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Campaign {
    /// The replica asks whether it would be elected in the next term (dissertation, section 9.6).
    PreVote,
    /// The replica has won a pre-vote and requests votes.
    Election,
    /// The leader has asked the replica to take over leadership (dissertation, section 3.10).
    LeadershipTransfer,
}

impl Replica {
    /// Sets the election timer to a short random time-out. A short time-out is safe, because the
    /// pre-vote that follows does not disturb a live leader.
    pub(super) fn reset_startup_election_timer(&mut self) {
        self.election_deadline = self.now + self.random.u64(STARTUP_ELECTION_TIMEOUT);
    }

    /// Sets the election timer to a random time-out within the configured bounds.
    pub(super) fn reset_election_timer(&mut self) {
        let timing = self.settings.timing;
        let timeouts = timing.election_timeout_min..=timing.election_timeout_max;
        self.election_deadline = self.now + self.random.u64(timeouts);
    }

    /// Postpones this replica's own election, so that another candidate has time to be elected.
    pub(super) fn postpone_election(&mut self) {
        let deadline = self.now + self.random.u64(STARTUP_ELECTION_TIMEOUT);
        self.election_deadline = self.election_deadline.max(deadline);
    }

    /// Handles the end of the election time-out, within which no leader was in contact.
    pub(super) fn handle_election_timeout(&mut self) {
        self.reset_election_timer();
        if self.leader().is_none() {
            // The next attempt follows after a short time-out, because replicas that were
            // unreachable may be reachable by then.
            self.reset_startup_election_timer();
        }
        if self.log.membership().is_voter(self.id) {
            self.start_campaign(Campaign::PreVote);
        } else {
            self.role = Role::Follower { leader: None };
        }
    }

    /// Handles the leader's request to take over leadership.
    pub(super) fn handle_timeout_now(&mut self) {
        if self.log.membership().is_voter(self.id) {
            self.start_campaign(Campaign::LeadershipTransfer);
        }
    }

    /// Becomes a follower in a newer term, in which this replica has not voted yet.
    pub(super) fn adopt_term(&mut self, term: Term) {
        self.step_down(None);
        self.term = term;
        self.voted_for = NO_VOTE;
        self.persistence.forget_own_vote();
        self.persist(Record::Term {
            term,
            voted_for: NO_VOTE,
        });
    }

    /// Becomes a follower of `leader`, or of a leader that is not known yet. The pending reads of a
    /// leader that steps down fail.
    pub(super) fn step_down(&mut self, leader: Option<ReplicaId>) {
        let previous = std::mem::replace(&mut self.role, Role::Follower { leader });
        if let Role::Leader(state) = previous {
            let pending_reads = state.pending_reads.into_iter();
            let failed = pending_reads.map(|read| Output::ReadFailed {
                read_id: read.read_id,
            });
            self.outputs.extend(failed);
            self.reset_election_timer();
        }
    }

    /// Becomes a follower of the leader of the current term after a message from that leader.
    pub(super) fn follow(&mut self, leader: ReplicaId) {
        self.step_down(Some(leader));
        self.leader_contact = Some(self.now);
        self.reset_election_timer();
    }

    /// Returns whether this replica knows a leader and the last contact with the leader is more
    /// recent than the shortest election time-out. No election is due in that case.
    pub(super) fn has_live_leader(&self) -> bool {
        let timeout = self.settings.timing.election_timeout_min;
        let is_recent = self
            .last_leader_contact()
            .is_some_and(|contact| self.now < contact + timeout);
        is_recent && self.leader().is_some()
    }

    /// Becomes a candidate and requests votes from all other voters.
    pub(super) fn start_campaign(&mut self, campaign: Campaign) {
        let pre_vote = campaign == Campaign::PreVote;
        self.step_down(None);
        self.role = Role::Candidate {
            pre_vote,
            votes: BTreeSet::new(),
        };
        if !pre_vote {
            self.term += 1;
            self.voted_for = self.id;
            self.persistence.expect_own_vote();
            self.persist(Record::Term {
                term: self.term,
                voted_for: self.id,
            });
        }
        let request = VoteRequest {
            pre_vote,
            last_log: self.log.last_position(),
            leadership_transfer: campaign == Campaign::LeadershipTransfer,
        };
        for voter in self.other_voters() {
            self.send_vote_request(voter, request);
        }
        if pre_vote {
            self.count_vote(self.id, true);
        }
    }

    fn send_vote_request(&mut self, voter: ReplicaId, request: VoteRequest) {
        let body = MessageBody::VoteRequest(request);
        if request.pre_vote {
            let term = self.term + 1;
            let message = Message {
                from: self.id,
                to: voter,
                term,
                body,
            };
            self.outputs.push_back(Output::Send(message));
        } else {
            self.send_when_durable(voter, body);
        }
    }

    /// Counts a vote for this replica. Once a quorum has granted its votes, a pre-vote leads to an
    /// election, and an election makes this replica the leader.
    pub(super) fn count_vote(&mut self, from: ReplicaId, is_pre_vote: bool) {
        let Role::Candidate { pre_vote, votes } = &mut self.role else {
            return;
        };
        if *pre_vote != is_pre_vote {
            return;
        }
        votes.insert(from);
        if !self
            .log
            .membership()
            .is_quorum(|member| votes.contains(&member.id))
        {
            return;
        }
        if is_pre_vote {
            self.start_campaign(Campaign::Election);
        } else {
            self.become_leader();
        }
    }

    /// Returns the identities of all voters except this replica.
    pub(super) fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.log.membership().all_voters();
        voters
            .map(|member| member.id)
            .filter(|id| *id != self.id)
            .collect()
    }
}
