//! Forwards streamed responses as they arrive and resumes a broken stream at another upstream if
//! the route is resumable.

use super::attempt::{
    AttemptResult, ForwardedRequest, StreamingResponse, attempt, release_connection,
};
use super::event_buffer::EventBuffer;
use super::pool::PooledConnection;
use super::response::ResponseBody;
use super::retry::RetryState;
use super::state::Front;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{HeaderName, HeaderValue};
use std::io::{self, ErrorKind};
use std::ops::ControlFlow;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::timeout_at;
use woadstall_request_reports::{AttemptOutcome, Cause};
use woadstall_routing::Outcome;

/// Request header with the id of the last event that the client has received (WHATWG HTML 9.2.4).
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Maximum number of chunks queued for a client.
const MAX_QUEUED_CHUNKS: usize = 16;

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
    let (client, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let stream = Stream {
        front: front.clone(),
        event_buffer: retries.route.resumable.then(EventBuffer::default),
        retries,
        request,
        client,
    };
    tokio::spawn(stream.run(response));
    ResponseBody::Stream(receiver)
}

/// A streamed response to one client. Its data may come from several upstreams in turn.
struct Stream {
    front: Arc<Front>,
    retries: RetryState,
    request: ForwardedRequest,
    /// Present if the route is resumable. The client then receives complete events only.
    event_buffer: Option<EventBuffer>,
    client: mpsc::Sender<io::Result<Bytes>>,
}

impl Stream {
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
            let frame = tokio::select! {
                biased;
                () = self.client.closed() => return StreamEnd::ClientDisconnected,
                frame = timeout_at(deadline, response.body.frame()) => frame,
            };
            let data = match frame {
                Err(_) => return StreamEnd::TimedOut,
                Ok(None) => return StreamEnd::Complete,
                Ok(Some(Err(_))) => return StreamEnd::Truncated,
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            response.in_flight.record_data();
            self.retries.record_data();
            let data = match &mut self.event_buffer {
                Some(buffer) => buffer.push(&data),
                None => data,
            };
            if data.is_empty() {
                continue;
            }
            match timeout_at(deadline, self.client.send(Ok(data))).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return StreamEnd::ClientDisconnected,
                Err(_) => return StreamEnd::TimedOut,
            }
        }
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
        if let Some(buffer) = &mut self.event_buffer {
            let incomplete = buffer.take_incomplete();
            if !incomplete.is_empty() {
                self.client.send(Ok(incomplete)).await.ok();
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
        self.client.send(Err(kind.into())).await.ok();
    }

    /// Requests the events that follow the last complete event from another upstream. Returns
    /// `None` if no upstream can continue the stream.
    async fn resume(&mut self) -> Option<StreamingResponse> {
        let buffer = self.event_buffer.as_mut()?;
        buffer.take_incomplete();
        if let Some(id) = buffer.last_id() {
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
