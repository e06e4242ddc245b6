//! The durable state of a replica, in a ring of preallocated files.
//!
//! Each file is a *segment*: a header, a checkpoint of the complete state, then the records that were
//! added since. When a segment is full, the next one in the ring begins with a new checkpoint, so a
//! restart needs only the newest segment with a complete checkpoint. Checksums cover the segment's
//! sequence number and the record's offset, so that what an earlier use of the file has left is
//! never taken for a record.
//!
//! After a power loss each write since the last sync may be there, missing or torn. Reading stops
//! at the first record whose checksum does not match; everything before it was written before the
//! last sync or is a complete later write.

mod error;
mod medium;
mod segment;
mod storage;

pub use error::{MediumError, OpenError, WriteError};
pub use medium::{DirectoryMedium, StorageMedium};
pub use storage::Storage;

/// The version of the format. Other versions are not read.
const FORMAT_VERSION: u32 = 2;

/// Files in the ring. A checkpoint is written to one while the last complete one is in another; the
/// third allows a failed write to be repeated elsewhere.
pub const SEGMENT_COUNT: usize = 3;

/// Bytes of a file by default. The largest checkpoint has a configuration of 6 MB with the outcomes of
/// past commands, 4 MB of entries that are about to be compacted, 4 MB of uncommitted ones, and one
/// more command of 6 MB.
pub const SEGMENT_BYTES: u64 = 24 << 20;
