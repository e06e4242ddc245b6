//! Who a member is: its name, the generation of its process, its zone and its address.

use serde::{Deserialize, Deserializer, Serialize, de};
use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// A name of 1 to 64 bytes without white space: of a member, a zone, a region, or a record's key.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Name(Box<str>);

impl Name {
    /// The most bytes of a name.
    pub const MAX_BYTES: usize = 64;

    /// Checks a text.
    ///
    /// # Errors
    ///
    /// [`NameError`] where the text is empty, too long, or holds white space.
    pub fn new(text: &str) -> Result<Self, NameError> {
        let has_white_space = text.contains(char::is_whitespace);
        if text.is_empty() || text.len() > Self::MAX_BYTES || has_white_space {
            return Err(NameError);
        }
        Ok(Self(text.into()))
    }

    /// The name as text.
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

/// The text is no name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a name has 1 to {} bytes and no blanks", Name::MAX_BYTES)]
pub struct NameError;

/// One run of a member's process. What is known of a former generation says nothing about the next.
///
/// Cassandra's gossip uses the word in the same sense; SWIM's incarnation number counts refutations
/// within a generation (see [`MemberStatus`](crate::MemberStatus)).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation {
    /// When the process started, Unix time in milliseconds; raised where a former generation of the
    /// name claims to be later, as after a clock was set back.
    pub started_ms: u64,
    /// Drawn at random when the process starts.
    pub id: u64,
}

/// What does not change about a member in a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Its name.
    pub name: Name,
    /// The run of its process.
    pub generation: Generation,
    /// The address at which others reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Name,
    /// The zone's region, if it lies in one.
    pub region: Option<Name>,
}
