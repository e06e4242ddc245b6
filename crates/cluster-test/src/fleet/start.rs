//! The start of a fleet: upstreams first, balancers last, so that these find everything in its place.

use super::Fleet;
use crate::balancer::{Balancer, Endpoints};
use crate::discovery::{Agent, ReadQueue};
use crate::error::ClusterError;
use crate::links;
use crate::membership::Membership;
use crate::ports::{Port, balancer_address, free_port};
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

/// What a fleet is started with.
pub struct FleetSettings {
    /// What is played.
    pub scenario: Arc<Scenario>,
    /// Finds broken rules.
    pub rules: Arc<RuleChecker>,
    /// Where processes are spawned.
    pub run_directory: Arc<RunDirectory>,
    /// The source of all random numbers.
    pub seed: u64,
    /// When callers begin.
    pub start: Instant,
    /// What is broken on purpose.
    pub violation: Option<RuleViolation>,
}

/// Where a balancer stands, before it has an address.
#[derive(Clone, Copy)]
struct Position {
    tier: usize,
    zone: u8,
    /// The upstream that it is the sidecar of.
    sidecar_of: Option<u32>,
}

impl Fleet {
    /// Starts all upstreams and balancers, and returns once all serve.
    ///
    /// # Errors
    ///
    /// Where a socket, a folder or a process cannot be made, or a process does not come up.
    pub async fn start(settings: FleetSettings) -> Result<Self, ClusterError> {
        let violation = settings.violation;
        let network = FaultProxy::new(settings.seed);
        let (upstreams, tier_bounds) = start_upstreams(&settings).await?;
        let mut proxies = Vec::new();
        let targets = upstream_targets(&upstreams, violation, &mut proxies).await?;
        let mut fleet = Self::without_balancers(settings, network, upstreams, tier_bounds);
        fleet.add_balancers(&targets, &mut proxies).await?;
        fleet._proxies = proxies;
        fleet.add_membership().await?;
        fleet.connect_tiers();
        fleet.update_links();
        let all: Vec<u32> = (0..fleet.balancers.len() as u32).collect();
        fleet.start_balancers(&all, Duration::ZERO).await?;
        Ok(fleet)
    }

    fn without_balancers(
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
            list_history: Mutex::new(vec![(Instant::now(), first_list)]),
            unresponsive_faults: Mutex::new(0),
            violation: settings.violation,
            _proxies: Vec::new(),
            scenario,
        }
    }

    async fn add_balancers(
        &mut self,
        targets: &[SocketAddr],
        proxies: &mut Vec<ViolatingProxy>,
    ) -> Result<(), ClusterError> {
        let service = self.scenario.registry.queries.clone();
        let queue = service.map(|service| Arc::new(ReadQueue::new(service)));
        for position in self.positions() {
            let number = self.balancers.len() as u32;
            let balancer = self
                .prepare_balancer(number, position, targets, queue.clone(), proxies)
                .await
                .map_err(|source| ClusterError::PrepareBalancer { number, source })?;
            self.balancers.push(Arc::new(balancer));
        }
        Ok(())
    }

    /// The positions of all balancers, in the order in which the emulator numbers them.
    fn positions(&self) -> Vec<Position> {
        let (scenario, mut positions) = (&self.scenario, Vec::new());
        for (index, tier) in scenario.tier.iter().enumerate() {
            if !tier.sidecar {
                positions.extend((0..tier.balancers).map(|number| Position {
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
                .map(|upstream| Position {
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
        position: Position,
        targets: &[SocketAddr],
        queue: Option<Arc<ReadQueue>>,
        proxies: &mut Vec<ViolatingProxy>,
    ) -> std::io::Result<Balancer> {
        let Position { tier, zone, .. } = position;
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
        let agent = Agent::start(number, self.seed, first_list, queue).await?;
        let agent_address = self
            .network
            .proxy_tcp(node, links::agent_node(number), agent.address)
            .await?;
        let callers = self
            .proxy_callers(number, position, listen, proxies)
            .await?;
        let process = Process::new(&self.run_directory, format!("balancer-{number:03}"))?;
        let admin = match self.scenario.members {
            Some(_) => Some(free_port(listen.ip(), Port::Operators).await?),
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

    /// Where a balancer is called, closed until its process serves. A sidecar is called by its upstream alone, without a
    /// network between them.
    async fn proxy_callers(
        &self,
        number: u32,
        position: Position,
        listen: SocketAddr,
        proxies: &mut Vec<ViolatingProxy>,
    ) -> std::io::Result<BalancerEndpoint> {
        let address = match position.sidecar_of {
            Some(_) => listen,
            None => {
                let mut target = listen;
                let violation = self.violation.filter(|kind| kind.is_before_balancers());
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

    /// By how much a balancer's clock is ahead: the same random number as in the emulator.
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

    /// Gives upstreams that call a next tier the balancers of that tier.
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
                let sidecar = balancers().find(|one| one.sidecar_of == Some(upstream));
                let callable = match sidecar {
                    Some(sidecar) => vec![endpoint(sidecar)],
                    None => balancers().map(endpoint).collect(),
                };
                self.upstreams[upstream as usize].set_next_tier(NextTier {
                    mean_calls: calls.mean,
                    balancers: callable,
                });
            }
        }
    }
}

/// Starts all upstreams, tier by tier, and returns the first of each tier as well, with the end of the last.
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

/// Where the links to each upstream lead: to it, or to a proxy before it that breaks a rule.
async fn upstream_targets(
    upstreams: &[Arc<Upstream>],
    violation: Option<RuleViolation>,
    proxies: &mut Vec<ViolatingProxy>,
) -> Result<Vec<SocketAddr>, ClusterError> {
    let Some(violation) = violation.filter(|kind| kind.is_before_upstreams()) else {
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
