//! Calls that clients submit to this machine, from submission to response.

use super::leadership::LeaderAddress;
use super::queue::QueuedCall;
use super::{Action, CoordinationMachine, LogEvent, Response};
use crate::batch::{BatchedCall, CallId};
use crate::command::Call;
use crate::outcome::Outcome;
use crate::state::CallOutcome;
use crate::wire::{ForwardedCall, Packet};
use std::collections::BTreeMap;

/// The time in milliseconds after which a call without a result times out. Clients try another
/// machine after one second, so the response must arrive before that.
const CALL_TIMEOUT_MS: u64 = 900;

/// The maximum number of pending calls per machine. It exceeds the number of calls that can be
/// executed within [`CALL_TIMEOUT_MS`].
const MAX_PENDING_CALLS: usize = 2_048;
/// Calls that take at least this many milliseconds are logged as slow.
const SLOW_CALL_MS: u64 = 400;

/// The recipient of a call's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Caller {
    /// A client application, identified by the token of its request.
    Application(u64),
    /// A watch of this machine, identified by its number.
    Watch(u64),
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallResult {
    /// The call was executed with this outcome.
    Executed(Outcome),
    /// The call was not executed and never will be.
    NotExecuted,
    /// The call was rejected because too many calls are pending on this machine.
    Overloaded,
    /// The call may have been executed or may still be executed.
    Unknown,
}

/// A call without a result yet.
#[derive(Clone, Debug)]
struct PendingCall {
    caller: Caller,
    call: Call,
    /// The submission time, in milliseconds of this machine's clock.
    started_at: u64,
    /// The time at which the call times out, in milliseconds of this machine's clock.
    deadline: u64,
    /// The leader that the call is assigned to. It may be this machine.
    assigned_to: Option<LeaderAddress>,
    /// Whether a former leader may have executed the call or may still execute it.
    is_in_doubt: bool,
    /// Whether the log may contain more than one copy of the call.
    may_be_duplicated: bool,
}

impl PendingCall {
    /// The result of a call that has timed out.
    fn timeout_result(&self) -> CallResult {
        let may_be_executed = self.is_in_doubt || self.assigned_to.is_some();
        if may_be_executed && matches!(self.call, Call::Command(_)) {
            CallResult::Unknown
        } else {
            CallResult::NotExecuted
        }
    }

    /// The result of the call after one copy of it was executed with `outcome`.
    fn result_for(&self, outcome: Outcome) -> CallResult {
        match &self.call {
            Call::Command(command)
                if self.may_be_duplicated && !command.is_final_outcome(&outcome) =>
            {
                CallResult::Unknown
            }
            _ => CallResult::Executed(outcome),
        }
    }

    /// Assigns the call to a leader.
    fn assign_to(&mut self, leader: LeaderAddress) {
        self.assigned_to = Some(leader);
        self.may_be_duplicated |= self.is_in_doubt;
    }

    /// Cancels the assignment to a leader that may or may not have received the call. The call is
    /// in doubt from then on.
    fn unassign(&mut self) {
        if self.assigned_to.take().is_some() {
            self.is_in_doubt = true;
        }
    }

    /// The call with its identifier, as batches carry it.
    fn batched(&self, id: CallId) -> BatchedCall {
        let call = self.call.clone();
        BatchedCall { id, call }
    }

    /// Whether sending the call to a leader again is safe. A command in doubt is only resent if a
    /// second execution is harmless.
    fn may_be_resent(&self) -> bool {
        match &self.call {
            Call::Command(command) => !self.is_in_doubt || command.is_idempotent(),
            Call::Query(_) => true,
        }
    }
}

/// The pending calls by call number.
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
    /// Submits a call of a client. The response is issued as [`Action::Respond`] with the same
    /// token.
    pub fn submit(&mut self, now: u64, token: u64, call: Call) {
        self.advance_clock(now);
        self.add_call(Caller::Application(token), call);
        self.flush_queue();
    }

    /// Adds a pending call. Without a leader that has a quorum, the call fails immediately, which
    /// leaves the client time to try another machine.
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
            started_at: self.now,
            deadline: self.now + CALL_TIMEOUT_MS,
            assigned_to: None,
            is_in_doubt: false,
            may_be_duplicated: false,
        };
        self.calls.by_number.insert(number, pending);
        self.dispatch([number].into_iter());
    }

    /// Sends every call that is not assigned to the current leader to that leader, where resending
    /// is safe.
    pub(super) fn dispatch_calls(&mut self) {
        let numbers: Vec<u64> = self.calls.by_number.keys().copied().collect();
        self.dispatch(numbers.into_iter());
    }

    fn dispatch(&mut self, numbers: impl Iterator<Item = u64>) {
        let Some(leader) = self.leader() else { return };
        let mut forwarded = Vec::new();
        for number in numbers {
            if !self.prepare_dispatch(number, &leader) {
                continue;
            }
            if self.replica.is_leader() {
                self.enqueue_local(number, &leader);
            } else {
                forwarded.extend(self.assign_remote(number, &leader));
            }
        }
        if !forwarded.is_empty() {
            self.send(&leader.address, Packet::Calls(forwarded));
        }
    }

    /// Whether a call is to be sent to `leader`. A call assigned to another leader is unassigned.
    /// Calls that are already assigned to `leader`, that have timed out or that must not be resent
    /// are not sent.
    fn prepare_dispatch(&mut self, number: u64, leader: &LeaderAddress) -> bool {
        let now = self.now;
        let Some(pending) = self.calls.by_number.get_mut(&number) else {
            return false;
        };
        if pending.assigned_to.as_ref() == Some(leader) {
            return false;
        }
        pending.unassign();
        now < pending.deadline && pending.may_be_resent()
    }

    fn enqueue_local(&mut self, number: u64, leader: &LeaderAddress) {
        let origin = self.own_address().to_owned();
        let id = self.call_id(number);
        let Some(pending) = self.calls.by_number.get_mut(&number) else {
            return;
        };
        pending.assign_to(leader.clone());
        let queued = QueuedCall {
            call: pending.batched(id),
            origin,
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

    /// Assigns a call to a remote leader and returns the call to forward. Returns `None` if the
    /// leader's clock is unknown, because the deadline can't be converted to that clock.
    fn assign_remote(&mut self, number: u64, leader: &LeaderAddress) -> Option<ForwardedCall> {
        let id = self.call_id(number);
        let pending = self.calls.by_number.get_mut(&number)?;
        let deadline = self
            .leader_clock
            .to_leader_time(leader.term, pending.deadline)?;
        pending.assign_to(leader.clone());
        let call = pending.batched(id);
        Some(ForwardedCall { call, deadline })
    }

    /// Resends calls after a new connection to a machine was established. Calls that were forwarded
    /// over the former connection may be lost.
    pub(super) fn resend_calls(&mut self, address: &str) {
        for pending in self.calls.by_number.values_mut() {
            let leader = pending.assigned_to.as_ref();
            if leader.is_some_and(|leader| leader.address == address) {
                pending.unassign();
            }
        }
        self.dispatch_calls();
    }

    /// Finishes the executed calls that this process has accepted. Calls of other processes are
    /// ignored.
    pub(super) fn on_executed_calls(&mut self, outcomes: Vec<CallOutcome>) {
        for CallOutcome { id, outcome } in outcomes {
            if id.incarnation != self.settings.incarnation {
                continue;
            }
            if let Some(pending) = self.calls.by_number.get(&id.number) {
                let result = pending.result_for(outcome);
                self.finish(id.number, result);
            }
        }
    }

    /// Handles calls that a leader has rejected without proposing them. The calls become unassigned
    /// and are dispatched again on the next tick or change of leader.
    pub(super) fn on_rejected_calls(&mut self, ids: Vec<CallId>) {
        for id in ids {
            if id.incarnation != self.settings.incarnation {
                continue;
            }
            if let Some(pending) = self.calls.by_number.get_mut(&id.number) {
                pending.assigned_to = None;
            }
        }
    }

    /// Dispatches unassigned calls and finishes calls whose deadline has passed.
    pub(super) fn advance_calls(&mut self) {
        self.dispatch_calls();
        let overdue = |pending: &&PendingCall| self.now >= pending.deadline;
        let by_number = self.calls.by_number.iter();
        let overdue = by_number.filter(|(_, pending)| overdue(pending));
        let overdue: Vec<(u64, CallResult)> = overdue
            .map(|(number, pending)| (*number, pending.timeout_result()))
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
        let elapsed_ms = self.now - pending.started_at;
        if elapsed_ms < SLOW_CALL_MS {
            return;
        }
        let leader = pending.assigned_to.as_ref();
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
            Caller::Watch(number) => self.on_confirmation_result(number, &result),
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
