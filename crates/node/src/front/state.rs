//! State shared by all tasks of a front process.

use super::memory::MemoryBudgets;
use super::pool::ConnectionPool;
use super::request_reports::ReportLog;
use super::shutdown::{Shutdown, ShutdownPhase};
use crate::settings::NodeSettings;
use crate::time::millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use woadstall_control::configuration::Configuration;
use woadstall_control::shards::short_hash;
use woadstall_control::state::ControlState;
use woadstall_control::wire::{MachineInfo, ZoneBalancers};
use woadstall_inbound::lock;
use woadstall_routing::{Fleet, Location, Router};

/// Time after its last listing for which a balancer still takes part in shared limits, in
/// milliseconds. A balancer that core machines have lost contact with may still send requests.
const BALANCER_EXPIRY_MS: u64 = 30_000;

/// Settings, router, connection pool and known machines of a front process.
pub(super) struct Front {
    pub settings: NodeSettings,
    started: Instant,
    /// Configuration and evacuations that this front has applied.
    control_state: Mutex<ControlState>,
    pub router: Mutex<Router>,
    pub pool: ConnectionPool,
    core_machines: Mutex<Vec<MachineInfo>>,
    /// Internal addresses of the seeds in the current settings.
    seeds: Mutex<Vec<SocketAddr>>,
    /// Balancers listed within [`BALANCER_EXPIRY_MS`], by the hash of their name.
    balancers: Mutex<BTreeMap<u32, ListedBalancer>>,
    /// Notified when the readiness of this balancer changes, so that a heartbeat is sent at once.
    pub heartbeat_due: Notify,
    pub shutdown: Shutdown,
    pub memory: MemoryBudgets,
    /// Log of reports on requests that were late, rejected, failed or retried.
    pub reports: Arc<ReportLog>,
}

/// An active balancer reported by a core machine.
struct ListedBalancer {
    /// Time of the last report, in milliseconds since the start of this process.
    listed_at: u64,
    zone: String,
}

impl Front {
    /// Creates the state of a front that has not received a configuration.
    pub fn new(settings: NodeSettings, reports_per_second: u64) -> Self {
        let location = Location {
            region: settings.region.clone(),
            region_by_zone: settings.zones.clone(),
        };
        let router = Router::new(location, settings.bounds, fastrand::u64(..));
        Self {
            started: Instant::now(),
            control_state: Mutex::default(),
            router: Mutex::new(router),
            pool: ConnectionPool::new(settings.max_fds),
            core_machines: Mutex::default(),
            seeds: Mutex::new(settings.internal_seeds()),
            balancers: Mutex::default(),
            heartbeat_due: Notify::new(),
            shutdown: Shutdown::new(),
            memory: MemoryBudgets::new(settings.memory_bytes),
            reports: Arc::new(ReportLog::new(settings.zone.clone(), reports_per_second)),
            settings,
        }
    }

    /// Returns the time since the start of the process in milliseconds, used as the router's clock.
    pub fn now(&self) -> u64 {
        millis(self.started.elapsed())
    }

    /// Returns the applied configuration; `None` until the first snapshot is applied.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        lock(&self.control_state).configuration.clone()
    }

    /// Returns the replicated log's index of the last applied command.
    pub fn applied_index(&self) -> u64 {
        lock(&self.control_state).index
    }

    /// Returns whether clients may connect: a configuration is applied and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        !self.shutdown.has_reached(ShutdownPhase::Draining)
            && lock(&self.control_state).configuration.is_some()
    }

    /// Returns the internal addresses of the seeds in the current settings.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        lock(&self.seeds).clone()
    }

    /// Returns the core machines from the latest machine status that was accepted.
    pub fn core_machines(&self) -> Vec<MachineInfo> {
        lock(&self.core_machines).clone()
    }

    /// Replaces the list of known core machines.
    pub fn set_core_machines(&self, machines: Vec<MachineInfo>) {
        *lock(&self.core_machines) = machines;
    }

    /// Applies `change` to the configuration and evacuations. Passes changed evacuations to the
    /// router and sends a heartbeat when the first configuration arrives.
    pub fn update_control_state(&self, change: impl FnOnce(&mut ControlState)) {
        let mut state = lock(&self.control_state);
        let evacuated_before = state.evacuated_zones.clone();
        let generation_before = state.generation();
        change(&mut state);
        if state.generation() != generation_before {
            log::info!("configuration_applied generation={}", state.generation());
            if generation_before == 0 {
                self.heartbeat_due.notify_one();
            }
        }
        if state.evacuated_zones != evacuated_before {
            log::info!("evacuations_applied zones={:?}", state.evacuated_zones);
            self.apply_evacuations(&state);
        }
    }

    fn apply_evacuations(&self, state: &ControlState) {
        let services = state
            .configuration
            .as_ref()
            .map(|configuration| &configuration.services);
        let warmup = |service: &str| {
            services
                .and_then(|services| services.get(service))
                .map_or(Duration::ZERO, |service| service.slow_start)
        };
        lock(&self.router).set_evacuated_zones(self.now(), &state.evacuated_zones, warmup);
    }

    /// Applies reloaded settings. Only the seeds can change while the process runs.
    pub fn apply_settings(&self, settings: Option<NodeSettings>) {
        if let Some(settings) = settings {
            *lock(&self.seeds) = settings.internal_seeds();
        }
    }

    /// Updates the balancers that share limits with this one. A balancer that is no longer listed
    /// is counted until [`BALANCER_EXPIRY_MS`] has passed because it may still send requests.
    pub fn update_balancers(&self, zones: &[ZoneBalancers]) {
        let now = self.now();
        let mut listed_balancers = lock(&self.balancers);
        for ZoneBalancers { zone, balancers } in zones {
            for balancer in balancers {
                let listed = ListedBalancer {
                    listed_at: now,
                    zone: zone.clone(),
                };
                listed_balancers.insert(*balancer, listed);
            }
        }
        listed_balancers.retain(|_, balancer| now < balancer.listed_at + BALANCER_EXPIRY_MS);
        let mut fleet = Fleet::new(short_hash(&self.settings.node));
        for (name_hash, balancer) in listed_balancers.iter() {
            let region = self.settings.zones.get(&balancer.zone);
            let region = region.cloned().unwrap_or_default();
            fleet.by_region.entry(region).or_default().push(*name_hash);
        }
        lock(&self.router).set_fleet(fleet);
    }

    /// Removes expired entries of the router and expired idle connections.
    pub fn sweep(&self) {
        lock(&self.router).sweep(self.now());
        self.pool.sweep();
    }
}
