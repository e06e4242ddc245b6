//! Writes the records of a replicated log.

use std::thread;
use std::time::Duration;
use woadstall_consensus::Record;
use woadstall_storage::Storage;

/// Time between attempts of a write that fails.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The storage of a replicated log, on a thread that may wait for the disk.
#[derive(Debug)]
pub(super) struct LogWriter {
    storage: Storage,
}

impl LogWriter {
    /// A writer to a storage that is initialized.
    pub fn new(storage: Storage) -> Self {
        Self { storage }
    }

    /// Writes records, however often that has to be tried. They are durable then.
    pub fn persist(&mut self, records: &[Record]) {
        let mut result = self.storage.write(records);
        while let Err(error) = result {
            log::warn!(
                "log_write_failed retry_in_ms={} error={error}",
                RETRY_INTERVAL.as_millis()
            );
            thread::sleep(RETRY_INTERVAL);
            // The storage keeps records that it could not write.
            result = self.storage.write(&[]);
        }
    }
}
