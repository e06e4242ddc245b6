//! One balancer: its state, and the dispatch of events to the decisions.

use crate::api::{
    Action, ClassSuccession, Event, RequestId, ServerId, Settings, SettingsError, Time,
};
use crate::log::{LogEvent, LogThrottle};
use crate::state::{
    DecayingSum, IdleRisk, LatencyEstimate, LoadComparison, LoadMeter, PendingRequest, Pool,
    PoolIndex, RetryBudget, Server, ServerIndex,
};
use crate::tuning::{PROBE_TOKEN_BIT, RATE_WINDOW, SUBSCRIBE_TOKEN};
use std::collections::HashMap;

/// One balancer: all that it knows, and what it decides on each event.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Time,
    /// Decided on the present event.
    pub(crate) actions: Vec<Action>,
    pub(crate) servers: Vec<Server>,
    pub(crate) server_indices: HashMap<ServerId, ServerIndex>,
    /// Positions in `servers` that are unused.
    pub(crate) free_indices: Vec<ServerIndex>,
    /// One for each zone; the last has all servers.
    pub(crate) pools: Vec<Pool>,
    /// Zones that the present call avoids, by the fleet's health evidence.
    pub(crate) avoided_zones: Vec<PoolIndex>,
    pub(crate) requests: HashMap<RequestId, PendingRequest>,
    /// Requests that wait for load reports.
    pub(crate) comparisons: HashMap<RequestId, LoadComparison>,
    /// Latency of each class, in nanoseconds.
    pub(crate) class_latencies: Vec<LatencyEstimate>,
    /// Latency of all calls, in nanoseconds.
    pub(crate) overall_latency: LatencyEstimate,
    /// Latency for each call in flight at the server, in nanoseconds.
    pub(crate) latency_per_in_flight: LatencyEstimate,
    pub(crate) responses: DecayingSum,
    /// Calls accepted, which is all that is known of their rate after a start.
    pub(crate) accepted: DecayingSum,
    pub(crate) startup_until: Time,
    /// Part of all calls that fail.
    pub(crate) failure_rate: f64,
    /// Last time at which no server was found for a call.
    pub(crate) no_server_found_at: Time,
    pub(crate) idle_risk: IdleRisk,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) load: LoadMeter,
    /// Whether the local zone was left when last looked at.
    pub(crate) local_zone_left: bool,
    /// Whether load was shed when last looked at.
    pub(crate) is_shedding: bool,
    pub(crate) log_throttle: LogThrottle,
    /// Failed subscriptions in a row; `None` before the first one.
    pub(crate) subscription_failures: Option<u32>,
}

impl Balancer {
    /// A balancer that has seen nothing yet. Its random numbers come from `seed` alone.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings make no sense.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now,
            actions: Vec::new(),
            servers: Vec::new(),
            server_indices: HashMap::new(),
            free_indices: Vec::new(),
            pools: (0..=settings.zones).map(|_| Pool::default()).collect(),
            avoided_zones: Vec::new(),
            requests: HashMap::new(),
            comparisons: HashMap::new(),
            class_latencies: vec![LatencyEstimate::default(); settings.classes.len()],
            overall_latency: LatencyEstimate::default(),
            latency_per_in_flight: LatencyEstimate::default(),
            responses: DecayingSum::starting_at(now),
            accepted: DecayingSum::starting_at(now),
            startup_until: now.saturating_add(RATE_WINDOW),
            failure_rate: 0.0,
            no_server_found_at: 0,
            idle_risk: IdleRisk::default(),
            retry_budget: RetryBudget::full(),
            load: LoadMeter::new(settings.classes.len(), settings.tenants.len()),
            local_zone_left: false,
            is_shedding: false,
            log_throttle: LogThrottle::default(),
            subscription_failures: None,
            settings,
        })
    }

    /// Takes one event and appends to `actions` what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::ServerListChange(entries) => self.on_server_list(entries, ListKind::Change),
            Event::ServerList(entries) => self.on_server_list(entries, ListKind::Complete),
            Event::SubscriptionFailed => self.on_subscription_failed(),
            Event::Request(id, parameters) => self.on_request(id, parameters),
            Event::ResponseStarted(id, attempt) => self.on_response_started(id, attempt),
            Event::AttemptEnded(id, end) => self.on_attempt_ended(id, end),
            Event::ClientDisconnected(id) => self.on_client_disconnected(id),
            Event::ProbeEnded(server, outcome, load) => self.on_probe_ended(server, outcome, load),
            Event::HealthVerdicts(verdicts) => self.on_health_verdicts(verdicts),
            Event::Timer(token) => self.on_timer(token),
        }
        actions.append(&mut self.actions);
    }

    fn on_timer(&mut self, token: u64) {
        match token {
            SUBSCRIBE_TOKEN => self.actions.push(Action::Subscribe),
            token if token & PROBE_TOKEN_BIT != 0 => {
                self.finish_load_comparison(RequestId(token as u32))
            }
            token => self.on_attempt_late(token),
        }
    }

    /// Takes new settings. A class keeps its position; `successions` names those that had another
    /// position before. Fewer attempts bind requests under way as well.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings make no sense; the old ones stay in force then.
    pub fn reconfigure(
        &mut self,
        settings: Settings,
        successions: &[ClassSuccession],
    ) -> Result<(), SettingsError> {
        settings.check()?;
        let classes = settings.classes.len().max(self.class_latencies.len());
        self.class_latencies
            .resize(classes, LatencyEstimate::default());
        for succession in successions {
            let predecessor = self.class_latencies[succession.predecessor].clone();
            self.class_latencies[succession.class] = predecessor;
        }
        self.load
            .class_demand
            .resize(classes, DecayingSum::default());
        self.load
            .tenant_calls
            .resize(settings.tenants.len(), DecayingSum::default());
        let compared = self
            .comparisons
            .values_mut()
            .map(|comparison| &mut comparison.request);
        for request in self.requests.values_mut().chain(compared) {
            request.max_attempts = request.max_attempts.min(settings.max_attempts);
        }
        self.settings = settings;
        Ok(())
    }

    /// Servers that are ready but ejected by their circuit breakers.
    pub fn ejected_servers(&self) -> usize {
        self.pools.last().map_or(0, |all| all.tripped)
    }

    /// Logs an event, unless one of its kind was logged a moment ago.
    pub(crate) fn log(&mut self, event: LogEvent) {
        if self.log_throttle.admits(event, self.now) {
            self.actions.push(Action::Log(event.to_string()));
        }
    }
}

/// Whether a list of servers is complete or holds changes only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListKind {
    Complete,
    Change,
}
