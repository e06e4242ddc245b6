//! A relay of datagrams between two sockets.

use crate::fabric::{Inner, Party};
use crate::shape::{Datagrams, Way};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

/// Datagrams under way in one direction at most: what comes beyond is lost, as in a full queue.
const WINDOW: usize = 4096;
pub const LONGEST: usize = 65_536;

/// The addresses to which the two send, and the relay's work.
pub async fn relay(
    inner: Arc<Inner>,
    ips: (IpAddr, IpAddr),
    (one, at): (Party, SocketAddr),
    (other, there): (Party, SocketAddr),
) -> io::Result<(
    (SocketAddr, SocketAddr),
    impl Future<Output = ()> + Send + 'static,
)> {
    // What comes in at the one's socket goes out by the other's, so that each hears from where it sends to.
    let for_one = Arc::new(UdpSocket::bind(SocketAddr::new(ips.0, 0)).await?);
    let for_other = Arc::new(UdpSocket::bind(SocketAddr::new(ips.1, 0)).await?);
    let addresses = (for_one.local_addr()?, for_other.local_addr()?);
    let to = forward(
        inner.clone(),
        (one, at),
        for_one.clone(),
        for_other.clone(),
        (other, there),
    );
    let fro = forward(inner, (other, there), for_other, for_one, (one, at));
    Ok((addresses, async move {
        tokio::join!(to, fro);
    }))
}

async fn forward(
    inner: Arc<Inner>,
    (from, sender): (Party, SocketAddr),
    input: Arc<UdpSocket>,
    output: Arc<UdpSocket>,
    (to, target): (Party, SocketAddr),
) {
    let (direction, mut shape) = (inner.direction(from, to), Datagrams::default());
    let (mut buffer, mut passes) = (vec![0; LONGEST], Passes::new(inner, output, target));
    loop {
        let received = tokio::select! {
            received = input.recv_from(&mut buffer) => received,
            () = passes.one_is_out() => continue,
        };
        // An error tells of an earlier datagram that nobody took. What is not the sender's is not its word.
        let Ok((length, peer)) = received else {
            continue;
        };
        if peer == sender {
            let way = direction.borrow().way.clone();
            passes.pass(&way, &mut shape, &buffer[..length]).await;
        }
    }
}

/// Datagrams under way to one target, each until its time.
pub struct Passes {
    inner: Arc<Inner>,
    output: Arc<UdpSocket>,
    target: SocketAddr,
    rng: ChaCha8Rng,
    under_way: JoinSet<()>,
}

impl Passes {
    /// To a target, by a socket.
    pub fn new(inner: Arc<Inner>, output: Arc<UdpSocket>, target: SocketAddr) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(inner.seed ^ inner.number());
        Self {
            inner,
            output,
            target,
            rng,
            under_way: JoinSet::new(),
        }
    }

    /// One that was under way is out. Never returns while none is.
    pub async fn one_is_out(&mut self) {
        if self.under_way.join_next().await.is_none() {
            std::future::pending().await
        }
    }

    /// Sends one on as its way has it: at once, later, twice or never.
    pub async fn pass(&mut self, way: &Way, shape: &mut Datagrams, datagram: &[u8]) {
        let Self {
            inner,
            output,
            target,
            ..
        } = self;
        let fate = shape.fate(inner.now(), datagram.len(), way, &mut self.rng);
        if fate[0].is_none() || self.under_way.len() >= WINDOW {
            inner.tally.lost.fetch_add(1, Ordering::Relaxed);
            return;
        }
        for due in fate.into_iter().flatten() {
            inner.tally.datagrams.fetch_add(1, Ordering::Relaxed);
            if due <= inner.now() {
                output.send_to(datagram, *target).await.ok();
                continue;
            }
            let (output, target, datagram) = (output.clone(), *target, datagram.to_vec());
            let due = inner.began + Duration::from_nanos(due);
            self.under_way.spawn(async move {
                sleep_until(due.into()).await;
                output.send_to(&datagram, target).await.ok();
            });
        }
    }
}
