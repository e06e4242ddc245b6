//! What clients have seen, and the rules that it must keep: ONE, ORDER, STALE, MIXED and REFUSED. That
//! an answer lags behind what was acknowledged (LOST) shows as ORDER or STALE of the last calls.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Debug;
use std::time::Duration;

/// When a request was sent and when its answer came, from the beginning of the run on.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub sent: Duration,
    pub received: Duration,
}

/// The time in which a client regarded itself as the holder of a lock.
#[derive(Clone, Debug)]
pub struct Hold {
    pub lock: String,
    pub holder: String,
    pub fence: u64,
    /// When the lock was requested and granted.
    pub acquired: Span,
    pub until: Duration,
}

/// A number that was given out.
#[derive(Clone, Debug)]
pub struct Number {
    pub name: String,
    pub value: u64,
    pub span: Span,
}

/// What came of a put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutFate {
    Acknowledged {
        revision: u64,
    },
    /// All that was sent was rejected; the revision that a 412 named.
    Rejected {
        current: Option<u64>,
    },
    Unknown,
}

/// A put; its value is unique.
#[derive(Clone, Debug)]
pub struct Put {
    pub key: String,
    pub value: String,
    pub if_revision: Option<u64>,
    pub span: Span,
    pub fate: PutFate,
}

/// A value at a revision.
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
    pub span: Span,
}

/// The answer to a watch.
#[derive(Clone, Debug)]
pub struct WatchAnswer {
    pub group: String,
    pub after: u64,
    pub events: Vec<Entry>,
    pub revision: u64,
    pub span: Span,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub holds: Vec<Hold>,
    pub numbers: Vec<Number>,
    pub puts: Vec<Put>,
    pub reads: Vec<Read>,
    pub watches: Vec<WatchAnswer>,
}

/// The group of a key: its name up to the first dot.
pub fn group_of(key: &str) -> &str {
    key.split_once('.').map_or(key, |(group, _)| group)
}

impl History {
    /// Adds what another client has seen.
    pub fn merge(&mut self, other: Self) {
        self.holds.extend(other.holds);
        self.numbers.extend(other.numbers);
        self.puts.extend(other.puts);
        self.reads.extend(other.reads);
        self.watches.extend(other.watches);
    }

    /// All breaches of the rules.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        self.check_holds(&mut found);
        self.check_fences(&mut found);
        self.check_numbers(&mut found);
        let entries = self.check_entries(&mut found);
        self.check_puts(&entries, &mut found);
        self.check_reads(&mut found);
        self.check_watches(&entries, &mut found);
        found
    }

    fn check_holds(&self, found: &mut Vec<String>) {
        for holds in by(&self.holds, |hold| hold.lock.clone()).into_values() {
            let mut holds = holds;
            holds.sort_by_key(|hold| hold.acquired.received);
            for (at, hold) in holds.iter().enumerate() {
                let later = holds[at + 1..].iter();
                let overlapping = later
                    .take_while(|other| other.acquired.received < hold.until)
                    .filter(|other| other.holder != hold.holder);
                for other in overlapping {
                    breach(found, "ONE: two holders at a time", (hold, other));
                }
            }
        }
    }

    fn check_fences(&self, found: &mut Vec<String>) {
        for holds in by(&self.holds, |hold| hold.lock.clone()).into_values() {
            let greatest = Greatest::new(
                holds
                    .iter()
                    .map(|hold| (hold.acquired.received, hold.fence)),
            );
            let mut holders = HashMap::new();
            for hold in holds {
                if greatest.before(hold.acquired.sent) > Some(hold.fence) {
                    breach(found, "ONE: a fencing token below an earlier one", hold);
                }
                let holder = holders.entry(hold.fence).or_insert(&hold.holder);
                if *holder != &hold.holder {
                    breach(found, "ONE: two holders with one token", (hold, holder));
                }
            }
        }
    }

    fn check_numbers(&self, found: &mut Vec<String>) {
        for numbers in by(&self.numbers, |number| number.name.clone()).into_values() {
            let given = numbers
                .iter()
                .map(|number| (number.span.received, number.value));
            let greatest = Greatest::new(given);
            let mut values = HashSet::new();
            for number in numbers {
                if greatest.before(number.span.sent) >= Some(number.value) {
                    breach(found, "ORDER: a number not above an earlier one", number);
                }
                if !values.insert(number.value) {
                    breach(found, "ORDER: a number twice", number);
                }
            }
        }
    }

    /// Collects the entries of each group by their revisions, and checks that they fit together.
    fn check_entries(&self, found: &mut Vec<String>) -> Entries {
        let puts: HashMap<&str, &Put> = self.puts.iter().map(|put| (&*put.value, put)).collect();
        let mut entries = Entries::new();
        let mut revisions: HashMap<String, u64> = HashMap::new();
        let seen: HashSet<Entry> = self.seen_entries().collect();
        for entry in seen {
            match puts.get(&*entry.value) {
                Some(put) if put.key != entry.key => {
                    breach(found, "MIXED: a value of another key", (put, &entry));
                }
                Some(put) if matches!(put.fate, PutFate::Rejected { .. }) => {
                    breach(found, "REFUSED: a value that was rejected", (put, &entry));
                }
                Some(_) => {}
                None => breach(found, "MIXED: a value that nobody put", &entry),
            }
            let first = *revisions
                .entry(entry.value.clone())
                .or_insert(entry.revision);
            if first != entry.revision {
                breach(found, "MIXED: a value at two revisions", (first, &entry));
            }
            let group = entries.entry(group_of(&entry.key).to_owned()).or_default();
            if let Some(other) = group.insert(entry.revision, entry.clone()) {
                breach(found, "ORDER: a revision twice", (other, entry));
            }
        }
        entries
    }

    fn seen_entries(&self) -> impl Iterator<Item = Entry> {
        let acknowledged = self.puts.iter().filter_map(|put| match put.fate {
            PutFate::Acknowledged { revision } => Some(Entry {
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
        let by_group = by(&self.puts, |put| group_of(&put.key).to_owned());
        for (group, puts) in &by_group {
            let acknowledged = puts.iter().filter_map(|put| match put.fate {
                PutFate::Acknowledged { revision } => Some((put.span.received, revision)),
                _ => None,
            });
            let greatest = Greatest::new(acknowledged);
            let nothing = BTreeMap::new();
            let entries = entries.get(group).unwrap_or(&nothing);
            for &put in puts {
                match put.fate {
                    PutFate::Acknowledged { revision } => {
                        if greatest.before(put.span.sent) >= Some(revision) {
                            breach(found, "ORDER: a revision not above an earlier one", put);
                        }
                        check_condition(put, revision, entries, found);
                    }
                    PutFate::Rejected {
                        current: Some(current @ 1..),
                    } => {
                        let named = entries.get(&current);
                        if named.is_some_and(|entry| entry.key != put.key) {
                            breach(found, "MIXED: a 412 with a foreign revision", (put, named));
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    /// A read must not be older than a put that was acknowledged, or a read that was answered,
    /// before it was sent.
    fn check_reads(&self, found: &mut Vec<String>) {
        let puts = self.puts.iter().filter_map(|put| match put.fate {
            PutFate::Acknowledged { revision } => {
                Some((put.key.clone(), put.span.received, revision))
            }
            _ => None,
        });
        let reads = self.reads.iter().filter_map(|read| {
            let revision = read.found.as_ref()?.revision;
            Some((read.key.clone(), read.span.received, revision))
        });
        let known: Vec<_> = puts.chain(reads).collect();
        let known: HashMap<String, Greatest> = by(&known, |(key, ..)| key.clone())
            .into_iter()
            .map(|(key, seen)| {
                let seen = seen.into_iter().map(|(_, at, revision)| (*at, *revision));
                (key, Greatest::new(seen))
            })
            .collect();
        for read in &self.reads {
            let revision = read.found.as_ref().map_or(0, |entry| entry.revision);
            let greatest = known.get(&read.key);
            let earlier = greatest.and_then(|greatest| greatest.before(read.span.sent));
            if earlier > Some(revision) {
                breach(found, "STALE: a read of an old revision", (read, earlier));
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
                breach(found, "ORDER: events that do not rise in their span", watch);
            }
            if watch.after > watch.revision {
                breach(found, "ORDER: a watch that goes back", watch);
            } else if let Some(group) = entries.get(&watch.group).filter(|_| watch.after > 0) {
                let seen: HashSet<u64> = revisions.into_iter().collect();
                let span = group.range(watch.after + 1..watch.revision + 1);
                for (_, skipped) in span.filter(|(revision, _)| !seen.contains(revision)) {
                    breach(found, "ORDER: a watch skips a put", (watch, skipped));
                }
            }
        }
    }
}

/// The entries of each group by their revisions.
type Entries = HashMap<String, BTreeMap<u64, Entry>>;

/// A put with a condition must follow the revision that it names.
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
        breach(found, "ORDER: a put below the revision it requires", put);
        return;
    }
    let mut between = entries.range(required + 1..revision);
    if let Some(later) = between.find(|(_, entry)| entry.key == put.key) {
        breach(found, "ORDER: a put over a later revision", (put, later));
    }
}

fn breach(found: &mut Vec<String>, rule: &str, detail: impl Debug) {
    found.push(format!("{rule}: {detail:?}"));
}

fn by<T>(items: &[T], key: impl Fn(&T) -> String) -> HashMap<String, Vec<&T>> {
    let mut groups: HashMap<String, Vec<&T>> = HashMap::new();
    for item in items {
        groups.entry(key(item)).or_default().push(item);
    }
    groups
}

/// The greatest number that was seen by a time.
struct Greatest(Vec<(Duration, u64)>);

impl Greatest {
    fn new(seen: impl Iterator<Item = (Duration, u64)>) -> Self {
        let mut seen: Vec<_> = seen.collect();
        seen.sort_unstable();
        let mut greatest = 0;
        for (_, number) in &mut seen {
            greatest = greatest.max(*number);
            *number = greatest;
        }
        Self(seen)
    }

    /// The greatest that was seen before a time.
    fn before(&self, time: Duration) -> Option<u64> {
        let count = self.0.partition_point(|(at, _)| *at < time);
        Some(self.0.get(count.checked_sub(1)?)?.1)
    }
}
