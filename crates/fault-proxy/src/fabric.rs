//! Who reaches whom, by which relay, and what is wrong between them.

use crate::shape::Way;
use crate::{hub, tcp, udp};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// One that others reach, or that reaches others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Party(pub u32);

/// What has gone through the relays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Streams that came up.
    pub streams: u64,
    /// Those that are up now.
    pub open: u64,
    /// Bytes of streams, both ways.
    pub bytes: u64,
    /// Datagrams that were sent on.
    pub datagrams: u64,
    /// Datagrams that were lost on purpose.
    pub lost: u64,
}

#[derive(Default)]
pub(crate) struct Tally {
    pub streams: AtomicU64,
    pub open: AtomicU64,
    pub bytes: AtomicU64,
    pub datagrams: AtomicU64,
    pub lost: AtomicU64,
}

/// One direction as relays see it: the way, and a number that goes up with each reset.
#[derive(Clone, Debug, Default)]
pub(crate) struct Direction {
    pub way: Way,
    pub resets: u64,
}

pub(crate) struct Inner {
    pub began: Instant,
    pub seed: u64,
    pub tally: Tally,
    ways: Mutex<HashMap<(Party, Party), watch::Sender<Direction>>>,
    up: Mutex<HashMap<Party, watch::Sender<bool>>>,
    stand: Mutex<HashMap<IpAddr, Party>>,
    next: AtomicU64,
}

impl Inner {
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_nanos() as u64
    }

    /// A number of its own for each relay and stream, for their random numbers.
    pub fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    pub fn direction(&self, from: Party, to: Party) -> watch::Receiver<Direction> {
        let mut ways = lock(&self.ways);
        ways.entry((from, to))
            .or_insert_with(|| watch::Sender::new(Direction::default()))
            .subscribe()
    }

    /// The party whose address this is.
    pub fn stands_at(&self, ip: IpAddr) -> Option<Party> {
        lock(&self.stand).get(&ip).copied()
    }

    pub fn up(&self, party: Party) -> watch::Receiver<bool> {
        let mut up = lock(&self.up);
        up.entry(party)
            .or_insert_with(|| watch::Sender::new(true))
            .subscribe()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// All relays of a test. They end, and their sockets with them, when this is dropped.
pub struct Fabric {
    inner: Arc<Inner>,
    relays: Mutex<JoinSet<()>>,
    /// TCP relays that are there, by pair and target.
    known: Mutex<BTreeMap<(Party, Party, SocketAddr), SocketAddr>>,
}

impl Fabric {
    /// No relays yet. Chance in them comes from the seed alone.
    pub fn new(seed: u64) -> Self {
        let inner = Inner {
            began: Instant::now(),
            seed,
            tally: Tally::default(),
            ways: Mutex::default(),
            up: Mutex::default(),
            stand: Mutex::default(),
            next: AtomicU64::new(0),
        };
        Self {
            inner: Arc::new(inner),
            relays: Mutex::default(),
            known: Mutex::default(),
        }
    }

    /// The address of its own on which a party listens to those that reach another one through it. Linux routes
    /// all of 127.0.0.0/8 to itself, so that ports do not run out at any.
    fn address(party: Party) -> IpAddr {
        let [_, _, high, low] = party.0.to_be_bytes();
        IpAddr::V4(Ipv4Addr::new(127, 77, high, low))
    }

    /// Where `from` finds `to`, which listens for TCP at `target`. Asked again, the same.
    pub async fn tcp(&self, from: Party, to: Party, target: SocketAddr) -> io::Result<SocketAddr> {
        if let Some(known) = lock(&self.known).get(&(from, to, target)) {
            return Ok(*known);
        }
        let (address, relay) =
            tcp::relay(self.inner.clone(), Self::address(from), from, to, target)?;
        lock(&self.relays).spawn(relay);
        lock(&self.known).insert((from, to, target), address);
        Ok(address)
    }

    /// Where two parties, each with a UDP socket of its own, find each other: the first address is the one that
    /// `one` sends to and hears from, the second is `other`'s.
    pub async fn udp(
        &self,
        (one, at): (Party, SocketAddr),
        (other, there): (Party, SocketAddr),
    ) -> io::Result<(SocketAddr, SocketAddr)> {
        let ips = (Self::address(one), Self::address(other));
        let (addresses, relay) =
            udp::relay(self.inner.clone(), ips, (one, at), (other, there)).await?;
        lock(&self.relays).spawn(relay);
        Ok(addresses)
    }

    /// A party sends from this address, which is that of no other.
    pub fn stands_at(&self, party: Party, ip: IpAddr) {
        lock(&self.inner.stand).insert(ip, party);
    }

    /// Where all others find `to`, which takes datagrams and streams at `target`. Those that send are known by what
    /// [`Self::stands_at`] was told. A stream whose way is cut comes up all the same here, and brings nothing
    /// until the cut ends: many senders share one listener.
    pub async fn hub(&self, to: Party, target: SocketAddr) -> io::Result<SocketAddr> {
        let (address, work) = hub::hub(self.inner.clone(), Self::address(to), to, target).await?;
        lock(&self.relays).spawn(work);
        Ok(address)
    }

    /// What is wrong one way, from now on. What is under way already keeps the time that it was given.
    pub fn set(&self, from: Party, to: Party, way: Way) {
        let mut ways = lock(&self.inner.ways);
        let direction = ways
            .entry((from, to))
            .or_insert_with(|| watch::Sender::new(Direction::default()));
        direction.send_if_modified(|direction| {
            let changed = direction.way != way;
            direction.way = way;
            changed
        });
    }

    /// What is wrong one way.
    pub fn way(&self, from: Party, to: Party) -> Way {
        self.inner.direction(from, to).borrow().way.clone()
    }

    /// Resets all streams that `from` has to `to`.
    pub fn reset(&self, from: Party, to: Party) {
        let ways = lock(&self.inner.ways);
        ways.get(&(from, to))
            .iter()
            .for_each(|way| way.send_modify(|direction| direction.resets += 1));
    }

    /// Whether a party's process runs. While it does not, new streams to it are refused, as its machine would:
    /// a relay that took them would tell callers that something has come up.
    pub fn set_up(&self, party: Party, up: bool) {
        let mut all = lock(&self.inner.up);
        let there = all.entry(party).or_insert_with(|| watch::Sender::new(true));
        there.send_if_modified(|was| std::mem::replace(was, up) != up);
    }

    /// What has gone through so far.
    pub fn counts(&self) -> Counts {
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let tally = &self.inner.tally;
        Counts {
            streams: get(&tally.streams),
            open: get(&tally.open),
            bytes: get(&tally.bytes),
            datagrams: get(&tally.datagrams),
            lost: get(&tally.lost),
        }
    }
}
