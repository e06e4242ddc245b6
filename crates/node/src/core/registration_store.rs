//! Registrations on the disk. That an upstream leaves is durable before it is acknowledged; the
//! other registrations are hints for the first moments after a restart, until upstreams send
//! heartbeats again.
//!
//! Two files, `registrations-0` and `registrations-1`, are written alternately, so that a crash
//! leaves one of them complete.

use crate::time::millis;
use nanoserde::{DeBin, SerBin};
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use woadstall_control::registry::Registration;
use woadstall_control::wire::{MAX_FRAME_BYTES, decode_frame, encode_frame};

/// Files that are written alternately.
const FILES: u64 = 2;

/// The content of a file, in a frame of the internal protocol.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
struct StoredRegistrations {
    /// The number of the write; the higher one is the newer file.
    number: u64,
    /// The wall clock at the write, in milliseconds since 1970-01-01 UTC.
    written_at: u64,
    registrations: Vec<Registration>,
}

/// The files of one machine.
#[derive(Debug)]
pub(super) struct RegistrationStore {
    directory: PathBuf,
    /// The number of the last write.
    number: u64,
}

impl RegistrationStore {
    /// Opens the files in a directory and reads the newest one that is intact. The registrations'
    /// age includes the time since they were written; `now` is the wall clock.
    pub fn open(directory: &Path, now: Duration) -> (Self, Vec<Registration>) {
        let newest = (0..FILES)
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
    /// The file can't be written or synced. The other one stays as it is.
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
            .open(path(&self.directory, stored.number % FILES))?;
        file.write_all(&encode_frame(&stored))?;
        file.sync_data()?;
        self.number = stored.number;
        Ok(())
    }
}

fn path(directory: &Path, file_number: u64) -> PathBuf {
    directory.join(format!("registrations-{file_number}"))
}

/// The content of a file; `None` if it is missing or damaged.
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
