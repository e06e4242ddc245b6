//! The engine behind a mutex, and the execution of the engine's commands.

use crate::command_queue::{CallCommand, CommandQueue};
use crate::discovery_status::DiscoveryCounts;
use crate::{Clock, Transport};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;
use woadstall_discovery::{EndpointList, FailedCall, FailureNotice, WatchEvent};
use woadstall_engine::{
    AttemptEnd, Command, Engine, Input, Outcome, Peer, RequestId, SendAttempt, Time,
};
use woadstall_settings::Names;

/// Resolution of the timers: timers that are due within one step fire together. Each call sets a timer, and most calls
/// have ended when their timer fires. Waking up a thread for each timer costs more than all other decision work.
pub(crate) const TIMER_STEP: Duration = Duration::from_millis(4);

/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Receives log lines.
pub type LogSink = Arc<dyn Fn(fmt::Arguments<'_>) + Send + Sync>;

/// The engine type of the runtime. Each request in the engine is the command queue of its call.
pub(crate) type CallEngine = Engine<Arc<CommandQueue>, ()>;

/// The state guarded by the mutex of [`Shared`].
pub(crate) struct EngineState {
    pub engine: CallEngine,
    /// Candidate for the id of the next call.
    next_id: u32,
    /// Time at which the timer task wakes up next.
    pub planned_wake_up: Time,
    /// Whether a call has arrived since the timers last fired.
    pub had_calls: bool,
}

impl EngineState {
    pub fn new(engine: CallEngine) -> Self {
        Self {
            engine,
            next_id: 0,
            planned_wake_up: 0,
            had_calls: false,
        }
    }

    /// Returns an id that no open call uses.
    pub fn unused_id(&mut self) -> RequestId {
        loop {
            let id = RequestId(self.next_id);
            self.next_id = self.next_id.wrapping_add(1);
            if !self.engine.is_call_open(id) {
                return id;
            }
        }
    }
}

/// State shared by calls, the timer task and the discovery watch.
pub(crate) struct Shared<T> {
    pub state: Mutex<EngineState>,
    pub transport: T,
    pub clock: Clock,
    pub names: Names,
    /// Whether the settings at the load balancer's start allow cancelling an attempt in flight.
    pub may_cancel: bool,
    /// Sends the engine's requests to watch discovery.
    pub subscription_sender: UnboundedSender<()>,
    /// Notifies the timer task of a timer that is due before the planned wake-up.
    pub earlier_timer: Notify,
    /// Whether an upstream has been available for requests.
    pub ready: watch::Sender<bool>,
    pub discovery: DiscoveryCounts,
    pub log: LogSink,
    pub runtime: Handle,
}

impl<T: Transport> Shared<T> {
    pub fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an input to the engine and executes the resulting commands.
    pub fn handle(
        self: &Arc<Self>,
        state: &mut EngineState,
        input: Input<'_, Arc<CommandQueue>, ()>,
    ) {
        state.engine.handle(self.clock.now(), input);
        self.execute_commands(state);
        self.plan_wake_up(state);
    }

    /// Executes the engine's commands; commands for a call are queued for the call's task.
    fn execute_commands(self: &Arc<Self>, state: &mut EngineState) {
        let engine = &mut state.engine;
        while let Some(command) = engine.next_command() {
            match command {
                Command::SendAttempt(send) => self.send_attempt(engine, send),
                Command::CancelAttempt { id, attempt } => {
                    // The engine no longer knows a call that has its result or was dropped; such a call cancels its
                    // own attempt.
                    if let Some(queue) = engine.request(id) {
                        queue.push(CallCommand::CancelAttempt(attempt));
                    }
                }
                Command::Respond {
                    request: queue,
                    result,
                } => {
                    queue.push(CallCommand::Respond(result));
                }
                Command::Probe(peer) => self.probe(peer),
                Command::CloseIdleConnections(server) => self.transport.close_idle(server),
                Command::RetireConnections(server) => self.transport.retire(server),
                Command::WatchDiscovery => drop(self.subscription_sender.send(())),
                Command::Log(text) => (self.log)(format_args!("{text}")),
            }
        }
    }

    /// Queues an attempt for the call's task. If the engine no longer knows the call, the attempt ends unsent.
    fn send_attempt(&self, engine: &mut CallEngine, send: SendAttempt) {
        if let Some(queue) = engine.request(send.id) {
            return queue.push(CallCommand::SendAttempt(send));
        }
        let (id, attempt) = (send.id, send.attempt);
        let end = Outcome::Moot.into();
        engine.handle(self.clock.now(), Input::AttemptEnded { id, attempt, end });
    }

    /// Moves the planned wake-up forward if a timer is due earlier.
    fn plan_wake_up(&self, state: &mut EngineState) {
        let Some(due) = state
            .engine
            .wake_at()
            .filter(|due| *due < state.planned_wake_up)
        else {
            return;
        };
        let due = due.max(self.clock.now() + TIMER_STEP.as_nanos() as Time);
        if due < state.planned_wake_up {
            state.planned_wake_up = due;
            self.earlier_timer.notify_one();
        }
    }

    fn probe(self: &Arc<Self>, peer: Peer) {
        let shared = self.clone();
        let probe = self.transport.probe(peer, PROBE_TIMEOUT);
        self.runtime.spawn(async move {
            let result = timeout(PROBE_TIMEOUT, probe).await;
            let (outcome, load) = result.unwrap_or((Outcome::Timeout, None));
            let input = Input::ProbeEnded(peer.server, outcome, load);
            shared.handle(&mut shared.lock(), input);
        });
    }

    /// Passes a complete or an incremental list of upstreams to the engine.
    pub fn update_endpoints(self: &Arc<Self>, list: &EndpointList) {
        let entries = list.entries(&self.names);
        let mut state = self.lock();
        let is_complete = list.is_complete;
        self.handle(
            &mut state,
            Input::EndpointsListed {
                entries: &entries,
                is_complete,
            },
        );
        let is_ready = state.engine.is_ready();
        drop(state);
        if is_ready {
            self.ready
                .send_if_modified(|ready| !std::mem::replace(ready, true));
        }
    }

    /// Handles an event of the discovery watch.
    pub fn on_watch_event(self: &Arc<Self>, event: WatchEvent) {
        match event {
            WatchEvent::List(list) => {
                self.discovery.count_response();
                self.update_endpoints(&list);
            }
            WatchEvent::SubscriptionFailed => {
                self.handle(&mut self.lock(), Input::DiscoveryFailed);
            }
            WatchEvent::CallFailed(failed) => self.on_failed_call(&failed),
            WatchEvent::Recovered { failures } => {
                (self.log)(format_args!("discovery_recovered failures={failures}"));
            }
        }
    }

    fn on_failed_call(&self, failed: &FailedCall) {
        self.discovery.count_failure();
        let error = &failed.error;
        match failed.notice {
            FailureNotice::First => (self.log)(format_args!("discovery_failed error=\"{error}\"")),
            FailureNotice::Reminder => {
                let seconds = failed.duration.as_secs();
                let failures = failed.failures;
                (self.log)(format_args!(
                    "discovery_failing seconds={seconds} failures={failures} error=\"{error}\""
                ));
            }
            FailureNotice::Quiet => {}
        }
    }

    /// Reports a completed attempt to the engine.
    pub fn attempt_ended(self: &Arc<Self>, id: RequestId, attempt: u32, end: AttemptEnd<()>) {
        self.handle(&mut self.lock(), Input::AttemptEnded { id, attempt, end });
    }
}
