//! The socket that hyper reads and writes.

use super::progress::{ConnectionCounts, Progress};
use crate::shared_stream::SharedStream;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A socket that records when the last byte of a request is written, and when bytes arrive that belong to no request.
pub(super) struct Socket {
    stream: SharedStream,
    progress: Arc<Progress>,
    counts: Arc<ConnectionCounts>,
}

impl Socket {
    pub fn new(
        stream: SharedStream,
        progress: Arc<Progress>,
        counts: Arc<ConnectionCounts>,
    ) -> Self {
        Self {
            stream,
            progress,
            counts,
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let has_read = buffer.filled().len() > before;
        if has_read && !self.progress.response_due.load(Ordering::Relaxed) {
            self.counts.record_violation();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
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
        let written = ready!(self.stream.poll_write_slices(cx, slices))?;
        // The request is written when hyper has taken its whole body and the socket has accepted all bytes that hyper
        // offered.
        let offered: usize = slices.iter().map(|slice| slice.len()).sum();
        let is_complete = written == offered && self.progress.body_taken.load(Ordering::Relaxed);
        if is_complete && !self.progress.written.swap(true, Ordering::Relaxed) {
            self.counts.requests_written.fetch_add(1, Ordering::Relaxed);
        }
        Poll::Ready(Ok(written))
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
