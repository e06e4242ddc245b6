//! The durable state of a replica, in a ring of preallocated files.
//!
//! Each file holds one *segment*: a header, a checkpoint of the complete state, and the records
//! that were added after the checkpoint. When a segment is full, the next segment in the ring
//! begins with a new checkpoint. A restart therefore needs only the newest segment with a complete
//! checkpoint. The checksum of a record covers the sequence number of the segment and the offset of
//! the record, so that bytes from an earlier segment in the same file are never read as a record.
//!
//! After a power loss, each write since the last sync may be complete, missing or torn. Reading
//! stops at the first record whose checksum does not match. Each record before that point either
//! was synced or is a complete later write.

mod error;
mod medium;
mod segment;
mod storage;

pub use error::{MediumError, OpenError, WriteError};
pub use medium::{DirectoryMedium, StorageMedium};
pub use storage::Storage;

/// The version of the file format. Files with another version are not read.
const FORMAT_VERSION: u32 = 2;

/// The number of files in the ring. One file receives a new checkpoint while another file holds the
/// newest complete checkpoint. The third file allows a failed write to be repeated in another file.
pub const SEGMENT_COUNT: usize = 3;

/// The default size of a file in the ring, in bytes. The largest checkpoint consists of a
/// configuration of 6 MB with the outcomes of past commands, 4 MB of entries that are about to be
/// compacted, 4 MB of uncommitted entries, and one further command of 6 MB.
pub const SEGMENT_BYTES: u64 = 24 << 20;
