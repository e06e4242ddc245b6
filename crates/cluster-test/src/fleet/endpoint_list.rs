//! The endpoint list: how upstreams are listed, and its publication to the agents.

use super::Fleet;
use crate::balancer::Balancer;
use crate::rule_violation::RuleViolation;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Instant;
use woadstall_load_test::lock;
use woadstall_load_test::upstream::Listing;
use woadstall_load_test::upstream::listing::TERMINATING;

impl Fleet {
    /// How all upstreams are listed now.
    pub(super) fn listings(&self) -> Vec<Listing> {
        let upstreams = self.upstreams.iter();
        upstreams.map(|upstream| upstream.listing()).collect()
    }

    /// A list as a balancer is to find it.
    pub(super) fn list_for(&self, balancer: &Balancer, list: &[Listing]) -> Vec<Value> {
        self.list_entries(
            balancer.placement.tier,
            &balancer.endpoints.upstreams,
            balancer.clock_offset_ms,
            list,
        )
    }

    /// The entries of a tier's upstreams for a balancer that finds them at `addresses` and whose clock is ahead.
    pub(super) fn list_entries(
        &self,
        tier: usize,
        addresses: &[SocketAddr],
        clock_offset_ms: i64,
        list: &[Listing],
    ) -> Vec<Value> {
        let of_tier = &list[self.tier_bounds[tier]..self.tier_bounds[tier + 1]];
        let entry = |(listing, address): (&Listing, &SocketAddr)| {
            listing
                .for_clock(clock_offset_ms)
                .entry(&self.scenario.zones, *address)
        };
        of_tier.iter().zip(addresses).map(entry).collect()
    }

    /// Publishes the list to all agents. Returns when the last of them has it.
    fn publish_list(&self) -> Instant {
        let list = self.listings();
        let revision = {
            let mut history = lock(&self.list_history);
            history.push((Instant::now(), list.clone()));
            history.len() as u64
        };
        let due = self.balancers.iter().map(|balancer| {
            if self.has_stale_lists(balancer) {
                return Instant::now();
            }
            let entries = self.list_for(balancer, &list);
            balancer
                .agent
                .publish(revision, entries, &self.scenario.registry)
        });
        due.max().unwrap_or_else(Instant::now)
    }

    /// Whether a rule is broken on purpose by publishing nothing to a balancer's agent: to those of the first half, which
    /// are in all zones.
    fn has_stale_lists(&self, balancer: &Balancer) -> bool {
        let half = self.balancers.len() as u32 / 2;
        self.violation == Some(RuleViolation::StaleLists) && balancer.placement.number < half
    }

    /// Lists an upstream in another state.
    pub fn set_listed_state(&self, upstream: u32, state: &'static str) {
        let upstream = &self.upstreams[upstream as usize];
        upstream.set_listed_state(state, None);
        let due = self.publish_list();
        // An unresponsive agent notifies nobody.
        if state == TERMINATING && *lock(&self.unresponsive_faults) == 0 {
            upstream.set_listed_state(state, Some(due));
        }
    }

    /// One more fault keeps the agents unresponsive, or one less. When none is left, all balancers count as notified.
    pub fn set_agents_unresponsive(&self, unresponsive: bool) {
        let mut faults = lock(&self.unresponsive_faults);
        if unresponsive {
            *faults += 1;
        } else {
            *faults -= 1;
        }
        for balancer in &self.balancers {
            balancer.agent.set_unresponsive(*faults > 0);
        }
        if *faults > 0 {
            return;
        }
        for upstream in &self.upstreams {
            if upstream.listing().state == TERMINATING {
                upstream.set_listed_state(TERMINATING, Some(Instant::now()));
            }
        }
    }
}
