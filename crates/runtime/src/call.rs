//! A call that drives its own attempts, and the rest of an answer that has begun.

use crate::balance::Shared;
use crate::slot::{Order, Slot};
use crate::{Attempt, Step, Transport};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use tokio::time::{Instant, timeout_at};
use woadstall_engine::{
    AttemptEnd, CallResult, Input, Outcome, RequestId, SendAttempt as SendOrder, Time,
};

type Running<A> = Pin<Box<dyn Future<Output = Step<A>> + Send>>;

/// An attempt that is out.
struct Outgoing<A> {
    number: u32,
    attempt: Attempt,
    running: Running<A>,
}

/// A call and the attempt that it has out.
pub(crate) struct Held<T: Transport> {
    shared: Arc<Shared<T>>,
    id: RequestId,
    slot: Arc<Slot>,
    request: T::Request,
    running: Option<Outgoing<T::Answer>>,
    /// The attempt whose answer has begun, until that is handed over: its end is this call's to tell.
    begun: Option<u32>,
    answered: bool,
}

impl<T: Transport> Held<T> {
    /// A call that the engine has taken.
    pub(crate) fn new(
        shared: Arc<Shared<T>>,
        id: RequestId,
        slot: Arc<Slot>,
        request: T::Request,
    ) -> Self {
        Self {
            shared,
            id,
            slot,
            request,
            running: None,
            begun: None,
            answered: false,
        }
    }

    /// Does what the engine says until there is an answer.
    pub(crate) async fn drive(mut self) -> CallResult<T::Answer> {
        let mut brought = None;
        loop {
            let event = poll_fn(|cx| {
                if let Poll::Ready(order) = self.slot.poll_next(cx) {
                    return Poll::Ready(Ok(order));
                }
                match &mut self.running {
                    Some(out) => out.running.as_mut().poll(cx).map(Err),
                    None => Poll::Pending,
                }
            });
            match event.await {
                Ok(Order::Send(send)) => self.start(&send),
                Ok(Order::Withdraw(attempt)) => {
                    if let Some(out) = self.running.take_if(|out| out.number == attempt) {
                        self.withdraw(out);
                    }
                }
                Ok(Order::Answer(verdict)) => {
                    self.answered = true;
                    return match (verdict, brought) {
                        (CallResult::Served(()), Some(Brought::Whole(answer))) => {
                            CallResult::Served(answer)
                        }
                        (CallResult::Served(()), Some(Brought::Begun(attempt, make))) => {
                            self.begun = None; // its end is the tail's to tell from here on
                            let shared: Arc<dyn Ends> = self.shared.clone();
                            CallResult::Served(make(Tail {
                                ends: Some((shared, self.id, attempt)),
                            }))
                        }
                        (CallResult::Rejected(after), _) => CallResult::Rejected(after),
                        (CallResult::Served(()) | CallResult::Failed, _) => CallResult::Failed,
                    };
                }
                Err(Step::Ended(AttemptEnd {
                    outcome,
                    response: answer,
                    load,
                })) => {
                    let Some(Outgoing {
                        number: attempt, ..
                    }) = self.running.take()
                    else {
                        continue;
                    };
                    let served = answer.is_some().then_some(());
                    brought = answer.map(Brought::Whole);
                    self.shared.ended(
                        self.id,
                        attempt,
                        AttemptEnd {
                            outcome,
                            response: served,
                            load,
                        },
                    );
                }
                Err(Step::Started(make)) => {
                    let Some(Outgoing {
                        number: attempt, ..
                    }) = self.running.take()
                    else {
                        continue;
                    };
                    self.begun = Some(attempt);
                    brought = Some(Brought::Begun(attempt, make));
                    let begun = Input::ResponseStarted {
                        id: self.id,
                        attempt,
                        response: (),
                    };
                    self.shared.tell(&mut self.shared.lock(), begun);
                }
            }
        }
    }

    /// Makes an attempt, unless its upstream was listed as draining or gone since it was decided on.
    fn start(&mut self, send: &SendOrder) {
        if !self.shared.lock().engine.takes_new(&send.to) {
            return self
                .shared
                .ended(self.id, send.attempt, Outcome::Moot.into());
        }
        let clock = &self.shared.clock;
        let until = clock.instant(send.until);
        let begin_by = (send.begin_by < Time::MAX).then(|| clock.instant(send.begin_by));
        let attempt = Attempt::new(send.to, clock.instant(send.deadline), begin_by);
        let made = self.shared.transport.attempt(&mut self.request, &attempt);
        let running = Box::pin(limited(until, attempt.clone(), made));
        self.running = Some(Outgoing {
            number: send.attempt,
            attempt,
            running,
        });
    }

    /// Withdraws an attempt, and tells whether it can have run.
    fn withdraw(&self, out: Outgoing<T::Answer>) {
        let outcome = if out.attempt.revoke() {
            Outcome::Moot
        } else {
            Outcome::Cancelled
        };
        drop(out.running);
        self.shared.ended(self.id, out.number, outcome.into());
    }
}

/// An attempt that is given up at a time. One that has not begun by then never ran.
async fn limited<A>(
    until: Instant,
    attempt: Attempt,
    made: impl Future<Output = Step<A>>,
) -> Step<A> {
    let ended = timeout_at(until, made).await;
    ended.unwrap_or_else(|_| {
        let outcome = if attempt.revoke() {
            Outcome::ConnectFailed
        } else {
            Outcome::Timeout
        };
        Step::Ended(outcome.into())
    })
}

/// The answer that a call's own attempt brought.
enum Brought<A> {
    Whole(A),
    Begun(u32, Box<dyn FnOnce(Tail) -> A + Send>),
}

impl<T: Transport> Drop for Held<T> {
    /// The caller has left, or has its answer: what is out is withdrawn, and what was to be sent is not.
    fn drop(&mut self) {
        let orders = self.slot.take_all();
        let left_out = self.running.take();
        if !self.answered {
            self.shared
                .tell(&mut self.shared.lock(), Input::CallerDisconnected(self.id));
        }
        for order in orders {
            if let Order::Send(send) = order {
                self.shared
                    .ended(self.id, send.attempt, Outcome::Moot.into());
            }
        }
        if let Some(attempt) = self.begun.take() {
            self.shared
                .ended(self.id, attempt, Outcome::Cancelled.into());
        }
        let Some(out) = left_out else { return };
        // What has not begun is not to begin for a caller that has left, as when its connection still comes up.
        if self.shared.may_cancel || out.attempt.revoke() {
            return self.withdraw(out);
        }
        let (shared, id, attempt) = (self.shared.clone(), self.id, out.number);
        self.shared.runtime.spawn(async move {
            let ended = match out.running.await {
                Step::Ended(AttemptEnd { outcome, load, .. }) => AttemptEnd {
                    outcome,
                    response: None,
                    load,
                },
                Step::Started(_) => Outcome::Cancelled.into(),
            };
            shared.ended(id, attempt, ended);
        });
    }
}

/// Takes the ends of attempts whose answers are read elsewhere.
trait Ends: Send + Sync {
    fn end(self: Arc<Self>, id: RequestId, attempt: u32, outcome: Outcome);
}

impl<T: Transport> Ends for Shared<T> {
    fn end(self: Arc<Self>, id: RequestId, attempt: u32, outcome: Outcome) {
        self.ended(id, attempt, outcome.into());
    }
}

/// The rest of an answer that has begun. It tells the attempt's end once; dropped, that it was withdrawn.
pub struct Tail {
    ends: Option<(Arc<dyn Ends>, RequestId, u32)>,
}

impl Tail {
    /// The answer has ended so.
    pub fn end(mut self, outcome: Outcome) {
        self.tell(outcome);
    }

    fn tell(&mut self, outcome: Outcome) {
        if let Some((ends, id, attempt)) = self.ends.take() {
            ends.end(id, attempt, outcome);
        }
    }
}

impl Drop for Tail {
    fn drop(&mut self) {
        self.tell(Outcome::Cancelled);
    }
}
