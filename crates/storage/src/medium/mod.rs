//! The medium that stores the ring: the files of a directory, or a simulation in a test.

mod directory;

pub use directory::DirectoryMedium;

use crate::SEGMENT_BYTES;
use std::io;
use std::path::PathBuf;

/// The [`SEGMENT_COUNT`](crate::SEGMENT_COUNT) files of a ring. Each file has a fixed size and is
/// identified by its number in the ring, from 0 on.
pub trait StorageMedium {
    /// Reads from a file at an offset in bytes. Returns the number of bytes read, which is smaller
    /// than the size of the buffer only at the end of the file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the read fails.
    fn read_at(&self, file: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes all of `bytes` to a file at an offset in bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the write fails. Any part of `bytes` may have
    /// been written.
    fn write_at(&mut self, file: usize, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Waits until all completed writes to a file are durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the sync fails. Any part of the written bytes
    /// may be durable.
    fn sync(&mut self, file: usize) -> io::Result<()>;

    /// Returns the size of each file, in bytes.
    fn segment_bytes(&self) -> u64 {
        SEGMENT_BYTES
    }

    /// Returns the path of a file for error messages.
    fn path(&self, file: usize) -> PathBuf;
}
