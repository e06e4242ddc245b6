//! Reads and writes packets of the internal protocol on TCP connections.

use nanoserde::DeBin;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use woadstall_control::wire::{HEADER_BYTES, Packet, decode_split_frame, payload_length};
use woadstall_socket_options::{enable_dead_peer_detection, set_nodelay};

/// A connection is closed when sent data stays unacknowledged for this long. A lost segment is
/// retransmitted within a few hundred milliseconds, even between regions.
pub(crate) const USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Connect time-out, which allows some round trips between regions. Connecting again is faster than
/// waiting for the retransmission of a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connects to another process of the system.
///
/// # Errors
///
/// Fails if the connection is refused or not established within [`CONNECT_TIMEOUT`] (`TimedOut`).
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
    set_nodelay(&stream);
    enable_dead_peer_detection(&stream, USER_TIMEOUT);
    Ok(stream)
}

/// Encodes a packet and writes its frame.
///
/// # Errors
///
/// Fails if the connection is broken.
pub(crate) async fn write_packet(
    stream: &mut (impl AsyncWriteExt + Unpin),
    packet: &Packet,
) -> io::Result<()> {
    stream.write_all(&packet.encode()).await
}

/// Reads a frame and decodes its packet.
///
/// # Errors
///
/// Fails if the connection is broken or closed (`UnexpectedEof`) or if the frame is invalid
/// (`InvalidData`).
pub(crate) async fn read_packet<T: DeBin>(
    stream: &mut (impl AsyncReadExt + Unpin),
) -> io::Result<T> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let invalid = |error| io::Error::new(ErrorKind::InvalidData, error);
    let length = payload_length(&header).map_err(invalid)?;
    let mut payload = Vec::new();
    // The buffer grows with the received data, so a false length in a header allocates no memory.
    let received = stream.take(length as u64).read_to_end(&mut payload).await?;
    if received < length {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    decode_split_frame(&header, &payload).map_err(invalid)
}
