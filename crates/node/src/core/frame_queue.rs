//! Queues of frames for one connection, bounded in number of frames and in bytes.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use thiserror::Error;
use tokio::sync::mpsc;

/// Reason why a frame was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum SendError {
    /// The queue has reached its limit of frames or bytes.
    #[error("frame queue full")]
    Full,
    /// The receiver was dropped.
    #[error("frame queue closed")]
    Closed,
}

/// Sender of a frame queue.
#[derive(Clone, Debug)]
pub(super) struct FrameSender {
    frames: mpsc::Sender<Bytes>,
    queued_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// Receiver of a frame queue.
#[derive(Debug)]
pub(super) struct FrameReceiver {
    frames: mpsc::Receiver<Bytes>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Creates a queue of at most `max_frames` frames and `max_bytes` bytes. An empty queue accepts a
/// frame of any size.
pub(super) fn frame_queue(max_frames: usize, max_bytes: usize) -> (FrameSender, FrameReceiver) {
    let (sender, receiver) = mpsc::channel(max_frames);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let sender = FrameSender {
        frames: sender,
        queued_bytes: queued_bytes.clone(),
        max_bytes,
    };
    let receiver = FrameReceiver {
        frames: receiver,
        queued_bytes,
    };
    (sender, receiver)
}

impl FrameSender {
    /// Queues a frame without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full or closed.
    pub fn send(&self, frame: Bytes) -> Result<(), SendError> {
        let size = frame.len();
        let before = self.queued_bytes.fetch_add(size, Ordering::Relaxed);
        let fits = before == 0 || before + size <= self.max_bytes;
        let result = if fits {
            self.frames.try_send(frame).map_err(SendError::from)
        } else {
            Err(SendError::Full)
        };
        if result.is_err() {
            self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
        }
        result
    }
}

impl From<mpsc::error::TrySendError<Bytes>> for SendError {
    fn from(error: mpsc::error::TrySendError<Bytes>) -> Self {
        match error {
            mpsc::error::TrySendError::Full(_) => Self::Full,
            mpsc::error::TrySendError::Closed(_) => Self::Closed,
        }
    }
}

impl FrameReceiver {
    /// Waits for the next frame; `None` once all senders are dropped and the queue is empty.
    pub async fn receive(&mut self) -> Option<Bytes> {
        let frame = self.frames.recv().await?;
        self.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        Some(frame)
    }

    /// Drops all queued frames.
    pub fn clear(&mut self) {
        while let Ok(frame) = self.frames.try_recv() {
            self.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        }
    }

    /// Returns whether all senders are dropped.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

#[cfg(test)]
mod tests;
