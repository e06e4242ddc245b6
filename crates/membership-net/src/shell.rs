//! The thread on which a member lives: sockets, time, and lines for operators.

use crate::core::Core;
use crate::report::Report;
use crate::setup::Setup;
use crate::streams::{self, Order, WAITING};
use socket2::{Domain, Protocol, Socket, Type};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Builder;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;
use woadstall_membership::{Event, Generation, MemberMetadata, Name, Node, PublishError};
use woadstall_message_auth::Seals;

/// Datagrams that are read before anything else has its turn.
const BATCH: usize = 16;
/// The longest datagram there is: one that was cut short would look like another's key.
const LONGEST: usize = 65_536;
/// What the system holds of datagrams that were not read yet: whole fleets may answer at once.
const HELD: usize = 1 << 20;
const BACKLOG: i32 = 128;
/// Members that are suspected are looked for this often.
const LOOK: Duration = Duration::from_secs(1);
/// Where another process holds the address, as a predecessor at an upgrade does, it is tried again after this.
const AGAIN: Duration = Duration::from_millis(250);
/// Calls that have not moved for so long stand still, and then nobody is to hold this member for well.
const STANDS_STILL: u64 = 1_000_000_000;
/// How long a member that leaves may take over it.
const LEAVES: Duration = Duration::from_millis(250);
/// What was not understood is told of this often.
const TOLD_AGAIN: u64 = 60_000_000_000;

/// Where lines for operators go.
pub type Log = Arc<dyn Fn(fmt::Arguments<'_>) + Send + Sync>;

/// What the member's thread and those that ask it share.
pub struct Shared {
    core: Mutex<Core>,
    began: Instant,
    poke: Notify,
    /// When the calls' thread last said that it goes on; 0 where nothing says so.
    beat: AtomicU64,
    ends: watch::Sender<Option<Leave>>,
    has_ended: watch::Sender<bool>,
    is_bound: AtomicBool,
}

/// How a member's thread ends.
#[derive(Clone, Copy, PartialEq)]
enum Leave {
    Told,
    Untold,
}

impl Shared {
    /// The member.
    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_nanos() as u64
    }

    /// Bytes came. While calls stand still they are dropped, as if the process did.
    pub fn came(&self, bytes: &[u8]) -> MutexGuard<'_, Core> {
        let (now, mut core) = (self.now(), self.core());
        if !self.stands_still(now) {
            core.came(now, bytes);
        }
        core
    }

    /// How long to wait before anything that came is looked at.
    pub fn wait(&self) -> Option<Duration> {
        let now = self.now();
        self.core().budget.wait(now)
    }

    /// A machine has said that no process listens at an address of its own.
    pub fn refused(&self, at: SocketAddr) {
        let now = self.now();
        self.core().node.refused(now, at);
        self.poke();
    }

    /// Something may be to be sent.
    pub fn poke(&self) {
        self.poke.notify_one();
    }

    fn stands_still(&self, now: u64) -> bool {
        let beat = self.beat.load(Ordering::Relaxed);
        beat != 0 && now.saturating_sub(beat) > STANDS_STILL
    }
}

/// A member that lives on a thread of its own. It leaves without a word when the last handle is dropped.
#[derive(Clone)]
pub struct Instances {
    shared: Arc<Shared>,
    setup: Arc<Setup>,
    _last: Arc<Last>,
}

struct Last(Arc<Shared>);

impl Drop for Last {
    fn drop(&mut self) {
        self.0.ends.send_if_modified(|ends| {
            ends.is_none()
                .then(|| *ends = Some(Leave::Untold))
                .is_some()
        });
    }
}

struct Sockets {
    datagrams: std::net::UdpSocket,
    streams: std::net::TcpListener,
    at: SocketAddr,
}

fn bind(listen: SocketAddr) -> io::Result<Sockets> {
    let domain = Domain::for_address(listen);
    let streams = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    streams.set_reuse_address(true)?;
    streams.set_nonblocking(true)?;
    streams.bind(&listen.into())?;
    streams.listen(BACKLOG)?;
    let streams = std::net::TcpListener::from(streams);
    let at = streams.local_addr()?;
    let datagrams = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
    datagrams.set_recv_buffer_size(HELD)?;
    datagrams.set_nonblocking(true)?;
    datagrams.bind(&at.into())?;
    Ok(Sockets {
        datagrams: datagrams.into(),
        streams,
        at,
    })
}

impl Instances {
    /// Starts a member. The error is one line that names the field at fault. An address that another process holds is
    /// no error: at an upgrade it is the predecessor's for a while.
    pub fn start(setup: Setup, log: Log) -> Result<Self, String> {
        setup.check()?;
        let (keys, seeds) = (setup.keys()?, setup.all_seeds()?);
        let sockets = match bind(setup.listen) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && setup.listen.port() != 0 => {
                None
            }
            bound => Some(bound.map_err(|error| format!("`listen` {}: {error}", setup.listen))?),
        };
        let at = sockets.as_ref().map_or(setup.listen, |sockets| sockets.at);
        let chance = || getrandom::u64().map_err(|error| format!("no random numbers: {error}"));
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let life = Generation {
            started,
            id: chance()?,
        };
        let (name, zone, region) = (setup.name.clone(), setup.zone.clone(), setup.region.clone());
        let me = MemberMetadata {
            name,
            life,
            at: setup.advertise.unwrap_or(at),
            zone,
            region,
        };
        let node = Node::new(me, seeds, setup.settings.clone(), chance()?, 0);
        let node = node.map_err(|error| error.to_string())?;
        let shared = Arc::new(Shared {
            core: Mutex::new(Core::new(node, keys.map(|keys| Seals::new(keys, life.id)))),
            began: Instant::now(),
            poke: Notify::new(),
            beat: AtomicU64::new(0),
            ends: watch::Sender::new(None),
            has_ended: watch::Sender::new(false),
            is_bound: AtomicBool::new(sockets.is_some()),
        });
        if setup.insecure {
            log(format_args!(
                "instances: without a key, any machine that gets here is believed"
            ));
        }
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| format!("cannot start the runtime: {error}"))?;
        let (member, listen) = (shared.clone(), setup.listen);
        let thread = std::thread::Builder::new().name("instances".into());
        let spawned = thread.spawn(move || {
            runtime.block_on(live(member.clone(), sockets, listen, log));
            member.has_ended.send_replace(true);
        });
        spawned.map_err(|error| format!("cannot start a thread: {error}"))?;
        Ok(Self {
            _last: Arc::new(Last(shared.clone())),
            shared,
            setup: Arc::new(setup),
        })
    }

    /// Where others find it.
    pub fn address(&self) -> SocketAddr {
        self.shared.core().node.me().at
    }

    /// Whether it has its address, and no other process does.
    pub fn is_bound(&self) -> bool {
        self.shared.is_bound.load(Ordering::Relaxed)
    }

    /// Reads the files of keys and seeds again. An error, in one line, changes nothing.
    pub fn reload(&self) -> Result<(), String> {
        let (keys, seeds) = (self.setup.keys()?, self.setup.all_seeds()?);
        let mut core = self.shared.core();
        if let (Some(seals), Some(keys)) = (&mut core.seals, keys) {
            seals.rotate(keys);
        }
        core.node.ask_at(seeds);
        Ok(())
    }

    /// The calls' thread goes on. Once this was said, the member stands still where it is not said for a second: one
    /// whose calls do not move is not well.
    pub fn beat(&self) {
        self.shared
            .beat
            .store(self.shared.now().max(1), Ordering::Relaxed);
    }

    /// Says something to all, in place of what it said under the key.
    pub fn say(&self, key: Name, priority: u8, bytes: Vec<u8>) -> Result<(), PublishError> {
        let now = self.shared.now();
        self.shared.core().node.say(now, key, priority, bytes)?;
        self.shared.poke();
        Ok(())
    }

    /// Looks at the member, and the time by its clock. Guards against nothing that takes long: it stands still.
    pub fn look<T>(&self, at: impl FnOnce(&Node, u64) -> T) -> T {
        at(&self.shared.core().node, self.shared.now())
    }

    /// Has something done with the member at the time of its clock, and what came of it sent. As for `look`.
    pub fn turn<T>(&self, with: impl FnOnce(&mut Node, u64) -> T) -> T {
        let (now, mut core) = (self.shared.now(), self.shared.core());
        let done = with(&mut core.node, now);
        drop(core);
        self.shared.poke();
        done
    }

    /// What operators read.
    pub fn report(&self) -> Report {
        let core = self.shared.core();
        Report::new(&core.node, core.counts, self.shared.now())
    }

    /// Tells all that it leaves, and returns when it has.
    pub async fn leave(&self) {
        self.shared.ends.send_replace(Some(Leave::Told));
        let mut ended = self.shared.has_ended.subscribe();
        tokio::time::timeout(4 * LEAVES, ended.wait_for(|ended| *ended))
            .await
            .ok();
    }
}

async fn live(shared: Arc<Shared>, sockets: Option<Sockets>, listen: SocketAddr, log: Log) {
    let mut ends = shared.ends.subscribe();
    let sockets = match sockets {
        Some(sockets) => sockets,
        None => {
            log(format_args!(
                "instances: another process holds {listen}, waiting for it to end"
            ));
            tokio::select! {
                sockets = bind_later(listen, &log) => sockets,
                _ = ends.wait_for(|ends| ends.is_some()) => return,
            }
        }
    };
    shared.is_bound.store(true, Ordering::Relaxed);
    let (at, from) = (sockets.at, sockets.at.ip());
    let opened = UdpSocket::from_std(sockets.datagrams)
        .and_then(|datagrams| Ok((datagrams, TcpListener::from_std(sockets.streams)?)));
    let (datagrams, listener) = match opened {
        Ok(opened) => opened,
        Err(error) => return log(format_args!("instances: `listen` {at}: {error}")),
    };
    log(format_args!(
        "instances: takes messages at {at}, found at {}",
        shared.core().node.me().at
    ));
    let (orders, waiting) = mpsc::channel(WAITING);
    let mut tasks = JoinSet::new();
    tasks.spawn(streams::bring(shared.clone(), waiting, from));
    tasks.spawn(streams::take(shared.clone(), listener));
    let mut member = Living {
        shared,
        datagrams,
        orders,
        log,
        told_at: None,
        told: 0,
    };
    let mut buffer = vec![0; LONGEST];
    let mut look = tokio::time::interval(LOOK);
    loop {
        let (wake, wait) = member.turn();
        tokio::select! {
            biased;
            _ = ends.wait_for(|ends| ends.is_some()) => break,
            () = sleep(wake) => {}
            _ = look.tick() => member.look_for(),
            () = member.shared.poke.notified() => {}
            Ok(()) = member.datagrams.readable(), if wait.is_none() => member.read(&mut buffer),
            () = sleep(wait.unwrap_or_default()), if wait.is_some() => {}
        }
    }
    if *ends.borrow() == Some(Leave::Told) {
        let now = member.shared.now();
        member.shared.core().node.leave(now);
        member.turn();
        tokio::task::yield_now().await;
    }
}

async fn bind_later(listen: SocketAddr, log: &Log) -> Sockets {
    let mut told = false;
    loop {
        sleep(AGAIN).await;
        match bind(listen) {
            Ok(sockets) => return sockets,
            Err(error) if error.kind() != io::ErrorKind::AddrInUse && !told => {
                told = true;
                log(format_args!("instances: `listen` {listen}: {error}"));
            }
            Err(_) => {}
        }
    }
}

struct Living {
    shared: Arc<Shared>,
    datagrams: UdpSocket,
    orders: mpsc::Sender<Order>,
    log: Log,
    /// When and of how many it was last told that they were not understood.
    told_at: Option<u64>,
    told: u64,
}

impl Living {
    /// Lets time pass and sends what is to be sent. Returns when the next turn is due, and how long nothing that comes
    /// may be looked at.
    fn turn(&mut self) -> (Duration, Option<Duration>) {
        let (began, now, mut core) = (Instant::now(), self.shared.now(), self.shared.core());
        if self.shared.stands_still(now) {
            core.counts.held_back += 1;
            return (Duration::from_millis(100), None);
        }
        core.node.tick(now);
        while let Some(out) = core.node.next_out() {
            let bytes = core.sealed(out.bytes);
            let sent = match out.reliable {
                true => self.orders.try_send(Order { to: out.to, bytes }).is_ok(),
                false => self.datagrams.try_send_to(&bytes, out.to).is_ok(),
            };
            core.counts.not_sent += u64::from(!sent);
        }
        while let Some(event) = core.node.next_event() {
            if let Event::Suspected { name, .. } = &event {
                // At once: its machine may say that it is gone.
                let suspect = core.node.suspects().find(|card| card.name == *name);
                let order = suspect.map(|card| Order {
                    to: card.at,
                    bytes: Vec::new(),
                });
                order.and_then(|order| self.orders.try_send(order).ok());
            }
            say(&self.log, &event, &core.node);
        }
        let strange = core.counts.other_key + core.counts.other_version;
        if strange > self.told && self.told_at.is_none_or(|at| now >= at + TOLD_AGAIN) {
            let (key, version) = (core.counts.other_key, core.counts.other_version);
            (self.log)(format_args!(
                "instances: not believed so far: {key} under other keys, {version} of other versions"
            ));
            (self.told_at, self.told) = (Some(now), strange);
        }
        let wake = core.node.wake_at().saturating_sub(now).max(1_000_000);
        // A flood also costs the turns that come between its parts.
        core.budget.spend(began.elapsed());
        (Duration::from_nanos(wake), core.budget.wait(now))
    }

    fn read(&self, buffer: &mut [u8]) {
        let began = Instant::now();
        for _ in 0..BATCH {
            // An error may tell of an earlier datagram that nobody took.
            match self.datagrams.try_recv_from(buffer) {
                Ok((length, _)) => drop(self.shared.came(&buffer[..length])),
                Err(_) => break,
            }
        }
        self.shared.core().budget.spend(began.elapsed());
    }

    /// Asks machines whether the processes are there that are suspected.
    fn look_for(&self) {
        let now = self.shared.now();
        for to in self.shared.core().look_for(now) {
            self.orders
                .try_send(Order {
                    to,
                    bytes: Vec::new(),
                })
                .ok();
        }
    }
}

/// A line for each change, with its reason.
fn say(log: &Log, event: &Event, node: &Node) {
    let by = |by: &Option<Name>| match by {
        Some(by) if *by == node.me().name => "found here".to_owned(),
        Some(by) => format!("found by {by}"),
        None => "as others say".to_owned(),
    };
    match event {
        Event::Joined(card) => {
            log(format_args!(
                "instances: {} joined, zone {}, at {}",
                card.name, card.zone, card.at
            ));
        }
        Event::Recovered(name) => log(format_args!(
            "instances: {name} is there: it says so itself"
        )),
        Event::Suspected { name, by: who } => {
            log(format_args!(
                "instances: {name} suspected: no answer by any way, {}",
                by(who)
            ));
        }
        Event::Dead { name, by: who } => {
            log(format_args!(
                "instances: {name} dead: nobody contradicted, {}",
                by(who)
            ));
        }
        Event::Left(name) => log(format_args!("instances: {name} left: it said so")),
        Event::ProcessPaused(time) => {
            log(format_args!(
                "instances: stood still for {} ms",
                time.as_millis()
            ));
        }
        Event::NameConflict { name, at } => {
            log(format_args!(
                "instances: two use the name {name}: at {} and at {}",
                at[0], at[1]
            ));
        }
        Event::IsolationChanged(true) => log(format_args!(
            "instances: cut off from most others, judges nobody"
        )),
        Event::IsolationChanged(false) => log(format_args!("instances: no longer cut off")),
    }
}
