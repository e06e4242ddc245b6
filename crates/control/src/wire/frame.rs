//! Frames: a header with the version of the protocol, the compression, the payload's length and a
//! checksum (all little-endian), then the payload.

use nanoserde::{DeBin, DeBinErr, SerBin};
use thiserror::Error;

/// The version of the protocol. Another one is refused.
pub const VERSION: u16 = 3;
/// Bytes of a frame's header: version, compression, length, checksum.
pub const HEADER_BYTES: usize = 12;
/// Bytes of a payload at most, also when decompressed: a snapshot of the configuration and its
/// history.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Bytes from which on a payload is compressed: a configuration shrinks to a tenth, so that it
/// delays the heartbeats behind it on a link between regions for a tenth of the time.
const COMPRESSION_THRESHOLD_BYTES: usize = 1_024;

/// A frame can't be decoded.
#[derive(Debug, Error)]
pub enum WireError {
    /// It is of another version of the protocol.
    #[error("protocol version {0} instead of {VERSION}")]
    Version(u16),
    /// It is longer than any frame may be, in bytes.
    #[error("a frame of {0} bytes, {MAX_FRAME_BYTES} at most")]
    TooLong(usize),
    /// Its length differs from the one in its header.
    #[error("a frame whose length differs from its header")]
    Length,
    /// It was damaged on its way.
    #[error("a frame whose checksum does not match")]
    Checksum,
    /// Its compression is unknown.
    #[error("a frame with unknown compression {0}")]
    Compression(u16),
    /// Its payload can't be decompressed.
    #[error("a payload that can't be decompressed: {0}")]
    Decompress(#[from] lz4_flex::block::DecompressError),
    /// Its payload is not a value of the expected type.
    #[error("a payload that can't be decoded: {0}")]
    Payload(#[from] DeBinErr),
    /// Its payload goes on behind the value.
    #[error("a payload with surplus bytes")]
    SurplusBytes,
}

/// A value as a frame.
pub fn encode_frame(value: &impl SerBin) -> Vec<u8> {
    let (compression, payload) = compress(value.serialize_bin());
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&(compression as u16).to_le_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(compression, &payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

/// The value of a complete frame.
///
/// # Errors
///
/// Where the frame is of another version, truncated, too long, damaged or not of this type.
pub fn decode_frame<T: DeBin>(bytes: &[u8]) -> Result<T, WireError> {
    let (header, payload) = bytes.split_first_chunk().ok_or(WireError::Length)?;
    decode_split_frame(header, payload)
}

/// The length of a frame's payload in bytes, from its header.
///
/// # Errors
///
/// Where the frame is of another version or too long.
pub fn payload_length(header: &[u8; HEADER_BYTES]) -> Result<usize, WireError> {
    let version = u16::from_le_bytes([header[0], header[1]]);
    if version != VERSION {
        return Err(WireError::Version(version));
    }
    let length = u32::from_le_bytes([header[4], header[5], header[6], header[7]]) as usize;
    if length > MAX_FRAME_BYTES {
        Err(WireError::TooLong(length))
    } else {
        Ok(length)
    }
}

/// The value of a frame's header and payload.
///
/// # Errors
///
/// As [`decode_frame`].
pub fn decode_split_frame<T: DeBin>(
    header: &[u8; HEADER_BYTES],
    payload: &[u8],
) -> Result<T, WireError> {
    if payload_length(header)? != payload.len() {
        return Err(WireError::Length);
    }
    let compression = Compression::of(header)?;
    let expected = u32::from_le_bytes([header[8], header[9], header[10], header[11]]);
    if checksum(compression, payload) != expected {
        return Err(WireError::Checksum);
    }
    match compression {
        Compression::None => decode_payload(payload),
        Compression::Lz4 => decode_payload(&decompress(payload)?),
    }
}

/// How a payload is compressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Compression {
    /// Not at all.
    None = 0,
    /// With LZ4 in one block, behind its decompressed size as a `u32`.
    Lz4 = 1,
}

impl Compression {
    fn of(header: &[u8; HEADER_BYTES]) -> Result<Self, WireError> {
        match u16::from_le_bytes([header[2], header[3]]) {
            0 => Ok(Self::None),
            1 => Ok(Self::Lz4),
            other => Err(WireError::Compression(other)),
        }
    }
}

/// Compresses a payload where that is worth it.
fn compress(payload: Vec<u8>) -> (Compression, Vec<u8>) {
    if payload.len() >= COMPRESSION_THRESHOLD_BYTES {
        let compressed = lz4_flex::compress_prepend_size(&payload);
        if compressed.len() < payload.len() {
            return (Compression::Lz4, compressed);
        }
    }
    (Compression::None, payload)
}

/// The decompressed payload. No more memory is allocated than a frame may hold.
fn decompress(payload: &[u8]) -> Result<Vec<u8>, WireError> {
    let (size, _) = lz4_flex::block::uncompressed_size(payload)?;
    if size > MAX_FRAME_BYTES {
        return Err(WireError::TooLong(size));
    }
    Ok(lz4_flex::decompress_size_prepended(payload)?)
}

fn checksum(compression: Compression, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(compression as u16).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn decode_payload<T: DeBin>(bytes: &[u8]) -> Result<T, WireError> {
    let mut offset = 0;
    let value = T::de_bin(&mut offset, bytes)?;
    if offset == bytes.len() {
        Ok(value)
    } else {
        Err(WireError::SurplusBytes)
    }
}
