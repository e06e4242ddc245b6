//! The fleet of a run: upstreams, balancers with their discovery agents, the links between them, and the endpoint list.
//! Callers are not part of the fleet.

mod endpoint_list;
mod lifecycle;
mod network;
mod start;

pub use start::FleetSettings;

use crate::balancer::Balancer;
use crate::membership::Membership;
use crate::rule_violation::{RuleViolation, ViolatingProxy};
use crate::run_directory::RunDirectory;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use woadstall_emulator::Scenario;
use woadstall_fault_proxy::FaultProxy;
use woadstall_load_test::callers::BalancerEndpoint;
use woadstall_load_test::rule_checker::RuleChecker;
use woadstall_load_test::schedule::Schedule;
use woadstall_load_test::upstream::{Listing, Upstream};

/// The targets of a fault, as indices in ascending order.
#[derive(Clone, Debug)]
pub struct FaultTargets {
    /// Indices among all upstreams.
    pub upstreams: Vec<u32>,
    /// Indices among all balancers.
    pub balancers: Vec<u32>,
}

/// Upstreams, balancers, links and endpoint list of one run.
pub struct Fleet {
    /// The scenario of the run.
    pub scenario: Arc<Scenario>,
    /// The start times and end times of faults.
    pub schedule: Schedule,
    /// Checks calls and upstreams for rule violations.
    pub rules: Arc<RuleChecker>,
    /// Seed of all random number generators of the run.
    pub seed: u64,
    /// Proxies for all links between callers, balancers, agents, upstreams and members.
    pub network: FaultProxy,
    /// The run directory, which spawns the processes.
    pub run_directory: Arc<RunDirectory>,
    /// All upstreams, ordered by tier.
    pub upstreams: Vec<Arc<Upstream>>,
    /// All balancers, ordered by tier.
    pub balancers: Vec<Arc<Balancer>>,
    /// Targets of each fault of the scenario; `None` while the fault is not active.
    pub active_faults: Mutex<Vec<Option<FaultTargets>>>,
    /// Membership among the balancers; `None` if the scenario has no membership.
    pub membership: Option<Membership>,
    /// Index of the first upstream of each tier, followed by the total number of upstreams.
    tier_bounds: Vec<usize>,
    /// All published endpoint lists, oldest first. The list at index 0 has revision 1.
    list_history: Mutex<Vec<PublishedList>>,
    /// Number of active faults that make the agents unresponsive.
    unresponsive_faults: Mutex<u32>,
    violation: Option<RuleViolation>,
    _violating_proxies: Vec<ViolatingProxy>,
}

/// An endpoint list of all upstreams that was published to the agents.
struct PublishedList {
    published_at: Instant,
    listings: Vec<Listing>,
}

/// Numbers of running balancers and upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningCounts {
    /// Balancers that are open for callers.
    pub balancers: u64,
    /// Upstreams that are alive.
    pub upstreams: u64,
}

impl Fleet {
    /// Returns the endpoints that callers send requests to: the balancers of the first tier.
    pub fn entry_points(&self) -> Vec<BalancerEndpoint> {
        let first_tier = self
            .balancers
            .iter()
            .filter(|balancer| balancer.placement.tier == 0);
        first_tier
            .map(|balancer| balancer.endpoints.callers.clone())
            .collect()
    }

    /// Samples the upstreams. Returns the current capacity of each tier, in workers of healthy warm upstreams, and the
    /// number of attempts that each upstream received since the last sample.
    pub fn sample_upstreams(&self) -> (Vec<f64>, Vec<u32>) {
        let samples = self.upstreams.iter().map(|upstream| upstream.sample());
        let (speeds, attempts): (Vec<f64>, Vec<u32>) = samples
            .map(|sample| (sample.speed, sample.attempts))
            .unzip();
        let tier_speeds = self
            .tier_bounds
            .windows(2)
            .map(|tier| speeds[tier[0]..tier[1]].iter().sum())
            .collect();
        (tier_speeds, attempts)
    }

    /// Returns the indices of the upstreams of a tier.
    pub fn upstreams_of_tier(&self, tier: usize) -> Range<u32> {
        self.tier_bounds[tier] as u32..self.tier_bounds[tier + 1] as u32
    }

    /// Counts the balancers that are open for callers and the upstreams that are alive.
    pub fn running_counts(&self) -> RunningCounts {
        let balancers = self.balancers.iter().filter(|balancer| balancer.is_open());
        let upstreams = self.upstreams.iter();
        RunningCounts {
            balancers: balancers.count() as u64,
            upstreams: upstreams.filter(|upstream| upstream.is_alive()).count() as u64,
        }
    }
}
