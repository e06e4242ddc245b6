//! When the faults of a scenario happen on real clocks, for all that play it on sockets.

use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};
use woadstall_emulator::{Fault, Scenario};

/// How long an upstream that crashed under overload takes to come back.
pub const CRASH_RECOVERY: Duration = Duration::from_secs(5);
/// How long an upstream is down in a rolling restart.
pub const ROLL_DOWNTIME: Duration = Duration::from_secs(1);
/// What a draining upstream has beyond its callers' time to finish its work: the second that rule 3 allows, and the way.
const DRAIN_MARGIN: Duration = Duration::from_millis(1_250);
/// Nobody waits for longer than this for work that was given up on.
const MAX_EFFECT_DELAY: Duration = Duration::from_secs(5);

/// The schedule of a scenario from a start on.
pub struct Schedule {
    scenario: Arc<Scenario>,
    /// When callers begin.
    pub start: Instant,
}

impl Schedule {
    /// The schedule of a scenario whose callers begin at `start`.
    pub fn new(scenario: Arc<Scenario>, start: Instant) -> Self {
        Self { scenario, start }
    }

    /// Waits for a time of the scenario, in nanoseconds.
    pub async fn wait_until(&self, at: u64) {
        sleep_until((self.start + Duration::from_nanos(at)).into()).await;
    }

    /// Waits for the begin of a fault. One that is there from the start is so before the first call.
    pub async fn fault_begin(&self, fault: &Fault) {
        if fault.at.0 > 0 {
            self.wait_until(fault.at.0).await;
        }
    }

    /// Waits for the end of a fault. One without an end goes on after the last call: what is still open must not be
    /// served.
    pub async fn fault_end(&self, fault: &Fault) {
        match fault.until {
            Some(until) => self.wait_until(until.0).await,
            None => std::future::pending().await,
        }
    }

    /// The length of a fault, in nanoseconds.
    fn length(&self, fault: &Fault) -> u64 {
        fault.until.unwrap_or(self.scenario.duration).0 - fault.at.0
    }

    /// Waits until discovery has noticed what died with a fault's begin, or until the fault is over.
    pub async fn fault_noticed(&self, fault: &Fault) {
        let notice_delay = self
            .scenario
            .registry
            .detection_delay
            .0
            .min(self.length(fault));
        self.wait_until(fault.at.0 + notice_delay).await;
    }

    /// When the slot at `index` of `count` begins, in nanoseconds, where they divide the first `1/part` of a fault evenly.
    pub fn slot_begin(&self, fault: &Fault, part: u64, index: usize, count: usize) -> u64 {
        fault.at.0 + self.length(fault) / part * index as u64 / count as u64
    }

    /// Waits until a draining upstream has had its time.
    pub async fn drain(&self) {
        sleep(Duration::from_nanos(self.scenario.longest_deadline().0) + DRAIN_MARGIN).await;
    }
}

/// Waits for work that upstreams may still do though it was given up on: its effects count against the rules as well.
pub async fn wait_for_delayed_effects(scenario: &Scenario) {
    sleep(Duration::from_nanos(scenario.longest_deadline().0).min(MAX_EFFECT_DELAY)).await;
}
