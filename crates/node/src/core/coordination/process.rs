//! Task that owns the coordination machine, passes events to the machine and executes the machine's
//! actions.

use super::disk::Disk;
use super::event::{CoordinationRequest, Event, EventSender};
use crate::core::api::{ApiResponse, coordination_status};
use crate::core::peers::Peers;
use crate::core::pending_requests::{Responder, respond};
use crate::core::stall::StallDetector;
use crate::time::millis;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{MissedTickBehavior, interval, sleep_until};
use woadstall_control::wire::encode_frame;
use woadstall_coordination::machine::{Action, CoordinationMachine, Response};

/// Maximum interval between two advances of the machine's clock.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for which the task waits for an event while the machine has no deadline.
const IDLE_PERIOD: Duration = Duration::from_secs(1);

/// State of the running coordination service.
pub(super) struct Process {
    started: Instant,
    machine: CoordinationMachine,
    peers: Peers,
    disk: Disk,
    stalls: StallDetector,
    /// Whether the process is shutting down. New requests are then rejected, so that callers use
    /// other machines.
    is_shutting_down: bool,
    is_being_replaced: Arc<AtomicBool>,
    last_token: u64,
    /// Response channels of the requests that wait for the machine, by token.
    responders: HashMap<u64, Responder>,
}

impl Process {
    /// Creates a service that is started by [`Self::run`].
    pub fn new(
        machine: CoordinationMachine,
        disk: Disk,
        events: EventSender,
        is_being_replaced: Arc<AtomicBool>,
    ) -> Self {
        let now = Instant::now();
        Self {
            started: now,
            machine,
            peers: Peers::new(move |address| events.send(Event::PeerConnected(address)).is_ok()),
            disk,
            stalls: StallDetector::new(now),
            is_shutting_down: false,
            is_being_replaced,
            last_token: 0,
            responders: HashMap::new(),
        }
    }

    /// Runs the event loop until the event queue is closed.
    pub async fn run(mut self, mut events: UnboundedReceiver<Event>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.execute_actions();
        loop {
            let due = self.next_due();
            tokio::select! {
                event = events.recv() => {
                    let Some(event) = event else { return };
                    self.stalls.record_iteration(Instant::now());
                    self.handle(event);
                }
                _ = ticks.tick() => {
                    self.stalls.record_iteration(Instant::now());
                    self.cancel_abandoned_watches();
                    self.machine.tick(self.now());
                }
                () = sleep_until(due.into()) => self.machine.tick(self.now()),
            }
            // All queued events are handled first, so that the resulting actions are sent together.
            while let Ok(event) = events.try_recv() {
                self.handle(event);
            }
            self.execute_actions();
            let is_being_replaced = self.machine.is_being_replaced();
            self.is_being_replaced
                .store(is_being_replaced, Ordering::Relaxed);
        }
    }

    /// Returns the time at which the machine's clock must advance at the latest.
    fn next_due(&self) -> Instant {
        let due = self.machine.next_due();
        due.map_or_else(
            || Instant::now() + IDLE_PERIOD,
            |due| self.started + Duration::from_millis(due),
        )
    }

    /// Returns the time since the start of the service in milliseconds, used as the machine's
    /// clock.
    fn now(&self) -> u64 {
        millis(self.started.elapsed())
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::PeerConnected(address) => self.machine.connection_established(now, &address),
            Event::Packet { from, packet } => self.machine.receive_packet(now, &from, packet),
            Event::RecordsPersisted(sequence) => self.machine.persisted(now, sequence),
            Event::Request {
                request,
                received_at,
                responder,
            } => self.handle_request(now, request, received_at, responder),
            Event::Status { responder } => {
                let status = coordination_status(&self.machine);
                respond(responder, ApiResponse::Status(status));
            }
            Event::KnownAddresses(addresses) => self.machine.set_known_addresses(addresses),
            Event::Seeds(seeds) => self.machine.set_seeds(seeds),
            Event::ShutdownStarted => {
                self.is_shutting_down = true;
                self.machine.begin_shutdown(now);
            }
        }
    }

    fn handle_request(
        &mut self,
        now: u64,
        request: CoordinationRequest,
        received_at: Instant,
        responder: Responder,
    ) {
        if self.is_shutting_down || self.stalls.is_stale(Instant::now(), received_at) {
            let response = ApiResponse::Coordination(Response::NotExecuted);
            respond(responder, response);
            return;
        }
        self.last_token += 1;
        let token = self.last_token;
        self.responders.insert(token, responder);
        match request {
            CoordinationRequest::Call(call) => self.machine.submit(now, token, call),
            CoordinationRequest::Watch(watch) => self.machine.watch(now, token, watch),
        }
    }

    /// Cancels watches whose connections have ended, so that their slots become free. Calls can't
    /// be cancelled because they may already have been proposed.
    fn cancel_abandoned_watches(&mut self) {
        let responders = self.responders.iter();
        let abandoned = responders.filter(|(_, responder)| responder.is_closed());
        let tokens: BTreeSet<u64> = abandoned.map(|(token, _)| *token).collect();
        if !tokens.is_empty() {
            self.responders.retain(|token, _| !tokens.contains(token));
            self.machine.cancel_watches(&tokens);
        }
    }

    fn execute_actions(&mut self) {
        for action in self.machine.take_actions() {
            match action {
                Action::Connect { address } => self.peers.connect(address),
                Action::Disconnect { address } => self.peers.disconnect(&address),
                Action::Send { address, packet } => {
                    self.peers.send(&address, || encode_frame(&packet).into());
                }
                Action::Persist { sequence, record } => self.disk.persist(sequence, record),
                Action::Respond { token, response } => {
                    if let Some(responder) = self.responders.remove(&token) {
                        respond(responder, ApiResponse::Coordination(response));
                    }
                }
                Action::Log(event) => log::info!("{event}"),
            }
        }
    }
}
