//! Life of a call, from its acceptance to its response.

use super::Engine;
use crate::messages::{Call, CallResult, Command};
use std::collections::{BTreeMap, BTreeSet};
use woadstall_decisions::api::{Duration, Event, RequestId, RequestParameters, ServerId, Time};

/// Time after the deadline of a call at which the engine fails the call, in nanoseconds. The decision module should
/// have ended every call long before, so this only affects calls that the decision module has lost.
pub const OVERDUE_GRACE_PERIOD_NS: Duration = 25_000_000;

/// An attempt in flight.
pub(super) struct SentAttempt {
    /// Number of the attempt within the call, from 0.
    pub attempt: u32,
    /// Time at which the attempt was sent.
    pub sent_at: Time,
    /// Upstream that the attempt was sent to.
    pub server: ServerId,
}

/// An open call: a call that has no response yet or has attempts in flight.
pub(super) struct CallState<R> {
    /// Request of the call, or `None` once the call has its response or its caller has disconnected.
    pub request: Option<R>,
    pub deadline: Time,
    pub max_attempts: u32,
    pub class: usize,
    /// Number of attempts that the decision module has requested.
    pub attempts: u32,
    /// Attempts that have not ended.
    pub in_flight: Vec<SentAttempt>,
}

impl<R> CallState<R> {
    /// Whether the attempt with this number is in flight.
    pub fn has_in_flight(&self, attempt: u32) -> bool {
        self.in_flight.iter().any(|sent| sent.attempt == attempt)
    }
}

/// All open calls, and the times at which calls without a response become overdue.
pub(super) struct CallTable<R> {
    calls: BTreeMap<RequestId, CallState<R>>,
    /// Time at which each call without a response becomes overdue.
    overdue_times: BTreeSet<(Time, RequestId)>,
}

impl<R> Default for CallTable<R> {
    fn default() -> Self {
        Self {
            calls: BTreeMap::new(),
            overdue_times: BTreeSet::new(),
        }
    }
}

impl<R> CallTable<R> {
    pub fn get(&self, id: RequestId) -> Option<&CallState<R>> {
        self.calls.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut CallState<R>> {
        self.calls.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &CallState<R>)> {
        self.calls.iter()
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }

    fn insert(&mut self, id: RequestId, call: CallState<R>) {
        self.overdue_times.insert((overdue_time(call.deadline), id));
        self.calls.insert(id, call);
    }

    /// Returns the next time at which a call becomes overdue.
    pub fn next_due(&self) -> Option<Time> {
        self.overdue_times.first().map(|(due, _)| *due)
    }

    /// Returns a call that is overdue at `now`.
    pub fn overdue(&self, now: Time) -> Option<RequestId> {
        self.overdue_times
            .first()
            .filter(|(due, _)| *due <= now)
            .map(|(_, id)| *id)
    }

    /// Takes the request out of a call, after which the call awaits no response and cannot become overdue.
    fn take_request(&mut self, id: RequestId) -> Option<R> {
        let call = self.calls.get_mut(&id)?;
        let request = call.request.take()?;
        self.overdue_times
            .remove(&(overdue_time(call.deadline), id));
        Some(request)
    }

    /// Removes a call that awaits no response and has no attempt in flight.
    pub fn remove_if_done(&mut self, id: RequestId) {
        let is_done = |call: &CallState<R>| call.request.is_none() && call.in_flight.is_empty();
        if self.calls.get(&id).is_some_and(is_done) {
            self.calls.remove(&id);
        }
    }
}

fn overdue_time(deadline: Time) -> Time {
    deadline.saturating_add(OVERDUE_GRACE_PERIOD_NS)
}

impl<R, A> Engine<R, A> {
    pub(super) fn on_call(&mut self, call: Call<R>) {
        let Call {
            id,
            request,
            class,
            tenant,
            work,
            deadline,
            max_attempts,
        } = call;
        let time_left = deadline.saturating_sub(self.now);
        let is_duplicate = self.calls.get(id).is_some();
        if is_duplicate {
            // A front must not reuse the id of an open call. The decision module could not distinguish the two calls,
            // so the second one is rejected.
            self.log(format!("request_id_in_use request={}", id.0));
        }
        if is_duplicate || time_left == 0 || max_attempts == 0 {
            let result = CallResult::Rejected(0);
            return self
                .commands
                .push_back(Command::Respond { request, result });
        }
        let call = CallState {
            request: Some(request),
            deadline,
            max_attempts,
            class,
            attempts: 0,
            in_flight: Vec::new(),
        };
        self.calls.insert(id, call);
        let parameters = RequestParameters {
            class,
            tenant,
            time_left,
            work,
            max_attempts,
        };
        self.notify(Event::Request(id, parameters));
    }

    pub(super) fn on_caller_disconnected(&mut self, id: RequestId) {
        if self.calls.take_request(id).is_some() {
            self.notify(Event::ClientDisconnected(id));
            self.calls.remove_if_done(id);
        }
    }

    pub(super) fn reject(&mut self, id: RequestId, retry_after: Duration) {
        self.respond(id, CallResult::Rejected(retry_after));
    }

    pub(super) fn fail(&mut self, id: RequestId) {
        self.respond(id, CallResult::Failed);
    }

    pub(super) fn respond(&mut self, id: RequestId, result: CallResult<A>) {
        if let Some(request) = self.calls.take_request(id) {
            self.commands
                .push_back(Command::Respond { request, result });
        }
        self.calls.remove_if_done(id);
    }
}
