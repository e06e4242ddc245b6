//! Start and termination of processes during a run.

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

/// Upper bound on the time in which a starting process reads the list that its agent already has.
const LIST_READ_TIME: Duration = Duration::from_secs(1);

/// A published endpoint list with its revision number.
struct Revision {
    number: u64,
    listings: Vec<Listing>,
}

impl Fleet {
    /// Kills the process of an upstream and the process of its sidecar.
    pub fn kill_upstream(&self, upstream: u32) {
        self.network
            .set_running(links::upstream_node(upstream), false);
        self.upstreams[upstream as usize].kill();
        for sidecar in self.sidecars(upstream) {
            self.kill_balancer(sidecar.placement.number);
        }
    }

    /// Starts a new process of an upstream and of its sidecar.
    ///
    /// # Errors
    ///
    /// See [`Fleet::start_balancers`].
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
        // Calls to a sidecar bypass the proxy, so the running state of a sidecar's node has no effect.
        self.network
            .set_running(links::balancer_node(number), false);
        self.record_member_end(number);
    }

    /// Records that the process of a balancer has ended or is about to end.
    pub fn record_member_end(&self, number: u32) {
        if let Some(membership) = &self.membership {
            self.network.set_running(links::member_node(number), false);
            membership.set_running(number, false);
        }
    }

    /// Starts stopped balancers concurrently. Each balancer starts with the endpoint list that was current `staleness`
    /// ago.
    ///
    /// # Errors
    ///
    /// If the files of a process cannot be written, the process cannot be spawned, or the process does not become
    /// ready.
    pub async fn start_balancers(
        &self,
        numbers: &[u32],
        staleness: Duration,
    ) -> Result<(), ClusterError> {
        let (stale, last) = self.stale_and_last_list(staleness);
        let (mut starting, mut notified_at) = (JoinSet::new(), Instant::now());
        for &number in numbers {
            let balancer = self.balancers[number as usize].clone();
            let initial_list = self.list_entries_for(&balancer, &stale.listings);
            if stale.number < last.number {
                // The agent is reset to the stale list as well and receives the current list after the usual delay.
                balancer.agent.reset(stale.number, initial_list.clone());
                let entries = self.list_entries_for(&balancer, &last.listings);
                let registry = &self.scenario.registry;
                notified_at =
                    notified_at.max(balancer.agent.publish(last.number, entries, registry));
            }
            self.network.set_running(links::balancer_node(number), true);
            self.start_member(&balancer)?;
            let (scenario, seed) = (self.scenario.clone(), self.seed);
            let run_directory = self.run_directory.clone();
            starting.spawn(async move {
                balancer
                    .start(&run_directory, &scenario, seed, &initial_list)
                    .await
            });
        }
        self.delay_drain_notifications(notified_at + LIST_READ_TIME);
        join_all(starting).await
    }

    /// Returns the list that was current `staleness` ago, and the current list.
    fn stale_and_last_list(&self, staleness: Duration) -> (Revision, Revision) {
        let stale_time = Instant::now()
            .checked_sub(staleness)
            .unwrap_or(self.schedule.start);
        let history = lock(&self.list_history);
        let revision = |index: usize| Revision {
            number: index as u64 + 1,
            listings: history[index].listings.clone(),
        };
        let stale_index = history
            .partition_point(|list| list.published_at <= stale_time)
            .saturating_sub(1);
        (revision(stale_index), revision(history.len() - 1))
    }

    /// Writes the membership files of a balancer and records that its process runs.
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

    /// Postpones the time from which balancers count as notified of draining upstreams: a process that has not read its
    /// list yet does not know of the drain.
    fn delay_drain_notifications(&self, until: Instant) {
        for upstream in &self.upstreams {
            if upstream.listing().state == TERMINATING {
                upstream.delay_drain_notification(until);
            }
        }
    }
}
