//! Receives responses that are forwarded once they are complete. A response that does not fit into memory is streamed
//! instead.

use super::{AttemptResult, StreamingResponse, release_connection};
use crate::front::state::Front;
use bytes::Bytes;
use hyper::body::Body;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};
use woadstall_inbound::BodyBuffer;
use woadstall_routing::Outcome;

/// Maximum body size of a buffered response, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 << 20;

/// Result of receiving a response body.
enum ReceivedBody {
    /// The body has ended.
    Complete(Bytes),
    /// The body is larger than the memory for it. What has been received is kept in [`StreamingResponse::received`].
    TooLarge,
    /// The connection broke before the end of the body.
    Truncated,
}

/// Receives the body of a response and ends the attempt, unless the response must be streamed because there is no memory
/// for it.
pub(super) async fn receive_response(
    front: &Arc<Front>,
    deadline: Instant,
    mut response: StreamingResponse,
) -> AttemptResult {
    let received = timeout_at(deadline, receive_body(front, &mut response)).await;
    let is_error = response.parts.status.is_server_error();
    match received {
        Ok(ReceivedBody::Complete(body)) => complete(front, response, body),
        // A large error response is not worth a stream, because another upstream may still succeed.
        Ok(ReceivedBody::TooLarge) if !is_error => {
            log::info!(
                "response_streamed_for_size upstream={}",
                response.in_flight.target.id
            );
            AttemptResult::Streaming(Box::new(response))
        }
        Ok(ReceivedBody::TooLarge | ReceivedBody::Truncated) => {
            response.in_flight.end(Outcome::ConnectionError);
            AttemptResult::Failed
        }
        Err(_) => {
            response.in_flight.end(Outcome::TimedOut);
            AttemptResult::TimedOut
        }
    }
}

fn complete(front: &Arc<Front>, response: StreamingResponse, body: Bytes) -> AttemptResult {
    let StreamingResponse {
        parts,
        connection,
        in_flight,
        keep_alive,
        ..
    } = response;
    release_connection(front, connection, &in_flight, keep_alive);
    in_flight.end(if parts.status.is_server_error() {
        Outcome::UpstreamError
    } else {
        Outcome::Answered
    });
    AttemptResult::Complete(parts, body)
}

async fn receive_body(front: &Arc<Front>, response: &mut StreamingResponse) -> ReceivedBody {
    let mut buffer = BodyBuffer::new(&front.memory.response_bodies);
    if let Some(size) = response.body.size_hint().exact() {
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > MAX_BUFFERED_RESPONSE_BYTES || buffer.reserve_exact(size).is_err() {
            return ReceivedBody::TooLarge;
        }
    }
    while let Some(data) = response.next_data().await {
        let Ok(data) = data else {
            return ReceivedBody::Truncated;
        };
        let is_too_large = buffer.len() + data.len() > MAX_BUFFERED_RESPONSE_BYTES;
        if is_too_large || buffer.push(&data).is_err() {
            response.received.extend([buffer.into_bytes(), data]);
            return ReceivedBody::TooLarge;
        }
    }
    ReceivedBody::Complete(buffer.into_bytes())
}
