//! One address at which a party is found by many others, for datagrams and streams: who sends is told by the address
//! that it sends from, as each party has one of its own.

use crate::fabric::{Direction, Inner, Party};
use crate::shape::Datagrams;
use crate::tcp::{BACKLOG, Pair, listen, listen_again};
use crate::udp::{LONGEST, Passes};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Ports that are tried until one is free for both.
const TRIES: usize = 32;

/// The address, and the hub's work.
pub async fn hub(
    inner: Arc<Inner>,
    ip: IpAddr,
    to: Party,
    target: SocketAddr,
) -> io::Result<(SocketAddr, impl Future<Output = ()> + Send + 'static)> {
    let mut tried = 0;
    let (listener, socket) = loop {
        let listener = listen(SocketAddr::new(ip, 0), BACKLOG)?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => break (listener, socket),
            Err(error) if tried == TRIES => return Err(error),
            Err(_) => tried += 1,
        }
    };
    let address = listener.local_addr()?;
    let streams = streams(inner.clone(), listener, address, to, target);
    let datagrams = datagrams(inner, socket, to, target);
    Ok((address, async move {
        tokio::join!(streams, datagrams);
    }))
}

async fn streams(
    inner: Arc<Inner>,
    first: TcpListener,
    address: SocketAddr,
    to: Party,
    target: SocketAddr,
) {
    let (mut listener, mut open, mut up) = (Some(first), JoinSet::new(), inner.up(to));
    loop {
        if !*up.borrow_and_update() {
            // Nobody listens there: refused at once.
            listener = None;
            if up.changed().await.is_err() {
                return;
            }
            continue;
        }
        listen_again(&mut listener, address).await;
        let Some(there) = &listener else { continue };
        tokio::select! {
            taken = there.accept() => {
                let Ok((stream, peer)) = taken else { continue };
                // What is of no party comes from outside the test.
                let Some(from) = inner.stands_at(peer.ip()) else { continue };
                open.spawn(Pair::new(inner.clone(), from, to, target).held_stream(stream));
            }
            changed = up.changed() => if changed.is_err() { return },
            Some(_) = open.join_next() => {}
        }
    }
}

async fn datagrams(inner: Arc<Inner>, socket: UdpSocket, to: Party, target: SocketAddr) {
    let socket = Arc::new(socket);
    let mut ways: HashMap<Party, (watch::Receiver<Direction>, Datagrams)> = HashMap::new();
    let (mut buffer, mut passes) = (
        vec![0; LONGEST],
        Passes::new(inner.clone(), socket.clone(), target),
    );
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            () = passes.one_is_out() => continue,
        };
        let Ok((length, peer)) = received else {
            continue;
        };
        let Some(from) = inner.stands_at(peer.ip()) else {
            continue;
        };
        let (direction, shape) = ways
            .entry(from)
            .or_insert_with(|| (inner.direction(from, to), Datagrams::default()));
        let way = direction.borrow().way.clone();
        passes.pass(&way, shape, &buffer[..length]).await;
    }
}
