//! The handle through which a transport asks whether an attempt may still be sent.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::time::Instant;
use woadstall_engine::Peer;

/// An attempt at an upstream. While the connection is established, the caller may disconnect or the deadline may pass.
/// [`Attempt::begin`] therefore checks again whether the attempt may be sent.
#[derive(Clone, Debug)]
pub struct Attempt {
    peer: Peer,
    deadline: Instant,
    begin_by: Option<Instant>,
    permission: Arc<BeginPermission>,
}

impl Attempt {
    /// Creates an attempt for a caller that waits until `deadline`. The first byte of the attempt must be written
    /// before `begin_by`; `None` sets no such limit.
    pub fn new(peer: Peer, deadline: Instant, begin_by: Option<Instant>) -> Self {
        Self {
            peer,
            deadline,
            begin_by,
            permission: Arc::default(),
        }
    }

    /// The upstream process that receives the attempt.
    pub fn peer(&self) -> Peer {
        self.peer
    }

    /// Must be called immediately before the first byte is written. Returns the time left until the caller's deadline.
    /// After `None`, nothing may be written, and the attempt ends with `Outcome::Moot`.
    pub fn begin(&self) -> Option<Duration> {
        let now = Instant::now();
        let time_left = self.deadline.saturating_duration_since(now);
        let is_in_time = self.begin_by.is_none_or(|begin_by| now < begin_by);
        let may_begin = time_left > Duration::ZERO && is_in_time && self.permission.begin();
        may_begin.then_some(time_left)
    }

    /// Revokes the permission to begin. Returns `true` if the attempt had not begun: no byte of the attempt is written
    /// from then on.
    pub(crate) fn revoke(&self) -> bool {
        self.permission.revoke()
    }
}

const PENDING: u8 = 0;
const BEGUN: u8 = 1;
const REVOKED: u8 = 2;

/// Records whether an attempt is pending, has begun or was revoked.
#[derive(Debug, Default)]
struct BeginPermission(AtomicU8);

impl BeginPermission {
    /// Marks the attempt as begun. Returns `false` if the permission was revoked before.
    fn begin(&self) -> bool {
        self.transition_from_pending(BEGUN)
    }

    /// Marks the permission as revoked. Returns `false` if the attempt had begun before.
    fn revoke(&self) -> bool {
        self.transition_from_pending(REVOKED)
    }

    /// Changes the state from `PENDING` to `next`, and returns whether the state is `next` afterwards. `BEGUN` and
    /// `REVOKED` are final.
    fn transition_from_pending(&self, next: u8) -> bool {
        match self
            .0
            .compare_exchange(PENDING, next, Ordering::AcqRel, Ordering::Acquire)
        {
            Ok(_) => true,
            Err(current) => current == next,
        }
    }
}
