//! Events of a stream: whole ones are told from one that was cut off.

use bytes::{Bytes, BytesMut};

/// Collects the bytes of a stream and hands out whole events.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    pending: BytesMut,
    last_id: Option<Vec<u8>>,
}

impl EventBuffer {
    /// Takes bytes in; gives all whole events that are there now.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.pending.extend_from_slice(data);
        let Some(end) = end_of_last_event(&self.pending) else {
            return Bytes::new();
        };
        let whole = self.pending.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id.to_vec());
        }
        whole
    }

    /// What has come behind the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }
}

/// The position behind the last blank line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let newlines = bytes
        .iter()
        .enumerate()
        .rev()
        .filter(|(_, byte)| **byte == b'\n');
    for (position, _) in newlines {
        let before = &bytes[..position];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            return Some(position + 1);
        }
    }
    None
}

fn last_id(events: &[u8]) -> Option<&[u8]> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.map(|id| id.trim_ascii()).next()
}
