//! Watches: callers that wait for events of a group. Any machine serves them from the feed of its
//! own state.
//!
//! A watch that has seen an event needs no confirmation: its events are in order and without a gap,
//! and the state here is not so old that the next ones may have left the history elsewhere.
//! One that ends without events says that there are none, so the leader first confirms the revision
//! of the group, and this machine must have applied it.

use super::calls::{CallResult, Caller};
use super::{CoordinationMachine, Response};
use crate::command::{Call, Query};
use crate::outcome::Outcome;
use crate::state::{GroupEvents, WatchError};
use std::collections::{BTreeMap, BTreeSet};

/// Watches that may wait at a machine.
const MAX_WATCHES: usize = 1_024;
/// How long before the end of a watch its group's revision is confirmed, in milliseconds.
const CONFIRMATION_LEAD_MS: u64 = 300;
/// How long after its end a watch waits for the confirmation, in milliseconds.
const CONFIRMATION_TIMEOUT_MS: u64 = 600;

/// A request for the events of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// The group; see [`group_of`](crate::command::group_of).
    pub group: String,
    /// The revision after which events are wanted; with 0 only the group's revision is.
    pub after: u64,
    /// How long to wait for the first event, in milliseconds.
    pub wait_ms: u64,
}

/// Whether the leader has confirmed the revision of a watch's group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confirmation {
    NotRequested,
    Requested,
    /// The group had this revision then.
    Confirmed(u64),
}

/// A watch that waits.
#[derive(Clone, Debug)]
struct Watch {
    token: u64,
    group: String,
    after: u64,
    arrived: u64,
    deadline: u64,
    confirmation: Confirmation,
}

/// The watches by their numbers.
#[derive(Clone, Debug, Default)]
pub(super) struct Watches {
    last_number: u64,
    by_number: BTreeMap<u64, Watch>,
    /// Whether there may be watches whose events wait until the state is complete.
    has_held_back: bool,
}

impl Watches {
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    fn numbers(&self, is_wanted: impl Fn(&Watch) -> bool) -> Vec<u64> {
        let watches = self.by_number.iter();
        let wanted = watches.filter(|(_, watch)| is_wanted(watch));
        wanted.map(|(number, _)| *number).collect()
    }
}

impl CoordinationMachine {
    /// An application asks for the events of a group; the response comes with the token.
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
            arrived: self.now,
            deadline: self.now.saturating_add(wait_ms),
            confirmation: Confirmation::NotRequested,
        };
        self.watches.by_number.insert(number, watch);
        self.advance_watch(number);
        self.flush_queue();
    }

    /// The applications that wait with these tokens have left.
    pub fn cancel_watches(&mut self, tokens: &BTreeSet<u64>) {
        let watches = &mut self.watches.by_number;
        watches.retain(|_, watch| !tokens.contains(&watch.token));
    }

    /// Events of a group were applied.
    pub(super) fn answer_watches_of(&mut self, group: &str) {
        for number in self.watches.numbers(|watch| watch.group == group) {
            self.advance_watch(number);
        }
    }

    /// The state was replaced.
    pub(super) fn answer_all_watches(&mut self) {
        self.advance_watches();
    }

    /// Time has passed.
    pub(super) fn advance_watches(&mut self) {
        for number in self.watches.numbers(|_| true) {
            self.advance_watch(number);
        }
    }

    /// The process is about to end.
    pub(super) fn end_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches.by_number).into_values() {
            self.respond(watch.token, Response::NotExecuted);
        }
    }

    /// Answers a watch if that is possible, and requests a confirmation where one is needed.
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
        self.watches.has_held_back = true;
        if needs_confirmation {
            let query = Query::GroupRevision { group };
            self.add_call(Caller::Watch(number), Call::Query(query));
        }
    }

    /// The response to a watch, if there is one by now.
    fn response_to_watch(&self, number: u64) -> Option<Response> {
        let watch = self.watches.by_number.get(&number)?;
        let is_confirmed = self.is_revision_confirmed(watch);
        let events = match self.events_of(watch) {
            Ok(events) => events,
            Err(_) => return Some(Response::HistoryCompacted),
        };
        if !events.events.is_empty() {
            let is_complete = is_confirmed || self.is_state_complete_since(watch.arrived);
            return is_complete
                .then_some(Response::Events(events))
                .or_else(|| self.response_to_overdue(watch));
        }
        if !is_confirmed || self.now < watch.deadline {
            return self.response_to_overdue(watch);
        }
        let revision = self.state.group_revision(&watch.group);
        if watch.after > revision {
            // A revision that this group never had.
            return Some(Response::HistoryCompacted);
        }
        let events = Vec::new();
        Some(Response::Events(GroupEvents { events, revision }))
    }

    /// The events that a watch waits for. One that begins at 0 asks for the revision alone.
    fn events_of(&self, watch: &Watch) -> Result<GroupEvents, WatchError> {
        if watch.after == 0 {
            return Ok(GroupEvents::default());
        }
        self.state.events_after(&watch.group, watch.after)
    }

    /// Whether this machine has applied the revision that the leader has confirmed for a watch.
    fn is_revision_confirmed(&self, watch: &Watch) -> bool {
        let Confirmation::Confirmed(confirmed) = watch.confirmation else {
            return false;
        };
        self.state.group_revision(&watch.group) >= confirmed
    }

    /// The response to a watch that has waited for a confirmation in vain.
    fn response_to_overdue(&self, watch: &Watch) -> Option<Response> {
        let is_overdue = self.now >= watch.deadline.saturating_add(CONFIRMATION_TIMEOUT_MS);
        is_overdue.then_some(Response::NotExecuted)
    }

    /// The leader has been heard from: events that wait until the state is complete may go out.
    pub(super) fn answer_held_back_watches(&mut self) {
        if std::mem::take(&mut self.watches.has_held_back) {
            self.advance_watches();
        }
    }

    /// The leader has confirmed the revision of a watch's group, or could not.
    pub(super) fn on_revision_confirmed(&mut self, number: u64, result: &CallResult) {
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
