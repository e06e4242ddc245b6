//! How discovery fares: the age of the list, and the calls that failed.

use crate::Clock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use woadstall_engine::Time;

/// How discovery fares at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryStatus {
    /// Time since discovery last answered, with changes or without; since the start, if it never has.
    pub list_age: Duration,
    /// Calls that failed, since the start.
    pub failed_calls: u64,
}

/// Counts what the watch on discovery reports.
#[derive(Debug)]
pub(crate) struct DiscoveryCounts {
    clock: Clock,
    responded_at: AtomicU64,
    failed_calls: AtomicU64,
}

impl DiscoveryCounts {
    /// Counts from now on.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            responded_at: AtomicU64::new(clock.now()),
            failed_calls: AtomicU64::new(0),
        }
    }

    /// Discovery has responded.
    pub fn count_response(&self) {
        self.responded_at.store(self.clock.now(), Ordering::Relaxed);
    }

    /// A call has failed.
    pub fn count_failure(&self) {
        self.failed_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// The present status.
    pub fn status(&self) -> DiscoveryStatus {
        let responded_at: Time = self.responded_at.load(Ordering::Relaxed);
        DiscoveryStatus {
            list_age: Duration::from_nanos(self.clock.now().saturating_sub(responded_at)),
            failed_calls: self.failed_calls.load(Ordering::Relaxed),
        }
    }
}
