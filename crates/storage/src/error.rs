//! Errors of the operations of the storage.

use crate::FORMAT_VERSION;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An operation of the medium failed.
#[derive(Debug, Error)]
#[error("{path}: {source}")]
pub struct MediumError {
    /// The file or directory.
    pub path: PathBuf,
    /// The error of the operating system.
    pub source: io::Error,
}

impl MediumError {
    /// Adds the path to an error of the operating system.
    pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self + use<> {
        let path = path.to_owned();
        move |source| Self { path, source }
    }
}

/// Why the storage could not be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// A file can't be created or read.
    #[error(transparent)]
    Medium(#[from] MediumError),
    /// A file has the format of another version of the program. It does not count as empty: its
    /// content was acknowledged.
    #[error(
        "{path}: format {version} instead of {FORMAT_VERSION}; start the program that wrote it, or give the machine an empty disk"
    )]
    UnsupportedVersion {
        /// The file.
        path: PathBuf,
        /// The version of its format.
        version: u32,
    },
}

/// Why the state could not be made durable.
#[derive(Debug, Error)]
pub enum WriteError {
    /// A file can't be written.
    #[error(transparent)]
    Medium(#[from] MediumError),
    /// The state is larger than a segment.
    #[error("the state of {bytes} bytes does not fit a segment of {segment_bytes}")]
    TooLarge {
        /// The bytes of a checkpoint.
        bytes: usize,
        /// The bytes of a segment.
        segment_bytes: u64,
    },
    /// There is no state to which records could be added.
    #[error("the storage was not initialized")]
    Uninitialized,
}
