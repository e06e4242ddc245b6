//! Accepts connections from other machines of the coordination group.

use super::event::{Event, EventSender};
use crate::core::listener::{accept_connections, read_first_packet};
use crate::packet_stream::read_packet;
use std::io::{self, ErrorKind};
use tokio::net::{TcpListener, TcpStream};
use woadstall_coordination::wire::Packet;

/// Accepts connections until the process ends.
pub(super) async fn run(listener: TcpListener, events: EventSender) {
    accept_connections(listener, |_, stream| serve_peer(stream, events.clone())).await;
}

/// Receives the packets of a peer. The first packet of the connection must identify the peer.
async fn serve_peer(mut stream: TcpStream, events: EventSender) -> io::Result<()> {
    let mut packet = read_first_packet(&mut stream).await?;
    let Packet::Hello(machine) = &packet else {
        let message = "first packet is not Hello";
        return Err(io::Error::new(ErrorKind::InvalidData, message));
    };
    let peer = machine.member.address.clone();
    loop {
        let from = peer.clone();
        if events.send(Event::Packet { from, packet }).is_err() {
            return Ok(());
        }
        packet = read_packet(&mut stream).await?;
    }
}
