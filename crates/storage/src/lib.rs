//! The durable state of a replica in a ring of preallocated files.
//!
//! Each file is a *segment*: a header, a checkpoint of the whole state, then records that were added since. When a
//! segment is full, the next one in the ring begins with a new checkpoint, so the newest segment with a complete
//! checkpoint is all that a restart needs. Checksums include the segment's sequence number and the record's offset:
//! what an earlier use of the file left behind is never taken for a record.
//!
//! After a loss of power each write since the last sync may be there, missing or torn. Reading stops at the first
//! record that does not check; everything before it was written before the last sync or is a correct later write.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod medium;
mod segment;

pub use medium::{Folder, Medium};

use segment::{Header, Item, Reader, Segment, VERSION};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;
use woadstall_consensus::{DurableState, Record};

/// Files in the ring. A checkpoint is written to one while the last complete one is in another; the third lets a write
/// that failed be repeated elsewhere.
pub const SEGMENTS: usize = 3;
/// Bytes of a file. The largest checkpoint holds a configuration of 6 MB and what is remembered of orders, 4 MB of entries that
/// are about to be compacted, 4 MB that wait to be committed, and one order of 6 MB more.
pub const SEGMENT_BYTES: u64 = 24 << 20;

/// Why the state could not be read or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The disk refused an operation.
    #[error("{path}: {source}")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The state is larger than a segment.
    #[error("the state of {bytes} bytes does not fit a segment of {SEGMENT_BYTES}")]
    TooLarge {
        /// The bytes of a checkpoint.
        bytes: usize,
    },
    /// A file was written by another version of the program. It is not taken for an empty one: what it holds was acknowledged.
    #[error(
        "{path}: format {version} instead of {VERSION}; start the program that wrote it, or give the machine an empty disk"
    )]
    Version {
        /// The file.
        path: PathBuf,
        /// The version of its format.
        version: u32,
    },
    /// No state is there yet.
    #[error("the storage was not initialized")]
    Uninitialized,
}

impl StorageError {
    pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self + use<> {
        let path = path.to_owned();
        move |source| Self::Io { path, source }
    }
}

/// The open ring.
#[derive(Debug)]
pub struct Storage<M = Folder> {
    medium: M,
    state: Option<DurableState>,
    current: Option<Segment>,
    last_sequence: u64,
}

impl Storage<Folder> {
    /// Opens or creates the files in a folder and reads what is there.
    pub fn open(folder: &Path) -> Result<Self, StorageError> {
        Self::read(Folder::open(folder)?)
    }
}

impl<M: Medium> Storage<M> {
    /// Reads what a medium holds.
    pub fn read(medium: M) -> Result<Self, StorageError> {
        let mut newest = None;
        for file in 0..SEGMENTS {
            let at = || StorageError::at(&medium.name(file));
            let sequence = match Reader::header(&medium, file).map_err(at())? {
                Header::Unsound => continue,
                Header::Version(version) => {
                    return Err(StorageError::Version {
                        path: medium.name(file),
                        version,
                    });
                }
                Header::Segment(sequence) => sequence,
            };
            let Some(state) = Reader::new(&medium, file, sequence)
                .replay()
                .map_err(at())?
            else {
                continue;
            };
            if newest.as_ref().is_none_or(|(best, _)| sequence > *best) {
                newest = Some((sequence, state));
            }
        }
        // An incomplete segment behind the newest complete one is written again under its number: to go on to the one after it
        // could in the end reach the file of the only complete checkpoint.
        let last_sequence = newest.as_ref().map_or(0, |(sequence, _)| *sequence);
        let state = newest.map(|(_, state)| state);
        Ok(Self {
            medium,
            state,
            current: None,
            last_sequence,
        })
    }

    /// The state as of the last write; `None` where the disk is empty.
    pub fn state(&self) -> Option<&DurableState> {
        self.state.as_ref()
    }

    /// The medium.
    pub fn medium(&mut self) -> &mut M {
        &mut self.medium
    }

    /// Begins with a new state, durably.
    pub fn initialize(&mut self, state: DurableState) -> Result<(), StorageError> {
        self.state = Some(state);
        self.checkpoint()
    }

    /// Makes records durable, all with one sync. After an error nothing of them may be relied on, and the next call writes
    /// them again together with its own.
    pub fn write(&mut self, records: &[Record]) -> Result<(), StorageError> {
        let state = self.state.as_mut().ok_or(StorageError::Uninitialized)?;
        records.iter().for_each(|record| state.apply_record(record));
        let Some(mut segment) = self.current.take() else {
            return self.checkpoint();
        };
        let mut bytes = Vec::new();
        for record in records {
            segment.encode(&Item::Record(record.clone()), &mut bytes);
        }
        if !segment.has_room(bytes.len(), SEGMENT_BYTES) {
            return self.checkpoint();
        }
        let at = StorageError::at(&self.medium.name(segment.file));
        segment.write(&mut self.medium, &bytes).map_err(at)?;
        self.current = Some(segment);
        Ok(())
    }

    fn checkpoint(&mut self) -> Result<(), StorageError> {
        let state = self.state.as_ref().ok_or(StorageError::Uninitialized)?;
        let sequence = self.last_sequence + 1;
        let file = (sequence % SEGMENTS as u64) as usize;
        let mut segment = Segment::new(file, sequence);
        let bytes = segment.encode_checkpoint(state);
        if bytes.len() as u64 > SEGMENT_BYTES {
            return Err(StorageError::TooLarge { bytes: bytes.len() });
        }
        let at = StorageError::at(&self.medium.name(file));
        segment.write(&mut self.medium, &bytes).map_err(at)?;
        self.last_sequence = sequence;
        self.current = Some(segment);
        Ok(())
    }
}
