//! The load balancer as fronts use it.

use crate::command_queue::CommandQueue;
use crate::discovery_status::{DiscoveryCounts, DiscoveryStatus};
use crate::pending_call::PendingCall;
use crate::shared::{EngineState, Shared};
use crate::timers::run_timers;
use crate::{Clock, LogSink, Observations, ReconfigureError, StartError, Transport, Upstream};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use woadstall_discovery::{EndpointList, WatchConfig, watch_endpoints};
use woadstall_engine::decisions::HealthVerdict;
use woadstall_engine::{
    Call, CallResult, Engine, Input, LearnedState, RequestId, ServerId, Settings, Time,
};
use woadstall_settings::{Names, SettingsChange};

/// What a load balancer starts with.
#[derive(Clone, Debug)]
pub struct LoadBalancerConfig {
    /// The settings of its decisions.
    pub settings: Settings,
    /// Their names.
    pub names: Names,
    /// Seed of its random numbers: another for each instance, and with each start.
    pub seed: u64,
    /// The list of upstreams as it is known already; it may be old.
    pub known_endpoints: EndpointList,
}

/// What a call asks for.
#[derive(Clone, Copy, Debug)]
pub struct CallParameters {
    /// Its class, as a position in the settings.
    pub class: usize,
    /// Its tenant, as a position in the settings.
    pub tenant: usize,
    /// Its work in nanoseconds, where the caller has an estimate.
    pub work: Option<u64>,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Most attempts for it; 1 where it cannot be sent again.
    pub max_attempts: u32,
}

/// Ends the tasks of a load balancer with its last clone.
struct Tasks(Mutex<Vec<AbortHandle>>);

impl Tasks {
    fn push(&self, task: AbortHandle) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(task);
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        let tasks = self.0.get_mut().unwrap_or_else(PoisonError::into_inner);
        tasks.iter().for_each(AbortHandle::abort);
    }
}

/// What a watch on discovery needs, until there is one.
struct UnstartedWatch {
    config: WatchConfig,
    subscriptions: UnboundedReceiver<()>,
}

/// See the crate's documentation. Clones share everything.
pub struct LoadBalancer<T> {
    shared: Arc<Shared<T>>,
    tasks: Arc<Tasks>,
    unstarted_watch: Arc<Mutex<Option<UnstartedWatch>>>,
}

impl<T> Clone for LoadBalancer<T> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            tasks: self.tasks.clone(),
            unstarted_watch: self.unstarted_watch.clone(),
        }
    }
}

impl<T: Transport> LoadBalancer<T> {
    /// A load balancer that knows the upstreams of its configuration, on the runtime that this is called in.
    ///
    /// # Errors
    ///
    /// Fails if the settings make no sense, and outside a tokio runtime.
    pub fn new(config: LoadBalancerConfig, transport: T, log: LogSink) -> Result<Self, StartError> {
        let LoadBalancerConfig {
            settings,
            names,
            seed,
            known_endpoints,
        } = config;
        let clock = Clock::default();
        let (subscribe, subscriptions) = unbounded_channel();
        let watch_config = WatchConfig {
            known_revision: Some(known_endpoints.revision),
            on_demand: settings.subscribes_to_discovery,
            seed,
        };
        let may_cancel = settings.may_cancel;
        let engine = Engine::new(settings, seed, clock.now()).map_err(StartError::Settings)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(EngineState::new(engine)),
            transport,
            clock,
            names,
            may_cancel,
            subscribe,
            earlier_timer: Notify::new(),
            ready: watch::Sender::new(false),
            discovery: DiscoveryCounts::new(clock),
            log,
            runtime: Handle::try_current()?,
        });
        shared.on_list(&EndpointList {
            is_complete: true,
            ..known_endpoints
        });
        let timers = tokio::spawn(run_timers(Arc::downgrade(&shared))).abort_handle();
        let watch = UnstartedWatch {
            config: watch_config,
            subscriptions,
        };
        Ok(Self {
            shared,
            tasks: Arc::new(Tasks(Mutex::new(vec![timers]))),
            unstarted_watch: Arc::new(Mutex::new(Some(watch))),
        })
    }

    /// Watches discovery at an address that may change, from the list that is known on. Only the first call of this has
    /// an effect.
    pub fn watch_discovery(&self, addresses: watch::Receiver<SocketAddr>) {
        let watch = self
            .unstarted_watch
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(UnstartedWatch {
            config,
            subscriptions,
        }) = watch
        else {
            return;
        };
        let shared = Arc::downgrade(&self.shared);
        let on_event = move |event| {
            let shared = shared.upgrade();
            shared.map(|shared| shared.on_watch_event(event)).is_some()
        };
        let watch = watch_endpoints(config, on_event, subscriptions, addresses);
        self.tasks.push(tokio::spawn(watch).abort_handle());
    }

    /// Takes a list of upstreams: all of them, or those that changed.
    pub fn list(&self, list: &EndpointList) {
        self.shared.on_list(list);
    }

    /// Turns true once there is an upstream that takes requests.
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

    /// How many calls have no result yet, or have attempts in flight.
    pub fn open(&self) -> usize {
        self.shared.lock().engine.open_call_count()
    }

    /// Takes new settings, see [`Engine::reconfigure`].
    ///
    /// # Errors
    ///
    /// Fails if the settings make no sense; nothing has changed then.
    pub fn reconfigure(&self, change: SettingsChange) -> Result<(), ReconfigureError> {
        let SettingsChange {
            settings,
            successions,
        } = change;
        let mut state = self.shared.lock();
        state
            .engine
            .reconfigure(settings, &successions)
            .map_err(ReconfigureError)
    }

    /// What a process that takes over should know, and the names of the upstreams in it.
    pub fn learned(&self) -> (LearnedState, HashMap<ServerId, String>) {
        let state = self.shared.lock();
        let ids = state.engine.upstream_ids().iter();
        let names = ids.map(|(name, server)| (*server, name.clone())).collect();
        (state.engine.learned_state(), names)
    }

    /// Takes what a predecessor has learned of the upstreams that are listed here, by their names.
    pub fn learn_from(&self, learned: impl FnOnce(&BTreeMap<String, ServerId>) -> LearnedState) {
        let mut state = self.shared.lock();
        let learned = learned(state.engine.upstream_ids());
        state
            .engine
            .restore_learned_state(self.shared.clock.now(), &learned);
    }

    /// Keeps the ends of attempts from now on, to be taken by [`LoadBalancer::observations`].
    pub fn observe(&self) {
        self.shared.lock().engine.record_attempts();
    }

    /// What has happened since the last call of this. With the list, if it has changed another number of times than
    /// `known_changes`.
    pub fn observations(&self, known_changes: u64) -> Observations {
        let mut state = self.shared.lock();
        let ended = state.engine.take_attempt_records();
        let in_flight = state
            .engine
            .attempts_in_flight(self.shared.clock.now())
            .collect();
        let (changes, upstreams) = state.engine.listed_upstreams();
        let has_changed = changes != known_changes;
        let listed = has_changed.then(|| (changes, upstreams.map(Upstream::from).collect()));
        Observations {
            ended,
            in_flight,
            listed,
        }
    }

    /// Passes to the module what the fleet has found, as of the time on its clock.
    pub fn apply_verdicts(&self, verdicts: impl FnOnce(Time) -> Vec<HealthVerdict>) {
        let verdicts = verdicts(self.shared.clock.now());
        self.shared
            .handle(&mut self.shared.lock(), Input::HealthVerdicts(&verdicts));
    }

    /// How many upstreams are listed, and how many of them are ejected.
    pub fn upstreams(&self) -> (usize, usize) {
        let state = self.shared.lock();
        (
            state.engine.upstream_count(),
            state.engine.ejected_upstream_count(),
        )
    }

    /// How discovery fares.
    pub fn discovery(&self) -> DiscoveryStatus {
        self.shared.discovery.status()
    }

    /// Makes a call. Dropping the future means that its caller has disconnected.
    pub async fn call(
        &self,
        parameters: CallParameters,
        request: T::Request,
    ) -> CallResult<T::Response> {
        let commands = Arc::new(CommandQueue::default());
        let id = self.take_call(parameters, commands.clone());
        PendingCall::new(self.shared.clone(), id, commands, request)
            .drive()
            .await
    }

    /// Passes a call to the engine, under a number that is free.
    fn take_call(&self, parameters: CallParameters, commands: Arc<CommandQueue>) -> RequestId {
        let CallParameters {
            class,
            tenant,
            work,
            deadline,
            max_attempts,
        } = parameters;
        let shared = &self.shared;
        let mut state = shared.lock();
        state.had_calls = true;
        let id = state.unused_id();
        let deadline = shared.clock.time(deadline);
        let call = Call {
            id,
            request: commands,
            class,
            tenant,
            work,
            deadline,
            max_attempts,
        };
        shared.handle(&mut state, Input::Call(call));
        id
    }
}
