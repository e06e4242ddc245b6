//! Connections between the system's processes, as a core process has them: it dials each other machine to send, and takes
//! the connections of machines and balancers.

use super::{Event, Events};
use crate::link;
use bytes::Bytes;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use woadstall_control::wire::Packet;

/// Packets that wait for a link at most; beyond that the link is made anew, and its peer told what it may have missed.
const QUEUE: usize = 4_096;
/// Packets that wait for a balancer at most.
const FEED_QUEUE: usize = 512;
/// Wait before a link is tried again.
const RECONNECT: Duration = Duration::from_millis(250);
/// How long a write may take.
const WRITE: Duration = Duration::from_secs(3);
/// How long a new connection may take for its first packet.
const FIRST_PACKET: Duration = Duration::from_secs(3);
/// Bytes of a datagram at most.
const DATAGRAM: usize = 2_048;
/// Wait after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The links to other machines.
#[derive(Debug)]
pub(super) struct Links {
    events: Events,
    queues: HashMap<String, mpsc::Sender<Bytes>>,
}

impl Links {
    /// No link yet.
    pub fn new(events: Events) -> Self {
        Self { events, queues: HashMap::new() }
    }

    /// Keeps a link to a machine.
    pub fn keep(&mut self, address: String) {
        let Ok(parsed) = address.parse::<SocketAddr>() else {
            log::warn!("{address:?} is no address of a machine");
            return;
        };
        let (queue, packets) = mpsc::channel(QUEUE);
        self.queues.insert(address.clone(), queue);
        tokio::spawn(keep_link(address, parsed, packets, self.events.clone()));
    }

    /// Keeps a link no longer.
    pub fn drop(&mut self, address: &str) {
        self.queues.remove(address);
    }

    /// Sends a packet, if there is a link with room.
    pub fn send(&self, address: &str, packet: Packet) {
        if let Some(queue) = self.queues.get(address) {
            queue.try_send(packet.frame().into()).ok();
        }
    }
}

async fn keep_link(address: String, socket: SocketAddr, mut packets: mpsc::Receiver<Bytes>, events: Events) {
    loop {
        if let Ok(mut stream) = link::connect(socket).await {
            while packets.try_recv().is_ok() {} // meant for the former link: what matters is told anew
            if events.send(Event::LinkUp(address.clone())).is_err() {
                return;
            }
            let ended = pass_on(&mut stream, &mut packets).await;
            if let Err(error) = ended {
                log::info!("link lost peer={address}: {error}");
            }
        }
        sleep(RECONNECT).await;
        while packets.try_recv().is_ok() {}
        if packets.is_closed() {
            return;
        }
    }
}

/// Writes packets until the connection ends.
async fn pass_on(stream: &mut TcpStream, packets: &mut mpsc::Receiver<Bytes>) -> io::Result<()> {
    let (mut read, mut write) = stream.split();
    let mut nothing = [0; 1];
    loop {
        tokio::select! {
            packet = packets.recv() => {
                let Some(packet) = packet else { return Ok(()) };
                timeout(WRITE, write.write_all(&packet)).await??;
            }
            // The other side sends nothing: whatever comes is its end.
            got = tokio::io::AsyncReadExt::read(&mut read, &mut nothing) => {
                return got.and_then(|_| Err(io::ErrorKind::ConnectionReset.into()));
            }
        }
    }
}

/// Takes connections of machines and balancers.
pub(super) async fn accept(listener: TcpListener, events: Events) {
    for number in 1.. {
        match listener.accept().await {
            Ok((stream, _)) => {
                let events = events.clone();
                tokio::spawn(async move {
                    if let Err(error) = take(number, stream, events).await
                        && error.kind() == io::ErrorKind::InvalidData
                    {
                        log::warn!("connection refused: {error}");
                    }
                });
            }
            Err(error) => {
                log::warn!("no connection can be taken: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn take(number: u64, mut stream: TcpStream, events: Events) -> io::Result<()> {
    stream.set_nodelay(true)?;
    link::detect_silence(&stream, link::UNACKNOWLEDGED)?;
    let first = timeout(FIRST_PACKET, link::read(&mut stream)).await??;
    match &first {
        Packet::Hello { machine, .. } => {
            let from = machine.member.address.clone();
            let mut packet = first;
            while events.send(Event::Packet { from: from.clone(), packet }).is_ok() {
                packet = link::read(&mut stream).await?;
            }
            Ok(())
        }
        Packet::Subscribe { .. } => {
            let (queue, mut packets) = mpsc::channel(FEED_QUEUE);
            events.send(Event::Subscribe { subscriber: number, packet: first, queue }).ok();
            let ended = pass_on(&mut stream, &mut packets).await;
            events.send(Event::Unsubscribe(number)).ok();
            ended
        }
        _ => Err(io::Error::new(io::ErrorKind::InvalidData, "neither a machine nor a balancer")),
    }
}

/// Takes heartbeats of balancers.
pub(super) async fn receive(socket: UdpSocket, events: Events) {
    let mut buffer = [0; DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match Packet::decode_datagram(&buffer[..length]) {
                Ok(packet @ Packet::Heartbeat(_)) => {
                    if events.send(Event::Packet { from: from.to_string(), packet }).is_err() {
                        return;
                    }
                }
                Ok(_) => log::warn!("datagram refused from={from}: not a heartbeat"),
                Err(error) => log::warn!("datagram refused from={from}: {error}"),
            },
            Err(error) => {
                log::warn!("no datagram can be read: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
