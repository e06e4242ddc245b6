//! The packets. The wire format consists of the order of the variants and of their fields; the
//! identifiers are not part of it.

use super::frame::{HEADER_BYTES, WireError, decode_frame, decode_split_frame, encode_frame};
use crate::balancers::{BalancerHeartbeat, BalancerRenewal};
use crate::command::{Command, CommandOutcome};
use crate::feed::FeedEvent;
use crate::loads::{FleetLoads, LoadReport};
use crate::registry::Registration;
use nanoserde::{DeBin, SerBin};
use woadstall_consensus::{LeaderTime, Member, Message, ReplicaId};

/// A control machine: where it is and how others reach it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct MachineInfo {
    /// Its replica's identity and its internal address.
    pub member: Member,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where operators and upstreams reach it, as `ip:port`.
    pub control_address: String,
}

/// Identifies a call between control machines among those of all processes that ever ran: a late
/// reply to a former process is not taken for one to a call of the process that runs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct CallId {
    /// The incarnation of the process that calls.
    pub incarnation: u64,
    /// The number that it gave the call.
    pub number: u64,
}

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Packet {
    /// Begins a connection between control machines, and is repeated on it.
    Hello {
        /// The sender.
        machine: MachineInfo,
        /// The machines that it has heard of.
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
    /// Registrations that have changed, or all of them; acknowledged by `RegistrationsAck`.
    Registrations {
        /// The call.
        call: CallId,
        /// The registrations, with times as of sending.
        registrations: Vec<Registration>,
    },
    /// Registrations were merged; those of upstreams that drain or leave are on disk.
    RegistrationsAck {
        /// The call that they came with.
        call: CallId,
    },
    /// Heartbeats of upstreams without changes.
    Renewals(Vec<Renewal>),
    /// Heartbeats of balancers with changes.
    BalancerHeartbeats(Vec<BalancerHeartbeat>),
    /// Heartbeats of balancers without changes.
    BalancerRenewals(Vec<BalancerRenewal>),
    /// A command that was submitted to a machine that is not the leader.
    ForwardedCommand {
        /// The call.
        call: CallId,
        /// Until when the command may be proposed, so that it is never accepted after its caller
        /// got an indeterminate response.
        expires: LeaderTime,
        /// The command.
        command: Command,
    },
    /// The outcome of a forwarded command; `None` where it was not accepted or that is unknown.
    ForwardedCommandReply {
        /// The call that it came with.
        call: CallId,
        /// The outcome.
        outcome: Option<CommandOutcome>,
    },
    /// Requests the position up to which the log must be applied before a read is served.
    ReadIndexRequest {
        /// The call.
        call: CallId,
    },
    /// The position for a read; `None` where the sender is not the leader or has no quorum.
    ReadIndexReply {
        /// The call that requested it.
        call: CallId,
        /// The position.
        index: Option<u64>,
    },
    /// A balancer subscribes to the change feed.
    Subscribe(SubscribeRequest),
    /// All that a balancer needs to begin with.
    Snapshot {
        /// The epoch of the journal.
        epoch: u64,
        /// The offset from which to go on.
        offset: u64,
        /// The encoded state of the configuration, empty where the balancer has this one or a newer
        /// one.
        state: Vec<u8>,
        /// All registrations.
        registrations: Vec<Registration>,
    },
    /// The events since then.
    Events {
        /// The offset behind them.
        offset: u64,
        /// The events.
        events: Vec<FeedEvent>,
    },
    /// The status of the machine, at regular intervals.
    MachineStatus {
        /// Whether it hears of a leader with a quorum.
        in_quorum: bool,
        /// The control machines that are alive.
        machines: Vec<MachineInfo>,
    },
    /// The balancers that share budgets; sent when they change.
    ActiveBalancers(Vec<ZoneBalancers>),
    /// A balancer's heartbeat to a monitor.
    BalancerHeartbeat(BalancerHeartbeat),
    /// What a balancer reports of upstreams to control machines near it.
    LoadReport(LoadReport),
    /// What balancers report of upstreams together, complete each time.
    FleetLoads(FleetLoads),
}

/// A balancer's request for the change feed from where it left off.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SubscribeRequest {
    /// The balancer's name.
    pub balancer: String,
    /// The epoch of the journal that it has read, or 0.
    pub epoch: u64,
    /// The offset behind the last event that it has read.
    pub offset: u64,
    /// The position up to which it has applied the configuration's log.
    pub applied_index: u64,
}

/// A heartbeat of an upstream without changes.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Renewal {
    /// The upstream's id.
    pub id: String,
    /// The sequence number of the heartbeat.
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

impl Packet {
    /// The packet as a frame.
    pub fn encode(&self) -> Vec<u8> {
        encode_frame(self)
    }

    /// The packet of a frame's header and payload.
    ///
    /// # Errors
    ///
    /// Where the frame is of another version, truncated, too long, damaged or not a packet.
    pub fn decode(header: &[u8; HEADER_BYTES], payload: &[u8]) -> Result<Self, WireError> {
        decode_split_frame(header, payload)
    }

    /// The packet of a datagram, which holds one frame.
    ///
    /// # Errors
    ///
    /// As [`decode`](Self::decode).
    pub fn decode_datagram(bytes: &[u8]) -> Result<Self, WireError> {
        decode_frame(bytes)
    }
}
