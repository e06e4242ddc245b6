//! Identity of a member: its name, process generation, zone and address.

use serde::{Deserialize, Deserializer, Serialize, de};
use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// A name of a member, zone, region or record key: 1 to 64 bytes without white space.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Name(Box<str>);

impl Name {
    /// Maximum length of a name in bytes.
    pub const MAX_BYTES: usize = 64;

    /// Creates a name from a text.
    ///
    /// # Errors
    ///
    /// [`NameError`] if the text is empty, too long, or contains white space.
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
        // A borrowed string is decoded without allocation, so a forged length costs no memory.
        Self::new(<&str>::deserialize(deserializer)?).map_err(de::Error::custom)
    }
}

/// The text is empty, too long, or contains white space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a name has 1 to {} bytes and no blanks", Name::MAX_BYTES)]
pub struct NameError;

/// One run of a member's process. Observations of a former generation do not apply to the next.
///
/// Cassandra's gossip protocol uses the term in the same sense. SWIM's incarnation number counts
/// refutations within a generation (see [`MemberStatus`](crate::MemberStatus)).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation {
    /// Start time of the process, Unix time in milliseconds. The value is raised if a former
    /// generation of the name has a later start time, as happens after a clock is set back.
    pub started_ms: u64,
    /// Random number drawn at the start of the process.
    pub id: u64,
}

/// The attributes of a member that are constant within a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Name of the member, unique in the fleet.
    pub name: Name,
    /// Generation of the member's process.
    pub generation: Generation,
    /// Address at which other members reach the member.
    pub address: SocketAddr,
    /// Availability zone of the member.
    pub zone: Name,
    /// Region of the zone, if the zone belongs to one.
    pub region: Option<Name>,
}
