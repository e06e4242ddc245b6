//! Runs a scenario: starts upstreams and balancers, generates the load, and applies the faults.

use crate::callers::{BalancerEndpoint, Callers, Tally, Transport};
use crate::daemon::DaemonThread;
use crate::error::LoadError;
use crate::fleet::Fleet;
use crate::rule_checker::RuleChecker;
use crate::schedule;
use crate::settings::{BalancerPlacement, balancer_config};
use crate::supported::check_supported;
use crate::upstream::UpstreamCounts;
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{interval_at, sleep};
use woadstall::net::config::Config;
use woadstall_emulator::{RunResult, Scenario};
use woadstall_emulator_cli::rows::Lag;
use woadstall_tower::Balance;

/// Time for upstreams and balancers to start before callers begin.
const START_UP_TIME: Duration = Duration::from_millis(300);
/// Interval between samples of the queues, short enough to observe a queue and long enough to cost little processor
/// time.
const QUEUE_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The balancers through which callers send their attempts.
#[derive(Clone, Debug, PartialEq)]
pub enum Path {
    /// Daemons over HTTP/1.1, each on a dedicated thread.
    Daemon,
    /// Plug-ins over gRPC.
    Plugin,
    /// Daemons and plug-ins; each attempt is sent through one of the two at random.
    Both,
    /// Running balancers at these addresses, over HTTP/1.1, whose upstreams and faults this run does not control.
    Target(Vec<SocketAddr>),
}

impl Path {
    /// Returns the name of the path in result rows.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Daemon => "real-daemon",
            Self::Plugin => "real-plugin",
            Self::Both => "real-both",
            Self::Target(_) => "real-target",
        }
    }
}

/// The results of a run on sockets.
#[derive(Debug)]
pub struct LoadResult {
    /// The result in the emulator's format.
    pub end: RunResult,
    /// Delays with which callers started their calls.
    pub lag: Lag,
    /// Number of attempts by transport, class and result.
    pub tally: Tally,
    /// Request counts of each upstream; empty for upstreams that this run did not start.
    pub upstreams: Vec<UpstreamCounts>,
}

/// The balancers and upstreams of a run.
struct System {
    transport: Transport,
    /// The upstreams; `None` if this run did not start them.
    fleet: Option<Arc<Fleet>>,
    daemons: Vec<DaemonThread>,
}

/// Runs a scenario. Returns after the last call and a wait for delayed effects of abandoned requests.
///
/// # Errors
///
/// Returns an error if the scenario cannot be run on sockets, or if an upstream or balancer does not start.
pub async fn run(scenario: Scenario, path: Path, seed: u64) -> Result<LoadResult, LoadError> {
    check_supported(&scenario)?;
    let scenario = Arc::new(scenario);
    let start = Instant::now() + START_UP_TIME;
    let rules = Arc::new(RuleChecker::new(start));
    let system = match &path {
        Path::Target(addresses) => System::running_at(addresses),
        path => System::start(&scenario, path, &rules, seed, start).await?,
    };
    let System {
        transport,
        fleet,
        daemons,
    } = system;
    let callers = Callers::new(scenario.clone(), rules, transport, seed, start);
    let callers = Arc::new(callers);
    let faults = fleet
        .clone()
        .map(|fleet| tokio::spawn(fleet.run_faults()).abort_handle());
    let steps = sample_steps(scenario.clone(), callers.clone(), fleet.clone(), start);
    let steps = tokio::spawn(steps).abort_handle();
    sleep(start.saturating_duration_since(Instant::now())).await;
    callers.clone().run().await;
    steps.abort();
    if let Some(faults) = faults {
        faults.abort();
    }
    schedule::wait_for_delayed_effects(&scenario).await;
    drop(daemons);
    Ok(LoadResult {
        lag: callers.lag(),
        upstreams: fleet.map_or(Vec::new(), |fleet| fleet.counts()),
        end: callers.end(),
        tally: callers.tally(),
    })
}

impl System {
    /// Returns a system of running balancers at `addresses`.
    fn running_at(addresses: &[SocketAddr]) -> Self {
        let daemons = addresses.iter();
        let daemons = daemons.map(|address| BalancerEndpoint::new(*address, 0));
        Self {
            transport: Transport::Daemons(daemons.collect()),
            fleet: None,
            daemons: Vec::new(),
        }
    }

    /// Starts the upstreams and balancers of a scenario.
    async fn start(
        scenario: &Arc<Scenario>,
        path: &Path,
        rules: &Arc<RuleChecker>,
        seed: u64,
        start: Instant,
    ) -> Result<Self, LoadError> {
        let fleet = Fleet::start(scenario.clone(), rules, seed, start).await;
        let fleet = Arc::new(fleet.map_err(LoadError::StartUpstreams)?);
        let (known, discovery) = (fleet.list_entries(), fleet.discovery_address);
        let (mut daemons, mut endpoints, mut plugins) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..scenario.tier[0].balancers {
            let zone = scenario.zone_in_turn(number);
            let placement = BalancerPlacement {
                tier: 0,
                zone,
                number,
                listen: (Ipv4Addr::LOCALHOST, 0).into(),
            };
            let config = balancer_config(scenario, &placement, seed, discovery, &known);
            if *path != Path::Plugin {
                let daemon = start_daemon(&config)?;
                endpoints.push(BalancerEndpoint::new(daemon.address, zone));
                daemons.push(daemon);
            }
            if *path != Path::Daemon {
                plugins.push((build_plugin(scenario, &config, discovery)?, zone));
            }
        }
        let transport = match path {
            Path::Daemon => Transport::Daemons(endpoints),
            Path::Plugin => Transport::Plugins(plugins),
            _ => Transport::Both(
                Box::new(Transport::Daemons(endpoints)),
                Box::new(Transport::Plugins(plugins)),
            ),
        };
        Ok(Self {
            transport,
            fleet: Some(fleet),
            daemons,
        })
    }
}

fn start_daemon(config: &Value) -> Result<DaemonThread, LoadError> {
    let config = Config::parse(&config.to_string(), None, None);
    DaemonThread::start(config.map_err(|error| LoadError::Daemon(error.to_string()))?)
}

fn build_plugin(
    scenario: &Scenario,
    config: &Value,
    discovery: SocketAddr,
) -> Result<Balance, LoadError> {
    let settings = config["settings"].to_string();
    let known = serde_json::from_value(config["known"].clone())?;
    let mut builder = Balance::builder().settings(settings.as_bytes())?;
    for class in &scenario.class {
        builder = builder.method(format!("/load.Nodo/{}", class.name), &class.name);
    }
    Ok(builder
        .known_endpoints(known)
        .discovery(discovery)
        .build()?)
}

/// Samples the upstreams and ends each step of the timeline. The future never completes and must be aborted.
async fn sample_steps(
    scenario: Arc<Scenario>,
    callers: Arc<Callers>,
    fleet: Option<Arc<Fleet>>,
    start: Instant,
) {
    let step = Duration::from_nanos(scenario.step.0);
    let (mut max_in_flight, mut next_step) = (0, start + step);
    let mut ticks = interval_at(start.into(), QUEUE_SAMPLE_INTERVAL.min(step));
    loop {
        ticks.tick().await;
        let in_flight = fleet.as_ref().map_or(0, |fleet| fleet.max_in_flight());
        max_in_flight = in_flight.max(max_in_flight);
        if Instant::now() < next_step {
            continue;
        }
        let (speed, attempts) = match &fleet {
            Some(fleet) => fleet.sample(),
            None => (0.0, Vec::new()),
        };
        callers.end_step(&[speed], &attempts, std::mem::take(&mut max_in_flight));
        next_step += step;
    }
}
