//! Side effects that a machine requests from the process that runs it.

use super::LogEvent;
use crate::outcome::Outcome;
use crate::state::GroupEvents;
use crate::wire::Packet;
use woadstall_consensus::Record;

/// A side effect for the process to perform. Actions are performed in the order in which the
/// machine issues them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open and maintain a connection to a machine.
    Connect {
        /// The internal address of the machine.
        address: String,
    },
    /// Close the connection to a machine.
    Disconnect {
        /// The internal address of the machine.
        address: String,
    },
    /// Send a packet to a machine. The packet is dropped if the connection is down.
    Send {
        /// The internal address of the machine.
        address: String,
        /// The packet to send.
        packet: Packet,
    },
    /// Make a record durable, then call
    /// [`CoordinationMachine::persisted`](super::CoordinationMachine::persisted).
    Persist {
        /// The sequence number that the process reports as durable.
        sequence: u64,
        /// The record to write.
        record: Record,
    },
    /// Respond to a call or a watch.
    Respond {
        /// The token that was submitted with the call or the watch.
        token: u64,
        /// The response for the client.
        response: Response,
    },
    /// Write an event to the process log.
    Log(LogEvent),
}

/// The response to a call or a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The call was executed with this outcome.
    Executed(Outcome),
    /// The events of a watch. The list is empty if the watch timed out without an event or asked
    /// for the revision only.
    Events(GroupEvents),
    /// The history no longer contains the revision at which a watch starts, or the group never had
    /// that revision.
    HistoryCompacted,
    /// The call was not executed and never will be. The caller can retry on another machine.
    NotExecuted,
    /// Too many calls or watches are pending on this machine. The call was not executed and never
    /// will be.
    Overloaded,
    /// The outcome is unknown: the call may have been executed or may still be executed.
    Unknown,
}
