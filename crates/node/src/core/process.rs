//! Task that owns the control machine, passes events to the machine and executes the machine's
//! actions.

use super::api::{self, ApiRequest, ApiResponse};
use super::coordination::{self, CoordinationHandle};
use super::disk::Disk;
use super::event::{Event, EventSender};
use super::frame_queue::FrameSender;
use super::peers::Peers;
use super::pending_requests::{PendingRequests, Responder, respond};
use super::signals::Signals;
use super::stall::StallDetector;
use super::{CoreError, addresses};
use crate::settings::{NodeSettings, SettingsWatcher};
use crate::time::millis;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{MissedTickBehavior, interval};
use woadstall_control::machine::{Action, CallResponse, ControlMachine};
use woadstall_control::wire::{MachineInfo, Packet};

/// Interval at which the machine's clock advances.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two writes of changed registrations.
const REGISTRATION_SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which unchanged registrations are written, so that their age is known after a
/// restart.
const REGISTRATION_REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which the coordination service receives the addresses of other control machines.
const KNOWN_ADDRESSES_INTERVAL: Duration = Duration::from_secs(1);
/// Time after SIGTERM for which requests are still answered while leadership is transferred.
const SHUTDOWN_PERIOD: Duration = Duration::from_millis(600);
/// Replaces [`SHUTDOWN_PERIOD`] while another machine takes over this machine's vote.
const REPLACEMENT_PERIOD: Duration = Duration::from_millis(2_000);

/// State of a running core process.
pub(super) struct Process {
    started: Instant,
    machine: ControlMachine,
    peers: Peers,
    disk: Disk,
    /// Version of the registry that was last passed to the disk thread.
    saved_version: u64,
    saved_at: Instant,
    stalls: StallDetector,
    watcher: SettingsWatcher,
    settings_checked_at: Instant,
    /// Frame queues of the subscribed balancers, by connection number.
    subscribers: BTreeMap<u64, FrameSender>,
    pending_requests: PendingRequests,
    /// Handle of the coordination service; `None` if the service is disabled.
    coordination: Option<CoordinationHandle>,
    known_addresses_sent_at: Instant,
}

impl Process {
    /// Creates a process that is started by [`Self::run`].
    pub fn new(
        machine: ControlMachine,
        disk: Disk,
        watcher: SettingsWatcher,
        events: EventSender,
        coordination: Option<CoordinationHandle>,
    ) -> Self {
        let now = Instant::now();
        Self {
            started: now,
            machine,
            peers: Peers::new(move |address| events.send(Event::PeerConnected(address)).is_ok()),
            disk,
            saved_version: 0,
            saved_at: now,
            stalls: StallDetector::new(now),
            watcher,
            settings_checked_at: now,
            subscribers: BTreeMap::new(),
            pending_requests: PendingRequests::default(),
            coordination,
            known_addresses_sent_at: now,
        }
    }

    /// Runs the event loop until SIGTERM, then for [`SHUTDOWN_PERIOD`] or [`REPLACEMENT_PERIOD`].
    pub async fn run(
        mut self,
        mut events: UnboundedReceiver<Event>,
        mut signals: Signals,
    ) -> Result<(), CoreError> {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut shutdown_began: Option<Instant> = None;
        self.execute_actions();
        loop {
            tokio::select! {
                event = events.recv() => {
                    let Some(event) = event else { return Ok(()) };
                    self.stalls.record_iteration(Instant::now());
                    self.handle(event);
                }
                _ = ticks.tick() => {
                    self.stalls.record_iteration(Instant::now());
                    self.machine.tick(self.now());
                }
                _ = signals.hangup.recv() => {
                    let settings = self.watcher.reload();
                    self.apply_settings(settings);
                }
                _ = signals.terminate.recv() => {
                    if shutdown_began.is_none() {
                        self.begin_shutdown();
                        shutdown_began = Some(Instant::now());
                    }
                }
            }
            // All queued events are handled first, so that the resulting actions are sent together.
            while let Ok(event) = events.try_recv() {
                self.handle(event);
            }
            self.execute_actions();
            self.save_registrations_if_due();
            if self.known_addresses_sent_at.elapsed() >= KNOWN_ADDRESSES_INTERVAL {
                self.send_known_addresses();
            }
            if self.settings_checked_at.elapsed() >= SETTINGS_CHECK_INTERVAL {
                let settings = self.watcher.reload_if_modified();
                self.apply_settings(settings);
            }
            if shutdown_began.is_some_and(|began| began.elapsed() > self.shutdown_period()) {
                return Ok(());
            }
        }
    }

    fn begin_shutdown(&mut self) {
        log::info!("shutdown_started signal=SIGTERM");
        self.machine.begin_shutdown(self.now());
        self.notify_coordination(coordination::Event::ShutdownStarted);
    }

    fn shutdown_period(&self) -> Duration {
        let coordination = self.coordination.as_ref();
        let is_being_replaced = self.machine.is_being_replaced()
            || coordination.is_some_and(CoordinationHandle::is_being_replaced);
        if is_being_replaced {
            REPLACEMENT_PERIOD
        } else {
            SHUTDOWN_PERIOD
        }
    }

    /// Returns the time since the start of the process in milliseconds, used as the machine's
    /// clock.
    fn now(&self) -> u64 {
        millis(self.started.elapsed())
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::PeerConnected(address) => self.machine.link_up(now, &address),
            Event::Packet {
                packet: Packet::BalancerHeartbeat(heartbeat),
                ..
            } => self.machine.receive_heartbeat(now, heartbeat),
            Event::Packet { from, packet } => self.machine.receive_packet(now, &from, packet),
            Event::Subscribe {
                subscriber,
                request,
                queue,
            } => {
                self.subscribers.insert(subscriber, queue);
                self.machine.subscribe(now, subscriber, request);
            }
            Event::Unsubscribe(subscriber) => self.unsubscribe(subscriber),
            Event::RecordsPersisted(sequence) => self.machine.persisted(now, sequence),
            Event::RegistrationsSaved(number) => self.machine.registrations_persisted(now, number),
            Event::Api {
                request,
                received_at,
                responder,
            } => self.handle_request(now, request, received_at, responder),
        }
    }

    fn unsubscribe(&mut self, subscriber: u64) {
        self.subscribers.remove(&subscriber);
        self.machine.unsubscribe(subscriber);
    }

    fn handle_request(
        &mut self,
        now: u64,
        request: ApiRequest,
        received_at: Instant,
        responder: Responder,
    ) {
        let is_command = matches!(request, ApiRequest::Command(_));
        if is_command && self.stalls.is_stale(Instant::now(), received_at) {
            respond(responder, ApiResponse::Machine(CallResponse::Indeterminate));
            return;
        }
        let token = self.pending_requests.next_token();
        match request {
            ApiRequest::Command(command) => {
                self.pending_requests.add(token, responder);
                self.machine.submit_command(now, token, command);
            }
            ApiRequest::ReadConfiguration => {
                self.pending_requests.add(token, responder);
                self.machine.read_configuration(now, token);
            }
            ApiRequest::Register(registration) => {
                let heartbeat_url = self
                    .machine
                    .heartbeat_address(&registration.id, &registration.zone);
                self.pending_requests
                    .add_registration(token, responder, heartbeat_url);
                self.machine.register(now, token, registration);
            }
            ApiRequest::Deregister(id) => {
                self.pending_requests.add(token, responder);
                self.machine.deregister(now, token, &id);
            }
            ApiRequest::Resolve(request) => {
                let balancers = self.machine.resolve(&request);
                respond(responder, ApiResponse::Balancers(balancers));
            }
            // The API server passes coordination requests directly to the coordination service.
            ApiRequest::Coordination(_) | ApiRequest::CoordinationStatus => {}
            ApiRequest::Status => {
                let status = api::status(&self.machine, now);
                respond(responder, ApiResponse::Status(status));
            }
        }
    }

    /// Applies reloaded settings. Only the seeds can change while the process runs.
    fn apply_settings(&mut self, settings: Option<NodeSettings>) {
        self.settings_checked_at = Instant::now();
        if let Some(settings) = settings {
            self.machine
                .set_seeds(addresses(&settings.internal_seeds()));
            let seeds = addresses(&settings.coordination_seeds());
            self.notify_coordination(coordination::Event::Seeds(seeds));
        }
    }

    /// Passes the addresses of the known control machines to the coordination service.
    fn send_known_addresses(&mut self) {
        self.known_addresses_sent_at = Instant::now();
        let Some(port) = self.coordination.as_ref().map(CoordinationHandle::port) else {
            return;
        };
        let machines = self.machine.machines();
        let address = |machine: &MachineInfo| {
            let internal: SocketAddr = machine.member.address.parse().ok()?;
            Some(SocketAddr::new(internal.ip(), port).to_string())
        };
        let addresses = machines.iter().filter_map(address).collect();
        self.notify_coordination(coordination::Event::KnownAddresses(addresses));
    }

    fn notify_coordination(&self, event: coordination::Event) {
        if let Some(coordination) = &self.coordination {
            coordination.send(event);
        }
    }

    fn save_registrations_if_due(&mut self) {
        let has_changed = self.machine.registry_version() != self.saved_version;
        let elapsed = self.saved_at.elapsed();
        let is_due = elapsed >= REGISTRATION_REFRESH_INTERVAL
            || has_changed && elapsed >= REGISTRATION_SAVE_INTERVAL;
        if is_due {
            self.save_registrations(0);
        }
    }

    /// Passes the registrations to the disk thread. `number` identifies the machine's request that
    /// the write completes; 0 means a periodic write.
    fn save_registrations(&mut self, number: u64) {
        self.saved_version = self.machine.registry_version();
        self.saved_at = Instant::now();
        self.disk
            .save_registrations(number, self.machine.registrations());
    }

    fn execute_actions(&mut self) {
        let mut save_number = None;
        for action in self.machine.take_actions() {
            match action {
                Action::Connect { address } => self.peers.connect(address),
                Action::Disconnect { address } => self.peers.disconnect(&address),
                Action::Send { address, packet } => {
                    self.peers.send(&address, || packet.encode().into());
                }
                Action::Persist { sequence, record } => self.disk.persist(sequence, record),
                Action::PersistRegistrations { number } => save_number = Some(number),
                Action::Respond { token, response } => {
                    self.pending_requests.complete(token, response)
                }
                Action::Deliver {
                    subscribers,
                    packet,
                } => self.deliver(&subscribers, &packet),
                Action::Log(event) => log::info!("{event}"),
            }
        }
        // Written after all other actions, so that one write contains all of their changes.
        if let Some(number) = save_number {
            self.save_registrations(number);
        }
    }

    /// Encodes a packet once and sends it to subscribers. A subscriber whose queue is full is
    /// disconnected, so that the balancer reconnects and receives a snapshot.
    fn deliver(&mut self, subscribers: &[u64], packet: &Packet) {
        let frame = Bytes::from(packet.encode());
        for subscriber in subscribers {
            let queue = self.subscribers.get(subscriber);
            if queue.is_some_and(|queue| queue.send(frame.clone()).is_err()) {
                self.unsubscribe(*subscriber);
            }
        }
    }
}
