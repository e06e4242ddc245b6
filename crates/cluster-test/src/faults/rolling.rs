//! Rolling restarts of upstreams and of balancers.

use crate::error::ClusterError;
use crate::fleet::{FaultTargets, Fleet};
use crate::tasks::join_all;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;
use woadstall_emulator::Fault;
use woadstall_load_test::schedule::ROLL_DOWNTIME;
use woadstall_load_test::upstream::listing::TERMINATING;

/// Time that a graceful shutdown may take beyond the longest deadline of a call.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(5);

impl Fleet {
    /// Drains and restarts upstreams at evenly spaced times within the first half of the fault.
    pub(super) async fn rolling_restart_upstreams(
        self: &Arc<Self>,
        fault: &Fault,
        targets: &FaultTargets,
    ) -> Result<(), ClusterError> {
        let mut restarts = JoinSet::new();
        let count = targets.upstreams.len();
        for (index, &upstream) in targets.upstreams.iter().enumerate() {
            let fleet = self.clone();
            let begin_ns = self.schedule.slot_start(fault, 2, index, count);
            restarts.spawn(async move {
                fleet.schedule.wait_until(begin_ns).await;
                fleet.set_listed_state(upstream, TERMINATING);
                fleet.schedule.wait_for_drain().await;
                fleet.kill_upstream(upstream);
                sleep(ROLL_DOWNTIME).await;
                fleet.restart_upstream(upstream).await
            });
        }
        join_all(restarts).await
    }

    /// Shuts down and restarts balancers at evenly spaced times during the fault.
    pub(super) async fn rolling_restart_balancers(
        self: &Arc<Self>,
        fault: &Fault,
        targets: &FaultTargets,
    ) -> Result<(), ClusterError> {
        let mut restarts = JoinSet::new();
        let count = targets.balancers.len();
        for (index, &number) in targets.balancers.iter().enumerate() {
            let fleet = self.clone();
            let begin_ns = self.schedule.slot_start(fault, 1, index, count);
            restarts.spawn(async move {
                fleet.schedule.wait_until(begin_ns).await;
                let longest_call = Duration::from_nanos(fleet.scenario.longest_deadline().0);
                let balancer = &fleet.balancers[number as usize];
                balancer.shut_down(longest_call + SHUTDOWN_MARGIN).await;
                fleet.record_member_end(number);
                fleet.start_balancers(&[number], Duration::ZERO).await
            });
        }
        join_all(restarts).await
    }
}
