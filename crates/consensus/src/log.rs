//! The in-memory log of a replica.

use crate::entry::{Entry, EntryPayload};
use crate::log_position::{LogIndex, LogPosition, Term};
use crate::membership::Membership;
use crate::snapshot::Snapshot;
use std::sync::Arc;

/// The log of a replica: the newest snapshot, and the entries after the snapshot.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Arc<Snapshot>,
    entries: Vec<Entry>,
}

impl Log {
    /// Creates a log from a snapshot and the entries that follow the snapshot.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        Self {
            snapshot: Arc::new(snapshot),
            entries,
        }
    }

    /// Returns the snapshot at the beginning of the log.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns a shared reference to the snapshot at the beginning of the log. A transfer can keep
    /// using the snapshot after the log has replaced it.
    pub(crate) fn shared_snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.clone()
    }

    /// Returns the entries after the snapshot.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the position of the last entry.
    pub fn last_position(&self) -> LogPosition {
        LogPosition {
            index: self.last_index(),
            term: self.last_term(),
        }
    }

    /// Returns the term of the entry at an index; `None` if the entry is compacted or is not in the
    /// log yet. The term of the last compacted entry is still known from the snapshot.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns whether the log has an entry with this index and term, or a snapshot whose last
    /// entry is at this position.
    pub(crate) fn contains(&self, position: LogPosition) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    /// Returns the entry at an index; `None` if the entry is compacted or is not in the log yet.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.offset_of(index)?)
    }

    /// Returns entries from an index on, up to a total size of `max_bytes`. The first entry is
    /// returned even if it exceeds the limit.
    pub fn entries_from(&self, index: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let Some(offset) = self.offset_of(index) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes += entry.size();
            is_first || bytes <= max_bytes
        };
        self.entries
            .iter()
            .skip(offset)
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// Returns the total size of the entries after an index, in bytes.
    pub(crate) fn bytes_after(&self, index: LogIndex) -> usize {
        let skipped = saturating_usize(index.saturating_sub(self.snapshot.index));
        self.entries.iter().skip(skipped).map(Entry::size).sum()
    }

    /// Appends contiguous entries. They replace all entries from the first new entry's index on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let retained = first.index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(saturating_usize(retained));
        self.entries.extend_from_slice(entries);
    }

    /// Replaces the log up to the snapshot's position by the snapshot. Later entries stay if the
    /// log matches the snapshot at that position; otherwise they conflict and are removed.
    pub fn install(&mut self, snapshot: Snapshot) {
        if self.contains(snapshot.position()) {
            let covered = snapshot.index.saturating_sub(self.snapshot.index);
            let covered = saturating_usize(covered).min(self.entries.len());
            self.entries.drain(..covered);
        } else {
            self.entries.clear();
        }
        self.snapshot = Arc::new(snapshot);
    }

    /// Returns the membership as of the last entry.
    pub fn membership(&self) -> &Membership {
        self.membership_at(u64::MAX)
    }

    /// Returns the membership as of an index.
    pub fn membership_at(&self, index: LogIndex) -> &Membership {
        let mut newest_first = self
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index);
        newest_first
            .find_map(|entry| match &entry.payload {
                EntryPayload::Membership(membership) => Some(membership),
                EntryPayload::Blank | EntryPayload::Command(_) => None,
            })
            .unwrap_or(&self.snapshot.membership)
    }

    /// Returns the index of the newest membership entry; `None` if no entry after the snapshot
    /// holds a membership.
    pub fn last_membership_index(&self) -> Option<LogIndex> {
        let is_change = |entry: &&Entry| matches!(entry.payload, EntryPayload::Membership(_));
        self.entries
            .iter()
            .rev()
            .find(is_change)
            .map(|entry| entry.index)
    }

    /// Returns the offset of an index in `entries`; `None` if the snapshot covers the index.
    fn offset_of(&self, index: LogIndex) -> Option<usize> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        Some(saturating_usize(offset))
    }
}

fn saturating_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
