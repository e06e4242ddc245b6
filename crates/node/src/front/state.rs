//! The state that the tasks of a front share.

use super::pool::ConnectionPool;
use super::request_reports::ReportLog;
use crate::settings::NodeSettings;
use crate::time::millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use woadstall_control::configuration::Configuration;
use woadstall_control::shards::short_hash;
use woadstall_control::state::ControlState;
use woadstall_control::wire::{MachineInfo, ZoneBalancers};
use woadstall_inbound::lock;
use woadstall_routing::{Fleet, Location, Router};

/// How long a balancer counts among those that share limits after it was last listed, in
/// milliseconds: one that can't be heard of may go on sending.
const BALANCER_EXPIRY_MS: u64 = 30_000;

/// The shared state of a front.
pub(super) struct Front {
    pub settings: NodeSettings,
    started: Instant,
    /// The configuration and evacuations that are applied here.
    control_state: Mutex<ControlState>,
    pub router: Mutex<Router>,
    pub pool: ConnectionPool,
    core_machines: Mutex<Vec<MachineInfo>>,
    /// Internal addresses of the seeds in the current settings.
    seeds: Mutex<Vec<SocketAddr>>,
    /// Balancers that were listed lately, by the hash of their name.
    balancers: Mutex<BTreeMap<u32, ListedBalancer>>,
    /// Notified when a heartbeat has something new to say.
    pub announce: Notify,
    /// SIGTERM has come.
    pub shutting_down: AtomicBool,
    /// Bytes in the bodies of requests that are being forwarded.
    pub body_bytes: AtomicUsize,
    /// Reports of requests that did not go well.
    pub reports: Arc<ReportLog>,
}

/// A balancer as a core machine has listed it.
struct ListedBalancer {
    /// Milliseconds since this process's start.
    listed_at: u64,
    zone: String,
}

impl Front {
    /// The state of a front that knows no configuration yet.
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
            announce: Notify::new(),
            shutting_down: AtomicBool::new(false),
            body_bytes: AtomicUsize::new(0),
            reports: Arc::new(ReportLog::new(settings.zone.clone(), reports_per_second)),
            settings,
        }
    }

    /// Milliseconds since the start: the router's clock.
    pub fn now(&self) -> u64 {
        millis(self.started.elapsed())
    }

    /// The configuration that is applied.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        lock(&self.control_state).configuration.clone()
    }

    /// The position of the last applied command in the replicated log.
    pub fn applied_index(&self) -> u64 {
        lock(&self.control_state).index
    }

    /// Whether clients may come.
    pub fn is_ready(&self) -> bool {
        !self.shutting_down.load(Ordering::Relaxed)
            && lock(&self.control_state).configuration.is_some()
    }

    /// Internal addresses of the seeds.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        lock(&self.seeds).clone()
    }

    /// The core machines that are known.
    pub fn core_machines(&self) -> Vec<MachineInfo> {
        lock(&self.core_machines).clone()
    }

    /// Replaces the core machines that are known.
    pub fn set_core_machines(&self, machines: Vec<MachineInfo>) {
        *lock(&self.core_machines) = machines;
    }

    /// Changes the configuration or the evacuations, and informs the router.
    pub fn update_control_state(&self, change: impl FnOnce(&mut ControlState)) {
        let mut state = lock(&self.control_state);
        let evacuated_before = state.evacuated_zones.clone();
        let generation_before = state.generation();
        change(&mut state);
        if state.generation() != generation_before {
            log::info!("configuration_applied generation={}", state.generation());
            if generation_before == 0 {
                self.announce.notify_one();
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

    /// Applies what may change while the process runs: the seeds.
    pub fn apply_settings(&self, settings: Option<NodeSettings>) {
        if let Some(settings) = settings {
            *lock(&self.seeds) = settings.internal_seeds();
        }
    }

    /// Updates the balancers that share limits with this one. Those that were listed a while ago
    /// still count: they may still send requests.
    pub fn update_balancers(&self, zones: &[ZoneBalancers]) {
        let now = self.now();
        let mut known = lock(&self.balancers);
        for ZoneBalancers { zone, balancers } in zones {
            for balancer in balancers {
                let listed = ListedBalancer {
                    listed_at: now,
                    zone: zone.clone(),
                };
                known.insert(*balancer, listed);
            }
        }
        known.retain(|_, balancer| now < balancer.listed_at + BALANCER_EXPIRY_MS);
        let mut fleet = Fleet::new(short_hash(&self.settings.node));
        for (name_hash, balancer) in known.iter() {
            let region = self.settings.zones.get(&balancer.zone);
            let region = region.cloned().unwrap_or_default();
            fleet.by_region.entry(region).or_default().push(*name_hash);
        }
        lock(&self.router).set_fleet(fleet);
    }

    /// Removes expired state.
    pub fn sweep(&self) {
        lock(&self.router).sweep(self.now());
        self.pool.sweep();
    }
}
