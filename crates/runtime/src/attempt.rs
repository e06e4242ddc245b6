//! An attempt as a transport makes it, and whether it may still begin.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::time::Instant;
use woadstall_engine::Peer;

/// An attempt at an upstream. Dialling may take its time, and what held when the attempt was decided on may no longer
/// hold afterwards: [`Attempt::begin`] tells.
#[derive(Clone, Debug)]
pub struct Attempt {
    to: Peer,
    deadline: Instant,
    begin_by: Option<Instant>,
    start: Arc<Start>,
}

impl Attempt {
    /// An attempt for a caller that waits until `deadline`, whose first byte must be written before `begin_by`.
    pub fn new(to: Peer, deadline: Instant, begin_by: Option<Instant>) -> Self {
        Self {
            to,
            deadline,
            begin_by,
            start: Arc::default(),
        }
    }

    /// The process of the upstream that it goes to.
    pub fn to(&self) -> Peer {
        self.to
    }

    /// To be called right before the first byte is written. Returns how long the caller still waits; `None` means that
    /// nothing may be written, and that the attempt ends as `Outcome::Moot`.
    pub fn begin(&self) -> Option<Duration> {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        let in_time = left > Duration::ZERO && self.begin_by.is_none_or(|begin_by| now < begin_by);
        (in_time && self.start.begin()).then_some(left)
    }

    /// Takes back the permission to begin. Returns whether the attempt had not begun: nothing of it is written then.
    pub(crate) fn revoke(&self) -> bool {
        self.start.revoke()
    }
}

const PENDING: u8 = 0;
const BEGUN: u8 = 1;
const REVOKED: u8 = 2;

/// Whether the first byte of an attempt may be written, or was.
#[derive(Debug, Default)]
struct Start(AtomicU8);

impl Start {
    fn begin(&self) -> bool {
        match self
            .0
            .compare_exchange(PENDING, BEGUN, Ordering::AcqRel, Ordering::Acquire)
        {
            Ok(_) => true,
            Err(state) => state == BEGUN,
        }
    }

    fn revoke(&self) -> bool {
        match self
            .0
            .compare_exchange(PENDING, REVOKED, Ordering::AcqRel, Ordering::Acquire)
        {
            Ok(_) => true,
            Err(state) => state == REVOKED,
        }
    }
}
