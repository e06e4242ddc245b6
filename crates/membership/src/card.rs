//! Who a member is: its name, which of its lives, where it stands and is found.

use serde::{Deserialize, Deserializer, Serialize, de};
use std::fmt;
use std::net::SocketAddr;

/// A name of 1 to 64 bytes, without blanks: a member's, a zone's, a region's, a fact's key.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Name(Box<str>);

impl Name {
    /// Most bytes of a name.
    pub const MOST: usize = 64;

    /// Refuses what is no name.
    pub fn new(text: &str) -> Result<Self, NameError> {
        let sound =
            !text.is_empty() && text.len() <= Self::MOST && !text.contains(char::is_whitespace);
        if sound {
            Ok(Self(text.into()))
        } else {
            Err(NameError)
        }
    }

    /// As text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Borrowed, so that a length that lies costs no memory.
        Self::new(<&str>::deserialize(deserializer)?).map_err(de::Error::custom)
    }
}

/// Not a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameError;

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a name has 1 to {} bytes and no blanks", Name::MOST)
    }
}

impl std::error::Error for NameError {}

/// One life of a name: what is known of a former one says nothing about the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation {
    /// When it started, Unix time in milliseconds; raised where a former life of the name claims to be later, as
    /// after a clock has stepped back.
    pub started: u64,
    /// Drawn at its start.
    pub id: u64,
}

/// All that does not change in a life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Its name.
    pub name: Name,
    /// Which of its lives.
    pub life: Generation,
    /// Where others find it.
    pub at: SocketAddr,
    /// Its zone.
    pub zone: Name,
    /// The zone's region, if it lies in one.
    pub region: Option<Name>,
}
