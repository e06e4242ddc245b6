//! The upstreams of a scenario with one tier, their endpoint list, and their faults.

use crate::lock;
use crate::rule_checker::RuleChecker;
use crate::schedule::{CRASH_RECOVERY, ROLL_DOWNTIME, Schedule};
use crate::upstream::listing::{GONE, IN_SERVICE, TERMINATING};
use crate::upstream::{Upstream, UpstreamCounts, UpstreamNumber};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;
use woadstall_emulator::{Actor, Fault, FaultKind, Scenario, sample, stream};
use woadstall_mock_servers::http1::Discovery;

/// Interval between checks for upstreams that crashed under overload.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// All upstreams of a scenario, and the discovery server that publishes their endpoint list.
pub struct Fleet {
    scenario: Arc<Scenario>,
    upstreams: Vec<Arc<Upstream>>,
    discovery: Mutex<Discovery>,
    /// Address on which discovery listens.
    pub discovery_address: SocketAddr,
    schedule: Schedule,
    seed: u64,
}

impl Fleet {
    /// Starts all upstreams of a scenario's first tier.
    ///
    /// # Errors
    ///
    /// Returns an error if an upstream cannot listen.
    pub async fn start(
        scenario: Arc<Scenario>,
        rules: &Arc<RuleChecker>,
        seed: u64,
        start: Instant,
    ) -> std::io::Result<Self> {
        let mut upstreams = Vec::new();
        for number in 0..scenario.tier[0].upstreams {
            let number = UpstreamNumber {
                tier: 0,
                in_tier: number,
                overall: number,
            };
            upstreams.push(Upstream::start(&scenario, rules, number, seed, start).await?);
        }
        let discovery = Discovery::start();
        let fleet = Self {
            schedule: Schedule::new(scenario.clone(), start),
            scenario,
            upstreams,
            discovery_address: discovery.address,
            discovery: Mutex::new(discovery),
            seed,
        };
        fleet.publish_list();
        Ok(fleet)
    }

    /// Returns the entries of the endpoint list as published by discovery.
    pub fn list_entries(&self) -> Vec<Value> {
        let zones = &self.scenario.zones;
        self.upstreams
            .iter()
            .map(|upstream| upstream.listing().entry(zones, upstream.address))
            .collect()
    }

    fn publish_list(&self) {
        let entries = self.list_entries();
        let entries: Vec<String> = entries.iter().map(Value::to_string).collect();
        lock(&self.discovery).set(&entries);
    }

    fn set_listed_state(&self, upstream: u32, state: &'static str) {
        let drained_since = (state == TERMINATING).then(Instant::now);
        self.upstreams[upstream as usize].set_listed_state(state, drained_since);
        self.publish_list();
    }

    /// Returns the current capacity of all upstreams, in workers of healthy and warm upstreams, and the attempts that
    /// each upstream received since the last sample.
    pub fn sample(&self) -> (f64, Vec<u32>) {
        let samples = self.upstreams.iter().map(|upstream| upstream.sample());
        let (speeds, attempts): (Vec<f64>, Vec<u32>) = samples
            .map(|sample| (sample.speed, sample.attempts))
            .unzip();
        (speeds.iter().sum(), attempts)
    }

    /// Returns the request counts of each upstream so far.
    pub fn counts(&self) -> Vec<UpstreamCounts> {
        let upstreams = self.upstreams.iter();
        upstreams.map(|upstream| upstream.counts()).collect()
    }

    /// Returns the largest number of requests in flight at one upstream.
    pub fn max_in_flight(&self) -> u32 {
        let upstreams = self.upstreams.iter();
        let in_flight = upstreams.map(|upstream| upstream.in_flight());
        in_flight.max().unwrap_or(0)
    }

    /// Applies the faults of the scenario. The future never completes and must be aborted.
    pub async fn run_faults(self: Arc<Self>) {
        let mut faults = JoinSet::new();
        for index in 0..self.scenario.fault.len() {
            faults.spawn(self.clone().run_fault(index));
        }
        faults.spawn(self.clone().restart_crashed_upstreams());
        while faults.join_next().await.is_some() {}
    }

    async fn restart_crashed_upstreams(self: Arc<Self>) {
        loop {
            sleep(CRASH_CHECK_INTERVAL).await;
            for (index, upstream) in self.upstreams.iter().enumerate() {
                if !upstream.take_crashed() {
                    continue;
                }
                upstream.kill();
                let fleet = self.clone();
                tokio::spawn(async move {
                    sleep(CRASH_RECOVERY).await;
                    fleet.restart(index as u32).await;
                });
            }
        }
    }

    /// Returns the upstreams hit by a fault. The random stream is that of the emulator, so that equal seeds give the
    /// same upstreams.
    fn draw_targets(&self, index: usize) -> Vec<u32> {
        let fault = &self.scenario.fault[index];
        let zone = self.scenario.zone(&fault.zone).unwrap_or(None);
        let is_in_zone = |upstream: &Upstream| match zone {
            Some(zone) => upstream.listing().zone == zone,
            None => true,
        };
        let candidates: Vec<u32> = (0..self.upstreams.len() as u32)
            .filter(|&number| is_in_zone(&self.upstreams[number as usize]))
            .collect();
        let mut rng = stream(
            self.seed,
            Actor::Fault,
            fault.file_position.unwrap_or(index as u32),
        );
        sample(&mut rng, &candidates, fault.part)
    }

    /// Waits for the start of a fault, applies the fault, and reverts it at its end.
    async fn run_fault(self: Arc<Self>, index: usize) {
        let fault = &self.scenario.fault[index];
        let targets = self.draw_targets(index);
        self.schedule.wait_for_fault_start(fault).await;
        match &fault.kind {
            FaultKind::Kill { .. } => self.kill_until_fault_end(fault, &targets).await,
            FaultKind::Roll => self.roll(fault, &targets).await,
            kind => {
                self.set_fault(kind, &targets, true);
                self.schedule.wait_for_fault_end(fault).await;
                self.set_fault(kind, &targets, false);
            }
        }
    }

    fn set_fault(&self, kind: &FaultKind, targets: &[u32], active: bool) {
        for &upstream in targets {
            self.upstreams[upstream as usize].set_fault(kind, active);
        }
    }

    async fn kill_until_fault_end(&self, fault: &Fault, targets: &[u32]) {
        for &upstream in targets {
            self.upstreams[upstream as usize].kill();
        }
        self.schedule.wait_for_fault_detection(fault).await;
        for &upstream in targets {
            self.set_listed_state(upstream, GONE);
        }
        self.schedule.wait_for_fault_end(fault).await;
        for &upstream in targets {
            self.restart(upstream).await;
        }
    }

    /// Drains and restarts upstreams. Their drains start at times spread evenly over the first half of the fault.
    async fn roll(self: &Arc<Self>, fault: &Fault, targets: &[u32]) {
        let mut restarts = JoinSet::new();
        for (index, &upstream) in targets.iter().enumerate() {
            let fleet = self.clone();
            let drain_start = self.schedule.slot_start(fault, 2, index, targets.len());
            restarts.spawn(async move {
                fleet.schedule.wait_until(drain_start).await;
                fleet.set_listed_state(upstream, TERMINATING);
                fleet.schedule.wait_for_drain().await;
                fleet.upstreams[upstream as usize].kill();
                sleep(ROLL_DOWNTIME).await;
                fleet.restart(upstream).await;
            });
        }
        while restarts.join_next().await.is_some() {}
    }

    async fn restart(&self, upstream: u32) {
        self.upstreams[upstream as usize].clone().restart().await;
        self.set_listed_state(upstream, IN_SERVICE);
    }
}
