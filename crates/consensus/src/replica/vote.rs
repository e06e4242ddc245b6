//! Requests for votes and their responses (Raft, sections 5.2 and 5.4; pre-vote: dissertation,
//! section 9.6).

use super::Replica;
use crate::durable_state::{NO_VOTE, Record};
use crate::log_position::{LogPosition, Term};
use crate::membership::ReplicaId;
use crate::message::{Message, MessageBody, VoteRequest, VoteResponse};
use crate::output::Output;
use crate::role::Role;

impl Replica {
    /// Handles a request for a vote. It is ignored while there is a live leader that has not asked
    /// for the election itself.
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
            self.tell_term(from);
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

    /// Refuses a pre-vote for a term that this replica is in or past. The candidate adopts the term
    /// from the refusal: it may be the only one whose log is complete, and would never be granted a
    /// term that it does not go beyond.
    fn tell_term(&mut self, candidate: ReplicaId) {
        let refusal = VoteResponse {
            pre_vote: false,
            granted: false,
        };
        self.send(candidate, MessageBody::VoteResponse(refusal));
    }

    /// Handles the response to a request for a vote.
    pub(super) fn handle_vote_response(&mut self, from: ReplicaId, response: VoteResponse) {
        if response.granted {
            self.count_vote(from, response.pre_vote);
        }
    }

    /// Whether a candidate's log is at least as up-to-date as this replica's (Raft, section 5.4.1).
    fn is_up_to_date(&self, last_log: LogPosition) -> bool {
        last_log >= self.log.last_position()
    }

    /// Whether this replica is a candidate itself, with as good a log and a greater identity. Of
    /// two such candidates only one is granted votes, so that they do not split the votes again and
    /// again.
    fn has_precedence_over(&self, other: ReplicaId, last_log: LogPosition) -> bool {
        let is_candidate = matches!(self.role, Role::Candidate { .. });
        is_candidate && last_log == self.log.last_position() && self.id > other
    }
}
