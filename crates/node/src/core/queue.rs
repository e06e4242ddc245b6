//! Queues of frames, bounded in number and in bytes.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::mpsc;

/// There is no room, or nobody takes anything any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Overflow;

/// The end of a queue that frames are put into.
#[derive(Clone, Debug)]
pub(crate) struct FrameSender {
    frames: mpsc::Sender<Bytes>,
    held: Arc<AtomicUsize>,
    most_bytes: usize,
}

/// The end of a queue that frames are taken from.
#[derive(Debug)]
pub(crate) struct FrameReceiver {
    frames: mpsc::Receiver<Bytes>,
    held: Arc<AtomicUsize>,
}

/// A queue of so many frames and bytes at most. One frame always fits, however large it is.
pub(crate) fn queue(most_frames: usize, most_bytes: usize) -> (FrameSender, FrameReceiver) {
    let (sender, receiver) = mpsc::channel(most_frames);
    let held = Arc::new(AtomicUsize::new(0));
    (
        FrameSender {
            frames: sender,
            held: held.clone(),
            most_bytes,
        },
        FrameReceiver {
            frames: receiver,
            held,
        },
    )
}

impl FrameSender {
    /// Puts a frame into the queue.
    pub fn send(&self, frame: Bytes) -> Result<(), Overflow> {
        let size = frame.len();
        let before = self.held.fetch_add(size, Ordering::Relaxed);
        let fits = before == 0 || before + size <= self.most_bytes;
        let sent = fits && self.frames.try_send(frame).is_ok();
        if !sent {
            self.held.fetch_sub(size, Ordering::Relaxed);
            return Err(Overflow);
        }
        Ok(())
    }
}

impl FrameReceiver {
    /// Waits for the next frame; `None` once nobody sends any more.
    pub async fn receive(&mut self) -> Option<Bytes> {
        let frame = self.frames.recv().await?;
        self.held.fetch_sub(frame.len(), Ordering::Relaxed);
        Some(frame)
    }

    /// Drops what waits.
    pub fn clear(&mut self) {
        while let Ok(frame) = self.frames.try_recv() {
            self.held.fetch_sub(frame.len(), Ordering::Relaxed);
        }
    }

    /// Whether nobody sends any more.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/queue.rs"]
mod tests;
