//! Disk thread of a core process. Records that arrive during a write are batched and written with
//! one sync.

use super::event::{Event, EventSender};
use super::log_writer::{LogWriter, RETRY_INTERVAL};
use super::registration_store::RegistrationStore;
use crate::time::unix_time;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use woadstall_consensus::Record;
use woadstall_control::registry::Registration;
use woadstall_storage::Storage;

/// Job for the disk thread.
#[derive(Debug, PartialEq)]
enum WriteJob {
    /// Appends a record to the replicated log.
    Record { sequence: u64, record: Record },
    /// Replaces the stored registrations.
    Registrations(RegistrationWrite),
}

/// Registrations to be written to the disk.
#[derive(Debug, PartialEq)]
struct RegistrationWrite {
    /// Number of the latest machine request that this write completes; 0 for a periodic write.
    number: u64,
    registrations: Vec<Registration>,
}

/// Handle of the disk thread. The thread ends when the handle is dropped.
#[derive(Debug)]
pub(super) struct Disk {
    jobs: Sender<WriteJob>,
}

impl Disk {
    /// Spawns the disk thread.
    pub fn start(storage: Storage, store: RegistrationStore, events: EventSender) -> Self {
        let (jobs, job_queue) = channel();
        let writer = Writer {
            log: LogWriter::new(storage),
            store,
            events,
            pending_registrations: None,
        };
        thread::spawn(move || writer.run(&job_queue));
        Self { jobs }
    }

    /// Queues a record of the replicated log. [`Event::RecordsPersisted`] is sent when the record
    /// is durable.
    pub fn persist(&self, sequence: u64, record: Record) {
        self.submit(WriteJob::Record { sequence, record });
    }

    /// Queues a write of all registrations. [`Event::RegistrationsSaved`] is sent when the
    /// registrations are durable.
    pub fn save_registrations(&self, number: u64, registrations: Vec<Registration>) {
        self.submit(WriteJob::Registrations(RegistrationWrite {
            number,
            registrations,
        }));
    }

    fn submit(&self, job: WriteJob) {
        if self.jobs.send(job).is_err() {
            log::error!("disk_thread_ended");
        }
    }
}

/// The event queue is closed because the process is ending.
struct Closed;

/// State of the disk thread.
struct Writer {
    log: LogWriter,
    store: RegistrationStore,
    events: EventSender,
    /// Registrations that have not been written yet.
    pending_registrations: Option<RegistrationWrite>,
}

impl Writer {
    fn run(mut self, jobs: &Receiver<WriteJob>) {
        loop {
            let first = self.next_job(jobs);
            if first == Err(RecvTimeoutError::Disconnected) {
                return;
            }
            let batch: Vec<WriteJob> = first.into_iter().chain(jobs.try_iter()).collect();
            if self.write(batch).is_err() {
                return;
            }
        }
    }

    /// Waits for a job. If a write of registrations has failed, the wait ends after
    /// [`RETRY_INTERVAL`] so that the write is retried.
    fn next_job(&self, jobs: &Receiver<WriteJob>) -> Result<WriteJob, RecvTimeoutError> {
        if self.pending_registrations.is_some() {
            jobs.recv_timeout(RETRY_INTERVAL)
        } else {
            jobs.recv().map_err(|_| RecvTimeoutError::Disconnected)
        }
    }

    fn write(&mut self, batch: Vec<WriteJob>) -> Result<(), Closed> {
        let mut records = Vec::new();
        let mut last_sequence = None;
        for job in batch {
            match job {
                WriteJob::Record { sequence, record } => {
                    records.push(record);
                    last_sequence = Some(sequence);
                }
                WriteJob::Registrations(write) => self.replace_pending_registrations(write),
            }
        }
        if let Some(sequence) = last_sequence {
            self.log.persist(&records);
            self.notify(Event::RecordsPersisted(sequence))?;
        }
        if let Some(number) = self.try_save_registrations() {
            self.notify(Event::RegistrationsSaved(number))?;
        }
        Ok(())
    }

    /// Replaces pending registrations by newer ones. The newer write also completes the older
    /// requests.
    fn replace_pending_registrations(&mut self, mut write: RegistrationWrite) {
        if let Some(older) = &self.pending_registrations {
            write.number = write.number.max(older.number);
        }
        self.pending_registrations = Some(write);
    }

    /// Tries once to write the pending registrations and returns the number of the completed
    /// request. A failed write is retried later and does not delay the replicated log.
    fn try_save_registrations(&mut self) -> Option<u64> {
        let write = self.pending_registrations.take()?;
        match self.store.save(&write.registrations, unix_time()) {
            Ok(()) => Some(write.number),
            Err(error) => {
                log::warn!(
                    "registration_write_failed retry_in_ms={} error={error}",
                    RETRY_INTERVAL.as_millis()
                );
                self.pending_registrations = Some(write);
                None
            }
        }
    }

    fn notify(&self, event: Event) -> Result<(), Closed> {
        self.events.send(event).map_err(|_| Closed)
    }
}
