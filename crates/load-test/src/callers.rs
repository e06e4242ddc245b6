//! Load generation. An open-loop group calls at a configured rate, independent of response times; each caller of a
//! closed-loop group waits for its response before the next call. Latencies are measured from the scheduled time of a
//! call, so that delays of the load generator are included.

mod attempt;
mod attempt_result;
mod call;
mod endpoint;

pub use attempt::{Tally, TallyKey};
pub use endpoint::{BalancerEndpoint, choose_in_zone};

use crate::lock;
use crate::rule_checker::RuleChecker;
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};
use woadstall_emulator::{
    Actor, Load, Meter, RunResult, Scenario, chance, exponential_gap, stream,
};
use woadstall_emulator_cli::rows::Lag;
use woadstall_tower::Balance;

/// The balancers through which callers send their attempts.
#[derive(Clone)]
pub enum Transport {
    /// Balancer daemons, over HTTP/1.1.
    Daemons(Vec<BalancerEndpoint>),
    /// Plug-ins in this process and their zones, over gRPC.
    Plugins(Vec<(Balance, u8)>),
    /// Two transports; each attempt is sent through one of them at random.
    Both(Box<Transport>, Box<Transport>),
}

/// All callers of a scenario.
pub struct Callers {
    scenario: Arc<Scenario>,
    rules: Arc<RuleChecker>,
    transport: Transport,
    client: Client<HttpConnector, Full<Bytes>>,
    start: Instant,
    seed: u64,
    meter: Mutex<Meter>,
    /// Number of the next call.
    next_number: AtomicU64,
    lag: Mutex<Lag>,
    tally: Mutex<Tally>,
    /// For each group, the call classes with their weights.
    mixes: Vec<Vec<(f64, usize)>>,
}

impl Callers {
    /// Creates callers that begin at `start`.
    pub fn new(
        scenario: Arc<Scenario>,
        rules: Arc<RuleChecker>,
        transport: Transport,
        seed: u64,
        start: Instant,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let groups = scenario.callers.iter();
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            meter: Mutex::new(Meter::new(&scenario)),
            next_number: AtomicU64::new(0),
            lag: Mutex::default(),
            tally: Mutex::default(),
            mixes: groups.map(|group| scenario.mix(group)).collect(),
            scenario,
            rules,
            transport,
            start,
            seed,
        }
    }

    /// Returns the delays with which calls were started.
    pub fn lag(&self) -> Lag {
        lock(&self.lag).clone()
    }

    /// Returns the number of attempts by transport, class and result.
    pub fn tally(&self) -> Tally {
        lock(&self.tally).clone()
    }

    /// Ends a step of the timeline. `tier_speeds` holds the capacity of each tier in workers, `attempts` the attempts
    /// at each upstream during the step, and `max_in_flight` the most requests in flight at one upstream.
    pub fn end_step(&self, tier_speeds: &[f64], attempts: &[u32], max_in_flight: u32) {
        let (now, mut meter) = (self.now(), lock(&self.meter));
        for (upstream, attempts) in attempts.iter().enumerate() {
            for _ in 0..*attempts {
                meter.sent(0, false, upstream as u32);
            }
        }
        meter.queued(max_in_flight);
        meter.step(now, tier_speeds, 0, 0);
    }

    /// Returns the result of the run, and resets the meter.
    pub fn end(&self) -> RunResult {
        let meter = std::mem::replace(&mut *lock(&self.meter), Meter::new(&self.scenario));
        meter.end(self.rules.findings(), 0, Vec::new())
    }

    /// Returns the time since `start`, in nanoseconds.
    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// Converts a time in nanoseconds since `start`.
    fn instant(&self, since_start_ns: u64) -> tokio::time::Instant {
        (self.start + Duration::from_nanos(since_start_ns)).into()
    }

    /// Runs all groups until the end of the scenario, and waits for the last calls.
    pub async fn run(self: Arc<Self>) {
        let mut groups = JoinSet::new();
        for group in 0..self.scenario.callers.len() {
            match self.scenario.callers[group].load {
                Load::Closed { callers, think } => {
                    for caller in 0..callers {
                        groups.spawn(self.clone().closed_loop(group, caller, think.0));
                    }
                }
                _ => drop(groups.spawn(self.clone().open_loop(group))),
            }
        }
        while groups.join_next().await.is_some() {}
    }

    /// Makes calls at the group's rate, independent of response times.
    async fn open_loop(self: Arc<Self>, group: usize) {
        // The random streams are those of the emulator, so that equal seeds give the same calls at the same times.
        let mut arrival_rng = stream(self.seed, Actor::Arrivals, group as u32);
        let mut behavior_rng = stream(self.seed, Actor::CallerBehavior, group as u32);
        let load = &self.scenario.callers[group].load;
        let (max_rate, mut arrival_ns, mut calls) = (load.max_rate(), 0_u64, JoinSet::new());
        if max_rate <= 0.0 {
            return;
        }
        loop {
            arrival_ns = arrival_ns.saturating_add(exponential_gap(&mut arrival_rng, max_rate));
            if arrival_ns >= self.scenario.duration.0 {
                break;
            }
            // Thinning (Lewis and Shedler, 1979): arrivals are drawn at the highest rate, and each is kept with the
            // probability current rate / highest rate.
            if !chance(&mut arrival_rng, load.rate(arrival_ns) / max_rate) {
                continue;
            }
            sleep_until(self.instant(arrival_ns)).await;
            let seed = behavior_rng.random();
            calls.spawn(self.clone().call(group, arrival_ns, seed));
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    /// Runs one closed-loop caller, which makes a call, waits for the response and pauses for `mean_pause_ns`
    /// nanoseconds on average.
    async fn closed_loop(self: Arc<Self>, group: usize, caller: u32, mean_pause_ns: u64) {
        let mut behavior_rng = stream(
            self.seed,
            Actor::CallerBehavior,
            (group as u32) << 16 | caller,
        );
        let initial_delay_ns = (behavior_rng.random::<f64>() * mean_pause_ns as f64) as u64;
        sleep(Duration::from_nanos(initial_delay_ns)).await;
        while self.now() < self.scenario.duration.0 {
            let seed = behavior_rng.random();
            self.clone().call(group, self.now(), seed).await;
            let pause_ns = exponential_gap(&mut behavior_rng, 1e9 / mean_pause_ns.max(1) as f64);
            sleep(Duration::from_nanos(pause_ns)).await;
        }
    }
}
