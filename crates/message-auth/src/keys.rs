//! The keys that a fleet shares: one that seals, and others that are believed as well while they change.

use std::fmt;

/// Bytes of a key at least.
const LEAST: usize = 16;
/// Keys in force at most: the one that seals, the one before it and the one that is to come.
const MOST: usize = 3;

/// Keys in force.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys(Vec<Vec<u8>>);

/// What is wrong with a key file; the text names the line and nothing of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyError(String);

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for KeyError {}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} keys", self.0.len())
    }
}

impl Keys {
    /// Reads a key file: a key a line as hexadecimal digits, the first one seals; `#` begins a remark.
    pub fn read(text: &str) -> Result<Self, KeyError> {
        let mut keys: Vec<Vec<u8>> = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let wrong = |text: &str| Err(KeyError(format!("key file, line {}: {text}", at + 1)));
            let Some(key) = hexadecimal(line) else {
                return wrong("not pairs of hexadecimal digits");
            };
            if key.len() < LEAST {
                return wrong(&format!("a key of {} bytes, fewer than {LEAST}", key.len()));
            }
            if keys.contains(&key) {
                return wrong("a key that stands there twice");
            }
            if keys.len() == MOST {
                return wrong(&format!("more than {MOST} keys"));
            }
            keys.push(key);
        }
        if keys.is_empty() {
            Err(KeyError("key file: no key in it".to_owned()))
        } else {
            Ok(Self(keys))
        }
    }

    /// The one that seals.
    pub(crate) fn first(&self) -> &[u8] {
        self.0.first().map_or(&[], Vec::as_slice)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &[u8]> {
        self.0.iter().map(Vec::as_slice)
    }
}

fn hexadecimal(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|digit| digit.to_digit(16).map(|digit| digit as u8))
        .collect();
    let digits = digits.filter(|digits| digits.len().is_multiple_of(2))?;
    Some(
        digits
            .chunks_exact(2)
            .map(|pair| pair[0] << 4 | pair[1])
            .collect(),
    )
}
