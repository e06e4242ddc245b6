//! What the machines of the group send each other, in `nanoserde` binary. The order of the variants
//! and of their fields is the wire format.

use crate::batch::{BatchedCall, CallId};
use nanoserde::{DeBin, SerBin};
use woadstall_consensus::{DurableReport, LeaderTime, Member, Message, ReplicaId};

/// A machine of the group.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct MachineInfo {
    /// Its replica's identity and its internal address.
    pub member: Member,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// A call that is forwarded to the leader.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ForwardedCall {
    /// The call.
    pub call: BatchedCall,
    /// Until when the leader may propose it.
    pub deadline: LeaderTime,
}

/// A message from one machine to another.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Packet {
    /// Begins a connection, and is repeated on it.
    Hello(MachineInfo),
    /// A message of the replicated log.
    Consensus {
        /// The message.
        message: Message,
        /// The sender's clock in milliseconds.
        clock: u64,
    },
    /// A replica asks to become a member.
    JoinRequest(Member),
    /// A replica's process is about to end.
    ReplicaStopping(ReplicaId),
    /// Calls for the leader.
    Calls(Vec<ForwardedCall>),
    /// Calls that the sender has not proposed and never will.
    RejectedCalls(Vec<CallId>),
    /// The leader's report to the voters that lack entries which others hold durably.
    DurableReport {
        /// The leader's replica.
        from: ReplicaId,
        /// The report.
        report: DurableReport,
    },
}
