//! The auditor: sees everything that happens and trusts no balancer. It holds the four rules against each
//! request, and counts calls and attempts, which must all end once.

use crate::event_queue::SequenceMap;
use crate::scenario::CallEffect;
use crate::units::{MS, SECOND};
use serde::{Deserialize, Serialize};
use std::fmt;
use woadstall_engine::{CallResult, Time};

/// Grace for an answer: the safety net's, and a step of the timers.
pub const GRACE: Time = 40 * MS;
/// Time after which nothing new may go to what is told to drain, or gone.
pub const DRAIN: Time = SECOND;
/// Breaches that are told in full; the rest is counted.
const MAX_REPORTED: usize = 20;

/// What can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// 1: one final answer in its time, and nothing sent afterwards.
    OneAnswer,
    /// 2: no effect twice, and none behind a refusal.
    NoEffectTwice,
    /// 3: nothing new to what drains or is gone, later than 1 s after being told.
    Drained,
    /// 4: no cold upstream pushed over.
    Cold,
    /// Each call and each attempt ends once; nothing is left at the end.
    Conservation,
}

impl Rule {
    /// All of them.
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

/// A breach.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Breach {
    /// What was broken.
    pub rule: Rule,
    /// When, in nanoseconds of the run.
    pub at: Time,
    /// The call, where there is one: `explain` tells its story.
    pub call: Option<u64>,
    /// What happened.
    pub text: String,
}

/// A request at a balancer.
struct Case {
    call: u64,
    effect: CallEffect,
    deadline: Time,
    answered: u32,
    refused: bool,
    out: u32,
    ran: u32,
    overdue: bool,
}

/// What a balancer was last told of the process at a host.
#[derive(Clone, Copy, Default)]
struct Notified {
    /// Start of the process, in milliseconds of Unix time.
    boot_ms: u64,
    /// Since when it is told to drain, or removed.
    unready_since: Option<Time>,
}

/// See the module's documentation.
#[derive(Default)]
pub struct Auditor {
    cases: SequenceMap<Case>,
    /// For each balancer and host: the process it was told of, and since when it is not in service.
    notified: Vec<Vec<Notified>>,
    breaches: Vec<Breach>,
    counts: [u64; 5],
}

impl Auditor {
    fn breach(&mut self, rule: Rule, at: Time, call: Option<u64>, text: String) {
        self.counts[rule as usize] += 1;
        if self.breaches.len() < MAX_REPORTED {
            self.breaches.push(Breach {
                rule,
                at,
                call,
                text,
            });
        }
    }

    /// A request reached a balancer. Its number is that of all requests, from 0.
    pub fn request_received(&mut self, call: u64, effect: CallEffect, deadline: Time) -> u64 {
        let (answered, refused, out, ran, overdue) = (0, false, 0, 0, false);
        self.cases.add(Case {
            call,
            effect,
            deadline,
            answered,
            refused,
            out,
            ran,
            overdue,
        })
    }

    /// A balancer answered. Its process stood still for `stalled` of late: that is not the program's doing.
    pub fn answered(&mut self, now: Time, request: u64, verdict: &CallResult<()>, stalled: Time) {
        let Some(case) = self.cases.get_mut(request) else {
            return self.breach(
                Rule::OneAnswer,
                now,
                None,
                format!("request {request} was answered again, after it was over"),
            );
        };
        case.answered += 1;
        let (call, answered, ran, out) = (case.call, case.answered, case.ran, case.out);
        let late = now.saturating_sub(case.deadline);
        let repeats = case.effect != CallEffect::Safe;
        if let CallResult::Rejected(_) = verdict {
            case.refused = true;
            if repeats && ran > 0 {
                self.breach(
                    Rule::NoEffectTwice,
                    now,
                    Some(call),
                    "refused as harmless, though it has run".to_owned(),
                );
            }
        }
        if answered > 1 {
            self.breach(
                Rule::OneAnswer,
                now,
                Some(call),
                format!("answered {answered} times"),
            );
        } else if late > GRACE + stalled {
            let late = late / MS;
            self.breach(
                Rule::OneAnswer,
                now,
                Some(call),
                format!("answered {late} ms past its time"),
            );
        }
        self.forget(request, out);
    }

    /// The balancer died with the request, or its caller left: no answer is owed any more.
    pub fn request_abandoned(&mut self, request: u64) {
        if let Some(case) = self.cases.get_mut(request) {
            case.answered = 1;
            let out = case.out;
            self.forget(request, out);
        }
    }

    fn forget(&mut self, request: u64, out: u32) {
        if out == 0
            && self
                .cases
                .get(request)
                .is_some_and(|case| case.answered > 0)
        {
            self.cases.take(request);
        }
    }

    /// A balancer was told of a host's process.
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

    /// A balancer started again: what it was told counts anew, from the list that it has now.
    pub fn balancer_restarted(&mut self, balancer: usize) {
        if let Some(notified) = self.notified.get_mut(balancer) {
            notified.clear();
        }
    }

    /// A balancer sent an attempt.
    pub fn sent(&mut self, now: Time, request: u64, balancer: usize, host: u32) {
        let Some(case) = self.cases.get_mut(request) else {
            return self.breach(
                Rule::OneAnswer,
                now,
                None,
                format!("sent for request {request}, which is over"),
            );
        };
        case.out += 1;
        let (call, answered, late) = (case.call, case.answered, now.saturating_sub(case.deadline));
        if answered > 0 || late > GRACE {
            self.breach(
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
            && now > since + DRAIN
        {
            let after = (now - since) as f64 / SECOND as f64;
            let text =
                format!("sent to host {host} {after:.3} s after it was told to drain, or gone");
            self.breach(Rule::Drained, now, Some(call), text);
        }
    }

    /// An attempt had its effect. One whose repeats upstreams drop does not count if they dropped it.
    pub fn effect_happened(&mut self, now: Time, request: u64) {
        let Some(case) = self.cases.get_mut(request) else {
            return;
        };
        case.ran += 1;
        let (call, ran, refused) = (case.call, case.ran, case.refused);
        if case.effect == CallEffect::Safe {
            return;
        }
        if ran > 1 {
            self.breach(
                Rule::NoEffectTwice,
                now,
                Some(call),
                format!("had its effect {ran} times"),
            );
        } else if refused {
            self.breach(
                Rule::NoEffectTwice,
                now,
                Some(call),
                "ran behind a refusal".to_owned(),
            );
        }
    }

    /// Nothing of an attempt is left anywhere.
    pub fn attempt_over(&mut self, now: Time, request: u64) {
        let Some(case) = self.cases.get_mut(request) else {
            return;
        };
        match case.out.checked_sub(1) {
            Some(out) => {
                case.out = out;
                self.forget(request, out);
            }
            None => {
                let call = case.call;
                self.breach(
                    Rule::Conservation,
                    now,
                    Some(call),
                    "an attempt ended twice".to_owned(),
                );
            }
        }
    }

    /// A cold upstream was sent more than pushes it over.
    pub fn pushed_over(&mut self, now: Time, upstream: &str, part: f64) {
        let text = format!("{upstream} was sent {part:.2} of what pushes it over");
        self.breach(Rule::Cold, now, None, text);
    }

    /// Looks for requests without an answer whose time is over. `stalled`: as for answers.
    pub fn check_overdue(&mut self, now: Time, stalled: Time) {
        let late = |case: &Case| now > case.deadline + GRACE + stalled;
        let open = self
            .cases
            .iter()
            .filter(|(_, case)| case.answered == 0 && !case.overdue && late(case));
        let open: Vec<_> = open.map(|(request, case)| (request, case.call)).collect();
        for (request, call) in open {
            if let Some(case) = self.cases.get_mut(request) {
                case.overdue = true;
            }
            self.breach(
                Rule::OneAnswer,
                now,
                Some(call),
                "no answer when its time was over".to_owned(),
            );
        }
    }

    /// The end of the run, when all should be over. `open`: what the balancers hold by their own count.
    pub fn end(&mut self, now: Time, open: usize) {
        let cases = self
            .cases
            .iter()
            .map(|(_, case)| case.call)
            .collect::<Vec<_>>();
        if let Some(&call) = cases.first() {
            let text = format!("{} requests are not over at the end", cases.len());
            self.breach(Rule::Conservation, now, Some(call), text);
        }
        if open > 0 {
            let text = format!("{open} requests are open in balancers at the end");
            self.breach(Rule::Conservation, now, None, text);
        }
    }

    /// How often each rule was broken, in their order, and the first breaches in full.
    pub fn findings(self) -> ([u64; 5], Vec<Breach>) {
        (self.counts, self.breaches)
    }
}
