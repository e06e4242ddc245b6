//! Serves a caller's connection until it is closed.

use super::Server;
use super::request::class_in_path;
use super::response::{CallerResponse, ResponseBody, rejection};
use crate::net::metrics::StreamingRequest;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};
use woadstall_inbound::{ConnectionState, MAX_HEAD_BYTES, RequestGate, TrackedBody, lock};
use woadstall_transport::SharedStream;

/// Interval at which a connection that should close, but has an open or partly received request, is checked for
/// idleness.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// `Retry-After` for surplus callers, and for callers whose request body exceeds the memory limit.
pub const REJECTION_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Size of hyper's read buffer, in bytes. Space beyond the size of a head only allows larger chunks of bodies.
const READ_BUFFER_BYTES: usize = 2 * MAX_HEAD_BYTES;

/// The server's state of a caller's connection.
pub struct CallerConnection {
    /// Whether the connection exceeds the maximum number, so that its requests are rejected at once.
    is_surplus: bool,
    stream: SharedStream,
    /// State of the connection's requests, maintained by the request gate.
    pub state: Arc<Mutex<ConnectionState>>,
    /// Whether the connection should close. Responses then carry `Connection: close`, unless bytes of another request
    /// have already arrived.
    pub is_draining: AtomicBool,
    /// Whether the end of the current response is marked only by the end of the connection.
    is_unframed: AtomicBool,
    /// Notified to close the connection between requests.
    pub close: Notify,
    /// Notified to abort the connection immediately.
    pub abort: Notify,
}

impl CallerConnection {
    /// Creates the state of a new connection, and the gate through which hyper reads from it.
    pub fn new(is_surplus: bool, stream: SharedStream) -> (Arc<Self>, RequestGate) {
        let (gate, state) = RequestGate::new(stream.clone());
        let caller = Self {
            is_surplus,
            stream,
            state,
            is_draining: AtomicBool::new(false),
            is_unframed: AtomicBool::new(false),
            close: Notify::new(),
            abort: Notify::new(),
        };
        (Arc::new(caller), gate)
    }

    /// Whether no request is open, and no part of a request has been received or waits in the kernel.
    fn is_idle(&self) -> bool {
        lock(&self.state).is_idle() && self.stream.has_no_pending_input()
    }

    /// Returns whether the connection has served a request, and the start of its idle time; `None` while a request is
    /// open or has partly arrived.
    pub fn idle(&self) -> Option<(bool, Instant)> {
        lock(&self.state).idle()
    }
}

/// Registration of a caller's connection at the server; dropping the slot removes the connection.
pub struct ConnectionSlot {
    pub server: Arc<Server>,
    pub number: u64,
    pub connection: Arc<CallerConnection>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.server.remove_connection(self.number);
    }
}

/// The way in which a connection ended.
enum ConnectionEnd {
    /// The caller closed the connection, or the server closed it between requests.
    Graceful,
    /// The connection ended during a request or a response.
    Aborted,
}

impl ConnectionEnd {
    fn from_result(result: &hyper::Result<()>) -> Self {
        match result {
            Ok(()) => Self::Graceful,
            Err(_) => Self::Aborted,
        }
    }
}

impl ConnectionSlot {
    /// Serves the connection until it ends, and then closes it.
    pub async fn serve(self, gate: RequestGate, closing: watch::Receiver<bool>) {
        let end = self.drive(gate, closing).await;
        let (server, caller) = (self.server.clone(), self.connection.clone());
        drop(self);
        if lock(&caller.state).has_ended() {
            return; // the caller has disconnected, so no lingering close is needed
        }
        if matches!(end, ConnectionEnd::Aborted) && caller.is_unframed.load(Ordering::Relaxed) {
            // After a graceful close, the truncated response would look complete.
            caller.stream.reset_on_close().ok();
            return;
        }
        server.linger(caller.stream.clone());
    }

    /// Runs the HTTP connection until it ends. After `closing` becomes true or the connection is notified to close, the
    /// connection ends as soon as it is idle.
    async fn drive(&self, gate: RequestGate, mut closing: watch::Receiver<bool>) -> ConnectionEnd {
        let service =
            service_fn(|request| async { Ok::<_, Infallible>(self.respond(request).await) });
        let connection = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .keep_alive(!self.connection.is_surplus)
            .serve_connection(TokioIo::new(gate), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            biased; // a request that has arrived is read before the connection is closed between requests
            result = connection.as_mut() => return ConnectionEnd::from_result(&result),
            () = self.connection.abort.notified() => return ConnectionEnd::Aborted,
            _ = closing.wait_for(|close| *close) => {}
            () = self.connection.close.notified() => {}
        }
        // Closing while the caller is writing would reject its request, and pipelined requests have been accepted.
        while !self.connection.is_idle() {
            tokio::select! {
                result = connection.as_mut() => return ConnectionEnd::from_result(&result),
                () = self.connection.abort.notified() => return ConnectionEnd::Aborted,
                () = sleep(IDLE_CHECK_INTERVAL) => {}
            }
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            result = connection => ConnectionEnd::from_result(&result),
            () = self.connection.abort.notified() => ConnectionEnd::Aborted,
        }
    }

    /// Returns the response to a request, counts the response, and decides whether the connection closes after it.
    async fn respond(&self, request: Request<Incoming>) -> Response<TrackedBody<ResponseBody>> {
        lock(&self.connection.state).request_started();
        let (class, version) = (
            self.server.known_class(class_in_path(&request)),
            request.version(),
        );
        let (mut response, deadline) = match self.connection.is_surplus {
            true => (rejection(REJECTION_RETRY_AFTER), None),
            false => self.server.respond(request, &self.connection.state).await,
        };
        if !response.body().is_complete() {
            let is_unframed =
                version < Version::HTTP_11 && response.body().size_hint().exact().is_none();
            self.connection
                .is_unframed
                .store(is_unframed, Ordering::Relaxed);
        }
        if let Some(class) = class {
            self.count_response(class, &mut response);
        }
        let mut state = lock(&self.connection.state);
        state.response_started(deadline);
        if state.is_last_request()
            || state.has_both_lengths()
            || self.is_draining() && !state.has_pipelined_bytes()
        {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        drop(state);
        response.map(|body| TrackedBody::new(body, self.connection.state.clone()))
    }

    fn is_draining(&self) -> bool {
        self.server.is_draining() || self.connection.is_draining.load(Ordering::Relaxed)
    }

    /// Counts a response: immediately if it is complete, otherwise when its stream ends.
    fn count_response(&self, class: String, response: &mut CallerResponse) {
        let metrics = &self.server.metrics;
        if response.body().is_complete() {
            metrics.count_response(&class, response.status());
        } else {
            let request = StreamingRequest::new(metrics.clone(), class);
            response.body_mut().track_stream(request);
        }
    }
}
