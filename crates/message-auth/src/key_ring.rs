//! Keys shared by a fleet: one key that signs, and further keys that are accepted during a key
//! rotation.

use std::fmt;
use thiserror::Error;

/// Minimum length of a key in bytes.
const MIN_KEY_BYTES: usize = 16;
/// Maximum number of keys: the signing key, its predecessor and its successor.
const MAX_KEYS: usize = 3;
/// Character that begins a comment in a key file.
const COMMENT_MARKER: char = '#';

/// Accepted keys, of which the first one signs.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyRing(Vec<Vec<u8>>);

/// An invalid key file. The message names the line and reveals no part of a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyFileError {
    /// The file contains no key.
    #[error("key file: no key in it")]
    Empty,
    /// A line is invalid.
    #[error("key file, line {number}: {error}")]
    Line {
        /// Number of the line, counted from 1.
        number: usize,
        /// The error in the line.
        error: KeyLineError,
    },
}

/// An error in a line of a key file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyLineError {
    /// The line is not made up of pairs of hexadecimal digits.
    #[error("not pairs of hexadecimal digits")]
    NotHexadecimal,
    /// The key is shorter than the minimum length.
    #[error("a key of {0} bytes, fewer than {MIN_KEY_BYTES}")]
    TooShort(usize),
    /// The file contains the key twice.
    #[error("a key that stands there twice")]
    Duplicate,
    /// The file contains more than the maximum number of keys.
    #[error("more than {MAX_KEYS} keys")]
    TooMany,
}

/// The output contains no part of a key, since it may reach logs.
impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} keys", self.0.len())
    }
}

impl KeyRing {
    /// Parses a key file with one key per line in hexadecimal digits. The first key signs; `#`
    /// begins a comment.
    ///
    /// # Errors
    ///
    /// [`KeyFileError`] for the first invalid line, or if the file contains no key.
    pub fn parse(text: &str) -> Result<Self, KeyFileError> {
        let mut keys: Vec<Vec<u8>> = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.split(COMMENT_MARKER).next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let number = index + 1;
            let key = parse_key(line, &keys);
            keys.push(key.map_err(|error| KeyFileError::Line { number, error })?);
        }
        match keys.is_empty() {
            true => Err(KeyFileError::Empty),
            false => Ok(Self(keys)),
        }
    }

    /// The key that signs frames.
    pub(crate) fn signing_key(&self) -> &[u8] {
        self.0.first().map_or(&[], Vec::as_slice)
    }

    /// All accepted keys, beginning with the signing key.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &[u8]> {
        self.0.iter().map(Vec::as_slice)
    }
}

/// Parses a key and checks it against the preceding keys of the file.
fn parse_key(line: &str, preceding: &[Vec<u8>]) -> Result<Vec<u8>, KeyLineError> {
    let key = parse_hexadecimal(line).ok_or(KeyLineError::NotHexadecimal)?;
    if key.len() < MIN_KEY_BYTES {
        return Err(KeyLineError::TooShort(key.len()));
    }
    if preceding.contains(&key) {
        return Err(KeyLineError::Duplicate);
    }
    if preceding.len() == MAX_KEYS {
        return Err(KeyLineError::TooMany);
    }
    Ok(key)
}

fn parse_hexadecimal(text: &str) -> Option<Vec<u8>> {
    let digits = text.chars().map(|digit| digit.to_digit(16));
    let digits: Vec<u8> = digits
        .map(|digit| digit.map(|digit| digit as u8))
        .collect::<Option<_>>()?;
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let pairs = digits.chunks_exact(2);
    Some(pairs.map(|pair| pair[0] << 4 | pair[1]).collect())
}
