//! The script of faults: to the same nodos and balancers as in the lab's run of the same seed.

use crate::fleet::{Fleet, Hit, all_end};
use crate::ways;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;
use woadstall_emulator::{Actor, Fault, FaultKind, StoredFiles, sample, stream};
use woadstall_load_test::lock;
use woadstall_load_test::script::{GONE, TOPPLED};

/// How long a process that is told to stop may take beyond its callers' time.
const STOPS: Duration = Duration::from_secs(5);

impl Fleet {
    /// Plays all faults, each in its time. Ends with the last of them, and with the first that failed.
    pub async fn play(self: Arc<Self>) -> Result<(), String> {
        let mut faults = JoinSet::new();
        for at in 0..self.scenario.fault.len() {
            faults.spawn(self.clone().fault(at));
        }
        faults.spawn(self.clone().pick_up());
        all_end(faults).await
    }

    /// Nodos that fell over come back, unless a fault holds them down.
    async fn pick_up(self: Arc<Self>) -> Result<(), String> {
        let mut coming = JoinSet::new();
        loop {
            sleep(Duration::from_millis(100)).await;
            for nodo in 0..self.nodos.len() as u32 {
                if !self.nodos[nodo as usize].has_fallen() {
                    continue;
                }
                self.kill_nodo(nodo);
                let fleet = self.clone();
                coming.spawn(async move {
                    sleep(TOPPLED).await;
                    if fleet.is_held_down(nodo) {
                        Ok(())
                    } else {
                        fleet.boot_nodo(nodo).await
                    }
                });
            }
            while let Some(ended) = coming.try_join_next() {
                ended.map_err(|error| error.to_string())??;
            }
        }
    }

    fn is_held_down(&self, nodo: u32) -> bool {
        let kills =
            |what: &FaultKind| matches!(what, FaultKind::Kill { .. } | FaultKind::PowerLoss { .. });
        let in_force = lock(&self.in_force);
        let mut all = self.scenario.fault.iter().zip(in_force.iter());
        all.any(|(fault, hit)| {
            kills(&fault.what) && hit.as_ref().is_some_and(|hit| hit.nodos.contains(&nodo))
        })
    }

    /// What a fault hits: the lab's draws from among the same.
    fn hit(&self, at: usize) -> Hit {
        let fault = &self.scenario.fault[at];
        let tier = fault
            .tier
            .as_ref()
            .and_then(|name| self.scenario.tier(name))
            .unwrap_or(0);
        let zone = self.scenario.zone(&fault.zone).unwrap_or(None);
        let is_there = |other: u8| zone.is_none_or(|zone| zone == other);
        let can_be = |nodo: &u32| {
            let nodo = &self.nodos[*nodo as usize];
            nodo.is_alive() && is_there(nodo.listing().zone)
        };
        let nodos: Vec<u32> = self.of_tier(tier).filter(can_be).collect();
        let places = self.balancers.iter().map(|balancer| balancer.place);
        let balancers: Vec<u32> = places
            .filter(|place| place.tier == tier && is_there(place.zone))
            .map(|place| place.number)
            .collect();
        let mut rng = stream(self.seed, Actor::Fault, fault.file_position.unwrap_or(at as u32));
        let nodos = sample(&mut rng, &nodos, fault.part);
        Hit {
            nodos,
            balancers: sample(&mut rng, &balancers, fault.part),
        }
    }

    async fn fault(self: Arc<Self>, at: usize) -> Result<(), String> {
        let fault = self.scenario.fault[at].clone();
        self.script.begin_of(&fault).await;
        let hit = self.hit(at);
        lock(&self.in_force)[at] = Some(hit.clone());
        tracing::debug!(fault = at + 1, nodos = ?hit.nodos, balancers = ?hit.balancers, "begins");
        match &fault.what {
            FaultKind::Kill { .. } => self.killed(&fault, at, hit).await,
            FaultKind::PowerLoss { stale, over, files } => {
                let (stale, over) = (Duration::from_nanos(stale.0), Duration::from_nanos(over.0));
                self.without_power(&fault, at, hit, (stale, over, *files))
                    .await
            }
            FaultKind::Roll => self.rolled(&fault, hit).await,
            FaultKind::Restart { stale, files } => {
                hit.balancers
                    .iter()
                    .for_each(|&balancer| self.kill_balancer(balancer));
                self.spoil_files(&hit.balancers, *files)?;
                self.script.end_of(&fault).await;
                self.start_balancers(&hit.balancers, Duration::from_nanos(stale.0))
                    .await
            }
            FaultKind::RollBalancers => self.rolled_balancers(&fault, hit).await,
            FaultKind::Stall => {
                self.stand_still(&hit.balancers, true);
                self.script.end_of(&fault).await;
                self.stand_still(&hit.balancers, false);
                Ok(())
            }
            FaultKind::Stop => {
                hit.nodos
                    .iter()
                    .for_each(|&nodo| self.nodos[nodo as usize].stop(true));
                self.script.end_of(&fault).await;
                hit.nodos
                    .iter()
                    .for_each(|&nodo| self.nodos[nodo as usize].stop(false));
                Ok(())
            }
            FaultKind::RegistrySilent => {
                self.silence(true);
                self.script.end_of(&fault).await;
                self.silence(false);
                Ok(())
            }
            FaultKind::RegistryWrong => {
                let listed = |state| {
                    let listed = hit
                        .nodos
                        .iter()
                        .filter(|&&nodo| self.nodos[nodo as usize].is_alive());
                    listed.for_each(|&nodo| self.list(nodo, state));
                };
                listed("gone");
                self.script.end_of(&fault).await;
                listed("in_service");
                Ok(())
            }
            what if Self::is_of_ways(what) => {
                self.set_ways();
                self.script.end_of(&fault).await;
                lock(&self.in_force)[at] = None;
                self.set_ways();
                Ok(())
            }
            what => {
                hit.nodos
                    .iter()
                    .for_each(|&nodo| self.nodos[nodo as usize].ail(what, true));
                self.script.end_of(&fault).await;
                hit.nodos
                    .iter()
                    .for_each(|&nodo| self.nodos[nodo as usize].ail(what, false));
                Ok(())
            }
        }
    }

    async fn killed(&self, fault: &Fault, at: usize, hit: Hit) -> Result<(), String> {
        hit.nodos.iter().for_each(|&nodo| self.kill_nodo(nodo));
        self.script.noticed(fault).await;
        hit.nodos.iter().for_each(|&nodo| self.list(nodo, "gone"));
        self.script.end_of(fault).await;
        lock(&self.in_force)[at] = None;
        for &nodo in &hit.nodos {
            self.boot_nodo(nodo).await?;
        }
        Ok(())
    }

    async fn without_power(
        &self,
        fault: &Fault,
        at: usize,
        hit: Hit,
        (stale, over, files): (Duration, Duration, StoredFiles),
    ) -> Result<(), String> {
        // One instant: signals first, and nothing that takes time between them.
        hit.balancers
            .iter()
            .for_each(|&balancer| self.kill_balancer(balancer));
        hit.nodos.iter().for_each(|&nodo| self.kill_nodo(nodo));
        self.darken(&hit, true);
        self.spoil_files(&hit.balancers, files)?;
        self.script.noticed(fault).await;
        hit.nodos.iter().for_each(|&nodo| self.list(nodo, "gone"));
        self.script.end_of(fault).await;
        lock(&self.in_force)[at] = None;
        self.darken(&hit, false);
        let until = fault.until.unwrap_or(self.scenario.time).0;
        let alone = |&&balancer: &&u32| self.balancers[balancer as usize].beside.is_none();
        let alone: Vec<u32> = hit.balancers.iter().filter(alone).copied().collect();
        // Power is back for all at one time: nodos do not wait until the balancers are up, which may take long.
        let nodos = async {
            for (turn, &nodo) in hit.nodos.iter().enumerate() {
                self.script
                    .wait(until + over.as_nanos() as u64 * turn as u64 / hit.nodos.len() as u64)
                    .await;
                self.boot_nodo(nodo).await?;
            }
            Ok(())
        };
        tokio::try_join!(self.start_balancers(&alone, stale), nodos).map(drop)
    }

    /// The machines of balancers have no power, or have it again: they refuse nothing meanwhile.
    fn darken(&self, hit: &Hit, dark: bool) {
        let Some(mates) = &self.mates else { return };
        for &number in &hit.balancers {
            mates.dark(number, dark);
            self.fabric.set_running(ways::member(number), dark);
        }
        self.set_ways();
    }

    /// What the next processes of balancers find in their folders.
    fn spoil_files(&self, balancers: &[u32], files: StoredFiles) -> Result<(), String> {
        for &number in balancers {
            let next = (number as usize + 1) % self.balancers.len();
            let (process, stranger) = (
                &self.balancers[number as usize].process,
                &self.balancers[next].process,
            );
            process
                .spoil_files(files, stranger)
                .map_err(|error| format!("{}: {error}", process.name))?;
        }
        Ok(())
    }

    async fn rolled(self: Arc<Self>, fault: &Fault, hit: Hit) -> Result<(), String> {
        let mut each = JoinSet::new();
        for (turn, &nodo) in hit.nodos.iter().enumerate() {
            let (fleet, begins) = (
                self.clone(),
                self.script.turn(fault, 2, turn, hit.nodos.len()),
            );
            each.spawn(async move {
                fleet.script.wait(begins).await;
                fleet.list(nodo, "terminating");
                fleet.script.drained().await;
                fleet.kill_nodo(nodo);
                sleep(GONE).await;
                fleet.boot_nodo(nodo).await
            });
        }
        all_end(each).await
    }

    async fn rolled_balancers(self: Arc<Self>, fault: &Fault, hit: Hit) -> Result<(), String> {
        let mut each = JoinSet::new();
        for (turn, &number) in hit.balancers.iter().enumerate() {
            let (fleet, begins) = (
                self.clone(),
                self.script.turn(fault, 1, turn, hit.balancers.len()),
            );
            each.spawn(async move {
                fleet.script.wait(begins).await;
                let longest = Duration::from_nanos(fleet.scenario.longest().0);
                fleet.balancers[number as usize].stop(longest + STOPS).await;
                fleet.ends_as_member(number);
                fleet.start_balancers(&[number], Duration::ZERO).await
            });
        }
        all_end(each).await
    }

    fn stand_still(&self, balancers: &[u32], still: bool) {
        for &balancer in balancers {
            let balancer = &self.balancers[balancer as usize];
            self.judge.stands_still(balancer.door.address, still);
            balancer.stand_still(still);
            self.mates
                .iter()
                .for_each(|mates| mates.stands_still(balancer.place.number, still));
        }
    }
}
