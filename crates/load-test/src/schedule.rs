//! Real-time schedule of a scenario's faults, shared by the load test and the cluster test.

use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};
use woadstall_emulator::{Fault, Scenario};

/// Time between the crash of an overloaded upstream and its restart.
pub const CRASH_RECOVERY: Duration = Duration::from_secs(5);
/// Downtime of an upstream in a rolling restart.
pub const ROLL_DOWNTIME: Duration = Duration::from_secs(1);
/// Time that a draining upstream has in addition to the longest deadline: the second that rule 3 allows, and 250 ms for
/// transmission.
const DRAIN_MARGIN: Duration = Duration::from_millis(1_250);
/// The longest wait for the effects of abandoned requests.
const MAX_EFFECT_DELAY: Duration = Duration::from_secs(5);

/// The schedule of a scenario, relative to a start time.
pub struct Schedule {
    scenario: Arc<Scenario>,
    /// Start time of the callers.
    pub start: Instant,
}

impl Schedule {
    /// Creates the schedule of a scenario whose callers begin at `start`.
    pub fn new(scenario: Arc<Scenario>, start: Instant) -> Self {
        Self { scenario, start }
    }

    /// Waits until `at`, in nanoseconds since the start.
    pub async fn wait_until(&self, at: u64) {
        sleep_until((self.start + Duration::from_nanos(at)).into()).await;
    }

    /// Waits for the start of a fault. A fault that starts at 0 does not wait for `start`, so that the fault is active
    /// before the first call.
    pub async fn wait_for_fault_start(&self, fault: &Fault) {
        if fault.at.0 > 0 {
            self.wait_until(fault.at.0).await;
        }
    }

    /// Waits for the end of a fault. A fault without an end stays active after the last call, so that requests still
    /// open are not served.
    pub async fn wait_for_fault_end(&self, fault: &Fault) {
        match fault.until {
            Some(until) => self.wait_until(until.0).await,
            None => std::future::pending().await,
        }
    }

    /// Returns the length of a fault, in nanoseconds.
    fn length(&self, fault: &Fault) -> u64 {
        fault.until.unwrap_or(self.scenario.duration).0 - fault.at.0
    }

    /// Waits until discovery has detected the processes killed at the start of a fault, or until the fault ends.
    pub async fn wait_for_fault_detection(&self, fault: &Fault) {
        let detection_delay = self
            .scenario
            .registry
            .detection_delay
            .0
            .min(self.length(fault));
        self.wait_until(fault.at.0 + detection_delay).await;
    }

    /// Returns the start of slot `index` in nanoseconds since the callers' start, where `count` equal slots divide the
    /// first `1/divisor` of a fault.
    pub fn slot_start(&self, fault: &Fault, divisor: u64, index: usize, count: usize) -> u64 {
        fault.at.0 + self.length(fault) / divisor * index as u64 / count as u64
    }

    /// Waits for the time that a draining upstream has to finish its requests.
    pub async fn wait_for_drain(&self) {
        sleep(Duration::from_nanos(self.scenario.longest_deadline().0) + DRAIN_MARGIN).await;
    }
}

/// Waits for upstreams to finish requests that callers have abandoned, since effects of these requests can also break
/// rules.
pub async fn wait_for_delayed_effects(scenario: &Scenario) {
    sleep(Duration::from_nanos(scenario.longest_deadline().0).min(MAX_EFFECT_DELAY)).await;
}
