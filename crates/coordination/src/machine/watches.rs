//! Watches: clients that wait for events of a key group. Any machine serves watches from the event
//! history of its own state.
//!
//! A response with events needs no confirmation by the leader. Its events are in order and without
//! a gap, and the local state is recent enough that the events after them are still in the history
//! of the other machines.
//!
//! A response without events states that there are none. The leader therefore first confirms the
//! current revision of the group, and this machine must have applied that revision.

use super::calls::{CallResult, Caller};
use super::{CoordinationMachine, Response};
use crate::command::{Call, Query};
use crate::outcome::Outcome;
use crate::state::{GroupEvents, WatchError};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of pending watches per machine.
const MAX_WATCHES: usize = 1_024;
/// The time in milliseconds before a watch's deadline at which the confirmation of the group's
/// revision is requested.
const CONFIRMATION_LEAD_MS: u64 = 300;
/// The time in milliseconds after a watch's deadline for which the watch waits for the
/// confirmation.
const CONFIRMATION_TIMEOUT_MS: u64 = 600;

/// A request for the events of a key group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// The name of the group; see [`group_of`](crate::command::group_of).
    pub group: String,
    /// The revision after which events are returned. 0 requests the group's current revision only.
    pub after: u64,
    /// The maximum time to wait for the first event, in milliseconds. Ignored if `after` is 0.
    pub wait_ms: u64,
}

/// The progress of the leader's confirmation of the group's revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confirmation {
    NotRequested,
    Requested,
    /// The leader has confirmed that the group had this revision.
    Confirmed(u64),
}

/// A pending watch.
#[derive(Clone, Debug)]
struct Watch {
    token: u64,
    group: String,
    after: u64,
    /// The arrival time, in milliseconds of this machine's clock.
    arrived_at: u64,
    /// The time at which the watch ends without an event, in milliseconds of this machine's clock.
    deadline: u64,
    confirmation: Confirmation,
}

/// The pending watches by watch number.
#[derive(Clone, Debug, Default)]
pub(super) struct Watches {
    last_number: u64,
    by_number: BTreeMap<u64, Watch>,
    /// Whether a watch may have been deferred since the last retry, for example because the local
    /// state is not known to be recent enough.
    may_have_deferred: bool,
}

impl Watches {
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    /// The numbers of the watches that match a predicate, in ascending order.
    fn numbers(&self, matches: impl Fn(&Watch) -> bool) -> Vec<u64> {
        let watches = self.by_number.iter();
        let matching = watches.filter(|(_, watch)| matches(watch));
        matching.map(|(number, _)| *number).collect()
    }
}

impl CoordinationMachine {
    /// Starts a watch of a client. The response is issued as
    /// [`Action::Respond`](super::Action::Respond) with the same token.
    pub fn watch(&mut self, now: u64, token: u64, request: WatchRequest) {
        self.advance_clock(now);
        if self.watches.len() >= MAX_WATCHES {
            self.respond(token, Response::Overloaded);
            return;
        }
        let wait_ms = if request.after == 0 {
            0
        } else {
            request.wait_ms
        };
        self.watches.last_number += 1;
        let number = self.watches.last_number;
        let watch = Watch {
            token,
            group: request.group,
            after: request.after,
            arrived_at: self.now,
            deadline: self.now.saturating_add(wait_ms),
            confirmation: Confirmation::NotRequested,
        };
        self.watches.by_number.insert(number, watch);
        self.advance_watch(number);
        self.flush_queue();
    }

    /// Removes the watches with these tokens without a response, after their clients have
    /// disconnected.
    pub fn cancel_watches(&mut self, tokens: &BTreeSet<u64>) {
        let watches = &mut self.watches.by_number;
        watches.retain(|_, watch| !tokens.contains(&watch.token));
    }

    /// Advances the watches of a group after events of that group were applied.
    pub(super) fn advance_watches_of_group(&mut self, group: &str) {
        for number in self.watches.numbers(|watch| watch.group == group) {
            self.advance_watch(number);
        }
    }

    /// Advances all watches, after time has passed or the state was replaced.
    pub(super) fn advance_watches(&mut self) {
        for number in self.watches.numbers(|_| true) {
            self.advance_watch(number);
        }
    }

    /// Ends all watches before the process stops.
    pub(super) fn end_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches.by_number).into_values() {
            self.respond(watch.token, Response::NotExecuted);
        }
    }

    /// Responds to a watch if possible. Otherwise requests the leader's confirmation once the
    /// watch's deadline is near.
    fn advance_watch(&mut self, number: u64) {
        let Some(watch) = self.watches.by_number.get_mut(&number) else {
            return;
        };
        let needs_confirmation = watch.confirmation == Confirmation::NotRequested
            && self.now + CONFIRMATION_LEAD_MS >= watch.deadline;
        if needs_confirmation {
            watch.confirmation = Confirmation::Requested;
        }
        let group = watch.group.clone();
        if let Some(response) = self.response_to_watch(number) {
            self.finish_watch(number, response);
            return;
        }
        self.watches.may_have_deferred = true;
        if needs_confirmation {
            let query = Query::GroupRevision { group };
            self.add_call(Caller::Watch(number), Call::Query(query));
        }
    }

    /// The response to a watch, or `None` if the watch has to wait.
    fn response_to_watch(&self, number: u64) -> Option<Response> {
        let watch = self.watches.by_number.get(&number)?;
        let is_confirmed = self.is_revision_confirmed(watch);
        let group_events = match self.events_of(watch) {
            Ok(group_events) => group_events,
            Err(_) => return Some(Response::HistoryCompacted),
        };
        if !group_events.events.is_empty() {
            let is_complete = is_confirmed || self.is_state_complete_as_of(watch.arrived_at);
            return is_complete
                .then_some(Response::Events(group_events))
                .or_else(|| self.response_after_timeout(watch));
        }
        if !is_confirmed || self.now < watch.deadline {
            return self.response_after_timeout(watch);
        }
        let revision = self.state.group_revision(&watch.group);
        if watch.after > revision {
            // The group never had the requested revision.
            return Some(Response::HistoryCompacted);
        }
        let events = Vec::new();
        Some(Response::Events(GroupEvents { events, revision }))
    }

    /// The events that a watch waits for. A watch from revision 0 asks for the revision only and
    /// gets no events.
    fn events_of(&self, watch: &Watch) -> Result<GroupEvents, WatchError> {
        if watch.after == 0 {
            return Ok(GroupEvents::default());
        }
        self.state.events_after(&watch.group, watch.after)
    }

    /// Whether the leader has confirmed a revision for the watch and this machine has applied it.
    fn is_revision_confirmed(&self, watch: &Watch) -> bool {
        let Confirmation::Confirmed(confirmed) = watch.confirmation else {
            return false;
        };
        self.state.group_revision(&watch.group) >= confirmed
    }

    /// The response to a watch whose confirmation has timed out, or `None` before the timeout.
    fn response_after_timeout(&self, watch: &Watch) -> Option<Response> {
        let has_timed_out = self.now >= watch.deadline.saturating_add(CONFIRMATION_TIMEOUT_MS);
        has_timed_out.then_some(Response::NotExecuted)
    }

    /// Retries the deferred watches. A message of the leader may have shown that the local state is
    /// recent enough.
    pub(super) fn retry_deferred_watches(&mut self) {
        if std::mem::take(&mut self.watches.may_have_deferred) {
            self.advance_watches();
        }
    }

    /// Handles the result of the query that confirms the revision of a watch's group. The watch
    /// fails if the query was not executed.
    pub(super) fn on_confirmation_result(&mut self, number: u64, result: &CallResult) {
        let Some(watch) = self.watches.by_number.get_mut(&number) else {
            return;
        };
        if let CallResult::Executed(Outcome::GroupRevision { revision }) = result {
            watch.confirmation = Confirmation::Confirmed(*revision);
            self.advance_watch(number);
        } else {
            self.finish_watch(number, Response::NotExecuted);
        }
    }

    fn finish_watch(&mut self, number: u64, response: Response) {
        if let Some(watch) = self.watches.by_number.remove(&number) {
            self.respond(watch.token, response);
        }
    }
}
