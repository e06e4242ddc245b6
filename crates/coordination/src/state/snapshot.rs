//! Encoding and decoding of the state for snapshots of the log.

use super::CoordinationState;
use super::feed::{Event, Feed, FeedEvent};
use super::keys::{KeyEntry, KeyTable};
use super::locks::{Lease, LockTable};
use super::sequences::SequenceTable;
use crate::command::group_of;
use crate::encoding::{self, DecodeError};
use nanoserde::{DeBin, SerBin};

/// The stored form of a state. The binary format depends on the order of the fields.
#[derive(SerBin, DeBin)]
struct StoredState {
    index: u64,
    clock_ms: u64,
    last_fencing_token: u64,
    leases: Vec<StoredLease>,
    sequences: Vec<StoredSequence>,
    groups: Vec<StoredGroup>,
    entries: Vec<StoredEntry>,
    first_offset: u64,
    events: Vec<StoredEvent>,
}

#[derive(SerBin, DeBin)]
struct StoredLease {
    lock: String,
    owner: String,
    fencing_token: u64,
    expires_ms: u64,
}

#[derive(SerBin, DeBin)]
struct StoredSequence {
    name: String,
    last: u64,
}

#[derive(SerBin, DeBin)]
struct StoredGroup {
    name: String,
    revision: u64,
    compacted: u64,
}

#[derive(SerBin, DeBin)]
struct StoredEntry {
    key: String,
    value: String,
    revision: u64,
}

#[derive(SerBin, DeBin)]
struct StoredEvent {
    key: String,
    value: String,
    revision: u64,
    at_ms: u64,
}

impl CoordinationState {
    /// Encodes the state with a version and a checksum.
    pub fn encode(&self) -> Vec<u8> {
        let feed = self.keys.feed();
        let stored = StoredState {
            index: self.index,
            clock_ms: self.clock_ms,
            last_fencing_token: self.locks.last_fencing_token(),
            leases: stored_leases(&self.locks),
            sequences: stored_sequences(&self.sequences),
            groups: stored_groups(feed),
            entries: stored_entries(&self.keys),
            first_offset: feed.first_offset(),
            events: feed.events().map(StoredEvent::from).collect(),
        };
        encoding::encode(&stored)
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are corrupt or have a different format version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let stored: StoredState = encoding::decode(bytes)?;
        let mut state = Self {
            index: stored.index,
            clock_ms: stored.clock_ms,
            locks: restored_locks(stored.leases),
            sequences: restored_sequences(stored.sequences),
            keys: KeyTable::with_feed(restored_groups(stored.first_offset, stored.groups)),
        };
        state
            .locks
            .set_last_fencing_token(stored.last_fencing_token);
        for StoredEntry {
            key,
            value,
            revision,
        } in stored.entries
        {
            let value = value.into();
            state.keys.set(key.into(), KeyEntry { value, revision });
        }
        for event in stored.events {
            state.keys.record(event.into());
        }
        Ok(state)
    }
}

fn stored_leases(locks: &LockTable) -> Vec<StoredLease> {
    let stored = |(lock, lease): (&String, &Lease)| StoredLease {
        lock: lock.clone(),
        owner: lease.owner.clone(),
        fencing_token: lease.fencing_token,
        expires_ms: lease.expires_ms,
    };
    locks.leases().map(stored).collect()
}

fn restored_locks(stored: Vec<StoredLease>) -> LockTable {
    let mut locks = LockTable::default();
    for stored in stored {
        let lease = Lease {
            owner: stored.owner,
            fencing_token: stored.fencing_token,
            expires_ms: stored.expires_ms,
        };
        locks.insert(stored.lock, lease);
    }
    locks
}

fn stored_sequences(sequences: &SequenceTable) -> Vec<StoredSequence> {
    let stored = |(name, last): (&String, u64)| StoredSequence {
        name: name.clone(),
        last,
    };
    sequences.iter().map(stored).collect()
}

fn restored_sequences(stored: Vec<StoredSequence>) -> SequenceTable {
    let mut sequences = SequenceTable::default();
    for StoredSequence { name, last } in stored {
        sequences.set(name, last);
    }
    sequences
}

fn stored_groups(feed: &Feed) -> Vec<StoredGroup> {
    let groups = feed.groups();
    groups
        .map(|(name, group)| StoredGroup {
            name: name.to_string(),
            revision: group.revision,
            compacted: group.compacted_revision,
        })
        .collect()
}

fn restored_groups(first_offset: u64, stored: Vec<StoredGroup>) -> Feed {
    let mut feed = Feed::starting_at(first_offset);
    for group in stored {
        feed.add_group(group.name.into(), group.revision, group.compacted);
    }
    feed
}

fn stored_entries(keys: &KeyTable) -> Vec<StoredEntry> {
    let entries = keys.entries();
    entries
        .map(|(key, entry)| StoredEntry {
            key: key.to_string(),
            value: entry.value.to_string(),
            revision: entry.revision,
        })
        .collect()
}

impl From<&FeedEvent> for StoredEvent {
    fn from(stored: &FeedEvent) -> Self {
        Self {
            key: stored.event.key.to_string(),
            value: stored.event.value.to_string(),
            revision: stored.event.revision,
            at_ms: stored.at_ms,
        }
    }
}

impl From<StoredEvent> for FeedEvent {
    fn from(stored: StoredEvent) -> Self {
        Self {
            group: group_of(&stored.key).into(),
            event: Event {
                key: stored.key.into(),
                value: stored.value.into(),
                revision: stored.revision,
            },
            at_ms: stored.at_ms,
        }
    }
}
