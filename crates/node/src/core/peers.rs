//! Outgoing connections to other core machines. Two machines use one connection for each direction:
//! a machine sends only on connections that it has opened.

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

/// Maximum number of frames in a peer's queue. If a queue limit is exceeded, the connection is
/// replaced and the machine repeats the packets that may have been lost.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Maximum size of a peer's queue. One frame may be as large as a configuration.
const MAX_QUEUED_BYTES: usize = 8 << 20;
/// Pause between attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Size of one write. Frames are written in chunks, so that a large frame may take longer than
/// [`WRITE_TIMEOUT`] as long as the peer keeps reading.
const WRITE_CHUNK_BYTES: usize = 64 << 10;
/// Maximum duration of one write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Callback that is invoked with the address of a peer whenever a connection to the peer is
/// established. Returns false if the event queue is closed; the connection is then abandoned.
type ConnectedCallback = Arc<dyn Fn(String) -> bool + Send + Sync>;

/// Outgoing connections, by the internal addresses of the peers.
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
    /// Creates an empty set of connections. `on_connected` is called with the address of a peer
    /// whenever a connection to the peer is established; if it returns false, the connection is
    /// abandoned.
    pub fn new(on_connected: impl Fn(String) -> bool + Send + Sync + 'static) -> Self {
        Self {
            on_connected: Arc::new(on_connected),
            queues: HashMap::new(),
        }
    }

    /// Connects to a machine, replacing any previous connection. A lost connection is
    /// re-established until [`Self::disconnect`] is called.
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

    /// Queues a frame for a machine if [`Self::connect`] was called for it. If the queue is full,
    /// the queue and its connection are dropped and a new connection is opened.
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
            // Frames queued for the previous connection are dropped; the machine repeats packets
            // that still matter.
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
/// Fails if the connection breaks, if the peer closes it, or if a write takes longer than
/// [`WRITE_TIMEOUT`].
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
            // Peers never send on this connection, so a completed read means that it was closed.
            result = read.read(&mut buffer) => {
                return result.and_then(|_| Err(ErrorKind::ConnectionReset.into()));
            }
        }
    }
}
