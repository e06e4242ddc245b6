//! Writes the records of a replicated log to its storage.

use std::thread;
use std::time::Duration;
use woadstall_consensus::Record;
use woadstall_storage::Storage;

/// Pause before a failed write is retried.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Writer for the storage of a replicated log. Runs on a thread that may block on the disk.
#[derive(Debug)]
pub(super) struct LogWriter {
    storage: Storage,
}

impl LogWriter {
    /// Creates a writer for an initialized storage.
    pub fn new(storage: Storage) -> Self {
        Self { storage }
    }

    /// Writes records durably. Blocks and retries until the write succeeds.
    pub fn persist(&mut self, records: &[Record]) {
        let mut result = self.storage.write(records);
        while let Err(error) = result {
            log::warn!(
                "log_write_failed retry_in_ms={} error={error}",
                RETRY_INTERVAL.as_millis()
            );
            thread::sleep(RETRY_INTERVAL);
            // The storage keeps records that it failed to write, so an empty write retries them.
            result = self.storage.write(&[]);
        }
    }
}
