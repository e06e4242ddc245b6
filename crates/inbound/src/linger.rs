//! Lingering close: a connection that is closed while bytes of the peer are unread is reset, and the reset overtakes
//! what was written last. So the sending side is ended first, what still comes is dropped, and then it is closed.

use crate::gate::lock;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use woadstall_transport::SharedStream;

/// How long a peer may take to close its side once it has seen the end of ours: a round trip, and a busy peer.
const PATIENCE: Duration = Duration::from_secs(1);
/// Bytes dropped at a time.
const BUFFER: usize = 4 << 10;

/// Connections whose sending side is ended.
#[derive(Debug, Default)]
pub struct Lingering {
    open: Mutex<Open>,
    /// One of them has been closed.
    closed: Notify,
}

#[derive(Debug, Default)]
struct Open {
    next: u64,
    tasks: BTreeMap<u64, AbortHandle>,
}

impl Lingering {
    /// Closes a connection so.
    pub fn close(self: &Arc<Self>, stream: SharedStream) {
        let mut open = lock(&self.open);
        let number = open.next;
        open.next += 1;
        let lingering = self.clone();
        let task = tokio::spawn(async move {
            timeout(PATIENCE, drop_rest(&stream)).await.ok();
            drop(stream);
            lock(&lingering.open).tasks.remove(&number);
            lingering.closed.notify_one();
        });
        open.tasks.insert(number, task.abort_handle());
    }

    /// Lets no more than this linger on: the oldest beyond that are closed as they are.
    pub fn keep(&self, most: usize) {
        let mut open = lock(&self.open);
        while open.tasks.len() > most {
            open.tasks
                .pop_first()
                .into_iter()
                .for_each(|(_, oldest)| oldest.abort());
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
async fn drop_rest(stream: &SharedStream) {
    if stream.shutdown_write().is_err() {
        return; // the peer has reset it
    }
    let mut buffer = [0; BUFFER];
    while stream.tcp().readable().await.is_ok() {
        match stream.tcp().try_read(&mut buffer) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
