//! The feed: the retained puts of all groups in log order. Each put has an offset. Puts are
//! retained for as long as watches may resume from them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use thiserror::Error;

/// The overhead of an event beyond its key and its value, in bytes. Also the overhead of a group.
const EVENT_BYTES: usize = 64;
/// The size of keys and values, in bytes, after which a list of events is cut off. The last event
/// of a list may exceed it.
const MAX_LIST_BYTES: usize = 256 << 10;

/// A put, as delivered to watches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The name of the key.
    pub key: Arc<str>,
    /// The value that was put.
    pub value: Arc<str>,
    /// The revision that the put gave to the key and its group.
    pub revision: u64,
}

/// The events of a key group after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupEvents {
    /// The events, oldest first.
    pub events: Vec<Event>,
    /// The revision up to which the list is complete. The next watch resumes from it.
    pub revision: u64,
}

/// The events after a revision are not available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WatchError {
    /// The history no longer contains all events after the requested revision.
    #[error("history is compacted up to revision {compacted}")]
    Compacted {
        /// The newest revision of the group whose event has been removed.
        compacted: u64,
    },
}

/// An event with its group and its time.
#[derive(Clone, Debug)]
pub(super) struct FeedEvent {
    pub group: Arc<str>,
    pub event: Event,
    /// The time of the put, in milliseconds of the state's clock.
    pub at_ms: u64,
}

/// The revisions of a key group and the index of its events.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// The revision of the newest put.
    pub revision: u64,
    /// The newest revision whose event is no longer in the feed.
    pub compacted_revision: u64,
    /// The feed offsets of the group's events, in increasing order.
    offsets: VecDeque<u64>,
}

/// The feed with an index by group.
#[derive(Clone, Debug, Default)]
pub(super) struct Feed {
    /// The offset of the oldest retained event.
    first_offset: u64,
    events: VecDeque<FeedEvent>,
    groups: BTreeMap<Arc<str>, Group>,
    bytes: usize,
}

impl Feed {
    pub fn len(&self) -> usize {
        self.events.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn first_offset(&self) -> u64 {
        self.first_offset
    }

    pub fn events(&self) -> impl Iterator<Item = &FeedEvent> {
        self.events.iter()
    }

    pub fn groups(&self) -> impl Iterator<Item = (&Arc<str>, &Group)> {
        self.groups.iter()
    }

    /// The shared name of a group, if the group has had a put.
    pub fn group_name(&self, group: &str) -> Option<Arc<str>> {
        self.groups
            .get_key_value(group)
            .map(|(name, _)| name.clone())
    }

    pub fn group_revision(&self, group: &str) -> u64 {
        self.groups.get(group).map_or(0, |group| group.revision)
    }

    /// Creates an empty feed whose first event gets the offset `first_offset`.
    pub fn starting_at(first_offset: u64) -> Self {
        Self {
            first_offset,
            ..Self::default()
        }
    }

    /// Adds a group without events.
    pub fn add_group(&mut self, name: Arc<str>, revision: u64, compacted_revision: u64) {
        let group = Group {
            revision,
            compacted_revision,
            offsets: VecDeque::new(),
        };
        self.bytes += EVENT_BYTES + name.len();
        self.groups.insert(name, group);
    }

    /// Appends an event.
    pub fn push(&mut self, feed_event: FeedEvent) {
        let offset = self.first_offset + self.events.len() as u64;
        if !self.groups.contains_key(&feed_event.group) {
            self.add_group(feed_event.group.clone(), 0, 0);
        }
        if let Some(group) = self.groups.get_mut(&feed_event.group) {
            group.revision = group.revision.max(feed_event.event.revision);
            group.offsets.push_back(offset);
        }
        self.bytes += size(&feed_event);
        self.events.push_back(feed_event);
    }

    /// Removes and returns the oldest event if it was put before `cutoff_ms` of the state's clock.
    pub fn pop_older_than(&mut self, cutoff_ms: u64) -> Option<FeedEvent> {
        if self.events.front()?.at_ms >= cutoff_ms {
            return None;
        }
        let feed_event = self.events.pop_front()?;
        self.first_offset += 1;
        self.bytes -= size(&feed_event);
        if let Some(group) = self.groups.get_mut(&feed_event.group) {
            group.offsets.pop_front();
            group.compacted_revision = feed_event.event.revision;
        }
        Some(feed_event)
    }

    /// The events of a group after the revision `after`. A list that exceeds [`MAX_LIST_BYTES`] is
    /// cut off, and its `revision` is the revision before the first omitted event.
    pub fn events_after(&self, group: &str, after: u64) -> Result<GroupEvents, WatchError> {
        let Some(group) = self.groups.get(group) else {
            return Ok(GroupEvents::default());
        };
        if after < group.compacted_revision {
            return Err(WatchError::Compacted {
                compacted: group.compacted_revision,
            });
        }
        let is_delivered = |offset: &u64| self.event_at(*offset).event.revision <= after;
        let first = group.offsets.partition_point(is_delivered);
        let mut found = GroupEvents {
            events: Vec::new(),
            revision: group.revision,
        };
        let mut bytes = 0;
        for offset in group.offsets.range(first..) {
            let event = &self.event_at(*offset).event;
            if bytes > MAX_LIST_BYTES {
                found.revision = event.revision - 1;
                break;
            }
            bytes += event.key.len() + event.value.len();
            found.events.push(event.clone());
        }
        Ok(found)
    }

    fn event_at(&self, offset: u64) -> &FeedEvent {
        &self.events[(offset - self.first_offset) as usize]
    }
}

fn size(feed_event: &FeedEvent) -> usize {
    EVENT_BYTES + feed_event.event.key.len() + feed_event.event.value.len()
}
