//! Frame encoding. A frame has a header (protocol version, compression, payload length and
//! checksum, all little-endian), followed by the payload.

use nanoserde::{DeBin, DeBinErr, SerBin};
use thiserror::Error;

/// The protocol version. Frames of any other version are rejected.
pub const VERSION: u16 = 3;
/// The size in bytes of a frame's header: version, compression, length and checksum.
pub const HEADER_BYTES: usize = 12;
/// The maximum size of a payload in bytes, before and after decompression. It fits a snapshot of
/// the configuration and its history.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// The minimum size in bytes of a compressed payload. Compression shrinks a configuration to a
/// tenth, and thereby the delay of the heartbeats queued behind it on a link between regions.
const COMPRESSION_THRESHOLD_BYTES: usize = 1_024;

/// An error in decoding a frame.
#[derive(Debug, Error)]
pub enum WireError {
    /// The frame has another protocol version.
    #[error("protocol version {0} is not supported, expected {VERSION}")]
    Version(u16),
    /// The payload or its decompressed size, in bytes, exceeds the maximum.
    #[error("payload of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLong(usize),
    /// The payload length differs from the length in the header, or the header is truncated.
    #[error("frame length does not match its header")]
    Length,
    /// The frame was damaged in transit.
    #[error("frame checksum does not match")]
    Checksum,
    /// The compression code is unknown.
    #[error("unknown frame compression code {0}")]
    Compression(u16),
    /// The payload can't be decompressed.
    #[error("failed to decompress the payload: {0}")]
    Decompress(#[from] lz4_flex::block::DecompressError),
    /// The payload is not a value of the expected type.
    #[error("failed to decode the payload: {0}")]
    Payload(#[from] DeBinErr),
    /// The payload has additional bytes after the value.
    #[error("payload has trailing bytes after its value")]
    SurplusBytes,
}

/// Encodes a value as a frame.
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

/// Decodes the value of a complete frame.
///
/// # Errors
///
/// Returns an error if the frame has another version, is truncated, too long or damaged, or does
/// not hold a value of this type.
pub fn decode_frame<T: DeBin>(bytes: &[u8]) -> Result<T, WireError> {
    let (header, payload) = bytes.split_first_chunk().ok_or(WireError::Length)?;
    decode_split_frame(header, payload)
}

/// Returns the length of a frame's payload in bytes, as given in its header.
///
/// # Errors
///
/// Returns an error if the frame has another version or is too long.
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

/// Decodes the value of a frame that is given as header and payload.
///
/// # Errors
///
/// Returns the same errors as [`decode_frame`].
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

/// The compression of a payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Compression {
    /// No compression.
    None = 0,
    /// A single LZ4 block, preceded by its decompressed size as a `u32`.
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

/// Compresses a payload of at least the threshold size, unless the result is no smaller.
fn compress(payload: Vec<u8>) -> (Compression, Vec<u8>) {
    if payload.len() >= COMPRESSION_THRESHOLD_BYTES {
        let compressed = lz4_flex::compress_prepend_size(&payload);
        if compressed.len() < payload.len() {
            return (Compression::Lz4, compressed);
        }
    }
    (Compression::None, payload)
}

/// Decompresses a payload. The claimed size is checked first, so that no more memory is allocated
/// than the maximum frame size.
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
