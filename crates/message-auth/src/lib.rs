//! Messages under a shared key: nobody without it is believed, and nothing is believed twice. No input or output: it
//! is handed bytes and gives bytes.
//!
//! A seal is a form byte, the sender's life (8 bytes, drawn at its start), a number that goes up (8), the message, and
//! the first 16 bytes of an HMAC-SHA-256 over all of that. It hides nothing.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod keys;
mod window;

pub use keys::{KeyError, Keys};

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;
use window::Windows;

/// The form of seals.
const FORM: u8 = 1;
const HEAD: usize = 1 + 8 + 8;
const MAC: usize = 16;
/// Bytes that a seal adds to a message.
pub const ADDS: usize = HEAD + MAC;

/// Why bytes are not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealError {
    /// Too short for a seal.
    Short,
    /// A seal of another form.
    Form(u8),
    /// Under none of the keys in force.
    Key,
    /// Had before, or so old that it may have been.
    Again,
}

impl fmt::Display for SealError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Short => f.write_str("too short for a seal"),
            Self::Form(form) => write!(f, "a seal of form {form}, not {FORM}"),
            Self::Key => f.write_str("under none of the keys in force"),
            Self::Again => f.write_str("had before, or too old"),
        }
    }
}

impl std::error::Error for SealError {}

/// Seals what one life of a member sends, and opens what others do.
pub struct Seals {
    keys: Keys,
    life: u64,
    number: u64,
    windows: Windows,
}

impl Seals {
    /// For a life that was drawn at its start.
    pub fn new(keys: Keys, life: u64) -> Self {
        Self {
            keys,
            life,
            number: 0,
            windows: Windows::default(),
        }
    }

    /// Other keys from now on; what was had under the former ones is not believed again.
    pub fn rotate(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// A message to be sent.
    pub fn seal(&mut self, message: &[u8]) -> Vec<u8> {
        self.number += 1;
        let mut bytes = Vec::with_capacity(message.len() + ADDS);
        bytes.push(FORM);
        bytes.extend(self.life.to_be_bytes());
        bytes.extend(self.number.to_be_bytes());
        bytes.extend(message);
        let mac = mac(self.keys.first(), &bytes).finalize().into_bytes();
        bytes.extend(&mac[..MAC]);
        bytes
    }

    /// The message within, if it is to be believed.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], SealError> {
        if bytes.len() < ADDS {
            return Err(SealError::Short);
        }
        if bytes[0] != FORM {
            return Err(SealError::Form(bytes[0]));
        }
        let (sealed, seal) = bytes.split_at(bytes.len() - MAC);
        // Compared in a time that does not tell where they differ; before anything within is looked at.
        let sound = self
            .keys
            .all()
            .any(|key| mac(key, sealed).verify_truncated_left(seal).is_ok());
        if !sound {
            return Err(SealError::Key);
        }
        let number = |from: usize| {
            sealed[from..from + 8]
                .iter()
                .fold(0_u64, |number, byte| number << 8 | u64::from(*byte))
        };
        let (life, count) = (number(1), number(9));
        match self.windows.is_new(life, count) {
            true => Ok(&sealed[HEAD..]),
            false => Err(SealError::Again),
        }
    }
}

fn mac(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    // HMAC takes keys of any length.
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| unreachable!("any length will do"));
    mac.update(bytes);
    mac
}
