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
/// Time for which a balancer may still send new attempts to an upstream that it knows to be draining or removed.
pub const DRAIN_GRACE: Time = SECOND;
/// Maximum number of breaches reported in full; further ones are only counted.
const MAX_REPORTED: usize = 20;

/// Rules that the auditor checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Rule 1: each request gets one final answer in time, and nothing is sent for it afterwards.
    OneAnswer,
    /// Rule 2: no request takes effect twice, and none takes effect after its refusal.
    NoEffectTwice,
    /// Rule 3: a balancer sends nothing new to an upstream more than 1 s after it was told that the upstream is
    /// draining or removed.
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
    answer_count: u32,
    refused: bool,
    open_attempts: u32,
    effect_count: u32,
    /// The missing answer was reported as a breach already.
    reported_overdue: bool,
}

/// Latest information that a balancer was given on the process at a host.
#[derive(Clone, Copy, Default)]
struct HostNotice {
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
    notices: Vec<Vec<HostNotice>>,
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
        self.requests.add(AuditedRequest {
            call,
            effect,
            deadline,
            answer_count: 0,
            refused: false,
            open_attempts: 0,
            effect_count: 0,
            reported_overdue: false,
        })
    }

    /// Checks a balancer's answer. `stalled` is the length of a recent pause of the balancer's process, which
    /// extends the grace period.
    pub fn answered(&mut self, now: Time, request: u64, result: &CallResult<()>, stalled: Time) {
        let Some(audited) = self.requests.get_mut(request) else {
            return self.record_breach(
                Rule::OneAnswer,
                now,
                None,
                format!("request {request} was answered again, after it was over"),
            );
        };
        audited.answer_count += 1;
        let (call, answer_count, effect_count, open_attempts) = (
            audited.call,
            audited.answer_count,
            audited.effect_count,
            audited.open_attempts,
        );
        let late = now.saturating_sub(audited.deadline);
        let must_not_repeat = audited.effect != CallEffect::Safe;
        if let CallResult::Rejected(_) = result {
            audited.refused = true;
            if must_not_repeat && effect_count > 0 {
                self.record_breach(
                    Rule::NoEffectTwice,
                    now,
                    Some(call),
                    "refused as harmless, though it has run".to_owned(),
                );
            }
        }
        if answer_count > 1 {
            self.record_breach(
                Rule::OneAnswer,
                now,
                Some(call),
                format!("answered {answer_count} times"),
            );
        } else if late > RESPONSE_GRACE + stalled {
            let late_ms = late / MS;
            self.record_breach(
                Rule::OneAnswer,
                now,
                Some(call),
                format!("answered {late_ms} ms past its time"),
            );
        }
        self.remove_if_finished(request, open_attempts);
    }

    /// Closes a request that no longer needs an answer, because its balancer died or its caller left.
    pub fn request_abandoned(&mut self, request: u64) {
        if let Some(audited) = self.requests.get_mut(request) {
            audited.answer_count = 1;
            let open_attempts = audited.open_attempts;
            self.remove_if_finished(request, open_attempts);
        }
    }

    fn remove_if_finished(&mut self, request: u64, open_attempts: u32) {
        if open_attempts == 0
            && self
                .requests
                .get(request)
                .is_some_and(|audited| audited.answer_count > 0)
        {
            self.requests.take(request);
        }
    }

    /// Registers what a balancer was told of the process at a host.
    pub fn notified(&mut self, now: Time, balancer: usize, host: u32, boot_ms: u64, ready: bool) {
        let host = host as usize;
        if self.notices.len() <= balancer {
            self.notices.resize_with(balancer + 1, Vec::new);
        }
        let host_notices = &mut self.notices[balancer];
        if host_notices.len() <= host {
            host_notices.resize(host + 1, HostNotice::default());
        }
        let notice = &mut host_notices[host];
        notice.boot_ms = boot_ms;
        notice.unready_since = match ready {
            true => None,
            false => notice.unready_since.or(Some(now)),
        };
    }

    /// Clears what a balancer was told, as its new process receives the list anew.
    pub fn balancer_restarted(&mut self, balancer: usize) {
        if let Some(host_notices) = self.notices.get_mut(balancer) {
            host_notices.clear();
        }
    }

    /// Checks an attempt that a balancer sends.
    pub fn sent(&mut self, now: Time, request: u64, balancer: usize, host: u32) {
        let Some(audited) = self.requests.get_mut(request) else {
            return self.record_breach(
                Rule::OneAnswer,
                now,
                None,
                format!("sent for request {request}, which is over"),
            );
        };
        audited.open_attempts += 1;
        let (call, answer_count) = (audited.call, audited.answer_count);
        let late = now.saturating_sub(audited.deadline);
        if answer_count > 0 || late > RESPONSE_GRACE {
            self.record_breach(
                Rule::OneAnswer,
                now,
                Some(call),
                "sent for a request that is over".to_owned(),
            );
        }
        let notice = self
            .notices
            .get(balancer)
            .and_then(|host_notices| host_notices.get(host as usize));
        if let Some(since) = notice.and_then(|notice| notice.unready_since)
            && now > since + DRAIN_GRACE
        {
            let seconds = (now - since) as f64 / SECOND as f64;
            let text =
                format!("sent to host {host} {seconds:.3} s after it was told to drain, or gone");
            self.record_breach(Rule::Drained, now, Some(call), text);
        }
    }

    /// Checks an attempt that took effect. Repeats of keyed work that upstreams dropped are not reported here.
    pub fn effect_happened(&mut self, now: Time, request: u64) {
        let Some(audited) = self.requests.get_mut(request) else {
            return;
        };
        audited.effect_count += 1;
        let (call, effect_count, refused) = (audited.call, audited.effect_count, audited.refused);
        if audited.effect == CallEffect::Safe {
            return;
        }
        if effect_count > 1 {
            self.record_breach(
                Rule::NoEffectTwice,
                now,
                Some(call),
                format!("had its effect {effect_count} times"),
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
        let Some(audited) = self.requests.get_mut(request) else {
            return;
        };
        match audited.open_attempts.checked_sub(1) {
            Some(open_attempts) => {
                audited.open_attempts = open_attempts;
                self.remove_if_finished(request, open_attempts);
            }
            None => {
                let call = audited.call;
                self.record_breach(
                    Rule::Conservation,
                    now,
                    Some(call),
                    "an attempt ended twice".to_owned(),
                );
            }
        }
    }

    /// Reports that a cold upstream was overloaded. `relative_load` is the received load relative to the overload
    /// threshold.
    pub fn cold_overload(&mut self, now: Time, upstream: &str, relative_load: f64) {
        let text = format!("{upstream} was sent {relative_load:.2} of what pushes it over");
        self.record_breach(Rule::Cold, now, None, text);
    }

    /// Reports requests that are overdue without an answer. `stalled` extends the grace period as in
    /// [`Self::answered`].
    pub fn check_overdue(&mut self, now: Time, stalled: Time) {
        let is_late = |audited: &AuditedRequest| now > audited.deadline + RESPONSE_GRACE + stalled;
        let overdue = self.requests.iter().filter(|(_, audited)| {
            audited.answer_count == 0 && !audited.reported_overdue && is_late(audited)
        });
        let overdue: Vec<_> = overdue
            .map(|(request, audited)| (request, audited.call))
            .collect();
        for (request, call) in overdue {
            if let Some(audited) = self.requests.get_mut(request) {
                audited.reported_overdue = true;
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
        let unfinished_calls = self
            .requests
            .iter()
            .map(|(_, audited)| audited.call)
            .collect::<Vec<_>>();
        if let Some(&call) = unfinished_calls.first() {
            let text = format!(
                "{} requests are not over at the end",
                unfinished_calls.len()
            );
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
