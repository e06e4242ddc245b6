//! The queue of a stream's data between the task that reads the upstream and the connection to the client.

use bytes::Bytes;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::mpsc;
use woadstall_inbound::{BodyBudget, BodyMemory};

/// Maximum number of chunks queued for a client.
const MAX_QUEUED_CHUNKS: usize = 16;

/// The client of a stream has disconnected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("client disconnected")]
pub(super) struct ClientDisconnected;

/// The sending side of the queue. The data that waits for all clients together is limited by a budget: once it is
/// exhausted, each queue holds one chunk only.
pub(super) struct ClientQueue {
    chunks: mpsc::Sender<io::Result<Bytes>>,
    budget: Arc<BodyBudget>,
}

impl ClientQueue {
    /// Creates an empty queue.
    pub fn new(budget: &Arc<BodyBudget>) -> (Self, mpsc::Receiver<io::Result<Bytes>>) {
        let (chunks, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let queue = Self {
            chunks,
            budget: budget.clone(),
        };
        (queue, receiver)
    }

    /// Waits until the client has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Queues data, and waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Fails if the client has disconnected.
    pub async fn send(&self, data: Bytes) -> Result<(), ClientDisconnected> {
        let mut memory = BodyMemory::new(&self.budget);
        if memory.reserve(data.len()) {
            let chunk = Ok(memory.attach(data));
            return self
                .chunks
                .send(chunk)
                .await
                .map_err(|_| ClientDisconnected);
        }
        let permits = self.chunks.reserve_many(MAX_QUEUED_CHUNKS).await;
        let mut permits = permits.map_err(|_| ClientDisconnected)?;
        if let Some(permit) = permits.next() {
            permit.send(Ok(data));
        }
        Ok(())
    }

    /// Ends the stream with an error, which closes the client's connection.
    pub async fn fail(&self, kind: ErrorKind) {
        self.chunks.send(Err(kind.into())).await.ok();
    }
}

#[cfg(test)]
mod tests;
