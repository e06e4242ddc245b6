//! Logs reports of requests that were late, rejected, failed or retried. Reports are rate limited
//! and disabled unless the command line sets a rate.

use crate::time::millis;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;
use woadstall_control::configuration::Route;
use woadstall_inbound::lock;
use woadstall_request_reports::{AttemptOutcome, AttemptReport, Cause, RequestReport};
use woadstall_routing::{CandidateSummary, Prompt, Target};

/// Length of the windows in which reports are counted for the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Writes request reports to the log at a limited rate.
pub(super) struct ReportLog {
    /// Zone of this balancer.
    zone: String,
    max_per_second: u64,
    window: Mutex<RateWindow>,
    /// Number of reports dropped by the rate limit since the last `request_reports_dropped` line.
    dropped: AtomicU64,
}

/// The most recent window of the rate limit and the number of reports written in it.
struct RateWindow {
    began: Instant,
    written: u64,
}

impl RateWindow {
    fn new() -> Self {
        Self {
            began: Instant::now(),
            written: 0,
        }
    }
}

impl ReportLog {
    /// Creates the report log of a balancer in `zone`. A rate of 0 disables reports.
    pub fn new(zone: String, max_per_second: u64) -> Self {
        Self {
            zone,
            max_per_second,
            window: Mutex::new(RateWindow::new()),
            dropped: AtomicU64::new(0),
        }
    }

    /// Starts tracing a request; `None` if reports are disabled.
    pub fn trace(
        self: &Arc<Self>,
        route: &Arc<Route>,
        service: &str,
        prompt: Prompt,
    ) -> Option<RequestTrace> {
        let is_enabled = self.max_per_second > 0;
        is_enabled
            .then(|| RequestTrace::new(self.clone(), route.clone(), service.to_owned(), prompt))
    }

    fn write(&self, report: &RequestReport) {
        if !self.take_permit() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        log::info!("{report}");
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            log::info!("request_reports_dropped count={dropped}");
        }
    }

    fn take_permit(&self) -> bool {
        let mut window = lock(&self.window);
        if window.began.elapsed() >= RATE_WINDOW {
            *window = RateWindow::new();
        }
        if window.written >= self.max_per_second {
            return false;
        }
        window.written += 1;
        true
    }
}

/// Collects the data for the report of one request. A trace that is dropped before the request has
/// ended reports that the client has disconnected.
pub(super) struct RequestTrace {
    log: Arc<ReportLog>,
    route: Arc<Route>,
    service: String,
    prompt: Prompt,
    arrived: Instant,
    attempt_began: Instant,
    /// Arrival of the first response data.
    first_data: Option<Instant>,
    /// Arrival of the most recent response data.
    last_data: Option<Instant>,
    longest_gap: Duration,
    attempts: Vec<AttemptReport>,
    /// Whether the route is resumable but this stream could not be resumed.
    is_not_resumable: bool,
    has_ended: bool,
}

impl RequestTrace {
    fn new(log: Arc<ReportLog>, route: Arc<Route>, service: String, prompt: Prompt) -> Self {
        let now = Instant::now();
        Self {
            log,
            route,
            service,
            prompt,
            arrived: now,
            attempt_began: now,
            first_data: None,
            last_data: None,
            longest_gap: Duration::ZERO,
            attempts: Vec::new(),
            is_not_resumable: false,
            has_ended: false,
        }
    }

    /// Starts the record of an attempt, together with the router's summary of the candidates.
    pub fn begin_attempt(&mut self, target: &Target, candidates: &CandidateSummary) {
        self.attempt_began = Instant::now();
        let excluded: BTreeMap<String, usize> = candidates
            .skipped
            .iter()
            .map(|(obstacle, count)| (obstacle.to_string(), *count))
            .collect();
        self.attempts.push(AttemptReport {
            upstream: target.id.to_string(),
            zone: target.zone.to_string(),
            outcome: AttemptOutcome::Cancelled,
            start_offset_ms: millis(self.arrived.elapsed()),
            duration_ms: 0,
            in_flight: target.in_flight,
            prefill_tokens: target.prefill_backlog,
            candidates: candidates.candidates,
            excluded,
        });
    }

    /// Records the outcome and the duration of the current attempt.
    pub fn end_attempt(&mut self, outcome: AttemptOutcome) {
        let duration_ms = millis(self.attempt_began.elapsed());
        if let Some(attempt) = self.attempts.last_mut() {
            attempt.outcome = outcome;
            attempt.duration_ms = duration_ms;
        }
    }

    /// Records the arrival of response data and updates the longest gap between arrivals.
    pub fn record_data(&mut self) {
        let now = Instant::now();
        self.first_data.get_or_insert(now);
        if let Some(last) = self.last_data.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
    }

    /// Records that the stream could not be resumed if it broke.
    pub fn record_not_resumable(&mut self) {
        self.is_not_resumable = true;
    }

    /// Ends the trace of a request that was answered completely. A report is written only if the
    /// request missed its latency targets or was retried.
    pub fn complete(mut self) {
        let latency = self.first_data.unwrap_or_else(Instant::now) - self.arrived;
        let gap_limit = self.route.inter_event_target;
        let missed_target = latency > self.route.target_latency
            || gap_limit.is_some_and(|limit| self.longest_gap > limit);
        if missed_target {
            self.report(Cause::TargetMissed);
        } else if self.attempts.len() > 1 {
            self.report(Cause::Retried);
        } else {
            self.has_ended = true;
        }
    }

    /// Ends the trace of a request that did not get a complete response and writes its report.
    pub fn fail(mut self, cause: Cause) {
        let cause = match cause {
            Cause::Failed if self.is_not_resumable => Cause::NotResumed,
            cause => cause,
        };
        self.report(cause);
    }

    fn report(&mut self, cause: Cause) {
        self.has_ended = true;
        let first_data_ms = self.first_data.map(|first| millis(first - self.arrived));
        self.log.write(&RequestReport {
            cause,
            route: self.route.name.clone(),
            service: std::mem::take(&mut self.service),
            balancer_zone: self.log.zone.clone(),
            priority: self.route.priority,
            total_ms: millis(self.arrived.elapsed()),
            first_data_ms,
            longest_gap_ms: millis(self.longest_gap),
            target_latency_ms: millis(self.route.target_latency),
            prompt_tokens: self.prompt.total_tokens,
            shared_tokens: self.prompt.prefix_tokens,
            attempts: std::mem::take(&mut self.attempts),
        });
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        if !self.has_ended {
            self.report(Cause::ClientDisconnected);
        }
    }
}
