//! When what a scenario's script says happens on real clocks, for all that play it on sockets.

use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};
use woadstall_emulator::{Fault, Scenario};

/// How long a nodo that fell over takes to come back.
pub const TOPPLED: Duration = Duration::from_secs(5);
/// A rolled nodo is gone for this time.
pub const GONE: Duration = Duration::from_secs(1);
/// What rolled nodos have beyond their callers' time to finish their work: rule 3's second, and the way.
const DRAINS: Duration = Duration::from_millis(1_250);
/// Nobody waits for longer than this for work that was given up on.
const LAST: Duration = Duration::from_secs(5);

/// A scenario from a start on.
pub struct Script {
    scenario: Arc<Scenario>,
    /// When callers begin.
    pub start: Instant,
}

impl Script {
    /// Of a scenario whose callers begin then.
    pub fn new(scenario: Arc<Scenario>, start: Instant) -> Self {
        Self { scenario, start }
    }

    /// Waits for a time of the scenario, in nanoseconds.
    pub async fn wait(&self, at: u64) {
        sleep_until((self.start + Duration::from_nanos(at)).into()).await;
    }

    /// Waits for the begin of a fault. What is wrong from the start is so before the first call.
    pub async fn begin_of(&self, fault: &Fault) {
        if fault.at.0 > 0 {
            self.wait(fault.at.0).await;
        }
    }

    /// One without an end goes on after the last call: what is still open must not be served.
    pub async fn end_of(&self, fault: &Fault) {
        match fault.until {
            Some(until) => self.wait(until.0).await,
            None => std::future::pending().await,
        }
    }

    fn length(&self, fault: &Fault) -> u64 {
        fault.until.unwrap_or(self.scenario.time).0 - fault.at.0
    }

    /// Waits until discovery has noticed what died with a fault's begin, or until the fault is over.
    pub async fn noticed(&self, fault: &Fault) {
        self.wait(
            fault.at.0
                + self
                    .scenario
                    .registry
                    .detection_delay
                    .0
                    .min(self.length(fault)),
        )
        .await;
    }

    /// When the one of `of` whose turn it is begins, where they share out a fault's first `part`-th evenly.
    pub fn turn(&self, fault: &Fault, part: u64, turn: usize, of: usize) -> u64 {
        fault.at.0 + self.length(fault) / part * turn as u64 / of as u64
    }

    /// Waits until what was told to drain has had its time.
    pub async fn drained(&self) {
        sleep(Duration::from_nanos(self.scenario.longest().0) + DRAINS).await;
    }
}

/// Waits for what nodos may still be at though it was given up on: what runs then counts against the rules as well.
pub async fn last_effects(scenario: &Scenario) {
    sleep(Duration::from_nanos(scenario.longest().0).min(LAST)).await;
}
