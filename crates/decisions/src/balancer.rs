//! State of a balancer, and dispatch of events to the policies.

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

/// A load balancer as a state machine: events go in, and actions come out.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Time,
    /// Actions decided so far on the current event.
    pub(crate) actions: Vec<Action>,
    pub(crate) servers: Vec<Server>,
    pub(crate) server_indices: HashMap<ServerId, ServerIndex>,
    /// Unused positions in `servers`.
    pub(crate) free_indices: Vec<ServerIndex>,
    /// One pool per zone, followed by the pool of all servers.
    pub(crate) pools: Vec<Pool>,
    /// Zones that the current call avoids because of the fleet's health evidence.
    pub(crate) avoided_zones: Vec<PoolIndex>,
    pub(crate) requests: HashMap<RequestId, PendingRequest>,
    /// Requests that wait for load reports.
    pub(crate) comparisons: HashMap<RequestId, LoadComparison>,
    /// Latency of each class, in nanoseconds.
    pub(crate) class_latencies: Vec<LatencyEstimate>,
    /// Latency of all calls, in nanoseconds.
    pub(crate) overall_latency: LatencyEstimate,
    /// Latency of a call divided by the calls in flight at its server, in nanoseconds.
    pub(crate) latency_per_in_flight: LatencyEstimate,
    /// Successful responses of all servers, from which the response rate is computed.
    pub(crate) responses: DecayingSum,
    /// Accepted calls, which are also a source of the call rate until `startup_until`.
    pub(crate) accepted: DecayingSum,
    pub(crate) startup_until: Time,
    /// Part of all calls that fail, from 0 to 1.
    pub(crate) failure_rate: f64,
    /// Last time at which no server was found for a call.
    pub(crate) no_server_found_at: Time,
    pub(crate) idle_risk: IdleRisk,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) load: LoadMeter,
    /// Whether the last call found the local zone unusable. Calls then leave the zone, unless the
    /// fleet's health evidence sets its share of the traffic.
    pub(crate) has_left_local_zone: bool,
    /// Whether the last request found the shed level above 0.
    pub(crate) is_shedding: bool,
    pub(crate) log_throttle: LogThrottle,
    /// Failed subscriptions in a row; `None` before the first server list or failure.
    pub(crate) subscription_failures: Option<u32>,
}

impl Balancer {
    /// Creates a balancer without servers or measurements. Its random numbers depend only on
    /// `seed`.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] if the settings are invalid.
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
            has_left_local_zone: false,
            is_shedding: false,
            log_throttle: LogThrottle::default(),
            subscription_failures: None,
            settings,
        })
    }

    /// Handles one event at the time `now`, and appends the resulting actions to `actions`.
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

    /// Replaces the settings.
    ///
    /// Classes keep their positions; `successions` lists the classes that had another position
    /// before. A lower attempt limit also applies to pending requests.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] if the settings are invalid; the old settings stay in force
    /// then.
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
        let waiting_for_reports = self
            .comparisons
            .values_mut()
            .map(|comparison| &mut comparison.request);
        for request in self.requests.values_mut().chain(waiting_for_reports) {
            request.max_attempts = request.max_attempts.min(settings.max_attempts);
        }
        self.settings = settings;
        Ok(())
    }

    /// Number of servers that are ready but ejected by their circuit breakers.
    pub fn ejected_servers(&self) -> usize {
        self.pools
            .last()
            .map_or(0, |all_servers| all_servers.tripped)
    }

    /// Logs an event, unless one of its kind was logged within the last log interval.
    pub(crate) fn log(&mut self, event: LogEvent) {
        if self.log_throttle.admits(event, self.now) {
            self.actions.push(Action::Log(event.to_string()));
        }
    }
}

/// Whether a server list is complete or contains only changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListKind {
    Complete,
    Change,
}
