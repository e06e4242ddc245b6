//! The writer of a segment.

use super::header::SegmentHeader;
use super::record::{RecordPrefix, SegmentRecord};
use crate::error::MediumError;
use crate::medium::StorageMedium;
use nanoserde::SerBin;
use std::io;
use woadstall_consensus::{DurableState, Record};

/// A writer that adds records to the end of a segment.
#[derive(Debug)]
pub(crate) struct SegmentWriter {
    /// The number of the file in the ring.
    file: usize,
    sequence: u64,
    /// The offset of the end of the written bytes.
    offset: u64,
}

impl SegmentWriter {
    /// Creates a writer of an empty segment.
    pub fn new(file: usize, sequence: u64) -> Self {
        Self {
            file,
            sequence,
            offset: 0,
        }
    }

    /// Encodes the header and a checkpoint of the state. They are the first bytes of the segment.
    pub fn encode_checkpoint(&self, state: &DurableState) -> Vec<u8> {
        let mut bytes = SegmentHeader::encode(self.sequence);
        let start = SegmentRecord::CheckpointStart {
            id: state.id,
            term: state.term,
            voted_for: state.voted_for,
            commit_index: state.commit_index,
            snapshot: state.log.snapshot().clone(),
        };
        let entries = SegmentRecord::CheckpointEntries(state.log.entries().to_vec());
        for record in [start, entries, SegmentRecord::CheckpointEnd] {
            self.encode(&record, &mut bytes);
        }
        bytes
    }

    /// Encodes records for the current end of the segment.
    pub fn encode_updates(&self, records: &[Record]) -> Vec<u8> {
        let mut bytes = Vec::new();
        for record in records {
            self.encode(&SegmentRecord::Update(record.clone()), &mut bytes);
        }
        bytes
    }

    /// Appends the encoding of a record to `bytes`, which will be written at the current end of the
    /// segment.
    fn encode(&self, record: &SegmentRecord, bytes: &mut Vec<u8>) {
        let payload = record.serialize_bin();
        let offset = self.offset + bytes.len() as u64;
        bytes.extend_from_slice(&RecordPrefix::encode(self.sequence, offset, &payload));
        bytes.extend_from_slice(&payload);
    }

    /// Returns whether `bytes` further bytes fit in a file of `segment_bytes`.
    pub fn fits(&self, bytes: usize, segment_bytes: u64) -> bool {
        self.offset + bytes as u64 <= segment_bytes
    }

    /// Writes bytes at the end of the segment, and waits until they are durable.
    pub fn append(
        &mut self,
        medium: &mut impl StorageMedium,
        bytes: &[u8],
    ) -> Result<(), MediumError> {
        self.write_and_sync(medium, bytes)
            .map_err(MediumError::at(&medium.path(self.file)))
    }

    fn write_and_sync(&mut self, medium: &mut impl StorageMedium, bytes: &[u8]) -> io::Result<()> {
        medium.write_at(self.file, self.offset, bytes)?;
        medium.sync(self.file)?;
        self.offset += bytes.len() as u64;
        Ok(())
    }
}
