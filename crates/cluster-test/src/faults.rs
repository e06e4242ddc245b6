//! Injection of the scenario's faults. Each fault is applied at its start time, to the same upstreams and balancers as
//! in the emulator's run with the same seed, and reverted at its end time.

mod power_loss;
mod rolling;

use crate::error::ClusterError;
use crate::fleet::{FaultTargets, Fleet};
use crate::tasks::join_all;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;
use woadstall_emulator::{Actor, Fault, FaultKind, StoredFiles, sample, stream};
use woadstall_load_test::lock;
use woadstall_load_test::schedule::CRASH_RECOVERY;
use woadstall_load_test::upstream::listing::{GONE, IN_SERVICE};

/// Interval of checks for upstreams that crashed under overload.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Fleet {
    /// Applies all faults. Returns the first error; without an error the future runs until it is dropped.
    ///
    /// # Errors
    ///
    /// If a process cannot be restarted or its files cannot be damaged.
    pub async fn run_faults(self: Arc<Self>) -> Result<(), ClusterError> {
        let mut faults = JoinSet::new();
        for index in 0..self.scenario.fault.len() {
            faults.spawn(self.clone().run_fault(index));
        }
        faults.spawn(self.clone().restart_crashed_upstreams());
        join_all(faults).await
    }

    /// Restarts upstreams that crashed under overload, except upstreams that an active fault keeps down.
    async fn restart_crashed_upstreams(self: Arc<Self>) -> Result<(), ClusterError> {
        let mut restarts = JoinSet::new();
        loop {
            sleep(CRASH_CHECK_INTERVAL).await;
            for upstream in 0..self.upstreams.len() as u32 {
                if !self.upstreams[upstream as usize].take_crashed() {
                    continue;
                }
                self.kill_upstream(upstream);
                let fleet = self.clone();
                restarts.spawn(async move {
                    sleep(CRASH_RECOVERY).await;
                    if fleet.is_down_by_fault(upstream) {
                        return Ok(());
                    }
                    fleet.restart_upstream(upstream).await
                });
            }
            while let Some(ended) = restarts.try_join_next() {
                ended??;
            }
        }
    }

    /// Whether an active fault has killed an upstream.
    fn is_down_by_fault(&self, upstream: u32) -> bool {
        let kills =
            |kind: &FaultKind| matches!(kind, FaultKind::Kill { .. } | FaultKind::PowerLoss { .. });
        let active = lock(&self.active_faults);
        let mut faults = self.scenario.fault.iter().zip(active.iter());
        faults.any(|(fault, targets)| {
            let targets = targets.as_ref();
            kills(&fault.kind)
                && targets.is_some_and(|targets| targets.upstreams.contains(&upstream))
        })
    }

    /// Draws the targets of a fault, with the same random numbers and the same candidates as the emulator.
    fn draw_targets(&self, index: usize) -> FaultTargets {
        let fault = &self.scenario.fault[index];
        let tier = fault
            .tier
            .as_ref()
            .and_then(|name| self.scenario.tier(name))
            .unwrap_or(0);
        let zone = self.scenario.zone(&fault.zone).unwrap_or(None);
        let is_in_zone = |other: u8| zone.is_none_or(|zone| zone == other);
        let upstreams: Vec<u32> = self
            .upstreams_of_tier(tier)
            .filter(|&number| {
                let upstream = &self.upstreams[number as usize];
                upstream.is_alive() && is_in_zone(upstream.listing().zone)
            })
            .collect();
        let balancers: Vec<u32> = self
            .balancers
            .iter()
            .map(|balancer| balancer.placement)
            .filter(|placement| placement.tier == tier && is_in_zone(placement.zone))
            .map(|placement| placement.number)
            .collect();
        let mut rng = stream(
            self.seed,
            Actor::Fault,
            fault.file_position.unwrap_or(index as u32),
        );
        FaultTargets {
            upstreams: sample(&mut rng, &upstreams, fault.part),
            balancers: sample(&mut rng, &balancers, fault.part),
        }
    }

    /// Waits until a fault is due, applies it, and reverts it at its end.
    async fn run_fault(self: Arc<Self>, index: usize) -> Result<(), ClusterError> {
        let fault = self.scenario.fault[index].clone();
        self.schedule.wait_for_fault_start(&fault).await;
        let targets = self.draw_targets(index);
        lock(&self.active_faults)[index] = Some(targets.clone());
        tracing::debug!(
            fault = index + 1,
            upstreams = ?targets.upstreams,
            balancers = ?targets.balancers,
            "applying fault"
        );
        match &fault.kind {
            FaultKind::Kill { .. } => self.kill_until_end(&fault, index, &targets).await,
            FaultKind::PowerLoss { stale, over, files } => {
                let settings = power_loss::PowerLossSettings {
                    staleness: Duration::from_nanos(stale.0),
                    boot_window: Duration::from_nanos(over.0),
                    files: *files,
                };
                self.apply_power_loss(&fault, index, &targets, settings)
                    .await
            }
            FaultKind::Roll => self.rolling_restart_upstreams(&fault, &targets).await,
            FaultKind::RollBalancers => self.rolling_restart_balancers(&fault, &targets).await,
            FaultKind::Restart { stale, files } => {
                let staleness = Duration::from_nanos(stale.0);
                self.kill_and_start_balancers(&fault, &targets, staleness, *files)
                    .await
            }
            FaultKind::PartitionTo
            | FaultKind::PartitionFrom
            | FaultKind::SlowLink(_)
            | FaultKind::Link(_)
            | FaultKind::MemberLink(_) => {
                self.update_links();
                self.schedule.wait_for_fault_end(&fault).await;
                lock(&self.active_faults)[index] = None;
                self.update_links();
                Ok(())
            }
            _ => {
                self.set_fault(&fault.kind, &targets, true);
                self.schedule.wait_for_fault_end(&fault).await;
                self.set_fault(&fault.kind, &targets, false);
                Ok(())
            }
        }
    }

    /// Applies or reverts a fault that starts no process.
    fn set_fault(&self, kind: &FaultKind, targets: &FaultTargets, active: bool) {
        let upstreams = || {
            let numbers = targets.upstreams.iter();
            numbers.map(|&number| &self.upstreams[number as usize])
        };
        match kind {
            FaultKind::PauseBalancers => self.set_suspended(&targets.balancers, active),
            FaultKind::SuspendUpstreams => {
                upstreams().for_each(|upstream| upstream.set_suspended(active))
            }
            FaultKind::RegistrySilent => self.set_agents_unresponsive(active),
            FaultKind::RegistryWrong => {
                let state = if active { GONE } else { IN_SERVICE };
                for &number in &targets.upstreams {
                    if self.upstreams[number as usize].is_alive() {
                        self.set_listed_state(number, state);
                    }
                }
            }
            kind => upstreams().for_each(|upstream| upstream.set_fault(kind, active)),
        }
    }

    async fn kill_until_end(
        &self,
        fault: &Fault,
        index: usize,
        targets: &FaultTargets,
    ) -> Result<(), ClusterError> {
        for &upstream in &targets.upstreams {
            self.kill_upstream(upstream);
        }
        self.mark_gone_until_end(fault, index, targets).await;
        for &upstream in &targets.upstreams {
            self.restart_upstream(upstream).await?;
        }
        Ok(())
    }

    /// Sets the listed state of killed upstreams to `GONE` after discovery's detection delay, then waits for the end of
    /// the fault.
    async fn mark_gone_until_end(&self, fault: &Fault, index: usize, targets: &FaultTargets) {
        self.schedule.wait_for_fault_detection(fault).await;
        for &upstream in &targets.upstreams {
            self.set_listed_state(upstream, GONE);
        }
        self.schedule.wait_for_fault_end(fault).await;
        lock(&self.active_faults)[index] = None;
    }

    async fn kill_and_start_balancers(
        &self,
        fault: &Fault,
        targets: &FaultTargets,
        staleness: Duration,
        files: StoredFiles,
    ) -> Result<(), ClusterError> {
        for &balancer in &targets.balancers {
            self.kill_balancer(balancer);
        }
        self.damage_files(&targets.balancers, files)?;
        self.schedule.wait_for_fault_end(fault).await;
        self.start_balancers(&targets.balancers, staleness).await
    }

    /// Damages the files that the next process of each balancer finds in its directory.
    fn damage_files(&self, balancers: &[u32], files: StoredFiles) -> Result<(), ClusterError> {
        for &number in balancers {
            let next = (number as usize + 1) % self.balancers.len();
            let process = &self.balancers[number as usize].process;
            let donor = &self.balancers[next].process;
            process
                .damage_files(files, donor)
                .map_err(|source| ClusterError::Process {
                    process: process.name.clone(),
                    source,
                })?;
        }
        Ok(())
    }

    /// Suspends or resumes the processes of balancers.
    fn set_suspended(&self, balancers: &[u32], suspended: bool) {
        for &number in balancers {
            let balancer = &self.balancers[number as usize];
            self.rules
                .set_suspended(balancer.endpoints.callers.address, suspended);
            balancer.set_suspended(suspended);
            if let Some(membership) = &self.membership {
                membership.set_suspended(number, suspended);
            }
        }
    }
}
