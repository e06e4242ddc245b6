//! Entries, snapshots, and the part of the log that is held in memory.

use crate::membership::Membership;
use nanoserde::{DeBin, SerBin};
use std::sync::Arc;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum EntryPayload {
    /// Nothing: a leader begins its term with it.
    Blank,
    /// A command of the state machine.
    Command(Vec<u8>),
    /// New members, in force from the moment that the entry is in the log.
    Membership(Membership),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Entry {
    /// Its position, from 1 on.
    pub index: u64,
    /// The term of the leader that created it.
    pub term: u64,
    /// What it carries.
    pub payload: EntryPayload,
}

/// The state of the state machine at a position, which replaces all entries up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The members at that position.
    pub membership: Membership,
    /// The state machine's own encoding.
    pub state: Vec<u8>,
}

/// A snapshot and the entries behind it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Arc<Snapshot>,
    entries: Vec<Entry>,
}

impl Log {
    /// A log that begins with a snapshot.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        Self {
            snapshot: Arc::new(snapshot),
            entries,
        }
    }

    /// The snapshot at its beginning.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// That snapshot, for a transfer that outlasts it here.
    pub(crate) fn shared_snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.clone()
    }

    /// The bytes that the entries behind a position count as.
    pub(crate) fn bytes_after(&self, index: u64) -> usize {
        let skipped = index.saturating_sub(self.snapshot.index);
        self.entries
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .map(size_of)
            .sum()
    }

    /// The entries behind the snapshot.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The position of the last entry.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// The term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// The term of the entry at a position, if it is known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at a position, if it is held.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The entries from a position on, as many as hold `most_bytes` of commands, one at least.
    pub fn from(&self, index: u64, most_bytes: usize) -> Vec<Entry> {
        let Some(offset) = index.checked_sub(self.snapshot.index + 1) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let entries = self
            .entries
            .iter()
            .skip(usize::try_from(offset).unwrap_or(usize::MAX));
        let fits = |entry: &&Entry| {
            let before = bytes;
            bytes += size_of(entry);
            before == 0 || bytes <= most_bytes
        };
        entries.take_while(fits).cloned().collect()
    }

    /// Adds entries, which replace all from the first one's position on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let keep = first.index.saturating_sub(self.snapshot.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.entries.extend_from_slice(entries);
    }

    /// Replaces all up to the snapshot's position by it; entries behind it stay if they follow on it.
    pub fn install(&mut self, snapshot: Snapshot) {
        let follows = self.term_at(snapshot.index) == Some(snapshot.term);
        if follows {
            let covered = snapshot.index.saturating_sub(self.snapshot.index);
            let covered = usize::try_from(covered)
                .unwrap_or(usize::MAX)
                .min(self.entries.len());
            self.entries.drain(..covered);
        } else {
            self.entries.clear();
        }
        self.snapshot = Arc::new(snapshot);
    }

    /// The members as of the last entry.
    pub fn membership(&self) -> &Membership {
        self.membership_at(u64::MAX)
    }

    /// The members as of a position.
    pub fn membership_at(&self, index: u64) -> &Membership {
        let newest = self
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index);
        newest
            .filter_map(|entry| match &entry.payload {
                EntryPayload::Membership(members) => Some(members),
                _ => None,
            })
            .next()
            .unwrap_or(&self.snapshot.membership)
    }

    /// The position of the newest entry that changes the members, if it is held.
    pub fn last_membership_index(&self) -> Option<u64> {
        let changes = |entry: &&Entry| matches!(entry.payload, EntryPayload::Membership(_));
        self.entries
            .iter()
            .rev()
            .find(changes)
            .map(|entry| entry.index)
    }
}

/// The bytes that an entry counts as.
pub(crate) fn size_of(entry: &Entry) -> usize {
    const HEAD: usize = 32;
    match &entry.payload {
        EntryPayload::Command(command) => HEAD + command.len(),
        EntryPayload::Blank | EntryPayload::Membership(_) => HEAD,
    }
}
