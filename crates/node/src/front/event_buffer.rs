//! Splits an event stream (`text/event-stream`, WHATWG HTML 9.2) into complete events, so that a
//! stream which breaks can be resumed after the last one.

use bytes::{Bytes, BytesMut};

/// Collects the data of a stream and returns complete events.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    pending: BytesMut,
    last_id: Option<Vec<u8>>,
}

impl EventBuffer {
    /// Adds data, and returns all events that are complete now.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.pending.extend_from_slice(data);
        let Some(end) = end_of_last_event(&self.pending) else {
            return Bytes::new();
        };
        let events = self.pending.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id.to_vec());
        }
        events
    }

    /// Removes and returns the data after the last complete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// The last id among the complete events.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }
}

/// The offset after the last blank line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let newlines = bytes
        .iter()
        .enumerate()
        .rev()
        .filter(|(_, byte)| **byte == b'\n');
    for (offset, _) in newlines {
        let before = &bytes[..offset];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            return Some(offset + 1);
        }
    }
    None
}

fn last_id(events: &[u8]) -> Option<&[u8]> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))
        .map(<[u8]>::trim_ascii)
}
