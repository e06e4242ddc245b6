//! The bytes of a disk: what was not synced may be there, missing or torn when power fails, each write on its own.

use std::io;
use std::path::PathBuf;
use woadstall_storage::{Medium, SEGMENT_BYTES, SEGMENTS};

/// Bytes that are written as a whole or not at all.
const SECTOR: usize = 512;

/// A write that was not synced.
#[derive(Clone, Debug)]
struct Unsynced {
    file: usize,
    offset: usize,
    bytes: Vec<u8>,
}

/// The bytes of all files.
#[derive(Clone, Debug, Default)]
pub struct Platter {
    /// What a process reads.
    seen: Vec<Vec<u8>>,
    /// What a loss of power leaves for certain.
    durable: Vec<Vec<u8>>,
    unsynced: Vec<Unsynced>,
    /// Whether writes and syncs fail now.
    pub refuses: bool,
    /// Whether power fails before the next sync is done.
    pub cuts_power: bool,
}

impl Platter {
    /// An empty disk.
    pub fn empty() -> Self {
        let files = vec![Vec::new(); SEGMENTS];
        Self {
            seen: files.clone(),
            durable: files,
            unsynced: Vec::new(),
            refuses: false,
            cuts_power: false,
        }
    }

    /// Power fails: of each write that was not synced all, nothing, a beginning or single sectors are there.
    pub fn lose_power(&mut self, random: &mut fastrand::Rng) {
        for Unsynced {
            file,
            offset,
            bytes,
        } in std::mem::take(&mut self.unsynced)
        {
            let mode = random.u8(..4);
            let cut = random.usize(..=bytes.len());
            for (number, sector) in bytes.chunks(SECTOR).enumerate() {
                let at = number * SECTOR;
                let is_there = match mode {
                    0 => true,
                    1 => false,
                    2 => at + sector.len() <= cut,
                    _ => random.bool(),
                };
                if is_there {
                    write(&mut self.durable[file], offset + at, sector);
                }
            }
        }
        self.seen = self.durable.clone();
        (self.refuses, self.cuts_power) = (false, false);
    }
}

fn write(file: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if file.len() < end {
        file.resize(end, 0);
    }
    file[offset..end].copy_from_slice(bytes);
}

impl Medium for Platter {
    fn read(&self, file: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        let rest = self.seen[file].get(offset..).unwrap_or_default();
        let got = rest.len().min(buffer.len());
        buffer[..got].copy_from_slice(&rest[..got]);
        Ok(got)
    }

    fn write(&mut self, file: usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        assert!(
            offset + bytes.len() as u64 <= SEGMENT_BYTES,
            "a write behind the end of a file"
        );
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        // A refused write may have come as far as its first sector.
        let taken = if self.refuses {
            &bytes[..bytes.len().min(SECTOR)]
        } else {
            bytes
        };
        write(&mut self.seen[file], offset, taken);
        self.unsynced.push(Unsynced {
            file,
            offset,
            bytes: taken.to_vec(),
        });
        if self.refuses {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, file: usize) -> io::Result<()> {
        if self.refuses || self.cuts_power {
            return Err(io::ErrorKind::Other.into());
        }
        let (synced, left) = std::mem::take(&mut self.unsynced)
            .into_iter()
            .partition(|write| write.file == file);
        self.unsynced = left;
        let synced: Vec<Unsynced> = synced;
        for Unsynced {
            file,
            offset,
            bytes,
        } in synced
        {
            write(&mut self.durable[file], offset, &bytes);
        }
        Ok(())
    }

    fn name(&self, file: usize) -> PathBuf {
        PathBuf::from(format!("segment-{file}"))
    }
}
