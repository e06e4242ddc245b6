//! Registrations on the disk. They are hints for the first moments after a restart, when upstreams have not been heard of
//! again: a machine that loses them waits for the next heartbeats.

use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use woadstall_control::registry::Registration;
use woadstall_control::wire::{MOST_BYTES, Packet};

/// Two files by turns, so that one is always whole.
const FILES: u64 = 2;

/// The files.
#[derive(Debug)]
pub(super) struct Hints {
    folder: PathBuf,
    number: u64,
}

impl Hints {
    /// Opens the files in a folder, and reads the newest that is sound.
    pub fn open(folder: &Path) -> (Self, Vec<Registration>) {
        let read = (0..FILES).filter_map(|number| read(&path(folder, number)));
        let newest = read.max_by_key(|(number, _)| *number);
        let (number, registrations) = newest.unwrap_or_default();
        (Self { folder: folder.to_owned(), number }, registrations)
    }

    /// Writes the registrations durably.
    pub fn write(&mut self, registrations: Vec<Registration>) -> io::Result<()> {
        self.number += 1;
        let frame = Packet::Registrations { number: self.number, registrations }.frame();
        let mut file = File::options()
            .write(true)
            .create(true)
            .truncate(true)
            .open(path(&self.folder, self.number % FILES))?;
        file.write_all(&frame)?;
        file.sync_data()
    }
}

fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("registrations-{number}"))
}

fn read(path: &Path) -> Option<(u64, Vec<Registration>)> {
    let mut bytes = Vec::new();
    File::open(path).ok()?.take(MOST_BYTES as u64).read_to_end(&mut bytes).ok()?;
    match Packet::decode_datagram(&bytes) {
        Ok(Packet::Registrations { number, registrations }) => Some((number, registrations)),
        _ => None,
    }
}
