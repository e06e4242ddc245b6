//! Serves one client connection: reads requests, enforces time-outs and closes the connection.

use super::attempt::REQUEST_ID;
use super::connection_end::{AbortCause, AbortedRequest, ConnectionEnd};
use super::forward::handle_request;
use super::response::ResponseBody;
use super::shutdown::ShutdownPhase;
use super::state::Front;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, interval};
use woadstall_control::configuration::Limits;
use woadstall_inbound::{ConnectionState, RequestGate, RequestStage, TrackedBody, lock};
use woadstall_socket_options::enable_dead_peer_detection;
use woadstall_transport::SharedStream;

/// Interval at which the time-outs of a connection are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a connection that is being closed is checked for being idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a connection must be idle before it is closed during a shutdown. The next request
/// may be on its way, and the client of a new connection has not sent its first one.
const MIN_IDLE_TIME: Duration = Duration::from_millis(500);
/// A connection is closed this long after the configured time-out has passed.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Maximum time for which data sent to a client may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of hyper's read buffer.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// The result of checking a connection's time-outs.
enum Check {
    KeepOpen,
    /// The connection is idle and should be closed.
    Close,
    /// The client has not completed its request in time.
    Abort,
}

/// The most recent request of a connection, for logs.
struct CurrentRequest {
    id: String,
    received: Instant,
}

/// An accepted client connection and the state that it shares with other connections.
pub(super) struct ClientConnection<'a> {
    front: &'a Arc<Front>,
    current_request: Mutex<Option<CurrentRequest>>,
}

impl<'a> ClientConnection<'a> {
    pub fn new(front: &'a Arc<Front>) -> Self {
        Self {
            front,
            current_request: Mutex::default(),
        }
    }

    /// Serves requests until the connection ends. When the process shuts down, the connection is
    /// closed as soon as it is idle, or when the grace period ends. Returns the socket if it must be
    /// closed by lingering close.
    ///
    /// # Errors
    ///
    /// Fails if a response was truncated and the kernel does not allow the connection to be reset.
    pub async fn serve(&self, stream: TcpStream) -> io::Result<Option<SharedStream>> {
        enable_dead_peer_detection(&stream, USER_TIMEOUT);
        let stream = SharedStream::new(stream);
        let (gate, state) = RequestGate::new(stream.clone());
        match self.drive(gate, &state, &stream).await {
            // The reset tells the client that a truncated response is not complete.
            ConnectionEnd::Truncated => {
                stream.reset_on_close()?;
                Ok(None)
            }
            ConnectionEnd::Orderly => Ok((!lock(&state).has_ended()).then_some(stream)),
        }
    }

    async fn drive(
        &self,
        gate: RequestGate,
        state: &Arc<Mutex<ConnectionState>>,
        stream: &SharedStream,
    ) -> ConnectionEnd {
        let service =
            service_fn(|request| async { Ok::<_, Infallible>(self.respond(request, state).await) });
        let mut builder = http1::Builder::new();
        let connection = builder
            .max_buf_size(READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(gate), service);
        let mut connection = std::pin::pin!(connection);
        let shutdown = &self.front.shutdown;
        let mut closing = std::pin::pin!(shutdown.reached(ShutdownPhase::ClosingIdle));
        let mut grace_period_ended =
            std::pin::pin!(shutdown.reached(ShutdownPhase::GracePeriodEnded));
        let mut checks = interval(TIMEOUT_CHECK_INTERVAL);
        let mut is_closing = false;
        loop {
            tokio::select! {
                // The connection is polled first, so that a request that has already arrived is read
                // before the connection is closed as idle.
                biased;
                result = connection.as_mut() => return self.ended(&result, state),
                () = grace_period_ended.as_mut() => {
                    return self.aborted(AbortCause::GracePeriodEnded, state);
                }
                () = closing.as_mut(), if !is_closing => {
                    is_closing = true;
                    checks = interval(IDLE_CHECK_INTERVAL);
                }
                _ = checks.tick() => {}
            }
            match self.check(state, stream, is_closing) {
                Check::KeepOpen => {}
                Check::Close => break,
                Check::Abort => return self.aborted(AbortCause::RequestTimeout, state),
            }
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            biased;
            result = connection.as_mut() => self.ended(&result, state),
            () = grace_period_ended.as_mut() => self.aborted(AbortCause::GracePeriodEnded, state),
        }
    }

    /// Checks the time-outs of the connection. `is_closing` tells whether idle connections are closed.
    fn check(
        &self,
        state: &Mutex<ConnectionState>,
        stream: &SharedStream,
        is_closing: bool,
    ) -> Check {
        let limits = self.limits();
        let state = lock(state);
        let (idle_timeout, request_timeout) = if is_closing {
            (MIN_IDLE_TIME, limits.header_timeout)
        } else {
            (
                limits.idle_timeout + TIMEOUT_MARGIN,
                limits.header_timeout + TIMEOUT_MARGIN,
            )
        };
        match state.idle() {
            Some((_, since))
                if since.elapsed() >= idle_timeout && stream.has_no_pending_input() =>
            {
                Check::Close
            }
            None if state.is_overdue(request_timeout) => Check::Abort,
            _ => Check::KeepOpen,
        }
    }

    /// Logs the request that ends with its connection, if there is one. Must be called before hyper's
    /// connection is dropped.
    fn ended(
        &self,
        result: &hyper::Result<()>,
        state: &Arc<Mutex<ConnectionState>>,
    ) -> ConnectionEnd {
        match result {
            Ok(()) => ConnectionEnd::Orderly,
            Err(error) => self.aborted(AbortCause::of(error), state),
        }
    }

    fn aborted(&self, cause: AbortCause, state: &Arc<Mutex<ConnectionState>>) -> ConnectionEnd {
        let stage = lock(state).stage();
        if stage != RequestStage::Idle {
            self.log_abort(cause, stage);
        }
        match stage {
            RequestStage::SendingResponse => ConnectionEnd::Truncated,
            _ => ConnectionEnd::Orderly,
        }
    }

    fn log_abort(&self, cause: AbortCause, stage: RequestStage) {
        let current = lock(&self.current_request);
        let request = AbortedRequest {
            cause,
            stage,
            id: current
                .as_ref()
                .map(|request| request.id.clone())
                .unwrap_or_default(),
            age: current
                .as_ref()
                .map(|request| request.received.elapsed())
                .unwrap_or_default(),
            since_shutdown: self.front.shutdown.elapsed(),
        };
        request.log();
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
        connection: &Arc<Mutex<ConnectionState>>,
    ) -> Response<TrackedBody<ResponseBody>> {
        self.record_request(&request);
        let is_last_request = {
            let mut state = lock(connection);
            state.request_started();
            state.is_last_request() || state.has_both_lengths()
        };
        let mut response = handle_request(self.front, request, connection).await;
        let mut state = lock(connection);
        let is_shutting_down = self.front.shutdown.has_reached(ShutdownPhase::Draining);
        if is_last_request || is_shutting_down && !state.has_pipelined_bytes() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        state.response_started(None);
        drop(state);
        response.map(|body| TrackedBody::new(body, connection.clone()))
    }

    fn record_request(&self, request: &Request<Incoming>) {
        let id = request.headers().get(REQUEST_ID);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        *lock(&self.current_request) = Some(CurrentRequest {
            id: id.to_owned(),
            received: Instant::now(),
        });
    }
}
