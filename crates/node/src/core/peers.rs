//! Connections between the system's processes, as a core process has them: it dials each other machine to send, and takes
//! the connections of machines and balancers.

use super::queue::{FrameReceiver, FrameSender, queue};
use super::{Event, Events};
use crate::link;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};
use woadstall_control::wire::Packet;

/// Frames and bytes that wait for a link at most; beyond that the link is made anew, and its peer told what it may have
/// missed. A frame may be as large as a configuration.
const LINK_FRAMES: usize = 4_096;
const LINK_BYTES: usize = 8 << 20;
/// Frames and bytes that wait for a balancer at most.
const FEED_FRAMES: usize = 512;
const FEED_BYTES: usize = 8 << 20;
/// Wait before a link is tried again.
const RECONNECT: Duration = Duration::from_millis(250);
/// Bytes that are written at a time, and how long that may take. A large frame may take longer as a whole, as long as its
/// peer goes on reading.
const WRITE_BYTES: usize = 64 << 10;
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
    queues: HashMap<String, FrameSender>,
}

impl Links {
    /// No link yet.
    pub fn new(events: Events) -> Self {
        Self {
            events,
            queues: HashMap::new(),
        }
    }

    /// Keeps a link to a machine; a former one to it ends.
    pub fn keep(&mut self, address: String) {
        let Ok(parsed) = address.parse::<SocketAddr>() else {
            log::warn!("{address:?} is no address of a machine");
            return;
        };
        let (sender, frames) = queue(LINK_FRAMES, LINK_BYTES);
        self.queues.insert(address.clone(), sender);
        tokio::spawn(keep_link(address, parsed, frames, self.events.clone()));
    }

    /// Keeps a link no longer.
    pub fn drop(&mut self, address: &str) {
        self.queues.remove(address);
    }

    /// Sends a packet, if there is a link. One that is too slow is made anew.
    pub fn send(&mut self, address: &str, packet: &Packet) {
        let Some(queue) = self.queues.get(address) else {
            return;
        };
        if queue.send(packet.frame().into()).is_err() {
            log::warn!("link too slow peer={address}: made anew");
            self.keep(address.to_owned());
        }
    }
}

async fn keep_link(address: String, socket: SocketAddr, mut frames: FrameReceiver, events: Events) {
    loop {
        if let Ok(mut stream) = link::connect(socket).await {
            frames.clear(); // meant for the former link: what matters is told anew
            if events.send(Event::LinkUp(address.clone())).is_err() {
                return;
            }
            let ended = pass_on(&mut stream, &mut frames).await;
            if let Err(error) = ended {
                log::info!("link lost peer={address}: {error}");
            }
        }
        sleep(RECONNECT).await;
        frames.clear();
        if frames.is_closed() {
            return;
        }
    }
}

/// Writes frames until the connection ends.
async fn pass_on(stream: &mut TcpStream, frames: &mut FrameReceiver) -> io::Result<()> {
    let (mut read, mut write) = stream.split();
    let mut nothing = [0; 1];
    loop {
        tokio::select! {
            frame = frames.receive() => {
                let Some(frame) = frame else { return Ok(()) };
                for part in frame.chunks(WRITE_BYTES) {
                    timeout(WRITE, write.write_all(part)).await??;
                }
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
            while events
                .send(Event::Packet {
                    from: from.clone(),
                    packet,
                })
                .is_ok()
            {
                packet = link::read(&mut stream).await?;
            }
            Ok(())
        }
        Packet::Subscribe { .. } => {
            let (queue, mut frames) = queue(FEED_FRAMES, FEED_BYTES);
            events
                .send(Event::Subscribe {
                    subscriber: number,
                    packet: first,
                    queue,
                })
                .ok();
            let ended = pass_on(&mut stream, &mut frames).await;
            events.send(Event::Unsubscribe(number)).ok();
            ended
        }
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "neither a machine nor a balancer",
        )),
    }
}

/// Takes heartbeats of balancers.
pub(super) async fn receive(socket: UdpSocket, events: Events) {
    let mut buffer = [0; DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match Packet::decode_datagram(&buffer[..length]) {
                Ok(packet @ (Packet::BalancerHeartbeat(_) | Packet::LoadReport(_))) => {
                    if events
                        .send(Event::Packet {
                            from: from.to_string(),
                            packet,
                        })
                        .is_err()
                    {
                        return;
                    }
                }
                Ok(_) => log::warn!("datagram refused from={from}: neither a heartbeat nor a load"),
                Err(error) => log::warn!("datagram refused from={from}: {error}"),
            },
            Err(error) => {
                log::warn!("no datagram can be read: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
