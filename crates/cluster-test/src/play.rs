//! A whole run: the fleet comes up, callers call, faults happen, all is ended.

use crate::fleet::Fleet;
use crate::keeper::Keeper;
use crate::launch::Limits;
use crate::members;
use crate::refuse::check;
use crate::sabotage::Sabotage;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::{interval_at, sleep};
use woadstall_emulator::{RunResult, Scenario};
use woadstall_emulator_cli::rows::Lag;
use woadstall_fault_proxy::TrafficCounts;
use woadstall_load_test::callers::{By, Callers};
use woadstall_load_test::judge::Judge;
use woadstall_load_test::{Seen, lock, script};

/// What the program needs beyond what it was told that it may use: its own code and stack.
const BESIDE_MB: u64 = 64;
/// The rig's own timer is late by more than this where the machine has too much to do.
const LATE: Duration = Duration::from_millis(50);
const TICK: Duration = Duration::from_millis(10);

/// What is played with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that is started for each balancer.
    pub program: PathBuf,
    /// The rig's own program, which starts it.
    pub launcher: PathBuf,
    /// All chance comes from it.
    pub seed: u64,
    /// What is broken on purpose.
    pub sabotage: Option<Sabotage>,
    /// Keep the folder with the processes' logs also where all went well.
    pub keep: bool,
    /// Tell how it goes, on standard error.
    pub progress: bool,
}

/// All that a run shows.
#[derive(Debug)]
pub struct Played {
    /// The result, of the lab's form.
    pub end: RunResult,
    /// How late callers were begun.
    pub lag: Lag,
    /// Part of the rig's own timers that were late.
    pub own_lag: f64,
    /// The largest part of its time that a balancer was ready to run and had no core.
    pub starved: f64,
    /// How long it took until all processes served.
    pub up_after: Duration,
    /// Balancers.
    pub balancers: u32,
    /// How often balancers were started, all together.
    pub starts: u32,
    /// Processes that ended by themselves, and what they said.
    pub crashes: Vec<String>,
    /// The most memory of each balancer, in kB.
    pub peak_kb: Vec<u64>,
    /// Requests that never had an answer.
    pub lost: u64,
    /// Requests whose work ran more than once.
    pub doubled: u64,
    /// Requests without an answer in time since their balancer's process had been stopped.
    pub stood_still: u64,
    /// How often agents were asked for their list.
    pub reads: u64,
    /// What went through the fabric.
    pub fabric: TrafficCounts,
    /// What each nodo saw.
    pub nodos: Vec<Seen>,
    /// Parts of a core that the threads of membership used, where there is one.
    pub members_cores: Vec<f64>,
    /// The folder with the processes' logs, where it was kept.
    pub logs: Option<PathBuf>,
}

impl Played {
    /// Whether all rules and bounds were kept, and no process ended by itself.
    pub fn is_kept(&self) -> bool {
        self.end.is_kept() && self.crashes.is_empty()
    }

    /// Whether the machine was too slow for the figures to mean anything, and why.
    pub fn too_slow(&self) -> Option<String> {
        let late = self.lag.late as f64 / self.lag.calls.max(1) as f64;
        let parts = [
            (late, 0.01, "of the calls began late"),
            (self.own_lag, 0.02, "of the rig's own timers were late"),
            (self.starved, 0.25, "of its time a balancer had no core"),
        ];
        let over = parts.into_iter().find(|(part, most, _)| part > most)?;
        Some(format!(
            "{:.1}% {}, {:.0}% at most",
            100.0 * over.0,
            over.2,
            100.0 * over.1
        ))
    }
}

/// Why there is no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A scenario, a file or a program is at fault.
    Wrong(String),
    /// The machine is too slow.
    TooSlow(String),
}

/// How long the fleet may take to come up.
fn lead(scenario: &Scenario) -> Duration {
    let (balancers, nodos) = scenario.sizes();
    Duration::from_millis(500 + 30 * balancers + 5 * nodos).min(Duration::from_secs(10))
}

/// Plays a scenario. All processes have ended when this returns, and also when it is dropped.
pub async fn play(scenario: Scenario, options: &Options) -> Result<Played, Failure> {
    check(&scenario).map_err(Failure::Wrong)?;
    let scenario = Arc::new(scenario);
    let limits = Limits {
        sockets: 4_096 + 64,
        memory_mb: 512 + BESIDE_MB,
    };
    let keeper = Keeper::new(&options.launcher, &options.program, limits);
    let keeper = Arc::new(keeper.map_err(|error| Failure::Wrong(error.to_string()))?);
    let began = Instant::now();
    let start = began + lead(&scenario);
    let judge = Arc::new(Judge::new(start));
    let fleet = Fleet::start(
        scenario.clone(),
        judge.clone(),
        keeper.clone(),
        (options.seed, start),
        options.sabotage,
    );
    let fleet = Arc::new(fleet.await.map_err(Failure::Wrong)?);
    let up_after = began.elapsed();
    if Instant::now() >= start {
        let text = format!(
            "it took {:.1} s until all processes served",
            up_after.as_secs_f64()
        );
        return Err(Failure::TooSlow(text));
    }
    let by = By::Daemons(fleet.doors());
    let callers = Arc::new(Callers::new(
        scenario.clone(),
        judge.clone(),
        by,
        options.seed,
        start,
    ));
    let watch = Watch {
        scenario: scenario.clone(),
        fleet: fleet.clone(),
        callers: callers.clone(),
    };
    let (ups, crashes) = (
        Arc::new(Mutex::new(Vec::new())),
        Arc::new(Mutex::new(Vec::new())),
    );
    // Ended with this future, however it ends.
    let mut tasks = tokio::task::JoinSet::new();
    let script = fleet.clone().play();
    let failed = crashes.clone();
    tasks.spawn(async move {
        if let Err(text) = script.await {
            lock(&failed).push(text);
        }
    });
    tasks.spawn(members::watch(fleet.clone()));
    tasks.spawn(watch.steps(start, ups.clone(), crashes.clone(), options.progress));
    let own_lag = Arc::new(Mutex::new((0_u64, 0_u64)));
    tasks.spawn(own_timer(start, own_lag.clone()));
    sleep(start.saturating_duration_since(Instant::now())).await;
    callers.clone().run().await;
    script::last_effects(&scenario).await;
    let length = start.elapsed();
    fleet.balancers.iter().for_each(|balancer| balancer.look());
    let starved = fleet
        .balancers
        .iter()
        .filter_map(|balancer| balancer.process.waited_ns());
    let starved = starved.max().unwrap_or(0) as f64 / length.as_nanos() as f64;
    let members_cores = fleet
        .mates
        .iter()
        .flat_map(|mates| mates.cores(&fleet.balancers))
        .collect();
    tasks.shutdown().await;
    let mut end = callers.end();
    for (step, seen) in end.steps.iter_mut().zip(lock(&ups).drain(..)) {
        (step.up, step.lines) = (Some(seen.up), seen.lines);
    }
    end.members = fleet.mates.as_ref().map(|mates| mates.end());
    let evacuated = fleet
        .mates
        .as_ref()
        .filter(|_| scenario.evacuation.is_some());
    end.evacuated = evacuated.map(|mates| mates.evacuated());
    end.bounds = scenario.judge(&end);
    let mut crashes = std::mem::take(&mut *lock(&crashes));
    crashes.sort();
    crashes.dedup();
    let own = *lock(&own_lag);
    let balancers = fleet.balancers.iter();
    let mut played = Played {
        end,
        lag: callers.lag(),
        own_lag: own.0 as f64 / own.1.max(1) as f64,
        starved,
        up_after,
        balancers: fleet.balancers.len() as u32,
        starts: balancers.clone().map(|balancer| balancer.starts()).sum(),
        crashes,
        peak_kb: balancers
            .clone()
            .map(|balancer| balancer.peak_kb())
            .collect(),
        lost: judge.lost(),
        doubled: judge.doubled(),
        stood_still: judge.stood_still(),
        reads: balancers.map(|balancer| balancer.agent.reads()).sum(),
        fabric: fleet.fabric.counts(),
        nodos: fleet.nodos.iter().map(|nodo| nodo.seen()).collect(),
        members_cores,
        logs: None,
    };
    if options.keep || !played.is_kept() {
        keeper.keep_folder();
        played.logs = Some(keeper.folder().to_owned());
    }
    Ok(played)
}

/// Sleeps again and again, and counts how often it was woken late.
async fn own_timer(start: Instant, late: Arc<Mutex<(u64, u64)>>) {
    sleep(start.saturating_duration_since(Instant::now())).await;
    loop {
        let due = Instant::now() + TICK;
        sleep(TICK).await;
        let mut late = lock(&late);
        late.1 += 1;
        late.0 += u64::from(due.elapsed() > LATE);
    }
}

struct Watch {
    scenario: Arc<Scenario>,
    fleet: Arc<Fleet>,
    callers: Arc<Callers>,
}

/// What a step of the timeline shows of processes.
struct Looked {
    up: (u64, u64),
    lines: BTreeMap<String, u64>,
}

type Ups = Arc<Mutex<Vec<Looked>>>;

impl Watch {
    /// Counts what nodos saw and who is there, step by step, and notices processes that ended by themselves.
    async fn steps(
        self,
        start: Instant,
        ups: Ups,
        crashes: Arc<Mutex<Vec<String>>>,
        progress: bool,
    ) {
        let step = Duration::from_nanos(self.scenario.step.0);
        let (mut most, mut next) = (0, start + step);
        let mut places = vec![0; self.fleet.balancers.len()];
        let mut look = interval_at(start.into(), Duration::from_millis(20).min(step));
        loop {
            look.tick().await;
            most = self
                .fleet
                .nodos
                .iter()
                .map(|nodo| nodo.held())
                .max()
                .unwrap_or(0)
                .max(most);
            if Instant::now() < next {
                continue;
            }
            let (speeds, attempts) = self.fleet.look();
            let up = self.fleet.up();
            let mut lines = BTreeMap::new();
            for (balancer, place) in self.fleet.balancers.iter().zip(&mut places) {
                balancer.look();
                lock(&crashes).extend(balancer.has_crashed());
                for (topic, count) in balancer.process.said_since(place) {
                    *lines.entry(topic).or_default() += count;
                }
            }
            self.callers
                .step(&speeds, &attempts, std::mem::take(&mut most));
            lock(&ups).push(Looked { up, lines });
            if progress {
                let (of, time) = (self.fleet.balancers.len(), self.scenario.time.seconds());
                let (second, nodos) = (start.elapsed().as_secs(), self.fleet.nodos.len());
                eprint!(
                    "\r  {second:>4} of {time:.0} s, {} of {of} balancers, {} of {nodos} nodos   ",
                    up.0, up.1
                );
            }
            next += step;
        }
    }
}
