//! Side effects that a control machine requests from its host process.

use super::LogEvent;
use crate::wire::Packet;
use woadstall_consensus::Record;

/// A side effect for the host process. Actions must be carried out in the order in which they are
/// returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a connection to another control machine and keep it open.
    Connect {
        /// The internal address.
        address: String,
    },
    /// Close the connection to another control machine.
    Disconnect {
        /// The internal address.
        address: String,
    },
    /// Send a packet to another control machine. The packet is dropped if the connection is down.
    Send {
        /// The internal address.
        address: String,
        /// The packet.
        packet: Packet,
    },
    /// Write a record of the replicated log to stable storage, then call
    /// [`ControlMachine::persisted`](super::ControlMachine::persisted).
    Persist {
        /// The sequence number to pass to `persisted`.
        sequence: u64,
        /// The log record to write.
        record: Record,
    },
    /// Write all registrations to disk, then call
    /// [`ControlMachine::registrations_persisted`](super::ControlMachine::registrations_persisted).
    PersistRegistrations {
        /// The number of the request. Requests are numbered in ascending order, and completing one
        /// also completes all requests with lower numbers.
        number: u64,
    },
    /// Send the response to a call.
    Respond {
        /// The token that the host process passed with the call.
        token: u64,
        /// The response to send.
        response: CallResponse,
    },
    /// Send a packet to balancers that are subscribed to the feed of this machine.
    Deliver {
        /// The numbers of the balancers' connections, as passed to `subscribe`.
        subscribers: Vec<u64>,
        /// The packet.
        packet: Packet,
    },
    /// Write an event to the process's log.
    Log(LogEvent),
}

/// The response to a call from an operator or an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResponse {
    /// The call took effect and satisfies its durability guarantee: a committed command, or a drain
    /// or deregistration on the disks of a quorum. A ready heartbeat is acknowledged without
    /// replication.
    Acknowledged,
    /// The change is based on a generation of the configuration that is not the current one.
    Conflict {
        /// The generation of the configuration in force.
        current: u64,
    },
    /// The change results in an invalid configuration.
    Invalid {
        /// All findings, one per line.
        findings: String,
    },
    /// The configuration in force, as JSON.
    Document(Vec<u8>),
    /// The outcome of the call is unknown, or no configuration exists yet. The caller should retry.
    Indeterminate,
}
