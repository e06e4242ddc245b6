//! The world: callers, balancers, nodos, the network and the padron, in simulated time.
//!
//! One event at a time, in the order of their times, so one seed gives one result. What decides is the real
//! engine (or a rival); all round it is a model, and docs/emulator.md says what that leaves out.

mod balancers;
mod callers;
mod coordinators;
mod faults;
mod members;
mod nodos;
mod padron;
mod story;

use crate::agenda::{Agenda, Numbered};
use crate::audit::Auditor;
use crate::discovery::{Discovery, Read};
use crate::front::{Front, Line};
use crate::measure::{End, Meter, Outcome as Result};
use crate::mind::{BoxedMind, Ticket};
use crate::nodo::{Ills, Nodo, Taken};
use crate::policy::Policy;
use crate::prices::{Price, Prices};
use crate::random::{Actor, chance, gap, sample, stream};
use crate::scenario::{CallEffect, CallGroup, Fault, LinkIll, Load, Scenario, What, by_share};
use crate::units::{MS, SECOND};
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
/// How long a nodo that fell over takes to come back.
const TOPPLED: Time = 5 * SECOND;
/// After the callers' last call, the world goes on for as long as the longest deadline and this.
const TAIL: Time = 2 * SECOND;
/// Longest story that is kept of one call.
const STORY: usize = 10_000;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A group's next call.
    Arrive(u32),
    /// One of a crowd calls.
    Crowd(u32),
    /// A caller asks again.
    Again(u64),
    /// A balancer that stood still reads a request.
    Read(u64),
    /// An attempt reaches its nodo.
    Reach(u64),
    /// A nodo is done with its own work on an attempt.
    Done {
        attempt: u64,
        nodo: u32,
        process: u32,
    },
    /// The outcome of an attempt reaches its balancer.
    Back {
        attempt: u64,
        outcome: Outcome,
    },
    /// An attempt's time is over.
    Until(u64),
    /// A balancer's timers are due.
    Wake {
        balancer: u32,
        at: Time,
    },
    /// A balancer hears of changes of the list.
    Told {
        balancer: u32,
        life: u32,
    },
    /// A balancer's read of the list is answered, or has failed.
    Listed {
        balancer: u32,
        life: u32,
        well: bool,
    },
    /// A probe reaches its nodo, and is over.
    Probe {
        probe: u64,
    },
    Probed {
        probe: u64,
        held: Option<u32>,
    },
    /// The front notices that a balancer is out, or back.
    Noticed {
        balancer: u32,
        life: u32,
        out: bool,
    },
    /// A balancer's part of a roll: it drains, and is replaced.
    RollBalancer {
        balancer: u32,
        life: u32,
        drained: bool,
    },
    /// A fault begins, or ends.
    Fault {
        fault: u32,
        begins: bool,
    },
    /// A nodo's part of a roll: told to drain, dies, comes back.
    Roll {
        nodo: u32,
        step: u8,
        fault: u32,
    },
    /// A nodo that fell over comes back.
    Boot(u32),
    /// The padron notices a death.
    Notice {
        nodo: u32,
        process: u32,
    },
    /// A balancer is back.
    Start {
        balancer: u32,
        stale: Time,
    },
    /// A step of the timeline.
    Step,
    /// A balancer's turn as a member among the others.
    Member {
        balancer: u32,
        at: Time,
    },
    /// What one has sent to another arrives.
    Mail(u64),
    /// One looks whether those that it suspects listen.
    MemberLooks(u32),
    /// It is looked at how cut ways are named.
    MembersWays,
    /// A balancer's turn to weigh what all have told.
    Coordinator(u32),
}

/// One thing that a caller, or a nodo, wants done.
struct Wish {
    class: usize,
    /// The group of callers, or none for a nodo's.
    group: Option<u32>,
    /// The attempt that a nodo calls for.
    parent: Option<u64>,
    one_of_crowd: bool,
    born: Time,
    deadline: Time,
    tries: u32,
    /// Requests of it that are not over.
    requests: u32,
    closed: bool,
    measured: bool,
    /// The connection that its caller has asked on.
    line: Option<Line>,
    /// Groups of nodos in which it ran, and when.
    seen: SmallVec<[(u32, Time); 1]>,
}

struct Request {
    wish: u64,
    balancer: u32,
    answered: bool,
    attempts: u32,
    out: SmallVec<[(u32, u64); 1]>,
}

struct Attempt {
    request: u64,
    number: u32,
    balancer: u32,
    nodo: u32,
    host: u32,
    process: u32,
    /// Epoch of the connections to that nodo when it was sent.
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
struct Links {
    epoch: u32,
    process: u32,
    idle: u16,
    idle_since: Time,
}

struct Balancer {
    tier: usize,
    zone: u8,
    mind: BoxedMind,
    /// Its clock: what it is ahead by, and goes faster by.
    ahead: i64,
    drift: f64,
    network: ChaCha8Rng,
    padron: ChaCha8Rng,
    seeds: ChaCha8Rng,
    links: Vec<Links>,
    /// Connections that are open, idle or not, over HTTP/1.1.
    open: u32,
    /// The host of each server that it has sent to, by its own number for it.
    hosts: Vec<u32>,
    planned: Time,
    alive: bool,
    life: u32,
    stalled_until: Time,
    /// It is dealt no new connections, and answers what it holds.
    leaving: bool,
    /// It is told of changes of the list.
    watches: bool,
    /// Changes of the list that it was told of.
    heard: u32,
    /// Word that is on its way: when it comes, and of how many changes. What comes at once is one list.
    words: VecDeque<(Time, u32)>,
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
struct ProbeOut {
    balancer: u32,
    life: u32,
    nodo: u32,
    process: u32,
    server: ServerId,
}

struct Change {
    at: Time,
    nodo: u32,
    lifecycle: Lifecycle,
    boot_ms: u64,
}

/// What wraps a mind.
pub type Wrap<'a> = dyn Fn(BoxedMind) -> BoxedMind + 'a;

/// A run, from its start to its end.
pub struct World<'a> {
    scenario: &'a Scenario,
    seed: u64,
    policy: Policy,
    agenda: Agenda<Event>,
    wishes: Numbered<Wish>,
    requests: Numbered<Request>,
    attempts: Numbered<Attempt>,
    probes: Numbered<ProbeOut>,
    balancers: Vec<Balancer>,
    /// The balancer beside the nodo at an address.
    beside: Vec<Option<u32>>,
    front: Option<Front>,
    dealing: ChaCha8Rng,
    discovery: Option<Discovery>,
    /// The balancers of a tier in a zone.
    of_zone: Vec<Vec<Vec<u32>>>,
    nodos: Vec<Nodo>,
    /// What waits for each until its process goes on.
    stopped: Vec<Vec<Event>>,
    /// Who listens at an address.
    hosts: Vec<u32>,
    changes: Vec<Change>,
    arrivals: Vec<ChaCha8Rng>,
    habits: Vec<ChaCha8Rng>,
    mixes: Vec<Vec<(f64, usize)>>,
    zones: Vec<Option<u8>>,
    tenants: Vec<usize>,
    calls: Vec<Option<(usize, f64)>>,
    faults: Vec<(ChaCha8Rng, Vec<u32>, Vec<u32>)>,
    cuts: Vec<(u8, bool)>,
    padron_silent: u32,
    stalled: Time,
    members: Option<members::Members>,
    coordinators: Option<coordinators::Coordinators>,
    auditor: Auditor,
    meter: Meter,
    prices: Prices,
    story: Option<(u64, Vec<(Time, String)>)>,
    /// Wraps each mind as it starts; for tests that spoil or record one.
    wrap: Option<&'a Wrap<'a>>,
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
            agenda: Agenda::default(),
            wishes: Numbered::default(),
            requests: Numbered::default(),
            attempts: Numbered::default(),
            probes: Numbered::default(),
            balancers: Vec::new(),
            beside: Vec::new(),
            front: None,
            dealing: stream(seed, Actor::Front, 0),
            discovery: scenario
                .padron
                .asked
                .as_ref()
                .map(|a| Discovery::new(a.reads, a.patience.0)),
            of_zone: Vec::new(),
            nodos: Vec::new(),
            stopped: Vec::new(),
            hosts: Vec::new(),
            changes: Vec::new(),
            arrivals: (0..groups)
                .map(|group| stream(seed, Actor::Arrivals, group))
                .collect(),
            habits: (0..groups)
                .map(|group| stream(seed, Actor::Habits, group))
                .collect(),
            mixes: Vec::new(),
            zones: Vec::new(),
            tenants: Vec::new(),
            calls: Vec::new(),
            faults: Vec::new(),
            cuts: Vec::new(),
            padron_silent: 0,
            stalled: 0,
            members: None,
            coordinators: None,
            auditor: Auditor::default(),
            meter: Meter::new(scenario),
            prices: Prices::new(scenario.tier.len()),
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

    /// Wraps each mind as it starts.
    pub fn wrap_minds(&mut self, wrap: &'a Wrap<'a>) {
        self.wrap = Some(wrap);
        for at in 0..self.balancers.len() {
            let mind = self.mind(at);
            self.balancers[at].mind = mind;
        }
    }

    fn build(&mut self) {
        let scenario = self.scenario;
        let zones = scenario.zones.len();
        for (at, tier) in scenario.tier.iter().enumerate() {
            let calls = tier.calls.as_ref();
            self.calls
                .push(calls.and_then(|calls| Some((scenario.tier(&calls.tier)?, calls.mean))));
            for nodo in 0..tier.nodos {
                let host = self.nodos.len() as u32;
                let rng = stream(self.seed, Actor::Nodo, host);
                let place = (
                    scenario.zone_in_turn(nodo),
                    (nodo % u32::from(tier.cells)) as u16,
                    host,
                );
                self.nodos.push(Nodo::new(
                    format!("{}-{nodo}", tier.name),
                    at,
                    tier,
                    place,
                    rng,
                ));
                self.hosts.push(host);
            }
            self.of_zone.push(vec![Vec::new(); zones]);
        }
        self.beside = vec![None; self.nodos.len()];
        self.stopped = vec![Vec::new(); self.nodos.len()];
        for (at, tier) in scenario.tier.iter().enumerate() {
            if !tier.beside {
                for balancer in 0..tier.balancers {
                    let zone = scenario.zone_in_turn(balancer);
                    let number = self.add_balancer(at, zone);
                    self.of_zone[at][usize::from(zone)].push(number);
                }
                continue;
            }
            for host in 0..self.nodos.len() {
                if self.calls[self.nodos[host].tier].is_some_and(|(called, _)| called == at) {
                    self.beside[host] = Some(self.add_balancer(at, self.nodos[host].zone));
                }
            }
        }
        if let Some(front) = &scenario.front {
            let (uneven, kept) = (front.uneven, front.kept.0);
            self.front = Some(Front::new(
                &self.of_zone[0],
                uneven,
                kept,
                &mut self.dealing,
            ));
        }
        for (at, fault) in scenario.fault.iter().enumerate() {
            let place = fault.place.unwrap_or(at as u32);
            self.faults.push((
                stream(self.seed, Actor::Fault, place),
                Vec::new(),
                Vec::new(),
            ));
            self.agenda.at(
                fault.at.0,
                Event::Fault {
                    fault: at as u32,
                    begins: true,
                },
            );
            if let Some(until) = fault.until {
                self.agenda.at(
                    until.0,
                    Event::Fault {
                        fault: at as u32,
                        begins: false,
                    },
                );
            }
        }
        for (group, callers) in scenario.callers.iter().enumerate() {
            match callers.load {
                Load::Closed { callers, think } => {
                    for _ in 0..callers {
                        let wait = (self.habits[group].random::<f64>() * think.0 as f64) as Time;
                        self.agenda.at(wait, Event::Crowd(group as u32));
                    }
                }
                _ => self.plan_arrival(group),
            }
        }
        self.agenda.at(scenario.step.0, Event::Step);
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
            mind: self
                .policy
                .mind(scenario.settings(tier, zone), mind_seed, local),
            ahead,
            drift,
            network: stream(self.seed, Actor::Network, number),
            padron: stream(self.seed, Actor::Padron, number),
            seeds: clock,
            links: Vec::new(),
            open: 0,
            hosts: Vec::new(),
            planned: Time::MAX,
            alive: true,
            life: 0,
            stalled_until: 0,
            leaving: false,
            watches: scenario.padron.asked.is_none(),
            heard: 0,
            words: VecDeque::new(),
        });
        number
    }

    /// A new mind for a balancer, with the seed of its next life.
    fn mind(&mut self, at: usize) -> BoxedMind {
        let now = self.agenda.now();
        let balancer = &mut self.balancers[at];
        let (settings, local) = (
            self.scenario.settings(balancer.tier, balancer.zone),
            balancer.local(now),
        );
        let mind = self.policy.mind(settings, balancer.seeds.next_u64(), local);
        match self.wrap {
            Some(wrap) => wrap(mind),
            None => mind,
        }
    }

    /// Runs it to its end.
    pub fn run(mut self) -> End {
        for at in 0..self.balancers.len() {
            self.list_whole(at, 0);
        }
        self.members_begin();
        self.coordinators_begin();
        let longest = self.scenario.longest().0;
        let end = self.scenario.time.0 + longest + TAIL;
        // What stands still at the end must not make what it holds look lost.
        while let Some(event) = self.agenda.next(end.max(self.stalled)) {
            self.events += 1;
            self.happen(event);
        }
        let now = self.agenda.now();
        self.auditor.look(now, self.stall_grace(now));
        let open = self
            .balancers
            .iter()
            .map(|balancer| balancer.mind.open())
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
        let prices = self.prices.rows(&names);
        let end = self.meter.end(self.auditor.findings(), self.events, story);
        let end = End {
            prices,
            members,
            evacuated,
            ..end
        };
        End {
            bounds: self.scenario.judge(&end),
            ..end
        }
    }

    fn tell_story(&mut self, wish: u64, text: impl FnOnce() -> String) {
        if let Some((call, story)) = &mut self.story
            && *call == wish
            && story.len() < STORY
        {
            story.push((self.agenda.now(), text()));
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(group) => self.arrive(group as usize),
            Event::Crowd(group) => self.crowd(group as usize),
            Event::Again(wish) => self.ask(wish),
            Event::Read(request) => self.read(request),
            Event::Reach(attempt) => self.reach(event, attempt),
            Event::Done { nodo, .. } if self.nodos[nodo as usize].ills.stopped => {
                self.stopped[nodo as usize].push(event);
            }
            Event::Done {
                attempt,
                nodo,
                process,
            } => self.done(attempt, nodo as usize, process),
            Event::Back { attempt, outcome } => self.back(event, attempt, outcome),
            Event::Until(attempt) => self.until(event, attempt),
            Event::Wake { balancer, at } => self.wake(balancer as usize, at),
            Event::Told { balancer, life } => self.told(event, balancer as usize, life),
            Event::Listed {
                balancer,
                life,
                well,
            } => self.read_ends(balancer as usize, life, well),
            Event::Probe { probe } => self.probe_reaches(probe),
            Event::Probed { probe, held } => self.probe_ends(probe, held),
            Event::Noticed {
                balancer,
                life,
                out,
            } => self.noticed(balancer as usize, life, out),
            Event::RollBalancer {
                balancer,
                life,
                drained,
            } => {
                self.roll_balancer(balancer as usize, life, drained);
            }
            Event::Fault { fault, begins } => self.fault(fault as usize, begins),
            Event::Roll { nodo, step, fault } => self.roll(nodo, step, fault as usize),
            Event::Boot(nodo) => self.boot(nodo as usize),
            Event::Notice { nodo, process } => {
                let dead = &self.nodos[nodo as usize];
                let there = self.hosts[dead.host as usize] == nodo;
                if there && !dead.alive && dead.process == process {
                    self.change(nodo, Lifecycle::Removed);
                }
            }
            Event::Start { balancer, stale } => self.start(balancer as usize, stale),
            Event::Step => self.step(),
            Event::Member { balancer, at } => self.member_wakes(balancer as usize, at),
            Event::Mail(mail) => self.member_hears(mail),
            Event::MemberLooks(balancer) => self.member_looks(balancer as usize),
            Event::MembersWays => self.members_ways(),
            Event::Coordinator(balancer) => self.coordinator(balancer as usize),
        }
    }

    // ---- Measures ----

    fn step(&mut self) {
        let now = self.agenda.now();
        self.auditor.look(now, self.stall_grace(now));
        let tiers = self.scenario.tier.len();
        let mut speed = vec![0.0; tiers];
        for nodo in &self.nodos {
            if !nodo.draining {
                speed[nodo.tier] += nodo.speed(now);
            }
        }
        self.meter
            .step(now, &speed, self.requests.len(), self.attempts.len());
        if now < self.scenario.time.0 {
            self.agenda.after(self.scenario.step.0, Event::Step);
        }
    }
}
