//! The ring of segments: the search for the newest segment at the start, and the switch to the next
//! segment when the current segment is full.

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
    /// The segment to which records are added; `None` if the next write begins a new segment.
    current: Option<SegmentWriter>,
    /// The sequence number of the newest segment with a complete checkpoint; 0 if no segment has a
    /// complete checkpoint.
    last_sequence: u64,
}

/// The state that was read from a segment with a complete checkpoint.
struct LoadedSegment {
    sequence: u64,
    state: DurableState,
}

impl Storage<DirectoryMedium> {
    /// Opens or creates the files in a directory, each of [`SEGMENT_BYTES`], and reads the state.
    ///
    /// # Errors
    ///
    /// Returns [`OpenError`] if a file can't be created, read or synced, or if a file has the
    /// format of another version.
    pub fn open(directory: &Path) -> Result<Self, OpenError> {
        Self::open_sized(directory, SEGMENT_BYTES)
    }

    /// Opens or creates the files in a directory, each of `segment_bytes`, and reads the state.
    ///
    /// # Errors
    ///
    /// Returns [`OpenError`] under the same conditions as [`open`](Self::open).
    pub fn open_sized(directory: &Path, segment_bytes: u64) -> Result<Self, OpenError> {
        Self::load(DirectoryMedium::open(directory, segment_bytes)?)
    }
}

impl<M: StorageMedium> Storage<M> {
    /// Reads the state from a medium.
    ///
    /// # Errors
    ///
    /// Returns [`OpenError`] if a file can't be read or synced, or if a file has the format of
    /// another version.
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
        // A segment with an incomplete checkpoint does not advance the sequence number, so the next
        // checkpoint overwrites that segment. If each attempt used a new number, the attempts could
        // in the end overwrite the file with the only complete checkpoint.
        let last_sequence = newest.as_ref().map_or(0, |segment| segment.sequence);
        if newest.is_some() {
            // A previous process may have stopped between a write and its sync. The state that was
            // just read must be durable before it is used.
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

    /// Returns the state as of the last write; `None` if the medium was never initialized.
    pub fn state(&self) -> Option<&DurableState> {
        self.state.as_ref()
    }

    /// Returns the medium, on which tests inject faults.
    pub fn medium(&mut self) -> &mut M {
        &mut self.medium
    }

    /// Makes the initial state of a new replica durable.
    ///
    /// # Errors
    ///
    /// Returns [`WriteError`] if the state does not fit in a segment or can't be written.
    pub fn initialize(&mut self, state: DurableState) -> Result<(), WriteError> {
        self.state = Some(state);
        self.write_checkpoint()
    }

    /// Applies records to the state and makes all of them durable with one sync.
    ///
    /// # Errors
    ///
    /// Returns [`WriteError`] if the storage was not initialized, if the state does not fit in a
    /// segment, or if a file can't be written. After an error, none of the records counts as
    /// durable. The next successful call writes the records of the failed call together with its
    /// own records.
    pub fn write(&mut self, records: &[Record]) -> Result<(), WriteError> {
        let state = self.state.as_mut().ok_or(WriteError::Uninitialized)?;
        records.iter().for_each(|record| state.apply_record(record));
        // After an error, `current` stays `None`, because the end of the segment is unknown. The
        // next write then begins a new segment.
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

/// Returns the number of the file that holds the segment with this sequence number.
fn file_of(sequence: u64) -> usize {
    (sequence % SEGMENT_COUNT as u64) as usize
}

/// Reads the segment in a file. Returns `None` if the file has no complete checkpoint.
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
