//! A relay of streams for one ordered pair.

use crate::fabric::{Direction, Inner, Party};
use crate::shape::{Stream, handshake};
use bytes::{Bytes, BytesMut};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

/// Bytes that are under way in one direction of a stream at most; then its sender has to wait, as by a full window.
const WINDOW: usize = 256 << 10;
const PIECE: usize = 16 << 10;
/// Connections that may wait to be taken: a burst must not be dropped by the relay itself.
pub const BACKLOG: i32 = 1024;

pub fn listen(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    TcpListener::from_std(socket.into())
}

/// Listens where it did before, unless it still does. Where that cannot be yet, it takes a while.
pub async fn listen_again(listener: &mut Option<TcpListener>, address: SocketAddr) {
    if listener.is_none() {
        match listen(address, BACKLOG) {
            Ok(again) => *listener = Some(again),
            Err(_) => sleep(Duration::from_millis(1)).await,
        }
    }
}

/// The address at which a relay listens, and its work.
pub fn relay(
    inner: Arc<Inner>,
    ip: IpAddr,
    from: Party,
    to: Party,
    target: SocketAddr,
) -> io::Result<(SocketAddr, impl Future<Output = ()> + Send + 'static)> {
    let listener = listen(SocketAddr::new(ip, 0), BACKLOG)?;
    let address = listener.local_addr()?;
    let pair = Pair::new(inner, from, to, target);
    let up = pair.inner.up(to);
    Ok((address, pair.run(listener, address, up)))
}

/// Both directions between two parties.
#[derive(Clone)]
pub struct Pair {
    inner: Arc<Inner>,
    there: watch::Receiver<Direction>,
    back: watch::Receiver<Direction>,
    target: SocketAddr,
}

/// Where many share a listener, a stream of a pair that is cut is taken and then waits so long at the most.
const HELD: Duration = Duration::from_secs(10);

impl Pair {
    pub fn new(inner: Arc<Inner>, from: Party, to: Party, target: SocketAddr) -> Self {
        Self {
            there: inner.direction(from, to),
            back: inner.direction(to, from),
            target,
            inner,
        }
    }

    /// A stream that was taken whatever the ways are: it goes on once neither is cut.
    pub async fn held_stream(mut self, near: TcpStream) {
        let sound = async {
            while self.is_cut() {
                tokio::select! {
                    changed = self.there.changed() => if changed.is_err() { return },
                    changed = self.back.changed() => if changed.is_err() { return },
                }
            }
        };
        if tokio::time::timeout(HELD, sound).await.is_ok() {
            self.stream(near).await;
        }
    }

    fn is_cut(&self) -> bool {
        self.there.borrow().way.cut || self.back.borrow().way.cut
    }

    async fn run(
        mut self,
        listener: TcpListener,
        address: SocketAddr,
        mut up: watch::Receiver<bool>,
    ) {
        let (mut listener, mut streams) = (Some(listener), JoinSet::new());
        // Streams that keep the queue full while nothing may come up.
        let mut stoppers: Vec<TcpStream> = Vec::new();
        loop {
            if !*up.borrow_and_update() {
                // Nobody listens there: refused at once.
                (listener, stoppers) = (None, Vec::new());
                tokio::select! {
                    changed = up.changed() => if changed.is_err() { return },
                    Some(_) = streams.join_next() => {}
                }
                continue;
            }
            listen_again(&mut listener, address).await;
            let Some(there) = &listener else { continue };
            self.there.borrow_and_update();
            self.back.borrow_and_update();
            if self.is_cut() {
                if stoppers.is_empty() {
                    stoppers = stop_up(there, address).await;
                }
                tokio::select! {
                    changed = up.changed() => if changed.is_err() { return },
                    changed = self.there.changed() => if changed.is_err() { return },
                    changed = self.back.changed() => if changed.is_err() { return },
                    Some(_) = streams.join_next() => {}
                }
                continue;
            }
            if !stoppers.is_empty() {
                SockRef::from(there).listen(BACKLOG).ok();
            }
            tokio::select! {
                taken = there.accept() => {
                    let Ok((stream, peer)) = taken else { continue };
                    let before = stoppers.len();
                    stoppers.retain(|stopper| stopper.local_addr().ok() != Some(peer));
                    if stoppers.len() == before {
                        streams.spawn(self.clone().stream(stream));
                    }
                }
                changed = up.changed() => if changed.is_err() { return },
                changed = self.there.changed() => if changed.is_err() { return },
                changed = self.back.changed() => if changed.is_err() { return },
                Some(_) = streams.join_next() => {}
            }
        }
    }

    async fn stream(self, near: TcpStream) {
        near.set_nodelay(true).ok();
        let mut rng = ChaCha8Rng::seed_from_u64(self.inner.seed ^ self.inner.number());
        let wait = handshake(&self.there.borrow().way, &self.back.borrow().way, &mut rng);
        if wait > 0 {
            sleep(Duration::from_nanos(wait)).await;
        }
        let Ok(far) = TcpStream::connect(self.target).await else {
            // It died just now: what was written to it gets lost, as on its own machine.
            near.set_zero_linger().ok();
            return;
        };
        far.set_nodelay(true).ok();
        let tally = &self.inner.tally;
        tally.streams.fetch_add(1, Ordering::Relaxed);
        tally.open.fetch_add(1, Ordering::Relaxed);
        let _open = Open(&self.inner);
        let resets = (self.there.borrow().resets, self.back.borrow().resets);
        let (mut there, mut back) = (self.there.clone(), self.back.clone());
        let seeds = (self.inner.number(), self.inner.number());
        let mut to = Forward::new(self.inner.clone(), self.there.clone(), seeds.0);
        let mut fro = Forward::new(self.inner.clone(), self.back.clone(), seeds.1);
        let ended = tokio::select! {
            // Both have to end: one side may go on sending when the other has finished.
            ended = async { tokio::try_join!(to.run(&near, &far), fro.run(&far, &near)) } => ended.is_ok(),
            _ = there.wait_for(|direction| direction.resets != resets.0) => false,
            _ = back.wait_for(|direction| direction.resets != resets.1) => false,
        };
        if !ended {
            // A stream that broke on one side is broken on the other, not ended.
            near.set_zero_linger().ok();
            far.set_zero_linger().ok();
        }
    }
}

/// Fills the queue of a listener, so that the machine drops further handshakes without a word.
async fn stop_up(listener: &TcpListener, address: SocketAddr) -> Vec<TcpStream> {
    SockRef::from(listener).listen(0).ok();
    let mut stoppers = Vec::new();
    // A queue of length 0 takes one; a second try that does not come up shows that it is full.
    for _ in 0..3 {
        match tokio::time::timeout(Duration::from_millis(20), TcpStream::connect(address)).await {
            Ok(Ok(stopper)) => stoppers.push(stopper),
            _ => break,
        }
    }
    stoppers
}

struct Open<'a>(&'a Inner);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.tally.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One direction of one stream.
struct Forward {
    inner: Arc<Inner>,
    direction: watch::Receiver<Direction>,
    shape: Stream,
    rng: ChaCha8Rng,
    /// Pieces under way, each with the time at which it comes out.
    queue: VecDeque<(u64, Bytes)>,
    held: usize,
}

/// What comes next in one direction.
enum Next {
    Read(io::Result<usize>),
    Due,
    Changed,
}

impl Forward {
    fn new(inner: Arc<Inner>, direction: watch::Receiver<Direction>, number: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(inner.seed ^ number);
        Self {
            inner,
            direction,
            shape: Stream::default(),
            rng,
            queue: VecDeque::new(),
            held: 0,
        }
    }

    async fn run(&mut self, from: &TcpStream, to: &TcpStream) -> io::Result<()> {
        // How its sender has ended it, once it has; that goes the way of the bytes before it.
        let (mut buffer, mut ended) = (BytesMut::new(), None::<io::Result<()>>);
        loop {
            let cut = self.direction.borrow_and_update().way.cut;
            if self.queue.is_empty()
                && !cut
                && let Some(ended) = ended.take()
            {
                return ended.and_then(|()| SockRef::from(to).shutdown(std::net::Shutdown::Write));
            }
            let due = self.queue.front().map(|(due, _)| *due).filter(|_| !cut);
            let now = self.inner.now();
            let next = if due.is_some_and(|due| due <= now) {
                Next::Due
            } else {
                let wakes = due.map(|due| self.inner.began + Duration::from_nanos(due));
                tokio::select! {
                    ready = from.readable(), if ended.is_none() && self.held < WINDOW => {
                        buffer.reserve(PIECE);
                        Next::Read(ready.and_then(|()| from.try_read_buf(&mut buffer)))
                    }
                    _ = async { sleep_until(wakes.unwrap_or(self.inner.began).into()).await }, if wakes.is_some() => Next::Due,
                    changed = self.direction.changed() => {
                        changed.map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
                        Next::Changed
                    }
                }
            };
            match next {
                Next::Changed => {}
                Next::Read(Err(error)) if error.kind() == io::ErrorKind::WouldBlock => {}
                Next::Read(Err(error)) => ended = Some(Err(error)),
                Next::Read(Ok(0)) => ended = Some(Ok(())),
                Next::Read(Ok(read)) => {
                    self.inner
                        .tally
                        .bytes
                        .fetch_add(read as u64, Ordering::Relaxed);
                    let piece = buffer.split().freeze();
                    // As it is now: it may have changed while this waited for the piece.
                    let way = self.direction.borrow().way.clone();
                    if way.is_plain() && self.queue.is_empty() {
                        write_all(to, piece).await?;
                        continue;
                    }
                    let due = self
                        .shape
                        .release(self.inner.now(), read, &way, &mut self.rng);
                    self.held += read;
                    self.queue.push_back((due, piece));
                }
                Next::Due => {
                    let Some((_, piece)) = self.queue.pop_front() else {
                        continue;
                    };
                    self.held -= piece.len();
                    write_all(to, piece).await?;
                }
            }
        }
    }
}

async fn write_all(to: &TcpStream, mut piece: Bytes) -> io::Result<()> {
    use bytes::Buf;
    while !piece.is_empty() {
        to.writable().await?;
        match to.try_write(&piece) {
            Ok(written) => piece.advance(written),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
