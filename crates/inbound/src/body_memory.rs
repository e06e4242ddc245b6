//! Accounting of the memory that bodies of open requests occupy.

use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory reserved for one body, within a limit for the bodies of all open requests. Dropping the value releases
/// the reservation.
#[derive(Debug)]
pub struct BodyMemory<'a> {
    /// Number of bytes reserved for all bodies.
    total: &'a AtomicUsize,
    bytes: usize,
    limit: usize,
}

impl<'a> BodyMemory<'a> {
    /// Creates a reservation of zero bytes. `total` counts the bytes reserved for all bodies, and `limit` is their
    /// maximum.
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

    /// Reserves `bytes` more. Returns `false` if the total then exceeds the limit; even then, the bytes stay reserved
    /// until the value is dropped.
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
