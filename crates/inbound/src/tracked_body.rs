//! A response body that reports its end to the state of the client's connection.

use crate::connection_state::ConnectionState;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use woadstall_transport::lock;

/// A response body that tells the connection's state when hyper has received the whole body, or when the body has
/// failed.
pub struct TrackedBody<B> {
    body: B,
    state: Arc<Mutex<ConnectionState>>,
    has_ended: bool,
}

impl<B> TrackedBody<B> {
    /// Tracks the body of the response to the connection's current request.
    pub fn new(body: B, state: Arc<Mutex<ConnectionState>>) -> Self {
        Self {
            body,
            state,
            has_ended: false,
        }
    }

    fn complete(&mut self) {
        if !std::mem::replace(&mut self.has_ended, true) {
            lock(&self.state).response_completed();
        }
    }

    fn truncate(&mut self) {
        self.has_ended = true;
        lock(&self.state).response_truncated();
    }
}

/// hyper drops a body without reading it if the response has none on the wire, such as the response to `HEAD`.
impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.complete();
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Err(_)) => self.truncate(),
            Some(Ok(_)) if self.body.is_end_stream() => self.complete(),
            Some(Ok(_)) => {}
            None => self.complete(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
