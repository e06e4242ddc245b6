//! A machine's disk: the shipped storage over bytes that lose power, and the registrations; written in order, after a while.

use crate::platter::Platter;
use std::collections::VecDeque;
use woadstall_consensus::{DurableState, Record};
use woadstall_control::registry::Registration;
use woadstall_storage::Storage;

/// Something that waits to be written.
#[derive(Clone, Debug)]
enum Write {
    Record(u64, Record),
    Registrations(u64, Vec<Registration>),
}

/// What a sync has made durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Synced {
    /// Records up to this number.
    Records(u64),
    /// The registrations, as wished under this number.
    Registrations(u64),
}

/// The disk.
#[derive(Debug)]
pub struct Disk {
    storage: Storage<Platter>,
    /// The state that is synced; the storage's own is ahead of it while the disk refuses writes.
    synced: DurableState,
    /// Records that were refused, and are written with the next ones.
    refused: Vec<Record>,
    /// The registrations that were kept last.
    pub registrations: Vec<Registration>,
    writes: VecDeque<Write>,
    /// The number of the newest record that was refused.
    newest_refused: Option<u64>,
    /// Until when nothing is synced.
    pub stalls_until: u64,
    /// Until when writes are refused.
    pub refuses_until: u64,
}

impl Disk {
    /// A disk that holds a replica's first state.
    pub fn new(first: DurableState) -> Self {
        let mut storage = Storage::read(Platter::empty()).expect("an empty disk can be read");
        storage
            .initialize(first.clone())
            .expect("a first state fits");
        Self {
            storage,
            synced: first,
            refused: Vec::new(),
            registrations: Vec::new(),
            writes: VecDeque::new(),
            newest_refused: None,
            stalls_until: 0,
            refuses_until: 0,
        }
    }

    /// The state that is durable.
    pub fn durable(&self) -> &DurableState {
        &self.synced
    }

    /// Begins to write a record.
    pub fn write(&mut self, sequence: u64, record: Record) {
        self.writes.push_back(Write::Record(sequence, record));
    }

    /// Begins to write the registrations.
    pub fn keep(&mut self, number: u64, registrations: Vec<Registration>) {
        self.writes
            .push_back(Write::Registrations(number, registrations));
    }

    /// The writes that wait.
    pub fn pending(&self) -> usize {
        self.writes.len()
    }

    /// Whether something was refused and is to be tried again.
    pub fn has_refused(&self) -> bool {
        self.newest_refused.is_some()
    }

    /// Writes and syncs what waits longest.
    pub fn sync(&mut self, now: u64) -> Option<Synced> {
        self.storage.medium().refuses = now < self.refuses_until;
        match self.writes.pop_front() {
            Some(Write::Record(sequence, record)) => self.sync_records(sequence, &[record]),
            Some(Write::Registrations(number, registrations)) => {
                if now < self.refuses_until {
                    self.writes
                        .push_front(Write::Registrations(number, registrations));
                    return None;
                }
                self.registrations = registrations;
                Some(Synced::Registrations(number))
            }
            None => {
                let refused = self.newest_refused?;
                self.sync_records(refused, &[])
            }
        }
    }

    fn sync_records(&mut self, sequence: u64, records: &[Record]) -> Option<Synced> {
        let is_written = self.storage.write(records).is_ok();
        self.refused.extend_from_slice(records);
        if !is_written {
            self.newest_refused = Some(sequence);
            return None;
        }
        self.refused
            .drain(..)
            .for_each(|record| self.synced.apply_record(&record));
        self.newest_refused = None;
        Some(Synced::Records(sequence))
    }

    /// Power fails while the first `begun` of the writes that wait are on their way: what they leave is read again.
    pub fn lose_power(&mut self, begun: usize, random: &mut fastrand::Rng) {
        self.storage.medium().refuses = false;
        let records: Vec<Record> = self
            .writes
            .drain(..)
            .take(begun)
            .filter_map(|write| match write {
                Write::Record(_, record) => Some(record),
                Write::Registrations(..) => None,
            })
            .collect();
        if !records.is_empty() {
            self.storage.medium().cuts_power = true;
            self.storage.write(&records).ok();
        }
        self.refused.clear();
        self.newest_refused = None;
        (self.stalls_until, self.refuses_until) = (0, 0);
        let mut platter = std::mem::take(self.storage.medium());
        platter.lose_power(random);
        self.storage = Storage::read(platter).expect("what was synced can be read");
        self.synced = self
            .storage
            .state()
            .cloned()
            .expect("the disk was initialized");
    }
}
