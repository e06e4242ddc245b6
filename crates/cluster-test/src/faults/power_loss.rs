//! Power loss: balancers, upstreams and the machines of members fail at the same instant, and restart when power
//! returns.

use crate::error::ClusterError;
use crate::fleet::{FaultTargets, Fleet};
use crate::links;
use std::time::Duration;
use woadstall_emulator::{Fault, StoredFiles};

/// Parameters of a power loss.
pub struct PowerLossSettings {
    /// Age of the endpoint lists that balancers restart with.
    pub staleness: Duration,
    /// Time span over which upstreams restart one after the other.
    pub boot_window: Duration,
    /// Damage to the stored files of the balancers.
    pub files: StoredFiles,
}

impl Fleet {
    pub(super) async fn apply_power_loss(
        &self,
        fault: &Fault,
        index: usize,
        targets: &FaultTargets,
        settings: PowerLossSettings,
    ) -> Result<(), ClusterError> {
        // All kill signals are sent first, without slow work in between, so that the processes fail at one instant.
        for &balancer in &targets.balancers {
            self.kill_balancer(balancer);
        }
        for &upstream in &targets.upstreams {
            self.kill_upstream(upstream);
        }
        self.set_powered(targets, false);
        self.damage_files(&targets.balancers, settings.files)?;
        self.mark_gone_until_end(fault, index, targets).await;
        self.set_powered(targets, true);
        let is_not_sidecar = |number: &u32| {
            let balancer = &self.balancers[*number as usize];
            balancer.sidecar_of.is_none()
        };
        let balancers: Vec<u32> = targets
            .balancers
            .iter()
            .copied()
            .filter(is_not_sidecar)
            .collect();
        // Power returns to all machines at once: upstreams restart without waiting for the balancers, whose start may
        // take long.
        tokio::try_join!(
            self.start_balancers(&balancers, settings.staleness),
            self.boot_upstreams(fault, &targets.upstreams, settings.boot_window)
        )?;
        Ok(())
    }

    /// Restarts upstreams at evenly spaced times within `window` after the end of the fault.
    async fn boot_upstreams(
        &self,
        fault: &Fault,
        upstreams: &[u32],
        window: Duration,
    ) -> Result<(), ClusterError> {
        let end_ns = fault.until.unwrap_or(self.scenario.duration).0;
        for (index, &upstream) in upstreams.iter().enumerate() {
            let delay_ns = window.as_nanos() as u64 * index as u64 / upstreams.len() as u64;
            self.schedule.wait_until(end_ns + delay_ns).await;
            self.restart_upstream(upstream).await?;
        }
        Ok(())
    }

    /// Sets whether the machines of balancers have power. A machine without power does not even refuse connections.
    fn set_powered(&self, targets: &FaultTargets, powered: bool) {
        let Some(membership) = &self.membership else {
            return;
        };
        for &number in &targets.balancers {
            membership.set_powered(number, powered);
            // The proxy refuses connections to a node whose process is stopped. A machine without power refuses
            // nothing, so its node counts as running while its partitioned links drop all traffic.
            self.network
                .set_running(links::member_node(number), !powered);
        }
        self.update_links();
    }
}
