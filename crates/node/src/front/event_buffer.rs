//! Splits an event stream (`text/event-stream`, WHATWG HTML 9.2) into complete events, so that a
//! broken stream can be resumed after the last complete event.

use bytes::{Bytes, BytesMut};

/// Buffers the data of an event stream and returns complete events.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    pending: BytesMut,
    last_id: Option<Vec<u8>>,
}

impl EventBuffer {
    /// Appends data and returns all events that it completes.
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

    /// Number of bytes after the last complete event.
    pub fn incomplete_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Removes and returns the data after the last complete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Returns the id of the last complete event that has an id.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }
}

/// Returns the offset after the last blank line, which ends an event.
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
