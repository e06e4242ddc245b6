//! The part of the log that is in memory: a snapshot and the entries after it.

use crate::entry::{Entry, EntryPayload};
use crate::log_position::{LogIndex, LogPosition, Term};
use crate::membership::Membership;
use crate::snapshot::Snapshot;
use std::sync::Arc;

/// A snapshot and the entries after it.
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

    /// The snapshot at its beginning, for a transfer that may outlive it here.
    pub(crate) fn shared_snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.clone()
    }

    /// The entries after the snapshot.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.snapshot.index + self.entries.len() as u64
    }

    /// The term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// The position of the last entry.
    pub fn last_position(&self) -> LogPosition {
        LogPosition {
            index: self.last_index(),
            term: self.last_term(),
        }
    }

    /// The term of the entry at an index; `None` if it is compacted or not there yet.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Whether the entry at this position is in the log.
    pub(crate) fn contains(&self, position: LogPosition) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    /// The entry at an index; `None` if it is compacted or not there yet.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.offset_of(index)?)
    }

    /// The entries from an index on, as many as fit `max_bytes`, but at least one if there is any.
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

    /// The bytes of the entries after an index.
    pub(crate) fn bytes_after(&self, index: LogIndex) -> usize {
        let skipped = saturating_usize(index.saturating_sub(self.snapshot.index));
        self.entries.iter().skip(skipped).map(Entry::size).sum()
    }

    /// Appends entries, which replace all from the first one's index on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let retained = first.index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(saturating_usize(retained));
        self.entries.extend_from_slice(entries);
    }

    /// Replaces everything up to the snapshot's position by the snapshot. Later entries stay if
    /// they follow on it.
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

    /// The membership as of the last entry.
    pub fn membership(&self) -> &Membership {
        self.membership_at(u64::MAX)
    }

    /// The membership as of an index.
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

    /// The index of the newest membership entry; `None` if there is none after the snapshot.
    pub fn last_membership_index(&self) -> Option<LogIndex> {
        let is_change = |entry: &&Entry| matches!(entry.payload, EntryPayload::Membership(_));
        self.entries
            .iter()
            .rev()
            .find(is_change)
            .map(|entry| entry.index)
    }

    /// The offset of an index in the entries; `None` if the snapshot covers it.
    fn offset_of(&self, index: LogIndex) -> Option<usize> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        Some(saturating_usize(offset))
    }
}

fn saturating_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
