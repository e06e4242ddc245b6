//! Sends a request to one upstream. An attempt ends when the response is complete or, for a
//! streamed response, when its head has arrived.

mod headers;
mod in_flight;
mod receive_response;
mod request;
mod result;

pub(super) use headers::{DEADLINE, KeepAlive, REQUEST_ID};
pub(super) use in_flight::InFlight;
pub(super) use request::{ForwardedRequest, ResponseMode};
pub(super) use result::{AttemptResult, StreamingResponse};

use super::pool::{PoolError, PooledConnection};
use super::state::Front;
use headers::{is_rejection, is_valid_response, keep_alive, upstream_request};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use receive_response::receive_response;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use thiserror::Error;
use tokio::time::timeout_at;
use woadstall_inbound::lock;
use woadstall_routing::{Outcome, Target};
use woadstall_transport::{RequestBody, remove_hop_by_hop_headers};

/// Reason why an attempt has not received the head of a response.
#[derive(Debug, Error)]
enum SendError {
    /// The connection broke before the last byte of the request was written, so the upstream can't
    /// have executed the request.
    #[error("connection failed before the request was sent: {0}")]
    NotSent(#[source] hyper::Error),
    /// The connection broke after the complete request was written.
    #[error("connection failed before a response arrived: {0}")]
    NoResponse(#[source] hyper::Error),
    /// The deadline passed before the last byte of the request was written.
    #[error("deadline exceeded before the request was sent")]
    DeadlineBeforeSend,
    /// The deadline passed after the complete request was written.
    #[error("deadline exceeded before a response arrived")]
    DeadlineBeforeResponse,
}

/// Sends a request to an upstream over a pooled connection and classifies the result.
pub(super) async fn attempt(
    front: &Arc<Front>,
    request: &ForwardedRequest,
    target: Target,
) -> AttemptResult {
    let in_flight = InFlight::new(front, target);
    let acquired = timeout_at(request.deadline, front.pool.acquire(&in_flight.target)).await;
    let connection = match acquired {
        Ok(Ok(connection)) => connection,
        Ok(Err(PoolError::Full)) => {
            in_flight.end(Outcome::Rejected);
            return AttemptResult::NotSent;
        }
        Ok(Err(PoolError::Unreachable(error))) => {
            log::debug!(
                "upstream_unreachable upstream={} error={error}",
                in_flight.target.id
            );
            in_flight.end(Outcome::ConnectFailed);
            return AttemptResult::NotSent;
        }
        Err(_) => return AttemptResult::NotSent,
    };
    // While the connection was being established, the upstream may have begun to drain or its zone
    // may have been evacuated.
    if !lock(&front.router).is_usable(&in_flight.target.id) {
        return AttemptResult::NotSent;
    }
    exchange(front, request, connection, in_flight).await
}

async fn exchange(
    front: &Arc<Front>,
    request: &ForwardedRequest,
    mut connection: PooledConnection,
    in_flight: InFlight,
) -> AttemptResult {
    let response = match send(request, &mut connection, &in_flight.target).await {
        Ok(response) => response,
        Err(error) => return handle_send_error(&error, connection.is_reused, in_flight),
    };
    let (mut parts, body) = response.into_parts();
    if is_rejection(&parts, &request.id) {
        return handle_rejection(parts.status, in_flight);
    }
    if !is_valid_response(&parts, &request.id) {
        log::info!(
            "upstream_response_invalid upstream={} status={}",
            in_flight.target.id,
            parts.status.as_u16()
        );
        in_flight.end(Outcome::ConnectionError);
        return AttemptResult::Failed;
    }
    if parts.status.is_server_error() {
        lock(&front.router).record_activity(front.now(), &in_flight.target.id, 0);
    } else {
        lock(&front.router).record_response(front.now(), &in_flight.target.id);
    }
    // `Keep-Alive` is a hop-by-hop header, so it is read before these headers are removed.
    let keep_alive = keep_alive(&parts);
    remove_hop_by_hop_headers(&mut parts.headers);
    let response = StreamingResponse {
        parts,
        received: VecDeque::new(),
        body,
        connection,
        in_flight,
        keep_alive,
    };
    if request.response_mode == ResponseMode::Streaming && response.parts.status.is_success() {
        return AttemptResult::Streaming(Box::new(response));
    }
    receive_response(front, request.deadline, response).await
}

/// Sends a request over a connection and waits for the head of the response.
async fn send(
    request: &ForwardedRequest,
    connection: &mut PooledConnection,
    target: &Target,
) -> Result<Response<Incoming>, SendError> {
    let progress = connection.progress.clone();
    let body = RequestBody::new(request.body.clone(), progress.clone());
    let request_to_send = upstream_request(request, target, body);
    let result = timeout_at(
        request.deadline,
        connection.sender.send_request(request_to_send),
    )
    .await;
    let was_written = progress.written.load(Ordering::Relaxed);
    match (result, was_written) {
        (Ok(Ok(response)), _) => Ok(response),
        (Ok(Err(error)), true) => Err(SendError::NoResponse(error)),
        (Ok(Err(error)), false) => Err(SendError::NotSent(error)),
        (Err(_), true) => Err(SendError::DeadlineBeforeResponse),
        (Err(_), false) => Err(SendError::DeadlineBeforeSend),
    }
}

fn handle_send_error(
    error: &SendError,
    connection_is_reused: bool,
    in_flight: InFlight,
) -> AttemptResult {
    log::debug!(
        "attempt_failed upstream={} error={error}",
        in_flight.target.id
    );
    match error {
        // The upstream may have closed the idle connection at the same time, which is no sign of a
        // fault.
        SendError::NotSent(_) if connection_is_reused => {
            in_flight.end(Outcome::Cancelled);
            AttemptResult::NotSent
        }
        SendError::NotSent(_) => {
            in_flight.end(Outcome::ConnectionError);
            AttemptResult::NotSent
        }
        SendError::NoResponse(_) => {
            in_flight.end(Outcome::ConnectionError);
            AttemptResult::Failed
        }
        SendError::DeadlineBeforeSend => {
            in_flight.end(Outcome::Cancelled);
            AttemptResult::NotSent
        }
        SendError::DeadlineBeforeResponse => {
            in_flight.end(Outcome::TimedOut);
            AttemptResult::TimedOut
        }
    }
}

fn handle_rejection(status: StatusCode, in_flight: InFlight) -> AttemptResult {
    if status == StatusCode::MISDIRECTED_REQUEST {
        log::info!(
            "upstream_misdirected upstream={} address={}",
            in_flight.target.id,
            in_flight.target.address
        );
        in_flight.end(Outcome::ConnectFailed);
    } else {
        in_flight.end(Outcome::Rejected);
    }
    AttemptResult::Rejected
}

/// Returns a connection to the pool after a complete response unless the upstream closes the
/// connection or the request was not written completely.
pub(super) fn release_connection(
    front: &Arc<Front>,
    mut connection: PooledConnection,
    in_flight: &InFlight,
    keep_alive: KeepAlive,
) {
    let idle_timeout = match keep_alive {
        KeepAlive::Close => return,
        KeepAlive::Unspecified => None,
        KeepAlive::Timeout(timeout) => Some(timeout),
    };
    if !connection.progress.written.load(Ordering::Relaxed) {
        return;
    }
    connection
        .progress
        .response_due
        .store(false, Ordering::Relaxed);
    let front = front.clone();
    let id = in_flight.target.id.clone();
    tokio::spawn(async move {
        if connection.sender.ready().await.is_ok() {
            front.pool.release(&id, connection, idle_timeout);
        }
    });
}
