//! Life of an attempt, from the decision to send it to its end.

use super::Engine;
use super::calls::SentAttempt;
use crate::messages::{AttemptEnd, AttemptRecord, CallResult, Command, SendAttempt};
use crate::upstreams::Peer;
use woadstall_decisions::api::{self, Event, Outcome, RequestId, ServerId, Time};

/// Maximum number of attempt records that are kept until they are taken. The oldest records are dropped first.
const MAX_ATTEMPT_RECORDS: usize = 16_384;

impl<R, A> Engine<R, A> {
    /// Sends an attempt that the decision module has decided on. An attempt that cannot be sent ends as
    /// [`Outcome::Moot`].
    pub(super) fn send_attempt(
        &mut self,
        id: RequestId,
        server: ServerId,
        until: Time,
        begin_by: Time,
    ) {
        let to = self.peer_for_attempt(id, server, until);
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let attempt = call.attempts;
        call.attempts += 1;
        let Some(to) = to else {
            let closed = call.request.is_none();
            let outcome = Outcome::Moot;
            let end = api::AttemptEnd {
                attempt,
                outcome,
                elapsed: 0,
                closed,
                load: None,
            };
            return self.pending_ends.push_back((id, end));
        };
        call.in_flight.push(SentAttempt {
            attempt,
            sent_at: self.now,
            server,
        });
        let deadline = call.deadline;
        let until = until.min(deadline);
        let send = SendAttempt {
            id,
            attempt,
            to,
            until,
            begin_by,
            deadline,
        };
        self.commands.push_back(Command::SendAttempt(send));
    }

    /// Returns the process that the next attempt of a call goes to, or `None` if the attempt must not be sent.
    fn peer_for_attempt(&self, id: RequestId, server: ServerId, until: Time) -> Option<Peer> {
        let call = self.calls.get(id)?;
        let is_allowed = call.attempts < self.max_attempts.min(call.max_attempts);
        let is_in_time = self.now < until.min(call.deadline);
        if !is_allowed || !is_in_time || call.request.is_none() {
            return None;
        }
        self.upstreams
            .peer(server)
            .filter(|peer| self.upstreams.accepts_new_attempts(peer))
    }

    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        if self
            .calls
            .get(id)
            .is_some_and(|call| call.has_in_flight(attempt))
        {
            self.commands
                .push_back(Command::CancelAttempt { id, attempt });
        }
    }

    pub(super) fn on_response_started(&mut self, id: RequestId, attempt: u32, response: A) {
        let is_awaited = self
            .calls
            .get(id)
            .is_some_and(|call| call.has_in_flight(attempt) && call.request.is_some());
        if is_awaited {
            self.notify(Event::ResponseStarted(id, attempt));
            self.respond(id, CallResult::Served(response));
        }
    }

    pub(super) fn on_attempt_ended(&mut self, id: RequestId, attempt: u32, end: AttemptEnd<A>) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let position = call
            .in_flight
            .iter()
            .position(|sent| sent.attempt == attempt);
        let Some(position) = position else { return };
        let sent = call.in_flight.swap_remove(position);
        let class = call.class;
        let closed = call.request.is_none() || end.response.is_some();
        let AttemptEnd {
            outcome,
            response,
            load,
        } = end;
        let elapsed = self.now.saturating_sub(sent.sent_at);
        self.keep_record(AttemptRecord {
            id,
            attempt,
            ended_at: self.now,
            server: sent.server,
            class,
            outcome,
            elapsed,
        });
        if let Some(response) = response {
            self.respond(id, CallResult::Served(response));
        }
        self.notify(Event::AttemptEnded(
            id,
            api::AttemptEnd {
                attempt,
                outcome,
                elapsed,
                closed,
                load,
            },
        ));
        self.calls.remove_if_done(id);
    }

    /// Keeps the record of an ended attempt if recording is on.
    fn keep_record(&mut self, record: AttemptRecord) {
        let Some(records) = &mut self.attempt_records else {
            return;
        };
        if records.len() >= MAX_ATTEMPT_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }
}
