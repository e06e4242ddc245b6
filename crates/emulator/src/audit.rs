//! Audits a run independently of the balancers: checks each request against the four rules, and checks that
//! each call and each attempt ends exactly once.

use crate::event_queue::SequenceMap;
use crate::scenario::CallEffect;
use crate::units::{MS, SECOND};
use serde::{Deserialize, Serialize};
use std::fmt;
use woadstall_engine::{CallResult, Time};

/// Grace period for an answer after the deadline: the engine's deadline guard plus one step of the timers.
pub const RESPONSE_GRACE: Time = 40 * MS;
/// Time after which a balancer must send nothing new to an upstream that it knows to be draining or removed.
pub const DRAIN_GRACE: Time = SECOND;
/// Maximum number of breaches reported in full; further ones are only counted.
const MAX_REPORTED: usize = 20;

/// Rules that the auditor checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Rule 1: one final answer in time, and nothing sent afterwards.
    OneAnswer,
    /// Rule 2: no effect happens twice, and none after a refusal.
    NoEffectTwice,
    /// Rule 3: nothing new is sent to a draining or removed upstream more than 1 s after the balancer was told.
    Drained,
    /// Rule 4: no cold upstream is overloaded.
    Cold,
    /// Each call and each attempt ends once, and nothing is open at the end of the run.
    Conservation,
}

impl Rule {
    /// All rules, in the order of their counts.
    pub const ALL: [Self; 5] = [
        Self::OneAnswer,
        Self::NoEffectTwice,
        Self::Drained,
        Self::Cold,
        Self::Conservation,
    ];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OneAnswer => "rule 1 (one answer in time)",
            Self::NoEffectTwice => "rule 2 (no effect twice)",
            Self::Drained => "rule 3 (nothing new to the drained)",
            Self::Cold => "rule 4 (cold nodos are not pushed over)",
            Self::Conservation => "conservation",
        })
    }
}

/// A breach of a rule.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Breach {
    /// The rule that was broken.
    pub rule: Rule,
    /// Time of the breach, in nanoseconds since the start of the run.
    pub at: Time,
    /// Affected client call, if any; `explain` prints its trace.
    pub call: Option<u64>,
    /// Description of the breach.
    pub text: String,
}

/// Audit state of a request at a balancer.
struct AuditedRequest {
    call: u64,
    effect: CallEffect,
    deadline: Time,
    answered: u32,
    refused: bool,
    open_attempts: u32,
    effect_count: u32,
    reported_overdue: bool,
}

/// Latest information that a balancer has on the process at a host.
#[derive(Clone, Copy, Default)]
struct Notified {
    /// Start time of the process, in milliseconds of Unix time.
    boot_ms: u64,
    /// When the balancer was told that the process drains or is removed.
    unready_since: Option<Time>,
}

/// Audits a run; collects the breaches of all rules.
#[derive(Default)]
pub struct Auditor {
    requests: SequenceMap<AuditedRequest>,
    /// Latest information on each host, by balancer and host number.
    notified: Vec<Vec<Notified>>,
    breaches: Vec<Breach>,
    breach_counts: [u64; 5],
}

impl Auditor {
    fn record_breach(&mut self, rule: Rule, at: Time, call: Option<u64>, text: String) {
        self.breach_counts[rule as usize] += 1;
        if self.breaches.len() < MAX_REPORTED {
            self.breaches.push(Breach {
                rule,
                at,
                call,
                text,
            });
        }
    }

    /// Registers a request that reached a balancer, and returns its number. Requests are numbered from 0.
    pub fn request_received(&mut self, call: u64, effect: CallEffect, deadline: Time) -> u64 {
        let (answered, refused, out, ran, overdue) = (0, false, 0, 0, false);
        self.requests.add(AuditedRequest {
            call,
            effect,
            deadline,
            answered,
            refused,
            open_attempts: out,
            effect_count: ran,
            reported_overdue: overdue,
        })
    }

    /// Checks a balancer's answer. `stalled` is the length of a recent pause of the balancer's process, which
    /// extends the grace period.
    pub fn answered(&mut self, now: Time, request: u64, verdict: &CallResult<()>, stalled: Time) {
        let Some(case) = self.requests.get_mut(request) else {
            return self.record_breach(
                Rule::OneAnswer,
                now,
                None,
                format!("request {request} was answered again, after it was over"),
            );
        };
        case.answered += 1;
        let (call, answered, ran, out) = (
            case.call,
            case.answered,
            case.effect_count,
            case.open_attempts,
        );
        let late = now.saturating_sub(case.deadline);
        let repeats = case.effect != CallEffect::Safe;
        if let CallResult::Rejected(_) = verdict {
            case.refused = true;
            if repeats && ran > 0 {
                self.record_breach(
                    Rule::NoEffectTwice,
                    now,
                    Some(call),
                    "refused as harmless, though it has run".to_owned(),
                );
            }
        }
        if answered > 1 {
            self.record_breach(
                Rule::OneAnswer,
                now,
                Some(call),
                format!("answered {answered} times"),
            );
        } else if late > RESPONSE_GRACE + stalled {
            let late = late / MS;
            self.record_breach(
                Rule::OneAnswer,
                now,
                Some(call),
                format!("answered {late} ms past its time"),
            );
        }
        self.remove_if_finished(request, out);
    }

    /// Closes a request that needs no answer any more, because its balancer died or its caller left.
    pub fn request_abandoned(&mut self, request: u64) {
        if let Some(case) = self.requests.get_mut(request) {
            case.answered = 1;
            let out = case.open_attempts;
            self.remove_if_finished(request, out);
        }
    }

    fn remove_if_finished(&mut self, request: u64, out: u32) {
        if out == 0
            && self
                .requests
                .get(request)
                .is_some_and(|case| case.answered > 0)
        {
            self.requests.take(request);
        }
    }

    /// Registers what a balancer was told of the process at a host.
    pub fn notified(&mut self, now: Time, balancer: usize, host: u32, boot_ms: u64, ready: bool) {
        let host = host as usize;
        if self.notified.len() <= balancer {
            self.notified.resize_with(balancer + 1, Vec::new);
        }
        let notified = &mut self.notified[balancer];
        if notified.len() <= host {
            notified.resize(host + 1, Notified::default());
        }
        let notified = &mut notified[host];
        notified.boot_ms = boot_ms;
        notified.unready_since = match ready {
            true => None,
            false => notified.unready_since.or(Some(now)),
        };
    }

    /// Clears what a balancer was told, as its new process receives the list anew.
    pub fn balancer_restarted(&mut self, balancer: usize) {
        if let Some(notified) = self.notified.get_mut(balancer) {
            notified.clear();
        }
    }

    /// Checks an attempt that a balancer sends.
    pub fn sent(&mut self, now: Time, request: u64, balancer: usize, host: u32) {
        let Some(case) = self.requests.get_mut(request) else {
            return self.record_breach(
                Rule::OneAnswer,
                now,
                None,
                format!("sent for request {request}, which is over"),
            );
        };
        case.open_attempts += 1;
        let (call, answered, late) = (case.call, case.answered, now.saturating_sub(case.deadline));
        if answered > 0 || late > RESPONSE_GRACE {
            self.record_breach(
                Rule::OneAnswer,
                now,
                Some(call),
                "sent for a request that is over".to_owned(),
            );
        }
        let notified = self
            .notified
            .get(balancer)
            .and_then(|notified| notified.get(host as usize));
        if let Some(since) = notified.and_then(|notified| notified.unready_since)
            && now > since + DRAIN_GRACE
        {
            let after = (now - since) as f64 / SECOND as f64;
            let text =
                format!("sent to host {host} {after:.3} s after it was told to drain, or gone");
            self.record_breach(Rule::Drained, now, Some(call), text);
        }
    }

    /// Checks an attempt that took effect. Repeats of keyed work that upstreams dropped are not reported here.
    pub fn effect_happened(&mut self, now: Time, request: u64) {
        let Some(case) = self.requests.get_mut(request) else {
            return;
        };
        case.effect_count += 1;
        let (call, ran, refused) = (case.call, case.effect_count, case.refused);
        if case.effect == CallEffect::Safe {
            return;
        }
        if ran > 1 {
            self.record_breach(
                Rule::NoEffectTwice,
                now,
                Some(call),
                format!("had its effect {ran} times"),
            );
        } else if refused {
            self.record_breach(
                Rule::NoEffectTwice,
                now,
                Some(call),
                "ran behind a refusal".to_owned(),
            );
        }
    }

    /// Registers that an attempt has ended both at its balancer and at its upstream.
    pub fn attempt_over(&mut self, now: Time, request: u64) {
        let Some(case) = self.requests.get_mut(request) else {
            return;
        };
        match case.open_attempts.checked_sub(1) {
            Some(out) => {
                case.open_attempts = out;
                self.remove_if_finished(request, out);
            }
            None => {
                let call = case.call;
                self.record_breach(
                    Rule::Conservation,
                    now,
                    Some(call),
                    "an attempt ended twice".to_owned(),
                );
            }
        }
    }

    /// Reports that a cold upstream was overloaded. `part` is the received load relative to the overload
    /// threshold.
    pub fn cold_overload(&mut self, now: Time, upstream: &str, part: f64) {
        let text = format!("{upstream} was sent {part:.2} of what pushes it over");
        self.record_breach(Rule::Cold, now, None, text);
    }

    /// Reports requests that are overdue without an answer. `stalled` extends the grace period as in
    /// [`Self::answered`].
    pub fn check_overdue(&mut self, now: Time, stalled: Time) {
        let late = |case: &AuditedRequest| now > case.deadline + RESPONSE_GRACE + stalled;
        let open = self
            .requests
            .iter()
            .filter(|(_, case)| case.answered == 0 && !case.reported_overdue && late(case));
        let open: Vec<_> = open.map(|(request, case)| (request, case.call)).collect();
        for (request, call) in open {
            if let Some(case) = self.requests.get_mut(request) {
                case.reported_overdue = true;
            }
            self.record_breach(
                Rule::OneAnswer,
                now,
                Some(call),
                "no answer when its time was over".to_owned(),
            );
        }
    }

    /// Checks at the end of the run that nothing is open. `open` is the number of requests that the balancers
    /// count as open.
    pub fn end(&mut self, now: Time, open: usize) {
        let cases = self
            .requests
            .iter()
            .map(|(_, case)| case.call)
            .collect::<Vec<_>>();
        if let Some(&call) = cases.first() {
            let text = format!("{} requests are not over at the end", cases.len());
            self.record_breach(Rule::Conservation, now, Some(call), text);
        }
        if open > 0 {
            let text = format!("{open} requests are open in balancers at the end");
            self.record_breach(Rule::Conservation, now, None, text);
        }
    }

    /// Number of breaches by rule, in the order of [`Rule::ALL`], and the first breaches in full.
    pub fn findings(self) -> ([u64; 5], Vec<Breach>) {
        (self.breach_counts, self.breaches)
    }
}
