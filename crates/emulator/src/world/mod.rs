//! The world: callers, balancers, upstreams, the network and the registry, in simulated time.
//!
//! One event at a time, in the order of their times, so one seed gives one result. What decides is the real
//! engine (or a baseline policy); all round it is a model, and docs/emulator.md says what that leaves out.

mod balancers;
mod callers;
mod coordinators;
mod dispatch;
mod faults;
mod members;
mod registry;
mod story;
mod upstreams;

use crate::agent::{BoxedAgent, Ticket};
use crate::audit::Auditor;
use crate::costs::{Cost, CostCounters};
use crate::discovery::{Discovery, Read};
use crate::event_queue::{EventQueue, SequenceMap};
use crate::front::{CallerConnection, Front};
use crate::measure::{CallOutcome, Meter, RunResult};
use crate::policy::Policy;
use crate::random::{Actor, chance, gap, sample, stream};
use crate::scenario::{
    CallEffect, CallGroup, Fault, FaultKind, LinkFault, Load, Scenario, by_share,
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

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A group's next call.
    CallArrives(u32),
    /// One of a crowd calls.
    ClosedLoopCall(u32),
    /// A caller asks again.
    CallerRetries(u64),
    /// A balancer that stood still reads a request.
    BalancerReads(u64),
    /// An attempt reaches its upstream.
    AttemptArrived(u64),
    /// An upstream is done with its own work on an attempt.
    WorkFinished {
        attempt: u64,
        upstream: u32,
        process: u32,
    },
    /// The outcome of an attempt reaches its balancer.
    ResponseArrived {
        attempt: u64,
        outcome: Outcome,
    },
    /// An attempt's time is over.
    AttemptExpired(u64),
    /// A balancer's timers are due.
    AgentTimer {
        balancer: u32,
        at: Time,
    },
    /// A balancer hears of changes of the list.
    RegistryUpdate {
        balancer: u32,
        incarnation: u32,
    },
    /// A balancer's read of the list is answered, or has failed.
    QueryCompleted {
        balancer: u32,
        incarnation: u32,
        well: bool,
    },
    /// A probe reaches its upstream, and is over.
    ProbeArrives {
        probe: u64,
    },
    ProbeCompleted {
        probe: u64,
        in_flight: Option<u32>,
    },
    /// The front notices that a balancer is out, or back.
    FrontNoticed {
        balancer: u32,
        incarnation: u32,
        out: bool,
    },
    /// A balancer's part of a roll: it drains, and is replaced.
    RollBalancer {
        balancer: u32,
        incarnation: u32,
        drained: bool,
    },
    /// A fault begins, or ends.
    FaultChanges {
        fault: u32,
        begins: bool,
    },
    /// An upstream's part of a roll: told to drain, dies, comes back.
    RollUpstream {
        upstream: u32,
        step: u8,
        fault: u32,
    },
    /// An upstream that fell over comes back.
    UpstreamBoots(u32),
    /// The registry notices a death.
    DeathNoticed {
        upstream: u32,
        process: u32,
    },
    /// A balancer is back.
    BalancerStarts {
        balancer: u32,
        stale: Time,
    },
    /// A step of the timeline.
    EndOfStep,
    /// A balancer's turn as a member among the others.
    MemberTimer {
        balancer: u32,
        at: Time,
    },
    /// What one has sent to another arrives.
    MessageArrives(u64),
    /// One looks whether those that it suspects listen.
    CheckSuspects(u32),
    /// It is looked at how cut ways are named.
    RecordPathReports,
    /// A balancer's turn to weigh what all have told.
    CoordinatorTimer(u32),
}

/// One thing that a caller, or an upstream, wants done.
struct ClientCall {
    class: usize,
    /// The group of callers, or none for an upstream's.
    group: Option<u32>,
    /// The attempt that an upstream calls for.
    parent: Option<u64>,
    closed_loop: bool,
    born: Time,
    deadline: Time,
    tries: u32,
    /// Requests of it that are not over.
    requests: u32,
    closed: bool,
    measured: bool,
    /// The connection that its caller has asked on.
    connection: Option<CallerConnection>,
    /// Groups of upstreams in which it ran, and when.
    seen: SmallVec<[(u32, Time); 1]>,
}

struct Request {
    client_call: u64,
    balancer: u32,
    answered: bool,
    attempts: u32,
    out: SmallVec<[(u32, u64); 1]>,
}

struct Attempt {
    request: u64,
    number: u32,
    balancer: u32,
    upstream: u32,
    host: u32,
    process: u32,
    /// Epoch of the connections to that upstream when it was sent.
    epoch: u32,
    /// The balancer has not been told its end.
    out: bool,
    /// Something of it is under way, waits or is worked on.
    there: bool,
    /// It has a connection, and that is a new one.
    socket: bool,
    fresh: bool,
    /// Calls to the next tier that are not answered, and whether one went wrong.
    calls: u32,
    spoilt: bool,
    sent: Time,
}

/// The connections of a balancer to one host.
#[derive(Clone, Copy, Default)]
struct ConnectionPool {
    epoch: u32,
    process: u32,
    idle: u16,
    idle_since: Time,
}

struct Balancer {
    tier: usize,
    zone: u8,
    agent: BoxedAgent,
    /// Its clock: what it is ahead by, and goes faster by.
    ahead: i64,
    drift: f64,
    network: ChaCha8Rng,
    registry: ChaCha8Rng,
    seeds: ChaCha8Rng,
    pools: Vec<ConnectionPool>,
    /// Connections that are open, idle or not, over HTTP/1.1.
    open: u32,
    /// The host of each server that it has sent to, by its own number for it.
    hosts: Vec<u32>,
    planned: Time,
    alive: bool,
    incarnation: u32,
    stalled_until: Time,
    /// It is dealt no new connections, and answers what it holds.
    leaving: bool,
    /// It is told of changes of the list.
    subscribed: bool,
    /// Changes of the list that it was told of.
    applied_changes: u32,
    /// Updates on their way: when each comes, and how many changes it covers. What comes at once is one list.
    updates: VecDeque<(Time, u32)>,
}

impl Balancer {
    fn local(&self, now: Time) -> Time {
        let drifted = (now as f64 * self.drift) as i64;
        (EPOCH + now).saturating_add_signed(self.ahead + drifted)
    }

    /// When its clock shows a time.
    fn world(&self, local: Time) -> Time {
        let passed = local
            .saturating_add_signed(-self.ahead)
            .saturating_sub(EPOCH);
        (passed as f64 / (1.0 + self.drift)).round() as Time
    }
}

/// A probe that is out.
struct PendingProbe {
    balancer: u32,
    incarnation: u32,
    upstream: u32,
    process: u32,
    server: ServerId,
}

struct RegistryChange {
    at: Time,
    upstream: u32,
    lifecycle: Lifecycle,
    boot_ms: u64,
}

/// What a fault of the script hits, drawn as it begins; numbers rise.
struct FaultTargets {
    rng: ChaCha8Rng,
    upstreams: Vec<u32>,
    balancers: Vec<u32>,
}

/// What wraps an agent.
pub type AgentWrapper<'a> = dyn Fn(BoxedAgent) -> BoxedAgent + 'a;

/// A run, from its start to its end.
pub struct World<'a> {
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

impl<'a> World<'a> {
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
                .map(|group| stream(seed, Actor::Habits, group))
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

    fn build(&mut self) {
        for tier in 0..self.scenario.tier.len() {
            self.add_upstreams(tier);
        }
        self.sidecar = vec![None; self.upstreams.len()];
        self.stopped = vec![Vec::new(); self.upstreams.len()];
        for tier in 0..self.scenario.tier.len() {
            self.add_balancers(tier);
        }
        if let Some(front) = &self.scenario.front {
            let (uneven, idle_timeout, zones) =
                (front.uneven, front.idle_timeout.0, &self.of_zone[0]);
            self.front = Some(Front::new(zones, uneven, idle_timeout, &mut self.front_rng));
        }
        self.plan_faults();
        for group in 0..self.scenario.callers.len() {
            self.plan_first_calls(group);
        }
        let step = self.scenario.step.0;
        self.event_queue.at(step, Event::EndOfStep);
    }

    fn add_upstreams(&mut self, at: usize) {
        let scenario = self.scenario;
        let tier = &scenario.tier[at];
        let calls = tier.calls.as_ref();
        self.calls
            .push(calls.and_then(|calls| Some((scenario.tier(&calls.tier)?, calls.mean))));
        for upstream in 0..tier.upstreams {
            let host = self.upstreams.len() as u32;
            let cell = (upstream % u32::from(tier.cells)) as u16;
            let place = (scenario.zone_in_turn(upstream), cell, host);
            let name = format!("{}-{upstream}", tier.name);
            let rng = stream(self.seed, Actor::Upstream, host);
            self.upstreams
                .push(Upstream::new(name, at, tier, place, rng));
            self.hosts.push(host);
        }
        self.of_zone.push(vec![Vec::new(); scenario.zones.len()]);
    }

    /// The balancers before a tier: its own, or a sidecar for each upstream that calls it.
    fn add_balancers(&mut self, at: usize) {
        let tier = &self.scenario.tier[at];
        if !tier.sidecar {
            for balancer in 0..tier.balancers {
                let zone = self.scenario.zone_in_turn(balancer);
                let number = self.add_balancer(at, zone);
                self.of_zone[at][usize::from(zone)].push(number);
            }
            return;
        }
        for host in 0..self.upstreams.len() {
            if self.calls[self.upstreams[host].tier].is_some_and(|(called, _)| called == at) {
                self.sidecar[host] = Some(self.add_balancer(at, self.upstreams[host].zone));
            }
        }
    }

    fn plan_faults(&mut self) {
        for (fault, planned) in (0..).zip(&self.scenario.fault) {
            let position = planned.file_position.unwrap_or(fault);
            let rng = stream(self.seed, Actor::Fault, position);
            self.faults.push(FaultTargets {
                rng,
                upstreams: Vec::new(),
                balancers: Vec::new(),
            });
            let begins = Event::FaultChanges {
                fault,
                begins: true,
            };
            self.event_queue.at(planned.at.0, begins);
            if let Some(until) = planned.until {
                let ends = Event::FaultChanges {
                    fault,
                    begins: false,
                };
                self.event_queue.at(until.0, ends);
            }
        }
    }

    fn plan_first_calls(&mut self, group: usize) {
        let Load::Closed { callers, think } = self.scenario.callers[group].load else {
            return self.plan_arrival(group);
        };
        for _ in 0..callers {
            let wait = (self.behavior_rngs[group].random::<f64>() * think.0 as f64) as Time;
            let event = Event::ClosedLoopCall(group as u32);
            self.event_queue.at(wait, event);
        }
    }

    fn add_balancer(&mut self, tier: usize, zone: u8) -> u32 {
        let (scenario, number) = (self.scenario, self.balancers.len() as u32);
        let mut clock = stream(self.seed, Actor::Balancer, number);
        let offset = scenario.clocks.offset.0 as i64;
        let ahead = if offset > 0 {
            clock.random_range(-offset..=offset)
        } else {
            0
        };
        let drift = scenario.clocks.drift * (2.0 * clock.random::<f64>() - 1.0);
        let (mind_seed, local) = (clock.next_u64(), EPOCH.saturating_add_signed(ahead));
        self.balancers.push(Balancer {
            tier,
            zone,
            agent: self
                .policy
                .agent(scenario.settings(tier, zone), mind_seed, local),
            ahead,
            drift,
            network: stream(self.seed, Actor::Network, number),
            registry: stream(self.seed, Actor::Registry, number),
            seeds: clock,
            pools: Vec::new(),
            open: 0,
            hosts: Vec::new(),
            planned: Time::MAX,
            alive: true,
            incarnation: 0,
            stalled_until: 0,
            leaving: false,
            subscribed: scenario.registry.queries.is_none(),
            applied_changes: 0,
            updates: VecDeque::new(),
        });
        number
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
        let longest = self.scenario.longest().0;
        let end = self.scenario.time.0 + longest + TAIL;
        // What stands still at the end must not make what it holds look lost.
        while let Some(event) = self.event_queue.next(end.max(self.stalled)) {
            self.events += 1;
            self.happen(event);
        }
        let now = self.event_queue.now();
        self.auditor.look(now, self.stall_grace(now));
        let open = self
            .balancers
            .iter()
            .map(|balancer| balancer.agent.open())
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
            prices: costs,
            members,
            evacuated,
            ..end
        };
        RunResult {
            bounds: self.scenario.judge(&end),
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
            Event::BalancerReads(request) => self.balancer_reads(request),
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
        self.auditor.look(now, self.stall_grace(now));
        let tiers = self.scenario.tier.len();
        let mut speed = vec![0.0; tiers];
        for upstream in &self.upstreams {
            if !upstream.draining {
                speed[upstream.tier] += upstream.speed(now);
            }
        }
        self.meter
            .step(now, &speed, self.requests.len(), self.attempts.len());
        if now < self.scenario.time.0 {
            self.event_queue
                .after(self.scenario.step.0, Event::EndOfStep);
        }
    }
}
