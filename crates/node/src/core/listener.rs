//! Accepts internal connections from other core machines, which send packets, and from balancers,
//! which subscribe to the change feed.

use super::event::{Event, EventSender};
use super::frame_queue::frame_queue;
use super::peers::write_frames;
use crate::packet_stream::{self, read_packet};
use nanoserde::DeBin;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use woadstall_control::wire::{Packet, SubscribeRequest};
use woadstall_socket_options::{enable_dead_peer_detection, set_nodelay};

/// Maximum number of frames in a subscriber's queue.
const MAX_QUEUED_FRAMES: usize = 512;
/// Maximum size of a subscriber's queue.
const MAX_QUEUED_BYTES: usize = 8 << 20;
/// Time within which a new connection must deliver its first packet.
const FIRST_PACKET_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a failed accept, for example when no file descriptors are left.
pub(super) const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts connections of core machines and subscribers until the process ends.
pub(super) async fn run(listener: TcpListener, events: EventSender) {
    accept_connections(listener, |connection_number, stream| {
        serve_connection(connection_number, stream, events.clone())
    })
    .await;
}

/// Accepts connections until the process ends. Each connection gets a number and is served by a
/// separate task. Connections that end because of an invalid packet are logged.
pub(super) async fn accept_connections<F>(
    listener: TcpListener,
    serve: impl Fn(u64, TcpStream) -> F,
) where
    F: Future<Output = io::Result<()>> + Send + 'static,
{
    for connection_number in 1.. {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(log_invalid_packets(serve(connection_number, stream)));
            }
            Err(error) => {
                log::warn!("accept_failed error={error}");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn log_invalid_packets(connection: impl Future<Output = io::Result<()>>) {
    if let Err(error) = connection.await
        && error.kind() == ErrorKind::InvalidData
    {
        log::warn!("connection_rejected error={error}");
    }
}

/// Reads the first packet of a new connection, which identifies the peer.
pub(super) async fn read_first_packet<T: DeBin>(stream: &mut TcpStream) -> io::Result<T> {
    set_nodelay(stream);
    enable_dead_peer_detection(stream, packet_stream::USER_TIMEOUT);
    timeout(FIRST_PACKET_TIMEOUT, read_packet(stream)).await?
}

/// Serves the connection of a core machine or of a subscribing balancer.
async fn serve_connection(
    connection_number: u64,
    mut stream: TcpStream,
    events: EventSender,
) -> io::Result<()> {
    let first_packet = read_first_packet(&mut stream).await?;
    match first_packet {
        Packet::Hello { ref machine, .. } => {
            let peer = machine.member.address.clone();
            receive_packets(peer, first_packet, &mut stream, &events).await
        }
        Packet::Subscribe(request) => {
            serve_subscriber(connection_number, request, &mut stream, &events).await
        }
        _ => Err(io::Error::new(
            ErrorKind::InvalidData,
            "first packet is neither Hello nor Subscribe",
        )),
    }
}

async fn receive_packets(
    peer: String,
    first_packet: Packet,
    stream: &mut TcpStream,
    events: &EventSender,
) -> io::Result<()> {
    let mut packet = first_packet;
    loop {
        let from = peer.clone();
        if events.send(Event::Packet { from, packet }).is_err() {
            return Ok(());
        }
        packet = read_packet(stream).await?;
    }
}

async fn serve_subscriber(
    connection_number: u64,
    request: SubscribeRequest,
    stream: &mut TcpStream,
    events: &EventSender,
) -> io::Result<()> {
    let (queue, mut frames) = frame_queue(MAX_QUEUED_FRAMES, MAX_QUEUED_BYTES);
    let subscribe = Event::Subscribe {
        subscriber: connection_number,
        request,
        queue,
    };
    events.send(subscribe).ok();
    let result = write_frames(stream, &mut frames).await;
    events.send(Event::Unsubscribe(connection_number)).ok();
    result
}
