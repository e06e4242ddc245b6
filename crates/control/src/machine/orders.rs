//! Orders and reads: at the leader they go through the log, elsewhere they are passed to it.

use super::{Action, Answer, CALL_PATIENCE, Machine, encoded};
use crate::command::{Command, Outcome};
use crate::wire::Packet;

/// Who waits for an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller of this machine.
    Call(u64),
    /// Another machine, under its own number.
    Peer { address: String, number: u64 },
}

impl Origin {
    /// The call, if it is one of this machine's.
    fn call(&self) -> Option<u64> {
        match self {
            Self::Call(token) => Some(*token),
            Self::Peer { .. } => None,
        }
    }
}

/// An entry that this machine proposed as leader.
#[derive(Clone, Debug)]
pub(super) struct Proposed {
    term: u64,
    origin: Origin,
    deadline: u64,
}

/// An order that was passed to the leader, or waits for there to be one.
#[derive(Clone, Debug)]
pub(super) struct Order {
    token: u64,
    command: Command,
    /// The leader that it was passed to.
    passed_to: Option<String>,
    deadline: u64,
}

/// A read of the configuration.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    origin: Origin,
    /// The position that must be applied, once the leader has told it.
    index: Option<u64>,
    /// Whether the leader was asked, or has begun to confirm itself.
    asked: bool,
    deadline: u64,
}

impl Machine {
    /// An operator's order has come.
    pub fn order(&mut self, now: u64, token: u64, command: Command) {
        self.now = self.now.max(now);
        let number = self.number();
        let deadline = self.now + CALL_PATIENCE;
        self.orders.insert(number, Order { token, command, passed_to: None, deadline });
        self.pass_on(number);
        self.settle();
    }

    /// An operator wants to read the configuration.
    pub fn read(&mut self, now: u64, token: u64) {
        self.now = self.now.max(now);
        let number = self.number();
        let deadline = self.now + CALL_PATIENCE;
        let read = PendingRead { origin: Origin::Call(token), index: None, asked: false, deadline };
        self.reads.insert(number, read);
        self.ask_leader(number);
        self.settle();
    }

    /// Proposes an order here, or passes it to the leader; it waits where there is none.
    fn pass_on(&mut self, number: u64) {
        let Some(order) = self.orders.get(&number).cloned() else { return };
        if order.passed_to.is_some() {
            return;
        }
        if self.replica.is_leader() {
            if let Ok((index, term)) = self.replica.propose(encoded(&order.command)) {
                self.orders.remove(&number);
                self.proposed.insert(
                    index,
                    Proposed { term, origin: Origin::Call(order.token), deadline: order.deadline },
                );
            }
            return;
        }
        let leader = self.replica.leader().and_then(|leader| self.address_of(leader));
        let Some(leader) = leader else { return };
        if let Some(order) = self.orders.get_mut(&number) {
            order.passed_to = Some(leader.clone());
        }
        self.send(&leader, Packet::Order { number, command: order.command });
    }

    pub(super) fn on_forwarded_order(&mut self, from: &str, number: u64, command: Command) {
        let origin = Origin::Peer { address: from.to_owned(), number };
        match self.replica.propose(encoded(&command)) {
            Ok((index, term)) => drop(
                self.proposed.insert(index, Proposed { term, origin, deadline: self.now + CALL_PATIENCE }),
            ),
            Err(_) => self.send(from, Packet::OrderDone { number, outcome: None }),
        }
        self.settle();
    }

    pub(super) fn on_order_done(&mut self, number: u64, outcome: Option<Outcome>) {
        match outcome {
            Some(outcome) => {
                if let Some(order) = self.orders.remove(&number) {
                    self.answer(order.token, answer_of(outcome));
                }
            }
            // It was not taken there: it waits for another leader.
            None => {
                if let Some(order) = self.orders.get_mut(&number) {
                    order.passed_to = None;
                }
            }
        }
    }

    /// An entry was applied: whoever proposed this one hears of it.
    pub(super) fn finish_proposed(&mut self, index: u64, term: u64, outcome: Option<Outcome>) {
        let Some(proposed) = self.proposed.remove(&index) else { return };
        let outcome = outcome.filter(|_| proposed.term == term);
        match proposed.origin {
            Origin::Call(token) => {
                let answer = outcome.map_or(Answer::Unclear, answer_of);
                self.answer(token, answer);
            }
            Origin::Peer { address, number } => self.send(&address, Packet::OrderDone { number, outcome }),
        }
    }

    fn ask_leader(&mut self, number: u64) {
        let Some(read) = self.reads.get_mut(&number) else { return };
        if read.asked {
            return;
        }
        if self.replica.is_leader() {
            read.asked = true;
            self.replica.read(number);
            return;
        }
        let leader = self.replica.leader().and_then(|leader| self.address_of(leader));
        let Some(leader) = leader else { return };
        if let Some(read) = self.reads.get_mut(&number) {
            read.asked = true;
        }
        self.send(&leader, Packet::Read { number });
    }

    pub(super) fn on_forwarded_read(&mut self, from: &str, theirs: u64) {
        let number = self.number();
        let origin = Origin::Peer { address: from.to_owned(), number: theirs };
        let deadline = self.now + CALL_PATIENCE;
        self.reads.insert(number, PendingRead { origin, index: None, asked: true, deadline });
        self.replica.read(number);
        self.settle();
    }

    /// The leader's own quorum has confirmed a read, or has not.
    pub(super) fn on_read_confirmed(&mut self, number: u64, confirmed: bool) {
        let index = self.replica.commit_index();
        let Some(read) = self.reads.get_mut(&number) else { return };
        match (&read.origin, confirmed) {
            (Origin::Call(_), true) => {
                read.index = Some(index);
                self.answer_reads();
            }
            (Origin::Call(_), false) => read.asked = false,
            (Origin::Peer { address, number: theirs }, _) => {
                let (address, theirs) = (address.clone(), *theirs);
                self.reads.remove(&number);
                let index = confirmed.then_some(index);
                self.send(&address, Packet::ReadDone { number: theirs, index });
            }
        }
    }

    pub(super) fn on_read_done(&mut self, number: u64, index: Option<u64>) {
        let Some(read) = self.reads.get_mut(&number) else { return };
        match index {
            Some(index) => read.index = Some(index),
            None => read.asked = false,
        }
        self.answer_reads();
    }

    /// Answers the reads of callers whose position is applied.
    pub(super) fn answer_reads(&mut self) {
        let applied = self.applied;
        let ready = self.reads.iter().filter(|(_, read)| read.index.is_some_and(|index| index <= applied));
        let ready: Vec<u64> = ready.map(|(number, _)| *number).collect();
        for number in ready {
            let Some(PendingRead { origin: Origin::Call(token), .. }) = self.reads.remove(&number) else {
                continue;
            };
            let answer = match self.state.configuration {
                Some(_) => Answer::Document(serde_json::to_vec(self.state.document()).unwrap_or_default()),
                None => Answer::Missing,
            };
            self.answer(token, answer);
        }
    }

    /// Passes waiting calls on again, and answers those whose time is over.
    pub(super) fn give_up_overdue(&mut self) {
        let waiting: Vec<u64> = self.orders.keys().copied().collect();
        waiting.into_iter().for_each(|number| self.pass_on(number));
        let waiting: Vec<u64> = self.reads.keys().copied().collect();
        waiting.into_iter().for_each(|number| self.ask_leader(number));
        self.settle();
        self.answer_reads();
        let now = self.now;
        let overdue: Vec<u64> =
            self.orders.extract_if(|_, order| now >= order.deadline).map(|(_, order)| order.token).collect();
        let reads = self.reads.extract_if(|_, read| now >= read.deadline);
        let reads: Vec<u64> = reads.filter_map(|(_, read)| read.origin.call()).collect();
        // The entry may still be committed: nobody can tell now.
        let proposed = self.proposed.extract_if(|_, proposed| now >= proposed.deadline);
        let proposed: Vec<u64> = proposed.filter_map(|(_, proposed)| proposed.origin.call()).collect();
        for token in overdue.into_iter().chain(reads).chain(proposed) {
            self.answer(token, Answer::Unclear);
        }
        self.give_up_spreads();
    }

    pub(super) fn answer(&mut self, token: u64, answer: Answer) {
        self.actions.push(Action::Answer { token, answer });
    }
}

fn answer_of(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Accepted => Answer::Done,
        Outcome::Conflict { current } => Answer::Conflict { current },
        Outcome::Invalid { findings } => Answer::Invalid { findings },
    }
}
