//! Thread that writes the replicated log of the coordination group. Records that arrive during a
//! write are batched and written with one sync.

use super::event::{Event, EventSender};
use crate::core::log_writer::LogWriter;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use woadstall_consensus::Record;
use woadstall_storage::Storage;

/// A record with its sequence number, queued for the disk thread.
#[derive(Debug)]
struct NumberedRecord {
    sequence: u64,
    record: Record,
}

/// Handle of the disk thread. The thread ends when the handle is dropped.
#[derive(Debug)]
pub(super) struct Disk {
    records: Sender<NumberedRecord>,
}

impl Disk {
    /// Spawns the disk thread.
    pub fn start(storage: Storage, events: EventSender) -> Self {
        let (records, record_queue) = channel();
        thread::spawn(move || write_records(LogWriter::new(storage), &record_queue, &events));
        Self { records }
    }

    /// Queues a record. [`Event::RecordsPersisted`] is sent when the record is durable.
    pub fn persist(&self, sequence: u64, record: Record) {
        let record = NumberedRecord { sequence, record };
        if self.records.send(record).is_err() {
            log::error!("coordination_disk_thread_ended");
        }
    }
}

fn write_records(mut log: LogWriter, queue: &Receiver<NumberedRecord>, events: &EventSender) {
    while let Ok(first) = queue.recv() {
        let mut last_sequence = first.sequence;
        let mut records = vec![first.record];
        for NumberedRecord { sequence, record } in queue.try_iter() {
            last_sequence = sequence;
            records.push(record);
        }
        log.persist(&records);
        if events.send(Event::RecordsPersisted(last_sequence)).is_err() {
            return;
        }
    }
}
