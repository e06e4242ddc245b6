//! Checks rules 1 to 4 (see [`Rule`]) from the requests and responses that callers and upstreams observe.

use crate::lock;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use woadstall_emulator::{Breach, CallEffect, Rule};

/// Tolerated lateness of a response, since one busy machine runs callers, balancers and upstreams.
const RESPONSE_GRACE: Duration = Duration::from_millis(250);
/// Time after the drain notification during which an upstream may still receive requests: the second that rule 3
/// allows, and 250 ms for transmission.
const DRAIN_GRACE: Duration = Duration::from_millis(1_250);
/// The largest number of breaches reported with their text; further breaches are only counted.
const MAX_REPORTED_BREACHES: usize = 20;

/// The observed executions and rejection of a request.
#[derive(Default)]
struct RequestRecord {
    executions: u32,
    rejected: bool,
}

/// A period during which the process of a daemon was suspended.
struct Suspension {
    daemon: SocketAddr,
    /// Time at which the process was resumed; `None` while the process is suspended.
    resumed_at: Option<Instant>,
}

/// The idempotency key of an executed request.
#[derive(Clone, Copy, Debug)]
pub struct ExecutionKey<'a> {
    /// Value of the key.
    pub key: &'a str,
    /// Group of upstreams that share one record of executed keys.
    pub group: u32,
    /// Time for which the group remembers the key.
    pub window: Duration,
}

/// A caller's observation of a request.
#[derive(Clone, Copy, Debug)]
pub struct CallerObservation<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Time budget of the request when sent.
    pub time_left: Duration,
    /// Whether any response arrived.
    pub answered: bool,
    /// Address of the daemon; `None` for a request through a plug-in.
    pub daemon: Option<SocketAddr>,
}

#[derive(Default)]
struct State {
    requests: HashMap<String, RequestRecord>,
    /// Time of the last completed request for each key and group of upstreams.
    last_completions: HashMap<(String, u32), Instant>,
    overdue_at_suspended: u64,
    unanswered: u64,
    ran_twice: u64,
    suspensions: Vec<Suspension>,
    breaches: Vec<Breach>,
    counts: BTreeMap<Rule, u64>,
}

impl State {
    /// Counts a breach at a time since the start of the callers, and keeps the text of the first breaches.
    fn record_breach(&mut self, elapsed: Duration, rule: Rule, text: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < MAX_REPORTED_BREACHES {
            self.breaches.push(Breach {
                rule,
                at: elapsed.as_nanos() as u64,
                call: None,
                text,
            });
        }
    }
}

/// Records observations of callers and upstreams, and counts breaches of the rules.
pub struct RuleChecker {
    start: Instant,
    state: Mutex<State>,
}

impl RuleChecker {
    /// Creates a checker without observations for callers that begin at `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            state: Mutex::default(),
        }
    }

    /// Records that an upstream has completed a request. A repeated key within its window counts as a duplicate that
    /// the upstream's group has recognized, and not as an execution.
    pub fn record_execution(
        &self,
        request: &str,
        effect: CallEffect,
        key: Option<ExecutionKey<'_>>,
    ) {
        let (elapsed, mut state) = (self.start.elapsed(), lock(&self.state));
        if let Some(key) = key {
            let now = Instant::now();
            let last = state
                .last_completions
                .insert((key.key.to_owned(), key.group), now);
            if last.is_some_and(|last| now < last + key.window) {
                return;
            }
        }
        let record = state.requests.entry(request.to_owned()).or_default();
        record.executions += 1;
        let (executions, rejected) = (record.executions, record.rejected);
        state.ran_twice += u64::from(executions == 2);
        if effect == CallEffect::Safe {
            return;
        }
        if executions > 1 {
            let text = format!("{request} had its effect {executions} times");
            state.record_breach(elapsed, Rule::NoEffectTwice, text);
        } else if rejected {
            let text = format!("{request} ran behind a refusal");
            state.record_breach(elapsed, Rule::NoEffectTwice, text);
        }
    }

    /// Records that a caller's request was rejected.
    pub fn record_rejection(&self, request: &str, effect: CallEffect) {
        let (elapsed, mut state) = (self.start.elapsed(), lock(&self.state));
        let record = state.requests.entry(request.to_owned()).or_default();
        record.rejected = true;
        if record.executions > 0 && effect != CallEffect::Safe {
            let text = format!("{request} was refused, though it has run");
            state.record_breach(elapsed, Rule::NoEffectTwice, text);
        }
    }

    /// Records that a daemon's process was suspended or resumed. Requests in flight in a suspended daemon cannot be
    /// answered in time.
    pub fn set_suspended(&self, daemon: SocketAddr, suspended: bool) {
        let mut state = lock(&self.state);
        if suspended {
            state.suspensions.push(Suspension {
                daemon,
                resumed_at: None,
            });
            return;
        }
        for suspension in &mut state.suspensions {
            if suspension.daemon == daemon {
                suspension.resumed_at.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Records that a caller received a response or stopped waiting.
    pub fn record_response(&self, observation: CallerObservation<'_>) {
        let CallerObservation {
            request,
            sent_at,
            time_left,
            answered,
            daemon,
        } = observation;
        let lateness = sent_at.elapsed().saturating_sub(time_left);
        if lateness <= RESPONSE_GRACE && answered {
            return;
        }
        let mut state = lock(&self.state);
        state.unanswered += u64::from(!answered);
        // After it is resumed, a daemon first has to process the requests that accumulated in its sockets.
        let excuses = |suspension: &Suspension| {
            Some(suspension.daemon) == daemon
                && suspension
                    .resumed_at
                    .is_none_or(|resumed_at| sent_at < resumed_at + RESPONSE_GRACE)
        };
        if state.suspensions.iter().any(excuses) {
            state.overdue_at_suspended += 1;
            return;
        }
        let outcome = if answered {
            "was answered"
        } else {
            "had no answer"
        };
        let text = format!(
            "{request} {outcome} {} ms past its time",
            lateness.as_millis()
        );
        state.record_breach(self.start.elapsed(), Rule::OneAnswer, text);
    }

    /// Returns the number of requests without a timely response because their daemon's process was suspended.
    pub fn overdue_at_suspended(&self) -> u64 {
        lock(&self.state).overdue_at_suspended
    }

    /// Returns the number of requests without any response, for any reason.
    pub fn unanswered(&self) -> u64 {
        lock(&self.state).unanswered
    }

    /// Returns the number of requests that were executed more than once, including safe requests, which break no rule.
    pub fn ran_twice(&self) -> u64 {
        lock(&self.state).ran_twice
    }

    /// Records a request that reached a draining upstream. `since_notification` is the time since the balancers were
    /// notified of the draining.
    pub fn record_request_while_draining(&self, upstream: &str, since_notification: Duration) {
        if since_notification > DRAIN_GRACE {
            let text = format!(
                "{upstream} got a request {:.3} s after it was told to drain",
                since_notification.as_secs_f64()
            );
            lock(&self.state).record_breach(self.start.elapsed(), Rule::Drained, text);
        }
    }

    /// Records the overload of a warming upstream. `load_fraction` is the received load relative to the load that
    /// crashes the upstream.
    pub fn record_overload(&self, upstream: &str, load_fraction: f64) {
        let text = format!("{upstream} was sent {load_fraction:.2} of what pushes it over");
        lock(&self.state).record_breach(self.start.elapsed(), Rule::Cold, text);
    }

    /// Returns the number of breaches of each rule in the order of [`Rule::ALL`], and the first breaches with their
    /// texts.
    pub fn findings(&self) -> ([u64; 5], Vec<Breach>) {
        let state = lock(&self.state);
        let counts = Rule::ALL.map(|rule| state.counts.get(&rule).copied().unwrap_or(0));
        (counts, state.breaches.clone())
    }
}
