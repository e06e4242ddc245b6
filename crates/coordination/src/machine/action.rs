//! What a machine asks of the process that runs it.

use super::LogEvent;
use crate::outcome::Outcome;
use crate::state::GroupEvents;
use crate::wire::Packet;
use woadstall_consensus::Record;

/// A side effect that the process has to carry out, in the order in which it is given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Keep a connection to the machine at this internal address.
    Connect {
        /// The internal address.
        address: String,
    },
    /// Close that connection.
    Disconnect {
        /// The internal address.
        address: String,
    },
    /// Send a packet over that connection, if it is up.
    Send {
        /// The internal address.
        address: String,
        /// The packet.
        packet: Packet,
    },
    /// Make a record durable, then call
    /// [`CoordinationMachine::persisted`](super::CoordinationMachine::persisted).
    Persist {
        /// The record's number.
        sequence: u64,
        /// The record.
        record: Record,
    },
    /// Respond to a call or a watch.
    Respond {
        /// The token that came with it.
        token: u64,
        /// The response.
        response: Response,
    },
    /// Write a line to the log.
    Log(LogEvent),
}

/// The response to a call or a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The call was executed.
    Executed(Outcome),
    /// The events of a watch; none if its time is over.
    Events(GroupEvents),
    /// The history does not reach back to where a watch begins.
    HistoryCompacted,
    /// The call was not executed and never will be; the caller asks another machine.
    NotExecuted,
    /// Too many calls or watches wait here; this one was not executed and never will be.
    Overloaded,
    /// It is not known whether the call was or will be executed.
    Unknown,
}
