//! Registrations on the disk. What upstreams said of leaving is there before it is acknowledged; the rest are hints for the first
//! moments after a restart, when upstreams have not been heard of again.

use nanoserde::{DeBin, SerBin};
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use woadstall_control::registry::Registration;
use woadstall_control::wire::{MOST_BYTES, decode_whole, frame};

/// Two files by turns, so that one is always whole.
const FILES: u64 = 2;
/// What a file holds.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
struct Kept {
    number: u64,
    /// The time of day of the writing, in milliseconds since 1970.
    written_at: u64,
    registrations: Vec<Registration>,
}

/// The files.
#[derive(Debug)]
pub(super) struct Hints {
    folder: PathBuf,
    number: u64,
}

impl Hints {
    /// Opens the files in a folder at a time of day, and reads the newest that is sound.
    pub fn open(folder: &Path, time_of_day: Duration) -> (Self, Vec<Registration>) {
        let read = (0..FILES).filter_map(|number| read(&path(folder, number)));
        let newest = read.max_by_key(|kept| kept.number).unwrap_or_default();
        let elapsed = time_of_day.saturating_sub(Duration::from_millis(newest.written_at));
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let mut registrations = newest.registrations;
        for registration in &mut registrations {
            registration.age_ms = registration.age_ms.saturating_add(elapsed);
        }
        (
            Self {
                folder: folder.to_owned(),
                number: newest.number,
            },
            registrations,
        )
    }

    /// Writes the registrations durably.
    pub fn write(
        &mut self,
        registrations: &[Registration],
        time_of_day: Duration,
    ) -> io::Result<()> {
        let written_at = u64::try_from(time_of_day.as_millis()).unwrap_or(u64::MAX);
        let kept = Kept {
            number: self.number + 1,
            written_at,
            registrations: registrations.to_vec(),
        };
        let mut file = File::options()
            .write(true)
            .create(true)
            .truncate(true)
            .open(path(&self.folder, kept.number % FILES))?;
        file.write_all(&frame(&kept))?;
        file.sync_data()?;
        self.number = kept.number;
        Ok(())
    }
}

fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("registrations-{number}"))
}

fn read(path: &Path) -> Option<Kept> {
    let mut bytes = Vec::new();
    File::open(path)
        .ok()?
        .take(MOST_BYTES as u64)
        .read_to_end(&mut bytes)
        .ok()?;
    decode_whole(&bytes).ok()
}

#[cfg(test)]
#[path = "../../tests/unit/hints.rs"]
mod tests;
