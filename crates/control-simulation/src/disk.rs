//! A node's simulated disk: the shipped storage on a medium that loses power, and the
//! registrations. Writes are queued and made durable one after the other.

use crate::medium::SimulatedMedium;
use std::collections::VecDeque;
use woadstall_consensus::{DurableState, Record};
use woadstall_control::registry::Registration;
use woadstall_storage::Storage;

/// A write in the queue.
#[derive(Clone, Debug)]
enum QueuedWrite {
    Record {
        sequence: u64,
        record: Record,
    },
    Registrations {
        number: u64,
        registrations: Vec<Registration>,
    },
}

/// What a sync has made durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Synced {
    /// Records up to this sequence number.
    Records(u64),
    /// The registrations, as of the request with this number.
    Registrations(u64),
}

/// The disk of a node.
#[derive(Debug)]
pub struct SimulatedDisk {
    storage: Storage<SimulatedMedium>,
    /// The state that is synced; the storage's own is ahead of it while the disk rejects writes.
    synced: DurableState,
    /// Records that were rejected; the storage writes them with the next ones.
    rejected: Vec<Record>,
    /// The sequence number of the newest rejected record.
    newest_rejected: Option<u64>,
    /// The durable registrations.
    pub registrations: Vec<Registration>,
    queue: VecDeque<QueuedWrite>,
    /// Until when nothing is synced, in milliseconds.
    pub stalled_until_ms: u64,
    /// Until when writes are rejected, in milliseconds.
    pub rejects_until_ms: u64,
}

impl SimulatedDisk {
    /// A disk with a replica's initial state.
    ///
    /// # Panics
    ///
    /// If the storage cannot initialize an empty medium.
    pub fn new(initial: DurableState) -> Self {
        let mut storage =
            Storage::load(SimulatedMedium::empty()).expect("an empty medium can be read");
        storage
            .initialize(initial.clone())
            .expect("an initial state fits");
        Self {
            storage,
            synced: initial,
            rejected: Vec::new(),
            newest_rejected: None,
            registrations: Vec::new(),
            queue: VecDeque::new(),
            stalled_until_ms: 0,
            rejects_until_ms: 0,
        }
    }

    /// The state that is durable.
    pub fn durable(&self) -> &DurableState {
        &self.synced
    }

    /// Queues a record.
    pub fn write_record(&mut self, sequence: u64, record: Record) {
        self.queue
            .push_back(QueuedWrite::Record { sequence, record });
    }

    /// Queues the registrations.
    pub fn write_registrations(&mut self, number: u64, registrations: Vec<Registration>) {
        self.queue.push_back(QueuedWrite::Registrations {
            number,
            registrations,
        });
    }

    /// The number of queued writes.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether a record was rejected and is to be retried.
    pub fn has_rejected(&self) -> bool {
        self.newest_rejected.is_some()
    }

    /// Writes and syncs the oldest queued write, or retries rejected records if nothing is queued.
    /// Returns what has become durable, if anything.
    pub fn sync(&mut self, now_ms: u64) -> Option<Synced> {
        let rejects_writes = now_ms < self.rejects_until_ms;
        self.storage.medium().rejects_writes = rejects_writes;
        match self.queue.pop_front() {
            Some(QueuedWrite::Record { sequence, record }) => {
                self.sync_records(sequence, &[record])
            }
            Some(write @ QueuedWrite::Registrations { .. }) if rejects_writes => {
                self.queue.push_front(write);
                None
            }
            Some(QueuedWrite::Registrations {
                number,
                registrations,
            }) => {
                self.registrations = registrations;
                Some(Synced::Registrations(number))
            }
            None => self.sync_records(self.newest_rejected?, &[]),
        }
    }

    fn sync_records(&mut self, sequence: u64, records: &[Record]) -> Option<Synced> {
        let is_written = self.storage.write(records).is_ok();
        self.rejected.extend_from_slice(records);
        if !is_written {
            self.newest_rejected = Some(sequence);
            return None;
        }
        for record in self.rejected.drain(..) {
            self.synced.apply_record(&record);
        }
        self.newest_rejected = None;
        Some(Synced::Records(sequence))
    }

    /// Loses power while the first `started` queued writes are under way, then reads back what is
    /// left of them.
    ///
    /// # Panics
    ///
    /// If the storage cannot read what was synced before: the shipped storage promises that it can.
    pub fn lose_power(&mut self, started: usize, random: &mut fastrand::Rng) {
        self.storage.medium().rejects_writes = false;
        let records = self.take_queued_records(started);
        if !records.is_empty() {
            self.storage.medium().fails_syncs = true;
            self.storage.write(&records).ok();
        }
        self.rejected.clear();
        self.newest_rejected = None;
        self.clear_faults();
        let mut medium = std::mem::take(self.storage.medium());
        medium.lose_power(random);
        self.storage = Storage::load(medium).expect("what was synced can be read");
        self.synced = self
            .storage
            .state()
            .cloned()
            .expect("the disk was initialized");
    }

    /// Empties the queue; returns the records among its first `started` writes.
    fn take_queued_records(&mut self, started: usize) -> Vec<Record> {
        let started = self.queue.drain(..).take(started);
        let records = started.filter_map(|write| match write {
            QueuedWrite::Record { record, .. } => Some(record),
            QueuedWrite::Registrations { .. } => None,
        });
        records.collect()
    }

    /// Ends a stall and the rejection of writes.
    pub fn clear_faults(&mut self) {
        self.stalled_until_ms = 0;
        self.rejects_until_ms = 0;
    }
}
