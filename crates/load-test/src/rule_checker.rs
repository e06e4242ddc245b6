//! The check of the four rules, as far as they show from outside, from what callers and upstreams see.

use crate::lock;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use woadstall_emulator::{Breach, CallEffect, Rule};

/// Grace for a response on a busy machine that runs everything.
const RESPONSE_GRACE: Duration = Duration::from_millis(250);
/// How long an upstream may still get requests after it was announced as draining: the second that rule 3 allows, and the
/// way.
const DRAIN_GRACE: Duration = Duration::from_millis(1_250);
/// Breaches that are reported in full; the others are counted.
const MAX_REPORTED_BREACHES: usize = 20;

/// What was seen of a request.
#[derive(Default)]
struct RequestRecord {
    executions: u32,
    rejected: bool,
}

/// A time in which the process of a daemon was suspended.
struct Suspension {
    daemon: SocketAddr,
    /// When it was resumed, if it was.
    until: Option<Instant>,
}

/// The idempotency key of executed work.
#[derive(Clone, Copy, Debug)]
pub struct ExecutionKey<'a> {
    /// The key.
    pub key: &'a str,
    /// The group of upstreams that share what they remember of keys.
    pub group: u32,
    /// How long they remember it.
    pub window: Duration,
}

/// What a caller saw of a request.
#[derive(Clone, Copy, Debug)]
pub struct CallerObservation<'a> {
    /// The request's id.
    pub request: &'a str,
    /// When it was sent.
    pub sent: Instant,
    /// The time that was left for it then.
    pub left: Duration,
    /// Whether there was a response at all.
    pub answered: bool,
    /// The daemon that it was sent to, if it was one.
    pub daemon: Option<SocketAddr>,
}

#[derive(Default)]
struct State {
    requests: HashMap<String, RequestRecord>,
    /// When a group of upstreams last ran the work of a key.
    keys: HashMap<(String, u32), Instant>,
    overdue_at_suspended: u64,
    unanswered: u64,
    ran_twice: u64,
    suspensions: Vec<Suspension>,
    breaches: Vec<Breach>,
    counts: BTreeMap<Rule, u64>,
}

impl State {
    fn breach(&mut self, at: Duration, rule: Rule, text: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < MAX_REPORTED_BREACHES {
            self.breaches.push(Breach {
                rule,
                at: at.as_nanos() as u64,
                call: None,
                text,
            });
        }
    }
}

/// See the module's documentation.
pub struct RuleChecker {
    start: Instant,
    state: Mutex<State>,
}

impl RuleChecker {
    /// A checker that has seen nothing. Callers begin at `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            state: Mutex::default(),
        }
    }

    /// An upstream has done the work of a request, or found that its group has done that of the key before.
    pub fn record_execution(
        &self,
        request: &str,
        effect: CallEffect,
        key: Option<ExecutionKey<'_>>,
    ) {
        let (at, mut state) = (self.start.elapsed(), lock(&self.state));
        if let Some(key) = key {
            let now = Instant::now();
            let last = state.keys.insert((key.key.to_owned(), key.group), now);
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
            state.breach(at, Rule::NoEffectTwice, text);
        } else if rejected {
            let text = format!("{request} ran behind a refusal");
            state.breach(at, Rule::NoEffectTwice, text);
        }
    }

    /// A caller's request was rejected.
    pub fn record_rejection(&self, request: &str, effect: CallEffect) {
        let (at, mut state) = (self.start.elapsed(), lock(&self.state));
        let record = state.requests.entry(request.to_owned()).or_default();
        record.rejected = true;
        if record.executions > 0 && effect != CallEffect::Safe {
            let text = format!("{request} was refused, though it has run");
            state.breach(at, Rule::NoEffectTwice, text);
        }
    }

    /// A daemon's process is suspended, or resumed: requests in flight in it cannot be answered in time.
    pub fn set_suspended(&self, daemon: SocketAddr, suspended: bool) {
        let mut state = lock(&self.state);
        if suspended {
            let until = None;
            state.suspensions.push(Suspension { daemon, until });
            return;
        }
        for suspension in &mut state.suspensions {
            if suspension.daemon == daemon {
                suspension.until.get_or_insert_with(Instant::now);
            }
        }
    }

    /// A caller had its response, or gave up.
    pub fn record_response(&self, observation: CallerObservation<'_>) {
        let CallerObservation {
            request,
            sent,
            left,
            answered,
            daemon,
        } = observation;
        let lateness = sent.elapsed().saturating_sub(left);
        if lateness <= RESPONSE_GRACE && answered {
            return;
        }
        let mut state = lock(&self.state);
        state.unanswered += u64::from(!answered);
        // What a daemon finds in its sockets when it is resumed is a batch that it has to work through.
        let excuses = |suspension: &Suspension| {
            Some(suspension.daemon) == daemon
                && suspension
                    .until
                    .is_none_or(|until| sent < until + RESPONSE_GRACE)
        };
        if state.suspensions.iter().any(excuses) {
            state.overdue_at_suspended += 1;
            return;
        }
        let what = if answered {
            "was answered"
        } else {
            "had no answer"
        };
        let text = format!("{request} {what} {} ms past its time", lateness.as_millis());
        state.breach(self.start.elapsed(), Rule::OneAnswer, text);
    }

    /// Requests that had no response in time since their daemon's process was suspended.
    pub fn overdue_at_suspended(&self) -> u64 {
        lock(&self.state).overdue_at_suspended
    }

    /// Requests that never had a response, whatever the reason.
    pub fn unanswered(&self) -> u64 {
        lock(&self.state).unanswered
    }

    /// Requests whose work ran more than once; harmless for safe ones.
    pub fn ran_twice(&self) -> u64 {
        lock(&self.state).ran_twice
    }

    /// A request reached an upstream that was announced as draining so long ago.
    pub fn record_request_while_draining(&self, upstream: &str, since: Duration) {
        if since > DRAIN_GRACE {
            let text = format!(
                "{upstream} got a request {:.3} s after it was told to drain",
                since.as_secs_f64()
            );
            lock(&self.state).breach(self.start.elapsed(), Rule::Drained, text);
        }
    }

    /// A warming upstream was overloaded: it got this share of the load that crashes it.
    pub fn record_overload(&self, upstream: &str, share: f64) {
        let text = format!("{upstream} was sent {share:.2} of what pushes it over");
        lock(&self.state).breach(self.start.elapsed(), Rule::Cold, text);
    }

    /// How often each rule was broken, in the order of [`Rule::ALL`], and the first breaches in full.
    pub fn findings(&self) -> ([u64; 5], Vec<Breach>) {
        let state = lock(&self.state);
        let counts = Rule::ALL.map(|rule| state.counts.get(&rule).copied().unwrap_or(0));
        (counts, state.breaches.clone())
    }
}
