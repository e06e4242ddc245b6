//! Calls: from their being taken to their response.

use super::Engine;
use crate::messages::{Call, CallResult, Command};
use std::collections::{BTreeMap, BTreeSet};
use woadstall_decisions::api::{Duration, Event, RequestId, RequestParameters, ServerId, Time};

/// The safety net responds this long after a call's deadline, when the module should long have done so. In nanoseconds.
pub const SAFETY_NET_DELAY: Duration = 25_000_000;

/// An attempt that is in flight.
pub(super) struct SentAttempt {
    /// Its number, from 0.
    pub attempt: u32,
    /// When it was sent.
    pub at: Time,
    /// Where it went.
    pub server: ServerId,
}

/// A call that has no response yet, or has attempts in flight.
pub(super) struct CallState<R> {
    /// `None` once it has its response, or its caller has disconnected.
    pub request: Option<R>,
    pub deadline: Time,
    pub max_attempts: u32,
    pub class: usize,
    /// Attempts that the module has asked for.
    pub attempts: u32,
    /// The attempts that have not ended.
    pub in_flight: Vec<SentAttempt>,
}

impl<R> CallState<R> {
    /// Whether an attempt is in flight.
    pub fn has_in_flight(&self, attempt: u32) -> bool {
        self.in_flight.iter().any(|sent| sent.attempt == attempt)
    }
}

/// The open calls, and the safety net under those that have no response yet.
pub(super) struct CallTable<R> {
    calls: BTreeMap<RequestId, CallState<R>>,
    /// When the safety net is due for each call that has no response yet.
    safety_nets: BTreeSet<(Time, RequestId)>,
}

impl<R> Default for CallTable<R> {
    fn default() -> Self {
        Self {
            calls: BTreeMap::new(),
            safety_nets: BTreeSet::new(),
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
        self.safety_nets.insert((safety_net_at(call.deadline), id));
        self.calls.insert(id, call);
    }

    /// When the safety net is next due.
    pub fn next_due(&self) -> Option<Time> {
        self.safety_nets.first().map(|(due, _)| *due)
    }

    /// A call whose safety net is due by now.
    pub fn overdue(&self, now: Time) -> Option<RequestId> {
        self.safety_nets
            .first()
            .filter(|(due, _)| *due <= now)
            .map(|(_, id)| *id)
    }

    /// Takes the request out of a call: nothing is owed to its caller any more.
    fn take_request(&mut self, id: RequestId) -> Option<R> {
        let call = self.calls.get_mut(&id)?;
        let request = call.request.take()?;
        self.safety_nets.remove(&(safety_net_at(call.deadline), id));
        Some(request)
    }

    /// Removes a call that has its response and no attempt in flight.
    pub fn remove_if_done(&mut self, id: RequestId) {
        let is_done = |call: &CallState<R>| call.request.is_none() && call.in_flight.is_empty();
        if self.calls.get(&id).is_some_and(is_done) {
            self.calls.remove(&id);
        }
    }
}

fn safety_net_at(deadline: Time) -> Time {
    deadline.saturating_add(SAFETY_NET_DELAY)
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
            // The front's mistake; the module could not tell the two apart.
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
        let demand = RequestParameters {
            class,
            tenant,
            time_left,
            work,
            max_attempts,
        };
        self.notify(Event::Request(id, demand));
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
