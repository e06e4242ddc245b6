//! The load balancer's public interface, used by the daemon and the plug-in.

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

/// The configuration of a new load balancer.
#[derive(Clone, Debug)]
pub struct LoadBalancerConfig {
    /// The engine's settings.
    pub settings: Settings,
    /// The names of classes, tenants and zones in the settings.
    pub names: Names,
    /// Seed of the random numbers. Must differ between instances and between starts.
    pub seed: u64,
    /// The list of upstreams known at the start, possibly out of date.
    pub known_endpoints: EndpointList,
}

/// The parameters of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallParameters {
    /// Index of the call's class in the settings.
    pub class: usize,
    /// Index of the call's tenant in the settings.
    pub tenant: usize,
    /// Estimated amount of work in nanoseconds, or `None` if the caller has no estimate.
    pub work: Option<u64>,
    /// The instant at which the caller stops waiting.
    pub deadline: Instant,
    /// Maximum number of attempts; 1 for a request that cannot be sent again.
    pub max_attempts: u32,
}

/// The background tasks of a load balancer. They are aborted when the last clone is dropped.
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

/// The arguments of the discovery watch, kept until the watch is started.
struct UnstartedWatch {
    config: WatchConfig,
    /// Receives the engine's requests to watch discovery.
    subscriptions: UnboundedReceiver<()>,
}

/// A handle to a load balancer, described in the crate's documentation. Clones share all state.
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
    /// Starts a load balancer on the current tokio runtime with the upstreams of its configuration.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid, or if called outside a tokio runtime.
    pub fn new(config: LoadBalancerConfig, transport: T, log: LogSink) -> Result<Self, StartError> {
        let LoadBalancerConfig {
            settings,
            names,
            seed,
            known_endpoints,
        } = config;
        let clock = Clock::default();
        let (subscription_sender, subscriptions) = unbounded_channel();
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
            subscription_sender,
            earlier_timer: Notify::new(),
            ready: watch::Sender::new(false),
            discovery: DiscoveryCounts::new(clock),
            log,
            runtime: Handle::try_current()?,
        });
        shared.update_endpoints(&EndpointList {
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

    /// Starts the discovery watch at the latest address of `addresses`, beginning with the revision of the known list.
    /// Only the first invocation has an effect.
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

    /// Updates the upstreams from a complete or an incremental list.
    pub fn update_endpoints(&self, list: &EndpointList) {
        self.shared.update_endpoints(list);
    }

    /// Returns a channel whose value becomes `true`, and stays so, once an upstream accepts requests.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.shared.ready.subscribe()
    }

    /// The names of classes, tenants and zones in the settings.
    pub fn names(&self) -> &Names {
        &self.shared.names
    }

    /// The transport that holds the connections to upstreams.
    pub fn transport(&self) -> &T {
        &self.shared.transport
    }

    /// Number of calls that have no result yet or still have attempts in flight.
    pub fn open_call_count(&self) -> usize {
        self.shared.lock().engine.open_call_count()
    }

    /// Applies new settings; see [`Engine::reconfigure`].
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid; the previous settings then stay in effect.
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

    /// Returns the learned state to transfer to a successor process, and the names of the upstreams by server id.
    pub fn learned_state(&self) -> (LearnedState, HashMap<ServerId, String>) {
        let state = self.shared.lock();
        let ids = state.engine.upstream_ids().iter();
        let names = ids.map(|(name, server)| (*server, name.clone())).collect();
        (state.engine.learned_state(), names)
    }

    /// Restores the state that a predecessor process has learned. `learned` receives the ids of the listed upstreams by
    /// name.
    pub fn restore_learned_state(
        &self,
        learned: impl FnOnce(&BTreeMap<String, ServerId>) -> LearnedState,
    ) {
        let mut state = self.shared.lock();
        let learned = learned(state.engine.upstream_ids());
        state
            .engine
            .restore_learned_state(self.shared.clock.now(), &learned);
    }

    /// Starts recording completed attempts, which [`LoadBalancer::observations`] returns.
    pub fn record_attempts(&self) {
        self.shared.lock().engine.record_attempts();
    }

    /// Returns the attempts completed since the previous invocation and the attempts in flight. The list of upstreams
    /// is included if its change count differs from `known_change_count`.
    pub fn observations(&self, known_change_count: u64) -> Observations {
        let mut state = self.shared.lock();
        let ended = state.engine.take_attempt_records();
        let in_flight = state
            .engine
            .attempts_in_flight(self.shared.clock.now())
            .collect();
        let (change_count, upstreams) = state.engine.listed_upstreams();
        let has_changed = change_count != known_change_count;
        let listed = has_changed.then(|| (change_count, upstreams.map(Upstream::from).collect()));
        Observations {
            ended,
            in_flight,
            listed,
        }
    }

    /// Passes the fleet's health verdicts to the engine. `verdicts` receives the current time of the engine's clock.
    pub fn apply_verdicts(&self, verdicts: impl FnOnce(Time) -> Vec<HealthVerdict>) {
        let verdicts = verdicts(self.shared.clock.now());
        self.shared
            .handle(&mut self.shared.lock(), Input::HealthVerdicts(&verdicts));
    }

    /// Returns the number of listed upstreams and the number of ejected upstreams.
    pub fn upstream_counts(&self) -> (usize, usize) {
        let state = self.shared.lock();
        (
            state.engine.upstream_count(),
            state.engine.ejected_upstream_count(),
        )
    }

    /// Returns the age of the endpoint list and the number of failed discovery calls.
    pub fn discovery_status(&self) -> DiscoveryStatus {
        self.shared.discovery.status()
    }

    /// Makes a call. Dropping the future signals that the caller has disconnected.
    pub async fn call(
        &self,
        parameters: CallParameters,
        request: T::Request,
    ) -> CallResult<T::Response> {
        let commands = Arc::new(CommandQueue::default());
        let id = self.submit_call(parameters, commands.clone());
        PendingCall::new(self.shared.clone(), id, commands, request)
            .drive()
            .await
    }

    /// Passes a call to the engine under an unused id, and returns the id.
    fn submit_call(&self, parameters: CallParameters, commands: Arc<CommandQueue>) -> RequestId {
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
