//! Accounting of the memory that bodies occupy.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A limit on the memory that the bodies of a process occupy together.
#[derive(Debug)]
pub struct BodyBudget {
    /// Number of bytes reserved for all bodies.
    reserved: AtomicUsize,
    /// Maximum of `reserved`.
    limit: usize,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes, none of which are reserved.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            reserved: AtomicUsize::new(0),
            limit,
        })
    }

    /// Number of bytes reserved for all bodies.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    fn try_reserve(&self, bytes: usize) -> bool {
        let grow = |reserved: usize| {
            let after = reserved.checked_add(bytes)?;
            (after <= self.limit).then_some(after)
        };
        self.reserved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow)
            .is_ok()
    }
}

/// The part of a [`BodyBudget`] that is reserved for one body. Dropping the value releases the reservation.
#[derive(Debug)]
pub struct BodyMemory {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyMemory {
    /// Creates a reservation of zero bytes.
    pub fn new(budget: &Arc<BodyBudget>) -> Self {
        Self {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Number of bytes reserved for this body.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `bytes` more. Returns `false`, and reserves nothing, if the budget would be exceeded.
    #[must_use]
    pub fn reserve(&mut self, bytes: usize) -> bool {
        let is_reserved = self.budget.try_reserve(bytes);
        if is_reserved {
            self.bytes += bytes;
        }
        is_reserved
    }

    /// Releases what is reserved beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.budget.reserved.fetch_sub(excess, Ordering::Relaxed);
        self.bytes -= excess;
    }

    /// Attaches the reservation to the body that it was made for. The reservation is released when the last clone or
    /// slice of the returned value is dropped, which may be later than the request: a connection that still writes the
    /// body keeps a clone.
    #[must_use]
    pub fn attach(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(ReservedBody {
            body,
            _memory: self,
        })
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.budget
            .reserved
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body together with its reservation.
struct ReservedBody {
    body: Bytes,
    _memory: BodyMemory,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
