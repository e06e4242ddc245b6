//! The callers: at a set rate, whatever the responses take, or a crowd whose members wait for them. Latencies count from
//! when a call was due, not from when this program came to it, so that its own slowness is not left out.

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

/// What callers call through.
#[derive(Clone)]
pub enum Transport {
    /// Daemons, over HTTP/1.1.
    Daemons(Vec<BalancerEndpoint>),
    /// Plug-ins in this process, over gRPC; the zone of each.
    Plugins(Vec<(Balance, u8)>),
    /// Both, each attempt through the one or the other.
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
    /// The number of the next call.
    next_number: AtomicU64,
    lag: Mutex<Lag>,
    tally: Mutex<Tally>,
    /// The classes of each group, with their shares.
    mixes: Vec<Vec<(f64, usize)>>,
}

impl Callers {
    /// Callers that begin at `start`.
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

    /// How late calls were begun.
    pub fn lag(&self) -> Lag {
        lock(&self.lag).clone()
    }

    /// The responses to all attempts, counted.
    pub fn tally(&self) -> Tally {
        lock(&self.tally).clone()
    }

    /// Ends a step of the timeline: what the upstreams of each tier can do, the attempts that each upstream got in it, and
    /// the most requests that one had in flight.
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

    /// The result, from all that was counted and checked; counts begin anew.
    pub fn end(&self) -> RunResult {
        let meter = std::mem::replace(&mut *lock(&self.meter), Meter::new(&self.scenario));
        meter.end(self.rules.findings(), 0, Vec::new())
    }

    /// The time since callers began, in nanoseconds.
    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    fn instant(&self, at: u64) -> tokio::time::Instant {
        (self.start + Duration::from_nanos(at)).into()
    }

    /// Has all groups call until the scenario's time is over and the last calls have ended.
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

    /// Calls at the group's rate, whatever the responses take.
    async fn open_loop(self: Arc<Self>, group: usize) {
        // The same random numbers as in the emulator, so that the same calls come at the same times.
        let mut arrivals = stream(self.seed, Actor::Arrivals, group as u32);
        let mut habits = stream(self.seed, Actor::CallerBehavior, group as u32);
        let load = &self.scenario.callers[group].load;
        let (max_rate, mut at, mut calls) = (load.max_rate(), 0_u64, JoinSet::new());
        if max_rate <= 0.0 {
            return;
        }
        loop {
            at = at.saturating_add(exponential_gap(&mut arrivals, max_rate));
            if at >= self.scenario.duration.0 {
                break;
            }
            // Thinning (Lewis and Shedler, 1979): arrivals at the highest rate, of which those of the present rate stay.
            if !chance(&mut arrivals, load.rate(at) / max_rate) {
                continue;
            }
            sleep_until(self.instant(at)).await;
            let seed = habits.random();
            calls.spawn(self.clone().call(group, at, seed));
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    /// One caller of a crowd: it calls, waits for the response, and pauses for `think` nanoseconds on average.
    async fn closed_loop(self: Arc<Self>, group: usize, caller: u32, think: u64) {
        let mut habits = stream(
            self.seed,
            Actor::CallerBehavior,
            (group as u32) << 16 | caller,
        );
        let first_backoff = (habits.random::<f64>() * think as f64) as u64;
        sleep(Duration::from_nanos(first_backoff)).await;
        while self.now() < self.scenario.duration.0 {
            let seed = habits.random();
            self.clone().call(group, self.now(), seed).await;
            let pause = exponential_gap(&mut habits, 1e9 / think.max(1) as f64);
            sleep(Duration::from_nanos(pause)).await;
        }
    }
}
