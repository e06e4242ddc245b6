//! An attempt as a transport makes it, and whether it may still begin.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::time::Instant;
use woadstall_engine::Peer;

/// An attempt at an upstream. Connecting may take its time, and what held when the attempt was decided on may no longer
/// hold afterwards: [`Attempt::begin`] tells.
#[derive(Clone, Debug)]
pub struct Attempt {
    peer: Peer,
    deadline: Instant,
    begin_by: Option<Instant>,
    permission: Arc<BeginPermission>,
}

impl Attempt {
    /// An attempt for a caller that waits until `deadline`, whose first byte must be written before `begin_by`.
    pub fn new(peer: Peer, deadline: Instant, begin_by: Option<Instant>) -> Self {
        Self {
            peer,
            deadline,
            begin_by,
            permission: Arc::default(),
        }
    }

    /// The process of the upstream that it goes to.
    pub fn peer(&self) -> Peer {
        self.peer
    }

    /// To be called right before the first byte is written. Returns how long the caller still waits; `None` means that
    /// nothing may be written, and that the attempt ends as `Outcome::Moot`.
    pub fn begin(&self) -> Option<Duration> {
        let now = Instant::now();
        let time_left = self.deadline.saturating_duration_since(now);
        let is_in_time = self.begin_by.is_none_or(|begin_by| now < begin_by);
        let may_begin = time_left > Duration::ZERO && is_in_time && self.permission.begin();
        may_begin.then_some(time_left)
    }

    /// Revokes the permission to begin. Returns whether the attempt had not begun: nothing of it is written then.
    pub(crate) fn revoke(&self) -> bool {
        self.permission.revoke()
    }
}

const PENDING: u8 = 0;
const BEGUN: u8 = 1;
const REVOKED: u8 = 2;

/// Whether the first byte of an attempt may be written, or was.
#[derive(Debug, Default)]
struct BeginPermission(AtomicU8);

impl BeginPermission {
    /// Whether the attempt begins now, or had begun.
    fn begin(&self) -> bool {
        self.leave_pending_for(BEGUN)
    }

    /// Whether the permission is revoked now, or was.
    fn revoke(&self) -> bool {
        self.leave_pending_for(REVOKED)
    }

    /// Whether the state is `next` afterwards. It only ever leaves the first one.
    fn leave_pending_for(&self, next: u8) -> bool {
        match self
            .0
            .compare_exchange(PENDING, next, Ordering::AcqRel, Ordering::Acquire)
        {
            Ok(_) => true,
            Err(present) => present == next,
        }
    }
}
