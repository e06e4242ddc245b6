//! What a front keeps of a resumable stream, so that another upstream can continue it.

use super::event_buffer::EventBuffer;
use super::memory::MemoryBudgets;
use bytes::Bytes;
use std::fmt;
use woadstall_inbound::BodyMemory;

/// Maximum number of bytes of an incomplete event that are buffered.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The events of a resumable stream, and the memory reserved for the body of its request.
pub(super) struct Resumption {
    pub events: EventBuffer,
    /// Reservation for the request body, which is sent again.
    _body: BodyMemory,
}

/// Reason why a resumable stream is not resumed if it breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotResumable {
    /// The request bodies that are kept for other streams leave no memory for this one.
    BodyMemory,
    /// An event of the stream is larger than [`MAX_EVENT_BYTES`].
    EventSize,
}

impl fmt::Display for NotResumable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::BodyMemory => "body_memory",
            Self::EventSize => "event_size",
        })
    }
}

impl Resumption {
    /// Reserves the memory that a stream with this request body needs to be resumed.
    ///
    /// # Errors
    ///
    /// Fails if the memory for resumable streams is exhausted.
    pub fn new(budgets: &MemoryBudgets, body: &Bytes) -> Result<Self, NotResumable> {
        let mut memory = BodyMemory::new(&budgets.resumable_streams);
        if !memory.reserve(body.len()) {
            return Err(NotResumable::BodyMemory);
        }
        Ok(Self {
            events: EventBuffer::default(),
            _body: memory,
        })
    }

    /// Appends data of the stream and returns the events that it completes. If the last event grows too large, returns all
    /// data that has not been returned before, as an error.
    ///
    /// # Errors
    ///
    /// Fails if more than [`MAX_EVENT_BYTES`] bytes of an event have arrived.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, Bytes> {
        let events = self.events.push(data);
        if self.events.incomplete_bytes() <= MAX_EVENT_BYTES {
            return Ok(events);
        }
        Err([events, self.events.take_incomplete()].concat().into())
    }
}
