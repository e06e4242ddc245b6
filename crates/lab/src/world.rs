//! The world: callers, balancers, nodos, the network and the padron, in simulated time.
//!
//! One event at a time, in the order of their times, so one seed gives one result. What decides is the real
//! engine (or a rival); all round it is a model, and docs/lab.md says what that leaves out.

use crate::agenda::{Agenda, Numbered};
use crate::audit::Auditor;
use crate::measure::{End, Meter, Outcome as Result};
use crate::mind::{BoxedMind, Policy, Ticket};
use crate::nodo::{Ills, Nodo, Taken};
use crate::random::{Actor, chance, gap, sample, stream};
use crate::scenario::{CallEffect, CallGroup, Fault, Load, Scenario, What, by_share};
use crate::units::{MS, SECOND};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use woadstall_engine::decisions::ZoneId;
use woadstall_engine::{
    Call, Command, Ended, Entry, Input, Lifecycle, Outcome, RequestId, Send, ServerId, Time, Verdict,
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
    Done { attempt: u64, nodo: u32, process: u32 },
    /// The outcome of an attempt reaches its balancer.
    Back { attempt: u64, outcome: Outcome },
    /// An attempt's time is over.
    Until(u64),
    /// A balancer's timers are due.
    Wake { balancer: u32, at: Time },
    /// A balancer hears of changes of the list.
    Told { balancer: u32, life: u32 },
    /// A fault begins, or ends.
    Fault { fault: u32, begins: bool },
    /// A nodo's part of a roll: told to drain, dies, comes back.
    Roll { nodo: u32, step: u8, fault: u32 },
    /// A nodo that fell over comes back.
    Boot(u32),
    /// The padron notices a death.
    Notice { nodo: u32, process: u32 },
    /// A balancer is back.
    Start { balancer: u32, stale: Time },
    /// A step of the timeline.
    Step,
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
    /// It has a connection.
    socket: bool,
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
        let passed = local.saturating_add_signed(-self.ahead).saturating_sub(EPOCH);
        (passed as f64 / (1.0 + self.drift)).round() as Time
    }
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
    balancers: Vec<Balancer>,
    /// The balancers of a tier in a zone.
    of_zone: Vec<Vec<Vec<u32>>>,
    nodos: Vec<Nodo>,
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
    auditor: Auditor,
    meter: Meter,
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
            balancers: Vec::new(),
            of_zone: Vec::new(),
            nodos: Vec::new(),
            hosts: Vec::new(),
            changes: Vec::new(),
            arrivals: (0..groups).map(|group| stream(seed, Actor::Arrivals, group)).collect(),
            habits: (0..groups).map(|group| stream(seed, Actor::Habits, group)).collect(),
            mixes: Vec::new(),
            zones: Vec::new(),
            tenants: Vec::new(),
            calls: Vec::new(),
            faults: Vec::new(),
            cuts: Vec::new(),
            padron_silent: 0,
            stalled: 0,
            auditor: Auditor::default(),
            meter: Meter::new(scenario),
            story: None,
            wrap: None,
            events: 0,
        };
        for callers in &scenario.callers {
            world.mixes.push(scenario.mix(callers));
            world.zones.push(scenario.zone(&callers.zone).unwrap_or(None));
            let tenant = callers.tenant.as_ref();
            let tenant = tenant.and_then(|name| scenario.tenant.iter().position(|known| known.name == *name));
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
            self.calls.push(calls.and_then(|calls| Some((scenario.tier(&calls.tier)?, calls.mean))));
            for nodo in 0..tier.nodos {
                let host = self.nodos.len() as u32;
                let rng = stream(self.seed, Actor::Nodo, host);
                let place = ((nodo as usize % zones) as u8, (nodo % u32::from(tier.cells)) as u16, host);
                self.nodos.push(Nodo::new(format!("{}-{nodo}", tier.name), at, tier, place, rng));
                self.hosts.push(host);
            }
            let mut of_zone = vec![Vec::new(); zones];
            for balancer in 0..tier.balancers {
                let (number, zone) = (self.balancers.len() as u32, (balancer as usize % zones) as u8);
                let mut clock = stream(self.seed, Actor::Balancer, number);
                let offset = scenario.clocks.offset.0 as i64;
                let ahead = if offset > 0 { clock.random_range(-offset..=offset) } else { 0 };
                let drift = scenario.clocks.drift * (2.0 * clock.random::<f64>() - 1.0);
                let (mind_seed, local) = (clock.next_u64(), (EPOCH).saturating_add_signed(ahead));
                self.balancers.push(Balancer {
                    tier: at,
                    zone,
                    mind: self.policy.mind(scenario.settings(at, zone), mind_seed, local),
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
                    heard: 0,
                    words: VecDeque::new(),
                });
                of_zone[usize::from(zone)].push(number);
            }
            self.of_zone.push(of_zone);
        }
        for (at, fault) in scenario.fault.iter().enumerate() {
            self.faults.push((stream(self.seed, Actor::Fault, at as u32), Vec::new(), Vec::new()));
            self.agenda.at(fault.at.0, Event::Fault { fault: at as u32, begins: true });
            if let Some(until) = fault.until {
                self.agenda.at(until.0, Event::Fault { fault: at as u32, begins: false });
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

    /// A new mind for a balancer, with the seed of its next life.
    fn mind(&mut self, at: usize) -> BoxedMind {
        let now = self.agenda.now();
        let balancer = &mut self.balancers[at];
        let (settings, local) = (self.scenario.settings(balancer.tier, balancer.zone), balancer.local(now));
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
        let longest = self.scenario.class.iter().map(|class| class.deadline.0).max().unwrap_or(0);
        let end = self.scenario.time.0 + longest + TAIL;
        // What stands still at the end must not make what it holds look lost.
        while let Some(event) = self.agenda.next(end.max(self.stalled)) {
            self.events += 1;
            self.happen(event);
        }
        let now = self.agenda.now();
        self.auditor.look(now, self.stall_grace(now));
        let open = self.balancers.iter().map(|balancer| balancer.mind.open()).sum();
        self.auditor.end(now, open);
        let story = self.story.map(|(_, story)| story).unwrap_or_default();
        self.meter.end(self.auditor.findings(), self.events, story)
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
            Event::Reach(attempt) => self.reach(attempt),
            Event::Done { attempt, nodo, process } => self.done(attempt, nodo as usize, process),
            Event::Back { attempt, outcome } => self.back(event, attempt, outcome),
            Event::Until(attempt) => self.until(event, attempt),
            Event::Wake { balancer, at } => self.wake(balancer as usize, at),
            Event::Told { balancer, life } => self.told(event, balancer as usize, life),
            Event::Fault { fault, begins } => self.fault(fault as usize, begins),
            Event::Roll { nodo, step, fault } => self.roll(nodo, step, fault as usize),
            Event::Boot(nodo) => self.boot(nodo as usize),
            Event::Notice { nodo, process } => {
                let dead = &self.nodos[nodo as usize];
                let there = self.hosts[dead.host as usize] == nodo;
                if there && !dead.alive && dead.process == process {
                    self.change(nodo, Lifecycle::Gone);
                }
            }
            Event::Start { balancer, stale } => self.start(balancer as usize, stale),
            Event::Step => self.step(),
        }
    }

    // ---- Callers ----

    fn plan_arrival(&mut self, group: usize) {
        let load = &self.scenario.callers[group].load;
        let most = load.most();
        if most <= 0.0 {
            return;
        }
        // A process whose rate changes is thinned out of one at the highest rate.
        let mut at = self.agenda.now();
        loop {
            at = at.saturating_add(gap(&mut self.arrivals[group], most));
            if at >= self.scenario.time.0 {
                return;
            }
            if chance(&mut self.arrivals[group], load.rate(at) / most) {
                return self.agenda.at(at, Event::Arrive(group as u32));
            }
        }
    }

    fn arrive(&mut self, group: usize) {
        self.plan_arrival(group);
        self.wish(group, false);
    }

    fn crowd(&mut self, group: usize) {
        if self.agenda.now() < self.scenario.time.0 {
            self.wish(group, true);
        }
    }

    fn wish(&mut self, group: usize, one_of_crowd: bool) {
        let now = self.agenda.now();
        let mix = &self.mixes[group];
        let class = by_share(mix, self.habits[group].random::<f64>()).unwrap_or(0);
        let wish = Wish {
            class,
            group: Some(group as u32),
            parent: None,
            one_of_crowd,
            born: now,
            deadline: now + self.scenario.class[class].deadline.0,
            tries: 0,
            requests: 0,
            closed: false,
            measured: now >= self.scenario.warm_up.0,
            seen: SmallVec::new(),
        };
        self.meter.offered(class, wish.measured);
        let wish = self.wishes.add(wish);
        self.ask(wish);
    }

    fn ask(&mut self, wish: u64) {
        let Some(known) = self.wishes.get_mut(wish) else { return };
        known.tries += 1;
        let (class, deadline, tries, group, parent) =
            (known.class, known.deadline, known.tries, known.group, known.parent);
        let (tier, zone) = match (group, parent) {
            (Some(group), _) => (0, self.zones[group as usize]),
            (None, Some(parent)) => {
                let nodo = self.attempts.get(parent).map_or(0, |attempt| attempt.nodo as usize);
                let nodo = &self.nodos[nodo];
                (self.calls[nodo.tier].map_or(0, |(tier, _)| tier), Some(nodo.zone))
            }
            (None, None) => return,
        };
        let draw = match group {
            Some(group) => self.habits[group as usize].next_u64(),
            // A nodo draws from its own stream.
            None => {
                let nodo = parent.and_then(|parent| self.attempts.get(parent)).map_or(0, |a| a.nodo as usize);
                self.nodos[nodo].rng.next_u64()
            }
        };
        self.meter.asked();
        let Some(balancer) = self.balancer_for(tier, zone, draw) else {
            self.tell_story(wish, || "no balancer is there".to_owned());
            return self.answered_wish(wish, &Verdict::Failed);
        };
        let effect = self.scenario.class[class].effect;
        let request = self.auditor.taken(wish, effect, deadline);
        let out = SmallVec::new();
        let mine = self.requests.add(Request { wish, balancer, answered: false, attempts: 0, out });
        debug_assert_eq!(request, mine);
        if let Some(known) = self.wishes.get_mut(wish) {
            known.requests += 1;
        }
        self.tell_story(wish, || format!("try {tries} reaches balancer {balancer}"));
        self.read(request);
    }

    /// A balancer reads a request, once its process does not stand still.
    fn read(&mut self, number: u64) {
        let Some(request) = self.requests.get(number).filter(|request| !request.answered) else { return };
        let at = request.balancer as usize;
        if let Some(until) = self.stands_still(at) {
            return self.agenda.at(until, Event::Read(number));
        }
        let Some(wish) = self.wishes.get(request.wish) else { return };
        let call = Call {
            id: RequestId(number as u32),
            request: Ticket(number),
            class: wish.class,
            tenant: wish.group.map_or(0, |group| self.tenants[group as usize]),
            work: None,
            deadline: self.balancers[at].local(wish.deadline),
            attempts: u32::MAX,
        };
        self.tell(at, Input::Call(call));
    }

    fn balancer_for(&self, tier: usize, zone: Option<u8>, draw: u64) -> Option<u32> {
        let zones = self.scenario.zones.len();
        let first = zone.map_or((draw >> 32) as usize % zones, usize::from);
        // The caller's own zone first, then the others in turn.
        for step in 0..zones {
            let there = &self.of_zone[tier][(first + step) % zones];
            let count = there.len();
            let start = draw as u32 as usize;
            let alive = (0..count).map(|at| there[(start + at) % count]);
            if let Some(balancer) = alive.into_iter().find(|&at| self.balancers[at as usize].alive) {
                return Some(balancer);
            }
        }
        None
    }

    /// A caller has what its balancer made of its request.
    fn answered_wish(&mut self, number: u64, verdict: &Verdict<()>) {
        let now = self.agenda.now();
        let Some(wish) = self.wishes.get(number) else { return };
        if wish.closed {
            return;
        }
        let (class, group, measured, tries) = (wish.class, wish.group, wish.measured, wish.tries);
        let (took, deadline) = (now - wish.born, wish.deadline);
        self.tell_story(number, || format!("its caller has {verdict:?} after {:.1} ms", took as f64 / 1e6));
        let group_at = group.map(|group| group as usize);
        if let Some(group) = group_at
            && *verdict != Verdict::Served(())
        {
            let effect = self.scenario.class[class].effect;
            // Callers know as well as balancers what must not run twice.
            let may = matches!(verdict, Verdict::Refused(_)) || effect != CallEffect::Unsafe;
            let callers = &self.scenario.callers[group];
            let rng = &mut self.habits[group];
            let wait = callers.again.wait(tries, || rng.random::<f64>());
            let advice = match verdict {
                Verdict::Refused(after) if chance(rng, callers.heeds_advice) => *after,
                _ => 0,
            };
            if let Some(wait) = wait.filter(|_| may)
                && now + wait.max(advice) < deadline
            {
                return self.agenda.after(wait.max(advice), Event::Again(number));
            }
        }
        let result = match verdict {
            Verdict::Served(()) if took <= self.scenario.class[class].aim.0 => Result::OnTime,
            Verdict::Served(()) => Result::Late,
            Verdict::Refused(_) => Result::Refused,
            Verdict::Failed => Result::Failed,
        };
        let (parent, one_of_crowd) = match self.wishes.get_mut(number) {
            Some(wish) => {
                wish.closed = true;
                (wish.parent, wish.one_of_crowd)
            }
            None => return,
        };
        match (group_at, parent) {
            (Some(group), _) => {
                self.meter.ended(class, result, took, measured);
                if one_of_crowd && let Load::Closed { think, .. } = self.scenario.callers[group].load {
                    let wait = gap(&mut self.habits[group], 1e9 / (think.0.max(1)) as f64);
                    self.agenda.after(wait, Event::Crowd(group as u32));
                }
            }
            (None, Some(parent)) => self.call_back(parent, matches!(result, Result::OnTime | Result::Late)),
            (None, None) => {}
        }
        self.forget_wish(number);
    }

    fn forget_wish(&mut self, number: u64) {
        if self.wishes.get(number).is_some_and(|wish| wish.closed && wish.requests == 0) {
            self.wishes.take(number);
        }
    }

    // ---- Balancers ----

    fn tell(&mut self, at: usize, input: Input<'_, Ticket, ()>) {
        let local = self.balancers[at].local(self.agenda.now());
        self.balancers[at].mind.handle(local, input);
        while let Some(command) = self.balancers[at].mind.next_command() {
            self.carry_out(at, command);
        }
        let now = self.agenda.now();
        let balancer = &mut self.balancers[at];
        if let Some(due) = balancer.mind.wake_at() {
            let due = balancer.world(due).max(now + RING);
            if due < balancer.planned {
                balancer.planned = due;
                self.agenda.at(due, Event::Wake { balancer: at as u32, at: due });
            }
        }
    }

    fn wake(&mut self, at: usize, planned: Time) {
        if self.balancers[at].planned != planned || !self.balancers[at].alive {
            return; // an earlier one was planned since
        }
        if let Some(until) = self.stands_still(at) {
            self.balancers[at].planned = until;
            let balancer = at as u32;
            return self.agenda.at(until, Event::Wake { balancer, at: until });
        }
        self.balancers[at].planned = Time::MAX;
        self.tell(at, Input::Tick);
    }

    fn stands_still(&self, at: usize) -> Option<Time> {
        Some(self.balancers[at].stalled_until).filter(|&until| until > self.agenda.now())
    }

    fn stall_grace(&self, now: Time) -> Time {
        // Whoever stood still until lately answers late for that reason.
        if now < self.stalled.saturating_add(SECOND) { self.stalled_most() } else { 0 }
    }

    fn stalled_most(&self) -> Time {
        let longest = |fault: &Fault| match fault.what {
            What::Stall => fault.until.map_or(self.scenario.time.0, |until| until.0) - fault.at.0,
            _ => 0,
        };
        self.scenario.fault.iter().map(longest).max().unwrap_or(0)
    }

    fn carry_out(&mut self, at: usize, command: Command<Ticket, ()>) {
        match command {
            Command::Send(send) => self.send(at, &send),
            Command::Withdraw { id, attempt } => self.withdraw(id, attempt),
            Command::Answer { request: Ticket(request), verdict } => {
                let now = self.agenda.now();
                let grace = self.stall_grace(now);
                self.auditor.answered(now, request, &verdict, grace);
                let Some(known) = self.requests.get_mut(request) else { return };
                if std::mem::replace(&mut known.answered, true) {
                    return;
                }
                let wish = known.wish;
                self.tell_story(wish, || format!("balancer {at} answers {verdict:?}"));
                self.answered_wish(wish, &verdict);
                self.forget_request(request);
            }
            Command::CloseIdle(server) => {
                let closed = self.links_to(at, server).map(|links| std::mem::take(&mut links.idle));
                self.closed(at, closed.unwrap_or(0));
            }
            Command::Retire(server) => {
                let closed = self.links_to(at, server).map(|links| {
                    links.epoch += 1;
                    std::mem::take(&mut links.idle)
                });
                self.closed(at, closed.unwrap_or(0));
            }
            // No scenario allows probes, and the padron pushes.
            Command::Probe(_) | Command::Watch => {}
            Command::Log(line) => self.meter.log_line(&line),
        }
    }

    fn forget_request(&mut self, request: u64) {
        let over = |request: &Request| request.answered && request.attempts == 0;
        if let Some(wish) = self.requests.get(request).filter(|r| over(r)).map(|r| r.wish) {
            self.requests.take(request);
            if let Some(wish) = self.wishes.get_mut(wish) {
                wish.requests -= 1;
            }
            self.forget_wish(wish);
        }
    }

    /// The connections of a balancer to one that it has sent to.
    fn links_to(&mut self, at: usize, server: ServerId) -> Option<&mut Links> {
        let balancer = &mut self.balancers[at];
        let host = *balancer.hosts.get(server.0 as usize)?;
        balancer.links.get_mut(host as usize)
    }

    /// So many connections of a balancer are closed.
    fn closed(&mut self, at: usize, count: u16) {
        let balancer = &mut self.balancers[at];
        balancer.open = balancer.open.saturating_sub(u32::from(count));
    }

    /// Whether a balancer may open one more connection, if need be after closing the one idle for longest.
    fn may_open(&mut self, at: usize) -> bool {
        let most = self.scenario.limits.sockets;
        if most == 0 || self.scenario.limits.http2 || self.balancers[at].open < most {
            return true;
        }
        let idle = self.balancers[at].links.iter_mut().filter(|links| links.idle > 0);
        match idle.min_by_key(|links| links.idle_since) {
            Some(links) => {
                links.idle -= 1;
                self.closed(at, 1);
                true
            }
            None => false,
        }
    }

    fn host_of(address: SocketAddr) -> u32 {
        match address {
            SocketAddr::V4(address) => u32::from(*address.ip()) & 0x00ff_ffff,
            SocketAddr::V6(_) => 0,
        }
    }

    fn delay(&mut self, at: usize, nodo: usize) -> Time {
        let (network, nodo) = (&self.scenario.network, &self.nodos[nodo]);
        let balancer = &mut self.balancers[at];
        let base = if balancer.zone == nodo.zone { network.within } else { network.across };
        let jitter = 1.0 + network.jitter * balancer.network.random::<f64>();
        (base.0 as f64 * jitter * nodo.ills.far) as Time
    }

    /// Whether what goes to a zone's nodos, or comes back, is cut off.
    fn is_cut(&self, at: usize, nodo: usize, to: bool) -> bool {
        let zone = self.nodos[nodo].zone;
        self.balancers[at].zone != zone && self.cuts.contains(&(zone, to))
    }

    fn send(&mut self, at: usize, send: &Send) {
        let now = self.agenda.now();
        let host = Self::host_of(send.to.address);
        let request = self.request_of(send.id);
        self.auditor.sent(now, request, at, host);
        let Some(&nodo) = self.hosts.get(host as usize) else { return };
        let nodo = nodo as usize;
        let Some(known) = self.requests.get_mut(request) else { return };
        known.attempts += 1;
        let wish = known.wish;
        let other_zone = self.balancers[at].zone != self.nodos[nodo].zone;
        self.meter.sent(send.attempt, other_zone, host);
        let balancer = &mut self.balancers[at];
        if balancer.links.len() <= host as usize {
            balancer.links.resize(self.hosts.len().max(host as usize + 1), Links::default());
        }
        let (there, process) = (&self.nodos[nodo], self.nodos[nodo].process);
        let server = send.to.server.0 as usize;
        if balancer.hosts.len() <= server {
            balancer.hosts.resize(server + 1, u32::MAX);
        }
        balancer.hosts[server] = host;
        let links = &mut balancer.links[host as usize];
        let mut closed = 0;
        if links.process != process {
            closed = links.idle;
            *links = Links { epoch: links.epoch + 1, process, idle: 0, idle_since: 0 };
        }
        let http2 = self.scenario.limits.http2;
        let fresh = links.idle > 0 && now - links.idle_since < self.scenario.limits.idle.0;
        let kept = fresh && there.alive;
        if kept && !http2 {
            links.idle -= 1;
        } else if !fresh {
            closed += std::mem::take(&mut links.idle);
        }
        let epoch = links.epoch;
        self.closed(at, closed);
        let has_socket = kept || self.may_open(at);
        if !kept && has_socket {
            self.balancers[at].open += 1;
        }
        let attempt = Attempt {
            request,
            number: send.attempt,
            balancer: at as u32,
            nodo: nodo as u32,
            host,
            process,
            epoch,
            out: true,
            there: true,
            socket: has_socket,
            calls: 0,
            spoilt: false,
            sent: now,
        };
        let number = self.attempts.add(attempt);
        if let Some(known) = self.requests.get_mut(request) {
            known.out.push((send.attempt, number));
        }
        let name = &self.nodos[nodo].name;
        let text = format!("balancer {at} sends attempt {} to {name} (host {host})", send.attempt);
        self.tell_story(wish, || text);
        let until = self.balancers[at].world(send.until);
        self.agenda.at(until, Event::Until(number));
        if !has_socket {
            self.lose(number);
            return self.agenda.after(0, Event::Back { attempt: number, outcome: Outcome::Moot });
        }
        let way = self.delay(at, nodo);
        let network = &self.scenario.network;
        let rng = &mut self.balancers[at].network;
        let (lost, reset) = (chance(rng, network.loss), chance(rng, network.resets));
        let connect = if kept { 0 } else { 2 * way };
        let alive = self.nodos[nodo].alive;
        let cut = lost || self.is_cut(at, nodo, true) || !kept && self.is_cut(at, nodo, false);
        // A list may name a process that is no longer there; what listens at its address takes the request.
        match (alive, cut) {
            (_, true) if !kept => {
                let outcome = Outcome::ConnectFailed;
                self.lose(number);
                self.agenda.after(self.scenario.limits.connect.0, Event::Back { attempt: number, outcome });
            }
            (_, true) => self.lose(number),
            (false, false) => {
                let outcome = Outcome::ConnectFailed;
                self.lose(number);
                self.agenda.after(2 * way, Event::Back { attempt: number, outcome });
            }
            (true, false) if reset => {
                self.lose(number);
                let outcome = Outcome::Reset;
                self.agenda.after(connect + way, Event::Back { attempt: number, outcome });
            }
            (true, false) => self.agenda.after(connect + way, Event::Reach(number)),
        }
    }

    /// The request that a balancer's number stands for: the latest of that number.
    fn request_of(&self, id: RequestId) -> u64 {
        let next = self.requests.next();
        let high = next & !0xffff_ffff;
        let request = high | u64::from(id.0);
        if request >= next { request.wrapping_sub(1 << 32) } else { request }
    }

    /// Nothing of an attempt is under way any more, though its balancer may still wait for it.
    fn lose(&mut self, number: u64) {
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.there = false;
        }
        self.forget_attempt(number);
    }

    fn forget_attempt(&mut self, number: u64) {
        let over = |attempt: &Attempt| !attempt.out && !attempt.there;
        let Some(attempt) = self.attempts.get(number).filter(|attempt| over(attempt)) else { return };
        let request = attempt.request;
        self.attempts.take(number);
        self.auditor.over(self.agenda.now(), request);
        if let Some(known) = self.requests.get_mut(request) {
            known.attempts -= 1;
        }
        self.forget_request(request);
    }

    fn withdraw(&mut self, id: RequestId, attempt: u32) {
        let request = self.request_of(id);
        let out = self.requests.get(request).and_then(|r| r.out.iter().find(|(n, _)| *n == attempt));
        if let Some(&(_, number)) = out {
            self.end_attempt(number, Outcome::Cancelled);
        }
    }

    /// Tells a balancer how an attempt ended, once.
    fn end_attempt(&mut self, number: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get_mut(number).filter(|attempt| attempt.out) else { return };
        attempt.out = false;
        let (request, at, tries) = (attempt.request, attempt.balancer as usize, attempt.number);
        let (host, process, epoch, nodo) =
            (attempt.host as usize, attempt.process, attempt.epoch, attempt.nodo as usize);
        let socket = attempt.socket;
        let took = self.agenda.now() - attempt.sent;
        let mut wish = 0;
        if let Some(known) = self.requests.get_mut(request) {
            known.out.retain(|(_, out)| *out != number);
            wish = known.wish;
        }
        let whole = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Declined);
        let now = self.agenda.now();
        let http2 = self.scenario.limits.http2;
        let mut kept = false;
        if let Some(links) = self.balancers[at].links.get_mut(host)
            && whole
            && links.epoch == epoch
            && links.process == process
            && self.nodos[nodo].process == process
        {
            links.idle = if http2 { 1 } else { links.idle.saturating_add(1) };
            links.idle_since = now;
            kept = true;
        }
        if socket && !kept {
            self.closed(at, 1);
        }
        self.tell_story(wish, || {
            format!("balancer {at} has {outcome:?} for attempt {tries} after {:.1} ms", took as f64 / 1e6)
        });
        let answer = (outcome == Outcome::Ok).then_some(());
        let ended = Ended { outcome, answer, load: None };
        if self.balancers[at].alive {
            self.tell(at, Input::Ended { id: RequestId(request as u32), attempt: tries, ended });
        }
        self.forget_attempt(number);
    }

    fn back(&mut self, event: Event, number: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(number).filter(|attempt| attempt.out) else {
            return self.lose(number);
        };
        if let Some(until) = self.stands_still(attempt.balancer as usize) {
            return self.agenda.at(until, event);
        }
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.there = false;
        }
        self.end_attempt(number, outcome);
    }

    fn until(&mut self, event: Event, number: u64) {
        let Some(attempt) = self.attempts.get(number).filter(|attempt| attempt.out) else { return };
        if let Some(until) = self.stands_still(attempt.balancer as usize) {
            return self.agenda.at(until, event);
        }
        self.end_attempt(number, Outcome::Timeout);
    }

    // ---- Nodos ----

    fn reach(&mut self, number: u64) {
        let now = self.agenda.now();
        let Some(attempt) = self.attempts.get(number) else { return };
        let (request, host) = (attempt.request, attempt.host);
        let (sent_to, process) = (attempt.nodo as usize, attempt.process);
        let nodo = self.hosts[host as usize] as usize;
        if !self.nodos[nodo].alive || nodo != sent_to || self.nodos[nodo].process != process {
            // It died on the way. What was written may have been read.
            return self.answer(number, Outcome::Reset);
        }
        let Some(wish) = self.requests.get(request).map(|request| request.wish) else { return };
        let Some(class) = self.wishes.get(wish).map(|wish| wish.class) else { return };
        let mean = self.scenario.class[class].service.mean();
        let warm = f64::from(self.nodos[nodo].workers()) * 1e9 / mean;
        if let Some(part) = self.nodos[nodo].count_cold(now, warm) {
            let name = self.nodos[nodo].name.clone();
            self.auditor.pushed_over(now, &name, part);
            self.kill(nodo, false);
            return self.agenda.after(TOPPLED, Event::Boot(nodo as u32));
        }
        let there = &mut self.nodos[nodo];
        if there.ills.silent {
            return self.lose(number);
        }
        let ills = there.ills.resets;
        if chance(&mut there.rng, ills / 2.0) {
            return self.answer(number, Outcome::Reset);
        }
        if there.errs(class) {
            return self.answer(number, Outcome::Error);
        }
        let name = there.name.clone();
        match there.take(number) {
            Taken::Begun => {
                self.tell_story(wish, || format!("{name} begins it"));
                self.begin(nodo, number, class);
            }
            Taken::Queued => {
                let held = self.nodos[nodo].held();
                self.meter.queued(held);
                self.tell_story(wish, || format!("{name} lets it wait behind {}", held - 1));
            }
            Taken::Full => {
                self.tell_story(wish, || format!("{name} turns it away as full"));
                self.answer(number, Outcome::Full);
            }
        }
    }

    fn begin(&mut self, nodo: usize, attempt: u64, class: usize) {
        let now = self.agenda.now();
        let took = self.nodos[nodo].service(now, &self.scenario.class[class].service);
        let process = self.nodos[nodo].process;
        self.agenda.after(took, Event::Done { attempt, nodo: nodo as u32, process });
    }

    /// Sends an outcome back to the balancer of an attempt.
    fn answer(&mut self, number: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(number) else { return };
        let (at, nodo) = (attempt.balancer as usize, attempt.nodo as usize);
        let lost = chance(&mut self.balancers[at].network, self.scenario.network.loss);
        if lost || self.is_cut(at, nodo, false) {
            return self.lose(number);
        }
        let way = self.delay(at, nodo);
        self.agenda.after(way, Event::Back { attempt: number, outcome });
    }

    fn done(&mut self, number: u64, nodo: usize, process: u32) {
        if self.nodos[nodo].process != process || !self.nodos[nodo].alive {
            return; // it died meanwhile, and all that it was at with it
        }
        self.take_effect(number);
        let calls = self.calls[self.nodos[nodo].tier];
        let parent = self.attempts.get(number).and_then(|attempt| {
            let wish = self.requests.get(attempt.request)?.wish;
            self.wishes.get(wish).map(|wish| (wish.class, wish.deadline))
        });
        let (Some((_, mean)), Some((class, deadline))) = (calls, parent) else {
            return self.finish(number, nodo);
        };
        // A whole number on either side of the mean.
        let rng = &mut self.nodos[nodo].rng;
        let count = mean.floor() as u32 + u32::from(chance(rng, mean.fract()));
        let now = self.agenda.now();
        if count == 0 || now >= deadline {
            return self.finish(number, nodo);
        }
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.calls = count;
        }
        for _ in 0..count {
            let wish = self.wishes.add(Wish {
                class,
                group: None,
                parent: Some(number),
                one_of_crowd: false,
                born: now,
                deadline,
                tries: 0,
                requests: 0,
                closed: false,
                measured: false,
                seen: SmallVec::new(),
            });
            self.ask(wish);
        }
    }

    /// A nodo's call to the next tier is answered.
    fn call_back(&mut self, number: u64, well: bool) {
        let Some(attempt) = self.attempts.get_mut(number).filter(|attempt| attempt.calls > 0) else { return };
        attempt.calls -= 1;
        attempt.spoilt |= !well;
        let (left, nodo, process) = (attempt.calls, attempt.nodo as usize, attempt.process);
        if left == 0 && self.nodos[nodo].alive && self.nodos[nodo].process == process {
            self.finish(number, nodo);
        }
    }

    /// A nodo is done with an attempt: it answers and takes the next.
    fn finish(&mut self, number: u64, nodo: usize) {
        let spoilt = self.attempts.get(number).is_some_and(|attempt| attempt.spoilt);
        let there = &mut self.nodos[nodo];
        let (lost, resets) = (there.ills.lost, there.ills.resets / 2.0);
        if chance(&mut there.rng, lost) {
            self.lose(number);
        } else if chance(&mut self.nodos[nodo].rng, resets) {
            self.answer(number, Outcome::Reset);
        } else {
            self.answer(number, if spoilt { Outcome::Error } else { Outcome::Ok });
        }
        self.take_next(nodo);
    }

    fn take_next(&mut self, nodo: usize) {
        let (attempts, mut dropped) = (&self.attempts, SmallVec::<[u64; 4]>::new());
        let next = self.nodos[nodo].next(|request| {
            let waits = attempts.get(request).is_some_and(|attempt| attempt.out);
            if !waits {
                dropped.push(request); // its connection is closed: a nodo sees that before it begins
            }
            waits
        });
        dropped.into_iter().for_each(|request| self.lose(request));
        let Some(next) = next else { return };
        let class = self.attempts.get(next).and_then(|attempt| {
            let wish = self.requests.get(attempt.request)?.wish;
            self.wishes.get(wish).map(|wish| wish.class)
        });
        self.begin(nodo, next, class.unwrap_or(0));
    }

    /// The work of an attempt is done. Nodos drop the repeats of keyed work in their group and window.
    fn take_effect(&mut self, number: u64) {
        let now = self.agenda.now();
        let Some(attempt) = self.attempts.get(number) else { return };
        let (request, nodo) = (attempt.request, &self.nodos[attempt.nodo as usize]);
        let Some(wish_number) = self.requests.get(request).map(|request| request.wish) else { return };
        let Some(wish) = self.wishes.get_mut(wish_number) else { return };
        let class = &self.scenario.class[wish.class];
        let group = match class.group {
            CallGroup::All => 0,
            CallGroup::Zone => u32::from(nodo.zone),
            CallGroup::Cell => u32::from(nodo.cell),
        };
        if class.effect == CallEffect::Keyed {
            let within = |(seen, at): &(u32, Time)| *seen == group && now < at + class.window.0;
            if wish.seen.iter().any(within) {
                return;
            }
            wish.seen.push((group, now));
        }
        let name = nodo.name.clone();
        self.auditor.ran(now, request);
        self.tell_story(wish_number, || format!("{name} has done it"));
    }

    /// A nodo's process dies. What it was at breaks, done or not.
    fn kill(&mut self, nodo: usize, done: bool) {
        if !self.nodos[nodo].alive {
            return;
        }
        let process = self.nodos[nodo].process;
        self.nodos[nodo].die();
        let here = |attempt: &Attempt| attempt.nodo as usize == nodo && attempt.process == process;
        let lost = self.attempts.iter().filter(|(_, attempt)| here(attempt) && attempt.there);
        let lost: Vec<u64> = lost.map(|(number, _)| number).collect();
        for number in lost {
            if done {
                self.take_effect(number);
            }
            if let Some(attempt) = self.attempts.get_mut(number) {
                attempt.calls = 0;
            }
            self.answer(number, Outcome::Reset);
        }
        let notices = self.scenario.padron.notices.0;
        self.agenda.after(notices, Event::Notice { nodo: nodo as u32, process });
    }

    fn boot(&mut self, nodo: usize) {
        let host = self.nodos[nodo].host as usize;
        if self.nodos[nodo].alive || self.hosts[host] as usize != nodo {
            return;
        }
        let now = self.agenda.now();
        self.nodos[nodo].boot(now);
        self.change(nodo as u32, Lifecycle::Ready);
    }

    // ---- The padron ----

    fn boot_ms(nodo: &Nodo) -> u64 {
        nodo.started.map_or(0, |started| (EPOCH + started) / MS)
    }

    fn entry(&self, nodo: u32, lifecycle: Lifecycle, boot_ms: u64) -> Entry {
        let nodo = &self.nodos[nodo as usize];
        let ip = Ipv4Addr::from(0x0a00_0000 | nodo.host);
        Entry {
            name: nodo.name.clone(),
            address: Some(SocketAddr::from((ip, 8080))),
            zone: Some(ZoneId(nodo.zone)),
            cell: nodo.cell,
            lifecycle,
            size: 1.0,
            boot_ms,
        }
    }

    fn change(&mut self, nodo: u32, lifecycle: Lifecycle) {
        let boot_ms = Self::boot_ms(&self.nodos[nodo as usize]);
        self.changes.push(Change { at: self.agenda.now(), nodo, lifecycle, boot_ms });
        if self.padron_silent == 0 {
            self.spread();
        }
    }

    /// Sends word of all changes so far to all balancers of their tiers.
    fn spread(&mut self) {
        let upto = self.changes.len() as u32;
        for at in 0..self.balancers.len() {
            self.send_word(at, upto);
        }
    }

    fn send_word(&mut self, at: usize, upto: u32) {
        let (now, padron) = (self.agenda.now(), &self.scenario.padron);
        let balancer = &mut self.balancers[at];
        let jitter = (balancer.padron.random::<f64>() * padron.jitter.0 as f64) as Time;
        // In order: never before what was sent earlier.
        let latest = balancer.words.back().map_or(0, |(at, _)| *at);
        let comes = latest.max(now + padron.delay.0 + jitter);
        match balancer.words.back_mut() {
            Some(last) if last.0 == comes => last.1 = upto,
            _ => {
                balancer.words.push_back((comes, upto));
                let (balancer, life) = (at as u32, balancer.life);
                self.agenda.at(comes, Event::Told { balancer, life });
            }
        }
    }

    fn told(&mut self, event: Event, at: usize, life: u32) {
        if !self.balancers[at].alive || self.balancers[at].life != life {
            return;
        }
        if let Some(until) = self.stands_still(at) {
            return self.agenda.at(until, event);
        }
        let now = self.agenda.now();
        let balancer = &mut self.balancers[at];
        let (from, tier) = (balancer.heard, balancer.tier);
        while let Some(&(_, upto)) = balancer.words.front().filter(|(comes, _)| *comes <= now) {
            balancer.words.pop_front();
            balancer.heard = balancer.heard.max(upto);
        }
        let upto = balancer.heard;
        if from >= upto {
            return;
        }
        let mut entries = Vec::new();
        for change in &self.changes[from as usize..upto as usize] {
            let nodo = &self.nodos[change.nodo as usize];
            if nodo.tier == tier {
                entries.push(self.entry(change.nodo, change.lifecycle, change.boot_ms));
                let ready = change.lifecycle == Lifecycle::Ready;
                self.auditor.told(now, at, nodo.host, change.boot_ms, ready);
            }
        }
        if !entries.is_empty() {
            self.tell(at, Input::Listed { entries: &entries, all: false });
        }
    }

    /// Tells a balancer the whole list as it was some time ago, and sends word of the rest.
    fn list_whole(&mut self, at: usize, stale: Time) {
        let now = self.agenda.now();
        let tier = self.balancers[at].tier;
        let before = now.saturating_sub(stale);
        let upto = self.changes.partition_point(|change| change.at <= before);
        let mut state: Vec<Option<(Lifecycle, u64)>> = Vec::new();
        // Those of the start; what came later is among the changes.
        let first: u32 = self.scenario.tier.iter().map(|tier| tier.nodos).sum();
        for nodo in 0..self.nodos.len() {
            let cold = self.scenario.tier[self.nodos[nodo].tier].cold;
            let boot_ms = if cold { EPOCH / MS } else { 0 };
            state.push(((nodo as u32) < first).then_some((Lifecycle::Ready, boot_ms)));
        }
        for change in &self.changes[..upto] {
            state[change.nodo as usize] = Some((change.lifecycle, change.boot_ms));
        }
        let listed = state.iter().enumerate().filter_map(|(nodo, state)| Some((nodo as u32, (*state)?)));
        let listed = listed.filter(|(nodo, (lifecycle, _))| {
            self.nodos[*nodo as usize].tier == tier && *lifecycle != Lifecycle::Gone
        });
        let entries: Vec<_> = listed.map(|(nodo, (life, boot))| self.entry(nodo, life, boot)).collect();
        self.balancers[at].heard = upto as u32;
        self.tell(at, Input::Listed { entries: &entries, all: true });
        let all = self.changes.len() as u32;
        if all > upto as u32 && self.padron_silent == 0 {
            self.send_word(at, all);
        }
    }

    // ---- Faults ----

    fn fault(&mut self, at: usize, begins: bool) {
        let fault = &self.scenario.fault[at];
        let tier = fault.tier.as_ref().and_then(|name| self.scenario.tier(name)).unwrap_or(0);
        let zone = self.scenario.zone(&fault.zone).unwrap_or(None);
        if begins {
            let there = |other: &Nodo| other.tier == tier && zone.is_none_or(|zone| zone == other.zone);
            let nodos: Vec<u32> = (0..self.nodos.len() as u32)
                .filter(|&nodo| there(&self.nodos[nodo as usize]) && self.nodos[nodo as usize].alive)
                .collect();
            let there = |other: &Balancer| other.tier == tier && zone.is_none_or(|zone| zone == other.zone);
            let balancers = 0..self.balancers.len() as u32;
            let balancers: Vec<u32> = balancers.filter(|&at| there(&self.balancers[at as usize])).collect();
            let rng = &mut self.faults[at].0;
            let hit = (sample(rng, &nodos, fault.part), sample(rng, &balancers, fault.part));
            (self.faults[at].1, self.faults[at].2) = hit;
        }
        let (nodos, balancers) = (self.faults[at].1.clone(), self.faults[at].2.clone());
        let until = fault.until.unwrap_or(self.scenario.time);
        match &fault.what {
            What::Kill { done } if begins => nodos.iter().for_each(|&nodo| self.kill(nodo as usize, *done)),
            What::Kill { .. } => nodos.iter().for_each(|&nodo| self.boot(nodo as usize)),
            What::Roll | What::Replace if begins => {
                let half = (until.0 - fault.at.0) / 2;
                for (turn, &nodo) in nodos.iter().enumerate() {
                    let wait = half * turn as Time / nodos.len().max(1) as Time;
                    self.agenda.after(wait, Event::Roll { nodo, step: 0, fault: at as u32 });
                }
            }
            What::Roll | What::Replace => {}
            What::PadronSilent => {
                self.padron_silent = if begins { self.padron_silent + 1 } else { self.padron_silent - 1 };
                if self.padron_silent == 0 {
                    self.spread();
                }
            }
            What::PadronWrong => {
                let lifecycle = if begins { Lifecycle::Gone } else { Lifecycle::Ready };
                for &nodo in &nodos {
                    let there = &self.nodos[nodo as usize];
                    if there.alive && !there.draining {
                        self.change(nodo, lifecycle);
                    }
                }
            }
            What::ClockStep(step) if begins => {
                for &balancer in &balancers {
                    self.balancers[balancer as usize].ahead += step.0 as i64;
                }
            }
            What::ClockStep(_) => {}
            What::CutTo | What::CutFrom => {
                let cut = (zone.unwrap_or(0), fault.what == What::CutTo);
                match begins {
                    true => self.cuts.push(cut),
                    false => self.cuts.retain(|other| *other != cut),
                }
            }
            What::Restart { stale } => {
                for &balancer in &balancers {
                    match begins {
                        true => self.stop(balancer as usize),
                        false => self.agenda.after(0, Event::Start { balancer, stale: stale.0 }),
                    }
                }
            }
            What::Stall if begins => {
                for &balancer in &balancers {
                    self.balancers[balancer as usize].stalled_until = until.0;
                }
                self.stalled = self.stalled.max(until.0);
            }
            What::Stall => {}
            _ => nodos.iter().for_each(|&nodo| self.refresh_ills(nodo, at, begins)),
        }
    }

    /// What is wrong with a nodo, from all faults that hit it now.
    fn refresh_ills(&mut self, nodo: u32, changed: usize, begins: bool) {
        let now = self.agenda.now();
        let mut ills = Ills::default();
        for (at, fault) in self.scenario.fault.iter().enumerate() {
            let active = match at == changed {
                true => begins,
                false => fault.at.0 <= now && fault.until.is_none_or(|until| now < until.0),
            };
            if !active || self.faults[at].1.binary_search(&nodo).is_err() {
                continue;
            }
            match &fault.what {
                What::Slow(times) => ills.slow *= times,
                What::SlowLink(times) => ills.far *= times,
                What::Errors { share, class } => {
                    ills.errors.push((*share, class.as_ref().and_then(|name| self.scenario.class(name))));
                }
                What::Lost(part) => ills.lost = ills.lost.max(*part),
                What::Resets(part) => ills.resets = ills.resets.max(*part),
                What::Silent => ills.silent = true,
                What::Full => ills.full = true,
                _ => {}
            }
        }
        self.nodos[nodo as usize].ills = ills;
    }

    fn roll(&mut self, nodo: u32, step: u8, fault: usize) {
        let longest = self.scenario.class.iter().map(|class| class.deadline.0).max().unwrap_or(0);
        let at = nodo as usize;
        match step {
            0 => {
                self.nodos[at].draining = true;
                self.change(nodo, Lifecycle::Draining);
                // The word's way, the second that rule 3 allows, and the work.
                let padron = &self.scenario.padron;
                let wait = padron.delay.0 + padron.jitter.0 + SECOND + longest;
                self.agenda.after(wait, Event::Roll { nodo, step: 1, fault: fault as u32 });
            }
            _ => {
                self.kill(at, false);
                if self.scenario.fault[fault].what == What::Replace {
                    return self.replace(nodo);
                }
                self.agenda.after(SECOND, Event::Boot(nodo));
            }
        }
    }

    /// A new nodo at the address of one that is gone.
    fn replace(&mut self, old: u32) {
        self.change(old, Lifecycle::Gone);
        let (now, number) = (self.agenda.now(), self.nodos.len() as u32);
        let gone = &self.nodos[old as usize];
        let (tier, place) = (gone.tier, (gone.zone, gone.cell, gone.host));
        let name = format!("{}-{number}", self.scenario.tier[tier].name);
        let rng = stream(self.seed, Actor::Nodo, number);
        let mut nodo = Nodo::new(name, tier, &self.scenario.tier[tier], place, rng);
        nodo.process = gone.process;
        nodo.boot(now);
        self.hosts[place.2 as usize] = number;
        self.nodos.push(nodo);
        self.change(number, Lifecycle::Ready);
    }

    /// A balancer's process dies, with all that it holds.
    fn stop(&mut self, at: usize) {
        let balancer = &mut self.balancers[at];
        if !std::mem::replace(&mut balancer.alive, false) {
            return;
        }
        balancer.life += 1;
        balancer.links.clear();
        balancer.open = 0;
        balancer.hosts.clear();
        balancer.words.clear();
        balancer.planned = Time::MAX;
        let out = self.attempts.iter().filter(|(_, a)| a.balancer as usize == at && a.out);
        let out: Vec<u64> = out.map(|(number, _)| number).collect();
        let held = self.requests.iter().filter(|(_, r)| r.balancer as usize == at && !r.answered);
        let held: Vec<(u64, u64)> = held.map(|(number, request)| (number, request.wish)).collect();
        for number in out {
            self.end_attempt(number, Outcome::Cancelled);
        }
        for (number, wish) in held {
            self.auditor.left(number);
            if let Some(request) = self.requests.get_mut(number) {
                request.answered = true;
            }
            self.tell_story(wish, || format!("balancer {at} dies with it"));
            self.answered_wish(wish, &Verdict::Failed);
            self.forget_request(number);
        }
        let mind = self.mind(at);
        self.balancers[at].mind = mind;
    }

    fn start(&mut self, at: usize, stale: Time) {
        if self.balancers[at].alive {
            return;
        }
        self.balancers[at].alive = true;
        self.auditor.forgot(at);
        self.list_whole(at, stale);
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
        self.meter.step(now, &speed, self.requests.len(), self.attempts.len());
        if now < self.scenario.time.0 {
            self.agenda.after(self.scenario.step.0, Event::Step);
        }
    }
}
