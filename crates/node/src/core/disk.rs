//! The disk's thread. Records that arrive while it writes are written together, with one sync.

use super::event::{Event, EventSender};
use super::log_writer::{LogWriter, RETRY_INTERVAL};
use super::registration_store::RegistrationStore;
use crate::time::unix_time;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use woadstall_consensus::Record;
use woadstall_control::registry::Registration;
use woadstall_storage::Storage;

/// A write.
#[derive(Debug, PartialEq)]
enum WriteJob {
    /// A record of the replicated log.
    Record { sequence: u64, record: Record },
    /// All registrations.
    Registrations(RegistrationWrite),
}

/// Registrations to be written.
#[derive(Debug, PartialEq)]
struct RegistrationWrite {
    /// The number of the machine's request that this write fulfils, or 0.
    number: u64,
    registrations: Vec<Registration>,
}

/// The handle of the disk's thread. Dropped, the thread ends.
#[derive(Debug)]
pub(super) struct Disk {
    jobs: Sender<WriteJob>,
}

impl Disk {
    /// Starts the thread.
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

    /// Writes a record; [`Event::RecordsPersisted`] follows when it is durable.
    pub fn persist(&self, sequence: u64, record: Record) {
        self.submit(WriteJob::Record { sequence, record });
    }

    /// Writes the registrations; [`Event::RegistrationsSaved`] follows when they are durable.
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

/// The receiver of events no longer exists: the process ends.
struct Closed;

/// What the thread owns.
struct Writer {
    log: LogWriter,
    store: RegistrationStore,
    events: EventSender,
    /// Registrations that the disk has not accepted yet.
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

    /// Waits for a job, but not for longer than until registrations that could not be written are
    /// tried again.
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

    /// The newest registrations replace older ones, and fulfil the older requests too.
    fn replace_pending_registrations(&mut self, mut write: RegistrationWrite) {
        if let Some(older) = &self.pending_registrations {
            write.number = write.number.max(older.number);
        }
        self.pending_registrations = Some(write);
    }

    /// Writes the pending registrations once. A failure does not delay the replicated log.
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
