//! A client's socket that passes one request at a time to hyper.

use crate::connection_state::ConnectionState;
use crate::request_head::MAX_HEAD_BYTES;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use woadstall_transport::{SharedStream, lock};

/// Most bytes that are buffered of what comes while a request is open.
const MAX_BUFFERED_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// Most bytes of one read.
const READ_BYTES: usize = MAX_HEAD_BYTES / 2;

/// A socket that passes on no byte of a request before the one in front of it has its response.
///
/// So the end of a client shows while its request is open, a request's time can run from its last byte, and a client that
/// stalls between requests, or in the midst of one, is told from one that has a request open.
pub struct RequestGate {
    stream: SharedStream,
    state: Arc<Mutex<ConnectionState>>,
}

impl RequestGate {
    /// A gate on a client's socket, and what will be known of the connection.
    pub fn new(stream: SharedStream) -> (Self, Arc<Mutex<ConnectionState>>) {
        let state = Arc::new(Mutex::new(ConnectionState::new()));
        (
            Self {
                stream,
                state: state.clone(),
            },
            state,
        )
    }

    /// Reads more into the buffer; `Pending` where there is nothing.
    fn poll_buffer(
        &self,
        cx: &mut Context<'_>,
        state: &mut ConnectionState,
    ) -> Poll<io::Result<()>> {
        let capacity = MAX_BUFFERED_BYTES.saturating_sub(state.buffered.len());
        if capacity == 0 {
            return self.poll_end(cx, state);
        }
        if state.left_unread
            && let Some(read) = self.read_unreported(state, capacity)
        {
            return Poll::Ready(read);
        }
        ready!(self.stream.tcp().poll_read_ready(cx))?;
        state.buffered.reserve(capacity.min(READ_BYTES));
        match self.stream.tcp().try_read_buf(&mut state.buffered) {
            Ok(bytes) => state.on_read(bytes),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
        Poll::Ready(Ok(()))
    }

    /// Reads what the kernel holds, whether or not the runtime reports it; `None` where it holds nothing.
    fn read_unreported(
        &self,
        state: &mut ConnectionState,
        capacity: usize,
    ) -> Option<io::Result<()>> {
        let start = state.buffered.len();
        state.buffered.resize(start + capacity.min(READ_BYTES), 0);
        let read = self.stream.read_now(&mut state.buffered[start..]);
        state
            .buffered
            .truncate(start + read.as_ref().map_or(0, |bytes| *bytes));
        match read {
            Ok(bytes) => {
                state.on_read(bytes);
                Some(Ok(()))
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                state.left_unread = false;
                None
            }
            Err(error) => Some(Err(error)),
        }
    }

    /// Where no more is read before the present request has its response: waits for its client to disconnect.
    fn poll_end(&self, cx: &mut Context<'_>, state: &mut ConnectionState) -> Poll<io::Result<()>> {
        state.left_unread = true;
        loop {
            if self.stream.is_read_closed() {
                state.has_ended = true;
                return Poll::Ready(Ok(()));
            }
            ready!(self.stream.poll_new_input(cx))?;
        }
    }
}

impl AsyncRead for RequestGate {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = lock(&self.state);
        loop {
            let passable = state.passable();
            if passable > 0 {
                state.pass(buffer, passable);
                return Poll::Ready(Ok(()));
            }
            if state.has_ended {
                return Poll::Ready(Ok(()));
            }
            state.reader = Some(cx.waker().clone());
            ready!(self.poll_buffer(cx, &mut state))?;
        }
    }
}

impl AsyncWrite for RequestGate {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = self.stream.poll_write_slices(cx, slices);
        let written = match &polled {
            Poll::Pending => None,
            Poll::Ready(result) => Some(result.as_ref().map_or(0, |bytes| *bytes)),
        };
        lock(&self.state).on_write(written);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown_write())
    }
}
