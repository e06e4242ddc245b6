//! The feed: the puts of all groups in the order of the log, numbered, for as long as watches may
//! resume from them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use thiserror::Error;

/// Bytes that an event takes beside its key and its value.
const EVENT_BYTES: usize = 64;
/// Bytes of keys and values after which a list of events goes no further.
const MAX_LIST_BYTES: usize = 256 << 10;

/// A put, as watches get it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Arc<str>,
    /// The revision of the key and of its group from then on.
    pub revision: u64,
}

/// The events of a group after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupEvents {
    /// The events, the oldest first.
    pub events: Vec<Event>,
    /// The revision up to which these are all.
    pub revision: u64,
}

/// The events after a revision can't be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WatchError {
    /// The history begins later.
    #[error("the history begins after revision {compacted}")]
    Compacted {
        /// The newest revision whose event is no longer there.
        compacted: u64,
    },
}

/// An event of the feed.
#[derive(Clone, Debug)]
pub(super) struct FeedEvent {
    pub group: Arc<str>,
    pub event: Event,
    /// When it was put, by the state's clock.
    pub at_ms: u64,
}

/// What is known of a group of keys.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// The revision of its newest put.
    pub revision: u64,
    /// The newest revision whose event is no longer in the feed.
    pub compacted: u64,
    /// The offsets of its events, rising.
    offsets: VecDeque<u64>,
}

/// The feed with an index by group.
#[derive(Clone, Debug, Default)]
pub(super) struct Feed {
    /// The offset of the first event.
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

    /// The name of a group, shared, if something was put in it.
    pub fn group_name(&self, group: &str) -> Option<Arc<str>> {
        self.groups
            .get_key_value(group)
            .map(|(name, _)| name.clone())
    }

    pub fn group_revision(&self, group: &str) -> u64 {
        self.groups.get(group).map_or(0, |group| group.revision)
    }

    /// An empty feed that begins at an offset.
    pub fn starting_at(first_offset: u64) -> Self {
        Self {
            first_offset,
            ..Self::default()
        }
    }

    /// Adds a group without events.
    pub fn add_group(&mut self, name: Arc<str>, revision: u64, compacted: u64) {
        let group = Group {
            revision,
            compacted,
            offsets: VecDeque::new(),
        };
        self.bytes += EVENT_BYTES + name.len();
        self.groups.insert(name, group);
    }

    /// Adds an event at the end.
    pub fn push(&mut self, event: FeedEvent) {
        let offset = self.first_offset + self.events.len() as u64;
        if !self.groups.contains_key(&event.group) {
            self.add_group(event.group.clone(), 0, 0);
        }
        if let Some(group) = self.groups.get_mut(&event.group) {
            group.revision = group.revision.max(event.event.revision);
            group.offsets.push_back(offset);
        }
        self.bytes += size(&event);
        self.events.push_back(event);
    }

    /// Removes the first event if it is older than a time of the state's clock.
    pub fn pop_older_than(&mut self, at_ms: u64) -> Option<FeedEvent> {
        if self.events.front()?.at_ms >= at_ms {
            return None;
        }
        let event = self.events.pop_front()?;
        self.first_offset += 1;
        self.bytes -= size(&event);
        if let Some(group) = self.groups.get_mut(&event.group) {
            group.offsets.pop_front();
            group.compacted = event.event.revision;
        }
        Some(event)
    }

    /// The events of a group after a revision. A long list ends early; its revision says where.
    pub fn events_after(&self, group: &str, after: u64) -> Result<GroupEvents, WatchError> {
        let Some(group) = self.groups.get(group) else {
            return Ok(GroupEvents::default());
        };
        if after < group.compacted {
            return Err(WatchError::Compacted {
                compacted: group.compacted,
            });
        }
        let is_known = |offset: &u64| self.at(*offset).event.revision <= after;
        let first = group.offsets.partition_point(is_known);
        let mut found = GroupEvents {
            events: Vec::new(),
            revision: group.revision,
        };
        let mut bytes = 0;
        for offset in group.offsets.range(first..) {
            let event = &self.at(*offset).event;
            if bytes > MAX_LIST_BYTES {
                found.revision = event.revision - 1;
                break;
            }
            bytes += event.key.len() + event.value.len();
            found.events.push(event.clone());
        }
        Ok(found)
    }

    fn at(&self, offset: u64) -> &FeedEvent {
        &self.events[(offset - self.first_offset) as usize]
    }
}

fn size(event: &FeedEvent) -> usize {
    EVENT_BYTES + event.event.key.len() + event.event.value.len()
}
