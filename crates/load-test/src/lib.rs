//! The lab's scenarios on real sockets of this machine: callers at a set rate, stand-in nodos with the same faults,
//! and daemons or plug-ins between them. Results have the form of the lab's rows.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod callers;
mod fleet;
pub mod judge;
pub mod nodo;
pub mod script;
pub mod settings;

pub use callers::Tally;
pub use nodo::Seen;
pub use settings::check;

use callers::{By, Callers, Door};
use fleet::Fleet;
use judge::Judge;
use settings::Place;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::{interval_at, sleep};
use woadstall::net::Daemon;
use woadstall::net::config::Config;
use woadstall_emulator::{RunResult, Scenario};
use woadstall_emulator_cli::rows::Lag;
use woadstall_tower::Balance;

/// Locks, also what somebody panicked over.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What callers go through.
#[derive(Clone, Debug, PartialEq)]
pub enum Path {
    /// Daemons, each on a thread of its own, over HTTP/1.1.
    Daemon,
    /// Plug-ins, over gRPC.
    Plugin,
    /// Both beside each other, each call by the one or the other.
    Both,
    /// What listens at these addresses already, over HTTP/1.1. Nodos and faults are its own.
    Target(Vec<SocketAddr>),
}

impl Path {
    /// As the rows name it.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Daemon => "real-daemon",
            Self::Plugin => "real-plugin",
            Self::Both => "real-both",
            Self::Target(_) => "real-target",
        }
    }
}

/// A daemon on a thread of its own, as it is when it runs alone. It stops when this is dropped.
struct Alone {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Alone {
    fn start(config: Config) -> Result<Self, String> {
        let (stop, stopped) = oneshot::channel();
        let (tell, told) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let runtime = match runtime {
                Ok(runtime) => runtime,
                Err(error) => return drop(tell.send(Err(error.to_string()))),
            };
            runtime.block_on(async {
                match Daemon::start(config).await {
                    Ok(daemon) => {
                        drop(tell.send(Ok(daemon.address())));
                        stopped.await.ok();
                        daemon.stop().await.ok();
                    }
                    Err(error) => drop(tell.send(Err(error.to_string()))),
                }
            });
        });
        let address = told
            .recv()
            .map_err(|_| "a daemon did not start".to_owned())??;
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

impl Drop for Alone {
    fn drop(&mut self) {
        drop(self.stop.take());
        self.thread.take().map(std::thread::JoinHandle::join);
    }
}

/// All that a run on sockets shows.
#[derive(Debug)]
pub struct Played {
    /// The result, of the lab's form.
    pub end: RunResult,
    /// How late the tool itself was.
    pub lag: Lag,
    /// What callers heard, by path and class.
    pub tally: Tally,
    /// What each nodo saw; none where they were not started here.
    pub nodos: Vec<Seen>,
}

/// Plays a scenario. It stops by itself once its time and the longest deadline are over.
pub async fn run(scenario: Scenario, path: Path, seed: u64) -> Result<Played, String> {
    check(&scenario)?;
    let (scenario, start) = (
        Arc::new(scenario),
        Instant::now() + Duration::from_millis(300),
    );
    let judge = Arc::new(Judge::new(start));
    let (mut daemons, mut fleet) = (Vec::new(), None);
    let by = match &path {
        Path::Target(addresses) => By::Daemons(
            addresses
                .iter()
                .map(|address| Door::new(*address, 0))
                .collect(),
        ),
        Path::Daemon | Path::Plugin | Path::Both => {
            let started = Fleet::start(scenario.clone(), judge.clone(), seed, start).await;
            let started = Arc::new(started.map_err(|error| format!("nodos: {error}"))?);
            let (known, discovery) = (started.targets(), started.discovery_at);
            fleet = Some(started);
            let (mut listening, mut plugins) = (Vec::new(), Vec::new());
            for number in 0..scenario.tier[0].balancers {
                let zone = scenario.zone_in_turn(number);
                let place = Place {
                    tier: 0,
                    zone,
                    number,
                    listen: (Ipv4Addr::LOCALHOST, 0).into(),
                };
                let config = settings::config(&scenario, &place, seed, discovery, &known);
                if path != Path::Plugin {
                    let config = Config::parse(&config.to_string(), None, None);
                    let daemon = Alone::start(config.map_err(|error| error.to_string())?)?;
                    listening.push(Door::new(daemon.address, zone));
                    daemons.push(daemon);
                }
                if path != Path::Daemon {
                    plugins.push((plugin(&scenario, &config, discovery)?, zone));
                }
            }
            match path {
                Path::Daemon => By::Daemons(listening),
                Path::Plugin => By::Plugins(plugins),
                _ => By::Both(
                    Box::new(By::Daemons(listening)),
                    Box::new(By::Plugins(plugins)),
                ),
            }
        }
    };
    let callers = Arc::new(Callers::new(
        scenario.clone(),
        judge.clone(),
        by,
        seed,
        start,
    ));
    let script = fleet
        .clone()
        .map(|fleet| tokio::spawn(fleet.play()).abort_handle());
    let steps = tokio::spawn(steps(
        scenario.clone(),
        callers.clone(),
        fleet.clone(),
        start,
    ))
    .abort_handle();
    sleep(start.saturating_duration_since(Instant::now())).await;
    callers.clone().run().await;
    steps.abort();
    script.into_iter().for_each(|script| script.abort());
    script::last_effects(&scenario).await;
    daemons.clear();
    let lag = callers.lag();
    let nodos = fleet.map_or(Vec::new(), |fleet| fleet.seen());
    Ok(Played {
        end: callers.end(),
        lag,
        tally: callers.tally(),
        nodos,
    })
}

fn plugin(
    scenario: &Scenario,
    config: &serde_json::Value,
    discovery: SocketAddr,
) -> Result<Balance, String> {
    let settings = config["settings"].to_string();
    let known =
        serde_json::from_value(config["known"].clone()).map_err(|error| error.to_string())?;
    let mut builder = Balance::builder()
        .settings(settings.as_bytes())
        .map_err(|error| error.to_string())?;
    for class in &scenario.class {
        builder = builder.method(format!("/load.Nodo/{}", class.name), &class.name);
    }
    builder
        .known(known)
        .discovery(discovery)
        .build()
        .map_err(|error| error.to_string())
}

/// Counts what nodos saw, step by step.
async fn steps(
    scenario: Arc<Scenario>,
    callers: Arc<Callers>,
    fleet: Option<Arc<Fleet>>,
    start: Instant,
) {
    let step = Duration::from_nanos(scenario.step.0);
    let (mut most, mut next) = (0, start + step);
    // Often enough to see a queue, cheap enough not to be seen.
    let mut look = interval_at(start.into(), Duration::from_millis(20).min(step));
    loop {
        look.tick().await;
        let held = fleet.as_ref().map_or(0, |fleet| fleet.most_held());
        most = held.max(most);
        if Instant::now() < next {
            continue;
        }
        let (speed, attempts) = fleet
            .as_ref()
            .map_or((0.0, Vec::new()), |fleet| fleet.look());
        callers.step(&[speed], &attempts, std::mem::take(&mut most));
        next += step;
    }
}
