//! Packet definitions. The wire format is determined by the order of the variants and of their
//! fields; identifiers are not encoded.

use super::frame::{HEADER_BYTES, WireError, decode_frame, decode_split_frame, encode_frame};
use crate::balancers::{BalancerHeartbeat, BalancerRenewal};
use crate::command::{Command, CommandOutcome};
use crate::feed::FeedEvent;
use crate::loads::{FleetLoads, LoadReport};
use crate::registry::Registration;
use nanoserde::{DeBin, SerBin};
use woadstall_consensus::{LeaderTime, Member, Message, ReplicaId};

/// The identity, location and addresses of a control machine.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct MachineInfo {
    /// The identity of the machine's replica and the machine's internal address.
    pub member: Member,
    /// The zone of the machine.
    pub zone: String,
    /// The region of the machine.
    pub region: String,
    /// The address for operators and upstreams, as `ip:port`.
    pub control_address: String,
}

/// Identifies a call between control machines, uniquely over all processes and restarts. A late
/// reply to a call of an earlier process is therefore not mistaken for a reply to a call of the
/// current process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct CallId {
    /// The incarnation of the calling process.
    pub incarnation: u64,
    /// The number of the call within the calling process.
    pub number: u64,
}

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Packet {
    /// Introduces the sender to another control machine. The packet is sent when a connection is
    /// established, and then periodically.
    Hello {
        /// The sending machine.
        machine: MachineInfo,
        /// The machines known to the sender.
        known: Vec<MachineInfo>,
    },
    /// A consensus message of the replicated log.
    Consensus {
        /// The consensus message.
        message: Message,
        /// The sender's time at sending, in milliseconds of the sender's clock.
        sender_clock_ms: u64,
    },
    /// A replica asks to become a member of the replica group.
    JoinRequest(Member),
    /// The process of a replica is about to stop.
    ReplicaStopping(ReplicaId),
    /// Changed registrations, or all registrations. The receiver responds with `RegistrationsAck`.
    Registrations {
        /// The identity of the call, which the reply repeats.
        call: CallId,
        /// The registrations, with ages and remaining times as of sending.
        registrations: Vec<Registration>,
    },
    /// Acknowledges that registrations have been merged, and that drains and deregistrations among
    /// them have been written to disk.
    RegistrationsAck {
        /// The call of the acknowledged `Registrations`.
        call: CallId,
    },
    /// Heartbeats of upstreams whose registrations have not changed.
    Renewals(Vec<Renewal>),
    /// Heartbeats of balancers with changes, in full.
    BalancerHeartbeats(Vec<BalancerHeartbeat>),
    /// Heartbeats of balancers without changes, in short form.
    BalancerRenewals(Vec<BalancerRenewal>),
    /// A command that was submitted to a follower, forwarded to the leader.
    ForwardedCommand {
        /// The identity of the call, which the reply repeats.
        call: CallId,
        /// The time after which the leader must not propose the command. It ensures that the
        /// command is never accepted after its caller has received an indeterminate response.
        expires: LeaderTime,
        /// The forwarded command.
        command: Command,
    },
    /// The outcome of a forwarded command; `None` if the command was not accepted or its outcome is
    /// unknown.
    ForwardedCommandReply {
        /// The call of the `ForwardedCommand`.
        call: CallId,
        /// The outcome of the applied command.
        outcome: Option<CommandOutcome>,
    },
    /// Requests the log index that must be applied before a read is served.
    ReadIndexRequest {
        /// The identity of the call, which the reply repeats.
        call: CallId,
    },
    /// The read index for a read; `None` if the sender is not the leader or has no quorum.
    ReadIndexReply {
        /// The call of the `ReadIndexRequest`.
        call: CallId,
        /// The log index that must be applied.
        index: Option<u64>,
    },
    /// A balancer subscribes to the change feed.
    Subscribe(SubscribeRequest),
    /// The complete state from which a balancer starts to follow the feed.
    Snapshot {
        /// The epoch of the sender's journal.
        epoch: u64,
        /// The journal offset from which the feed continues.
        offset: u64,
        /// The encoded state of the configuration; empty if the balancer already has this state or
        /// a newer one.
        state: Vec<u8>,
        /// All registrations, with ages and remaining times as of sending.
        registrations: Vec<Registration>,
    },
    /// Consecutive events of the feed.
    Events {
        /// The offset after the last event.
        offset: u64,
        /// The events, in the order of their offsets.
        events: Vec<FeedEvent>,
    },
    /// The status of the sending machine, sent at regular intervals.
    MachineStatus {
        /// Whether the machine is in contact with a leader that has a quorum.
        in_quorum: bool,
        /// The control machines that are alive.
        machines: Vec<MachineInfo>,
    },
    /// The active balancers, which share retry budgets and quotas. The packet is sent whenever the
    /// set changes.
    ActiveBalancers(Vec<ZoneBalancers>),
    /// A heartbeat of a balancer to one of its monitors.
    BalancerHeartbeat(BalancerHeartbeat),
    /// A balancer's load report to nearby control machines.
    LoadReport(LoadReport),
    /// The combined load reports of the balancers. Each packet is complete and replaces the
    /// previous one.
    FleetLoads(FleetLoads),
}

/// A balancer's request to subscribe to the change feed, or to resume it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SubscribeRequest {
    /// The balancer's name.
    pub balancer: String,
    /// The epoch of the journal that the balancer has read; 0 if it has read none.
    pub epoch: u64,
    /// The offset after the last event that the balancer has read.
    pub offset: u64,
    /// The log index up to which the balancer has applied the configuration log.
    pub applied_index: u64,
}

/// A short form of an upstream's heartbeat whose registration has not changed.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Renewal {
    /// The upstream's id.
    pub id: String,
    /// The sequence number of the heartbeat.
    pub sequence: u64,
}

/// The active balancers of a zone.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ZoneBalancers {
    /// The name of the zone.
    pub zone: String,
    /// The balancers' names, hashed by [`short_hash`](crate::shards::short_hash).
    pub balancers: Vec<u32>,
}

impl Packet {
    /// Encodes the packet as a frame.
    pub fn encode(&self) -> Vec<u8> {
        encode_frame(self)
    }

    /// Decodes the packet of a frame that is given as header and payload.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame has another version, is truncated, too long or damaged, or
    /// does not hold a packet.
    pub fn decode(header: &[u8; HEADER_BYTES], payload: &[u8]) -> Result<Self, WireError> {
        decode_split_frame(header, payload)
    }

    /// Decodes the packet of a datagram, which holds exactly one frame.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`decode`](Self::decode).
    pub fn decode_datagram(bytes: &[u8]) -> Result<Self, WireError> {
        decode_frame(bytes)
    }
}
