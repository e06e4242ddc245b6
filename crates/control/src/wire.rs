//! The project's own protocol between its processes: typed messages in `nanoserde` binary, in frames with a version, a
//! length and a checksum.

use crate::balancers::{BalancerHeartbeat, BalancerRenewal};
use crate::command::{Command, Outcome};
use crate::feed::FeedEvent;
use crate::loads::{FleetLoads, LoadReport};
use crate::registry::Registration;
use nanoserde::{DeBin, SerBin};
use thiserror::Error;
use woadstall_consensus::{Member, Message, ReplicaId};

/// The version of the protocol. Another one is refused.
pub const VERSION: u16 = 3;
/// Bytes of a frame's head: version, encoding, length, checksum.
pub const HEAD_BYTES: usize = 12;
/// Bytes of a frame at most: a snapshot of the configuration and its history.
pub const MOST_BYTES: usize = 16 << 20;
/// Bytes from which on a payload is compressed: a configuration takes a tenth, so that it holds up the heartbeats behind it
/// on a link between regions for a tenth of the time.
const COMPRESSED_FROM: usize = 1_024;

/// A control machine as others reach it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct MachineInfo {
    /// Its replica's identity and internal address.
    pub member: Member,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where operators and upstreams reach it.
    pub control: String,
}

/// Identifies a call between control machines among those of all processes that ever ran: a late answer to a former process
/// is no answer to a call of the one that runs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct CallId {
    /// The process that calls.
    pub incarnation: u64,
    /// Its number of the call.
    pub number: u64,
}

/// A moment on the clock of the leader of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LeaderTime {
    /// The term, which stands for the leader's process.
    pub term: u64,
    /// Milliseconds on that process's clock.
    pub at: u64,
}

/// What one process tells another.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Packet {
    /// Begins a connection between control machines.
    Hello {
        /// Who speaks.
        machine: MachineInfo,
        /// The machines that it has heard of, itself among them.
        known: Vec<MachineInfo>,
    },
    /// A message of the replicated log.
    Consensus {
        /// The message.
        message: Message,
        /// The sender's clock, in milliseconds.
        clock: u64,
    },
    /// A replica asks to become a member.
    JoinRequest(Member),
    /// A replica's process is about to end.
    ReplicaStopping(ReplicaId),
    /// Registrations that have changed, or all of them; answered with `RegistrationsAck`.
    Registrations {
        /// The call.
        call: CallId,
        /// The registrations, with times as of sending.
        registrations: Vec<Registration>,
    },
    /// Registrations were taken; upstreams that leave are on disk.
    RegistrationsAck {
        /// The call that they came with.
        call: CallId,
    },
    /// Upstreams were heard from, with the sequence numbers of their heartbeats.
    Renewals(Vec<Renewal>),
    /// Heartbeats of balancers that say something new.
    BalancerHeartbeats(Vec<BalancerHeartbeat>),
    /// Balancers that say what they said before.
    BalancerRenewals(Vec<BalancerRenewal>),
    /// An order that came to a machine that does not lead.
    ForwardedCommand {
        /// The call.
        call: CallId,
        /// Until when the order may be proposed, so that it is never taken after its caller was told that nobody can tell.
        expires: LeaderTime,
        /// The order.
        command: Command,
    },
    /// What came of an order; `None` where it was not taken or that is not clear.
    ForwardedCommandReply {
        /// The call that it came with.
        call: CallId,
        /// The outcome.
        outcome: Option<Outcome>,
    },
    /// Asks for the position up to which a read must have applied the log.
    ReadIndexRequest {
        /// The call.
        call: CallId,
    },
    /// Answers a read; `None` where this machine can't.
    ReadIndexReply {
        /// The call that asked.
        call: CallId,
        /// The position.
        index: Option<u64>,
    },
    /// A balancer asks for the change feed.
    Subscribe {
        /// Its name.
        balancer: String,
        /// The epoch of the journal that it has read, or 0.
        epoch: u64,
        /// The offset behind what it has read.
        offset: u64,
        /// The position of the configuration's log that it has applied.
        index: u64,
    },
    /// All that a balancer needs to begin.
    Snapshot {
        /// The epoch of the journal.
        epoch: u64,
        /// The offset from which to go on.
        offset: u64,
        /// The encoded state of the configuration, empty where the balancer has this one or a newer one.
        state: Vec<u8>,
        /// All registrations.
        registrations: Vec<Registration>,
    },
    /// What has come since.
    Events {
        /// The offset behind them.
        offset: u64,
        /// The events.
        events: Vec<FeedEvent>,
    },
    /// Sent when nothing else is: how the machine stands.
    MachineStatus {
        /// Whether it hears of a leader that holds a quorum.
        in_quorum: bool,
        /// The control machines that it knows.
        machines: Vec<MachineInfo>,
    },
    /// The balancers that share budgets; told when they change.
    ActiveBalancers(Vec<ZoneBalancers>),
    /// A balancer's heartbeat to a monitor.
    BalancerHeartbeat(BalancerHeartbeat),
    /// What a balancer tells of upstreams, to control machines near it.
    LoadReport(LoadReport),
    /// What balancers tell of upstreams together, whole each time.
    FleetLoads(FleetLoads),
}

/// An upstream that was heard from.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Renewal {
    /// The upstream's id.
    pub id: String,
    /// The number of its heartbeat.
    pub sequence: u64,
}

/// The balancers of a zone.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ZoneBalancers {
    /// The zone.
    pub zone: String,
    /// Hashes of their names.
    pub balancers: Vec<u32>,
}

/// A frame can't be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// Another version of the protocol.
    #[error("protocol version {0} instead of {VERSION}")]
    Version(u16),
    /// Longer than any frame may be.
    #[error("a frame of {0} bytes, {MOST_BYTES} at most")]
    TooLong(usize),
    /// Shorter than its head says.
    #[error("a frame that is cut short")]
    Short,
    /// Damaged on its way.
    #[error("a frame whose checksum does not fit")]
    Checksum,
    /// Not a message of this protocol.
    #[error("a message that can't be decoded: {0}")]
    Encoding(String),
}

impl Packet {
    /// The packet as a frame.
    pub fn frame(&self) -> Vec<u8> {
        frame(self)
    }

    /// The packet of a frame's head and payload.
    pub fn decode(head: &[u8; HEAD_BYTES], payload: &[u8]) -> Result<Self, WireError> {
        decode(head, payload)
    }

    /// The packet of a whole datagram.
    pub fn decode_datagram(bytes: &[u8]) -> Result<Self, WireError> {
        decode_whole(bytes)
    }
}

/// A value as a frame.
pub fn frame(value: &impl SerBin) -> Vec<u8> {
    let plain = value.serialize_bin();
    let packed = (plain.len() >= COMPRESSED_FROM).then(|| lz4_flex::compress_prepend_size(&plain));
    let packed = packed.filter(|packed| packed.len() < plain.len());
    let (encoding, payload) = packed.map_or((Encoding::Plain, plain), |packed| {
        (Encoding::Compressed, packed)
    });
    let mut bytes = Vec::with_capacity(HEAD_BYTES + payload.len());
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&(encoding as u16).to_le_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(encoding, &payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

/// How a payload is encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Encoding {
    /// As `nanoserde` has it.
    Plain = 0,
    /// Compressed with LZ4, behind its size.
    Compressed = 1,
}

impl Encoding {
    fn of(head: &[u8; HEAD_BYTES]) -> Result<Self, WireError> {
        match u16::from_le_bytes([head[2], head[3]]) {
            0 => Ok(Self::Plain),
            1 => Ok(Self::Compressed),
            other => Err(WireError::Encoding(format!("encoding {other}"))),
        }
    }
}

fn checksum(encoding: Encoding, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(encoding as u16).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// The length of a frame's payload, from its head.
pub fn payload_length(head: &[u8; HEAD_BYTES]) -> Result<usize, WireError> {
    let version = u16::from_le_bytes([head[0], head[1]]);
    if version != VERSION {
        return Err(WireError::Version(version));
    }
    let length = u32::from_le_bytes([head[4], head[5], head[6], head[7]]) as usize;
    if length > MOST_BYTES {
        Err(WireError::TooLong(length))
    } else {
        Ok(length)
    }
}

/// The value of a whole frame.
pub fn decode_whole<T: DeBin>(bytes: &[u8]) -> Result<T, WireError> {
    let (head, payload) = bytes.split_first_chunk().ok_or(WireError::Short)?;
    decode(head, payload)
}

fn decode<T: DeBin>(head: &[u8; HEAD_BYTES], payload: &[u8]) -> Result<T, WireError> {
    if payload_length(head)? != payload.len() {
        return Err(WireError::Short);
    }
    let encoding = Encoding::of(head)?;
    let expected = u32::from_le_bytes([head[8], head[9], head[10], head[11]]);
    if checksum(encoding, payload) != expected {
        return Err(WireError::Checksum);
    }
    match encoding {
        Encoding::Plain => decode_plain(payload),
        Encoding::Compressed => decode_plain(&decompressed(payload)?),
    }
}

/// The bytes behind a compression. No more memory is taken than a frame may hold.
fn decompressed(payload: &[u8]) -> Result<Vec<u8>, WireError> {
    let encoding = |error: lz4_flex::block::DecompressError| WireError::Encoding(error.to_string());
    let (size, _) = lz4_flex::block::uncompressed_size(payload).map_err(encoding)?;
    if size > MOST_BYTES {
        return Err(WireError::TooLong(size));
    }
    lz4_flex::decompress_size_prepended(payload).map_err(encoding)
}

fn decode_plain<T: DeBin>(bytes: &[u8]) -> Result<T, WireError> {
    let mut offset = 0;
    let value =
        T::de_bin(&mut offset, bytes).map_err(|error| WireError::Encoding(error.to_string()))?;
    if offset == bytes.len() {
        Ok(value)
    } else {
        Err(WireError::Encoding("surplus bytes".to_owned()))
    }
}
