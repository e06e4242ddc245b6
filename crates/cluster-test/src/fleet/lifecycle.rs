//! The start and the end of processes while the scenario runs.

use super::Fleet;
use crate::balancer::Balancer;
use crate::error::ClusterError;
use crate::links;
use crate::tasks::join_all;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use woadstall_load_test::lock;
use woadstall_load_test::upstream::Listing;
use woadstall_load_test::upstream::listing::{IN_SERVICE, TERMINATING};

/// The longest that a starting process needs to hear its list, once its agent has it.
const LIST_READ_TIME: Duration = Duration::from_secs(1);

/// A published list with its revision.
struct Revision {
    number: u64,
    list: Vec<Listing>,
}

impl Fleet {
    /// Kills an upstream's process, and its sidecar's.
    pub fn kill_upstream(&self, upstream: u32) {
        self.network
            .set_running(links::upstream_node(upstream), false);
        self.upstreams[upstream as usize].kill();
        for sidecar in self.sidecars(upstream) {
            self.kill_balancer(sidecar.placement.number);
        }
    }

    /// Starts a new process of an upstream, and of its sidecar.
    ///
    /// # Errors
    ///
    /// As [`Fleet::start_balancers`].
    pub async fn restart_upstream(&self, upstream: u32) -> Result<(), ClusterError> {
        self.upstreams[upstream as usize].clone().restart().await;
        self.network
            .set_running(links::upstream_node(upstream), true);
        self.set_listed_state(upstream, IN_SERVICE);
        let sidecars: Vec<u32> = self
            .sidecars(upstream)
            .map(|balancer| balancer.placement.number)
            .collect();
        self.start_balancers(&sidecars, Duration::ZERO).await
    }

    fn sidecars(&self, upstream: u32) -> impl Iterator<Item = &Arc<Balancer>> {
        self.balancers
            .iter()
            .filter(move |balancer| balancer.sidecar_of == Some(upstream))
    }

    /// Kills a balancer's process.
    pub fn kill_balancer(&self, number: u32) {
        self.balancers[number as usize].kill();
        // A sidecar is not called through a relay; its node may be marked all the same.
        self.network
            .set_running(links::balancer_node(number), false);
        self.record_member_end(number);
    }

    /// A balancer's process has ended, or is about to.
    pub fn record_member_end(&self, number: u32) {
        if let Some(membership) = &self.membership {
            self.network.set_running(links::member_node(number), false);
            membership.set_running(number, false);
        }
    }

    /// Starts balancers that do not run, all at once, with a list that is older than the present one by `staleness`.
    ///
    /// # Errors
    ///
    /// Where the files of a process cannot be written, it cannot be spawned, or does not come up.
    pub async fn start_balancers(
        &self,
        numbers: &[u32],
        staleness: Duration,
    ) -> Result<(), ClusterError> {
        let (stale, last) = self.stale_and_last_list(staleness);
        let (mut starting, mut notified) = (JoinSet::new(), Instant::now());
        for &number in numbers {
            let balancer = self.balancers[number as usize].clone();
            let known = self.list_for(&balancer, &stale.list);
            if stale.number < last.number {
                // Its agent has the stale list as well, and the rest reaches it with the usual delay.
                balancer.agent.reset(stale.number, known.clone());
                let entries = self.list_for(&balancer, &last.list);
                let padron = &self.scenario.registry;
                notified = notified.max(balancer.agent.publish(last.number, entries, padron));
            }
            self.network.set_running(links::balancer_node(number), true);
            self.start_member(&balancer)?;
            let (scenario, seed) = (self.scenario.clone(), self.seed);
            let run_directory = self.run_directory.clone();
            starting.spawn(async move {
                balancer
                    .start(&run_directory, &scenario, seed, &known)
                    .await
            });
        }
        self.delay_drain_notifications(notified + LIST_READ_TIME);
        join_all(starting).await
    }

    /// The list that was in force so long ago, and the present one.
    fn stale_and_last_list(&self, staleness: Duration) -> (Revision, Revision) {
        let then = Instant::now()
            .checked_sub(staleness)
            .unwrap_or(self.schedule.start);
        let history = lock(&self.list_history);
        let revision = |index: usize| Revision {
            number: index as u64 + 1,
            list: history[index].1.clone(),
        };
        let stale = history
            .partition_point(|(since, _)| *since <= then)
            .saturating_sub(1);
        (revision(stale), revision(history.len() - 1))
    }

    /// Writes the files of a balancer's membership, and notes that it runs.
    fn start_member(&self, balancer: &Balancer) -> Result<(), ClusterError> {
        let Some(membership) = &self.membership else {
            return Ok(());
        };
        membership
            .write_settings(&self.scenario, balancer)
            .map_err(|source| ClusterError::Process {
                process: balancer.process.name.clone(),
                source,
            })?;
        let number = balancer.placement.number;
        self.network.set_running(links::member_node(number), true);
        membership.set_running(number, true);
        Ok(())
    }

    /// A process that has not heard its list has not been notified of draining upstreams.
    fn delay_drain_notifications(&self, until: Instant) {
        for upstream in &self.upstreams {
            if upstream.listing().state == TERMINATING {
                upstream.delay_drain_notification(until);
            }
        }
    }
}
