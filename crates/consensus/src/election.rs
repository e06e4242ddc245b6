//! Elections: terms, votes, and when to stand.

use crate::durable::Record;
use crate::membership::{Member, ReplicaId};
use crate::message::{Message, MessageBody};
use crate::replica::{Output, Replica};
use crate::roles::{Read, Role};
use std::collections::BTreeSet;

/// When a replica that has just started asks for votes, in milliseconds: one that follows a leader hears of it within a
/// heartbeat.
const FIRST_ELECTION: std::ops::Range<u64> = 250..600;

impl Replica {
    /// Nobody was heard yet, and a pre-vote disturbs no leader that is there.
    pub(crate) fn wait_for_first_election(&mut self) {
        self.election_due = self.now + self.random.u64(FIRST_ELECTION);
    }

    /// No leader was heard for long: asks for votes, where this replica has one.
    pub(crate) fn seek_leader(&mut self) {
        self.reset_election_timer();
        if self.leader().is_none() {
            // Whoever could not be reached may be there soon.
            self.wait_for_first_election();
        }
        if self.log.membership().is_voter(self.id) {
            self.ask_for_votes(true, false);
        } else {
            self.role = Role::Follower { leader: None };
        }
    }

    pub(crate) fn reset_election_timer(&mut self) {
        self.election_due = self.now
            + self
                .random
                .u64(self.timing.election_timeout_min..=self.timing.election_timeout_max);
    }

    pub(crate) fn adopt_term(&mut self, term: u64) {
        self.step_down(None);
        (self.term, self.vote) = (term, 0);
        self.vote_sequence = 0;
        self.persist(Record::Term { term, vote: 0 });
    }

    pub(crate) fn step_down(&mut self, leader: Option<ReplicaId>) {
        let role = std::mem::replace(&mut self.role, Role::Follower { leader });
        if let Role::Leader(leadership) = role {
            let failed = leadership
                .into_reads()
                .map(|Read { number, .. }| Output::ReadFailed { read_id: number });
            self.outputs.extend(failed);
            self.reset_election_timer();
        }
    }

    pub(crate) fn follow(&mut self, leader: ReplicaId) {
        self.step_down(Some(leader));
        self.leader_heard = Some(self.now);
        self.reset_election_timer();
    }

    pub(crate) fn refuse_old_term(&mut self, message: &Message) {
        // The sender learns the newer term from the reply.
        let body = match message.body {
            MessageBody::Append { round, .. } | MessageBody::Install { round, .. } => {
                MessageBody::AppendReply {
                    success: false,
                    index: self.log.last_index(),
                    round,
                }
            }
            _ => return,
        };
        self.send_durably(message.from, body);
    }

    /// Whether a leader was heard from so lately that no election is due.
    pub(crate) fn has_live_leader(&self) -> bool {
        let heard = self.last_leader_contact();
        let lately = heard.is_some_and(|at| self.now < at + self.timing.election_timeout_min);
        lately && self.leader().is_some()
    }

    pub(crate) fn on_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        pre: bool,
        last: (u64, u64),
        transfer: bool,
    ) {
        if !transfer && self.has_live_leader() {
            return;
        }
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        if pre {
            let granted = term > self.term && up_to_date && !self.goes_before(from, last);
            if granted {
                // Whoever may stand is given the time to be elected.
                self.election_due = self
                    .election_due
                    .max(self.now + self.random.u64(FIRST_ELECTION));
            }
            let message = Message {
                from: self.id,
                to: from,
                term,
                body: MessageBody::VoteReply { pre: true, granted },
            };
            self.outputs.push_back(Output::Send(message));
            return;
        }
        if term > self.term {
            self.adopt_term(term);
        }
        if term < self.term {
            return;
        }
        let free = self.vote == 0 || self.vote == from;
        let granted = free && up_to_date && !self.is_leader();
        if granted && self.vote == 0 {
            self.vote = from;
            self.persist(Record::Term { term, vote: from });
            self.reset_election_timer();
        }
        self.send_durably(
            from,
            MessageBody::VoteReply {
                pre: false,
                granted,
            },
        );
    }

    /// Whether this replica stands itself, with as good a log: of two such the one with the greater identity goes before, so that
    /// they do not take votes from each other again and again.
    fn goes_before(&self, other: ReplicaId, last: (u64, u64)) -> bool {
        let stands = matches!(self.role, Role::Candidate { .. });
        let is_equal = last == (self.log.last_term(), self.log.last_index());
        stands && is_equal && self.id > other
    }

    pub(crate) fn ask_for_votes(&mut self, pre: bool, transfer: bool) {
        self.step_down(None);
        self.role = Role::Candidate {
            pre,
            votes: BTreeSet::new(),
        };
        if !pre {
            self.term += 1;
            self.vote = self.id;
            self.vote_sequence = self.next_sequence;
            self.persist(Record::Term {
                term: self.term,
                vote: self.id,
            });
        }
        let term = self.term + u64::from(pre);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let others: Vec<Member> = self.log.membership().all_voters().cloned().collect();
        for member in others.into_iter().filter(|member| member.id != self.id) {
            let body = MessageBody::Vote {
                pre,
                last_index,
                last_term,
                transfer,
            };
            let message = Message {
                from: self.id,
                to: member.id,
                term,
                body,
            };
            match pre {
                true => self.outputs.push_back(Output::Send(message)),
                false => self.held.push_back((self.vote_sequence, message)),
            }
        }
        if pre {
            self.count_vote(self.id, true);
        }
    }

    pub(crate) fn count_vote(&mut self, from: ReplicaId, pre_vote: bool) {
        let Role::Candidate { pre, votes } = &mut self.role else {
            return;
        };
        if *pre != pre_vote {
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
        if pre_vote {
            self.ask_for_votes(false, false);
        } else {
            self.become_leader();
        }
    }
}
