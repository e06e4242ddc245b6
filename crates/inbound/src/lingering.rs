//! Lingering close.
//!
//! A connection that is closed while bytes of the peer are unread is reset, and the reset overtakes what was written
//! last. So the sending side is ended first, what still comes is dropped, and then the connection is closed.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use woadstall_transport::{SharedStream, lock};

/// How long a peer may take to close its side once it has seen the end of ours: a round trip, and a busy peer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes dropped at a time.
const BUFFER_BYTES: usize = 4 << 10;

/// Connections whose sending side is ended.
#[derive(Debug, Default)]
pub struct LingeringConnections {
    open: Mutex<OpenConnections>,
    /// One of them has been closed.
    closed: Notify,
}

#[derive(Debug, Default)]
struct OpenConnections {
    next_number: u64,
    /// By number, so that the oldest comes first.
    tasks: BTreeMap<u64, AbortHandle>,
}

impl LingeringConnections {
    /// Closes a connection so.
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

    /// Lets no more than `limit` linger on: the oldest beyond that are closed as they are.
    pub fn keep_at_most(&self, limit: usize) {
        let mut open = lock(&self.open);
        while open.tasks.len() > limit {
            if let Some((_, oldest)) = open.tasks.pop_first() {
                oldest.abort();
            }
        }
        self.closed.notify_one();
    }

    /// Waits until there are none.
    pub async fn all_closed(&self) {
        while !lock(&self.open).tasks.is_empty() {
            self.closed.notified().await;
        }
    }
}

/// Ends the sending side, and drops what comes until the peer has ended its own.
async fn drain(stream: &SharedStream) {
    if stream.shutdown_write().is_err() {
        return; // the peer has reset it
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
