//! Reports in the log of requests that were late, refused, failed or sent again. Off unless the command line asks for them,
//! and bounded in rate.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;
use woadstall_control::configuration::Route;
use woadstall_inbound::lock;
use woadstall_request_reports::{AttemptOutcome, AttemptReport, Cause, RequestReport};
use woadstall_routing::{CandidateSummary, Prompt, Target};

/// Writes reports, so many a second at most.
pub(crate) struct Reports {
    zone: String,
    most_per_second: u64,
    second: Mutex<Second>,
    /// Reports that found no room.
    left_out: AtomicU64,
}

/// The second in which reports were written last.
struct Second {
    began: Instant,
    written: u64,
}

impl Reports {
    /// Reports of a balancer in a zone; none where the rate is 0.
    pub fn new(zone: String, most_per_second: u64) -> Self {
        let second = Mutex::new(Second {
            began: Instant::now(),
            written: 0,
        });
        Self {
            zone,
            most_per_second,
            second,
            left_out: AtomicU64::new(0),
        }
    }

    /// Begins to follow a request, if reports are written at all.
    pub fn follow(
        self: &Arc<Self>,
        route: &Arc<Route>,
        service: &str,
        prompt: Prompt,
    ) -> Option<Trace> {
        let is_on = self.most_per_second > 0;
        is_on.then(|| Trace::new(self.clone(), route.clone(), service.to_owned(), prompt))
    }

    fn write(&self, report: &RequestReport) {
        let mut second = lock(&self.second);
        if second.began.elapsed() >= Duration::from_secs(1) {
            *second = Second {
                began: Instant::now(),
                written: 0,
            };
        }
        if second.written >= self.most_per_second {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return;
        }
        second.written += 1;
        drop(second);
        log::info!("{report}");
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            log::info!("reports left out: {left_out}");
        }
    }
}

/// What one request goes through. Dropped before its end, its client has left.
pub(crate) struct Trace {
    reports: Arc<Reports>,
    route: Arc<Route>,
    service: String,
    prompt: Prompt,
    arrived: Instant,
    attempt_began: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    pause: Duration,
    attempts: Vec<AttemptReport>,
    has_ended: bool,
}

impl Trace {
    fn new(reports: Arc<Reports>, route: Arc<Route>, service: String, prompt: Prompt) -> Self {
        let now = Instant::now();
        Self {
            reports,
            route,
            service,
            prompt,
            arrived: now,
            attempt_began: now,
            first: None,
            last: None,
            pause: Duration::ZERO,
            attempts: Vec::new(),
            has_ended: false,
        }
    }

    /// An attempt at an upstream begins.
    pub fn begin_attempt(&mut self, target: &Target, standing: &CandidateSummary) {
        self.attempt_began = Instant::now();
        let passed_over: BTreeMap<String, usize> = standing
            .skipped
            .iter()
            .map(|(obstacle, count)| (obstacle.to_string(), *count))
            .collect();
        self.attempts.push(AttemptReport {
            upstream: target.id.to_string(),
            zone: target.zone.to_string(),
            outcome: AttemptOutcome::Abandoned,
            began: milliseconds(self.arrived.elapsed()),
            took: 0,
            in_flight: target.in_flight,
            reading: target.prefill_backlog,
            candidates: standing.candidates,
            passed_over,
        });
    }

    /// The attempt has ended, or its answer has.
    pub fn end_attempt(&mut self, outcome: AttemptOutcome) {
        let took = milliseconds(self.attempt_began.elapsed());
        if let Some(attempt) = self.attempts.last_mut() {
            (attempt.outcome, attempt.took) = (outcome, took);
        }
    }

    /// A part of the answer has come.
    pub fn heard(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.pause = self.pause.max(now - last);
        }
    }

    /// The request was answered; that is reported where it was late or was sent again.
    pub fn answered(mut self) {
        let first = self.first.unwrap_or_else(Instant::now) - self.arrived;
        let is_late = first > self.route.target_latency
            || self
                .route
                .inter_event_target
                .is_some_and(|aim| self.pause > aim);
        match (is_late, self.attempts.len()) {
            (true, _) => self.end(Cause::Late),
            (false, 0 | 1) => self.has_ended = true,
            (false, _) => self.end(Cause::Repeated),
        }
    }

    /// The request has ended in another way.
    pub fn failed(mut self, cause: Cause) {
        self.end(cause);
    }

    fn end(&mut self, cause: Cause) {
        self.has_ended = true;
        self.reports.write(&RequestReport {
            cause,
            route: self.route.name.clone(),
            service: std::mem::take(&mut self.service),
            zone: self.reports.zone.clone(),
            priority: self.route.priority,
            total: milliseconds(self.arrived.elapsed()),
            first: self.first.map(|first| milliseconds(first - self.arrived)),
            pause: milliseconds(self.pause),
            target: milliseconds(self.route.target_latency),
            prompt: self.prompt.total_tokens,
            shared: self.prompt.prefix_tokens,
            attempts: std::mem::take(&mut self.attempts),
        });
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if !self.has_ended {
            self.end(Cause::ClientLeft);
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
