//! The endpoint list of the upstreams and its publication to the discovery agents.

use super::{Fleet, PublishedList};
use crate::balancer::Balancer;
use crate::rule_violation::RuleViolation;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Instant;
use woadstall_load_test::lock;
use woadstall_load_test::upstream::Listing;
use woadstall_load_test::upstream::listing::TERMINATING;

impl Fleet {
    /// Returns the current listings of all upstreams.
    pub(super) fn listings(&self) -> Vec<Listing> {
        let upstreams = self.upstreams.iter();
        upstreams.map(|upstream| upstream.listing()).collect()
    }

    /// Returns the list entries for a balancer, with the proxy addresses and the clock offset of this balancer.
    pub(super) fn list_entries_for(&self, balancer: &Balancer, listings: &[Listing]) -> Vec<Value> {
        self.list_entries(
            balancer.placement.tier,
            &balancer.endpoints.upstreams,
            balancer.clock_offset_ms,
            listings,
        )
    }

    /// Returns the list entries of a tier's upstreams for a balancer that reaches them at `addresses` and whose clock
    /// is ahead by `clock_offset_ms`.
    pub(super) fn list_entries(
        &self,
        tier: usize,
        addresses: &[SocketAddr],
        clock_offset_ms: i64,
        listings: &[Listing],
    ) -> Vec<Value> {
        let tier_listings = &listings[self.tier_bounds[tier]..self.tier_bounds[tier + 1]];
        let entry = |(listing, address): (&Listing, &SocketAddr)| {
            listing
                .for_clock(clock_offset_ms)
                .entry(&self.scenario.zones, *address)
        };
        tier_listings.iter().zip(addresses).map(entry).collect()
    }

    /// Publishes the current list to all agents. Returns the time at which the list reaches the last agent.
    fn publish_list(&self) -> Instant {
        let listings = self.listings();
        let revision = {
            let mut history = lock(&self.list_history);
            history.push(PublishedList {
                published_at: Instant::now(),
                listings: listings.clone(),
            });
            history.len() as u64
        };
        let delivery_times = self.balancers.iter().map(|balancer| {
            if self.has_stale_lists(balancer) {
                return Instant::now();
            }
            let entries = self.list_entries_for(balancer, &listings);
            balancer
                .agent
                .publish(revision, entries, &self.scenario.registry)
        });
        delivery_times.max().unwrap_or_else(Instant::now)
    }

    /// Whether [`RuleViolation::StaleLists`] withholds new lists from a balancer's agent. It does so for the first half
    /// of the balancers; this half has balancers in every zone.
    fn has_stale_lists(&self, balancer: &Balancer) -> bool {
        let stale_count = self.balancers.len() as u32 / 2;
        self.violation == Some(RuleViolation::StaleLists) && balancer.placement.number < stale_count
    }

    /// Changes the listed state of an upstream and publishes the list.
    pub fn set_listed_state(&self, upstream: u32, state: &'static str) {
        let upstream = &self.upstreams[upstream as usize];
        upstream.set_listed_state(state, None);
        let delivered_at = self.publish_list();
        // Unresponsive agents deliver no list, so balancers do not count as notified of the drain.
        if state == TERMINATING && *lock(&self.unresponsive_faults) == 0 {
            upstream.set_listed_state(state, Some(delivered_at));
        }
    }

    /// Adds or removes one fault that makes the agents unresponsive. When the last such fault ends, all balancers count
    /// as notified of draining upstreams.
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
