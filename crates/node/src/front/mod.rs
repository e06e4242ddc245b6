//! The front process: takes clients' requests and carries them to upstreams.

mod attempt;
mod clients;
mod course;
mod datagrams;
mod events;
mod feeds;
mod forward;
mod heartbeat;
mod loads;
mod pool;
mod readiness;
mod reply;
mod reports;
mod sources;
mod stream;

use crate::settings::NodeSettings;
use crate::watch::SettingsWatch;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};
use woadstall_control::configuration::Configuration;
use woadstall_control::shards::short_hash;
use woadstall_control::state::ControlState;
use woadstall_control::wire::{MachineInfo, ZoneBalancers};
use woadstall_inbound::{listen, lock};
use woadstall_routing::{Fleet, Location, Router};

/// How often what is over is forgotten.
const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// How long a balancer counts among those that share budgets after it was last told of, in milliseconds: one that can't be
/// heard of may go on sending.
const COUNTED: u64 = 30_000;

/// The process can't run.
#[derive(Debug, Error)]
pub enum FrontError {
    /// A field that this role needs is missing in the settings.
    #[error("the settings of a front process lack {0}")]
    Missing(&'static str),
    /// A socket or signal can't be set up.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// What the system says.
        source: std::io::Error,
    },
}

/// What all parts of a front share.
pub(crate) struct Front {
    pub settings: NodeSettings,
    started: Instant,
    /// The configuration and evacuations that are in force here.
    state: Mutex<ControlState>,
    pub router: Mutex<Router>,
    pub pool: pool::Pool,
    machines: Mutex<Vec<MachineInfo>>,
    /// Internal addresses of the seeds, as the settings name them now.
    seeds: Mutex<Vec<SocketAddr>>,
    /// The balancers that were told of lately: when last, and their zones.
    counted: Mutex<BTreeMap<u32, (u64, String)>>,
    /// Notified when control machines are to hear at once how this balancer stands.
    pub announce: Notify,
    /// SIGTERM has come.
    pub leaving: AtomicBool,
    /// Bytes of the bodies of open requests.
    pub bodies: AtomicUsize,
    /// What is written of requests that do not go well.
    pub reports: Arc<reports::Reports>,
}

impl Front {
    fn new(settings: NodeSettings, reports_per_second: u64) -> Self {
        let place = Location {
            region: settings.region.clone(),
            region_by_zone: settings.zones.clone(),
        };
        let router = Router::new(place, settings.bounds, fastrand::u64(..));
        Self {
            started: Instant::now(),
            state: Mutex::default(),
            router: Mutex::new(router),
            pool: pool::Pool::new(settings.max_fds),
            machines: Mutex::default(),
            seeds: Mutex::new(settings.internal_seeds()),
            counted: Mutex::default(),
            announce: Notify::new(),
            leaving: AtomicBool::new(false),
            bodies: AtomicUsize::new(0),
            reports: Arc::new(reports::Reports::new(
                settings.zone.clone(),
                reports_per_second,
            )),
            settings,
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        lock(&self.state).configuration.clone()
    }

    /// Whether clients may come.
    pub fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed) && lock(&self.state).configuration.is_some()
    }

    /// Internal addresses of the seeds.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        lock(&self.seeds).clone()
    }

    /// The control machines that are known.
    pub fn machines(&self) -> Vec<MachineInfo> {
        lock(&self.machines).clone()
    }

    /// Changes the state, and tells the router of evacuations.
    fn update_state(&self, change: impl FnOnce(&mut ControlState)) {
        let mut state = lock(&self.state);
        let (before, generation) = (state.evacuated.clone(), state.generation());
        change(&mut state);
        if state.generation() != generation {
            log::info!("configuration in force generation={}", state.generation());
            if generation == 0 {
                self.announce.notify_one();
            }
        }
        if state.evacuated != before {
            log::info!("evacuated zones: {:?}", state.evacuated);
            let configuration = state.configuration.clone();
            let cold = |service: &str| {
                let service = configuration
                    .as_ref()
                    .and_then(|configuration| configuration.services.get(service));
                service.map_or(Duration::ZERO, |service| service.slow_start)
            };
            lock(&self.router).set_evacuated_zones(self.now(), &state.evacuated, cold);
        }
    }

    /// Takes over what may change while the process runs: the seeds.
    fn take_settings(&self, settings: Option<NodeSettings>) {
        if let Some(settings) = settings {
            log::info!("settings read again seeds={:?}", settings.seeds);
            *lock(&self.seeds) = settings.internal_seeds();
        }
    }

    /// Hears which balancers there are. Those of some time ago count too: a bound is shared by all who may still send.
    fn count_balancers(&self, zones: &[ZoneBalancers]) {
        let now = self.now();
        let mut counted = lock(&self.counted);
        for ZoneBalancers { zone, balancers } in zones {
            for balancer in balancers {
                counted.insert(*balancer, (now, zone.clone()));
            }
        }
        counted.retain(|_, (heard, _)| now < *heard + COUNTED);
        let mut fleet = Fleet::new(short_hash(&self.settings.node));
        for (balancer, (_, zone)) in counted.iter() {
            let region = self.settings.zones.get(zone).cloned().unwrap_or_default();
            fleet.by_region.entry(region).or_default().push(*balancer);
        }
        lock(&self.router).set_fleet(fleet);
    }
}

/// Runs until SIGTERM, and then until what was taken is answered. So many requests a second at most are reported in the log
/// that were late, refused, failed or sent again.
pub fn run(
    settings: NodeSettings,
    watch: SettingsWatch,
    reports_per_second: u64,
) -> Result<(), FrontError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(io("the runtime"))?;
    let ended = runtime.block_on(serve(settings, watch, reports_per_second));
    runtime.shutdown_background();
    ended
}

fn io(what: &str) -> impl FnOnce(std::io::Error) -> FrontError {
    let what = what.to_owned();
    move |source| FrontError::Io { what, source }
}

async fn serve(
    settings: NodeSettings,
    mut watch: SettingsWatch,
    reports_per_second: u64,
) -> Result<(), FrontError> {
    let address = settings
        .listens("front")
        .ok_or(FrontError::Missing("listen.front"))?;
    let front = Arc::new(Front::new(settings, reports_per_second));
    let mut terminate = signal(SignalKind::terminate()).map_err(io("SIGTERM"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(io("SIGHUP"))?;
    let listener = listen(address).map_err(io("the address for clients"))?;
    if let Some(ready) = front.settings.listens("ready") {
        readiness::start(ready, front.clone())?;
    }
    log::info!("front starts address={address}");
    feeds::start(&front);
    heartbeat::start(&front);
    loads::start(&front);
    let (stop, stopping) = watch::channel(false);
    let clients = tokio::spawn(clients::serve(front.clone(), listener, stopping));
    let mut sweeps = interval(SWEEP_EVERY);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = sweeps.tick() => {
                lock(&front.router).sweep(front.now());
                front.pool.sweep();
                front.take_settings(watch.changed(false));
            }
            _ = hangup.recv() => front.take_settings(watch.changed(true)),
            _ = terminate.recv() => break,
        }
    }
    log::info!("SIGTERM: no longer ready");
    front.leaving.store(true, Ordering::Relaxed);
    front.announce.notify_one();
    stop.send_replace(true);
    let grace = Duration::from_millis(front.settings.grace_ms).saturating_sub(GRACE_MARGIN);
    tokio::select! {
        _ = clients => log::info!("all requests are answered"),
        () = sleep(grace) => log::warn!("requests are still open at the end of the grace period"),
    }
    Ok(())
}

/// How long before the end of the grace period the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

#[cfg(test)]
#[path = "../../tests/unit/golden_front.rs"]
mod golden;
