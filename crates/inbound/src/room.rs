//! Room in the memory for the bodies of open requests.

use std::sync::atomic::{AtomicUsize, Ordering};

/// What one body takes of the room that all open requests share. Dropped, it is given back.
#[derive(Debug)]
pub struct BodyRoom<'a> {
    held: &'a AtomicUsize,
    bytes: usize,
    most: usize,
}

impl<'a> BodyRoom<'a> {
    /// No room yet, of `most` bytes that all bodies may hold together; `held` counts what they do.
    pub fn new(held: &'a AtomicUsize, most: usize) -> Self {
        Self {
            held,
            bytes: 0,
            most,
        }
    }

    /// What this body has taken.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes so many bytes more; `false` if they are more than what is left.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let before = self.held.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= self.most
    }
}

impl Drop for BodyRoom<'_> {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
