//! A caller's connection, from its first byte to its close.

use super::Server;
use super::request::class_in_path;
use super::response::{CallerResponse, rejection};
use crate::net::metrics::StreamingRequest;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Version};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};
use woadstall_inbound::{ConnectionState, MAX_HEAD_BYTES, RequestGate, lock};
use woadstall_transport::SharedStream;

/// How often a connection is looked at that is to be closed but has a request open, or a part of one.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// What a surplus caller is advised to wait before a retry, and one whose body is beyond the memory.
pub const REJECTION_RETRY_AFTER: Duration = Duration::from_millis(500);
/// hyper's buffer for what a caller sends, in bytes: beyond a head, it only makes bodies come in larger chunks.
const READ_BUFFER_BYTES: usize = 2 * MAX_HEAD_BYTES;

/// What the server knows of a caller's connection, and may ask of it.
pub struct CallerConnection {
    /// Beyond the connections that may be served: its requests are rejected at once.
    is_surplus: bool,
    stream: SharedStream,
    /// How far it is with its requests.
    pub state: Arc<Mutex<ConnectionState>>,
    /// It has been asked to close: its responses end the connection, unless another request has come already.
    pub is_draining: AtomicBool,
    /// Its present response ends where the connection does.
    is_unframed: AtomicBool,
    /// It is to be closed between requests.
    pub close: Notify,
    /// It is to be closed as it is.
    pub abort: Notify,
}

impl CallerConnection {
    /// A connection that has just been accepted, and the gate that hyper reads it through.
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

    /// Whether no request is open, and nothing of one has come.
    fn is_idle(&self) -> bool {
        lock(&self.state).is_idle() && self.stream.has_no_pending_input()
    }

    /// Whether it ever had a request, and since when it is idle; `None` while a request is open or has begun to come.
    pub fn idle(&self) -> Option<(bool, Instant)> {
        lock(&self.state).idle()
    }
}

/// A caller's connection among those of the server, until it is dropped.
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

/// How a connection came to its end.
enum ConnectionEnd {
    /// The caller has closed it, or it was closed between requests.
    Graceful,
    /// In the midst of a request or of a response.
    Aborted,
}

impl ConnectionEnd {
    fn of(end: &hyper::Result<()>) -> Self {
        match end {
            Ok(()) => Self::Graceful,
            Err(_) => Self::Aborted,
        }
    }
}

impl ConnectionSlot {
    /// Serves the connection to its end and closes it.
    pub async fn serve(self, gate: RequestGate, closing: watch::Receiver<bool>) {
        let ended = self.drive(gate, closing).await;
        let (server, caller) = (self.server.clone(), self.connection.clone());
        drop(self);
        if lock(&caller.state).has_ended() {
            return; // the caller has disconnected, and waits for nothing
        }
        if matches!(ended, ConnectionEnd::Aborted) && caller.is_unframed.load(Ordering::Relaxed) {
            // A graceful close would make what came of the response look complete.
            caller.stream.reset_on_close().ok();
            return;
        }
        server.linger(caller.stream.clone());
    }

    async fn drive(&self, gate: RequestGate, mut closing: watch::Receiver<bool>) -> ConnectionEnd {
        let service =
            service_fn(|request| async { Ok::<_, Infallible>(self.respond(request).await) });
        let connection = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .keep_alive(!self.connection.is_surplus)
            .serve_connection(TokioIo::new(gate), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            biased; // a request that has come is read before its connection is closed between requests
            end = connection.as_mut() => return ConnectionEnd::of(&end),
            () = self.connection.abort.notified() => return ConnectionEnd::Aborted,
            _ = closing.wait_for(|close| *close) => {}
            () = self.connection.close.notified() => {}
        }
        // To close on a caller that is writing would reject its request, and what it has sent ahead was accepted.
        while !self.connection.is_idle() {
            tokio::select! {
                end = connection.as_mut() => return ConnectionEnd::of(&end),
                () = self.connection.abort.notified() => return ConnectionEnd::Aborted,
                () = sleep(IDLE_CHECK_INTERVAL) => {}
            }
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            end = connection => ConnectionEnd::of(&end),
            () = self.connection.abort.notified() => ConnectionEnd::Aborted,
        }
    }

    /// The response to a request; counts it, and decides whether it ends the connection.
    async fn respond(&self, request: Request<Incoming>) -> CallerResponse {
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
            self.count(class, &mut response, deadline);
        }
        let mut state = lock(&self.connection.state);
        if let Some(deadline) = deadline {
            state.response_progressed(deadline, response.body().is_complete());
        }
        if state.is_last_request()
            || state.has_both_lengths()
            || self.is_draining() && !state.has_pipelined_bytes()
        {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        state.request_answered();
        response
    }

    fn is_draining(&self) -> bool {
        self.server.is_draining() || self.connection.is_draining.load(Ordering::Relaxed)
    }

    /// Counts a response, at once or at its end.
    fn count(&self, class: String, response: &mut CallerResponse, deadline: Option<Instant>) {
        let metrics = &self.server.metrics;
        match deadline.filter(|_| !response.body().is_complete()) {
            Some(deadline) => {
                let request = StreamingRequest::new(metrics.clone(), class);
                response
                    .body_mut()
                    .track_stream(request, deadline, self.connection.state.clone());
            }
            None => metrics.count_response(&class, response.status()),
        }
    }
}
