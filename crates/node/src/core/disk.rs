//! The disk has a thread of its own: what waits while it writes is written together, with one sync.

use super::{Event, Events};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;
use woadstall_consensus::Record;
use woadstall_storage::Storage;

/// Wait after the disk has refused a write.
const RETRY: Duration = Duration::from_millis(200);

/// The way to the disk's thread.
#[derive(Debug)]
pub(super) struct Disk {
    queue: Sender<(u64, Record)>,
}

impl Disk {
    /// Starts the thread.
    pub fn start(storage: Storage, events: Events) -> Self {
        let (queue, records) = channel();
        thread::spawn(move || write_all(storage, &records, &events));
        Self { queue }
    }

    /// Has a record written; [`Event::Persisted`] tells when it is durable.
    pub fn write(&self, sequence: u64, record: Record) {
        if self.queue.send((sequence, record)).is_err() {
            log::error!("the disk's thread has ended");
        }
    }
}

fn write_all(mut storage: Storage, records: &Receiver<(u64, Record)>, events: &Events) {
    while let Ok(first) = records.recv() {
        let batch: Vec<(u64, Record)> = std::iter::once(first).chain(records.try_iter()).collect();
        let last = batch.last().map_or(0, |(sequence, _)| *sequence);
        let batch: Vec<Record> = batch.into_iter().map(|(_, record)| record).collect();
        let mut written = storage.write(&batch);
        while let Err(error) = written {
            log::warn!("write refused: {error}");
            thread::sleep(RETRY);
            written = storage.write(&[]);
        }
        if events.send(Event::Persisted(last)).is_err() {
            return;
        }
    }
}
