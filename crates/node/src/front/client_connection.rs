//! One connection of a client: its requests, time-outs and close.

use super::forward::handle_request;
use super::response::ClientResponse;
use super::state::Front;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{interval, timeout};
use woadstall_control::configuration::Limits;
use woadstall_inbound::{ConnectionState, LingeringConnections, RequestGate, lock};
use woadstall_socket_options::enable_dead_peer_detection;
use woadstall_transport::SharedStream;

/// How often time-outs of a connection are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How often a connection that is to be closed is checked for being idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How much longer than the configured time-outs a connection is kept.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// How long data sent to a client may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of hyper's read buffer.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Closed connections at most that wait for their client to close too.
const MAX_LINGERING: usize = 64;

/// How a connection has ended.
enum ConnectionEnd {
    /// In order: the client has got all that was meant for it.
    Orderly,
    /// Broken, or with a response cut off.
    Aborted,
}

/// A connection of a client.
pub(super) struct ClientConnection<'a> {
    front: &'a Arc<Front>,
    lingering: &'a Arc<LingeringConnections>,
}

impl<'a> ClientConnection<'a> {
    /// A connection that is not served yet.
    pub fn new(front: &'a Arc<Front>, lingering: &'a Arc<LingeringConnections>) -> Self {
        Self { front, lingering }
    }

    /// Serves the connection until it ends. `closing` becomes true when it is to be closed once it
    /// is idle.
    ///
    /// # Errors
    ///
    /// A response was cut off, and the kernel refuses to have the connection reset.
    pub async fn serve(&self, stream: TcpStream, closing: watch::Receiver<bool>) -> io::Result<()> {
        enable_dead_peer_detection(&stream, USER_TIMEOUT);
        let stream = SharedStream::new(stream);
        let (gate, seen) = RequestGate::new(stream.clone());
        match self.drive(gate, &seen, &stream, closing).await {
            // A response that was cut off must not look complete.
            ConnectionEnd::Aborted => stream.reset_on_close()?,
            ConnectionEnd::Orderly if lock(&seen).has_ended() => {}
            ConnectionEnd::Orderly => {
                self.lingering.close(stream);
                self.lingering.keep_at_most(MAX_LINGERING);
            }
        }
        Ok(())
    }

    async fn drive(
        &self,
        gate: RequestGate,
        seen: &Arc<Mutex<ConnectionState>>,
        stream: &SharedStream,
        mut closing: watch::Receiver<bool>,
    ) -> ConnectionEnd {
        let service =
            service_fn(|request| async { Ok::<_, Infallible>(self.respond(request, seen).await) });
        let mut builder = http1::Builder::new();
        let connection = builder
            .max_buf_size(READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(gate), service);
        let mut connection = std::pin::pin!(connection);
        let mut checks = interval(TIMEOUT_CHECK_INTERVAL);
        let mut is_closing = false;
        while !is_closing {
            tokio::select! {
                biased; // a request that has arrived is read before its connection is closed as idle
                result = connection.as_mut() => return ConnectionEnd::of(&result),
                _ = closing.wait_for(|close| *close) => is_closing = true,
                _ = checks.tick() => is_closing = self.has_timed_out(seen),
            }
        }
        while !(lock(seen).is_idle() && stream.has_no_pending_input()) {
            if self.has_stalled(seen) {
                return ConnectionEnd::Aborted;
            }
            if let Ok(result) = timeout(IDLE_CHECK_INTERVAL, connection.as_mut()).await {
                return ConnectionEnd::of(&result);
            }
        }
        connection.as_mut().graceful_shutdown();
        ConnectionEnd::of(&connection.await)
    }

    /// Whether the connection has been idle, or has taken for a request's head, for longer than the
    /// configuration allows.
    fn has_timed_out(&self, seen: &Arc<Mutex<ConnectionState>>) -> bool {
        let limits = self.limits();
        let seen = lock(seen);
        match seen.idle() {
            Some((_, since)) => since.elapsed() > limits.idle_timeout + TIMEOUT_MARGIN,
            None => seen.is_overdue(limits.header_timeout + TIMEOUT_MARGIN),
        }
    }

    /// Whether a connection that is to be closed has taken too long for a request's head.
    fn has_stalled(&self, seen: &Arc<Mutex<ConnectionState>>) -> bool {
        lock(seen).is_overdue(self.limits().header_timeout)
    }

    fn limits(&self) -> Limits {
        self.front
            .configuration()
            .map(|configuration| configuration.limits)
            .unwrap_or_default()
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        seen: &Arc<Mutex<ConnectionState>>,
    ) -> ClientResponse {
        let mut response = handle_request(self.front, request).await;
        let mut seen = lock(seen);
        let shutting_down = self.front.shutting_down.load(Ordering::Relaxed);
        if seen.is_last_request()
            || seen.has_both_lengths()
            || shutting_down && !seen.has_pipelined_bytes()
        {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        seen.request_completed();
        seen.request_answered();
        response
    }
}

impl ConnectionEnd {
    fn of(result: &hyper::Result<()>) -> Self {
        match result {
            Ok(()) => Self::Orderly,
            Err(_) => Self::Aborted,
        }
    }
}
