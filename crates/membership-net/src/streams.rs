//! What is too long for a datagram, or has to arrive; and whether a process listens at all. A stream carries messages one
//! way, each behind its length in four bytes.

use crate::core::Core;
use crate::shell::Shared;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use woadstall_membership::message::MAX_MESSAGE_BYTES;
use woadstall_message_auth::OVERHEAD_BYTES;

/// How long a stream may last.
const PATIENCE: Duration = Duration::from_secs(3);
/// Streams out at once, and those that wait.
const OUT: usize = 8;
pub const WAITING: usize = 128;
/// Streams in at once. What comes beyond is turned away: it comes again with the next comparison.
const IN: usize = 16;
/// Messages on one stream.
const MESSAGES: usize = 16;
/// Wait after a stream could not be taken.
const PAUSE: Duration = Duration::from_millis(20);

/// A message to be brought; empty if it is only to be seen whether somebody listens there.
pub struct Order {
    /// To whom.
    pub to: SocketAddr,
    /// What.
    pub bytes: Vec<u8>,
}

/// Brings messages for as long as there may be some. All go out from the address at which the member listens.
pub async fn bring(shared: Arc<Shared>, mut orders: mpsc::Receiver<Order>, from: IpAddr) {
    let (places, mut open) = (Arc::new(Semaphore::new(OUT)), JoinSet::new());
    while let Some(order) = orders.recv().await {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let shared = shared.clone();
        open.spawn(async move {
            let _place = place;
            // Nobody listens there: its machine says so itself.
            if let Ok(Err(error)) = timeout(PATIENCE, one(&order, from)).await
                && error.kind() == io::ErrorKind::ConnectionRefused
            {
                shared.refused(order.to);
            }
        });
        while open.try_join_next().is_some() {}
    }
}

async fn one(order: &Order, from: IpAddr) -> io::Result<()> {
    let socket = if order.to.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if !from.is_unspecified() && from.is_ipv4() == order.to.is_ipv4() {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let mut stream = socket.connect(order.to).await?;
    if order.bytes.is_empty() {
        return Ok(());
    }
    stream
        .write_all(&(order.bytes.len() as u32).to_be_bytes())
        .await?;
    stream.write_all(&order.bytes).await?;
    stream.shutdown().await?;
    // Its end from the other side shows that it has read all; a reset would lose what is under way.
    stream.read(&mut [0]).await.map(|_| ())
}

/// Takes streams for as long as the member lives.
pub async fn take(shared: Arc<Shared>, listener: TcpListener) {
    let (places, mut open) = (Arc::new(Semaphore::new(IN)), JoinSet::new());
    loop {
        while open.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            shared.core().counts.turned_away += 1;
            continue;
        };
        let shared = shared.clone();
        open.spawn(async move {
            let _place = place;
            timeout(PATIENCE, read(&shared, stream)).await.ok();
        });
    }
}

async fn read(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    for _ in 0..MESSAGES {
        let mut length = [0; 4];
        stream.read_exact(&mut length).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length > MAX_MESSAGE_BYTES + OVERHEAD_BYTES {
            shared.core().counts.no_message += 1;
            return Ok(());
        }
        // Only what has come takes memory, whatever the length says.
        let mut bytes = Vec::new();
        (&mut stream)
            .take(length as u64)
            .read_to_end(&mut bytes)
            .await?;
        while let Some(wait) = shared.wait() {
            sleep(wait).await;
        }
        if bytes.len() == length {
            let began = Instant::now();
            let Core { budget, .. } = &mut *shared.messages_received(&bytes);
            budget.spend(began.elapsed());
        }
        shared.poke();
    }
    Ok(())
}
