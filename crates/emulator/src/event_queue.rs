//! Queue of events by time. Events of the same instant are handled in the order in which they were scheduled.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};
use woadstall_engine::Time;

struct ScheduledEvent<E> {
    at: Time,
    /// Number of the event in the order of scheduling.
    sequence: u64,
    event: E,
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence)) // reversed: BinaryHeap is a max-heap
    }
}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for ScheduledEvent<E> {}

/// Scheduled events in the order of their times.
pub struct EventQueue<E> {
    heap: BinaryHeap<ScheduledEvent<E>>,
    sequence: u64,
    now: Time,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            sequence: 0,
            now: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Time of the event that was taken last.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Schedules an event. A time in the past is replaced by the present time.
    pub fn at(&mut self, at: Time, event: E) {
        self.sequence += 1;
        self.heap.push(ScheduledEvent {
            at: at.max(self.now),
            sequence: self.sequence,
            event,
        });
    }

    /// Schedules an event after a delay.
    pub fn after(&mut self, delay: Time, event: E) {
        self.at(self.now.saturating_add(delay), event);
    }

    /// Takes the next event, unless it is later than `until`.
    pub fn next(&mut self, until: Time) -> Option<E> {
        if self.heap.peek()?.at > until {
            return None;
        }
        let scheduled = self.heap.pop()?;
        self.now = scheduled.at;
        Some(scheduled.event)
    }
}

/// Map with consecutive keys in the order of insertion. Keys are never reused, and entries below the oldest
/// present key take no memory.
pub struct SequenceMap<T> {
    /// Key of the first entry.
    first: u64,
    entries: VecDeque<Option<T>>,
    /// Number of values present.
    count: usize,
}

impl<T> Default for SequenceMap<T> {
    fn default() -> Self {
        Self {
            first: 0,
            entries: VecDeque::new(),
            count: 0,
        }
    }
}

impl<T> SequenceMap<T> {
    /// Adds a value and returns its key.
    pub fn add(&mut self, value: T) -> u64 {
        self.entries.push_back(Some(value));
        self.count += 1;
        self.next_key() - 1
    }

    /// Key of the next value to be added.
    pub fn next_key(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    /// Value of a key, if present.
    pub fn get(&self, key: u64) -> Option<&T> {
        self.entries
            .get(usize::try_from(key.checked_sub(self.first)?).ok()?)?
            .as_ref()
    }

    /// Mutable value of a key, if present.
    pub fn get_mut(&mut self, key: u64) -> Option<&mut T> {
        self.entries
            .get_mut(usize::try_from(key.checked_sub(self.first)?).ok()?)?
            .as_mut()
    }

    /// Removes the value of a key.
    pub fn take(&mut self, key: u64) -> Option<T> {
        let taken = self
            .entries
            .get_mut(usize::try_from(key.checked_sub(self.first)?).ok()?)?
            .take();
        self.count -= usize::from(taken.is_some());
        while let Some(None) = self.entries.front() {
            self.entries.pop_front();
            self.first += 1;
        }
        taken
    }

    /// Number of values present.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no value is present.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Present values with their keys, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        self.entries
            .iter()
            .zip(self.first..)
            .filter_map(|(value, key)| Some((key, value.as_ref()?)))
    }
}
