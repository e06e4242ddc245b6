//! The work of a client: it holds locks, takes numbers, puts, reads and watches.

use super::caller::{Answer, Caller, Request};
use super::cores::Run;
use super::history::{Entry, History, Hold, Number, Put, PutFate, Read, Span, WatchAnswer};
use fastrand::Rng;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Names of each kind.
pub const LOCKS: u8 = 6;
pub const NUMBERS: u8 = 2;
pub const GROUPS: u8 = 3;
pub const KEYS_IN_GROUP: u8 = 4;
/// Refusals after which a call is given up.
const MAX_REFUSALS: usize = 30;
/// The part of a lock's time after which its holder renews it at the latest.
const MAX_PART_BEFORE_RENEWAL: f64 = 0.95;
/// How long a watch waits.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// A revision that was received so long ago may still be watched from.
const HISTORY: Duration = Duration::from_secs(20);

/// A client.
#[derive(Debug)]
pub struct Client {
    name: String,
    run: Arc<Run>,
    caller: Caller,
    random: Rng,
    puts: u64,
    /// The latest revision of each group that a watch received, and when.
    watched: HashMap<String, (u64, Duration)>,
    history: History,
}

/// The key of a group.
pub fn key(group: u8, key: u8) -> String {
    format!("g{group}.k{key}")
}

fn span(answer: &Answer) -> Span {
    Span {
        sent: answer.sent,
        received: answer.received,
    }
}

/// The value and the revision of an answer to a read, or of an event.
fn entry(key: &str, document: &Value) -> Entry {
    Entry {
        key: key.to_owned(),
        value: document["value"].as_str().unwrap_or_default().to_owned(),
        revision: document["revision"].as_u64().unwrap_or_default(),
    }
}

impl Client {
    /// A client with a name of its own.
    pub fn new(name: String, run: Arc<Run>, caller: Caller, seed: u64) -> Self {
        Self {
            name,
            run,
            caller,
            random: Rng::with_seed(seed),
            puts: 0,
            watched: HashMap::new(),
            history: History::default(),
        }
    }

    /// Calls until the run is over, and returns what it has seen.
    pub fn work(mut self) -> History {
        while !self.run.is_over.load(Ordering::Relaxed) {
            self.step();
        }
        self.history
    }

    fn step(&mut self) {
        match self.random.u8(0..10) {
            0..=1 => self.hold_lock(),
            2..=3 => self.take_random_number(),
            4..=5 => self.put_random(),
            6..=7 => self.read_random(),
            _ => self.watch_random(),
        }
    }

    /// Takes a number, reads each key, acquires each lock and resumes each watch; reports what is not
    /// answered in time.
    pub fn read_back(mut self, seen: &History, until: Instant) -> History {
        for number in 0..NUMBERS {
            self.take_number(&format!("n{number}"), Some(until));
        }
        for (group, at) in
            (0..GROUPS).flat_map(|group| (0..KEYS_IN_GROUP).map(move |at| (group, at)))
        {
            self.read(key(group, at), Some(until));
        }
        for group in 0..GROUPS {
            self.resume_watch(&format!("g{group}"), seen, until);
        }
        for lock in 0..LOCKS {
            self.acquire_in_time(&format!("l{lock}"), until);
        }
        self.history
    }

    /// Resumes a watch at the oldest revision that the history must still reach back to.
    fn resume_watch(&mut self, group: &str, seen: &History, until: Instant) {
        let begin = self.run.now();
        let kept = |watch: &&WatchAnswer| {
            watch.group == group && begin < watch.span.received + HISTORY / 2
        };
        let revisions = seen.watches.iter().filter(kept).map(|watch| watch.revision);
        let after = revisions.filter(|revision| *revision > 0).min();
        self.watch(group, after.unwrap_or(0), begin, Some(until));
    }

    fn acquire_in_time(&mut self, lock: &str, until: Instant) {
        let name = self.name.clone();
        let body = json!({ "holder": name, "hold_ms": 1_000 });
        let request = Request::new("POST", format!("/v1/locks/{lock}"), &body);
        while let Some(answer) = self.call(&request, Some(until)) {
            if answer.status == 200 {
                let hold = Hold {
                    lock: lock.to_owned(),
                    holder: name,
                    fence: answer.number("fence"),
                    acquired: span(&answer),
                    until: answer.sent + Duration::from_millis(1_000),
                };
                self.history.holds.push(hold);
                return;
            }
        }
    }

    /// The answer to a call that is repeated until it is executed.
    fn call(&mut self, request: &Request, until: Option<Instant>) -> Option<Answer> {
        let max_refusals = until.map_or(MAX_REFUSALS, |_| usize::MAX);
        let answer = self.caller.call(request, max_refusals, until);
        let answer = match answer {
            Ok(answer) => answer,
            Err(_) => {
                if until.is_some() {
                    let Request { method, path, .. } = request;
                    self.run
                        .report(format!("LOST: {method} {path} was not executed in time"));
                }
                return None;
            }
        };
        if !matches!(answer.status, 200 | 404 | 409 | 410 | 412) {
            self.run.report(format!("{request:?} got {answer:?}"));
        }
        Some(answer)
    }

    fn take_random_number(&mut self) {
        let name = format!("n{}", self.random.u8(0..NUMBERS));
        self.take_number(&name, None);
    }

    fn take_number(&mut self, name: &str, until: Option<Instant>) {
        let request = Request::new("POST", format!("/v1/numbers/{name}"), &json!({}));
        if let Some(answer) = self.call(&request, until) {
            self.history.numbers.push(Number {
                name: name.to_owned(),
                value: answer.number("value"),
                span: span(&answer),
            });
        }
    }

    fn random_key(&mut self) -> String {
        key(self.random.u8(0..GROUPS), self.random.u8(0..KEYS_IN_GROUP))
    }

    fn read_random(&mut self) {
        let key = self.random_key();
        self.read(key, None);
    }

    /// Reads a key; returns its revision.
    fn read(&mut self, key: String, until: Option<Instant>) -> Option<u64> {
        let request = Request::new("GET", format!("/v1/cells/{key}"), &Value::Null);
        let answer = self.call(&request, until)?;
        let found = (answer.status == 200).then(|| entry(&key, &answer.body));
        let revision = answer.number("revision");
        let span = span(&answer);
        self.history.reads.push(Read { key, found, span });
        Some(revision)
    }

    /// Puts a value: without a condition, over what it has read, or over a revision that is no longer
    /// there.
    fn put_random(&mut self) {
        let key = self.random_key();
        let if_revision = match self.random.u8(0..4) {
            0 => None,
            1 => Some(self.random.u64(0..4)),
            _ => match self.read(key.clone(), None) {
                Some(revision) => Some(revision),
                None => return,
            },
        };
        self.put(key, if_revision);
    }

    fn put(&mut self, key: String, if_revision: Option<u64>) {
        self.puts += 1;
        let value = format!("{}-{}", self.name, self.puts);
        let mut body = json!({ "value": value });
        if let Some(revision) = if_revision {
            body["if_revision"] = revision.into();
        }
        let request = Request::new("PUT", format!("/v1/cells/{key}"), &body);
        let max_refusals = self.random.usize(1..MAX_REFUSALS);
        let sent = self.run.now();
        let answer = self.caller.call(&request, max_refusals, None);
        let fate = match &answer {
            Ok(answer) if answer.status == 200 => PutFate::Acknowledged {
                revision: answer.number("revision"),
            },
            Ok(answer) if answer.status == 412 => PutFate::Rejected {
                current: Some(answer.number("revision")),
            },
            Err(given_up) if !given_up.is_unclear => PutFate::Rejected { current: None },
            Err(_) => PutFate::Unknown,
            Ok(answer) => {
                self.run.report(format!("{request:?} got {answer:?}"));
                PutFate::Unknown
            }
        };
        let received = self.run.now();
        let is_read_elsewhere = self.random.bool();
        self.history.puts.push(Put {
            key: key.clone(),
            value,
            if_revision,
            span: Span { sent, received },
            fate,
        });
        if is_read_elsewhere {
            self.caller.go_on();
            self.read(key, None);
        }
    }

    fn watch_random(&mut self) {
        let group = format!("g{}", self.random.u8(0..GROUPS));
        let known = self.watched.get(&group).copied();
        let (after, at) = known
            .filter(|(_, at)| self.run.now() < *at + HISTORY / 2)
            .unwrap_or((0, self.run.now()));
        self.watch(&group, after, at, None);
    }

    /// Watches a group after a revision that was received at this time.
    fn watch(&mut self, group: &str, after: u64, at: Duration, until: Option<Instant>) {
        let wait_ms = WATCH_WAIT.as_millis();
        let path = format!("/v1/watch/{group}.?after={after}&wait_ms={wait_ms}");
        let mut request = Request::new("GET", path, &Value::Null);
        request.wait = WATCH_WAIT;
        let Some(answer) = self.call(&request, until) else {
            return;
        };
        if answer.status != 200 {
            if answer.received < at + HISTORY {
                self.run.report(format!("LOST: {request:?} got {answer:?}"));
            }
            return;
        }
        let events = answer.body["events"].as_array();
        let events = events.map_or(&[][..], Vec::as_slice);
        let event = |event: &Value| entry(event["name"].as_str().unwrap_or_default(), event);
        let revision = answer.number("revision");
        self.watched
            .insert(group.to_owned(), (revision, answer.received));
        self.history.watches.push(WatchAnswer {
            group: group.to_owned(),
            after,
            events: events.iter().map(event).collect(),
            revision,
            span: span(&answer),
        });
    }

    /// Holds a lock: acquires it, renews it between other calls, and releases it or dies.
    fn hold_lock(&mut self) {
        let lock = format!("l{}", self.random.u8(0..LOCKS));
        let path = format!("/v1/locks/{lock}");
        let hold_ms = self.random.u64(200..2_000);
        let body = json!({ "holder": self.name, "hold_ms": hold_ms });
        let request = Request::new("POST", path.clone(), &body);
        let Some(answer) = self.call(&request, None) else {
            return;
        };
        if answer.status != 200 {
            return;
        }
        let fence = answer.number("fence");
        // The latest call counts, also where it asks for a shorter time.
        self.end_holds(&lock, answer.received);
        let mut hold = Hold {
            lock,
            holder: self.name.clone(),
            fence,
            acquired: span(&answer),
            until: answer.sent + Duration::from_millis(hold_ms),
        };
        let mut is_lost = false;
        for _ in 0..self.random.u8(0..4) {
            self.call_until_renewal(&hold);
            if !self.renew(&mut hold, &path, hold_ms) {
                is_lost = true;
                break;
            }
        }
        if self.random.u8(0..4) == 0 {
            self.call_until(hold.until);
        }
        // A lock that is lost before its time counts as held until then.
        let ended = if is_lost { hold.until } else { self.run.now() };
        if !is_lost && self.random.u8(0..4) > 0 {
            self.end_holds(&hold.lock, ended);
            let body = json!({ "holder": self.name, "fence": fence });
            self.call(&Request::new("DELETE", path, &body), None);
        }
        hold.until = hold.until.min(ended);
        self.history.holds.push(hold);
    }

    /// This client no longer holds a lock that it acquired before.
    fn end_holds(&mut self, lock: &str, at: Duration) {
        let holds = self.history.holds.iter_mut();
        for hold in holds.filter(|hold| hold.lock == lock) {
            hold.until = hold.until.min(at);
        }
    }

    /// Makes other calls for a part of the time that a lock is held, up to nearly all of it.
    fn call_until_renewal(&mut self, hold: &Hold) {
        let left = hold.until.saturating_sub(self.run.now());
        let part = left.mul_f64(self.random.f64() * MAX_PART_BEFORE_RENEWAL);
        self.call_until(self.run.now() + part);
    }

    fn call_until(&mut self, time: Duration) {
        while self.run.now() < time && !self.run.is_over.load(Ordering::Relaxed) {
            self.call_while_holding();
        }
    }

    fn call_while_holding(&mut self) {
        if self.random.bool() {
            self.take_random_number();
        } else {
            self.read_random();
        }
    }

    /// Extends a lock. Whether the client still holds it.
    fn renew(&mut self, hold: &mut Hold, path: &str, hold_ms: u64) -> bool {
        if self.run.now() >= hold.until {
            return false;
        }
        let body = json!({ "holder": self.name, "fence": hold.fence, "hold_ms": hold_ms });
        let request = Request::new("PUT", path.to_owned(), &body);
        let Some(answer) = self.call(&request, None) else {
            return false;
        };
        let is_renewed = answer.status == 200 && answer.received < hold.until;
        if is_renewed {
            let until = answer.sent + Duration::from_millis(hold_ms);
            hold.until = hold.until.max(until);
        }
        is_renewed
    }
}
