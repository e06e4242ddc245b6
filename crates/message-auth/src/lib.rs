//! Message authentication under a shared key, without I/O. A message is accepted only from a sender
//! that holds the key, and only once.
//!
//! A frame consists of a format byte, the sender's id (8 bytes, drawn when the sender starts), a
//! sequence number (8 bytes), the message, and the first 16 bytes of an HMAC-SHA-256 (RFC 2104)
//! over all preceding bytes. Numbers are in network byte order. Messages are not encrypted.

mod key_ring;
mod replay_window;

pub use key_ring::{KeyFileError, KeyRing};

use hmac::{Hmac, KeyInit, Mac};
use replay_window::ReplayWindows;
use sha2::Sha256;
use thiserror::Error;

/// Format byte of frames. Frames of any other format are rejected.
const FORMAT: u8 = 1;
/// Length of the sender's id and of the sequence number in bytes.
const NUMBER_BYTES: usize = 8;
/// Offset of the sender's id in a frame.
const SENDER_OFFSET: usize = 1;
/// Offset of the sequence number in a frame.
const SEQUENCE_OFFSET: usize = SENDER_OFFSET + NUMBER_BYTES;
/// Offset of the message in a frame.
const HEADER_BYTES: usize = SEQUENCE_OFFSET + NUMBER_BYTES;
/// Length of the authentication code in bytes.
const CODE_BYTES: usize = 16;

/// Number of bytes that a frame adds to its message.
pub const OVERHEAD_BYTES: usize = HEADER_BYTES + CODE_BYTES;

/// The reason why a frame is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VerifyError {
    /// The frame has fewer bytes than [`OVERHEAD_BYTES`].
    #[error("too short for a seal")]
    TooShort,
    /// The frame has another format.
    #[error("a seal of form {0}, not {FORMAT}")]
    UnsupportedFormat(u8),
    /// The frame is not authentic under any key.
    #[error("under none of the keys in force")]
    UnknownKey,
    /// The frame was received before, or is too old for the replay window.
    #[error("had before, or too old")]
    Replayed,
}

/// Signs the messages of one sender and verifies frames of other senders.
pub struct MessageAuthenticator {
    keys: KeyRing,
    /// The id of the sender that signs.
    sender: u64,
    /// The sequence number of the most recently signed frame.
    last_sequence: u64,
    replay_windows: ReplayWindows,
}

impl MessageAuthenticator {
    /// Creates an authenticator for a sender whose id was drawn at its start.
    pub fn new(keys: KeyRing, sender: u64) -> Self {
        Self {
            keys,
            sender,
            last_sequence: 0,
            replay_windows: ReplayWindows::default(),
        }
    }

    /// Replaces the keys. Frames received under the former keys are still rejected as replays.
    pub fn set_keys(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// Wraps a message in a signed frame.
    pub fn sign(&mut self, message: &[u8]) -> Vec<u8> {
        self.last_sequence += 1;
        let mut frame = Vec::with_capacity(message.len() + OVERHEAD_BYTES);
        frame.push(FORMAT);
        frame.extend(self.sender.to_be_bytes());
        frame.extend(self.last_sequence.to_be_bytes());
        frame.extend(message);
        let code = authentication_code(self.keys.signing_key(), &frame).finalize();
        frame.extend(&code.into_bytes()[..CODE_BYTES]);
        frame
    }

    /// Verifies a received frame and returns its message.
    ///
    /// # Errors
    ///
    /// [`VerifyError`] if the frame is malformed, not authentic, or a replay.
    pub fn verify<'a>(&mut self, frame: &'a [u8]) -> Result<&'a [u8], VerifyError> {
        if frame.len() < OVERHEAD_BYTES {
            return Err(VerifyError::TooShort);
        }
        if frame[0] != FORMAT {
            return Err(VerifyError::UnsupportedFormat(frame[0]));
        }
        let (signed, code) = frame.split_at(frame.len() - CODE_BYTES);
        // The code is compared in constant time, and before any signed content is examined.
        let mut keys = self.keys.iter();
        if !keys.any(|key| {
            authentication_code(key, signed)
                .verify_truncated_left(code)
                .is_ok()
        }) {
            return Err(VerifyError::UnknownKey);
        }
        let sender = number_at(signed, SENDER_OFFSET);
        let sequence = number_at(signed, SEQUENCE_OFFSET);
        match self.replay_windows.accept(sender, sequence) {
            true => Ok(&signed[HEADER_BYTES..]),
            false => Err(VerifyError::Replayed),
        }
    }
}

fn number_at(frame: &[u8], offset: usize) -> u64 {
    let bytes = &frame[offset..offset + NUMBER_BYTES];
    let append = |number: u64, byte: &u8| number << 8 | u64::from(*byte);
    bytes.iter().fold(0, append)
}

/// Computes the authentication code of `bytes`, ready for verification or finalization.
fn authentication_code(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    let mut code = Hmac::<Sha256>::new_from_slice(key)
        .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
    code.update(bytes);
    code
}
