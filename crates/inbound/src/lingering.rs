//! Lingering close.
//!
//! Closing a connection with unread bytes resets it, and the reset can discard the response before the peer has read
//! it. The sending side is therefore shut down first; incoming bytes are discarded until the peer closes its side, and
//! only then is the connection closed.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use woadstall_transport::{SharedStream, lock};

/// Time that a peer has to close its side after the local sending side is shut down. Allows for one round trip and a
/// busy peer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer that incoming bytes are discarded into.
const BUFFER_BYTES: usize = 4 << 10;

/// Connections in lingering close.
#[derive(Debug, Default)]
pub struct LingeringConnections {
    open: Mutex<OpenConnections>,
    /// Notified when a connection has been closed.
    closed: Notify,
}

#[derive(Debug, Default)]
struct OpenConnections {
    next_number: u64,
    /// Tasks by ascending number, so that the oldest connection is first.
    tasks: BTreeMap<u64, AbortHandle>,
}

impl LingeringConnections {
    /// Shuts down the sending side of a connection and closes it in a background task.
    pub fn close(self: &Arc<Self>, stream: SharedStream) {
        let mut open = lock(&self.open);
        let number = open.next_number;
        open.next_number += 1;
        let connections = self.clone();
        let task = tokio::spawn(async move {
            timeout(CLOSE_TIMEOUT, drain(&stream)).await.ok();
            drop(stream);
            lock(&connections.open).tasks.remove(&number);
            connections.closed.notify_one();
        });
        open.tasks.insert(number, task.abort_handle());
    }

    /// Closes the oldest lingering connections immediately, so that at most `limit` remain.
    pub fn keep_at_most(&self, limit: usize) {
        let mut open = lock(&self.open);
        while open.tasks.len() > limit {
            if let Some((_, oldest)) = open.tasks.pop_first() {
                oldest.abort();
            }
        }
        self.closed.notify_one();
    }

    /// Waits until no connection lingers.
    pub async fn all_closed(&self) {
        while !lock(&self.open).tasks.is_empty() {
            self.closed.notified().await;
        }
    }
}

/// Shuts down the sending side, and discards incoming bytes until the peer has closed its own sending side.
async fn drain(stream: &SharedStream) {
    if stream.shutdown_write().is_err() {
        return; // the peer has reset the connection
    }
    let mut buffer = [0; BUFFER_BYTES];
    while stream.tcp().readable().await.is_ok() {
        match stream.tcp().try_read(&mut buffer) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
