//! A machine's disk: records and registrations that are synced in order, after a while.

use woadstall_consensus::{DurableState, Record};
use woadstall_control::registry::Registration;

/// Something that is being written.
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
#[derive(Clone, Debug)]
pub struct Disk {
    /// What a loss of power leaves of the log.
    pub durable: DurableState,
    /// What it leaves of the registrations.
    pub registrations: Vec<Registration>,
    writes: Vec<Write>,
    /// Until when nothing is synced.
    pub stalls_until: u64,
}

impl Disk {
    /// A disk that holds a replica's first state.
    pub fn new(durable: DurableState) -> Self {
        Self { durable, registrations: Vec::new(), writes: Vec::new(), stalls_until: 0 }
    }

    /// Begins to write a record.
    pub fn write(&mut self, sequence: u64, record: Record) {
        self.writes.push(Write::Record(sequence, record));
    }

    /// Begins to write the registrations.
    pub fn keep(&mut self, number: u64, registrations: Vec<Registration>) {
        self.writes.push(Write::Registrations(number, registrations));
    }

    /// The writes so far, all together.
    pub fn pending(&self) -> usize {
        self.writes.len()
    }

    /// Makes the oldest writes durable.
    pub fn sync(&mut self, count: usize) -> Vec<Synced> {
        let count = count.min(self.writes.len());
        let mut synced = Vec::new();
        for write in self.writes.drain(..count) {
            match write {
                Write::Record(sequence, record) => {
                    self.durable.fold(&record);
                    synced.push(Synced::Records(sequence));
                }
                Write::Registrations(number, registrations) => {
                    self.registrations = registrations;
                    synced.push(Synced::Registrations(number));
                }
            }
        }
        synced
    }

    /// The process or the power ends: of what was not synced, the first `kept` writes are there all the same.
    pub fn interrupt(&mut self, kept: usize) {
        self.sync(kept);
        self.writes.clear();
    }
}
