//! The actions that a replica requests from its driver.

use crate::durable_state::Record;
use crate::entry::Entry;
use crate::message::Message;
use crate::snapshot::Snapshot;

/// An action that a replica requests from its driver. The driver performs the actions in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Make a record durable, then call
    /// [`Replica::handle_persisted`](crate::Replica::handle_persisted).
    Persist {
        /// The sequence number of the record. The sequence numbers of consecutive records rise by
        /// one.
        sequence: u64,
        /// The change of the durable state.
        record: Record,
    },
    /// Send a message to another replica. The message may be lost, delayed or duplicated.
    Send(Message),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state of the state machine by a snapshot.
    Restore(Snapshot),
    /// The read may be answered from the state machine once all entries that are now in the log
    /// are applied.
    ReadReady {
        /// The identifier given to [`Replica::request_read`](crate::Replica::request_read).
        read_id: u64,
    },
    /// This replica can't answer the read, because it is not the leader or has not committed an
    /// entry of its term.
    ReadFailed {
        /// The identifier given to [`Replica::request_read`](crate::Replica::request_read).
        read_id: u64,
    },
}
