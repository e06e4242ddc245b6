//! Receives heartbeats and load reports of balancers as datagrams.

use super::event::{Event, EventSender};
use super::listener::ACCEPT_RETRY_INTERVAL;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use woadstall_control::wire::Packet;

/// Size of the receive buffer. A longer datagram is truncated and then rejected by its checksum.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Receives datagrams until the process ends.
pub(super) async fn run(socket: UdpSocket, events: EventSender) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("datagram_receive_failed error={error}");
                sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
        };
        match Packet::decode_datagram(&buffer[..length]) {
            Ok(packet @ (Packet::BalancerHeartbeat(_) | Packet::LoadReport(_))) => {
                let from = from.to_string();
                if events.send(Event::Packet { from, packet }).is_err() {
                    return;
                }
            }
            Ok(_) => log::warn!(
                "datagram_rejected peer={from} error=neither a heartbeat nor a load report"
            ),
            Err(error) => log::warn!("datagram_rejected peer={from} error={error}"),
        }
    }
}
