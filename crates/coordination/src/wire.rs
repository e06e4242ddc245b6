//! Packets that the machines of the group exchange, in `nanoserde` binary. The wire format depends
//! on the order of the variants and of their fields.

use crate::batch::{BatchedCall, CallId};
use nanoserde::{DeBin, SerBin};
use woadstall_consensus::{DurableReport, LeaderTime, Member, Message, ReplicaId};

/// The identity and the location of a machine of the group.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct MachineInfo {
    /// The replica's identifier and the machine's internal address.
    pub member: Member,
    /// The availability zone of the machine.
    pub zone: String,
    /// The region of the machine.
    pub region: String,
}

/// A call forwarded to the leader.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ForwardedCall {
    /// The call with its identifier.
    pub call: BatchedCall,
    /// The latest time, by the leader's clock, at which the leader may propose the call.
    pub deadline: LeaderTime,
}

/// A packet from one machine to another.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Packet {
    /// Introduces the sender. Sent when a connection is established and repeated periodically.
    Hello(MachineInfo),
    /// A consensus message.
    Consensus {
        /// The message for the replica.
        message: Message,
        /// The sender's clock in milliseconds at the time of sending.
        clock: u64,
    },
    /// Asks to add the sender's replica to the group.
    JoinRequest(Member),
    /// Announces that the process of a replica is about to stop.
    ReplicaStopping(ReplicaId),
    /// Forwards calls to the leader.
    Calls(Vec<ForwardedCall>),
    /// Rejects forwarded calls that the sender has not proposed and never will propose.
    RejectedCalls(Vec<CallId>),
    /// Reports which voters have persisted the newest entries. The leader sends it to the voters
    /// that are not in the report.
    DurableReport {
        /// The replica of the leader.
        from: ReplicaId,
        /// The persisted entries and the voters that have persisted them.
        report: DurableReport,
    },
}
