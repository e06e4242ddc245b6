//! Frames of the internal protocol on TCP connections.

use socket2::{SockRef, TcpKeepalive};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use woadstall_control::wire::{HEAD_BYTES, Packet, payload_length};

/// How long bytes may stay unacknowledged before a connection counts as dead. A lost packet is sent again within a few
/// hundred milliseconds, also between regions.
pub const UNACKNOWLEDGED: Duration = Duration::from_millis(2_000);
/// How long a connection may take to come up: some round trips between regions. Trying again is quicker than to wait until a
/// lost opening packet is sent again.
pub const CONNECT: Duration = Duration::from_millis(500);

/// Has the kernel end a connection whose peer is silent: bytes that are not acknowledged within `unacknowledged`, or probes
/// of an idle connection that nobody answers.
pub fn detect_silence(stream: &TcpStream, unacknowledged: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacknowledged))?;
    let second = Duration::from_secs(1);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(second).with_interval(second))
}

/// Connects to another process of the system.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connected = timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    detect_silence(&stream, UNACKNOWLEDGED)?;
    Ok(stream)
}

/// Writes a packet.
pub async fn write(stream: &mut (impl AsyncWriteExt + Unpin), packet: &Packet) -> io::Result<()> {
    stream.write_all(&packet.frame()).await
}

/// Reads a packet.
pub async fn read(stream: &mut (impl AsyncReadExt + Unpin)) -> io::Result<Packet> {
    let mut head = [0; HEAD_BYTES];
    stream.read_exact(&mut head).await?;
    let invalid = |error| io::Error::new(ErrorKind::InvalidData, error);
    let length = payload_length(&head).map_err(invalid)?;
    let mut payload = Vec::new();
    // The buffer grows with what comes, not with what a head claims.
    let got = stream.take(length as u64).read_to_end(&mut payload).await?;
    if got < length {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Packet::decode(&head, &payload).map_err(invalid)
}
