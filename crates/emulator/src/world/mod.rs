//! Discrete-event simulation of callers, balancers, upstreams, the network and the registry.
//!
//! Events are handled one at a time in the order of their times, so that one seed gives one result. The
//! decisions come from the real engine or from a baseline policy; everything else is a model, whose limits
//! docs/emulator.md describes.

mod balancers;
mod build;
mod call_trace;
mod callers;
mod coordinators;
mod dispatch;
mod entities;
mod event;
mod faults;
mod members;
mod registry;
mod upstreams;

use self::entities::{
    Attempt, Balancer, ClientCall, ConnectionPool, FaultTargets, ListUpdate, PendingProbe,
    RegistryChange, Request,
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

/// Unix time at the start of a run, by an exact clock.
pub const EPOCH: Time = 1_760_000_000 * SECOND;
/// Timers fire at this granularity, as in the runtime.
const TIMER_GRANULARITY: Time = 4 * MS;
/// Time until an overloaded upstream that crashed is back.
const OVERLOAD_RECOVERY: Time = 5 * SECOND;
/// Time that the simulation continues after the callers' last call, in addition to the longest deadline.
const DRAIN_TIME: Time = 2 * SECOND;
/// Maximum number of entries in the trace of a call.
const MAX_TRACE_ENTRIES: usize = 10_000;

/// Function that wraps each balancer's agent.
pub type AgentWrapper<'a> = dyn Fn(BoxedAgent) -> BoxedAgent + 'a;

/// A simulation run.
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
    /// Sidecar balancer of the upstream at each host.
    sidecar_by_host: Vec<Option<u32>>,
    front: Option<Front>,
    front_rng: ChaCha8Rng,
    discovery: Option<Discovery>,
    /// Balancers by tier and zone.
    balancers_by_zone: Vec<Vec<Vec<u32>>>,
    upstreams: Vec<Upstream>,
    /// Events held back for each suspended upstream.
    suspended_events: Vec<Vec<Event>>,
    /// Upstream that listens at each host.
    upstream_by_host: Vec<u32>,
    /// All changes of the upstream list, in order.
    changes: Vec<RegistryChange>,
    arrival_rngs: Vec<ChaCha8Rng>,
    behavior_rngs: Vec<ChaCha8Rng>,
    /// Share and position of each class that a group of callers calls.
    class_mix_by_group: Vec<Vec<(f64, usize)>>,
    zone_by_group: Vec<Option<u8>>,
    tenant_by_group: Vec<usize>,
    /// Tier that the upstreams of each tier call, and their mean number of calls per request.
    downstream_by_tier: Vec<Option<(usize, f64)>>,
    fault_targets: Vec<FaultTargets>,
    /// Zones whose upstreams are partitioned from other zones; the flag is `true` if messages to the zone are lost,
    /// and `false` if messages from the zone are lost.
    partitioned_zones: Vec<(u8, bool)>,
    /// Number of registry outages that are active.
    registry_outages: u32,
    /// Latest time at which any paused balancer resumes.
    latest_resume_at: Time,
    members: Option<members::MembershipSimulation>,
    coordinators: Option<coordinators::Coordinators>,
    auditor: Auditor,
    meter: Meter,
    costs: CostCounters,
    /// Number of the traced call, and its trace.
    call_trace: Option<(u64, Vec<(Time, String)>)>,
    /// Wraps each new agent; tests use it to record an agent or to make it misbehave.
    agent_wrapper: Option<&'a AgentWrapper<'a>>,
    event_count: u64,
}

impl<'a> Simulation<'a> {
    /// Sets up a run. The scenario must have passed [`Scenario::check`].
    pub fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let groups = scenario.callers.len() as u32;
        let mut simulation = Self {
            scenario,
            seed,
            policy,
            event_queue: EventQueue::default(),
            client_calls: SequenceMap::default(),
            requests: SequenceMap::default(),
            attempts: SequenceMap::default(),
            probes: SequenceMap::default(),
            balancers: Vec::new(),
            sidecar_by_host: Vec::new(),
            front: None,
            front_rng: stream(seed, Actor::Front, 0),
            discovery: scenario
                .registry
                .queries
                .as_ref()
                .map(|queries| Discovery::new(queries.reads_per_second, queries.timeout.0)),
            balancers_by_zone: Vec::new(),
            upstreams: Vec::new(),
            suspended_events: Vec::new(),
            upstream_by_host: Vec::new(),
            changes: Vec::new(),
            arrival_rngs: (0..groups)
                .map(|group| stream(seed, Actor::Arrivals, group))
                .collect(),
            behavior_rngs: (0..groups)
                .map(|group| stream(seed, Actor::CallerBehavior, group))
                .collect(),
            class_mix_by_group: Vec::new(),
            zone_by_group: Vec::new(),
            tenant_by_group: Vec::new(),
            downstream_by_tier: Vec::new(),
            fault_targets: Vec::new(),
            partitioned_zones: Vec::new(),
            registry_outages: 0,
            latest_resume_at: 0,
            members: None,
            coordinators: None,
            auditor: Auditor::default(),
            meter: Meter::new(scenario),
            costs: CostCounters::new(scenario.tier.len()),
            call_trace: None,
            agent_wrapper: None,
            event_count: 0,
        };
        for callers in &scenario.callers {
            simulation.class_mix_by_group.push(scenario.mix(callers));
            simulation
                .zone_by_group
                .push(scenario.zone(&callers.zone).unwrap_or(None));
            let tenant = callers.tenant.as_ref();
            let tenant = tenant
                .and_then(|name| scenario.tenant.iter().position(|known| known.name == *name));
            simulation.tenant_by_group.push(tenant.unwrap_or(0));
        }
        simulation.build();
        simulation
    }

    /// Records the events of one call in [`RunResult::call_trace`].
    pub fn trace_call(&mut self, call: u64) {
        self.call_trace = Some((call, Vec::new()));
    }

    /// Replaces each balancer's agent by a wrapped one, and wraps all agents that are created later.
    pub fn wrap_agents(&mut self, wrap: &'a AgentWrapper<'a>) {
        self.agent_wrapper = Some(wrap);
        for balancer in 0..self.balancers.len() {
            let agent = self.new_agent(balancer);
            self.balancers[balancer].agent = agent;
        }
    }

    /// Creates an agent for a balancer, with the seed of its next incarnation.
    fn new_agent(&mut self, balancer: usize) -> BoxedAgent {
        let now = self.event_queue.now();
        let state = &mut self.balancers[balancer];
        let settings = self.scenario.settings(state.tier, state.zone);
        let local = state.local_time(now);
        let agent = self
            .policy
            .agent(settings, state.seed_rng.next_u64(), local);
        match self.agent_wrapper {
            Some(wrap) => wrap(agent),
            None => agent,
        }
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> RunResult {
        for balancer in 0..self.balancers.len() {
            self.send_full_list(balancer, 0);
        }
        self.start_members();
        self.start_coordinators();
        let longest_deadline = self.scenario.longest_deadline().0;
        let end = self.scenario.duration.0 + longest_deadline + DRAIN_TIME;
        // A process that is paused at the end must be resumed, or its requests would be reported as lost.
        while let Some(event) = self.event_queue.next(end.max(self.latest_resume_at)) {
            self.event_count += 1;
            self.handle_event(event);
        }
        let now = self.event_queue.now();
        self.auditor.check_overdue(now, self.pause_grace(now));
        let open = self
            .balancers
            .iter()
            .map(|balancer| balancer.agent.open_call_count())
            .sum();
        self.auditor.end(now, open);
        let members = self.finish_members();
        let evacuation = self.finish_coordinators();
        let trace = self.call_trace.map(|(_, trace)| trace).unwrap_or_default();
        let names: Vec<String> = self
            .scenario
            .tier
            .iter()
            .map(|tier| tier.name.clone())
            .collect();
        let costs = self.costs.rows(&names);
        let result = self
            .meter
            .end(self.auditor.findings(), self.event_count, trace);
        let result = RunResult {
            costs,
            members,
            evacuation,
            ..result
        };
        RunResult {
            bounds: self.scenario.evaluate(&result),
            ..result
        }
    }

    /// Adds an entry to the trace if the call is the traced one.
    fn record_trace(&mut self, client_call: u64, text: impl FnOnce() -> String) {
        if let Some((call, trace)) = &mut self.call_trace
            && *call == client_call
            && trace.len() < MAX_TRACE_ENTRIES
        {
            trace.push((self.event_queue.now(), text()));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::CallArrives(group) => self.call_arrives(group as usize),
            Event::ClosedLoopCall(group) => self.closed_loop_call(group as usize),
            Event::CallerRetries(client_call) => self.send_to_balancer(client_call),
            Event::RequestReaches(request) => self.request_reaches_balancer(request),
            Event::AttemptArrived(attempt) => self.attempt_arrived(event, attempt),
            Event::WorkFinished { upstream, .. }
                if self.upstreams[upstream as usize].active_faults.stopped =>
            {
                self.suspended_events[upstream as usize].push(event);
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
                succeeded,
            } => self.query_completed(balancer as usize, incarnation, succeeded),
            Event::ProbeArrives { probe } => self.probe_arrived(probe),
            Event::ProbeCompleted { probe, in_flight } => self.probe_completed(probe, in_flight),
            Event::FrontNoticed {
                balancer,
                incarnation,
                down,
            } => self.front_noticed(balancer as usize, incarnation, down),
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
            Event::BalancerStarts { balancer, list_age } => {
                self.start_balancer(balancer as usize, list_age)
            }
            Event::EndOfStep => self.end_step(),
            Event::MemberTimer { balancer, at } => self.member_timer(balancer as usize, at),
            Event::MessageArrives(message) => self.receive_member_message(message),
            Event::CheckSuspects(balancer) => self.check_suspects(balancer as usize),
            Event::RecordPathReports => self.record_member_path_reports(),
            Event::CoordinatorTimer(balancer) => self.coordinator_timer(balancer as usize),
        }
    }

    // ---- Measurements ----

    /// Ends a step of the timeline, and schedules the end of the next one.
    fn end_step(&mut self) {
        let now = self.event_queue.now();
        self.auditor.check_overdue(now, self.pause_grace(now));
        let tier_count = self.scenario.tier.len();
        let mut tier_capacity = vec![0.0; tier_count];
        for upstream in &self.upstreams {
            if !upstream.draining {
                tier_capacity[upstream.tier] += upstream.speed(now);
            }
        }
        self.meter.step(
            now,
            &tier_capacity,
            self.requests.len(),
            self.attempts.len(),
        );
        if now < self.scenario.duration.0 {
            self.event_queue
                .after(self.scenario.step.0, Event::EndOfStep);
        }
    }
}
