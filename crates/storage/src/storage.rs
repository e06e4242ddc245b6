//! The ring of segments: which one is the newest, and which one is written next.

use crate::error::{MediumError, OpenError, WriteError};
use crate::medium::{DirectoryMedium, StorageMedium};
use crate::segment::{SegmentHeader, SegmentReader, SegmentWriter};
use crate::{SEGMENT_BYTES, SEGMENT_COUNT};
use std::path::Path;
use woadstall_consensus::{DurableState, Record};

/// The durable state of a replica on a medium.
#[derive(Debug)]
pub struct Storage<M = DirectoryMedium> {
    medium: M,
    state: Option<DurableState>,
    /// The segment that records are added to; `None` if the next write begins a segment.
    current: Option<SegmentWriter>,
    /// The sequence number of the newest segment with a complete checkpoint; 0 if there is none.
    last_sequence: u64,
}

/// The state of a segment with a complete checkpoint.
struct LoadedSegment {
    sequence: u64,
    state: DurableState,
}

impl Storage<DirectoryMedium> {
    /// Opens or creates the files in a directory and reads the state.
    ///
    /// # Errors
    ///
    /// [`OpenError`] if a file can't be created or read, or has the format of another version.
    pub fn open(directory: &Path) -> Result<Self, OpenError> {
        Self::open_sized(directory, SEGMENT_BYTES)
    }

    /// The same with files of so many bytes.
    ///
    /// # Errors
    ///
    /// As [`open`](Self::open).
    pub fn open_sized(directory: &Path, segment_bytes: u64) -> Result<Self, OpenError> {
        Self::load(DirectoryMedium::open(directory, segment_bytes)?)
    }
}

impl<M: StorageMedium> Storage<M> {
    /// Reads the state from a medium.
    ///
    /// # Errors
    ///
    /// [`OpenError`] if a file can't be read or has the format of another version.
    pub fn load(mut medium: M) -> Result<Self, OpenError> {
        let mut newest: Option<LoadedSegment> = None;
        for file in 0..SEGMENT_COUNT {
            let Some(segment) = load_segment(&medium, file)? else {
                continue;
            };
            if newest
                .as_ref()
                .is_none_or(|newest| segment.sequence > newest.sequence)
            {
                newest = Some(segment);
            }
        }
        // An incomplete segment after the newest complete one is written again under its number:
        // going on to the one after it could in the end reach the file of the only complete
        // checkpoint.
        let last_sequence = newest.as_ref().map_or(0, |segment| segment.sequence);
        if newest.is_some() {
            // A former process may have ended between a write and its sync.
            let file = file_of(last_sequence);
            let path = medium.path(file);
            medium.sync(file).map_err(MediumError::at(&path))?;
        }
        let state = newest.map(|segment| segment.state);
        Ok(Self {
            medium,
            state,
            current: None,
            last_sequence,
        })
    }

    /// The state as of the last write; `None` if the medium was never initialized.
    pub fn state(&self) -> Option<&DurableState> {
        self.state.as_ref()
    }

    /// The medium.
    pub fn medium(&mut self) -> &mut M {
        &mut self.medium
    }

    /// Makes a first state durable.
    ///
    /// # Errors
    ///
    /// [`WriteError`] if the state does not fit a segment or can't be written.
    pub fn initialize(&mut self, state: DurableState) -> Result<(), WriteError> {
        self.state = Some(state);
        self.write_checkpoint()
    }

    /// Makes records durable, all with one sync.
    ///
    /// # Errors
    ///
    /// [`WriteError`] if the storage was not initialized, the state does not fit a segment, or a
    /// file can't be written. After an error none of the records may be relied on; the next call
    /// writes them again together with its own.
    pub fn write(&mut self, records: &[Record]) -> Result<(), WriteError> {
        let state = self.state.as_mut().ok_or(WriteError::Uninitialized)?;
        records.iter().for_each(|record| state.apply_record(record));
        // After an error the segment is not restored: its end is unknown.
        let Some(mut segment) = self.current.take() else {
            return self.write_checkpoint();
        };
        let bytes = segment.encode_updates(records);
        if !segment.fits(bytes.len(), self.medium.segment_bytes()) {
            return self.write_checkpoint();
        }
        segment.append(&mut self.medium, &bytes)?;
        self.current = Some(segment);
        Ok(())
    }

    /// Begins the next segment with a checkpoint.
    fn write_checkpoint(&mut self) -> Result<(), WriteError> {
        let state = self.state.as_ref().ok_or(WriteError::Uninitialized)?;
        let sequence = self.last_sequence + 1;
        let file = file_of(sequence);
        let mut segment = SegmentWriter::new(file, sequence);
        let bytes = segment.encode_checkpoint(state);
        let segment_bytes = self.medium.segment_bytes();
        if bytes.len() as u64 > segment_bytes {
            return Err(WriteError::TooLarge {
                bytes: bytes.len(),
                segment_bytes,
            });
        }
        segment.append(&mut self.medium, &bytes)?;
        self.last_sequence = sequence;
        self.current = Some(segment);
        Ok(())
    }
}

/// The file of the ring in which a segment is.
fn file_of(sequence: u64) -> usize {
    (sequence % SEGMENT_COUNT as u64) as usize
}

/// Reads a file; `None` if it has no complete checkpoint.
fn load_segment(
    medium: &impl StorageMedium,
    file: usize,
) -> Result<Option<LoadedSegment>, OpenError> {
    let path = medium.path(file);
    let sequence = match SegmentHeader::read(medium, file).map_err(MediumError::at(&path))? {
        SegmentHeader::Invalid => return Ok(None),
        SegmentHeader::UnsupportedVersion(version) => {
            return Err(OpenError::UnsupportedVersion { path, version });
        }
        SegmentHeader::Valid { sequence } => sequence,
    };
    let reader = SegmentReader::new(medium, file, sequence);
    let state = reader.replay().map_err(MediumError::at(&path))?;
    Ok(state.map(|state| LoadedSegment { sequence, state }))
}
