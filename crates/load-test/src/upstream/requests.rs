//! Request processing in an upstream: admission, work, calls to the next tier and the response.

use super::Upstream;
use super::responses::{Body, ConnectionAborted, FailureKind, failure, success};
use super::state::State;
use crate::headers;
use crate::lock;
use crate::rule_checker::ExecutionKey;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::sleep;
use woadstall_emulator::{Admission as ModelAdmission, CallEffect, CallGroup, chance};

/// The admission decision for an arriving request.
enum Admission {
    /// The upstream closes the connection without a response.
    Aborted,
    /// The upstream never sends a response.
    Ignored,
    /// The upstream responds with an error.
    Error,
    /// The upstream rejects the request because the queue is full.
    Rejected,
    /// A worker starts the request immediately.
    Started { number: u64 },
    /// The request waits in the queue; `started` reports the assignment of a worker.
    Queued {
        number: u64,
        started: oneshot::Receiver<()>,
    },
}

impl Upstream {
    pub(super) async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, ConnectionAborted> {
        let received = Instant::now();
        let (head, body) = request.into_parts();
        let content_type = headers::text(&head.headers, "content-type");
        let is_grpc = content_type.is_some_and(|kind| kind.starts_with("application/grpc"));
        let class = self.class_of(&head);
        body.collect().await.map_err(|_| ConnectionAborted)?;
        let (number, started) = match self.admit(class) {
            Admission::Aborted => return Err(ConnectionAborted),
            Admission::Ignored => return std::future::pending().await,
            Admission::Error => return Ok(failure(is_grpc, FailureKind::Error)),
            Admission::Rejected => return Ok(failure(is_grpc, FailureKind::Rejected)),
            Admission::Started { number } => (number, None),
            Admission::Queued { number, started } => (number, Some(started)),
        };
        self.wait_until_resumed().await;
        let slot = WorkerSlot::new(&self, number, started.is_none());
        let all_served = self.work(slot, started, class, &head, received).await?;
        self.record_execution(class, &head);
        let (is_lost, is_reset) = self.draw_response_faults();
        match (is_lost, is_reset) {
            (true, _) => std::future::pending().await,
            (false, true) => Err(ConnectionAborted),
            (false, false) if !all_served => Ok(failure(is_grpc, FailureKind::Error)),
            (false, false) => Ok(success(is_grpc)),
        }
    }

    /// Returns the class of a request, taken from the class header or else from the last segment of the path.
    fn class_of(&self, head: &Parts) -> usize {
        let path_end = head.uri.path().rsplit('/').next().unwrap_or_default();
        let name = headers::text(&head.headers, headers::CALL_CLASS).unwrap_or(path_end);
        self.scenario.class(name).unwrap_or(0)
    }

    /// Decides whether a request of a class is started, queued, rejected or hit by a fault.
    fn admit(&self, class: usize) -> Admission {
        let (now, mut state) = (self.now(), lock(&self.state));
        state.attempts += 1;
        state.counts.received += 1;
        if let Some(since) = state.drained_since {
            self.rules
                .record_request_while_draining(&state.model.name, since.elapsed());
        }
        let mean_service_ns = self.scenario.class[class].service.mean();
        let warm_rate = f64::from(state.model.workers()) * 1e9 / mean_service_ns;
        if let Some(load_fraction) = state.model.count_cold_arrival(now, warm_rate) {
            if !std::mem::replace(&mut state.model.overloaded, true) {
                self.rules.record_overload(&state.model.name, load_fraction);
            }
            return Admission::Aborted;
        }
        // Half of the connection resets happen before the work, the other half after the work.
        let reset_probability = state.model.active_faults.resets / 2.0;
        if chance(&mut state.model.rng, reset_probability) {
            return Admission::Aborted;
        }
        if state.model.active_faults.unresponsive {
            return Admission::Ignored;
        }
        if state.model.draw_error(class) {
            return Admission::Error;
        }
        let number = state.next_request;
        state.next_request += 1;
        match state.model.accept(number) {
            ModelAdmission::Full => {
                state.counts.rejected += 1;
                Admission::Rejected
            }
            ModelAdmission::Begun => Admission::Started { number },
            ModelAdmission::Queued => {
                let (notification, started) = oneshot::channel();
                state.queued.insert(number, notification);
                Admission::Queued { number, started }
            }
        }
    }

    /// Waits for a worker, does the work and makes the calls to the next tier. Returns whether all calls to the next
    /// tier were served.
    async fn work(
        &self,
        mut slot: WorkerSlot<'_>,
        started: Option<oneshot::Receiver<()>>,
        class: usize,
        head: &Parts,
        received: Instant,
    ) -> Result<bool, ConnectionAborted> {
        if let Some(started) = started {
            started.await.map_err(|_| ConnectionAborted)?;
            slot.started = true;
        }
        let service_ns = {
            let (now, mut state) = (self.now(), lock(&self.state));
            state
                .model
                .service(now, &self.scenario.class[class].service)
        };
        sleep(Duration::from_nanos(service_ns)).await;
        self.wait_until_resumed().await;
        let all_served = self.call_next_tier(class, &head.headers, received).await;
        self.wait_until_resumed().await;
        Ok(all_served)
    }

    fn record_execution(&self, class: usize, head: &Parts) {
        let Some(id) = headers::text(&head.headers, headers::CALL_ID) else {
            return;
        };
        let class = &self.scenario.class[class];
        let group = {
            let mut state = lock(&self.state);
            state.counts.executed += 1;
            match class.group {
                CallGroup::All => 0,
                CallGroup::Zone => u32::from(state.model.zone),
                CallGroup::Cell => u32::from(state.model.cell),
            }
        };
        let key = headers::text(&head.headers, headers::IDEMPOTENCY_KEY);
        let key = key.filter(|_| class.effect == CallEffect::Keyed);
        let key = key.map(|key| ExecutionKey {
            key,
            group,
            window: Duration::from_nanos(class.window.0),
        });
        self.rules.record_execution(id, class.effect, key);
    }

    /// Draws whether the response is lost, and whether the connection is reset.
    fn draw_response_faults(&self) -> (bool, bool) {
        let mut state = lock(&self.state);
        let (loss_probability, reset_probability) = (
            state.model.active_faults.lost,
            state.model.active_faults.resets / 2.0,
        );
        let is_lost = chance(&mut state.model.rng, loss_probability);
        let is_reset = chance(&mut state.model.rng, reset_probability);
        (is_lost, is_reset)
    }
}

/// A worker or a position in the queue held by a request. Dropping the slot gives the worker to the next request.
struct WorkerSlot<'a> {
    upstream: &'a Upstream,
    incarnation: u32,
    number: u64,
    /// Whether a worker has started the request.
    started: bool,
}

impl<'a> WorkerSlot<'a> {
    fn new(upstream: &'a Upstream, number: u64, started: bool) -> Self {
        Self {
            upstream,
            incarnation: lock(&upstream.state).model.process,
            number,
            started,
        }
    }
}

impl Drop for WorkerSlot<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.upstream.state);
        if state.model.process != self.incarnation || !state.model.alive {
            return; // the process that owned the slot was killed or restarted
        }
        // A request dropped while queued holds no worker, and the model skips the request at its turn. If the entry is
        // already gone, a worker has just been assigned and must be given to the next request.
        if !self.started && state.queued.remove(&self.number).is_some() {
            return;
        }
        let State { model, queued, .. } = &mut *state;
        // Queued requests whose caller has disconnected are skipped.
        model.next_request(|next| {
            queued
                .remove(&next)
                .is_some_and(|notification| notification.send(()).is_ok())
        });
    }
}
