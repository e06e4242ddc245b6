//! Accounting of the memory that bodies of open requests occupy.

use std::sync::atomic::{AtomicUsize, Ordering};

/// One body's share of the memory that all open requests share. Dropping the value releases the share.
#[derive(Debug)]
pub struct BodyMemory<'a> {
    total: &'a AtomicUsize,
    bytes: usize,
    limit: usize,
}

impl<'a> BodyMemory<'a> {
    /// Creates a share of zero bytes. `total` counts the bytes reserved by all bodies, and `limit` is their maximum.
    pub fn new(total: &'a AtomicUsize, limit: usize) -> Self {
        Self {
            total,
            bytes: 0,
            limit,
        }
    }

    /// Number of bytes reserved for this body.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `bytes` more. Returns `false` if the total then exceeds the limit; the bytes stay reserved until drop
    /// even so.
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
