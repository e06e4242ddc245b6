//! The disk has a thread of its own: what waits while it writes is written together, with one sync.

use super::hints::Hints;
use super::{Event, Events};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;
use woadstall_consensus::Record;
use woadstall_control::registry::Registration;
use woadstall_storage::Storage;

/// Wait after the disk has refused a write.
const RETRY: Duration = Duration::from_millis(200);

/// What the thread is to do.
enum Job {
    /// Make a record durable.
    Record(u64, Record),
    /// Keep the registrations.
    Registrations(Vec<Registration>),
}

/// The way to the disk's thread.
#[derive(Debug)]
pub(super) struct Disk {
    queue: Sender<Job>,
}

impl Disk {
    /// Starts the thread.
    pub fn start(storage: Storage, hints: Hints, events: Events) -> Self {
        let (queue, jobs) = channel();
        thread::spawn(move || work(storage, hints, &jobs, &events));
        Self { queue }
    }

    /// Has a record written; [`Event::Persisted`] tells when it is durable.
    pub fn write(&self, sequence: u64, record: Record) {
        self.submit(Job::Record(sequence, record));
    }

    /// Has the registrations kept.
    pub fn keep(&self, registrations: Vec<Registration>) {
        self.submit(Job::Registrations(registrations));
    }

    fn submit(&self, job: Job) {
        if self.queue.send(job).is_err() {
            log::error!("the disk's thread has ended");
        }
    }
}

fn work(mut storage: Storage, mut hints: Hints, jobs: &Receiver<Job>, events: &Events) {
    while let Ok(first) = jobs.recv() {
        let (mut records, mut last, mut registrations) = (Vec::new(), None, None);
        for job in std::iter::once(first).chain(jobs.try_iter()) {
            match job {
                Job::Record(sequence, record) => {
                    records.push(record);
                    last = Some(sequence);
                }
                Job::Registrations(newest) => registrations = Some(newest),
            }
        }
        if let Some(last) = last {
            write_until_done(&mut storage, &records);
            if events.send(Event::Persisted(last)).is_err() {
                return;
            }
        }
        if let Some(Err(error)) = registrations.map(|registrations| hints.write(registrations)) {
            log::warn!("registrations not kept: {error}");
        }
    }
}

fn write_until_done(storage: &mut Storage, records: &[Record]) {
    let mut written = storage.write(records);
    while let Err(error) = written {
        log::warn!("write refused: {error}");
        thread::sleep(RETRY);
        written = storage.write(&[]);
    }
}
