//! The medium that the ring is written to: the files of a directory, or a simulation of them.

mod directory;

pub use directory::DirectoryMedium;

use crate::SEGMENT_BYTES;
use std::io;
use std::path::PathBuf;

/// A few files of fixed size, which are named by their number in the ring.
pub trait StorageMedium {
    /// Reads at an offset in bytes. Returns the number of bytes read, which is smaller than the
    /// buffer only at the end of the file.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn read_at(&self, file: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes at an offset in bytes.
    ///
    /// # Errors
    ///
    /// The error of the operating system. Any part of the bytes may have been written.
    fn write_at(&mut self, file: usize, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Waits until all that was written to a file is durable.
    ///
    /// # Errors
    ///
    /// The error of the operating system. Any part of what was written may be durable.
    fn sync(&mut self, file: usize) -> io::Result<()>;

    /// Bytes of a file.
    fn segment_bytes(&self) -> u64 {
        SEGMENT_BYTES
    }

    /// The path of a file, for errors.
    fn path(&self, file: usize) -> PathBuf;
}
