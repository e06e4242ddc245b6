//! What members say to each other, and its bytes. Lengths are checked before anything is held.

use crate::card::{Generation, MemberMetadata, Name};
use crate::claim::MemberStatus;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The form of messages. A member of another form is not understood, and said so of once.
pub const VERSION: u8 = 1;
/// Most bytes of a message, those that compare whole states included.
pub const MOST: usize = 64 << 10;
/// Parts by which whole states are compared.
pub const SHARDS: usize = 64;

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who sends it.
    pub from: MemberMetadata,
    /// Its incarnation.
    pub incarnation: u32,
    /// Whom it is for; a former life of a name must not answer for a later one. `None` where it is not known yet.
    pub to: Option<(Name, Generation)>,
    /// What it is.
    pub body: Body,
    /// What goes along about members.
    pub news: Vec<MemberUpdate>,
    /// What goes along of facts.
    pub facts: Vec<RecordUpdate>,
}

/// What a message is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Are you there? Asked for itself, or for one that has had no answer.
    Ping {
        /// Its number.
        number: u64,
        /// For whom it is asked, if not for the sender.
        origin: Option<ProbeOrigin>,
    },
    /// Yes.
    Ack {
        /// The probe's number.
        number: u64,
        /// The last number that was heard from the one itself for whom it was asked.
        heard: u64,
    },
    /// Ask that one for me.
    IndirectPing {
        /// The number of the sender's own probe.
        number: u64,
        /// Whom.
        target: MemberMetadata,
    },
    /// It has answered me.
    RelayedAck {
        /// The sender's number.
        number: u64,
        /// The last number that it had heard from the one that asked.
        heard: u64,
    },
    /// I ask for you, and have no answer yet: so at least I hear you.
    Nack {
        /// The number of the probe.
        number: u64,
    },
    /// I am new here, or awake again: what do you know?
    StateRequest,
    /// Sums of the parts of what the sender holds.
    ShardDigests(Vec<u64>),
    /// All that the sender holds in these parts, in `news` and `facts`; the other answers in kind if asked.
    ShardState {
        /// Which.
        parts: Vec<u8>,
        /// Whether the sender wants the other's, too.
        again: bool,
    },
    /// News alone.
    Gossip,
}

/// For whom a probe is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeOrigin {
    /// Who.
    pub card: MemberMetadata,
    /// The number of its own probe.
    pub number: u64,
}

/// A claim, and who makes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// About whom.
    pub card: MemberMetadata,
    /// What.
    pub claim: MemberStatus,
    /// Who says so first hand, of a suspicion or death.
    pub by: Option<Name>,
}

/// A fact under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordUpdate {
    /// Whose it is.
    pub owner: Name,
    /// Of which of its lives.
    pub life: Generation,
    /// Raised with each change.
    pub counter: u64,
    /// Its name.
    pub key: Name,
    /// Facts of higher ones go first.
    pub priority: u8,
    /// Milliseconds since it was said.
    pub age_ms: u32,
    /// What it says.
    pub bytes: Vec<u8>,
}

/// Not a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// Of another form.
    Version(u8),
    /// Too long, too short, or not of the form.
    Form,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => write!(f, "a message of version {version}, not {VERSION}"),
            Self::Form => f.write_str("not a message"),
        }
    }
}

impl std::error::Error for MessageError {}

/// Bytes of a part of a message.
pub fn size(of: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(of).unwrap_or(usize::MAX)
}

impl Message {
    /// As bytes.
    pub fn write(&self) -> Vec<u8> {
        // Only maps of unknown length and the like cannot be written; there are none here.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// From bytes, all of them. `facts` is the most that a fact may hold.
    pub fn read(bytes: &[u8], facts: usize) -> Result<Self, MessageError> {
        let (version, rest) = bytes.split_first().ok_or(MessageError::Form)?;
        if *version != VERSION {
            return Err(MessageError::Version(*version));
        }
        if bytes.len() > MOST {
            return Err(MessageError::Form);
        }
        let (message, rest): (Self, _) =
            postcard::take_from_bytes(rest).map_err(|_| MessageError::Form)?;
        let long = message.facts.iter().any(|fact| fact.bytes.len() > facts);
        let parts = match &message.body {
            Body::ShardDigests(sums) => sums.len() == SHARDS,
            Body::ShardState { parts, .. } => parts.iter().all(|part| usize::from(*part) < SHARDS),
            _ => true,
        };
        if rest.is_empty() && !long && parts {
            Ok(message)
        } else {
            Err(MessageError::Form)
        }
    }
}
