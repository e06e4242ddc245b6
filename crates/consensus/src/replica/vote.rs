//! Vote requests and their responses (Raft, sections 5.2 and 5.4), and pre-votes (dissertation,
//! section 9.6).

use super::Replica;
use crate::durable_state::{NO_VOTE, Record};
use crate::log_position::{LogPosition, Term};
use crate::membership::ReplicaId;
use crate::message::{Message, MessageBody, VoteRequest, VoteResponse};
use crate::output::Output;
use crate::role::Role;

impl Replica {
    /// Handles a vote request. The request is ignored while this replica knows a live leader,
    /// unless that leader itself has asked the candidate for the election.
    pub(super) fn handle_vote_request(
        &mut self,
        from: ReplicaId,
        term: Term,
        request: VoteRequest,
    ) {
        if !request.leadership_transfer && self.has_live_leader() {
            return;
        }
        if request.pre_vote {
            self.handle_pre_vote(from, term, request);
            return;
        }
        if term > self.term {
            self.adopt_term(term);
        }
        if term < self.term {
            return;
        }
        let is_vote_free = self.voted_for == NO_VOTE || self.voted_for == from;
        let granted = is_vote_free && self.is_up_to_date(request.last_log) && !self.is_leader();
        if granted && self.voted_for == NO_VOTE {
            self.voted_for = from;
            self.persist(Record::Term {
                term,
                voted_for: from,
            });
            self.reset_election_timer();
        }
        let response = VoteResponse {
            pre_vote: false,
            granted,
        };
        self.send_when_durable(from, MessageBody::VoteResponse(response));
    }

    fn handle_pre_vote(&mut self, from: ReplicaId, term: Term, request: VoteRequest) {
        if term <= self.term {
            self.refuse_stale_pre_vote(from);
            return;
        }
        let granted = self.is_up_to_date(request.last_log)
            && !self.has_precedence_over(from, request.last_log);
        if granted {
            self.postpone_election();
        }
        let body = MessageBody::VoteResponse(VoteResponse {
            pre_vote: true,
            granted,
        });
        let message = Message {
            from: self.id,
            to: from,
            term,
            body,
        };
        self.outputs.push_back(Output::Send(message));
    }

    /// Refuses a pre-vote for a term that is not newer than this replica's term. The refusal
    /// carries this replica's term, which the candidate adopts. Otherwise the candidate would
    /// request pre-votes for an old term for ever, and no leader would be elected if the candidate
    /// has the only complete log.
    fn refuse_stale_pre_vote(&mut self, candidate: ReplicaId) {
        let refusal = VoteResponse {
            pre_vote: false,
            granted: false,
        };
        self.send(candidate, MessageBody::VoteResponse(refusal));
    }

    /// Handles the response to a vote request.
    pub(super) fn handle_vote_response(&mut self, from: ReplicaId, response: VoteResponse) {
        if response.granted {
            self.count_vote(from, response.pre_vote);
        }
    }

    /// Returns whether a candidate's log is at least as up-to-date as this replica's log (Raft,
    /// section 5.4.1).
    fn is_up_to_date(&self, last_log: LogPosition) -> bool {
        last_log >= self.log.last_position()
    }

    /// Returns whether this replica is itself a candidate with an equally up-to-date log and a
    /// greater identity than another candidate. Only one of two such candidates grants the other a
    /// pre-vote, so that the two do not split the votes repeatedly.
    fn has_precedence_over(&self, other: ReplicaId, last_log: LogPosition) -> bool {
        let is_candidate = matches!(self.role, Role::Candidate { .. });
        is_candidate && last_log == self.log.last_position() && self.id > other
    }
}
