//! Orders of the operator: at the leader they go through the log, elsewhere they are passed to it.

use super::replication::encoded;
use super::{Action, CALL_PATIENCE, CallResponse, ControlMachine};
use crate::command::{Command, Outcome};
use crate::wire::{CallId, LeaderTime, Packet};

/// Who waits for an order or a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller of this machine.
    Call(u64),
    /// Another machine, with its own call.
    Peer { address: String, call: CallId },
}

impl Origin {
    /// The call, if it is one of this machine's.
    pub(super) fn call(&self) -> Option<u64> {
        match self {
            Self::Call(token) => Some(*token),
            Self::Peer { .. } => None,
        }
    }
}

/// The leader of a term, as others reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Leader {
    pub address: String,
    pub term: u64,
}

/// An entry that this machine proposed as leader, until it is applied.
#[derive(Clone, Debug)]
pub(super) struct Proposed {
    term: u64,
    digest: u128,
    waiting: Vec<Waiting>,
}

/// Who waits for an entry, and until when.
#[derive(Clone, Debug)]
struct Waiting {
    origin: Origin,
    deadline: u64,
}

/// An order that was passed to a leader, or waits for there to be one.
#[derive(Clone, Debug)]
pub(super) struct Order {
    token: u64,
    command: Command,
    passed_to: Option<Leader>,
    deadline: u64,
}

impl ControlMachine {
    /// An operator's order has come.
    pub fn submit_command(&mut self, now: u64, token: u64, command: Command) {
        self.now = self.now.max(now);
        let number = self.number();
        let deadline = self.now + CALL_PATIENCE;
        self.orders.insert(
            number,
            Order {
                token,
                command,
                passed_to: None,
                deadline,
            },
        );
        self.pass_on(number);
        self.settle();
    }

    /// The leader of the current term, if it is known; it may be this machine.
    pub(super) fn leader(&self) -> Option<Leader> {
        let address = self
            .replica
            .leader()
            .and_then(|leader| self.address_of(leader))?;
        Some(Leader {
            address,
            term: self.replica.term(),
        })
    }

    /// Proposes an order here, or passes it to the leader. It waits where there is none, and is taken by nobody once its caller's
    /// time is over.
    fn pass_on(&mut self, number: u64) {
        let Some(order) = self.orders.get(&number) else {
            return;
        };
        if self.now >= order.deadline {
            return;
        }
        if self.replica.is_leader() {
            self.propose(number);
            return;
        }
        let Some(leader) = self
            .leader()
            .filter(|leader| order.passed_to.as_ref() != Some(leader))
        else {
            return;
        };
        let Some(expires) = self.leader_clock.by_leader(leader.term, order.deadline) else {
            return;
        };
        let (address, command) = (leader.address.clone(), order.command.clone());
        if let Some(order) = self.orders.get_mut(&number) {
            order.passed_to = Some(leader);
        }
        let call = self.call(number);
        self.send(
            &address,
            Packet::ForwardedCommand {
                call,
                expires,
                command,
            },
        );
    }

    fn propose(&mut self, number: u64) {
        let Some(order) = self.orders.remove(&number) else {
            return;
        };
        let waiting = Waiting {
            origin: Origin::Call(order.token),
            deadline: order.deadline,
        };
        if !self.propose_for(waiting, &order.command) {
            self.orders.insert(number, order);
        }
    }

    /// Proposes an order, or waits with others for the same one if it is on its way already: to send a large one again and again
    /// would hold up its own replication. Tells whether the order was taken.
    fn propose_for(&mut self, waiting: Waiting, command: &Command) -> bool {
        let (digest, is_change) = (command.digest(), command.is_change());
        let term = self.replica.term();
        let is_same = |proposed: &&mut Proposed| {
            is_change && (proposed.term, proposed.digest) == (term, digest)
        };
        if self.replica.is_leader()
            && let Some(proposed) = self.proposed.values_mut().find(is_same)
        {
            proposed.waiting.push(waiting);
            return true;
        }
        let Ok((index, term)) = self.replica.propose(encoded(command)) else {
            return false;
        };
        self.proposed.insert(
            index,
            Proposed {
                term,
                digest,
                waiting: vec![waiting],
            },
        );
        true
    }

    /// Another machine passes an order on. It is proposed only by the leader that it was meant for, and not after its time.
    pub(super) fn on_forwarded_order(
        &mut self,
        from: &str,
        call: CallId,
        expires: LeaderTime,
        command: Command,
    ) {
        let is_in_time = expires.term == self.replica.term() && self.now <= expires.at;
        let origin = Origin::Peer {
            address: from.to_owned(),
            call,
        };
        let waiting = Waiting {
            origin,
            deadline: self.now + CALL_PATIENCE,
        };
        if !is_in_time || !self.propose_for(waiting, &command) {
            self.send(
                from,
                Packet::ForwardedCommandReply {
                    call,
                    outcome: None,
                },
            );
        }
        self.settle();
    }

    pub(super) fn on_order_done(&mut self, call: CallId, outcome: Option<Outcome>) {
        let Some(number) = self.own_number(call) else {
            return;
        };
        match outcome {
            Some(outcome) => {
                if let Some(order) = self.orders.remove(&number) {
                    self.respond(order.token, response_to(outcome));
                }
            }
            // It was not taken there: it is passed on again.
            None => {
                if let Some(order) = self.orders.get_mut(&number) {
                    order.passed_to = None;
                }
            }
        }
    }

    /// An entry was applied: whoever waits for this one hears of it.
    pub(super) fn finish_proposed(&mut self, index: u64, term: u64, outcome: Option<Outcome>) {
        let Some(proposed) = self.proposed.remove(&index) else {
            return;
        };
        let outcome = outcome.filter(|_| proposed.term == term);
        for waiting in proposed.waiting {
            self.tell_outcome(waiting.origin, outcome.clone());
        }
    }

    fn tell_outcome(&mut self, origin: Origin, outcome: Option<Outcome>) {
        match origin {
            Origin::Call(token) => {
                let answer = outcome.map_or(CallResponse::Indeterminate, response_to);
                self.respond(token, answer);
            }
            Origin::Peer { address, call } => {
                self.send(&address, Packet::ForwardedCommandReply { call, outcome })
            }
        }
    }

    /// This machine leads no longer: what it proposed may be taken or not, and those who wait ask the next leader.
    pub(super) fn give_up_proposed(&mut self) {
        let given_up: Vec<Proposed> = self
            .proposed
            .drain()
            .map(|(_, proposed)| proposed)
            .collect();
        for waiting in given_up.into_iter().flat_map(|proposed| proposed.waiting) {
            self.tell_outcome(waiting.origin, None);
        }
    }

    /// What was passed to a machine over a former link may be lost: it is passed on again.
    pub(super) fn pass_calls_again(&mut self, address: &str) {
        let is_there = |leader: &Option<Leader>| {
            leader
                .as_ref()
                .is_some_and(|leader| leader.address == address)
        };
        for order in self
            .orders
            .values_mut()
            .filter(|order| is_there(&order.passed_to))
        {
            order.passed_to = None;
        }
        self.ask_reads_again(address);
        self.pass_all_on();
    }

    /// Passes waiting calls on, also those that wait at a leader of a former term.
    fn pass_all_on(&mut self) {
        let waiting: Vec<u64> = self.orders.keys().copied().collect();
        waiting.into_iter().for_each(|number| self.pass_on(number));
        let waiting: Vec<u64> = self.reads.keys().copied().collect();
        waiting
            .into_iter()
            .for_each(|number| self.ask_leader(number));
        self.settle();
    }

    /// Passes waiting calls on again, and answers those whose time is over.
    pub(super) fn give_up_overdue(&mut self) {
        self.pass_all_on();
        let now = self.now;
        let overdue: Vec<u64> = self
            .orders
            .extract_if(|_, order| now >= order.deadline)
            .map(|(_, order)| order.token)
            .collect();
        // Their entries may still be committed: nobody can tell now.
        let of_proposed = self.proposed.values_mut().flat_map(|proposed| {
            proposed
                .waiting
                .extract_if(.., |waiting| now >= waiting.deadline)
                .filter_map(|waiting| waiting.origin.call())
        });
        let proposed: Vec<u64> = of_proposed.collect();
        for token in overdue.into_iter().chain(proposed) {
            self.respond(token, CallResponse::Indeterminate);
        }
        self.give_up_reads();
        self.give_up_spreads();
    }

    pub(super) fn respond(&mut self, token: u64, response: CallResponse) {
        self.actions.push(Action::Respond { token, response });
    }
}

fn response_to(outcome: Outcome) -> CallResponse {
    match outcome {
        Outcome::Accepted => CallResponse::Acknowledged,
        Outcome::Conflict { current } => CallResponse::Conflict { current },
        Outcome::Invalid { findings } => CallResponse::Invalid { findings },
    }
}
