//! The bytes of a simulated disk. After a power loss, each unsynced write may be present, missing
//! or torn, independently of the others.

use std::io;
use std::path::PathBuf;
use woadstall_storage::{SEGMENT_BYTES, SEGMENT_COUNT, StorageMedium};

/// Size of a sector in bytes. A disk writes a sector as a whole or not at all.
const SECTOR_BYTES: usize = 512;

/// A write that is not synced yet.
#[derive(Clone, Debug)]
struct UnsyncedWrite {
    file: usize,
    offset: usize,
    bytes: Vec<u8>,
}

/// The simulated medium with the contents of all segment files.
#[derive(Clone, Debug, Default)]
pub struct SimulatedMedium {
    /// Contents that a process reads, by file.
    visible: Vec<Vec<u8>>,
    /// Contents that are certain to survive a power loss, by file.
    durable: Vec<Vec<u8>>,
    unsynced: Vec<UnsyncedWrite>,
    /// Whether writes and syncs fail, as on a full disk.
    pub rejects_writes: bool,
    /// Whether syncs fail because power is lost before they complete.
    pub fails_syncs: bool,
}

impl SimulatedMedium {
    /// A medium with empty files.
    pub fn empty() -> Self {
        let files = vec![Vec::new(); SEGMENT_COUNT];
        Self {
            visible: files.clone(),
            durable: files,
            unsynced: Vec::new(),
            rejects_writes: false,
            fails_syncs: false,
        }
    }

    /// Simulates a power loss: of each unsynced write all, nothing, a prefix or random sectors
    /// survive.
    pub fn lose_power(&mut self, random: &mut fastrand::Rng) {
        for UnsyncedWrite {
            file,
            offset,
            bytes,
        } in std::mem::take(&mut self.unsynced)
        {
            let survival = Survival::random(random, bytes.len());
            for (number, sector) in bytes.chunks(SECTOR_BYTES).enumerate() {
                let sector_start = number * SECTOR_BYTES;
                if survival.keeps(sector_start + sector.len(), random) {
                    write_at(&mut self.durable[file], offset + sector_start, sector);
                }
            }
        }
        self.visible = self.durable.clone();
        (self.rejects_writes, self.fails_syncs) = (false, false);
    }
}

fn write_at(file: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if file.len() < end {
        file.resize(end, 0);
    }
    file[offset..end].copy_from_slice(bytes);
}

/// The part of an unsynced write that survives a power loss.
enum Survival {
    All,
    Nothing,
    /// The sectors that end at or before this byte position.
    Prefix(usize),
    /// Each sector with a probability of one half.
    SingleSectors,
}

impl Survival {
    fn random(random: &mut fastrand::Rng, length: usize) -> Self {
        let kind = random.u8(..4);
        let torn_at = random.usize(..=length);
        match kind {
            0 => Self::All,
            1 => Self::Nothing,
            2 => Self::Prefix(torn_at),
            _ => Self::SingleSectors,
        }
    }

    /// Whether the sector that ends at this byte position survives.
    fn keeps(&self, sector_end: usize, random: &mut fastrand::Rng) -> bool {
        match self {
            Self::All => true,
            Self::Nothing => false,
            Self::Prefix(torn_at) => sector_end <= *torn_at,
            Self::SingleSectors => random.bool(),
        }
    }
}

impl StorageMedium for SimulatedMedium {
    fn read_at(&self, file: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        let rest = self.visible[file].get(offset..).unwrap_or_default();
        let length = rest.len().min(buffer.len());
        buffer[..length].copy_from_slice(&rest[..length]);
        Ok(length)
    }

    fn write_at(&mut self, file: usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        assert!(
            offset + bytes.len() as u64 <= SEGMENT_BYTES,
            "write beyond the end of a segment file"
        );
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        // A rejected write may still have written its first sector.
        let written = if self.rejects_writes {
            &bytes[..bytes.len().min(SECTOR_BYTES)]
        } else {
            bytes
        };
        write_at(&mut self.visible[file], offset, written);
        self.unsynced.push(UnsyncedWrite {
            file,
            offset,
            bytes: written.to_vec(),
        });
        if self.rejects_writes {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, file: usize) -> io::Result<()> {
        if self.rejects_writes || self.fails_syncs {
            return Err(io::ErrorKind::Other.into());
        }
        let unsynced = std::mem::take(&mut self.unsynced);
        let (synced, unsynced): (Vec<_>, Vec<_>) =
            unsynced.into_iter().partition(|write| write.file == file);
        self.unsynced = unsynced;
        for UnsyncedWrite {
            file,
            offset,
            bytes,
        } in synced
        {
            write_at(&mut self.durable[file], offset, &bytes);
        }
        Ok(())
    }

    fn path(&self, file: usize) -> PathBuf {
        PathBuf::from(format!("segment-{file}"))
    }
}
