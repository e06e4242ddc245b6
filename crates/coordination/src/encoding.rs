//! The versioned binary format of stored and replicated values. A value starts with the format
//! version and the CRC-32 of the payload, both little-endian. The payload in `nanoserde` binary
//! follows. `nanoserde` trusts the lengths in its input, so the checksum is verified before the
//! payload is decoded.

use nanoserde::{DeBin, DeBinErr, SerBin};
use thiserror::Error;

/// The format version. Other versions are rejected.
const FORMAT_VERSION: u16 = 1;
/// The size of the version and the checksum before the payload, in bytes.
const HEADER_BYTES: usize = 6;

/// An error while decoding a stored or replicated value.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The input is shorter than the header. The value is the length of the input in bytes.
    #[error("input truncated: got {0} bytes, the header has {HEADER_BYTES}")]
    Truncated(usize),
    /// The input has this unsupported format version.
    #[error("unsupported format version {0}, expected {FORMAT_VERSION}")]
    Version(u16),
    /// The payload does not match its checksum.
    #[error("checksum mismatch")]
    Checksum,
    /// The payload is not a value of the expected type.
    #[error("failed to decode the payload: {0}")]
    Payload(#[from] DeBinErr),
}

/// Encodes a value with header and checksum.
pub(crate) fn encode(value: &impl SerBin) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_BYTES];
    value.ser_bin(&mut bytes);
    let checksum = crc32fast::hash(&bytes[HEADER_BYTES..]);
    bytes[..2].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes[2..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Verifies the header and the checksum, then decodes the payload.
pub(crate) fn decode<T: DeBin>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (header, payload) = bytes
        .split_first_chunk::<HEADER_BYTES>()
        .ok_or(DecodeError::Truncated(bytes.len()))?;
    let [v0, v1, checksum @ ..] = *header;
    let version = u16::from_le_bytes([v0, v1]);
    if version != FORMAT_VERSION {
        return Err(DecodeError::Version(version));
    }
    if crc32fast::hash(payload) != u32::from_le_bytes(checksum) {
        return Err(DecodeError::Checksum);
    }
    Ok(T::deserialize_bin(payload)?)
}
