//! One call: its attempts, the backoff between attempts, and the outcome.

use super::Callers;
use super::attempt_result::AttemptResult;
use crate::lock;
use rand::RngExt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;
use woadstall_emulator::{Actor, CallEffect, CallOutcome, by_weight, chance, stream};

/// A call that starts with a longer delay is counted as late in [`Lag`](woadstall_emulator_cli::rows::Lag).
const MAX_START_DELAY: Duration = Duration::from_millis(5);
/// Time after the deadline during which a caller still waits, to distinguish a late response from a missing response.
pub const RESPONSE_GRACE_PERIOD: Duration = Duration::from_millis(250);

/// A call. Times are in nanoseconds since the callers' start.
pub struct Call {
    /// Index of the caller group.
    pub group: usize,
    /// Index of the call class.
    pub class: usize,
    /// Number of the call among all calls of the run.
    pub number: u64,
    /// Scheduled start of the call.
    pub due: u64,
    /// Deadline of the call.
    pub deadline: u64,
}

impl Callers {
    /// Makes one call, including its retries.
    pub(super) async fn call(self: Arc<Self>, group: usize, due: u64, seed: u64) {
        self.record_lateness(due);
        let mut rng = stream(seed, Actor::CallerBehavior, 0);
        let caller_group = &self.scenario.callers[group];
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
            let time_left = Duration::from_nanos(call.deadline.saturating_sub(self.now()));
            let draw = rng.random::<u64>();
            let result = self.attempt(&call, attempts, time_left, draw).await;
            let ended = self.now();
            if matches!(result, AttemptResult::Served) {
                break self.served_outcome(&call, ended);
            }
            let backoff = caller_group.retries.delay(attempts, || rng.random::<f64>());
            let honors_retry_after = chance(&mut rng, caller_group.honors_retry_after);
            let retry_after_ns = match result {
                AttemptResult::Rejected { retry_after_ns } if honors_retry_after => retry_after_ns,
                _ => 0,
            };
            match backoff.filter(|_| self.may_retry(&call, &result)) {
                Some(backoff) if ended + backoff.max(retry_after_ns) < call.deadline => {
                    sleep(Duration::from_nanos(backoff.max(retry_after_ns))).await;
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
        } else if ended <= call.deadline + RESPONSE_GRACE_PERIOD.as_nanos() as u64 {
            CallOutcome::Late
        } else {
            CallOutcome::Failed
        }
    }

    /// Returns whether a call may be retried after this result. Attempts that reached no balancer or were rejected had
    /// no effect, so that even unsafe calls may be retried.
    fn may_retry(&self, call: &Call, result: &AttemptResult) -> bool {
        let had_no_effect = matches!(
            result,
            AttemptResult::NotSent | AttemptResult::Rejected { .. }
        );
        had_no_effect || self.scenario.class[call.class].effect != CallEffect::Unsafe
    }
}
