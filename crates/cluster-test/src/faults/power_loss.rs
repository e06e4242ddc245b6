//! A power loss: balancers, upstreams and the machines of members are down at once, and come back when power does.

use crate::error::ClusterError;
use crate::fleet::{FaultTargets, Fleet};
use crate::links;
use std::time::Duration;
use woadstall_emulator::{Fault, StoredFiles};

/// What a power loss is set to.
pub struct Settings {
    /// The age of the lists that balancers come back with.
    pub staleness: Duration,
    /// The time over which upstreams come back, one after the other.
    pub boot_window: Duration,
    /// What balancers find of their files.
    pub files: StoredFiles,
}

impl Fleet {
    pub(super) async fn lose_power(
        &self,
        fault: &Fault,
        index: usize,
        targets: &FaultTargets,
        settings: Settings,
    ) -> Result<(), ClusterError> {
        // At one instant: the signals come first, and nothing that takes time between them.
        for &balancer in &targets.balancers {
            self.kill_balancer(balancer);
        }
        for &upstream in &targets.upstreams {
            self.kill_upstream(upstream);
        }
        self.set_powered(targets, false);
        self.damage_files(&targets.balancers, settings.files)?;
        self.unlist_until_end(fault, index, targets).await;
        self.set_powered(targets, true);
        let is_no_sidecar = |number: &u32| {
            let balancer = &self.balancers[*number as usize];
            balancer.sidecar_of.is_none()
        };
        let balancers: Vec<u32> = targets
            .balancers
            .iter()
            .copied()
            .filter(is_no_sidecar)
            .collect();
        // Power is back for all at once: upstreams do not wait until balancers are up, which may take long.
        tokio::try_join!(
            self.start_balancers(&balancers, settings.staleness),
            self.boot_upstreams(fault, &targets.upstreams, settings.boot_window)
        )?;
        Ok(())
    }

    /// Restarts upstreams, spread evenly over a time from the end of the fault on.
    async fn boot_upstreams(
        &self,
        fault: &Fault,
        upstreams: &[u32],
        window: Duration,
    ) -> Result<(), ClusterError> {
        let end = fault.until.unwrap_or(self.scenario.duration).0;
        for (index, &upstream) in upstreams.iter().enumerate() {
            let delay = window.as_nanos() as u64 * index as u64 / upstreams.len() as u64;
            self.schedule.wait_until(end + delay).await;
            self.restart_upstream(upstream).await?;
        }
        Ok(())
    }

    /// The machines of balancers have power or none. Without it they do not even refuse connections.
    fn set_powered(&self, targets: &FaultTargets, powered: bool) {
        let Some(membership) = &self.membership else {
            return;
        };
        for &number in &targets.balancers {
            membership.set_powered(number, powered);
            // A node that does not run refuses what is sent to it. Without power nothing does: its links drop it.
            self.network
                .set_running(links::member_node(number), !powered);
        }
        self.update_links();
    }
}
