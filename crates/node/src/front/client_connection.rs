//! Serves one client connection: reads requests, enforces time-outs and closes the connection.

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

/// Interval at which the time-outs of a connection are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a connection that is being closed is checked for being idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A connection is closed this long after the configured time-out has passed.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Maximum time for which data sent to a client may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of hyper's read buffer.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Maximum number of connections closed by this process that wait for the client's close.
const MAX_LINGERING: usize = 64;

/// How a connection has ended.
enum ConnectionEnd {
    /// All responses were sent completely.
    Orderly,
    /// The connection broke, or a response was truncated.
    Aborted,
}

/// An accepted client connection and the state that it shares with other connections.
pub(super) struct ClientConnection<'a> {
    front: &'a Arc<Front>,
    lingering: &'a Arc<LingeringConnections>,
}

impl<'a> ClientConnection<'a> {
    pub fn new(front: &'a Arc<Front>, lingering: &'a Arc<LingeringConnections>) -> Self {
        Self { front, lingering }
    }

    /// Serves requests until the connection ends. Once `closing` becomes true, the connection is
    /// closed as soon as it is idle.
    ///
    /// # Errors
    ///
    /// Fails if a response was truncated and the kernel does not allow the connection to be reset.
    pub async fn serve(&self, stream: TcpStream, closing: watch::Receiver<bool>) -> io::Result<()> {
        enable_dead_peer_detection(&stream, USER_TIMEOUT);
        let stream = SharedStream::new(stream);
        let (gate, state) = RequestGate::new(stream.clone());
        match self.drive(gate, &state, &stream, closing).await {
            // The reset tells the client that a truncated response is not complete.
            ConnectionEnd::Aborted => stream.reset_on_close()?,
            ConnectionEnd::Orderly if lock(&state).has_ended() => {}
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
        state: &Arc<Mutex<ConnectionState>>,
        stream: &SharedStream,
        mut closing: watch::Receiver<bool>,
    ) -> ConnectionEnd {
        let service =
            service_fn(|request| async { Ok::<_, Infallible>(self.respond(request, state).await) });
        let mut builder = http1::Builder::new();
        let connection = builder
            .max_buf_size(READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(gate), service);
        let mut connection = std::pin::pin!(connection);
        let mut checks = interval(TIMEOUT_CHECK_INTERVAL);
        let mut is_closing = false;
        while !is_closing {
            tokio::select! {
                // The connection is polled first, so that a request that has already arrived is read
                // before the connection is closed as idle.
                biased;
                result = connection.as_mut() => return ConnectionEnd::of(&result),
                _ = closing.wait_for(|close| *close) => is_closing = true,
                _ = checks.tick() => is_closing = self.has_timed_out(state),
            }
        }
        while !(lock(state).is_idle() && stream.has_no_pending_input()) {
            if self.has_stalled(state) {
                return ConnectionEnd::Aborted;
            }
            if let Ok(result) = timeout(IDLE_CHECK_INTERVAL, connection.as_mut()).await {
                return ConnectionEnd::of(&result);
            }
        }
        connection.as_mut().graceful_shutdown();
        ConnectionEnd::of(&connection.await)
    }

    /// Returns whether the connection has exceeded the idle time-out or the time-out for receiving
    /// the head of a request.
    fn has_timed_out(&self, state: &Arc<Mutex<ConnectionState>>) -> bool {
        let limits = self.limits();
        let state = lock(state);
        match state.idle() {
            Some((_, since)) => since.elapsed() > limits.idle_timeout + TIMEOUT_MARGIN,
            None => state.is_overdue(limits.header_timeout + TIMEOUT_MARGIN),
        }
    }

    /// Returns whether a connection that is being closed has exceeded the time-out for receiving
    /// the head of a request.
    fn has_stalled(&self, state: &Arc<Mutex<ConnectionState>>) -> bool {
        lock(state).is_overdue(self.limits().header_timeout)
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
        state: &Arc<Mutex<ConnectionState>>,
    ) -> ClientResponse {
        let mut response = handle_request(self.front, request).await;
        let mut state = lock(state);
        let shutting_down = self.front.shutting_down.load(Ordering::Relaxed);
        if state.is_last_request()
            || state.has_both_lengths()
            || shutting_down && !state.has_pipelined_bytes()
        {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        state.request_completed();
        state.request_answered();
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
