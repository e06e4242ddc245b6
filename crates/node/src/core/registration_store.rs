//! Stores the upstream registrations on the disk. A deregistration is durable before it is
//! acknowledged. All other registrations serve as hints after a restart until the upstreams send
//! heartbeats again.
//!
//! Two files, `registrations-0` and `registrations-1`, are written alternately, so that at least
//! one file is complete after a crash.

use crate::time::millis;
use nanoserde::{DeBin, SerBin};
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use woadstall_control::registry::Registration;
use woadstall_control::wire::{MAX_FRAME_BYTES, decode_frame, encode_frame};

/// Number of files that are written alternately.
const FILE_COUNT: u64 = 2;

/// Content of a file, encoded as a frame of the internal protocol.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
struct StoredRegistrations {
    /// Number of the write. The file with the higher number is newer.
    number: u64,
    /// Wall-clock time of the write, in milliseconds since 1970-01-01 UTC.
    written_at: u64,
    registrations: Vec<Registration>,
}

/// Registration files of one machine.
#[derive(Debug)]
pub(super) struct RegistrationStore {
    directory: PathBuf,
    /// Number of the last write.
    number: u64,
}

impl RegistrationStore {
    /// Opens the files in a directory and reads the newest intact file. The time since the write,
    /// measured by the wall clock `now`, is added to the age of each registration.
    pub fn open(directory: &Path, now: Duration) -> (Self, Vec<Registration>) {
        let newest = (0..FILE_COUNT)
            .filter_map(|number| read(&path(directory, number)))
            .max_by_key(|stored| stored.number)
            .unwrap_or_default();
        let elapsed_ms = millis(now.saturating_sub(Duration::from_millis(newest.written_at)));
        let mut registrations = newest.registrations;
        for registration in &mut registrations {
            registration.age_ms = registration.age_ms.saturating_add(elapsed_ms);
        }
        let store = Self {
            directory: directory.to_owned(),
            number: newest.number,
        };
        (store, registrations)
    }

    /// Writes the registrations durably; `now` is the wall clock.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written or synced. The other file is not changed.
    pub fn save(&mut self, registrations: &[Registration], now: Duration) -> io::Result<()> {
        let stored = StoredRegistrations {
            number: self.number + 1,
            written_at: millis(now),
            registrations: registrations.to_vec(),
        };
        let mut file = File::options()
            .write(true)
            .create(true)
            .truncate(true)
            .open(path(&self.directory, stored.number % FILE_COUNT))?;
        file.write_all(&encode_frame(&stored))?;
        file.sync_data()?;
        self.number = stored.number;
        Ok(())
    }
}

fn path(directory: &Path, file_number: u64) -> PathBuf {
    directory.join(format!("registrations-{file_number}"))
}

/// Reads a file; `None` if the file is missing or corrupt.
fn read(path: &Path) -> Option<StoredRegistrations> {
    let mut bytes = Vec::new();
    File::open(path)
        .ok()?
        .take(MAX_FRAME_BYTES as u64)
        .read_to_end(&mut bytes)
        .ok()?;
    decode_frame(&bytes).ok()
}

#[cfg(test)]
mod tests;
