//! Reads bodies into memory within a [`BodyBudget`].

use crate::{BodyBudget, BodyMemory};
use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use std::sync::Arc;
use thiserror::Error;

/// Failure to read a body.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ReadBodyError {
    /// The body exceeds the size limit for one body.
    #[error("body too large")]
    TooLarge,
    /// The connection broke, or the framing of the body is invalid.
    #[error("body incomplete or malformed")]
    Broken,
    /// The bodies of all requests together would exceed their budget.
    #[error("memory for bodies exhausted")]
    OutOfMemory,
}

/// Reads a body of at most `max_bytes` to its end. The memory of the returned value stays reserved in `budget` until its
/// last clone is dropped.
///
/// # Errors
///
/// Fails if the body is broken or too large, or if the budget is exhausted. The rest of the body is then not read.
pub async fn read_body<B>(
    mut body: B,
    max_bytes: usize,
    budget: &Arc<BodyBudget>,
) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let size = body.size_hint();
    if size.lower() > max_bytes as u64 {
        return Err(ReadBodyError::TooLarge);
    }
    let mut buffer = BodyBuffer::new(budget);
    if let Some(size) = size.exact() {
        buffer.reserve_exact(usize::try_from(size).map_err(|_| ReadBodyError::TooLarge)?)?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadBodyError::Broken)?;
        // Trailers apply to this connection only.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(ReadBodyError::TooLarge);
        }
        buffer.push(&data)?;
    }
    Ok(buffer.into_bytes())
}

/// A body that is being received, with the reservation of its memory.
pub struct BodyBuffer {
    received: BytesMut,
    memory: BodyMemory,
}

impl BodyBuffer {
    /// Creates an empty buffer.
    pub fn new(budget: &Arc<BodyBudget>) -> Self {
        Self {
            received: BytesMut::new(),
            memory: BodyMemory::new(budget),
        }
    }

    /// Number of bytes received.
    pub fn len(&self) -> usize {
        self.received.len()
    }

    /// Whether nothing has been received.
    pub fn is_empty(&self) -> bool {
        self.received.is_empty()
    }

    /// Reserves the memory of a body whose size is known before any of it is received.
    ///
    /// # Errors
    ///
    /// Fails if the budget is exhausted.
    pub fn reserve_exact(&mut self, bytes: usize) -> Result<(), ReadBodyError> {
        if !self.memory.reserve(bytes) {
            return Err(ReadBodyError::OutOfMemory);
        }
        // The system allocates physical memory only for pages that are written.
        self.received.reserve(bytes);
        Ok(())
    }

    /// Appends data.
    ///
    /// # Errors
    ///
    /// Fails, without appending, if the budget is exhausted.
    pub fn push(&mut self, data: &[u8]) -> Result<(), ReadBodyError> {
        let missing = (self.len() + data.len()).saturating_sub(self.memory.bytes());
        // The reservation doubles like the capacity of the growing buffer.
        if missing > 0 && !self.memory.reserve(missing.max(self.memory.bytes())) {
            return Err(ReadBodyError::OutOfMemory);
        }
        self.received.extend_from_slice(data);
        Ok(())
    }

    /// Returns the received bytes. Their memory stays reserved until the last clone of the value is dropped.
    pub fn into_bytes(self) -> Bytes {
        let Self {
            received,
            mut memory,
        } = self;
        let mut received = Vec::from(received);
        received.shrink_to_fit();
        memory.shrink_to(received.len());
        memory.attach(Bytes::from(received))
    }
}
