//! The engine behind a mutex, calls that drive their own attempts, and the tasks that go with them.

use crate::call::Held;
use crate::slot::{Order, Slot};
use crate::{Clock, Transport};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout};
use woadstall_discovery::{EndpointList, WatchConfig, WatchEvent, watch_endpoints};
use woadstall_engine::decisions::{HealthVerdict as Finding, ZoneId};
use woadstall_engine::{
    AttemptEnd, AttemptInFlight, AttemptRecord, Call, CallResult, Command, Engine, Input,
    LearnedState, ListedUpstream, Outcome, Peer, RequestId, ServerId, Settings, Time,
};
use woadstall_settings::{Names, SettingsChange};

/// How often idle connections are looked through.
const SWEEP_EVERY: Duration = Duration::from_millis(500);
/// Timers ring together at steps of this. Each call sets one, and few are of any use once they ring: to wake a
/// thread for each costs more than the whole rest of the decisions.
const RING_EVERY: Duration = Duration::from_millis(4);
/// How long a probe may take.
const PROBE_PATIENCE: Duration = Duration::from_millis(250);

/// Where lines for the operators go.
pub type Log = Arc<dyn Fn(fmt::Arguments<'_>) + Send + Sync>;

/// What a balance starts from.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The settings of its decisions.
    pub settings: Settings,
    /// Their names.
    pub names: Names,
    /// Seed of its random numbers: another for each instance, and with each start.
    pub seed: u64,
    /// The list of upstreams as it is known already; it may be old.
    pub known: EndpointList,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Its class, as a position in the settings.
    pub class: usize,
    /// Its tenant, as a position in the settings.
    pub tenant: usize,
    /// Its work in nanoseconds, where the caller has a guess.
    pub work: Option<u64>,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Most attempts for it; 1 where it cannot be sent again.
    pub attempts: u32,
}

/// An upstream as it is listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its number.
    pub server: ServerId,
    /// Its name.
    pub name: String,
    /// When its process started, in Unix milliseconds.
    pub boot_ms: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its size, if it takes work.
    pub size: Option<f32>,
}

/// What a fleet's evidence is made of.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Attempts that have ended.
    pub ended: Vec<AttemptRecord>,
    /// Attempts that are out.
    pub out: Vec<AttemptInFlight>,
    /// All upstreams, where the list has changed, and how often it had.
    pub listed: Option<(u64, Vec<Upstream>)>,
}

pub(crate) type Core = Engine<Arc<Slot>, ()>;

pub(crate) struct Locked {
    pub(crate) engine: Core,
    next_id: u32,
    /// What the ringing task sleeps until.
    planned: Time,
    /// A call came since the timers were rung last.
    busy: bool,
}

pub(crate) struct Shared<T> {
    locked: Mutex<Locked>,
    pub(crate) transport: T,
    pub(crate) clock: Clock,
    names: Names,
    asked: bool,
    known: u64,
    seed: u64,
    pub(crate) may_cancel: bool,
    subscribe: UnboundedSender<()>,
    earlier: Notify,
    ready: watch::Sender<bool>,
    log: Log,
    pub(crate) runtime: Handle,
}

impl<T: Transport> Shared<T> {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Locked> {
        self.locked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn tell(self: &Arc<Self>, locked: &mut Locked, input: Input<'_, Arc<Slot>, ()>) {
        locked.engine.handle(self.clock.now(), input);
        self.carry_out(locked);
    }

    /// Does what the engine says; what concerns a call is left for its own task.
    fn carry_out(self: &Arc<Self>, locked: &mut Locked) {
        let engine = &mut locked.engine;
        while let Some(command) = engine.next_command() {
            match command {
                Command::SendAttempt(send) => match engine.request(send.id) {
                    Some(slot) => slot.push(Order::Send(send)),
                    None => {
                        let ended = Outcome::Moot.into();
                        let (id, attempt) = (send.id, send.attempt);
                        engine.handle(
                            self.clock.now(),
                            Input::AttemptEnded {
                                id,
                                attempt,
                                end: ended,
                            },
                        );
                    }
                },
                Command::CancelAttempt { id, attempt } => {
                    // A call that is answered or dropped withdraws its attempt by itself.
                    engine
                        .request(id)
                        .into_iter()
                        .for_each(|slot| slot.push(Order::Withdraw(attempt)));
                }
                Command::Respond {
                    request,
                    result: verdict,
                } => request.push(Order::Answer(verdict)),
                Command::Probe(peer) => self.probe(peer),
                Command::CloseIdleConnections(server) => self.transport.close_idle(server),
                Command::RetireConnections(server) => self.transport.retire(server),
                Command::WatchDiscovery => drop(self.subscribe.send(())),
                Command::Log(text) => (self.log)(format_args!("{text}")),
            }
        }
        if let Some(at) = engine.wake_at().filter(|at| *at < locked.planned) {
            let at = at.max(self.clock.now() + RING_EVERY.as_nanos() as Time);
            if at < locked.planned {
                locked.planned = at;
                self.earlier.notify_one();
            }
        }
    }

    fn probe(self: &Arc<Self>, peer: Peer) {
        let (shared, probe) = (self.clone(), self.transport.probe(peer, PROBE_PATIENCE));
        self.runtime.spawn(async move {
            let (outcome, load) = timeout(PROBE_PATIENCE, probe)
                .await
                .unwrap_or((Outcome::Timeout, None));
            shared.tell(
                &mut shared.lock(),
                Input::ProbeEnded(peer.server, outcome, load),
            );
        });
    }

    fn list(self: &Arc<Self>, listing: &EndpointList) {
        let entries = listing.entries(&self.names);
        let mut locked = self.lock();
        self.tell(
            &mut locked,
            Input::EndpointsListed {
                entries: &entries,
                is_complete: listing.is_complete,
            },
        );
        let ready = locked.engine.is_ready();
        drop(locked);
        if ready {
            self.ready
                .send_if_modified(|now| !std::mem::replace(now, true));
        }
    }

    fn hear(self: &Arc<Self>, update: WatchEvent) {
        match update {
            WatchEvent::List(list) => self.list(&list),
            WatchEvent::SubscriptionFailed => self.tell(&mut self.lock(), Input::DiscoveryFailed),
            WatchEvent::FirstFailure(error) => {
                (self.log)(format_args!("discovery failed: {error}"));
            }
            WatchEvent::Recovered { failures } => {
                (self.log)(format_args!(
                    "discovery answers again after {failures} failures"
                ));
            }
        }
    }

    pub(crate) fn ended(self: &Arc<Self>, id: RequestId, attempt: u32, ended: AttemptEnd<()>) {
        self.tell(
            &mut self.lock(),
            Input::AttemptEnded {
                id,
                attempt,
                end: ended,
            },
        );
    }
}

/// Rings the engine's timers until the balance is gone.
async fn ring<T: Transport>(shared: Weak<Shared<T>>) {
    let mut sweep_at = Instant::now() + SWEEP_EVERY;
    loop {
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = Instant::now();
        if now >= sweep_at {
            shared.transport.sweep();
            sweep_at = now + SWEEP_EVERY;
        }
        let next = {
            let mut locked = shared.lock();
            // Nothing asks for an earlier look while it is taken.
            locked.planned = 0;
            shared.tell(&mut locked, Input::Tick);
            let sweep = shared.clock.time(sweep_at);
            let step = shared.clock.now() + RING_EVERY.as_nanos() as Time;
            let due = locked.engine.wake_at().map_or(sweep, |at| at.min(sweep));
            // While calls come, the next one finds a step planned that is early enough for its timer.
            locked.planned = if std::mem::take(&mut locked.busy) {
                step
            } else {
                due.max(step)
            };
            shared.clock.instant(locked.planned)
        };
        tokio::select! {
            () = sleep_until(next) => {}
            () = shared.earlier.notified() => {}
        }
    }
}

/// Ends the tasks of a balance with its last clone.
struct Tasks(Mutex<Vec<AbortHandle>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        let tasks = self.0.get_mut().unwrap_or_else(PoisonError::into_inner);
        tasks.iter().for_each(AbortHandle::abort);
    }
}

/// See the crate's documentation. Clones share everything.
pub struct Balance<T> {
    shared: Arc<Shared<T>>,
    tasks: Arc<Tasks>,
    /// Subscriptions to discovery, until it is followed.
    subscribed: Arc<Mutex<Option<tokio::sync::mpsc::UnboundedReceiver<()>>>>,
}

impl<T> Clone for Balance<T> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            tasks: self.tasks.clone(),
            subscribed: self.subscribed.clone(),
        }
    }
}

impl<T: Transport> Balance<T> {
    /// A balance that knows the upstreams it is set up with, on the runtime that this is called in. The error
    /// names the setting at fault.
    pub fn new(setup: Setup, transport: T, log: Log) -> Result<Self, String> {
        let clock = Clock::default();
        let Setup {
            settings,
            names,
            seed,
            known,
        } = setup;
        let (asked, may_cancel) = (settings.subscribes_to_discovery, settings.may_cancel);
        let engine = Engine::new(settings, seed, clock.now())
            .map_err(|error| format!("settings: {error}"))?;
        let (subscribe, subscribed) = unbounded_channel();
        let shared = Arc::new(Shared {
            locked: Mutex::new(Locked {
                engine,
                next_id: 0,
                planned: 0,
                busy: false,
            }),
            transport,
            clock,
            names,
            asked,
            known: known.revision,
            seed,
            may_cancel,
            subscribe,
            earlier: Notify::new(),
            ready: watch::Sender::new(false),
            log,
            runtime: Handle::try_current().map_err(|error| error.to_string())?,
        });
        shared.list(&EndpointList {
            is_complete: true,
            ..known
        });
        let ringing = tokio::spawn(ring(Arc::downgrade(&shared))).abort_handle();
        let tasks = Arc::new(Tasks(Mutex::new(vec![ringing])));
        Ok(Self {
            shared,
            tasks,
            subscribed: Arc::new(Mutex::new(Some(subscribed))),
        })
    }

    /// Follows discovery at an address that may change, from the list that is known on. Once only.
    pub fn follow(&self, addresses: watch::Receiver<SocketAddr>) {
        let subscribed = self
            .subscribed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(subscribed) = subscribed else { return };
        let shared = Arc::downgrade(&self.shared);
        let hear = move |update| shared.upgrade().map(|shared| shared.hear(update)).is_some();
        let from = WatchConfig {
            known_revision: Some(self.shared.known),
            on_demand: self.shared.asked,
            seed: self.shared.seed,
        };
        let task = tokio::spawn(watch_endpoints(from, hear, subscribed, addresses)).abort_handle();
        self.tasks
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(task);
    }

    /// Takes a list of upstreams, whole or what changed.
    pub fn list(&self, listing: &EndpointList) {
        self.shared.list(listing);
    }

    /// Turns true once there is an upstream to send to.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.shared.ready.subscribe()
    }

    /// The names in the settings.
    pub fn names(&self) -> &Names {
        &self.shared.names
    }

    /// The connections to upstreams.
    pub fn transport(&self) -> &T {
        &self.shared.transport
    }

    /// How many requests are not answered, or have attempts out.
    pub fn open(&self) -> usize {
        self.shared.lock().engine.open()
    }

    /// Takes new settings, see [`Engine::retune`]. The error names the setting at fault, and nothing has changed.
    pub fn retune(&self, change: SettingsChange) -> Result<(), String> {
        let SettingsChange {
            settings,
            successions,
        } = change;
        let retuned = self.shared.lock().engine.retune(settings, &successions);
        retuned.map_err(|error| format!("settings: {error}"))
    }

    /// What is worth knowing for a process that takes over, and the names of the upstreams in it.
    pub fn learned(&self) -> (LearnedState, HashMap<ServerId, String>) {
        let locked = self.shared.lock();
        let names = locked
            .engine
            .names()
            .iter()
            .map(|(name, server)| (*server, name.clone()));
        (locked.engine.learned(), names.collect())
    }

    /// Takes what a predecessor has learned of the upstreams that are listed here.
    pub fn learn_from(&self, learned: impl FnOnce(&BTreeMap<String, ServerId>) -> LearnedState) {
        let mut locked = self.shared.lock();
        let learned = learned(locked.engine.names());
        locked.engine.learn_from(self.shared.clock.now(), &learned);
    }

    /// Keeps the ends of attempts from now on, to be fetched by [`Balance::observations`].
    pub fn observe(&self) {
        self.shared.lock().engine.observe();
    }

    /// What has been seen since this was asked last; the list, if it has changed since it was `seen`.
    pub fn observations(&self, seen: u64) -> Observations {
        let mut locked = self.shared.lock();
        let ended = locked.engine.take_observed();
        let out = locked.engine.outstanding(self.shared.clock.now()).collect();
        let (changes, all) = locked.engine.listed();
        let listed = (changes != seen).then(|| {
            let upstream = |of: ListedUpstream<'_>| Upstream {
                server: of.server,
                name: of.name.to_owned(),
                boot_ms: of.boot_ms,
                zone: of.zone,
                size: of.size,
            };
            (changes, all.map(upstream).collect())
        });
        Observations { ended, out, listed }
    }

    /// Tells the module what the fleet has found, as of the time on its clock.
    pub fn told(&self, findings: impl FnOnce(Time) -> Vec<Finding>) {
        let findings = findings(self.shared.clock.now());
        self.shared
            .tell(&mut self.shared.lock(), Input::FleetFindings(&findings));
    }

    /// How many upstreams are listed, and how many of them are avoided.
    pub fn upstreams(&self) -> (usize, usize) {
        let locked = self.shared.lock();
        (locked.engine.upstreams(), locked.engine.avoided())
    }

    /// Has a request answered. Dropping the future means that its caller has left.
    pub async fn call(&self, ask: Ask, request: T::Request) -> CallResult<T::Answer> {
        let shared = &self.shared;
        let slot = Arc::new(Slot::default());
        let id = {
            let mut locked = shared.lock();
            locked.busy = true;
            let id = loop {
                let id = RequestId(locked.next_id);
                locked.next_id = locked.next_id.wrapping_add(1);
                if !locked.engine.is_open(id) {
                    break id;
                }
            };
            let Ask {
                class,
                tenant,
                work,
                deadline,
                attempts,
            } = ask;
            let deadline = shared.clock.time(deadline);
            let call = Call {
                id,
                request: slot.clone(),
                class,
                tenant,
                work,
                deadline,
                max_attempts: attempts,
            };
            shared.tell(&mut locked, Input::Call(call));
            id
        };
        Held::new(shared.clone(), id, slot, request).drive().await
    }
}
