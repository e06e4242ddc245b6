//! What callers and nodos saw, put together: the four rules as far as they show from outside.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use woadstall_emulator::{Breach, CallEffect, Rule};

/// Grace for an answer on a busy machine that runs everything.
const GRACE: Duration = Duration::from_millis(250);
/// What nodos may still get after they were told to drain: the second that rule 3 allows, and the way.
const DRAIN: Duration = Duration::from_millis(1_250);
const TOLD: usize = 20;

#[derive(Default)]
struct Case {
    ran: u32,
    refused: bool,
}

#[derive(Default)]
struct Seen {
    requests: HashMap<String, Case>,
    /// When nodos of a group ran the work of a key.
    keys: HashMap<(String, u32), Instant>,
    stood_still: u64,
    lost: u64,
    doubled: u64,
    /// Daemons that could not answer, from when until when: their processes stood still.
    excused: Vec<(SocketAddr, Instant, Option<Instant>)>,
    breaches: Vec<Breach>,
    counts: BTreeMap<Rule, u64>,
}

/// See the module's documentation.
pub struct Judge {
    start: Instant,
    seen: Mutex<Seen>,
}

impl Seen {
    fn breach(&mut self, at: Duration, rule: Rule, text: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < TOLD {
            self.breaches.push(Breach {
                rule,
                at: at.as_nanos() as u64,
                call: None,
                text,
            });
        }
    }
}

impl Judge {
    /// Nothing was seen yet.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            seen: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A nodo has done the work of a request, or found that its group did that of the key before.
    pub fn ran(&self, request: &str, effect: CallEffect, key: Option<(&str, u32, Duration)>) {
        let (at, mut seen) = (self.start.elapsed(), self.lock());
        if let Some((key, group, window)) = key {
            let now = Instant::now();
            let before = seen.keys.insert((key.to_owned(), group), now);
            if before.is_some_and(|before| now < before + window) {
                return;
            }
        }
        let case = seen.requests.entry(request.to_owned()).or_default();
        case.ran += 1;
        let (ran, refused) = (case.ran, case.refused);
        seen.doubled += u64::from(ran == 2);
        if effect == CallEffect::Safe {
        } else if ran > 1 {
            seen.breach(
                at,
                Rule::NoEffectTwice,
                format!("{request} had its effect {ran} times"),
            );
        } else if refused {
            seen.breach(
                at,
                Rule::NoEffectTwice,
                format!("{request} ran behind a refusal"),
            );
        }
    }

    /// A caller was refused.
    pub fn refused(&self, request: &str, effect: CallEffect) {
        let (at, mut seen) = (self.start.elapsed(), self.lock());
        let case = seen.requests.entry(request.to_owned()).or_default();
        case.refused = true;
        if case.ran > 0 && effect != CallEffect::Safe {
            seen.breach(
                at,
                Rule::NoEffectTwice,
                format!("{request} was refused, though it has run"),
            );
        }
    }

    /// A daemon's process stands still, or goes on: what it holds meanwhile cannot be answered in time.
    pub fn stands_still(&self, daemon: SocketAddr, still: bool) {
        let mut seen = self.lock();
        match still {
            true => seen.excused.push((daemon, Instant::now(), None)),
            false => seen
                .excused
                .iter_mut()
                .filter(|(other, ..)| *other == daemon)
                .for_each(|(.., until)| {
                    until.get_or_insert_with(Instant::now);
                }),
        }
    }

    /// A caller had its answer, or gave up, to a request that was sent with so much time left.
    pub fn late(
        &self,
        request: &str,
        sent: Instant,
        left: Duration,
        answered: bool,
        through: Option<SocketAddr>,
    ) {
        let late = sent.elapsed().saturating_sub(left);
        if late <= GRACE && answered {
            return;
        }
        let mut seen = self.lock();
        seen.lost += u64::from(!answered);
        // What it found in its sockets when it went on is a batch that it has to work through.
        let held = |(daemon, _, until): &(SocketAddr, Instant, Option<Instant>)| {
            Some(*daemon) == through && until.is_none_or(|until| sent < until + GRACE)
        };
        if seen.excused.iter().any(held) {
            seen.stood_still += 1;
            return;
        }
        let what = if answered {
            "was answered"
        } else {
            "had no answer"
        };
        let text = format!("{request} {what} {} ms past its time", late.as_millis());
        seen.breach(self.start.elapsed(), Rule::OneAnswer, text);
    }

    /// Requests that had no answer in their time since their daemon's process stood still.
    pub fn stood_still(&self) -> u64 {
        self.lock().stood_still
    }

    /// Requests that never had an answer, whatever the reason.
    pub fn lost(&self) -> u64 {
        self.lock().lost
    }

    /// Requests whose work ran more than once; harmless for safe ones.
    pub fn doubled(&self) -> u64 {
        self.lock().doubled
    }

    /// A request reached a nodo that was told to drain so long ago.
    pub fn drained(&self, nodo: &str, since: Duration) {
        if since > DRAIN {
            let text = format!(
                "{nodo} got a request {:.3} s after it was told to drain",
                since.as_secs_f64()
            );
            self.lock()
                .breach(self.start.elapsed(), Rule::Drained, text);
        }
    }

    /// A cold nodo was pushed over.
    pub fn pushed_over(&self, nodo: &str, part: f64) {
        let text = format!("{nodo} was sent {part:.2} of what pushes it over");
        self.lock().breach(self.start.elapsed(), Rule::Cold, text);
    }

    /// How often each rule was broken, and the first breaches in full.
    pub fn findings(&self) -> ([u64; 5], Vec<Breach>) {
        let seen = self.lock();
        let counts = Rule::ALL.map(|rule| seen.counts.get(&rule).copied().unwrap_or(0));
        (counts, seen.breaches.clone())
    }
}
