//! The core process: a control machine on sockets and its disk.

mod api;
mod disk;
mod hints;
mod peers;
mod queue;
mod stall;

use crate::settings::NodeSettings;
use crate::watch::SettingsWatch;
use api::Call;
use bytes::Bytes;
use disk::Disk;
use hints::Hints;
use peers::Links;
use queue::FrameSender;
use stall::StallDetector;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::{MissedTickBehavior, interval};
use woadstall_consensus::{DurableState, Member, ReplicaId, Snapshot};
use woadstall_control::machine::{
    Action, CallResponse, ControlMachine, MachineSettings, ResolveResponse, founding_snapshot,
};
use woadstall_control::shards::hash;
use woadstall_control::wire::{MachineInfo, Packet};
use woadstall_storage::{Storage, StorageError};

/// How often the machine is told the time.
const TICK: Duration = Duration::from_millis(50);
/// How often the settings file is looked at.
const SETTINGS_EVERY: Duration = Duration::from_secs(1);
/// How often changed registrations are written to the disk at most.
const KEEP_EVERY: Duration = Duration::from_millis(500);
/// How often registrations are written although nothing has changed, so that their age can be told.
const KEEP_AT_LEAST_EVERY: Duration = Duration::from_secs(10);
/// How long calls are answered after SIGTERM, while leadership moves.
const LEAVING: Duration = Duration::from_millis(600);
/// How much longer at most, while another machine takes this one's vote.
const LEAVING_REPLACED: Duration = Duration::from_millis(2_000);

/// The process can't run.
#[derive(Debug, Error)]
pub enum CoreError {
    /// A field that this role needs is missing in the settings.
    #[error("the settings of a core process lack {0}")]
    Missing(&'static str),
    /// The disk can't be used.
    #[error("storage: {0}")]
    Storage(#[from] StorageError),
    /// A socket or signal can't be set up.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// What the system says.
        source: std::io::Error,
    },
}

/// What happens to a core process.
#[derive(Debug)]
pub(crate) enum Event {
    /// A link to another machine has come up.
    LinkUp(String),
    /// A packet has come from another machine.
    Packet {
        /// Its internal address.
        from: String,
        /// The packet.
        packet: Packet,
    },
    /// A balancer asks for the feed.
    Subscribe {
        /// The number of its connection.
        subscriber: u64,
        /// What it asks.
        packet: Packet,
        /// Where packets for it go.
        queue: FrameSender,
    },
    /// A balancer's connection has ended.
    Unsubscribe(u64),
    /// Records are durable.
    Persisted(u64),
    /// Registrations are durable.
    Kept(u64),
    /// A call of an operator, an upstream or a client.
    Call {
        /// The call.
        call: Call,
        /// When it was read.
        read_at: Instant,
        /// Where its answer goes.
        reply: SyncSender<Reply>,
    },
}

/// The answer to a call, as the HTTP side needs it.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// An answer of the machine.
    Answer(CallResponse),
    /// An upstream's heartbeat was taken; where it sends later ones.
    Registered(String),
    /// The balancers for a client.
    Balancers(ResolveResponse),
    /// How the machine stands, as JSON.
    Status(String),
}

/// Runs until SIGTERM.
pub fn run(settings: &NodeSettings, watch: SettingsWatch) -> Result<(), CoreError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(io("the runtime"))?;
    runtime.block_on(serve(settings, watch))
}

fn io(what: &str) -> impl FnOnce(std::io::Error) -> CoreError {
    let what = what.to_owned();
    move |source| CoreError::Io { what, source }
}

async fn serve(settings: &NodeSettings, watch: SettingsWatch) -> Result<(), CoreError> {
    let control = settings
        .listens("control")
        .ok_or(CoreError::Missing("listen.control"))?;
    let folder = settings
        .data_dir
        .as_ref()
        .ok_or(CoreError::Missing("data_dir"))?;
    let mut storage = Storage::open(folder)?;
    let durable = match storage.state() {
        Some(state) => state.clone(),
        None => {
            let state = first_state(settings, control);
            storage.initialize(state.clone())?;
            state
        }
    };
    let internal = settings.internal_address();
    let member = Member {
        id: durable.id,
        address: internal.to_string(),
    };
    log::info!(
        "core starts id={:x} address={internal} last={}",
        durable.id,
        durable.log.last_index()
    );
    let machine = MachineInfo {
        member,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        control: control.to_string(),
    };
    let machine_settings = MachineSettings {
        machine,
        seeds: settings
            .internal_seeds()
            .iter()
            .map(SocketAddr::to_string)
            .collect(),
        zones: settings.zones.clone(),
        heartbeat_ms: settings.heartbeat_ms,
        tolerated: settings.tolerated,
        incarnation: fastrand::u64(1..),
    };
    let (events, received) = mpsc::unbounded_channel();
    let listener = TcpListener::bind(internal)
        .await
        .map_err(io("the internal address"))?;
    let datagrams = UdpSocket::bind(internal)
        .await
        .map_err(io("the internal address, UDP"))?;
    tokio::spawn(peers::accept(listener, events.clone()));
    tokio::spawn(peers::receive(datagrams, events.clone()));
    api::start(settings, control, &events)?;
    let (hints, registrations) = Hints::open(folder, disk::time_of_day());
    let mut machine = ControlMachine::new(machine_settings, durable, 0, fastrand::u64(..));
    log::info!("registrations remembered: {}", registrations.len());
    machine.restore_registrations(registrations);
    let process = Process {
        started: Instant::now(),
        machine,
        links: Links::new(events.clone()),
        disk: Disk::start(storage, hints, events),
        kept: 0,
        kept_at: Instant::now(),
        stalls: StallDetector::new(Instant::now()),
        watch,
        settings_read: Instant::now(),
        subscribers: BTreeMap::new(),
        calls: HashMap::new(),
        next_token: 0,
    };
    process.run(received).await
}

/// The state of a machine with an empty disk. Only at the very first start, and only on the seeds, is the group founded;
/// any other machine joins it under a new identity.
fn first_state(settings: &NodeSettings, control: SocketAddr) -> DurableState {
    let is_founder = settings.bootstrap && settings.seeds.contains(&control);
    if !is_founder {
        let id = fastrand::u64(1..);
        return DurableState::new(id, Snapshot::default());
    }
    let founder = |seed: &SocketAddr| Member {
        id: founder_id(*seed),
        address: settings.internal_address_of(*seed).to_string(),
    };
    let founders: Vec<Member> = settings.seeds.iter().map(founder).collect();
    DurableState::new(founder_id(control), founding_snapshot(&founders))
}

fn founder_id(seed: SocketAddr) -> ReplicaId {
    hash(&seed.to_string()).max(1)
}

/// A caller that waits for its answer.
struct Waiting {
    reply: SyncSender<Reply>,
    /// Where an upstream sends its later heartbeats.
    heartbeat_address: Option<String>,
}

struct Process {
    started: Instant,
    machine: ControlMachine,
    links: Links,
    disk: Disk,
    /// The version of the registrations that the disk has, and since when.
    kept: u64,
    kept_at: Instant,
    stalls: StallDetector,
    watch: SettingsWatch,
    settings_read: Instant,
    subscribers: BTreeMap<u64, FrameSender>,
    calls: HashMap<u64, Waiting>,
    next_token: u64,
}

impl Process {
    async fn run(mut self, mut events: UnboundedReceiver<Event>) -> Result<(), CoreError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(io("SIGTERM"))?;
        let mut hangup = signal(SignalKind::hangup()).map_err(io("SIGHUP"))?;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leaving: Option<Instant> = None;
        self.carry_out();
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => {
                        self.stalls.turn(Instant::now());
                        self.handle(event);
                    }
                    None => return Ok(()),
                },
                _ = ticks.tick() => {
                    self.stalls.turn(Instant::now());
                    self.machine.tick(self.now());
                }
                _ = hangup.recv() => self.take_settings(true),
                _ = terminate.recv() => {
                    log::info!("SIGTERM: leadership is handed over");
                    self.machine.begin_shutdown(self.now());
                    leaving = Some(Instant::now());
                }
            }
            // What has come meanwhile is handled before anything is sent.
            while let Ok(event) = events.try_recv() {
                self.handle(event);
            }
            self.carry_out();
            self.keep_registrations();
            if self.settings_read.elapsed() >= SETTINGS_EVERY {
                self.take_settings(false);
            }
            let patience = if self.machine.is_being_replaced() {
                LEAVING_REPLACED
            } else {
                LEAVING
            };
            if leaving.is_some_and(|since| since.elapsed() > patience) {
                return Ok(());
            }
        }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::LinkUp(address) => self.machine.link_up(now, &address),
            Event::Packet {
                packet: Packet::BalancerHeartbeat(heartbeat),
                ..
            } => self.machine.receive_heartbeat(now, heartbeat),
            Event::Packet { from, packet } => self.machine.receive_packet(now, &from, packet),
            Event::Subscribe {
                subscriber,
                packet,
                queue,
            } => {
                self.subscribers.insert(subscriber, queue);
                self.machine.subscribe(now, subscriber, &packet);
            }
            Event::Unsubscribe(subscriber) => {
                self.subscribers.remove(&subscriber);
                self.machine.unsubscribe(subscriber);
            }
            Event::Persisted(sequence) => self.machine.persisted(now, sequence),
            Event::Kept(number) => self.machine.registrations_persisted(now, number),
            Event::Call {
                call: Call::Order(_),
                read_at,
                reply,
            } if self.stalls.is_stale(Instant::now(), read_at) => {
                reply
                    .try_send(Reply::Answer(CallResponse::Indeterminate))
                    .ok();
            }
            Event::Call { call, reply, .. } => self.call(now, call, reply),
        }
    }

    fn wait(&mut self, token: u64, reply: SyncSender<Reply>, heartbeat_address: Option<String>) {
        self.calls.insert(
            token,
            Waiting {
                reply,
                heartbeat_address,
            },
        );
    }

    fn call(&mut self, now: u64, call: Call, reply: SyncSender<Reply>) {
        self.next_token += 1;
        let token = self.next_token;
        match call {
            Call::Order(command) => {
                self.wait(token, reply, None);
                self.machine.submit_command(now, token, command);
            }
            Call::ReadConfiguration => {
                self.wait(token, reply, None);
                self.machine.read_configuration(now, token);
            }
            Call::Register(registration) => {
                let address = self
                    .machine
                    .heartbeat_address(&registration.id, &registration.zone);
                self.wait(token, reply, address);
                self.machine.register(now, token, registration);
            }
            Call::Deregister(id) => {
                self.wait(token, reply, None);
                self.machine.deregister(now, token, &id);
            }
            Call::Resolve(question) => {
                let balancers = self.machine.resolve(&question);
                reply.try_send(Reply::Balancers(balancers)).ok();
            }
            Call::Status => {
                let status = api::status(&self.machine, now);
                reply.try_send(Reply::Status(status)).ok();
            }
        }
    }

    /// Takes over what may change while the process runs: the seeds.
    fn take_settings(&mut self, at_once: bool) {
        self.settings_read = Instant::now();
        if let Some(settings) = self.watch.changed(at_once) {
            log::info!("settings read again seeds={:?}", settings.seeds);
            let seeds = settings
                .internal_seeds()
                .iter()
                .map(SocketAddr::to_string)
                .collect();
            self.machine.set_seeds(seeds);
        }
    }

    fn keep_registrations(&mut self) {
        let version = self.machine.registry_version();
        let age = self.kept_at.elapsed();
        if age >= KEEP_AT_LEAST_EVERY || version != self.kept && age >= KEEP_EVERY {
            self.keep(0);
        }
    }

    /// Has the registrations written, as the machine wishes under this number.
    fn keep(&mut self, number: u64) {
        (self.kept, self.kept_at) = (self.machine.registry_version(), Instant::now());
        self.disk.keep(number, self.machine.registrations());
    }

    /// Sends a packet, encoded once. A reader that is too slow is cut off; it comes back and gets a snapshot.
    fn deliver(&mut self, subscribers: &[u64], packet: &Packet) {
        let frame = Bytes::from(packet.frame());
        for subscriber in subscribers {
            let queue = self.subscribers.get(subscriber);
            if queue.is_some_and(|queue| queue.send(frame.clone()).is_err()) {
                self.subscribers.remove(subscriber);
                self.machine.unsubscribe(*subscriber);
            }
        }
    }

    fn carry_out(&mut self) {
        let mut keep = None;
        for action in self.machine.take_actions() {
            match action {
                Action::Connect { address } => self.links.keep(address),
                Action::Disconnect { address } => self.links.drop(&address),
                Action::Send { address, packet } => self.links.send(&address, &packet),
                Action::Persist { sequence, record } => self.disk.write(sequence, record),
                Action::PersistRegistrations { number } => keep = Some(number),
                Action::Respond {
                    token,
                    response: answer,
                } => self.answer(token, answer),
                Action::Deliver {
                    subscribers,
                    packet,
                } => self.deliver(&subscribers, &packet),
                Action::Log(line) => log::info!("{line}"),
            }
        }
        if let Some(number) = keep {
            self.keep(number);
        }
    }

    fn answer(&mut self, token: u64, answer: CallResponse) {
        let Some(Waiting {
            reply,
            heartbeat_address,
        }) = self.calls.remove(&token)
        else {
            return;
        };
        let answer = match (answer, heartbeat_address) {
            (CallResponse::Acknowledged, Some(address)) => Reply::Registered(address),
            (answer, _) => Reply::Answer(answer),
        };
        reply.try_send(answer).ok();
    }
}

pub(crate) type Events = UnboundedSender<Event>;

#[cfg(test)]
#[path = "../../tests/unit/golden_core.rs"]
mod golden;
