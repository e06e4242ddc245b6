//! The nodos of a scenario's only tier, the list of them, and the script of faults.

use crate::judge::Judge;
use crate::lock;
use crate::nodo::{Seen, Socketed};
use crate::script::{GONE, Script, TOPPLED};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;
use woadstall_emulator::{Actor, FaultKind, Scenario, sample, stream};
use woadstall_mock_servers::http1::Discovery;

/// All nodos of a scenario, and the list of them.
pub struct Fleet {
    scenario: Arc<Scenario>,
    nodos: Vec<Arc<Socketed>>,
    discovery: Mutex<Discovery>,
    /// Where the list is told.
    pub discovery_at: SocketAddr,
    script: Script,
    seed: u64,
}

impl Fleet {
    /// Starts all nodos of a scenario's first tier.
    pub async fn start(
        scenario: Arc<Scenario>,
        judge: Arc<Judge>,
        seed: u64,
        start: Instant,
    ) -> std::io::Result<Self> {
        let mut nodos = Vec::new();
        for number in 0..scenario.tier[0].upstreams {
            nodos.push(Socketed::start(&scenario, &judge, start, 0, (number, number), seed).await?);
        }
        let discovery = Discovery::start();
        let (discovery_at, discovery) = (discovery.address, Mutex::new(discovery));
        let script = Script::new(scenario.clone(), start);
        let fleet = Self {
            scenario,
            nodos,
            discovery,
            discovery_at,
            script,
            seed,
        };
        fleet.tell();
        Ok(fleet)
    }

    /// The list, as discovery tells it.
    pub fn targets(&self) -> Vec<Value> {
        let zones = &self.scenario.zones;
        let entry = |nodo: &Arc<Socketed>| nodo.listing().entry(zones, nodo.address);
        self.nodos.iter().map(entry).collect()
    }

    fn tell(&self) {
        let targets: Vec<String> = self.targets().iter().map(Value::to_string).collect();
        lock(&self.discovery).set(&targets);
    }

    fn list(&self, at: u32, state: &'static str) {
        let drained = (state == "terminating").then(Instant::now);
        self.nodos[at as usize].list(state, drained);
        self.tell();
    }

    /// What all nodos can do at present, in workers of sound warm ones, and the attempts that each got since the
    /// last look.
    pub fn look(&self) -> (f64, Vec<u32>) {
        let looks = self.nodos.iter().map(|nodo| nodo.look());
        let (speeds, attempts): (Vec<f64>, Vec<u32>) = looks.unzip();
        (speeds.iter().sum(), attempts)
    }

    /// What each nodo has seen so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.nodos.iter().map(|nodo| nodo.seen()).collect()
    }

    /// Most requests that a nodo holds now.
    pub fn most_held(&self) -> u32 {
        self.nodos.iter().map(|nodo| nodo.held()).max().unwrap_or(0)
    }

    /// Plays the faults of the scenario, each in its time; never ends by itself before they are over.
    pub async fn play(self: Arc<Self>) {
        let mut faults = JoinSet::new();
        for at in 0..self.scenario.fault.len() {
            faults.spawn(self.clone().fault(at));
        }
        // Those that fell over come back.
        let fleet = self.clone();
        faults.spawn(async move {
            loop {
                sleep(Duration::from_millis(100)).await;
                for (at, nodo) in fleet.nodos.iter().enumerate() {
                    if nodo.has_fallen() {
                        nodo.kill();
                        let fleet = fleet.clone();
                        tokio::spawn(async move {
                            sleep(TOPPLED).await;
                            fleet.boot(at as u32).await;
                        });
                    }
                }
            }
        });
        while faults.join_next().await.is_some() {}
    }

    async fn fault(self: Arc<Self>, at: usize) {
        let fault = &self.scenario.fault[at];
        let zone = self.scenario.zone(&fault.zone).unwrap_or(None);
        let there = |nodo: &Socketed| zone.is_none_or(|zone| nodo.listing().zone == zone);
        let nodos: Vec<u32> = (0..self.nodos.len() as u32)
            .filter(|&nodo| there(&self.nodos[nodo as usize]))
            .collect();
        let hit = sample(
            &mut stream(self.seed, Actor::Fault, fault.file_position.unwrap_or(at as u32)),
            &nodos,
            fault.part,
        );
        self.script.begin_of(fault).await;
        match &fault.what {
            FaultKind::Kill { .. } => {
                hit.iter()
                    .for_each(|&nodo| self.nodos[nodo as usize].kill());
                self.script.noticed(fault).await;
                hit.iter().for_each(|&nodo| self.list(nodo, "gone"));
                self.script.end_of(fault).await;
                for &nodo in &hit {
                    self.boot(nodo).await;
                }
            }
            FaultKind::Roll => {
                let mut each = JoinSet::new();
                for (turn, &nodo) in hit.iter().enumerate() {
                    let (fleet, begins) =
                        (self.clone(), self.script.turn(fault, 2, turn, hit.len()));
                    each.spawn(async move {
                        fleet.script.wait(begins).await;
                        fleet.list(nodo, "terminating");
                        fleet.script.drained().await;
                        fleet.nodos[nodo as usize].kill();
                        sleep(GONE).await;
                        fleet.boot(nodo).await;
                    });
                }
                while each.join_next().await.is_some() {}
            }
            _ => {
                hit.iter()
                    .for_each(|&nodo| self.nodos[nodo as usize].ail(&fault.what, true));
                self.script.end_of(fault).await;
                hit.iter()
                    .for_each(|&nodo| self.nodos[nodo as usize].ail(&fault.what, false));
            }
        }
    }

    async fn boot(&self, at: u32) {
        let nodo = &self.nodos[at as usize];
        nodo.clone().boot().await;
        self.list(at, "in_service");
    }
}
