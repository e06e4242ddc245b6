//! How client connections end, and the log line for a request that ends with its connection.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;
use woadstall_inbound::RequestStage;

/// How a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// Each response that was begun has been passed to the socket completely.
    Orderly,
    /// A response was begun and is incomplete.
    Truncated,
}

/// Why a connection has ended before all responses were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AbortCause {
    /// The client closed or reset the connection.
    ClientDisconnected,
    /// The client sent bytes that are not a valid request.
    InvalidRequest,
    /// The client did not complete a request within the time-out.
    RequestTimeout,
    /// The body of a response failed.
    ResponseTruncated,
    /// The grace period after SIGTERM ended.
    GracePeriodEnded,
}

impl AbortCause {
    /// Classifies an error of hyper's connection.
    pub fn of(error: &hyper::Error) -> Self {
        if error.is_user() {
            Self::ResponseTruncated
        } else if error.is_parse() {
            Self::InvalidRequest
        } else {
            Self::ClientDisconnected
        }
    }

    /// The name of the cause in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::ClientDisconnected => "client_disconnected",
            Self::InvalidRequest => "invalid_request",
            Self::RequestTimeout => "request_timeout",
            Self::ResponseTruncated => "response_truncated",
            Self::GracePeriodEnded => "grace_period_ended",
        }
    }
}

/// A request whose connection has ended before its response was sent.
pub(super) struct AbortedRequest {
    pub cause: AbortCause,
    pub stage: RequestStage,
    /// The request's id; empty if the front has not read the head of the request.
    pub id: String,
    /// Time since the head of the request was read.
    pub age: Duration,
    /// Time since SIGTERM; `None` if the process is not shutting down.
    pub since_shutdown: Option<Duration>,
}

impl AbortedRequest {
    /// Logs the request: as a warning, unless the client itself has caused the end of the connection.
    pub fn log(&self) {
        let level = match self.cause {
            AbortCause::ClientDisconnected | AbortCause::InvalidRequest => log::Level::Debug,
            AbortCause::RequestTimeout
            | AbortCause::ResponseTruncated
            | AbortCause::GracePeriodEnded => log::Level::Warn,
        };
        log::log!(level, "{self}");
    }
}

impl Display for AbortedRequest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "client_request_aborted cause={} stage={} request={} age_ms={}",
            self.cause.name(),
            self.stage.name(),
            self.id,
            self.age.as_millis(),
        )?;
        if let Some(elapsed) = self.since_shutdown {
            write!(f, " since_shutdown_ms={}", elapsed.as_millis())?;
        }
        Ok(())
    }
}
