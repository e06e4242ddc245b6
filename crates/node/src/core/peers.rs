//! Outgoing connections to other core machines. Each direction of a pair of machines has a
//! connection of its own: a machine sends on those that it has opened.

use super::frame_queue::{FrameReceiver, FrameSender, frame_queue};
use crate::packet_stream;
use bytes::Bytes;
use std::collections::HashMap;
use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Limits of a peer's queue. Beyond them its connection is replaced, and the machine repeats what
/// may have been lost. A frame may be as large as a configuration.
const MAX_QUEUED_FRAMES: usize = 4_096;
const MAX_QUEUED_BYTES: usize = 8 << 20;
/// Time between attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes in one write. A large frame may take longer than [`WRITE_TIMEOUT`], as long as its peer
/// keeps reading.
const WRITE_CHUNK_BYTES: usize = 64 << 10;
/// How long one write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Is called with a peer's address whenever a connection to it is established. Returns whether
/// anybody is still interested.
type ConnectedCallback = Arc<dyn Fn(String) -> bool + Send + Sync>;

/// The connections, by the peers' internal addresses.
pub(super) struct Peers {
    on_connected: ConnectedCallback,
    queues: HashMap<String, FrameSender>,
}

impl fmt::Debug for Peers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("Peers");
        shown.field("queues", &self.queues).finish_non_exhaustive()
    }
}

impl Peers {
    /// No connection yet. `on_connected` is called with a peer's address whenever a connection to
    /// it is established; it returns whether anybody is still interested.
    pub fn new(on_connected: impl Fn(String) -> bool + Send + Sync + 'static) -> Self {
        Self {
            on_connected: Arc::new(on_connected),
            queues: HashMap::new(),
        }
    }

    /// Connects to a machine, and again whenever the connection is lost, until
    /// [`Self::disconnect`]. Replaces a previous connection to it.
    pub fn connect(&mut self, address: String) {
        let Ok(socket_address) = address.parse::<SocketAddr>() else {
            log::warn!("peer_address_invalid peer={address:?}");
            return;
        };
        let (sender, frames) = frame_queue(MAX_QUEUED_FRAMES, MAX_QUEUED_BYTES);
        self.queues.insert(address.clone(), sender);
        tokio::spawn(keep_connected(
            address,
            socket_address,
            frames,
            self.on_connected.clone(),
        ));
    }

    /// Closes the connection to a machine.
    pub fn disconnect(&mut self, address: &str) {
        self.queues.remove(address);
    }

    /// Queues a frame for a machine, if it has a connection. A full queue is dropped with its
    /// connection, and a new one begins.
    pub fn send(&mut self, address: &str, frame: impl FnOnce() -> Bytes) {
        let Some(queue) = self.queues.get(address) else {
            return;
        };
        if let Err(error) = queue.send(frame()) {
            log::warn!("peer_reconnecting peer={address} error={error}");
            self.connect(address.to_owned());
        }
    }
}

async fn keep_connected(
    address: String,
    socket_address: SocketAddr,
    mut frames: FrameReceiver,
    on_connected: ConnectedCallback,
) {
    loop {
        if let Ok(mut stream) = packet_stream::connect(socket_address).await {
            // Frames for the previous connection: the machine repeats what matters.
            frames.clear();
            if !on_connected(address.clone()) {
                return;
            }
            if let Err(error) = write_frames(&mut stream, &mut frames).await {
                log::info!("peer_disconnected peer={address} error={error}");
            }
        }
        sleep(RECONNECT_INTERVAL).await;
        frames.clear();
        if frames.is_closed() {
            return;
        }
    }
}

/// Writes frames until the queue is closed.
///
/// # Errors
///
/// The connection is broken, the peer closes it, or a write takes longer than [`WRITE_TIMEOUT`].
pub(super) async fn write_frames(
    stream: &mut TcpStream,
    frames: &mut FrameReceiver,
) -> io::Result<()> {
    let (mut read, mut write) = stream.split();
    let mut buffer = [0; 1];
    loop {
        tokio::select! {
            frame = frames.receive() => {
                let Some(frame) = frame else { return Ok(()) };
                for chunk in frame.chunks(WRITE_CHUNK_BYTES) {
                    timeout(WRITE_TIMEOUT, write.write_all(chunk)).await??;
                }
            }
            // The peer sends nothing on this connection: whatever can be read is its end.
            result = read.read(&mut buffer) => {
                return result.and_then(|_| Err(ErrorKind::ConnectionReset.into()));
            }
        }
    }
}
