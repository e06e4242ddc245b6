//! The age of the endpoint list and the number of failed discovery calls.

use crate::Clock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use woadstall_engine::Time;

/// A snapshot of discovery's condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryStatus {
    /// Time since discovery last responded, with or without changes. Before the first response, the time since the load
    /// balancer's start.
    pub list_age: Duration,
    /// Number of failed discovery calls since the load balancer's start.
    pub failed_calls: u64,
}

/// Records responses and failed calls of the discovery watch.
#[derive(Debug)]
pub(crate) struct DiscoveryCounts {
    clock: Clock,
    /// Time of the latest response, or of the load balancer's start.
    responded_at: AtomicU64,
    failed_calls: AtomicU64,
}

impl DiscoveryCounts {
    /// Creates counters without failures; the age of the list starts at zero.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            responded_at: AtomicU64::new(clock.now()),
            failed_calls: AtomicU64::new(0),
        }
    }

    /// Records a response from discovery.
    pub fn count_response(&self) {
        self.responded_at.store(self.clock.now(), Ordering::Relaxed);
    }

    /// Records a failed call.
    pub fn count_failure(&self) {
        self.failed_calls.fetch_add(1, Ordering::Relaxed);
    }

    pub fn status(&self) -> DiscoveryStatus {
        let responded_at: Time = self.responded_at.load(Ordering::Relaxed);
        DiscoveryStatus {
            list_age: Duration::from_nanos(self.clock.now().saturating_sub(responded_at)),
            failed_calls: self.failed_calls.load(Ordering::Relaxed),
        }
    }
}
