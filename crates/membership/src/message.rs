//! Protocol messages and their encoding: a version byte followed by a [`Message`] in postcard's
//! format. Lengths are checked before memory is allocated.

use crate::metadata::{Generation, MemberMetadata, Name};
use crate::status::MemberStatus;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the encoding. Messages of any other version are rejected.
pub const VERSION: u8 = 1;
/// Maximum length of an encoded message in bytes, including anti-entropy messages.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Number of shards by which anti-entropy compares the states of two members.
pub const SHARDS: usize = 64;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sending member.
    pub from: MemberMetadata,
    /// The sender's incarnation number.
    pub incarnation: u32,
    /// The receiver's name and generation, or `None` if the sender knows only an address. A later
    /// generation of a name must not answer messages addressed to a former one.
    pub to: Option<(Name, Generation)>,
    /// The request, reply or announcement that the message carries.
    pub body: Body,
    /// Piggybacked member updates.
    pub updates: Vec<MemberUpdate>,
    /// Piggybacked record updates.
    pub records: Vec<RecordUpdate>,
}

/// The purpose of a message. The order of the variants is part of the encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Ack`](Self::Ack).
    Ping {
        /// The sequence number of this ping, chosen by its sender.
        sequence: u64,
        /// The member that requested the ping if the sender relays it; `None` for a direct ping.
        origin: Option<ProbeOrigin>,
    },
    /// Acknowledges a [`Ping`](Self::Ping).
    Ack {
        /// The sequence number of the acknowledged ping.
        sequence: u64,
        /// The sequence number of the most recent direct ping that the acknowledging member
        /// received from the probe's origin.
        last_direct_sequence: u64,
    },
    /// Asks the receiver to relay a ping (SWIM's ping-req).
    IndirectPing {
        /// The sequence number of the sender's own probe.
        sequence: u64,
        /// The member to ping.
        target: MemberMetadata,
    },
    /// Reports that the target of an [`IndirectPing`](Self::IndirectPing) acknowledged the relayed
    /// ping.
    RelayedAck {
        /// The sequence number of the probe that the receiver of this message started.
        sequence: u64,
        /// The sequence number of the most recent ping that the target received directly from the
        /// receiver of this message.
        last_direct_sequence: u64,
    },
    /// Reports that the target of an [`IndirectPing`](Self::IndirectPing) did not answer in time
    /// (Lifeguard's nack). A nack shows the origin that its connection to the relay works.
    Nack {
        /// The sequence number of the probe that the receiver of this message started.
        sequence: u64,
    },
    /// Requests the receiver's complete state. Sent by members that are new or have just resumed
    /// from a pause.
    StateRequest,
    /// Starts an anti-entropy exchange with one digest for each of the [`SHARDS`] shards.
    ShardDigests(Vec<u64>),
    /// Carries the sender's complete state of some shards in `updates` and `records`.
    ShardState {
        /// Numbers of the shards, each less than [`SHARDS`].
        shards: Vec<u8>,
        /// Whether the sender requests the receiver's state of the same shards.
        wants_reply: bool,
    },
    /// Carries piggybacked updates only.
    Gossip,
}

/// The member on whose behalf a ping is relayed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeOrigin {
    /// The member that requested the ping.
    pub metadata: MemberMetadata,
    /// The sequence number of the origin's own probe.
    pub sequence: u64,
}

/// The status of a member, with the member that reported it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member whose status is reported.
    pub metadata: MemberMetadata,
    /// The reported status.
    pub status: MemberStatus,
    /// The member that raised the suspicion or declared the death, if any.
    pub by: Option<Name>,
}

/// The wire form of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordUpdate {
    /// Name of the member that published the record.
    pub owner: Name,
    /// Generation of the owner at the time of publication.
    pub generation: Generation,
    /// Version number, which the owner raises with each change.
    pub version: u64,
    /// Key of the record, unique per owner.
    pub key: Name,
    /// Priority; records of higher priority are sent first.
    pub priority: u8,
    /// Milliseconds since the owner published the record.
    pub age_ms: u32,
    /// Value of the record; empty if the owner has withdrawn it.
    pub value: Vec<u8>,
}

/// The reason why bytes cannot be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The message uses another version of the encoding.
    #[error("unsupported message version {0}, expected {VERSION}")]
    UnsupportedVersion(u8),
    /// The bytes are truncated, too long or not in the format.
    #[error("malformed message")]
    Malformed,
}

/// Encoded length in bytes of a message or of a value that is part of one.
pub fn encoded_size(value: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}

impl Message {
    /// Encodes the message with a leading version byte.
    pub fn encode(&self) -> Vec<u8> {
        // Postcard fails only on sequences of unknown length, and messages contain none.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// Decodes a message that occupies all of `bytes` and whose record values have at most
    /// `max_record_bytes`.
    ///
    /// # Errors
    ///
    /// [`MessageError::UnsupportedVersion`] if the first byte is another version,
    /// [`MessageError::Malformed`] for any other input that is not a message.
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
