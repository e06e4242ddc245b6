//! Connections of other machines of the group.

use super::event::{Event, EventSender};
use crate::core::listener::{accept_connections, read_first_packet};
use crate::packet_stream::read_packet;
use std::io::{self, ErrorKind};
use tokio::net::{TcpListener, TcpStream};
use woadstall_coordination::wire::Packet;

/// Accepts connections, for as long as the process runs.
pub(super) async fn run(listener: TcpListener, events: EventSender) {
    accept_connections(listener, |_, stream| serve_peer(stream, events.clone())).await;
}

/// The first packet of a connection tells who its peer is.
async fn serve_peer(mut stream: TcpStream, events: EventSender) -> io::Result<()> {
    let mut packet = read_first_packet(&mut stream).await?;
    let Packet::Hello(machine) = &packet else {
        let message = "a connection that begins without a hello";
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
