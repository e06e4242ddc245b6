//! Forwards streamed responses as they arrive and resumes a broken stream at another upstream if
//! the route is resumable.

use super::attempt::{
    AttemptResult, ForwardedRequest, StreamingResponse, attempt, release_connection,
};
use super::client_queue::{ClientDisconnected, ClientQueue};
use super::pool::PooledConnection;
use super::response::ResponseBody;
use super::resumption::{NotResumable, Resumption};
use super::retry::RetryState;
use super::state::Front;
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use std::io::ErrorKind;
use std::ops::ControlFlow;
use std::sync::Arc;
use tokio::time::timeout_at;
use woadstall_request_reports::{AttemptOutcome, Cause};
use woadstall_routing::Outcome;

/// Request header with the id of the last event that the client has received (WHATWG HTML 9.2.4).
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Reason why copying a response body has ended.
enum StreamEnd {
    Complete,
    Truncated,
    ClientDisconnected,
    TimedOut,
}

/// Spawns a task that forwards a response whose head has arrived. Returns the body of the response
/// to the client.
pub(super) fn forward_stream(
    front: &Arc<Front>,
    retries: RetryState,
    request: ForwardedRequest,
    response: StreamingResponse,
) -> ResponseBody {
    let (client, receiver) = ClientQueue::new(&front.memory.response_bodies);
    let mut stream = Stream {
        front: front.clone(),
        resumption: None,
        retries,
        request,
        client,
    };
    stream.prepare_resumption();
    tokio::spawn(stream.run(response));
    ResponseBody::Stream(receiver)
}

/// A streamed response to one client. Its data may come from several upstreams in turn.
struct Stream {
    front: Arc<Front>,
    retries: RetryState,
    request: ForwardedRequest,
    /// Present if the stream can be resumed. The client then receives complete events only.
    resumption: Option<Resumption>,
    client: ClientQueue,
}

impl Stream {
    /// Keeps what a resumption needs if the route is resumable. Otherwise, the body of the request is needed no longer:
    /// the connection keeps what it has not written yet.
    fn prepare_resumption(&mut self) {
        if !self.retries.route.resumable {
            self.request.body = Bytes::new();
            return;
        }
        match Resumption::new(&self.front.memory, &self.request.body) {
            Ok(resumption) => self.resumption = Some(resumption),
            Err(reason) => self.give_up_resumption(reason),
        }
    }

    fn give_up_resumption(&mut self, reason: NotResumable) {
        log::info!(
            "stream_not_resumable route={} reason={reason} body_bytes={}",
            self.retries.route.name,
            self.request.body.len()
        );
        self.resumption = None;
        self.request.body = Bytes::new();
        self.retries.record_not_resumable();
    }

    async fn run(mut self, mut response: StreamingResponse) {
        loop {
            let end = self.copy_body(&mut response).await;
            // The broken connection is kept, and counted against the connection limits, until the
            // next attempt has ended.
            let _broken = match self.end_attempt(end, response).await {
                ControlFlow::Continue(connection) => connection,
                ControlFlow::Break(()) => return,
            };
            let Some(next) = self.resume().await else {
                self.retries.fail(Cause::Failed);
                self.send_error(ErrorKind::ConnectionReset).await;
                return;
            };
            response = next;
        }
    }

    /// Copies a response body to the client until the body ends, the client disconnects or the
    /// deadline passes.
    async fn copy_body(&mut self, response: &mut StreamingResponse) -> StreamEnd {
        let deadline = self.request.deadline;
        loop {
            let next = tokio::select! {
                biased;
                () = self.client.closed() => return StreamEnd::ClientDisconnected,
                next = timeout_at(deadline, response.next_data()) => next,
            };
            let data = match next {
                Err(_) => return StreamEnd::TimedOut,
                Ok(None) => return StreamEnd::Complete,
                Ok(Some(Err(_))) => return StreamEnd::Truncated,
                Ok(Some(Ok(data))) => data,
            };
            response.in_flight.record_data();
            self.retries.record_data();
            let data = self.data_to_forward(data);
            if data.is_empty() {
                continue;
            }
            match timeout_at(deadline, self.client.send(data)).await {
                Ok(Ok(())) => {}
                Ok(Err(ClientDisconnected)) => return StreamEnd::ClientDisconnected,
                Err(_) => return StreamEnd::TimedOut,
            }
        }
    }

    /// Returns what the client may receive now that `data` has arrived.
    fn data_to_forward(&mut self, data: Bytes) -> Bytes {
        let Some(resumption) = &mut self.resumption else {
            return data;
        };
        resumption.push(&data).unwrap_or_else(|unsent| {
            self.give_up_resumption(NotResumable::EventSize);
            unsent
        })
    }

    /// Records the outcome of an attempt. Returns the broken connection if the response was
    /// truncated, so that the stream may be resumed.
    async fn end_attempt(
        &mut self,
        end: StreamEnd,
        response: StreamingResponse,
    ) -> ControlFlow<(), PooledConnection> {
        match end {
            StreamEnd::Complete => {
                self.complete(response).await;
                ControlFlow::Break(())
            }
            StreamEnd::ClientDisconnected => ControlFlow::Break(()),
            StreamEnd::TimedOut => {
                response.in_flight.end(Outcome::TimedOut);
                self.retries.end_attempt(AttemptOutcome::TimedOut);
                self.retries.fail(Cause::TimedOut);
                self.send_error(ErrorKind::TimedOut).await;
                ControlFlow::Break(())
            }
            StreamEnd::Truncated => {
                let upstream = &response.in_flight.target.id;
                log::info!("stream_truncated upstream={upstream}");
                response.in_flight.end(Outcome::ConnectionError);
                self.retries.end_attempt(AttemptOutcome::Truncated);
                ControlFlow::Continue(response.connection)
            }
        }
    }

    async fn complete(&mut self, response: StreamingResponse) {
        if let Some(resumption) = &mut self.resumption {
            let incomplete = resumption.events.take_incomplete();
            if !incomplete.is_empty() {
                self.client.send(incomplete).await.ok();
            }
        }
        let StreamingResponse {
            connection,
            in_flight,
            keep_alive,
            ..
        } = response;
        release_connection(&self.front, connection, &in_flight, keep_alive);
        in_flight.end(Outcome::Answered);
        self.retries.end_attempt(AttemptOutcome::Completed);
        self.retries.complete();
    }

    async fn send_error(&self, kind: ErrorKind) {
        self.client.fail(kind).await;
    }

    /// Requests the events that follow the last complete event from another upstream. Returns
    /// `None` if no upstream can continue the stream.
    async fn resume(&mut self) -> Option<StreamingResponse> {
        let events = &mut self.resumption.as_mut()?.events;
        events.take_incomplete();
        if let Some(id) = events.last_id() {
            let id = HeaderValue::from_bytes(id).ok()?;
            self.request.head.headers.insert(LAST_EVENT_ID, id);
        }
        while let Ok(target) = self.retries.next_target(&self.front) {
            let result = attempt(&self.front, &self.request, target).await;
            self.retries.record(&result);
            match result {
                AttemptResult::Streaming(response) => return Some(*response),
                AttemptResult::TimedOut => return None,
                AttemptResult::NotSent
                | AttemptResult::Rejected
                | AttemptResult::Failed
                | AttemptResult::Complete(..) => {}
            }
        }
        None
    }
}
