//! The history that the clients record, and its checks against these rules:
//!
//! - ONE: a lock has at most one holder at a time, and its fencing tokens increase with each new holder.
//! - ORDER: numbers and revisions increase, and a watch receives all puts of its group in order.
//! - STALE: a read returns no older revision than an earlier put or read of the key.
//! - MIXED: a value or revision belongs to the key that it was put under.
//! - REFUSED: a rejected put has no effect.
//!
//! The loss of acknowledged data (LOST) shows as a violation of ORDER or STALE in the calls that read the data back at
//! the end of a run.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Debug;
use std::time::Duration;

/// The times at which a request was sent and its answer received, since the beginning of the run.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    pub sent: Duration,
    pub received: Duration,
}

/// A lease as its holder recorded it.
#[derive(Clone, Debug)]
pub struct Lease {
    pub lock: String,
    pub holder: String,
    pub fence: u64,
    /// When the holder sent the request and received the lease.
    pub acquired: Interval,
    /// When the holder stopped relying on the lease, since the beginning of the run.
    pub until: Duration,
}

/// A number that the service issued.
#[derive(Clone, Debug)]
pub struct Number {
    pub name: String,
    pub value: u64,
    pub interval: Interval,
}

/// The outcome of a put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    Acknowledged {
        revision: u64,
    },
    /// Each attempt was rejected; `current` is the revision in a 412 answer.
    Rejected {
        current: Option<u64>,
    },
    Unknown,
}

/// A put; the value is unique within a run.
#[derive(Clone, Debug)]
pub struct Put {
    pub key: String,
    pub value: String,
    pub if_revision: Option<u64>,
    pub interval: Interval,
    pub outcome: PutOutcome,
}

/// The value of a key at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    pub key: String,
    pub value: String,
    pub revision: u64,
}

/// A read of a key.
#[derive(Clone, Debug)]
pub struct Read {
    pub key: String,
    pub found: Option<Entry>,
    pub interval: Interval,
}

/// The answer to a watch.
#[derive(Clone, Debug)]
pub struct WatchAnswer {
    pub group: String,
    pub after: u64,
    pub events: Vec<Entry>,
    pub revision: u64,
    pub interval: Interval,
}

/// The recorded operations of one or more clients.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub leases: Vec<Lease>,
    pub numbers: Vec<Number>,
    pub puts: Vec<Put>,
    pub reads: Vec<Read>,
    pub watches: Vec<WatchAnswer>,
}

/// Returns the group of a key: the name up to the first dot.
pub fn group_of(key: &str) -> &str {
    key.split_once('.').map_or(key, |(group, _)| group)
}

impl History {
    /// Adds the operations that another client recorded.
    pub fn merge(&mut self, other: Self) {
        self.leases.extend(other.leases);
        self.numbers.extend(other.numbers);
        self.puts.extend(other.puts);
        self.reads.extend(other.reads);
        self.watches.extend(other.watches);
    }

    /// Returns all violations of the rules.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        self.check_leases(&mut found);
        self.check_fences(&mut found);
        self.check_numbers(&mut found);
        let entries = self.check_entries(&mut found);
        self.check_puts(&entries, &mut found);
        self.check_reads(&mut found);
        self.check_watches(&entries, &mut found);
        found
    }

    fn check_leases(&self, found: &mut Vec<String>) {
        for leases in group_by(&self.leases, |lease| lease.lock.clone()).into_values() {
            let mut leases = leases;
            leases.sort_by_key(|lease| lease.acquired.received);
            for (position, lease) in leases.iter().enumerate() {
                let later = leases[position + 1..].iter();
                let overlapping = later
                    .take_while(|other| other.acquired.received < lease.until)
                    // A lease that has expired before its answer arrives has no holder.
                    .filter(|other| other.acquired.received < other.until)
                    .filter(|other| other.holder != lease.holder);
                for other in overlapping {
                    report(found, "ONE: two holders at a time", (lease, other));
                }
            }
        }
    }

    fn check_fences(&self, found: &mut Vec<String>) {
        for leases in group_by(&self.leases, |lease| lease.lock.clone()).into_values() {
            let maximum = RunningMaximum::new(
                leases
                    .iter()
                    .map(|lease| (lease.acquired.received, lease.fence)),
            );
            let mut holders = HashMap::new();
            for lease in leases {
                if maximum.before(lease.acquired.sent) > Some(lease.fence) {
                    report(found, "ONE: a fencing token below an earlier one", lease);
                }
                let holder = holders.entry(lease.fence).or_insert(&lease.holder);
                if *holder != &lease.holder {
                    report(found, "ONE: two holders with one token", (lease, holder));
                }
            }
        }
    }

    fn check_numbers(&self, found: &mut Vec<String>) {
        for numbers in group_by(&self.numbers, |number| number.name.clone()).into_values() {
            let issued = numbers
                .iter()
                .map(|number| (number.interval.received, number.value));
            let maximum = RunningMaximum::new(issued);
            let mut values = HashSet::new();
            for number in numbers {
                if maximum.before(number.interval.sent) >= Some(number.value) {
                    report(found, "ORDER: a number not above an earlier one", number);
                }
                if !values.insert(number.value) {
                    report(found, "ORDER: a number twice", number);
                }
            }
        }
    }

    /// Collects the entries of each group by revision. Reports entries that contradict each other or
    /// the recorded puts.
    fn check_entries(&self, found: &mut Vec<String>) -> Entries {
        let puts: HashMap<&str, &Put> = self.puts.iter().map(|put| (&*put.value, put)).collect();
        let mut entries = Entries::new();
        let mut revisions: HashMap<String, u64> = HashMap::new();
        let seen: HashSet<Entry> = self.seen_entries().collect();
        for entry in seen {
            match puts.get(&*entry.value) {
                Some(put) if put.key != entry.key => {
                    report(found, "MIXED: a value of another key", (put, &entry));
                }
                Some(put) if matches!(put.outcome, PutOutcome::Rejected { .. }) => {
                    report(found, "REFUSED: a value that was rejected", (put, &entry));
                }
                Some(_) => {}
                None => report(found, "MIXED: a value that nobody put", &entry),
            }
            let first = *revisions
                .entry(entry.value.clone())
                .or_insert(entry.revision);
            if first != entry.revision {
                report(found, "MIXED: a value at two revisions", (first, &entry));
            }
            let group = entries.entry(group_of(&entry.key).to_owned()).or_default();
            if let Some(other) = group.insert(entry.revision, entry.clone()) {
                report(found, "ORDER: a revision twice", (other, entry));
            }
        }
        entries
    }

    /// Returns all entries that a put, a read or a watch returned.
    fn seen_entries(&self) -> impl Iterator<Item = Entry> {
        let acknowledged = self.puts.iter().filter_map(|put| match put.outcome {
            PutOutcome::Acknowledged { revision } => Some(Entry {
                key: put.key.clone(),
                value: put.value.clone(),
                revision,
            }),
            _ => None,
        });
        let read = self.reads.iter().filter_map(|read| read.found.clone());
        let events = self.watches.iter().flat_map(|watch| watch.events.clone());
        acknowledged.chain(read).chain(events)
    }

    fn check_puts(&self, entries: &Entries, found: &mut Vec<String>) {
        let by_group = group_by(&self.puts, |put| group_of(&put.key).to_owned());
        for (group, puts) in &by_group {
            let acknowledged = puts.iter().filter_map(|put| match put.outcome {
                PutOutcome::Acknowledged { revision } => Some((put.interval.received, revision)),
                _ => None,
            });
            let maximum = RunningMaximum::new(acknowledged);
            let nothing = BTreeMap::new();
            let entries = entries.get(group).unwrap_or(&nothing);
            for &put in puts {
                match put.outcome {
                    PutOutcome::Acknowledged { revision } => {
                        if maximum.before(put.interval.sent) >= Some(revision) {
                            report(found, "ORDER: a revision not above an earlier one", put);
                        }
                        check_condition(put, revision, entries, found);
                    }
                    PutOutcome::Rejected {
                        current: Some(current @ 1..),
                    } => {
                        let entry = entries.get(&current);
                        if entry.is_some_and(|entry| entry.key != put.key) {
                            report(found, "MIXED: a 412 with a foreign revision", (put, entry));
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    /// Reports each read that returned a lower revision than a put or read of the same key that was
    /// answered before the read was sent.
    fn check_reads(&self, found: &mut Vec<String>) {
        let puts = self.puts.iter().filter_map(|put| match put.outcome {
            PutOutcome::Acknowledged { revision } => {
                Some((put.key.clone(), put.interval.received, revision))
            }
            _ => None,
        });
        let reads = self.reads.iter().filter_map(|read| {
            let revision = read.found.as_ref()?.revision;
            Some((read.key.clone(), read.interval.received, revision))
        });
        let known: Vec<_> = puts.chain(reads).collect();
        let maxima: HashMap<String, RunningMaximum> = group_by(&known, |(key, ..)| key.clone())
            .into_iter()
            .map(|(key, seen)| {
                let seen = seen
                    .into_iter()
                    .map(|(_, received, revision)| (*received, *revision));
                (key, RunningMaximum::new(seen))
            })
            .collect();
        for read in &self.reads {
            let revision = read.found.as_ref().map_or(0, |entry| entry.revision);
            let maximum = maxima.get(&read.key);
            let earlier = maximum.and_then(|maximum| maximum.before(read.interval.sent));
            if earlier > Some(revision) {
                report(found, "STALE: a read of an old revision", (read, earlier));
            }
        }
    }

    fn check_watches(&self, entries: &Entries, found: &mut Vec<String>) {
        for watch in &self.watches {
            let revisions: Vec<u64> = watch.events.iter().map(|event| event.revision).collect();
            let bounded = std::iter::once(&watch.after).chain(&revisions);
            let is_rising = bounded.clone().zip(&revisions).all(|(a, b)| a < b);
            let is_within = revisions.last().is_none_or(|last| *last <= watch.revision);
            if !is_rising || !is_within {
                report(found, "ORDER: events that do not rise in their span", watch);
            }
            if watch.after > watch.revision {
                report(found, "ORDER: a watch that goes back", watch);
            } else if let Some(group) = entries.get(&watch.group).filter(|_| watch.after > 0) {
                let seen: HashSet<u64> = revisions.into_iter().collect();
                let revision_range = group.range(watch.after + 1..watch.revision + 1);
                for (_, skipped) in revision_range.filter(|(revision, _)| !seen.contains(revision))
                {
                    report(found, "ORDER: a watch skips a put", (watch, skipped));
                }
            }
        }
    }
}

/// The entries of each group by revision.
type Entries = HashMap<String, BTreeMap<u64, Entry>>;

/// Reports a conditional put that did not directly follow the revision in its condition.
fn check_condition(
    put: &Put,
    revision: u64,
    entries: &BTreeMap<u64, Entry>,
    found: &mut Vec<String>,
) {
    let Some(required) = put.if_revision else {
        return;
    };
    if required >= revision {
        report(found, "ORDER: a put below the revision it requires", put);
        return;
    }
    let mut between = entries.range(required + 1..revision);
    if let Some(later) = between.find(|(_, entry)| entry.key == put.key) {
        report(found, "ORDER: a put over a later revision", (put, later));
    }
}

fn report(found: &mut Vec<String>, rule: &str, detail: impl Debug) {
    found.push(format!("{rule}: {detail:?}"));
}

fn group_by<T>(items: &[T], key: impl Fn(&T) -> String) -> HashMap<String, Vec<&T>> {
    let mut groups: HashMap<String, Vec<&T>> = HashMap::new();
    for item in items {
        groups.entry(key(item)).or_default().push(item);
    }
    groups
}

/// The running maximum of a sequence of timestamped numbers.
struct RunningMaximum(Vec<(Duration, u64)>);

impl RunningMaximum {
    fn new(seen: impl Iterator<Item = (Duration, u64)>) -> Self {
        let mut seen: Vec<_> = seen.collect();
        seen.sort_unstable();
        let mut maximum = 0;
        for (_, number) in &mut seen {
            maximum = maximum.max(*number);
            *number = maximum;
        }
        Self(seen)
    }

    /// Returns the greatest number with a timestamp before `time`.
    fn before(&self, time: Duration) -> Option<u64> {
        let count = self.0.partition_point(|(timestamp, _)| *timestamp < time);
        Some(self.0.get(count.checked_sub(1)?)?.1)
    }
}
