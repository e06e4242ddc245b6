//! The state machine of one call, run in the caller's task.

use crate::command_queue::{CallCommand, CommandQueue};
use crate::response_tail::EndSink;
use crate::shared::Shared;
use crate::{Attempt, AttemptProgress, ResponseTail, Transport};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use tokio::time::{Instant, timeout_at};
use woadstall_engine::{AttemptEnd, CallResult, Input, Outcome, RequestId, SendAttempt, Time};

type BoxedAttempt<R> = Pin<Box<dyn Future<Output = AttemptProgress<R>> + Send>>;

/// Builds the response from the [`ResponseTail`] that reports the response's end.
type MakeResponse<R> = Box<dyn FnOnce(ResponseTail) -> R + Send>;

/// An attempt in flight without a response.
struct RunningAttempt<R> {
    number: u32,
    attempt: Attempt,
    future: BoxedAttempt<R>,
}

/// A response received by one of the call's attempts.
enum ReceivedResponse<R> {
    /// The complete response.
    Complete(R),
    /// A response that has started, with the number of its attempt.
    Started(u32, MakeResponse<R>),
}

/// An event that wakes up a call.
enum CallEvent<R> {
    Command(CallCommand),
    Progress(AttemptProgress<R>),
}

/// A call without a result, with at most one attempt in flight.
pub(crate) struct PendingCall<T: Transport> {
    shared: Arc<Shared<T>>,
    id: RequestId,
    commands: Arc<CommandQueue>,
    request: T::Request,
    running: Option<RunningAttempt<T::Response>>,
    /// Number of the attempt whose response has started. Until the response is handed over to the caller, the call
    /// itself reports the attempt's end.
    responding_attempt: Option<u32>,
    has_result: bool,
}

impl<T: Transport> PendingCall<T> {
    /// Creates the state of a call that has been passed to the engine.
    pub fn new(
        shared: Arc<Shared<T>>,
        id: RequestId,
        commands: Arc<CommandQueue>,
        request: T::Request,
    ) -> Self {
        Self {
            shared,
            id,
            commands,
            request,
            running: None,
            responding_attempt: None,
            has_result: false,
        }
    }

    /// Executes the engine's commands until the call has a result.
    pub async fn drive(mut self) -> CallResult<T::Response> {
        let mut received = None;
        loop {
            match self.next_event().await {
                CallEvent::Command(CallCommand::SendAttempt(send)) => self.start(&send),
                CallEvent::Command(CallCommand::CancelAttempt(number)) => {
                    if let Some(running) = self.running.take_if(|running| running.number == number)
                    {
                        self.cancel(running);
                    }
                }
                CallEvent::Command(CallCommand::Respond(result)) => {
                    return self.finish(result, received);
                }
                CallEvent::Progress(progress) => {
                    if let Some(response) = self.on_progress(progress) {
                        received = response;
                    }
                }
            }
        }
    }

    /// Returns the next event. Queued commands take precedence over progress of the attempt.
    async fn next_event(&mut self) -> CallEvent<T::Response> {
        poll_fn(|cx| {
            if let Poll::Ready(command) = self.commands.poll_next(cx) {
                return Poll::Ready(CallEvent::Command(command));
            }
            match &mut self.running {
                Some(running) => running.future.as_mut().poll(cx).map(CallEvent::Progress),
                None => Poll::Pending,
            }
        })
        .await
    }

    /// Reports progress of the running attempt to the engine and returns the response received, if any. The outer
    /// `Option` is `None` if no attempt is running.
    fn on_progress(
        &mut self,
        progress: AttemptProgress<T::Response>,
    ) -> Option<Option<ReceivedResponse<T::Response>>> {
        let attempt = self.running.take()?.number;
        match progress {
            AttemptProgress::Ended(AttemptEnd {
                outcome,
                response,
                load,
            }) => {
                let end = AttemptEnd {
                    outcome,
                    response: response.as_ref().map(|_| ()),
                    load,
                };
                self.shared.attempt_ended(self.id, attempt, end);
                Some(response.map(ReceivedResponse::Complete))
            }
            AttemptProgress::ResponseStarted(make_response) => {
                self.responding_attempt = Some(attempt);
                let input = Input::ResponseStarted {
                    id: self.id,
                    attempt,
                    response: (),
                };
                self.shared.handle(&mut self.shared.lock(), input);
                Some(Some(ReceivedResponse::Started(attempt, make_response)))
            }
        }
    }

    /// Combines the engine's result with the received response.
    fn finish(
        &mut self,
        result: CallResult<()>,
        received: Option<ReceivedResponse<T::Response>>,
    ) -> CallResult<T::Response> {
        self.has_result = true;
        match (result, received) {
            (CallResult::Served(()), Some(ReceivedResponse::Complete(response))) => {
                CallResult::Served(response)
            }
            (CallResult::Served(()), Some(ReceivedResponse::Started(attempt, make_response))) => {
                self.responding_attempt = None; // from here on, the tail reports the attempt's end
                let sink: Arc<dyn EndSink> = self.shared.clone();
                CallResult::Served(make_response(ResponseTail::new(sink, self.id, attempt)))
            }
            (CallResult::Rejected(retry_after), _) => CallResult::Rejected(retry_after),
            (CallResult::Served(()) | CallResult::Failed, _) => CallResult::Failed,
        }
    }

    /// Starts an attempt, unless discovery has listed the upstream as draining or removed since the engine chose it.
    fn start(&mut self, send: &SendAttempt) {
        if !self.shared.lock().engine.accepts_new_attempts(&send.to) {
            return self
                .shared
                .attempt_ended(self.id, send.attempt, Outcome::Moot.into());
        }
        let clock = &self.shared.clock;
        let until = clock.instant(send.until);
        let begin_by = (send.begin_by < Time::MAX).then(|| clock.instant(send.begin_by));
        let attempt = Attempt::new(send.to, clock.instant(send.deadline), begin_by);
        let future = self.shared.transport.attempt(&mut self.request, &attempt);
        let future = Box::pin(with_time_limit(until, attempt.clone(), future));
        self.running = Some(RunningAttempt {
            number: send.attempt,
            attempt,
            future,
        });
    }

    /// Cancels an attempt. The reported outcome tells whether the upstream may have executed the request.
    fn cancel(&self, running: RunningAttempt<T::Response>) {
        let never_began = running.attempt.revoke();
        let outcome = if never_began {
            Outcome::Moot
        } else {
            Outcome::Cancelled
        };
        drop(running.future);
        self.shared
            .attempt_ended(self.id, running.number, outcome.into());
    }

    /// Lets an attempt finish in a separate task, so that the engine still learns the outcome.
    fn detach(&self, running: RunningAttempt<T::Response>) {
        let (shared, id, attempt) = (self.shared.clone(), self.id, running.number);
        self.shared.runtime.spawn(async move {
            let end = match running.future.await {
                AttemptProgress::Ended(AttemptEnd { outcome, load, .. }) => AttemptEnd {
                    outcome,
                    response: None,
                    load,
                },
                AttemptProgress::ResponseStarted(_) => Outcome::Cancelled.into(),
            };
            shared.attempt_ended(id, attempt, end);
        });
    }
}

/// Ends an attempt at `until`. An attempt that has not begun by then counts as a failed connect, since the upstream
/// never received the request.
async fn with_time_limit<R>(
    until: Instant,
    attempt: Attempt,
    future: impl Future<Output = AttemptProgress<R>>,
) -> AttemptProgress<R> {
    timeout_at(until, future).await.unwrap_or_else(|_| {
        let never_began = attempt.revoke();
        let outcome = if never_began {
            Outcome::ConnectFailed
        } else {
            Outcome::Timeout
        };
        AttemptProgress::Ended(outcome.into())
    })
}

impl<T: Transport> Drop for PendingCall<T> {
    /// Runs when the caller has disconnected or has received the result: attempts in flight are cancelled, and queued
    /// attempts are not sent.
    fn drop(&mut self) {
        let commands = self.commands.take_all();
        let running = self.running.take();
        if !self.has_result {
            self.shared
                .handle(&mut self.shared.lock(), Input::CallerDisconnected(self.id));
        }
        for command in commands {
            if let CallCommand::SendAttempt(send) = command {
                self.shared
                    .attempt_ended(self.id, send.attempt, Outcome::Moot.into());
            }
        }
        if let Some(attempt) = self.responding_attempt.take() {
            self.shared
                .attempt_ended(self.id, attempt, Outcome::Cancelled.into());
        }
        let Some(running) = running else { return };
        // An attempt that has not begun, for example while its connection is being established, must not be sent for a
        // caller that has disconnected.
        if self.shared.may_cancel || running.attempt.revoke() {
            self.cancel(running);
        } else {
            self.detach(running);
        }
    }
}
