//! Memory for the bodies of open requests.

use std::sync::atomic::{AtomicUsize, Ordering};

/// What one body takes of the memory that all open requests share. Dropped, it is given back.
#[derive(Debug)]
pub struct BodyMemory<'a> {
    total: &'a AtomicUsize,
    bytes: usize,
    limit: usize,
}

impl<'a> BodyMemory<'a> {
    /// No memory yet, of `limit` bytes that all bodies may take together; `total` counts what they do.
    pub fn new(total: &'a AtomicUsize, limit: usize) -> Self {
        Self {
            total,
            bytes: 0,
            limit,
        }
    }

    /// What this body has taken, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes so many bytes more. Returns `false` if all bodies are over the limit then; the bytes count all the same.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        let before = self.total.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= self.limit
    }
}

impl Drop for BodyMemory<'_> {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
