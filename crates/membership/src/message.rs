//! The messages of the protocol and their encoding: a version byte, then [`Message`] in postcard's
//! format. Lengths are checked before memory is allocated for them.

use crate::metadata::{Generation, MemberMetadata, Name};
use crate::status::MemberStatus;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the encoding. Messages of any other are rejected.
pub const VERSION: u8 = 1;
/// The most bytes of a message, those of the anti-entropy included.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Shards by which the anti-entropy compares the state of two members.
pub const SHARDS: usize = 64;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberMetadata,
    /// The sender's incarnation number.
    pub incarnation: u32,
    /// The receiver's name and generation, since a former generation of a name must not answer for
    /// a later one. `None` where the sender only knows an address.
    pub to: Option<(Name, Generation)>,
    /// What the message is for.
    pub body: Body,
    /// Piggybacked updates of members.
    pub updates: Vec<MemberUpdate>,
    /// Piggybacked updates of records.
    pub records: Vec<RecordUpdate>,
}

/// What a message is for. The order of the variants is part of the encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Ack`](Self::Ack).
    Ping {
        /// The sequence number of this ping.
        sequence: u64,
        /// The member that asked for it, where the sender only relays it.
        origin: Option<ProbeOrigin>,
    },
    /// Acknowledges a [`Ping`](Self::Ping).
    Ack {
        /// The sequence number of the ping.
        sequence: u64,
        /// The sequence number of the last ping that came directly from the probe's origin.
        last_direct_sequence: u64,
    },
    /// Asks the receiver to relay a ping (SWIM's ping-req).
    IndirectPing {
        /// The sequence number of the sender's own probe.
        sequence: u64,
        /// The member to be pinged.
        target: MemberMetadata,
    },
    /// The target of an [`IndirectPing`](Self::IndirectPing) has acknowledged the relayed ping.
    RelayedAck {
        /// The sequence number of the receiver's own probe.
        sequence: u64,
        /// The sequence number of the last ping that the target received directly from the
        /// receiver.
        last_direct_sequence: u64,
    },
    /// The target of an [`IndirectPing`](Self::IndirectPing) has not answered in time (Lifeguard's
    /// nack): the receiver's own connection to the sender works.
    Nack {
        /// The sequence number of the receiver's own probe.
        sequence: u64,
    },
    /// Asks for all that the receiver knows; sent by members that are new or have just resumed.
    StateRequest,
    /// Starts an anti-entropy exchange: a digest of each of the [`SHARDS`] shards.
    ShardDigests(Vec<u64>),
    /// All that the sender knows of some shards, in `updates` and `records`.
    ShardState {
        /// The numbers of the shards.
        shards: Vec<u8>,
        /// Whether the sender asks for the receiver's state of the same shards.
        wants_reply: bool,
    },
    /// Only carries piggybacked updates.
    Gossip,
}

/// The member for which a ping is relayed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeOrigin {
    /// The member that asked for the ping.
    pub metadata: MemberMetadata,
    /// The sequence number of its own probe.
    pub sequence: u64,
}

/// The status of a member, and who found it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub metadata: MemberMetadata,
    /// Its status.
    pub status: MemberStatus,
    /// The member that suspects it or declared it dead.
    pub by: Option<Name>,
}

/// A record as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordUpdate {
    /// The member that published it.
    pub owner: Name,
    /// The generation of the owner that published it.
    pub generation: Generation,
    /// Raised by the owner with each change.
    pub version: u64,
    /// Its key.
    pub key: Name,
    /// Records of higher priority are sent first.
    pub priority: u8,
    /// Milliseconds since it was published.
    pub age_ms: u32,
    /// Its value.
    pub value: Vec<u8>,
}

/// Why bytes are no message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// They are in another version of the encoding.
    #[error("a message of version {0}, not {VERSION}")]
    UnsupportedVersion(u8),
    /// They are too many, too few, or not in the format.
    #[error("not a message")]
    Malformed,
}

/// Bytes that a part of a message takes.
pub fn encoded_size(part: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(part).unwrap_or(usize::MAX)
}

impl Message {
    /// The encoded message.
    pub fn encode(&self) -> Vec<u8> {
        // Only sequences of unknown length cannot be encoded; there are none here.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// Decodes a message that takes all of `bytes`, with records of at most `max_record_bytes`.
    ///
    /// # Errors
    ///
    /// [`MessageError::UnsupportedVersion`] where the first byte is another version, and
    /// [`MessageError::Malformed`] for anything else that is no message.
    pub fn decode(bytes: &[u8], max_record_bytes: usize) -> Result<Self, MessageError> {
        let (version, rest) = bytes.split_first().ok_or(MessageError::Malformed)?;
        if *version != VERSION {
            return Err(MessageError::UnsupportedVersion(*version));
        }
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::Malformed);
        }
        let (message, rest): (Self, _) =
            postcard::take_from_bytes(rest).map_err(|_| MessageError::Malformed)?;
        match rest.is_empty() && message.is_within_limits(max_record_bytes) {
            true => Ok(message),
            false => Err(MessageError::Malformed),
        }
    }

    fn is_within_limits(&self, max_record_bytes: usize) -> bool {
        let has_known_shards = match &self.body {
            Body::ShardDigests(digests) => digests.len() == SHARDS,
            Body::ShardState { shards, .. } => {
                shards.iter().all(|shard| usize::from(*shard) < SHARDS)
            }
            _ => true,
        };
        let mut records = self.records.iter();
        has_known_shards && records.all(|record| record.value.len() <= max_record_bytes)
    }
}
