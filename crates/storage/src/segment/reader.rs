//! The reader of a segment.

use super::header::HEADER_BYTES;
use super::record::{PREFIX_BYTES, RecordPrefix, SegmentRecord, checksum};
use crate::medium::StorageMedium;
use nanoserde::DeBin;
use std::io;
use woadstall_consensus::{DurableState, Record};

/// The number of bytes that are read from the medium at a time.
const READ_CHUNK_BYTES: usize = 64 << 10;

/// A reader of the records of a segment, in order.
pub(crate) struct SegmentReader<'a, M> {
    medium: &'a M,
    file: usize,
    sequence: u64,
    /// The offset of the next record in the file.
    offset: u64,
    /// The bytes of the file from `offset` on that were already read.
    buffer: Vec<u8>,
}

impl<'a, M: StorageMedium> SegmentReader<'a, M> {
    /// Creates a reader that is positioned after the header of a segment.
    pub fn new(medium: &'a M, file: usize, sequence: u64) -> Self {
        Self {
            medium,
            file,
            sequence,
            offset: HEADER_BYTES as u64,
            buffer: Vec::new(),
        }
    }

    /// Reads the checkpoint and applies all later records to it. Returns `None` if the checkpoint
    /// is not complete.
    pub fn replay(mut self) -> io::Result<Option<DurableState>> {
        let Some(mut state) = self.read_checkpoint()? else {
            return Ok(None);
        };
        while let Some(SegmentRecord::Update(record)) = self.next_record()? {
            state.apply_record(&record);
        }
        Ok(Some(state))
    }

    fn read_checkpoint(&mut self) -> io::Result<Option<DurableState>> {
        let Some(SegmentRecord::CheckpointStart {
            id,
            term,
            voted_for,
            commit_index,
            snapshot,
        }) = self.next_record()?
        else {
            return Ok(None);
        };
        let Some(SegmentRecord::CheckpointEntries(entries)) = self.next_record()? else {
            return Ok(None);
        };
        let Some(SegmentRecord::CheckpointEnd) = self.next_record()? else {
            return Ok(None);
        };
        let mut state = DurableState::new(id, snapshot);
        state.apply_record(&Record::Term { term, voted_for });
        state.apply_record(&Record::Append(entries));
        state.apply_record(&Record::Commit(commit_index));
        Ok(Some(state))
    }

    /// Reads the next record. Returns `None` at the first record that is incomplete or whose
    /// checksum does not match, which is the end of the segment.
    fn next_record(&mut self) -> io::Result<Option<SegmentRecord>> {
        if !self.fill_buffer(PREFIX_BYTES)? {
            return Ok(None);
        }
        let prefix = RecordPrefix::decode(&self.buffer);
        let end = PREFIX_BYTES + prefix.length;
        if prefix.length == 0 || !self.fill_buffer(end)? {
            return Ok(None);
        }
        let payload = &self.buffer[PREFIX_BYTES..end];
        if checksum(self.sequence, self.offset, payload) != prefix.checksum {
            return Ok(None);
        }
        let record = SegmentRecord::deserialize_bin(payload).ok();
        self.buffer.drain(..end);
        self.offset += end as u64;
        Ok(record)
    }

    /// Reads from the file until the buffer holds at least `bytes` bytes. Returns `false` if the
    /// file ends earlier.
    fn fill_buffer(&mut self, bytes: usize) -> io::Result<bool> {
        while self.buffer.len() < bytes {
            let filled = self.buffer.len();
            self.buffer.resize(filled + READ_CHUNK_BYTES, 0);
            let offset = self.offset + filled as u64;
            let read = self
                .medium
                .read_at(self.file, offset, &mut self.buffer[filled..]);
            self.buffer.truncate(filled + *read.as_ref().unwrap_or(&0));
            if read? == 0 {
                return Ok(false);
            }
        }
        Ok(true)
    }
}
