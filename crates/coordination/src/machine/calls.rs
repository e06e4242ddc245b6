//! Calls that applications make at this machine, until they are answered.

use super::leadership::LeaderAddress;
use super::queue::QueuedCall;
use super::{Action, CoordinationMachine, LogEvent, Response};
use crate::batch::{BatchedCall, CallId};
use crate::command::Call;
use crate::outcome::Outcome;
use crate::state::CallOutcome;
use crate::wire::{ForwardedCall, Packet};
use std::collections::BTreeMap;

/// The time in milliseconds after which a call is answered in any case: a caller goes to another
/// machine after a second.
const CALL_TIMEOUT_MS: u64 = 900;

/// Calls that may wait at a machine: more than are executed within [`CALL_TIMEOUT_MS`].
const MAX_PENDING_CALLS: usize = 2_048;
/// A call that takes so many milliseconds is logged.
const SLOW_CALL_MS: u64 = 400;

/// Who waits for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Caller {
    /// An application, by its token.
    Application(u64),
    /// A watch of this machine, by its number.
    Watch(u64),
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallResult {
    /// It was executed.
    Executed(Outcome),
    /// It was not executed and never will be.
    NotExecuted,
    /// The same, as too many calls wait here.
    Overloaded,
    /// It may have been executed, or may still be.
    Unknown,
}

/// A call that waits for its result.
#[derive(Clone, Debug)]
struct PendingCall {
    caller: Caller,
    call: Call,
    started: u64,
    deadline: u64,
    /// The leader that has it, perhaps this machine.
    sent_to: Option<LeaderAddress>,
    /// Whether a former leader may have executed it, or may still do so.
    is_in_doubt: bool,
    /// Whether the log may hold more than one copy of it.
    is_repeated: bool,
}

impl PendingCall {
    /// What is known of the call while it has no result.
    fn unfinished(&self) -> CallResult {
        let may_be_executed = self.is_in_doubt || self.sent_to.is_some();
        if may_be_executed && matches!(self.call, Call::Command(_)) {
            CallResult::Unknown
        } else {
            CallResult::NotExecuted
        }
    }

    /// What is known of the call once a copy of it was executed.
    fn result_of(&self, outcome: Outcome) -> CallResult {
        match &self.call {
            Call::Command(command) if self.is_repeated && !command.is_final_outcome(&outcome) => {
                CallResult::Unknown
            }
            _ => CallResult::Executed(outcome),
        }
    }

    /// The call is given to a leader.
    fn send_to(&mut self, leader: LeaderAddress) {
        self.sent_to = Some(leader);
        self.is_repeated |= self.is_in_doubt;
    }

    /// The leader that has the call does not have it for certain any more.
    fn lose_leader(&mut self) {
        if self.sent_to.take().is_some() {
            self.is_in_doubt = true;
        }
    }

    /// The call as it stands in a batch.
    fn batched(&self, id: CallId) -> BatchedCall {
        let call = self.call.clone();
        BatchedCall { id, call }
    }

    /// Whether it may be sent to a leader again.
    fn may_be_resent(&self) -> bool {
        match &self.call {
            Call::Command(command) => !self.is_in_doubt || command.is_idempotent(),
            Call::Query(_) => true,
        }
    }
}

/// The calls by their numbers.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingCalls {
    last_number: u64,
    by_number: BTreeMap<u64, PendingCall>,
}

impl PendingCalls {
    pub fn len(&self) -> usize {
        self.by_number.len()
    }
}

impl CoordinationMachine {
    /// An application makes a call; the response comes with the token.
    pub fn submit(&mut self, now: u64, token: u64, call: Call) {
        self.advance_clock(now);
        self.add_call(Caller::Application(token), call);
        self.flush_queue();
    }

    /// Adds a call. Without a leader that has a quorum it is answered at once: its caller has time
    /// left for another machine.
    pub(super) fn add_call(&mut self, caller: Caller, call: Call) {
        if !self.in_quorum() {
            self.answer(caller, CallResult::NotExecuted);
            return;
        }
        if self.calls.len() >= MAX_PENDING_CALLS {
            self.answer(caller, CallResult::Overloaded);
            return;
        }
        self.calls.last_number += 1;
        let number = self.calls.last_number;
        let pending = PendingCall {
            caller,
            call,
            started: self.now,
            deadline: self.now + CALL_TIMEOUT_MS,
            sent_to: None,
            is_in_doubt: false,
            is_repeated: false,
        };
        self.calls.by_number.insert(number, pending);
        self.dispatch([number].into_iter());
    }

    /// Sends the calls that no leader has to the current one.
    pub(super) fn dispatch_calls(&mut self) {
        let numbers: Vec<u64> = self.calls.by_number.keys().copied().collect();
        self.dispatch(numbers.into_iter());
    }

    fn dispatch(&mut self, numbers: impl Iterator<Item = u64>) {
        let Some(leader) = self.leader() else { return };
        let mut forwarded = Vec::new();
        for number in numbers {
            if !self.assign_leader(number, &leader) {
                continue;
            }
            if self.replica.is_leader() {
                self.enqueue_own(number, &leader);
            } else {
                forwarded.extend(self.forwarded(number, &leader));
            }
        }
        if !forwarded.is_empty() {
            self.send(&leader.address, Packet::Calls(forwarded));
        }
    }

    /// Gives a call to a leader, unless that leader has it already or it must not be sent again.
    fn assign_leader(&mut self, number: u64, leader: &LeaderAddress) -> bool {
        let now = self.now;
        let Some(pending) = self.calls.by_number.get_mut(&number) else {
            return false;
        };
        if pending.sent_to.as_ref() == Some(leader) {
            return false;
        }
        pending.lose_leader();
        now < pending.deadline && pending.may_be_resent()
    }

    fn enqueue_own(&mut self, number: u64, leader: &LeaderAddress) {
        let taken_by = self.own_address().to_owned();
        let id = self.call_id(number);
        let Some(pending) = self.calls.by_number.get_mut(&number) else {
            return;
        };
        pending.send_to(leader.clone());
        let queued = QueuedCall {
            call: pending.batched(id),
            taken_by,
            deadline: pending.deadline,
        };
        let rejected = self.enqueue(queued);
        self.reject(rejected.into_iter().collect());
    }

    fn call_id(&self, number: u64) -> CallId {
        let incarnation = self.settings.incarnation;
        CallId {
            incarnation,
            number,
        }
    }

    /// The message that forwards a call, if the leader's clock is known.
    fn forwarded(&mut self, number: u64, leader: &LeaderAddress) -> Option<ForwardedCall> {
        let id = self.call_id(number);
        let pending = self.calls.by_number.get_mut(&number)?;
        let deadline = self
            .leader_clock
            .to_leader_time(leader.term, pending.deadline)?;
        pending.send_to(leader.clone());
        let call = pending.batched(id);
        Some(ForwardedCall { call, deadline })
    }

    /// The connection to a machine is new: calls that were forwarded to it may be lost.
    pub(super) fn resend_calls(&mut self, address: &str) {
        for pending in self.calls.by_number.values_mut() {
            let leader = pending.sent_to.as_ref();
            if leader.is_some_and(|leader| leader.address == address) {
                pending.lose_leader();
            }
        }
        self.dispatch_calls();
    }

    /// Calls were executed; those that this process has taken are answered.
    pub(super) fn on_executed_calls(&mut self, outcomes: Vec<CallOutcome>) {
        for CallOutcome { id, outcome } in outcomes {
            if id.incarnation != self.settings.incarnation {
                continue;
            }
            if let Some(pending) = self.calls.by_number.get(&id.number) {
                let result = pending.result_of(outcome);
                self.finish(id.number, result);
            }
        }
    }

    /// A leader has not proposed these calls: they go to the next one.
    pub(super) fn on_rejected_calls(&mut self, ids: Vec<CallId>) {
        for id in ids {
            if id.incarnation != self.settings.incarnation {
                continue;
            }
            if let Some(pending) = self.calls.by_number.get_mut(&id.number) {
                pending.sent_to = None;
            }
        }
    }

    /// Sends calls without a leader again, and answers those whose time is over.
    pub(super) fn advance_calls(&mut self) {
        self.dispatch_calls();
        let overdue = |pending: &&PendingCall| self.now >= pending.deadline;
        let by_number = self.calls.by_number.iter();
        let overdue = by_number.filter(|(_, pending)| overdue(pending));
        let overdue: Vec<(u64, CallResult)> = overdue
            .map(|(number, pending)| (*number, pending.unfinished()))
            .collect();
        for (number, result) in overdue {
            self.finish(number, result);
        }
    }

    fn finish(&mut self, number: u64, result: CallResult) {
        if let Some(pending) = self.calls.by_number.remove(&number) {
            self.log_if_slow(&pending, &result);
            self.answer(pending.caller, result);
        }
    }

    fn log_if_slow(&mut self, pending: &PendingCall, result: &CallResult) {
        let elapsed_ms = self.now - pending.started;
        if elapsed_ms < SLOW_CALL_MS {
            return;
        }
        let leader = pending.sent_to.as_ref();
        self.log(LogEvent::CallSlow {
            call: (&pending.call).into(),
            elapsed_ms,
            leader: leader.map_or_else(String::new, |leader| leader.address.clone()),
            result: match result {
                CallResult::Executed(_) => "executed",
                CallResult::NotExecuted => "not_executed",
                CallResult::Overloaded => "overloaded",
                CallResult::Unknown => "unknown",
            },
        });
    }

    fn answer(&mut self, caller: Caller, result: CallResult) {
        match caller {
            Caller::Application(token) => self.respond(token, response_to(result)),
            Caller::Watch(number) => self.on_revision_confirmed(number, &result),
        }
    }

    pub(super) fn respond(&mut self, token: u64, response: Response) {
        self.counters.count(&response);
        self.actions.push(Action::Respond { token, response });
    }
}

fn response_to(result: CallResult) -> Response {
    match result {
        CallResult::Executed(outcome) => Response::Executed(outcome),
        CallResult::NotExecuted => Response::NotExecuted,
        CallResult::Overloaded => Response::Overloaded,
        CallResult::Unknown => Response::Unknown,
    }
}
