//! The keys that a fleet shares: one that signs, and others that are accepted as well while the key
//! is being changed.

use std::fmt;
use thiserror::Error;

/// The fewest bytes of a key.
const MIN_KEY_BYTES: usize = 16;
/// The most keys: the one that signs, the one before it and the one that comes next.
const MAX_KEYS: usize = 3;
/// What begins a remark in a key file.
const REMARK: char = '#';

/// Keys that are accepted; the first one signs.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyRing(Vec<Vec<u8>>);

/// What is wrong with a key file. The message names the line and nothing of a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyFileError {
    /// There is no key in it.
    #[error("key file: no key in it")]
    Empty,
    /// A line is no key.
    #[error("key file, line {number}: {fault}")]
    Line {
        /// The line's number, from 1.
        number: usize,
        /// What is wrong with it.
        fault: KeyFault,
    },
}

/// What is wrong with a line of a key file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyFault {
    /// It has other than pairs of hexadecimal digits.
    #[error("not pairs of hexadecimal digits")]
    NotHexadecimal,
    /// The key has too few bytes.
    #[error("a key of {0} bytes, fewer than {MIN_KEY_BYTES}")]
    TooShort(usize),
    /// The key is in the file already.
    #[error("a key that stands there twice")]
    Duplicate,
    /// There are as many keys as may be already.
    #[error("more than {MAX_KEYS} keys")]
    TooMany,
}

/// Nothing of a key may get into logs.
impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} keys", self.0.len())
    }
}

impl KeyRing {
    /// Parses a key file: a key a line in hexadecimal digits, the first one signs; `#` begins a
    /// remark.
    ///
    /// # Errors
    ///
    /// [`KeyFileError`] for the first line at fault, or where there is no key.
    pub fn parse(text: &str) -> Result<Self, KeyFileError> {
        let mut keys: Vec<Vec<u8>> = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.split(REMARK).next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let number = index + 1;
            let key = parse_key(line, &keys);
            keys.push(key.map_err(|fault| KeyFileError::Line { number, fault })?);
        }
        match keys.is_empty() {
            true => Err(KeyFileError::Empty),
            false => Ok(Self(keys)),
        }
    }

    /// The key that signs.
    pub(crate) fn signing_key(&self) -> &[u8] {
        self.0.first().map_or(&[], Vec::as_slice)
    }

    /// All keys that are accepted.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &[u8]> {
        self.0.iter().map(Vec::as_slice)
    }
}

/// Parses a key that follows others of the file.
fn parse_key(line: &str, former: &[Vec<u8>]) -> Result<Vec<u8>, KeyFault> {
    let key = parse_hexadecimal(line).ok_or(KeyFault::NotHexadecimal)?;
    if key.len() < MIN_KEY_BYTES {
        return Err(KeyFault::TooShort(key.len()));
    }
    if former.contains(&key) {
        return Err(KeyFault::Duplicate);
    }
    if former.len() == MAX_KEYS {
        return Err(KeyFault::TooMany);
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
