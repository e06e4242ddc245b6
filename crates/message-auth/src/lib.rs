//! Message authentication under a shared key, without input or output: a message is accepted only
//! from a sender that has the key, and only once.
//!
//! A frame is a format byte, the sender's id (8 bytes, drawn when it starts), a sequence number (8
//! bytes), the message, and the first 16 bytes of an HMAC-SHA-256 (RFC 2104) over all of that, with
//! numbers in network order. Messages are not encrypted.

mod key_ring;
mod replay_window;

pub use key_ring::{KeyFileError, KeyRing};

use hmac::{Hmac, KeyInit, Mac};
use replay_window::ReplayWindows;
use sha2::Sha256;
use thiserror::Error;

/// The format of frames. Frames of any other are rejected.
const FORMAT: u8 = 1;
/// Bytes of the sender's id and of the sequence number.
const NUMBER_BYTES: usize = 8;
/// Where the sender's id begins in a frame.
const SENDER_OFFSET: usize = 1;
/// Where the sequence number begins in a frame.
const SEQUENCE_OFFSET: usize = SENDER_OFFSET + NUMBER_BYTES;
/// Where the message begins in a frame.
const HEADER_BYTES: usize = SEQUENCE_OFFSET + NUMBER_BYTES;
/// Bytes of the authentication code.
const CODE_BYTES: usize = 16;

/// Bytes that a frame adds to its message.
pub const OVERHEAD_BYTES: usize = HEADER_BYTES + CODE_BYTES;

/// Why a frame is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VerifyError {
    /// It has fewer bytes than [`OVERHEAD_BYTES`].
    #[error("too short for a seal")]
    TooShort,
    /// It is in another format.
    #[error("a seal of form {0}, not {FORMAT}")]
    UnsupportedFormat(u8),
    /// It is authentic under none of the keys.
    #[error("under none of the keys in force")]
    UnknownKey,
    /// It was received before, or is so old that it may have been.
    #[error("had before, or too old")]
    Replayed,
}

/// Signs the messages of one sender and verifies those of others.
pub struct MessageAuthenticator {
    keys: KeyRing,
    sender: u64,
    last_sequence: u64,
    windows: ReplayWindows,
}

impl MessageAuthenticator {
    /// For a sender with an id that was drawn when it started.
    pub fn new(keys: KeyRing, sender: u64) -> Self {
        Self {
            keys,
            sender,
            last_sequence: 0,
            windows: ReplayWindows::default(),
        }
    }

    /// Replaces the keys. What was received under the former ones is still not accepted again.
    pub fn set_keys(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// The frame of a message to be sent.
    pub fn sign(&mut self, message: &[u8]) -> Vec<u8> {
        self.last_sequence += 1;
        let mut frame = Vec::with_capacity(message.len() + OVERHEAD_BYTES);
        frame.push(FORMAT);
        frame.extend(self.sender.to_be_bytes());
        frame.extend(self.last_sequence.to_be_bytes());
        frame.extend(message);
        let code = code_of(self.keys.signing_key(), &frame).finalize();
        frame.extend(&code.into_bytes()[..CODE_BYTES]);
        frame
    }

    /// The message of a frame that was received.
    ///
    /// # Errors
    ///
    /// [`VerifyError`] where the frame is no frame, not authentic, or not received for the first
    /// time.
    pub fn verify<'a>(&mut self, frame: &'a [u8]) -> Result<&'a [u8], VerifyError> {
        if frame.len() < OVERHEAD_BYTES {
            return Err(VerifyError::TooShort);
        }
        if frame[0] != FORMAT {
            return Err(VerifyError::UnsupportedFormat(frame[0]));
        }
        let (signed, code) = frame.split_at(frame.len() - CODE_BYTES);
        // In constant time, and before anything within is looked at.
        let mut keys = self.keys.iter();
        if !keys.any(|key| code_of(key, signed).verify_truncated_left(code).is_ok()) {
            return Err(VerifyError::UnknownKey);
        }
        let sender = number_at(signed, SENDER_OFFSET);
        let sequence = number_at(signed, SEQUENCE_OFFSET);
        match self.windows.accept(sender, sequence) {
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

/// The authentication code of bytes, to be compared or finished.
fn code_of(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    let mut code = Hmac::<Sha256>::new_from_slice(key)
        .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
    code.update(bytes);
    code
}
