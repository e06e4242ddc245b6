//! Keys with their values and revisions, and the history of recent puts.

use super::feed::{Event, Feed, FeedEvent, GroupEvents, WatchError};
use crate::command::group_of;
use crate::outcome::Outcome;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The overhead of a key beyond its name and its value, in bytes.
const KEY_BYTES: usize = 48;

/// The current value and revision of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KeyEntry {
    pub value: Arc<str>,
    pub revision: u64,
}

/// A request to set the value of a key.
#[derive(Clone, Debug)]
pub(super) struct PutRequest {
    pub key: String,
    pub value: String,
    pub if_revision: Option<u64>,
    /// The time of the put, in milliseconds of the state's clock.
    pub at_ms: u64,
    /// Whether the state has capacity for the put.
    pub may_grow: bool,
}

/// Identifies a put for deduplication. A caller that retries a put sends the same key and value.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PutId {
    key: Arc<str>,
    value: Arc<str>,
}

/// All keys and the feed of recent puts.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyTable {
    entries: BTreeMap<Arc<str>, KeyEntry>,
    /// The revisions of the puts in the feed, for deduplication.
    recent_puts: HashMap<PutId, u64>,
    feed: Feed,
    entry_bytes: usize,
}

impl KeyTable {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of events in the feed.
    pub fn event_count(&self) -> usize {
        self.feed.len()
    }

    pub fn bytes(&self) -> usize {
        self.entry_bytes + self.feed.bytes()
    }

    pub fn feed(&self) -> &Feed {
        &self.feed
    }

    pub fn entries(&self) -> impl Iterator<Item = (&Arc<str>, &KeyEntry)> {
        self.entries.iter()
    }

    /// Creates a table without keys. `feed` must have no events.
    pub fn with_feed(feed: Feed) -> Self {
        Self {
            feed,
            ..Self::default()
        }
    }

    /// The current value and revision of a key.
    pub fn get(&self, key: &str) -> Option<(&str, u64)> {
        let entry = self.entries.get(key)?;
        Some((&*entry.value, entry.revision))
    }

    pub fn group_revision(&self, group: &str) -> u64 {
        self.feed.group_revision(group)
    }

    pub fn events_after(&self, group: &str, after: u64) -> Result<GroupEvents, WatchError> {
        self.feed.events_after(group, after)
    }

    /// Executes a put. A repeated put changes nothing and returns the revision of its first
    /// execution. A put is rejected if the key does not have the required revision or the state is
    /// full. The group of a successful new put is added to `changed_groups`.
    pub fn put(&mut self, request: PutRequest, changed_groups: &mut Vec<String>) -> Outcome {
        let key: Arc<str> = request.key.into();
        let value: Arc<str> = request.value.into();
        if let Some(revision) = self.revision_of_put(&key, &value) {
            return Outcome::Put { revision };
        }
        let current = self.entries.get(&key).map_or(0, |entry| entry.revision);
        if request
            .if_revision
            .is_some_and(|required| required != current)
        {
            return Outcome::RevisionConflict { current };
        }
        if !request.may_grow {
            return Outcome::LimitReached;
        }
        let group = group_of(&key);
        let revision = self.feed.group_revision(group) + 1;
        if !changed_groups.iter().any(|changed| changed == group) {
            changed_groups.push(group.to_owned());
        }
        let group = self.feed.group_name(group).unwrap_or_else(|| group.into());
        self.set(
            key.clone(),
            KeyEntry {
                value: value.clone(),
                revision,
            },
        );
        self.record(FeedEvent {
            group,
            event: Event {
                key,
                value,
                revision,
            },
            at_ms: request.at_ms,
        });
        Outcome::Put { revision }
    }

    /// The revision of an earlier put of the same value to the same key. `None` if there was no
    /// such put or the put is neither the current value nor in the feed.
    fn revision_of_put(&self, key: &Arc<str>, value: &Arc<str>) -> Option<u64> {
        let current = self.entries.get(key).filter(|entry| entry.value == *value);
        if let Some(entry) = current {
            return Some(entry.revision);
        }
        let id = PutId {
            key: key.clone(),
            value: value.clone(),
        };
        self.recent_puts.get(&id).copied()
    }

    /// Sets the value of a key without recording an event.
    pub fn set(&mut self, key: Arc<str>, entry: KeyEntry) {
        let size = |entry: &KeyEntry| KEY_BYTES + key.len() + entry.value.len();
        let added = size(&entry);
        let removed = self.entries.get(&key).map_or(0, size);
        self.entry_bytes = self.entry_bytes + added - removed;
        self.entries.insert(key, entry);
    }

    /// Appends an event to the feed and indexes it for deduplication.
    pub fn record(&mut self, feed_event: FeedEvent) {
        let id = PutId {
            key: feed_event.event.key.clone(),
            value: feed_event.event.value.clone(),
        };
        self.recent_puts.insert(id, feed_event.event.revision);
        self.feed.push(feed_event);
    }

    /// Removes the events older than `history_ms` before `now_ms` of the state's clock.
    pub fn expire_history(&mut self, now_ms: u64, history_ms: u64) {
        let cutoff_ms = now_ms.saturating_sub(history_ms);
        while let Some(FeedEvent { event, .. }) = self.feed.pop_older_than(cutoff_ms) {
            self.recent_puts.remove(&PutId {
                key: event.key,
                value: event.value,
            });
        }
    }
}
