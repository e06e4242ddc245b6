//! Streams for messages that exceed a datagram or need reliable delivery, and connection checks. A
//! stream carries frames in one direction; each frame follows its length in four bytes in network
//! byte order.

use crate::shared::Shared;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use woadstall_membership::message::MAX_MESSAGE_BYTES;
use woadstall_message_auth::OVERHEAD_BYTES;

/// Maximum duration of a stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of simultaneous outgoing streams.
const MAX_OUTGOING: usize = 8;
/// Maximum number of queued outgoing streams.
pub const OUTGOING_QUEUE: usize = 128;
/// Maximum number of simultaneous incoming streams. Further streams are rejected; their senders
/// retry with the next anti-entropy exchange.
const MAX_INCOMING: usize = 16;
/// Maximum number of frames per stream.
const MAX_FRAMES: usize = 16;
/// Delay after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A frame to send on a new stream, or a connection check.
pub struct OutgoingStream {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Frame to send; empty for a connection check.
    pub frame: Vec<u8>,
}

impl OutgoingStream {
    /// Creates a connection check, which only determines whether a process listens at the address.
    pub fn connection_check(to: SocketAddr) -> Self {
        let frame = Vec::new();
        Self { to, frame }
    }
}

/// Opens the queued streams until the queue is closed. All streams originate from the address at
/// which the member listens.
pub async fn send_streams(
    shared: Arc<Shared>,
    mut queue: mpsc::Receiver<OutgoingStream>,
    local: IpAddr,
) {
    let permits = Arc::new(Semaphore::new(MAX_OUTGOING));
    let mut streams = JoinSet::new();
    while let Some(stream) = queue.recv().await {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let shared = shared.clone();
        streams.spawn(async move {
            let _permit = permit;
            // A refused connection is the host's own answer that no process listens.
            if let Ok(Err(error)) = timeout(STREAM_TIMEOUT, send_stream(&stream, local)).await
                && error.kind() == io::ErrorKind::ConnectionRefused
            {
                shared.report_connection_refused(stream.to);
            }
        });
        while streams.try_join_next().is_some() {}
    }
}

async fn send_stream(stream: &OutgoingStream, local: IpAddr) -> io::Result<()> {
    let socket = match stream.to.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    if !local.is_unspecified() && local.is_ipv4() == stream.to.is_ipv4() {
        socket.bind(SocketAddr::new(local, 0))?;
    }
    let mut connection = socket.connect(stream.to).await?;
    if stream.frame.is_empty() {
        return Ok(());
    }
    let length = stream.frame.len() as u32;
    connection.write_all(&length.to_be_bytes()).await?;
    connection.write_all(&stream.frame).await?;
    connection.shutdown().await?;
    // The receiver closes the stream after it has read all frames. A reset by the sender before
    // that would lose data in flight.
    connection.read(&mut [0]).await.map(|_| ())
}

/// Accepts streams until the task is aborted.
pub async fn accept_streams(shared: Arc<Shared>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_INCOMING));
    let mut streams = JoinSet::new();
    loop {
        while streams.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            shared.endpoint().rejections.streams_rejected += 1;
            continue;
        };
        let shared = shared.clone();
        streams.spawn(async move {
            let _permit = permit;
            timeout(STREAM_TIMEOUT, receive_stream(&shared, stream))
                .await
                .ok();
        });
    }
}

async fn receive_stream(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    for _ in 0..MAX_FRAMES {
        let mut length = [0; 4];
        stream.read_exact(&mut length).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length > MAX_MESSAGE_BYTES + OVERHEAD_BYTES {
            shared.endpoint().rejections.malformed += 1;
            return Ok(());
        }
        // Memory is allocated only for received bytes, whatever the announced length.
        let mut frame = Vec::new();
        (&mut stream)
            .take(length as u64)
            .read_to_end(&mut frame)
            .await?;
        while let Some(wait) = shared.receive_wait() {
            sleep(wait).await;
        }
        if frame.len() == length {
            let started_at = Instant::now();
            let mut endpoint = shared.receive(&frame);
            endpoint.receive_budget.spend(started_at.elapsed());
        }
        shared.notify_driver();
    }
    Ok(())
}
