//! The world: callers, balancers, upstreams, the network and the registry, in simulated time.
//!
//! One event at a time, in the order of their times, so one seed gives one result. What decides is the real
//! engine (or a baseline policy); all round it is a model, and docs/emulator.md says what that leaves out.

mod balancers;
mod build;
mod callers;
mod coordinators;
mod dispatch;
mod entities;
mod event;
mod faults;
mod members;
mod registry;
mod story;
mod upstreams;

use self::entities::{
    Attempt, Balancer, ClientCall, ConnectionPool, FaultTargets, PendingProbe, RegistryChange,
    Request,
};
use self::event::Event;
use crate::agent::{BoxedAgent, Ticket};
use crate::audit::Auditor;
use crate::costs::{Cost, CostCounters};
use crate::discovery::{Discovery, Read};
use crate::event_queue::{EventQueue, SequenceMap};
use crate::front::Front;
use crate::measure::{CallOutcome, Meter, RunResult};
use crate::policy::Policy;
use crate::random::{Actor, chance, exponential_gap, sample, stream};
use crate::scenario::{
    CallEffect, CallGroup, Fault, FaultKind, LinkFault, Load, Scenario, by_weight,
};
use crate::units::{MS, SECOND};
use crate::upstream::{Admission, Upstream, UpstreamFaults};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use woadstall_engine::decisions::ZoneId;
use woadstall_engine::{
    AttemptEnd, Call, CallResult, Command, Input, Lifecycle, LoadReport, Outcome, Peer, RequestId,
    SendAttempt, ServerId, Time, UpstreamEntry,
};

/// Unix time at the start of a run, on a clock that is right.
pub const EPOCH: Time = 1_760_000_000 * SECOND;
/// Timers ring at steps of this, as in the runtime.
const RING: Time = 4 * MS;
/// How long an upstream that fell over takes to come back.
const OVERLOAD_RECOVERY: Time = 5 * SECOND;
/// After the callers' last call, the world goes on for as long as the longest deadline and this.
const TAIL: Time = 2 * SECOND;
/// Longest story that is kept of one call.
const STORY: usize = 10_000;

/// What wraps an agent.
pub type AgentWrapper<'a> = dyn Fn(BoxedAgent) -> BoxedAgent + 'a;

/// A run, from its start to its end.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    seed: u64,
    policy: Policy,
    event_queue: EventQueue<Event>,
    client_calls: SequenceMap<ClientCall>,
    requests: SequenceMap<Request>,
    attempts: SequenceMap<Attempt>,
    probes: SequenceMap<PendingProbe>,
    balancers: Vec<Balancer>,
    /// The balancer beside the upstream at an address.
    sidecar: Vec<Option<u32>>,
    front: Option<Front>,
    front_rng: ChaCha8Rng,
    discovery: Option<Discovery>,
    /// The balancers of a tier in a zone.
    of_zone: Vec<Vec<Vec<u32>>>,
    upstreams: Vec<Upstream>,
    /// What waits for each until its process goes on.
    stopped: Vec<Vec<Event>>,
    /// Who listens at an address.
    hosts: Vec<u32>,
    changes: Vec<RegistryChange>,
    arrival_rngs: Vec<ChaCha8Rng>,
    behavior_rngs: Vec<ChaCha8Rng>,
    mixes: Vec<Vec<(f64, usize)>>,
    zones: Vec<Option<u8>>,
    tenants: Vec<usize>,
    calls: Vec<Option<(usize, f64)>>,
    faults: Vec<FaultTargets>,
    partitions: Vec<(u8, bool)>,
    registry_outages: u32,
    stalled: Time,
    members: Option<members::MembershipSimulation>,
    coordinators: Option<coordinators::Coordinators>,
    auditor: Auditor,
    meter: Meter,
    costs: CostCounters,
    story: Option<(u64, Vec<(Time, String)>)>,
    /// Wraps each agent as it starts; for tests that spoil or record one.
    wrap: Option<&'a AgentWrapper<'a>>,
    events: u64,
}

impl<'a> Simulation<'a> {
    /// A run that has not begun. The scenario is checked.
    pub fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let groups = scenario.callers.len() as u32;
        let mut world = Self {
            scenario,
            seed,
            policy,
            event_queue: EventQueue::default(),
            client_calls: SequenceMap::default(),
            requests: SequenceMap::default(),
            attempts: SequenceMap::default(),
            probes: SequenceMap::default(),
            balancers: Vec::new(),
            sidecar: Vec::new(),
            front: None,
            front_rng: stream(seed, Actor::Front, 0),
            discovery: scenario
                .registry
                .queries
                .as_ref()
                .map(|a| Discovery::new(a.reads_per_second, a.timeout.0)),
            of_zone: Vec::new(),
            upstreams: Vec::new(),
            stopped: Vec::new(),
            hosts: Vec::new(),
            changes: Vec::new(),
            arrival_rngs: (0..groups)
                .map(|group| stream(seed, Actor::Arrivals, group))
                .collect(),
            behavior_rngs: (0..groups)
                .map(|group| stream(seed, Actor::CallerBehavior, group))
                .collect(),
            mixes: Vec::new(),
            zones: Vec::new(),
            tenants: Vec::new(),
            calls: Vec::new(),
            faults: Vec::new(),
            partitions: Vec::new(),
            registry_outages: 0,
            stalled: 0,
            members: None,
            coordinators: None,
            auditor: Auditor::default(),
            meter: Meter::new(scenario),
            costs: CostCounters::new(scenario.tier.len()),
            story: None,
            wrap: None,
            events: 0,
        };
        for callers in &scenario.callers {
            world.mixes.push(scenario.mix(callers));
            world
                .zones
                .push(scenario.zone(&callers.zone).unwrap_or(None));
            let tenant = callers.tenant.as_ref();
            let tenant = tenant
                .and_then(|name| scenario.tenant.iter().position(|known| known.name == *name));
            world.tenants.push(tenant.unwrap_or(0));
        }
        world.build();
        world
    }

    /// Keeps the story of one call.
    pub fn follow(&mut self, call: u64) {
        self.story = Some((call, Vec::new()));
    }

    /// Wraps each agent as it starts.
    pub fn wrap_agents(&mut self, wrap: &'a AgentWrapper<'a>) {
        self.wrap = Some(wrap);
        for at in 0..self.balancers.len() {
            let agent = self.agent(at);
            self.balancers[at].agent = agent;
        }
    }

    /// A new agent for a balancer, with the seed of its next incarnation.
    fn agent(&mut self, at: usize) -> BoxedAgent {
        let now = self.event_queue.now();
        let balancer = &mut self.balancers[at];
        let (settings, local) = (
            self.scenario.settings(balancer.tier, balancer.zone),
            balancer.local(now),
        );
        let agent = self
            .policy
            .agent(settings, balancer.seeds.next_u64(), local);
        match self.wrap {
            Some(wrap) => wrap(agent),
            None => agent,
        }
    }

    /// Runs it to its end.
    pub fn run(mut self) -> RunResult {
        for at in 0..self.balancers.len() {
            self.send_full_list(at, 0);
        }
        self.members_begin();
        self.coordinators_begin();
        let longest = self.scenario.longest_deadline().0;
        let end = self.scenario.duration.0 + longest + TAIL;
        // What stands still at the end must not make what it holds look lost.
        while let Some(event) = self.event_queue.next(end.max(self.stalled)) {
            self.events += 1;
            self.happen(event);
        }
        let now = self.event_queue.now();
        self.auditor.check_overdue(now, self.stall_grace(now));
        let open = self
            .balancers
            .iter()
            .map(|balancer| balancer.agent.open_call_count())
            .sum();
        self.auditor.end(now, open);
        let members = self.members_end();
        let evacuated = self.coordinators_end();
        let story = self.story.map(|(_, story)| story).unwrap_or_default();
        let names: Vec<String> = self
            .scenario
            .tier
            .iter()
            .map(|tier| tier.name.clone())
            .collect();
        let costs = self.costs.rows(&names);
        let end = self.meter.end(self.auditor.findings(), self.events, story);
        let end = RunResult {
            costs,
            members,
            evacuation: evacuated,
            ..end
        };
        RunResult {
            bounds: self.scenario.evaluate(&end),
            ..end
        }
    }

    fn record_story(&mut self, client_call: u64, text: impl FnOnce() -> String) {
        if let Some((call, story)) = &mut self.story
            && *call == client_call
            && story.len() < STORY
        {
            story.push((self.event_queue.now(), text()));
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::CallArrives(group) => self.call_arrives(group as usize),
            Event::ClosedLoopCall(group) => self.closed_loop_call(group as usize),
            Event::CallerRetries(client_call) => self.send_to_balancer(client_call),
            Event::BalancerQueries(request) => self.balancer_queries(request),
            Event::AttemptArrived(attempt) => self.attempt_arrived(event, attempt),
            Event::WorkFinished { upstream, .. }
                if self.upstreams[upstream as usize].active_faults.stopped =>
            {
                self.stopped[upstream as usize].push(event);
            }
            Event::WorkFinished {
                attempt,
                upstream,
                process,
            } => self.work_finished(attempt, upstream as usize, process),
            Event::ResponseArrived { attempt, outcome } => {
                self.response_arrived(event, attempt, outcome)
            }
            Event::AttemptExpired(attempt) => self.attempt_expired(event, attempt),
            Event::AgentTimer { balancer, at } => self.agent_timer(balancer as usize, at),
            Event::RegistryUpdate {
                balancer,
                incarnation,
            } => self.registry_updated(event, balancer as usize, incarnation),
            Event::QueryCompleted {
                balancer,
                incarnation,
                well,
            } => self.query_completed(balancer as usize, incarnation, well),
            Event::ProbeArrives { probe } => self.probe_reaches(probe),
            Event::ProbeCompleted { probe, in_flight } => self.probe_ends(probe, in_flight),
            Event::FrontNoticed {
                balancer,
                incarnation,
                out,
            } => self.front_noticed(balancer as usize, incarnation, out),
            Event::RollBalancer {
                balancer,
                incarnation,
                drained,
            } => self.roll_balancer(balancer as usize, incarnation, drained),
            Event::FaultChanges { fault, begins } => self.fault_changes(fault as usize, begins),
            Event::RollUpstream {
                upstream,
                step,
                fault,
            } => self.roll_upstream(upstream, step, fault as usize),
            Event::UpstreamBoots(upstream) => self.boot_upstream(upstream as usize),
            Event::DeathNoticed { upstream, process } => self.death_noticed(upstream, process),
            Event::BalancerStarts { balancer, stale } => {
                self.start_balancer(balancer as usize, stale)
            }
            Event::EndOfStep => self.step(),
            Event::MemberTimer { balancer, at } => self.member_timer(balancer as usize, at),
            Event::MessageArrives(messages) => self.receive_member_message(messages),
            Event::CheckSuspects(balancer) => self.check_suspects(balancer as usize),
            Event::RecordPathReports => self.members_path_reports(),
            Event::CoordinatorTimer(balancer) => self.coordinator(balancer as usize),
        }
    }

    // ---- Measures ----

    fn step(&mut self) {
        let now = self.event_queue.now();
        self.auditor.check_overdue(now, self.stall_grace(now));
        let tiers = self.scenario.tier.len();
        let mut speed = vec![0.0; tiers];
        for upstream in &self.upstreams {
            if !upstream.draining {
                speed[upstream.tier] += upstream.speed(now);
            }
        }
        self.meter
            .step(now, &speed, self.requests.len(), self.attempts.len());
        if now < self.scenario.duration.0 {
            self.event_queue
                .after(self.scenario.step.0, Event::EndOfStep);
        }
    }
}
