//! The simulated disk of a node: the production storage on a simulated medium, and the persisted
//! registrations. Writes are queued and synced one at a time.

use crate::medium::SimulatedMedium;
use std::collections::VecDeque;
use woadstall_consensus::{DurableState, Record};
use woadstall_control::registry::Registration;
use woadstall_storage::Storage;

/// A write that waits for its sync.
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

/// The data that a sync has made durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Synced {
    /// All records up to this sequence number.
    Records(u64),
    /// The registrations of the write request with this number.
    Registrations(u64),
}

/// The simulated disk of a node.
#[derive(Debug)]
pub struct SimulatedDisk {
    storage: Storage<SimulatedMedium>,
    /// The synced state. The state in `storage` is ahead of it while the disk rejects writes.
    synced: DurableState,
    /// Rejected records, which the storage writes again with the next records.
    rejected: Vec<Record>,
    /// Sequence number of the newest rejected record.
    newest_rejected: Option<u64>,
    /// The synced registrations.
    pub registrations: Vec<Registration>,
    queue: VecDeque<QueuedWrite>,
    /// End of a stall, until which nothing is synced, in milliseconds; 0 without a stall.
    pub stalled_until_ms: u64,
    /// End of the rejection of writes, in milliseconds; 0 if writes are accepted.
    pub rejects_until_ms: u64,
}

impl SimulatedDisk {
    /// A disk that contains the initial state of a replica.
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

    /// The synced state of the replica.
    pub fn durable(&self) -> &DurableState {
        &self.synced
    }

    /// Queues the write of a record.
    pub fn write_record(&mut self, sequence: u64, record: Record) {
        self.queue
            .push_back(QueuedWrite::Record { sequence, record });
    }

    /// Queues the write of all registrations.
    pub fn write_registrations(&mut self, number: u64, registrations: Vec<Registration>) {
        self.queue.push_back(QueuedWrite::Registrations {
            number,
            registrations,
        });
    }

    /// Number of queued writes.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether rejected records wait for a retry.
    pub fn has_rejected(&self) -> bool {
        self.newest_rejected.is_some()
    }

    /// Writes and syncs the oldest queued write, or retries rejected records if the queue is empty.
    /// Returns the data that became durable, if any.
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

    /// Simulates a power loss while the first `started_writes` queued writes are in progress, and
    /// reloads the storage from the parts of the writes that survived.
    ///
    /// # Panics
    ///
    /// If the storage cannot read the synced data, which it guarantees to survive a power loss.
    pub fn lose_power(&mut self, started_writes: usize, random: &mut fastrand::Rng) {
        self.storage.medium().rejects_writes = false;
        let records = self.take_queued_records(started_writes);
        if !records.is_empty() {
            self.storage.medium().fails_syncs = true;
            self.storage.write(&records).ok();
        }
        self.rejected.clear();
        self.newest_rejected = None;
        self.clear_faults();
        let mut medium = std::mem::take(self.storage.medium());
        medium.lose_power(random);
        self.storage = Storage::load(medium).expect("synced data is readable");
        self.synced = self
            .storage
            .state()
            .cloned()
            .expect("the disk was initialized");
    }

    /// Empties the queue. Returns the records among its first `started_writes` writes.
    fn take_queued_records(&mut self, started_writes: usize) -> Vec<Record> {
        let started = self.queue.drain(..).take(started_writes);
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
