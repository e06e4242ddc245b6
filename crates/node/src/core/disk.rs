//! The disk has a thread of its own: what waits while it writes is written together, with one sync.

use super::hints::Hints;
use super::{Event, Events};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use woadstall_consensus::Record;
use woadstall_control::registry::Registration;
use woadstall_storage::Storage;

/// Wait after the disk has refused a write.
const RETRY: Duration = Duration::from_millis(200);

/// What the thread is to do.
#[derive(Debug, PartialEq)]
enum Job {
    /// Make a record durable.
    Record(u64, Record),
    /// Keep the registrations, as the machine wishes under this number.
    Registrations(u64, Vec<Registration>),
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

    /// Has the registrations kept; [`Event::Kept`] tells when they are durable.
    pub fn keep(&self, number: u64, registrations: Vec<Registration>) {
        self.submit(Job::Registrations(number, registrations));
    }

    fn submit(&self, job: Job) {
        if self.queue.send(job).is_err() {
            log::error!("the disk's thread has ended");
        }
    }
}

/// Registrations that the disk has not taken yet, and the machine's wish that they meet.
type Unkept = Option<(u64, Vec<Registration>)>;

fn work(mut storage: Storage, mut hints: Hints, jobs: &Receiver<Job>, events: &Events) {
    let mut unkept: Unkept = None;
    loop {
        // What the disk has refused is tried again, without holding up the log.
        let first = match unkept {
            None => jobs.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(_) => jobs.recv_timeout(RETRY),
        };
        if first == Err(RecvTimeoutError::Disconnected) {
            return;
        }
        let (mut records, mut last) = (Vec::new(), None);
        for job in first.into_iter().chain(jobs.try_iter()) {
            match job {
                Job::Record(sequence, record) => {
                    records.push(record);
                    last = Some(sequence);
                }
                Job::Registrations(number, newest) => {
                    let number = unkept.map_or(number, |(older, _)| older.max(number));
                    unkept = Some((number, newest));
                }
            }
        }
        if let Some(last) = last {
            write_until_done(&mut storage, &records);
            if events.send(Event::Persisted(last)).is_err() {
                return;
            }
        }
        if let Some(number) = keep(&mut hints, &mut unkept)
            && events.send(Event::Kept(number)).is_err()
        {
            return;
        }
    }
}

/// Writes the registrations, and tells the wish that this has met.
fn keep(hints: &mut Hints, unkept: &mut Unkept) -> Option<u64> {
    let (number, registrations) = unkept.as_ref()?;
    match hints.write(registrations, time_of_day()) {
        Ok(()) => {
            let number = *number;
            *unkept = None;
            Some(number)
        }
        Err(error) => {
            log::warn!("registrations not kept: {error}");
            None
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

/// The time since 1970.
pub(super) fn time_of_day() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
