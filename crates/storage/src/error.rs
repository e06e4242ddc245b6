//! Errors of the storage.

use crate::FORMAT_VERSION;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The failure of an I/O operation on a file or directory of the medium.
#[derive(Debug, Error)]
#[error("{path}: {source}")]
pub struct MediumError {
    /// The path of the file or directory.
    pub path: PathBuf,
    /// The error that the operating system reported.
    pub source: io::Error,
}

impl MediumError {
    /// Returns a function that adds a path to an error of the operating system.
    pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self + use<> {
        let path = path.to_owned();
        move |source| Self { path, source }
    }
}

/// The reason why the storage could not be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// A file could not be created, read or synced.
    #[error(transparent)]
    Medium(#[from] MediumError),
    /// A file has the format of another version of the program. The storage does not treat such a
    /// file as empty, because the replica has acknowledged its content.
    #[error(
        "{path}: unsupported format version {version}, expected {FORMAT_VERSION}; start the version of the program that wrote the file, or start with an empty disk"
    )]
    UnsupportedVersion {
        /// The path of the file.
        path: PathBuf,
        /// The format version in the header of the file.
        version: u32,
    },
}

/// The reason why the state could not be made durable.
#[derive(Debug, Error)]
pub enum WriteError {
    /// A file could not be written or synced.
    #[error(transparent)]
    Medium(#[from] MediumError),
    /// A checkpoint of the state does not fit in a segment.
    #[error("the checkpoint of {bytes} bytes does not fit in a segment of {segment_bytes} bytes")]
    TooLarge {
        /// The size of the checkpoint, in bytes.
        bytes: usize,
        /// The size of a segment, in bytes.
        segment_bytes: u64,
    },
    /// The storage has no state to which records could be added, because
    /// [`Storage::initialize`](crate::Storage::initialize) was never called.
    #[error("the storage was not initialized")]
    Uninitialized,
}
