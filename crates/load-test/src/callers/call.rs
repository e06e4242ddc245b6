//! One call: its attempts, the backoff between them, and its outcome.

use super::Callers;
use super::attempt_result::AttemptResult;
use crate::lock;
use rand::RngExt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;
use woadstall_emulator::{Actor, CallEffect, CallOutcome, by_weight, chance, stream};

/// A call that begins later than this is counted as late.
const MAX_START_DELAY: Duration = Duration::from_millis(5);
/// A caller waits so much longer than its time before it is sure that no response comes.
pub const RESPONSE_PATIENCE: Duration = Duration::from_millis(250);

/// A call. Times are in nanoseconds since callers began.
pub struct Call {
    /// The group of its caller.
    pub group: usize,
    /// Its class.
    pub class: usize,
    /// Its number among all calls.
    pub number: u64,
    /// When it was due.
    pub due: u64,
    /// When a response no longer counts.
    pub deadline: u64,
}

impl Callers {
    /// Makes one call, with all its attempts.
    pub(super) async fn call(self: Arc<Self>, group: usize, due: u64, seed: u64) {
        self.record_lateness(due);
        let mut rng = stream(seed, Actor::CallerBehavior, 0);
        let callers = &self.scenario.callers[group];
        let class = by_weight(&self.mixes[group], rng.random::<f64>()).unwrap_or(0);
        let call = Call {
            group,
            class,
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
            due,
            deadline: due + self.scenario.class[class].deadline.0,
        };
        let measured = due >= self.scenario.warm_up.0;
        lock(&self.meter).offered(class, measured);
        let mut attempts = 0;
        let outcome = loop {
            attempts += 1;
            lock(&self.meter).request_sent();
            let left = Duration::from_nanos(call.deadline.saturating_sub(self.now()));
            let draw = rng.random::<u64>();
            let result = self.attempt(&call, attempts, left, draw).await;
            let ended = self.now();
            if matches!(result, AttemptResult::Served) {
                break self.served_outcome(&call, ended);
            }
            let backoff = callers.retries.delay(attempts, || rng.random::<f64>());
            let heeds_advice = chance(&mut rng, callers.honors_retry_after);
            let advice = match result {
                AttemptResult::Rejected { retry_after_ns } if heeds_advice => retry_after_ns,
                _ => 0,
            };
            match backoff.filter(|_| self.may_retry(&call, &result)) {
                Some(backoff) if ended + backoff.max(advice) < call.deadline => {
                    sleep(Duration::from_nanos(backoff.max(advice))).await;
                }
                _ if matches!(result, AttemptResult::Rejected { .. }) => {
                    break CallOutcome::Refused;
                }
                _ => break CallOutcome::Failed,
            }
        };
        let latency = self.now().saturating_sub(due);
        lock(&self.meter).ended(class, outcome, latency, measured);
    }

    fn record_lateness(&self, due: u64) {
        let lateness = Duration::from_nanos(self.now().saturating_sub(due));
        let mut lag = lock(&self.lag);
        lag.calls += 1;
        lag.late += u64::from(lateness > MAX_START_DELAY);
        lag.worst_ms = lag.worst_ms.max(lateness.as_secs_f64() * 1e3);
    }

    fn served_outcome(&self, call: &Call, ended: u64) -> CallOutcome {
        let latency_target = self.scenario.class[call.class].latency_target.0;
        if ended <= call.due + latency_target {
            CallOutcome::OnTime
        } else if ended <= call.deadline + RESPONSE_PATIENCE.as_nanos() as u64 {
            CallOutcome::Late
        } else {
            CallOutcome::Failed
        }
    }

    /// Whether a call may be retried after this result. What no balancer has seen, and what was rejected, had no effect.
    fn may_retry(&self, call: &Call, result: &AttemptResult) -> bool {
        let had_no_effect = matches!(
            result,
            AttemptResult::NotSent | AttemptResult::Rejected { .. }
        );
        had_no_effect || self.scenario.class[call.class].effect != CallEffect::Unsafe
    }
}
