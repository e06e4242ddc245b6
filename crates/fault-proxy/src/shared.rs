//! Proxy with one address at which many nodes reach a node, for datagrams and streams. Every sender
//! has its own source address, which identifies it.

use crate::schedule::DatagramSchedule;
use crate::state::{LinkState, NodeId, SharedState};
use crate::tcp::{LinkPair, ProxyListener};
use crate::udp::{BUFFER_BYTES, DatagramForwarder};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Maximum number of retries with another port until a port is free for both TCP and UDP.
const MAX_RETRIES: usize = 32;

/// Creates a shared proxy. Returns its address and its task.
pub(crate) async fn proxy(
    state: Arc<SharedState>,
    to: NodeId,
    target: SocketAddr,
) -> io::Result<(SocketAddr, impl Future<Output = ()> + Send + 'static)> {
    let (listener, socket) = bind(to.proxy_ip()).await?;
    let address = listener.address();
    let streams = accept_streams(state.clone(), listener, to, target);
    let datagrams = forward_datagrams(state, socket, to, target);
    let task = async move {
        tokio::join!(streams, datagrams);
    };
    Ok((address, task))
}

/// Binds a TCP listener and a UDP socket to the same port.
async fn bind(ip: IpAddr) -> io::Result<(ProxyListener, UdpSocket)> {
    let mut retries = 0;
    loop {
        let listener = ProxyListener::bind(ip)?;
        match UdpSocket::bind(listener.address()).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if retries == MAX_RETRIES => return Err(error),
            Err(_) => retries += 1,
        }
    }
}

async fn accept_streams(
    state: Arc<SharedState>,
    mut listener: ProxyListener,
    to: NodeId,
    target: SocketAddr,
) {
    let (mut streams, mut running) = (JoinSet::new(), state.watch_running(to));
    loop {
        if !*running.borrow_and_update() {
            listener.close();
            if running.changed().await.is_err() {
                return;
            }
            continue;
        }
        if !listener.reopen().await {
            continue;
        }
        tokio::select! {
            accepted = listener.accept() => {
                let Some((stream, peer)) = accepted else { continue };
                // A stream from an unassigned source address does not belong to the test.
                let Some(from) = state.sender(peer.ip()) else { continue };
                let links = LinkPair::new(state.clone(), from, to, target);
                streams.spawn(links.forward_after_partition(stream));
            }
            changed = running.changed() => if changed.is_err() { return },
            Some(_) = streams.join_next() => {}
        }
    }
}

/// Link from a sender of datagrams, with its delivery schedule.
struct SenderLink {
    link: watch::Receiver<LinkState>,
    schedule: DatagramSchedule,
}

async fn forward_datagrams(
    state: Arc<SharedState>,
    socket: UdpSocket,
    to: NodeId,
    target: SocketAddr,
) {
    let socket = Arc::new(socket);
    let mut links: HashMap<NodeId, SenderLink> = HashMap::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut forwarder = DatagramForwarder::new(state.clone(), socket.clone(), target);
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            () = forwarder.wait_for_delivery() => continue,
        };
        let Ok((length, peer)) = received else {
            continue;
        };
        let Some(from) = state.sender(peer.ip()) else {
            continue;
        };
        let SenderLink { link, schedule } = links.entry(from).or_insert_with(|| SenderLink {
            link: state.watch_link(from, to),
            schedule: DatagramSchedule::default(),
        });
        let conditions = link.borrow().conditions.clone();
        forwarder
            .forward(&conditions, schedule, &buffer[..length])
            .await;
    }
}
