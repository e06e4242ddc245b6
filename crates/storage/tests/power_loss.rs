//! The durability of the state that a process reads after a previous process was killed between a
//! write and its sync.

use std::io;
use std::path::PathBuf;
use woadstall_consensus::{DurableState, Entry, EntryPayload, Record, Snapshot};
use woadstall_storage::{SEGMENT_COUNT, Storage, StorageMedium};

/// A medium that loses all unsynced writes in a power loss.
#[derive(Clone, Debug, Default)]
struct VolatileMedium {
    /// The content of the files that a process reads.
    visible: [Vec<u8>; SEGMENT_COUNT],
    /// The content of the files that survives a power loss.
    durable: [Vec<u8>; SEGMENT_COUNT],
    fails_syncs: bool,
}

impl StorageMedium for VolatileMedium {
    fn read_at(&self, file: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let rest = self.visible[file]
            .get(offset as usize..)
            .unwrap_or_default();
        let length = rest.len().min(buffer.len());
        buffer[..length].copy_from_slice(&rest[..length]);
        Ok(length)
    }

    fn write_at(&mut self, file: usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let end = offset as usize + bytes.len();
        let content = &mut self.visible[file];
        content.resize(content.len().max(end), 0);
        content[offset as usize..end].copy_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, file: usize) -> io::Result<()> {
        if self.fails_syncs {
            return Err(io::ErrorKind::Other.into());
        }
        self.durable[file] = self.visible[file].clone();
        Ok(())
    }

    fn path(&self, file: usize) -> PathBuf {
        format!("segment-{file}").into()
    }
}

#[test]
fn a_power_loss_keeps_the_state_that_a_restarted_process_has_read() {
    let mut storage = Storage::load(VolatileMedium::default()).unwrap();
    storage
        .initialize(DurableState::new(7, Snapshot::default()))
        .unwrap();
    storage.medium().fails_syncs = true;
    // The process is killed between the write and its sync.
    storage.write(&[first_entry()]).unwrap_err();
    let mut medium = storage.medium().clone();
    medium.fails_syncs = false;
    let mut restarted = Storage::load(medium).unwrap();
    let read_index = restarted.state().unwrap().log.last_index();
    let mut medium = restarted.medium().clone();
    medium.visible = medium.durable.clone();
    let after_power_loss = Storage::load(medium).unwrap();
    let index_after_power_loss = after_power_loss.state().unwrap().log.last_index();
    assert_eq!(index_after_power_loss, read_index);
}

fn first_entry() -> Record {
    Record::Append(vec![Entry {
        index: 1,
        term: 1,
        payload: EntryPayload::Blank,
    }])
}
