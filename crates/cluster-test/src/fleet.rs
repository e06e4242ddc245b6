//! Everything of a scenario but its callers: upstreams, balancers with their agents, the links between them, and the
//! endpoint list.

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

/// FaultKind a fault hits, by numbers among all, in ascending order.
#[derive(Clone, Debug)]
pub struct FaultTargets {
    /// The upstreams.
    pub upstreams: Vec<u32>,
    /// The balancers.
    pub balancers: Vec<u32>,
}

/// See the module's documentation.
pub struct Fleet {
    /// FaultKind is played.
    pub scenario: Arc<Scenario>,
    /// When it is played.
    pub schedule: Schedule,
    /// Finds broken rules.
    pub rules: Arc<RuleChecker>,
    /// The source of all random numbers.
    pub seed: u64,
    /// The links.
    pub network: FaultProxy,
    /// Where processes are spawned.
    pub run_directory: Arc<RunDirectory>,
    /// All upstreams, tier by tier.
    pub upstreams: Vec<Arc<Upstream>>,
    /// All balancers, tier by tier.
    pub balancers: Vec<Arc<Balancer>>,
    /// The targets of each fault, while it is in force.
    pub active_faults: Mutex<Vec<Option<FaultTargets>>>,
    /// Membership among the balancers, if there is any.
    pub membership: Option<Membership>,
    /// The first upstream of each tier, and the end of the last tier.
    tier_bounds: Vec<usize>,
    /// All lists that were published, each with its time.
    list_history: Mutex<Vec<(Instant, Vec<Listing>)>>,
    /// How many faults keep the agents unresponsive now.
    unresponsive_faults: Mutex<u32>,
    violation: Option<RuleViolation>,
    _proxies: Vec<ViolatingProxy>,
}

/// How many processes run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningCounts {
    /// Balancers that may be called.
    pub balancers: u64,
    /// Upstreams that are alive.
    pub upstreams: u64,
}

impl Fleet {
    /// Where callers call.
    pub fn entry_points(&self) -> Vec<BalancerEndpoint> {
        let first_tier = self
            .balancers
            .iter()
            .filter(|balancer| balancer.placement.tier == 0);
        first_tier
            .map(|balancer| balancer.endpoints.callers.clone())
            .collect()
    }

    /// Takes a sample of the upstreams: what each tier can do at present, in workers of healthy warm upstreams, and the
    /// attempts that each upstream got since the last sample.
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

    /// The numbers of the upstreams of a tier.
    pub fn upstreams_of_tier(&self, tier: usize) -> Range<u32> {
        self.tier_bounds[tier] as u32..self.tier_bounds[tier + 1] as u32
    }

    /// How many balancers and upstreams run.
    pub fn running(&self) -> RunningCounts {
        let balancers = self.balancers.iter().filter(|balancer| balancer.is_open());
        let upstreams = self.upstreams.iter();
        RunningCounts {
            balancers: balancers.count() as u64,
            upstreams: upstreams.filter(|upstream| upstream.is_alive()).count() as u64,
        }
    }
}
