//! Versioned bytes of what is stored and replicated: the version and the CRC-32 of the payload
//! (little-endian), then the payload in `nanoserde` binary. `nanoserde` trusts the lengths in its
//! input, so nothing is decoded before its checksum matches.

use nanoserde::{DeBin, DeBinErr, SerBin};
use thiserror::Error;

/// The version of the encoding. Others are not read.
const FORMAT_VERSION: u16 = 1;
/// Bytes before the payload: version and checksum.
const HEADER_BYTES: usize = 6;

/// Bytes can't be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The header is incomplete.
    #[error("{0} bytes instead of {HEADER_BYTES} or more")]
    Truncated(usize),
    /// The encoding has another version.
    #[error("format {0} instead of {FORMAT_VERSION}")]
    Version(u16),
    /// The bytes are damaged.
    #[error("the checksum does not match")]
    Checksum,
    /// The payload is not a value of the expected type.
    #[error("the payload can't be decoded: {0}")]
    Payload(#[from] DeBinErr),
}

/// A value as bytes.
pub(crate) fn encode(value: &impl SerBin) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_BYTES];
    value.ser_bin(&mut bytes);
    let checksum = crc32fast::hash(&bytes[HEADER_BYTES..]);
    bytes[..2].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes[2..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// The value of bytes.
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
