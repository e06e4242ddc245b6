//! A client's socket that passes one request at a time to hyper.

use crate::connection_state::ConnectionState;
use crate::request_head::MAX_HEAD_BYTES;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use woadstall_transport::{SharedStream, lock};

/// Maximum number of bytes buffered while a request is open.
const MAX_BUFFERED_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// Maximum number of bytes per read.
const READ_BYTES: usize = MAX_HEAD_BYTES / 2;

/// A client's socket that withholds the bytes of each request from hyper until the previous request has its response.
///
/// The gate keeps reading from the socket, so that a client's disconnection is detected while its request is open. It
/// also records when the last byte of a request arrived, from which the request's time limit can run, and distinguishes
/// clients that stall between requests or within a request from clients that wait for a response.
pub struct RequestGate {
    stream: SharedStream,
    state: Arc<Mutex<ConnectionState>>,
}

impl RequestGate {
    /// Creates a gate on a client's socket, and the connection state that the gate maintains.
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

    /// Reads from the socket into the buffer; `Pending` if no bytes are available.
    fn poll_buffer(
        &self,
        cx: &mut Context<'_>,
        state: &mut ConnectionState,
    ) -> Poll<io::Result<()>> {
        let capacity = MAX_BUFFERED_BYTES.saturating_sub(state.buffered.len());
        if capacity == 0 {
            return self.poll_disconnect(cx, state);
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

    /// Reads unread bytes from the kernel even if tokio does not report the socket as readable; `None` if there are
    /// none.
    fn read_unreported(
        &self,
        state: &mut ConnectionState,
        capacity: usize,
    ) -> Option<io::Result<()>> {
        let buffered = state.buffered.len();
        state
            .buffered
            .resize(buffered + capacity.min(READ_BYTES), 0);
        let read = self.stream.read_now(&mut state.buffered[buffered..]);
        state
            .buffered
            .truncate(buffered + read.as_ref().map_or(0, |bytes| *bytes));
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

    /// Waits for the client to disconnect while the buffer is full and nothing more is read.
    fn poll_disconnect(
        &self,
        cx: &mut Context<'_>,
        state: &mut ConnectionState,
    ) -> Poll<io::Result<()>> {
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
            let passable_bytes = state.passable_bytes();
            if passable_bytes > 0 {
                state.pass(buffer, passable_bytes);
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
