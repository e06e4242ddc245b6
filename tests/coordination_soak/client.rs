//! The workload of a client: a random mix of locks, numbers, puts, reads and watches. Each answer is
//! recorded in the history of the client.

use super::caller::{Answer, Caller, Request};
use super::cores::Run;
use super::history::{Entry, History, Interval, Lease, Number, Put, PutOutcome, Read, WatchAnswer};
use fastrand::Rng;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Number of locks that the clients contend for.
pub const LOCKS: u8 = 6;
/// Number of number sequences.
pub const NUMBERS: u8 = 2;
/// Number of key groups; a watch covers one group.
pub const GROUPS: u8 = 3;
/// Number of keys in each group.
pub const KEYS_IN_GROUP: u8 = 4;
/// A client gives up a call after this number of refusals.
const MAX_REFUSALS: usize = 30;
/// A holder starts the renewal of its lease within this fraction of the remaining lease time.
const MAX_FRACTION_BEFORE_RENEWAL: f64 = 0.95;
/// How long the server keeps a watch open without events.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// Time after its receipt during which a revision must remain available as the start of a watch.
const HISTORY_RETENTION: Duration = Duration::from_secs(20);

/// A client with its own random generator and history.
#[derive(Debug)]
pub struct Client {
    name: String,
    run: Arc<Run>,
    caller: Caller,
    random: Rng,
    put_count: u64,
    /// The latest revision that a watch received for each group, and the time of its receipt.
    watched_revisions: HashMap<String, (u64, Duration)>,
    history: History,
}

/// Returns the name of a key in a group.
pub fn key(group: u8, number: u8) -> String {
    format!("g{group}.k{number}")
}

fn interval(answer: &Answer) -> Interval {
    Interval {
        sent: answer.sent,
        received: answer.received,
    }
}

/// Extracts the value and revision from the answer to a read or from an event.
fn entry(key: &str, document: &Value) -> Entry {
    Entry {
        key: key.to_owned(),
        value: document["value"].as_str().unwrap_or_default().to_owned(),
        revision: document["revision"].as_u64().unwrap_or_default(),
    }
}

impl Client {
    /// Creates a client; `name` must be unique, since it identifies the lock holder and the values.
    pub fn new(name: String, run: Arc<Run>, caller: Caller, seed: u64) -> Self {
        Self {
            name,
            run,
            caller,
            random: Rng::with_seed(seed),
            put_count: 0,
            watched_revisions: HashMap::new(),
            history: History::default(),
        }
    }

    /// Makes random calls until the run is over, and returns the recorded history.
    pub fn run(mut self) -> History {
        while !self.run.is_over.load(Ordering::Relaxed) {
            self.step();
        }
        self.history
    }

    fn step(&mut self) {
        match self.random.u8(0..10) {
            0..=1 => self.use_lock(),
            2..=3 => self.take_random_number(),
            4..=5 => self.put_random(),
            6..=7 => self.read_random(),
            _ => self.watch_random(),
        }
    }

    /// Takes a number from each sequence, reads each key, resumes each watch and acquires each lock.
    /// Reports a violation for each call that is not executed before `until`.
    pub fn read_back(mut self, recorded: &History, until: Instant) -> History {
        for number in 0..NUMBERS {
            self.take_number(&format!("n{number}"), Some(until));
        }
        for group in 0..GROUPS {
            for number in 0..KEYS_IN_GROUP {
                self.read(key(group, number), Some(until));
            }
        }
        for group in 0..GROUPS {
            self.resume_watch(&format!("g{group}"), recorded, until);
        }
        for lock in 0..LOCKS {
            self.acquire_in_time(&format!("l{lock}"), until);
        }
        self.history
    }

    /// Resumes the watch of a group at the oldest received revision that the server must still retain.
    fn resume_watch(&mut self, group: &str, recorded: &History, until: Instant) {
        let begin = self.run.now();
        let is_retained = |watch: &&WatchAnswer| {
            watch.group == group && begin < watch.interval.received + HISTORY_RETENTION / 2
        };
        let revisions = recorded
            .watches
            .iter()
            .filter(is_retained)
            .map(|watch| watch.revision);
        let after = revisions.filter(|revision| *revision > 0).min();
        self.watch(group, after.unwrap_or(0), begin, Some(until));
    }

    fn acquire_in_time(&mut self, lock: &str, until: Instant) {
        let name = self.name.clone();
        let body = json!({ "holder": name, "hold_ms": 1_000 });
        let request = Request::new("POST", format!("/v1/locks/{lock}"), &body);
        while let Some(answer) = self.call(&request, Some(until)) {
            if answer.status == 200 {
                let lease = Lease {
                    lock: lock.to_owned(),
                    holder: name,
                    fence: answer.number("fence"),
                    acquired: interval(&answer),
                    until: answer.sent + Duration::from_millis(1_000),
                };
                self.history.leases.push(lease);
                return;
            }
        }
    }

    /// Repeats a call until the service executes it. With `until`, a call that is not executed in time
    /// is a violation; without it, the client gives up after `MAX_REFUSALS` refusals.
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
                interval: interval(&answer),
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

    /// Reads a key and returns its revision; 0 if the key does not exist.
    fn read(&mut self, key: String, until: Option<Instant>) -> Option<u64> {
        let request = Request::new("GET", format!("/v1/cells/{key}"), &Value::Null);
        let answer = self.call(&request, until)?;
        let found = (answer.status == 200).then(|| entry(&key, &answer.body));
        let revision = answer.number("revision");
        let interval = interval(&answer);
        self.history.reads.push(Read {
            key,
            found,
            interval,
        });
        Some(revision)
    }

    /// Puts a value: without a condition, on condition of the revision just read, or on condition of a
    /// random low revision that is usually outdated.
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
        self.put_count += 1;
        let value = format!("{}-{}", self.name, self.put_count);
        let mut body = json!({ "value": value });
        if let Some(revision) = if_revision {
            body["if_revision"] = revision.into();
        }
        let request = Request::new("PUT", format!("/v1/cells/{key}"), &body);
        let max_refusals = self.random.usize(1..MAX_REFUSALS);
        let sent = self.run.now();
        let answer = self.caller.call(&request, max_refusals, None);
        let outcome = match &answer {
            Ok(answer) if answer.status == 200 => PutOutcome::Acknowledged {
                revision: answer.number("revision"),
            },
            Ok(answer) if answer.status == 412 => PutOutcome::Rejected {
                current: Some(answer.number("revision")),
            },
            Err(given_up) if !given_up.is_unclear => PutOutcome::Rejected { current: None },
            Err(_) => PutOutcome::Unknown,
            Ok(answer) => {
                self.run.report(format!("{request:?} got {answer:?}"));
                PutOutcome::Unknown
            }
        };
        let received = self.run.now();
        let reads_from_other_server = self.random.bool();
        self.history.puts.push(Put {
            key: key.clone(),
            value,
            if_revision,
            interval: Interval { sent, received },
            outcome,
        });
        if reads_from_other_server {
            self.caller.switch_server();
            self.read(key, None);
        }
    }

    fn watch_random(&mut self) {
        let group = format!("g{}", self.random.u8(0..GROUPS));
        let known = self.watched_revisions.get(&group).copied();
        let (after, received) = known
            .filter(|(_, received)| self.run.now() < *received + HISTORY_RETENTION / 2)
            .unwrap_or((0, self.run.now()));
        self.watch(&group, after, received, None);
    }

    /// Watches a group from the revision `after`, which the client received at the time `received`.
    fn watch(&mut self, group: &str, after: u64, received: Duration, until: Option<Instant>) {
        let wait_ms = WATCH_WAIT.as_millis();
        let path = format!("/v1/watch/{group}.?after={after}&wait_ms={wait_ms}");
        let mut request = Request::new("GET", path, &Value::Null);
        request.wait = WATCH_WAIT;
        let Some(answer) = self.call(&request, until) else {
            return;
        };
        if answer.status != 200 {
            if answer.received < received + HISTORY_RETENTION {
                self.run.report(format!("LOST: {request:?} got {answer:?}"));
            }
            return;
        }
        let events = answer.body["events"].as_array();
        let events = events.map_or(&[][..], Vec::as_slice);
        let event = |event: &Value| entry(event["name"].as_str().unwrap_or_default(), event);
        let revision = answer.number("revision");
        self.watched_revisions
            .insert(group.to_owned(), (revision, answer.received));
        self.history.watches.push(WatchAnswer {
            group: group.to_owned(),
            after,
            events: events.iter().map(event).collect(),
            revision,
            interval: interval(&answer),
        });
    }

    /// Acquires a lock, renews the lease between other calls, and then either releases the lock or
    /// lets the lease expire, like a client that crashes.
    fn use_lock(&mut self) {
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
        // A new acquisition replaces the earlier lease of this client, even by a shorter one.
        self.end_leases(&lock, answer.received);
        let mut lease = Lease {
            lock,
            holder: self.name.clone(),
            fence,
            acquired: interval(&answer),
            until: answer.sent + Duration::from_millis(hold_ms),
        };
        let mut is_lost = false;
        for _ in 0..self.random.u8(0..4) {
            self.call_until_renewal(&lease);
            if !self.renew(&mut lease, &path, hold_ms) {
                is_lost = true;
                break;
            }
        }
        if self.random.u8(0..4) == 0 {
            self.call_until(lease.until);
        }
        // After a failed renewal, the lease counts as held until its original expiry.
        let ended = if is_lost { lease.until } else { self.run.now() };
        if !is_lost && self.random.u8(0..4) > 0 {
            self.end_leases(&lease.lock, ended);
            let body = json!({ "holder": self.name, "fence": fence });
            self.call(&Request::new("DELETE", path, &body), None);
        }
        lease.until = lease.until.min(ended);
        self.history.leases.push(lease);
    }

    /// Ends all recorded leases of this client on a lock at the time `end`, unless they have ended before.
    fn end_leases(&mut self, lock: &str, end: Duration) {
        let leases = self.history.leases.iter_mut();
        for lease in leases.filter(|lease| lease.lock == lock) {
            lease.until = lease.until.min(end);
        }
    }

    /// Makes other calls for a random part of the remaining lease time, up to
    /// `MAX_FRACTION_BEFORE_RENEWAL`.
    fn call_until_renewal(&mut self, lease: &Lease) {
        let remaining = lease.until.saturating_sub(self.run.now());
        let delay = remaining.mul_f64(self.random.f64() * MAX_FRACTION_BEFORE_RENEWAL);
        self.call_until(self.run.now() + delay);
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

    /// Renews a lease; returns whether the client still holds the lock.
    fn renew(&mut self, lease: &mut Lease, path: &str, hold_ms: u64) -> bool {
        if self.run.now() >= lease.until {
            return false;
        }
        let body = json!({ "holder": self.name, "fence": lease.fence, "hold_ms": hold_ms });
        let request = Request::new("PUT", path.to_owned(), &body);
        let Some(answer) = self.call(&request, None) else {
            return false;
        };
        let is_renewed = answer.status == 200 && answer.received < lease.until;
        if is_renewed {
            let until = answer.sent + Duration::from_millis(hold_ms);
            lease.until = lease.until.max(until);
        }
        is_renewed
    }
}
