//! Start-up of a fleet. Upstreams, agents and proxies start before the balancers that connect to them.

use super::{Fleet, PublishedList};
use crate::balancer::{Balancer, Endpoints};
use crate::discovery::{Agent, ReadQueue};
use crate::error::ClusterError;
use crate::links;
use crate::membership::Membership;
use crate::ports::{PortPurpose, balancer_address, free_port};
use crate::process::Process;
use crate::rule_violation::{RuleViolation, ViolatingProxy};
use crate::run_directory::RunDirectory;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use woadstall_emulator::{Actor, Scenario, stream};
use woadstall_fault_proxy::FaultProxy;
use woadstall_load_test::callers::BalancerEndpoint;
use woadstall_load_test::rule_checker::RuleChecker;
use woadstall_load_test::schedule::Schedule;
use woadstall_load_test::settings::BalancerPlacement;
use woadstall_load_test::upstream::{NextTier, Upstream, UpstreamNumber};

const NANOS_PER_MILLI: i64 = 1_000_000;

/// Parameters of a fleet.
pub struct FleetSettings {
    /// The scenario of the run.
    pub scenario: Arc<Scenario>,
    /// Checks calls and upstreams for rule violations.
    pub rules: Arc<RuleChecker>,
    /// The run directory, which spawns the processes.
    pub run_directory: Arc<RunDirectory>,
    /// Seed of all random number generators of the run.
    pub seed: u64,
    /// The time at which callers start to send requests.
    pub start: Instant,
    /// The rule to violate on purpose, if any.
    pub violation: Option<RuleViolation>,
}

/// Tier, zone and sidecar relation of a balancer that has no address yet.
#[derive(Clone, Copy)]
struct BalancerPosition {
    tier: usize,
    zone: u8,
    /// Index of the upstream whose sidecar the balancer is; `None` for other balancers.
    sidecar_of: Option<u32>,
}

impl Fleet {
    /// Starts all upstreams and balancers, and returns once all processes are ready.
    ///
    /// # Errors
    ///
    /// If a socket, a directory or a process cannot be created, or a process does not become ready.
    pub async fn start(settings: FleetSettings) -> Result<Self, ClusterError> {
        let violation = settings.violation;
        let network = FaultProxy::new(settings.seed);
        let (upstreams, tier_bounds) = start_upstreams(&settings).await?;
        let mut proxies = Vec::new();
        let targets = upstream_targets(&upstreams, violation, &mut proxies).await?;
        let mut fleet = Self::new_without_balancers(settings, network, upstreams, tier_bounds);
        fleet.add_balancers(&targets, &mut proxies).await?;
        fleet._violating_proxies = proxies;
        fleet.add_membership().await?;
        fleet.connect_tiers();
        fleet.update_links();
        let balancer_numbers: Vec<u32> = (0..fleet.balancers.len() as u32).collect();
        fleet
            .start_balancers(&balancer_numbers, Duration::ZERO)
            .await?;
        Ok(fleet)
    }

    fn new_without_balancers(
        settings: FleetSettings,
        network: FaultProxy,
        upstreams: Vec<Arc<Upstream>>,
        tier_bounds: Vec<usize>,
    ) -> Self {
        let scenario = settings.scenario;
        let first_list = upstreams
            .iter()
            .map(|upstream| upstream.listing())
            .collect();
        Self {
            schedule: Schedule::new(scenario.clone(), settings.start),
            rules: settings.rules,
            seed: settings.seed,
            network,
            run_directory: settings.run_directory,
            upstreams,
            balancers: Vec::new(),
            active_faults: Mutex::new(vec![None; scenario.fault.len()]),
            membership: None,
            tier_bounds,
            list_history: Mutex::new(vec![PublishedList {
                published_at: Instant::now(),
                listings: first_list,
            }]),
            unresponsive_faults: Mutex::new(0),
            violation: settings.violation,
            _violating_proxies: Vec::new(),
            scenario,
        }
    }

    async fn add_balancers(
        &mut self,
        targets: &[SocketAddr],
        proxies: &mut Vec<ViolatingProxy>,
    ) -> Result<(), ClusterError> {
        let service = self.scenario.registry.queries.clone();
        let read_queue = service.map(|service| Arc::new(ReadQueue::new(service)));
        for position in self.balancer_positions() {
            let number = self.balancers.len() as u32;
            let balancer = self
                .prepare_balancer(number, position, targets, read_queue.clone(), proxies)
                .await
                .map_err(|source| ClusterError::PrepareBalancer { number, source })?;
            self.balancers.push(Arc::new(balancer));
        }
        Ok(())
    }

    /// Returns the positions of all balancers, in the order of the emulator's numbering.
    fn balancer_positions(&self) -> Vec<BalancerPosition> {
        let (scenario, mut positions) = (&self.scenario, Vec::new());
        for (index, tier) in scenario.tier.iter().enumerate() {
            if !tier.sidecar {
                positions.extend((0..tier.balancers).map(|number| BalancerPosition {
                    tier: index,
                    zone: scenario.zone_in_turn(number),
                    sidecar_of: None,
                }));
                continue;
            }
            let Some(calling_tier) = scenario.caller_of(index) else {
                continue;
            };
            let sidecars = self
                .upstreams_of_tier(calling_tier)
                .map(|upstream| BalancerPosition {
                    tier: index,
                    zone: self.upstreams[upstream as usize].listing().zone,
                    sidecar_of: Some(upstream),
                });
            positions.extend(sidecars);
        }
        positions
    }

    async fn prepare_balancer(
        &self,
        number: u32,
        position: BalancerPosition,
        targets: &[SocketAddr],
        read_queue: Option<Arc<ReadQueue>>,
        proxies: &mut Vec<ViolatingProxy>,
    ) -> std::io::Result<Balancer> {
        let BalancerPosition { tier, zone, .. } = position;
        let node = links::balancer_node(number);
        let listen = balancer_address(number).await?;
        let mut upstreams = Vec::new();
        for upstream in self.upstreams_of_tier(tier) {
            let upstream_node = links::upstream_node(upstream);
            let target = targets[upstream as usize];
            upstreams.push(self.network.proxy_tcp(node, upstream_node, target).await?);
        }
        let clock_offset_ms = self.clock_offset_ms(number);
        let first_list = self.list_entries(tier, &upstreams, clock_offset_ms, &self.listings());
        let agent = Agent::start(number, self.seed, first_list, read_queue).await?;
        let agent_address = self
            .network
            .proxy_tcp(node, links::agent_node(number), agent.address)
            .await?;
        let callers = self
            .proxy_callers(number, position, listen, proxies)
            .await?;
        let process = Process::new(&self.run_directory, format!("balancer-{number:03}"))?;
        let admin = match self.scenario.members {
            Some(_) => Some(free_port(listen.ip(), PortPurpose::Operators).await?),
            None => None,
        };
        let placement = BalancerPlacement {
            tier,
            zone,
            number,
            listen,
        };
        let endpoints = Endpoints {
            callers,
            agent: agent_address,
            upstreams,
            admin,
        };
        Ok(Balancer::new(
            placement,
            position.sidecar_of,
            endpoints,
            process,
            agent,
            clock_offset_ms,
        ))
    }

    /// Creates the endpoint at which callers reach a balancer. The endpoint stays closed until the balancer's process
    /// is ready. A sidecar is called only by its upstream, directly and without a proxy.
    async fn proxy_callers(
        &self,
        number: u32,
        position: BalancerPosition,
        listen: SocketAddr,
        proxies: &mut Vec<ViolatingProxy>,
    ) -> std::io::Result<BalancerEndpoint> {
        let address = match position.sidecar_of {
            Some(_) => listen,
            None => {
                let mut target = listen;
                let violation = self
                    .violation
                    .filter(|kind| kind.is_in_front_of_balancers());
                if let Some(violation) = violation {
                    let proxy = ViolatingProxy::start(violation, listen).await?;
                    target = proxy.address;
                    proxies.push(proxy);
                }
                let callers = links::callers_node(position.zone);
                let balancer = links::balancer_node(number);
                self.network.proxy_tcp(callers, balancer, target).await?
            }
        };
        let endpoint = BalancerEndpoint::new(address, position.zone);
        endpoint.set_open(false);
        Ok(endpoint)
    }

    /// Draws the offset of a balancer's clock in milliseconds, with the same random number as the emulator. A positive
    /// offset means that the clock is ahead.
    fn clock_offset_ms(&self, number: u32) -> i64 {
        let max_offset_ns = self.scenario.clocks.max_offset.0 as i64;
        let mut rng = stream(self.seed, Actor::Balancer, number);
        if max_offset_ns > 0 {
            rng.random_range(-max_offset_ns..=max_offset_ns) / NANOS_PER_MILLI
        } else {
            0
        }
    }

    async fn add_membership(&mut self) -> Result<(), ClusterError> {
        let Some(members) = &self.scenario.members else {
            return Ok(());
        };
        let membership = Membership::new(
            members,
            &self.network,
            &self.balancers,
            &self.scenario.zones,
            self.seed,
            self.schedule.start,
        );
        let membership = membership.await.map_err(ClusterError::PrepareMembership)?;
        self.membership = Some(membership);
        Ok(())
    }

    /// Sets the balancers that upstreams with calls to a next tier send these calls to.
    fn connect_tiers(&self) {
        for (index, tier) in self.scenario.tier.iter().enumerate() {
            let Some(calls) = &tier.calls else { continue };
            let Some(next_tier) = self.scenario.tier(&calls.tier) else {
                continue;
            };
            let balancers = || {
                self.balancers
                    .iter()
                    .filter(|balancer| balancer.placement.tier == next_tier)
            };
            let endpoint = |balancer: &Arc<Balancer>| balancer.endpoints.callers.clone();
            for upstream in self.upstreams_of_tier(index) {
                let sidecar = balancers().find(|balancer| balancer.sidecar_of == Some(upstream));
                let callable_balancers = match sidecar {
                    Some(sidecar) => vec![endpoint(sidecar)],
                    None => balancers().map(endpoint).collect(),
                };
                self.upstreams[upstream as usize].set_next_tier(NextTier {
                    mean_calls: calls.mean,
                    balancers: callable_balancers,
                });
            }
        }
    }
}

/// Starts all upstreams in the order of their tiers. Also returns the index of the first upstream of each tier,
/// followed by the total number of upstreams.
async fn start_upstreams(
    settings: &FleetSettings,
) -> Result<(Vec<Arc<Upstream>>, Vec<usize>), ClusterError> {
    let FleetSettings {
        scenario,
        rules,
        seed,
        start,
        ..
    } = settings;
    let (mut upstreams, mut tier_bounds) = (Vec::new(), vec![0]);
    for (index, tier) in scenario.tier.iter().enumerate() {
        for number_in_tier in 0..tier.upstreams {
            let number = upstreams.len() as u32;
            let upstream_number = UpstreamNumber {
                tier: index,
                in_tier: number_in_tier,
                overall: number,
            };
            let upstream = Upstream::start(scenario, rules, upstream_number, *seed, *start).await;
            upstreams
                .push(upstream.map_err(|source| ClusterError::StartUpstream { number, source })?);
        }
        tier_bounds.push(upstreams.len());
    }
    Ok((upstreams, tier_bounds))
}

/// Returns the target address of the links to each upstream: the upstream itself, or a proxy in front of it that
/// violates a rule.
async fn upstream_targets(
    upstreams: &[Arc<Upstream>],
    violation: Option<RuleViolation>,
    proxies: &mut Vec<ViolatingProxy>,
) -> Result<Vec<SocketAddr>, ClusterError> {
    let Some(violation) = violation.filter(|kind| kind.is_in_front_of_upstreams()) else {
        return Ok(upstreams.iter().map(|upstream| upstream.address).collect());
    };
    let mut targets = Vec::new();
    for upstream in upstreams {
        let proxy = ViolatingProxy::start(violation, upstream.address)
            .await
            .map_err(ClusterError::StartViolationProxy)?;
        targets.push(proxy.address);
        proxies.push(proxy);
    }
    Ok(targets)
}
