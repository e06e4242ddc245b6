//! The header of a segment: a magic number, the format version, the sequence number of the segment
//! and a checksum. All fields are in little-endian byte order.

use crate::FORMAT_VERSION;
use crate::medium::StorageMedium;
use std::io;
use std::ops::Range;

/// The magic number at the beginning of each written segment.
const MAGIC: u64 = 0x0102_7741_4453_544c;
/// The size of a header, in bytes.
pub(super) const HEADER_BYTES: usize = 24;

const MAGIC_FIELD: Range<usize> = 0..8;
const VERSION_FIELD: Range<usize> = 8..12;
const SEQUENCE_FIELD: Range<usize> = 12..20;
const CHECKSUM_FIELD: Range<usize> = 20..HEADER_BYTES;

/// The header that was read from a file of the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentHeader {
    /// The file has no complete header, or its checksum does not match.
    Invalid,
    /// The header is intact but has this unsupported version of the format.
    UnsupportedVersion(u32),
    /// The header is valid and names the sequence number of the segment.
    Valid { sequence: u64 },
}

impl SegmentHeader {
    /// Reads the header of a file of the ring.
    pub fn read(medium: &impl StorageMedium, file: usize) -> io::Result<Self> {
        let mut bytes = [0; HEADER_BYTES];
        let read = medium.read_at(file, 0, &mut bytes)?;
        Ok(if read < HEADER_BYTES {
            Self::Invalid
        } else {
            Self::decode(&bytes)
        })
    }

    fn decode(bytes: &[u8; HEADER_BYTES]) -> Self {
        let checksum = crc32fast::hash(&bytes[..CHECKSUM_FIELD.start]);
        if read_u64(bytes, MAGIC_FIELD) != MAGIC || read_u32(bytes, CHECKSUM_FIELD) != checksum {
            return Self::Invalid;
        }
        match read_u32(bytes, VERSION_FIELD) {
            FORMAT_VERSION => Self::Valid {
                sequence: read_u64(bytes, SEQUENCE_FIELD),
            },
            version => Self::UnsupportedVersion(version),
        }
    }

    /// Encodes the header of a segment with this sequence number.
    pub fn encode(sequence: u64) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES);
        bytes.extend_from_slice(&MAGIC.to_le_bytes());
        bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        bytes.extend_from_slice(&sequence.to_le_bytes());
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }
}

fn read_u32(bytes: &[u8], field: Range<usize>) -> u32 {
    u32::from_le_bytes(bytes[field].try_into().unwrap_or_default())
}

fn read_u64(bytes: &[u8], field: Range<usize>) -> u64 {
    u64::from_le_bytes(bytes[field].try_into().unwrap_or_default())
}
