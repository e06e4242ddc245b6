//! Reads a segment.

use super::header::HEADER_BYTES;
use super::record::{PREFIX_BYTES, RecordPrefix, SegmentRecord, checksum};
use crate::medium::StorageMedium;
use nanoserde::DeBin;
use std::io;
use woadstall_consensus::{DurableState, Record};

/// Bytes that are read at a time.
const READ_BYTES: usize = 64 << 10;

/// A segment that is being read.
pub(crate) struct SegmentReader<'a, M> {
    medium: &'a M,
    file: usize,
    sequence: u64,
    /// The offset of the next record; the buffer begins there.
    offset: u64,
    buffer: Vec<u8>,
}

impl<'a, M: StorageMedium> SegmentReader<'a, M> {
    /// A reader after the header of a segment.
    pub fn new(medium: &'a M, file: usize, sequence: u64) -> Self {
        Self {
            medium,
            file,
            sequence,
            offset: HEADER_BYTES as u64,
            buffer: Vec::new(),
        }
    }

    /// The state after all records; `None` if the checkpoint is not complete.
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

    /// The next record; `None` at the end, which is the first record that is not complete and
    /// correct.
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

    /// Reads until the buffer has so many bytes; returns whether the file has them.
    fn fill_buffer(&mut self, bytes: usize) -> io::Result<bool> {
        while self.buffer.len() < bytes {
            let filled = self.buffer.len();
            self.buffer.resize(filled + READ_BYTES, 0);
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
