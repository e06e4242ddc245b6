//! What a replica wants its driver to do.

use crate::durable_state::Record;
use crate::entry::Entry;
use crate::message::Message;
use crate::snapshot::Snapshot;

/// An action for the driver, which carries the actions out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Make a record durable, then call
    /// [`Replica::handle_persisted`](crate::Replica::handle_persisted).
    Persist {
        /// The record's sequence number; they rise by one.
        sequence: u64,
        /// The record.
        record: Record,
    },
    /// Send a message.
    Send(Message),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state machine by a snapshot.
    Restore(Snapshot),
    /// The read may be answered from the state machine once all entries that are in the log now are
    /// applied.
    ReadReady {
        /// The identifier given to [`Replica::request_read`](crate::Replica::request_read).
        read_id: u64,
    },
    /// The read can't be answered by this replica.
    ReadFailed {
        /// The identifier given to [`Replica::request_read`](crate::Replica::request_read).
        read_id: u64,
    },
}
