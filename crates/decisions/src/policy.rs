//! All decisions of the balancer, and all constants that steer them. The interface is `api.rs`.
//!
//! The ordinary path is Ribbon's zone-aware mechanism: stay in the own zone while it is healthy, else
//! avoid the worst zone, and go round robin past tripped and over-full servers. docs/design.md has the
//! source, and the condition under which each exception acts.

use crate::api::*;
use crate::state::{
    Asking, Breaker, IdleRisk, Latency, Pool, Recent, Request, Server, Shedding, TrafficShare,
};
use std::collections::{HashMap, HashSet};

const SECOND: Duration = 1_000_000_000;
/// Proposals of one pick before the fallback, as in the article, and rounds that may be gone to find them.
const PROPOSALS: u32 = 10;
const ROUNDS: usize = 4;
/// A server is over-full at this multiple of its calm share of calls in flight.
const LOAD_RISE: f64 = 1.2;
/// A zone is over-loaded at this multiple of its calm calls in flight, and so many deviations of a chance
/// count of them, but never at fewer than the last: a small caller holds a multiple by chance alone.
const ZONE_RISE: (f64, f64, f64) = (2.0, 3.0, 4.0);
/// Blackout threshold: with half its servers tripped, or calls failing, the rest would carry the whole zone.
const BLACKOUT: f64 = 0.5;
/// Failing part of its calls at which a zone is left, and the price of a crossing on top: a small caller sees
/// each server too seldom to trip it, and what crosses should gain more than it costs.
const ZONE_FAILING: f64 = 0.08;
/// Surplus spill: part of the calls that cross for each unit by which their own zone is later (as part of the
/// aim) than another one; and the time over which what is known of any zone fades: then it is tried again.
const SURPLUS: (f64, Duration) = (3.0, 10 * SECOND);
/// What a crossing must gain: part of its price, as it also makes room for those that stay, and more than
/// chance makes of a small caller's few calls.
const SURPLUS_GAIN: (f64, f64) = (0.5, 0.05);
/// Weight of a call in the lateness of its zone: some ten calls, so that small callers follow.
const LATE_GAIN: f64 = 0.1;
/// Servers that must be healthy for the own zone to be used. One will do: small zones would always be left.
const MIN_HEALTHY: usize = 1;
/// Chance that a server no worse than the rest trips, and that one on probation does, which is more likely to
/// be worse: sets how many failures in a row it takes ...
const FALSE_TRIP: (f64, f64) = (0.01, 0.1);
/// ... within these bounds: one failure is no row, and a broken tier must still show its worst.
const ROW: (f64, f64) = (2.0, 6.0);
/// First open time of a breaker, doubling up to a cap, which bounds how long a healed server idles.
const OPEN: (Duration, Duration) = (SECOND, 8 * SECOND);
/// Successes in a row after which a server is off probation, and after which the open time restarts.
const PROBATION: (u32, u32) = (3, 10);
/// Mean deviations above the mean at which an attempt is late: it tells of its server, not of all ...
const LATE_DEVS: f64 = 4.0;
/// ... and at which it is overdue, a failure: hardly any call to a sound server is.
const OVERDUE_DEVS: f64 = 20.0;
/// Part of its aim within which no attempt is overdue: where calls take a millisecond, a caller that is held
/// up by itself for some would give up sound servers in a row.
const OVERDUE_LEAST: f64 = 0.1;
/// A server that answered so lately is alive: a connection that fails is one too many for it.
const ALIVE: Duration = SECOND;
/// Time after which a server that took no more connections is tried with one more.
const CONN_GROWTH: Duration = 5 * SECOND;
/// Idle connections that a server is left with: a fuller table takes its capacity, and at last refuses. But
/// where many calls are held they go up and down by chance, and closing at each low would cost a handshake a
/// call: what the latest peak needed, less as many, is left too, and that fades over this time.
const SPARE: (f64, Duration) = (2.0, SECOND / 4);
/// Least time that makes a connection idle: what cuts idle ones waits longer than a round trip.
const IDLE_FROM: Duration = SECOND / 4;
/// Weight of an attempt in the risk of an idle time, and the time over which that is forgotten.
const IDLE_GAIN: (f64, Duration) = (0.3, 30 * SECOND);
/// Risk from which an idle connection is replaced before it is used: work that must not run twice would be
/// lost with it, other work only takes another attempt, and so tells when the risk is over.
const IDLE_RISK: (f64, f64) = (0.1, 0.3);
/// Calls before a latency is trusted, or a rate of answers.
const KNOWN: u32 = 10;
/// Weight of a new outcome in the averages: about a second's worth of calls at a small balancer.
const GAIN: f64 = 0.05;
/// The calm latency falls much faster towards the mean than it rises: a jam must not come to look calm.
const CALM: (f64, f64) = (0.05, 0.001);
/// Weight of a call in its server's slowness: a caller with few calls sees a few a second of each server.
const SLOW_GAIN: f64 = 0.3;
/// Weight of a call in the failing part of its server, and the power of the sound part that its turns go by:
/// one that fails half of its calls by chance hardly ever trips where each caller sees it once a second.
const FAILING_GAIN: f64 = 0.2;
const SOUND_POWER: i32 = 4;
/// Work that must not run twice is lost where it fails: it passes over servers that fail by so much more of
/// their calls than all do, and leaves it to other work to find that they are well again.
const WARY: f64 = 0.1;
/// A server is no quicker than this part of the mean, whatever a few calls say: it has four turns to one of
/// the mean, which the rounds allow for; and how much of the best turn is remembered from one proposal to the
/// next: the best of some hundreds.
const QUICKEST: f64 = 0.5;
const BEST_KEPT: f64 = 0.999;
/// Retry budget: what a request earns, and the most that is kept. Retries multiply from tier to tier.
const RETRY_BUDGET: (f64, f64) = (0.2, 10.0);
/// Expected time to an answer, as part of the aim, from which work is shed, and at which all is: above them
/// the tail of the answers misses it, and below them what is slow by nature would be refused on a calm day.
const SHED_BETWEEN: (f64, f64) = (0.5, 0.65);
/// Over the root of the answers counted, by how much later shedding begins: a caller with some ten calls a
/// second sees their chance lengths as a jam, and refused some where nothing waited.
const SHED_NOISE: f64 = 0.4;
/// Time over which answers are counted to tell how fast they come, and where that is too short for a caller's
/// few calls, at most so many of the longest aim: a jam comes and goes within some.
const ANSWER_WINDOW: (Duration, Duration) = (SECOND, 2);
/// Most of the work that is ever shed: some calls must show when it is over.
const SHED_MOST: f64 = 0.9;
/// Time over which call rates are averaged: a few calls at the smallest balancer.
const RATE_WINDOW: Duration = 5 * SECOND;
/// Time over which the answers that a zone gives for each unit of its size are averaged, where it gives any.
const PROVEN_OVER: Duration = 60 * SECOND;
/// Part of the multiple that pushes over a cold server by which its share may exceed what is proven; and how
/// often the warm part of a zone is counted.
const COLD_PART: f64 = 0.6;
const WARM_EVERY: Duration = SECOND / 10;
/// Pace of a cold zone: answers that take less of their aim let its share grow, those that take more let it
/// shrink; and in which time it doubles at most, or in so many calls' lengths: a jam has to show before.
const PACED: (f64, f64) = (0.5, 0.8);
const PACE_DOUBLES: (Duration, f64) = (SECOND, 8.0);
/// Budgets that have just refused calls go on for so long beyond the time in which servers are cold.
const HELD_BACK: Duration = SECOND;
/// First subscriptions are spread over this much for each sibling: discovery's capacity is fixed.
const WATCH_SPACING: Duration = SECOND / 10;
/// First wait before a failed subscription is tried again, doubling up to a cap: a change counts as told
/// 6 s after discovery had it, and two calls of 2 s have to fit in with their waits.
const WATCH_BACKOFF: (Duration, Duration) = (SECOND, 2 * SECOND);
const WATCH_TOKEN: u64 = u64::MAX;
/// Servers that are asked for their load before a call is sent.
const ASKED: usize = 4;
/// Part of a request's worth that asking may cost: a better choice of a server brings a few in a hundred.
const ASK_SPEND: f64 = 0.01;
/// Time they have to tell: a longer silence costs more than a bad choice, and tells of a stalled server.
const ASK_WAIT: Duration = 5_000_000;
const ASK_TOKEN: u64 = 1 << 63;
/// Share of a place's new work up to which the fleet only tries it: unsafe work is not used for that.
const TRIED: f64 = 0.25;
/// Least time between two log lines of a kind: in trouble, what they tell of happens many times a second.
const LOG_EVERY: Duration = 5 * SECOND;

/// What log lines tell of.
#[derive(Clone, Copy)]
enum Topic {
    Discovery,
    Zone,
    Breaker,
    Shedding,
}

/// One balancer: all that it knows, and what it does about each event.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    now: Time,
    actions: Vec<Action>,
    servers: Vec<Server>,
    index: HashMap<ServerId, usize>,
    /// Places among the servers that nobody has.
    free: Vec<usize>,
    /// One for each zone; the last has all servers.
    pools: Vec<Pool>,
    /// Zones that the present call stays away from, as the fleet has found.
    away: Vec<usize>,
    requests: HashMap<RequestId, Request>,
    asking: HashMap<RequestId, Asking>,
    classes: Vec<Latency>,
    overall: Latency,
    /// Time to an answer for each call that the server held.
    per_held: Latency,
    served: Recent,
    /// Calls taken on, which is all that is known of their rate after a start.
    taken_on: Recent,
    fresh_until: Time,
    failing: f64,
    /// When a call last had nowhere to go.
    held_back_at: Time,
    idle_risk: IdleRisk,
    retry_budget: f64,
    shed: Shedding,
    /// Whether the own zone was left, and whether work was shed, when last looked at.
    zone_left: bool,
    shedding: bool,
    /// When each topic may be logged again.
    log_from: [Time; 4],
    /// Failed subscriptions in a row; `None` before the first was asked for.
    watch_failures: Option<u32>,
}

impl Balancer {
    /// A balancer that has seen nothing yet. Its random numbers come from `seed` alone.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now,
            actions: Vec::new(),
            servers: Vec::new(),
            index: HashMap::new(),
            free: Vec::new(),
            pools: (0..=settings.zones).map(|_| Pool::default()).collect(),
            away: Vec::new(),
            requests: HashMap::new(),
            asking: HashMap::new(),
            classes: vec![Latency::default(); settings.classes.len()],
            overall: Latency::default(),
            per_held: Latency::default(),
            served: Recent::since(now),
            taken_on: Recent::since(now),
            fresh_until: now.saturating_add(RATE_WINDOW),
            failing: 0.0,
            held_back_at: 0,
            idle_risk: IdleRisk::default(),
            retry_budget: RETRY_BUDGET.1,
            shed: Shedding {
                demand: vec![Recent::default(); settings.classes.len()],
                tenants: vec![Recent::default(); settings.tenants.len()],
                ..Shedding::default()
            },
            zone_left: false,
            shedding: false,
            log_from: [0; 4],
            watch_failures: None,
            settings,
        })
    }

    /// Takes one event and appends to `actions` what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::ServerListChange(entries) => self.on_list(entries, false),
            Event::ServerList(entries) => self.on_list(entries, true),
            Event::SubscriptionFailed => self.on_list_failed(),
            Event::Request(id, demand) => self.on_request(id, demand),
            Event::ResponseStarted(id, attempt) => self.on_started(id, attempt),
            Event::AttemptEnded(id, end) => self.on_ended(id, end),
            Event::ClientDisconnected(id) => self.on_client_gone(id),
            Event::ProbeEnded(server, outcome, load) => self.on_probed(server, outcome, load),
            Event::HealthVerdicts(verdicts) => self.on_told(verdicts),
            Event::Timer(WATCH_TOKEN) => self.actions.push(Action::Subscribe),
            Event::Timer(token) if token & ASK_TOKEN != 0 => self.on_asked(RequestId(token as u32)),
            Event::Timer(token) => self.on_late(token),
        }
        actions.append(&mut self.actions);
    }

    fn log(&mut self, topic: Topic, text: String) {
        let from = &mut self.log_from[topic as usize];
        if self.now >= *from {
            *from = self.now + LOG_EVERY;
            self.actions.push(Action::Log(text));
        }
    }

    /// Takes new settings. A class keeps its position; `new` names those that had another before.
    /// Fewer attempts bind requests under way as well.
    pub fn reconfigure(
        &mut self,
        settings: Settings,
        new: &[ClassSuccession],
    ) -> Result<(), SettingsError> {
        settings.check()?;
        let classes = settings.classes.len().max(self.classes.len());
        self.classes.resize(classes, Latency::default());
        for succession in new {
            self.classes[succession.class] = self.classes[succession.predecessor].clone();
        }
        self.shed.demand.resize(classes, Recent::default());
        self.shed
            .tenants
            .resize(settings.tenants.len(), Recent::default());
        let asking = self.asking.values_mut().map(|asking| &mut asking.request);
        for request in self.requests.values_mut().chain(asking) {
            request.most = request.most.min(settings.max_attempts);
        }
        self.settings = settings;
        Ok(())
    }

    /// What is worth knowing for a process that takes over.
    pub fn learned_state(&self) -> LearnedState {
        let window = self.answer_window();
        let servers = self.index.values().map(|&at| &self.servers[at]);
        LearnedState {
            classes: self.classes.iter().map(Latency::told).enumerate().collect(),
            overall: self.overall.told(),
            responses_per_second: self.served.per_second(self.now, RATE_WINDOW),
            responses: self.shed.answers.get(self.now, window),
            pending: self.shed.held.get(self.now, window),
            failure_rate: self.failing,
            servers: servers.map(|server| server.told(self.now)).collect(),
        }
    }

    /// Takes what a predecessor has learned, where nothing is known yet. It goes on sending for a while, so
    /// its rate counts by half: the two together must not send cold servers more than one would.
    pub fn restore(&mut self, now: Time, learned: &LearnedState) {
        self.now = self.now.max(now);
        let classes = learned.classes.iter().map(|(at, told)| (Some(*at), told));
        for (at, told) in classes.chain([(None, &learned.overall)]) {
            let own = at.map_or(Some(&mut self.overall), |at| self.classes.get_mut(at));
            own.filter(|own| own.calls == 0)
                .into_iter()
                .for_each(|own| *own = Latency::from_told(told));
        }
        if self.served.sum == 0.0 {
            self.served =
                Recent::carried(learned.responses_per_second / 2.0, self.now, RATE_WINDOW);
            self.fresh_until = self.now;
            (self.shed.answers.sum, self.shed.answers.at) = (learned.responses, self.now);
            // A jam is believed when it is seen: with two processes at work, it may be over.
            let held = learned.pending.min(SHED_BETWEEN.0 * learned.responses);
            (self.shed.held.sum, self.shed.held.at) = (held, self.now);
            self.failing = learned.failure_rate;
        }
        for told in &learned.servers {
            let Some(&at) = self.index.get(&told.server) else {
                continue;
            };
            let server = &mut self.servers[at];
            if server.started != told.started || server.answered_at > 0 {
                continue;
            }
            server.slowness = told.slowness;
            server.breaker.opens = told.recent_opens;
            if let Some(open_for) = told.open_for {
                server.breaker.open_until = self.now.saturating_add(open_for.min(OPEN.1));
                self.set_tripped(at, true);
            }
        }
    }

    /// Listed servers that take work and are passed over by their breakers.
    pub fn ejected_servers(&self) -> usize {
        self.pools.last().map_or(0, |all| all.tripped)
    }

    // ---- Discovery ----

    fn on_list(&mut self, entries: &[ServerEntry], whole: bool) {
        if whole {
            self.index
                .values()
                .for_each(|&at| self.servers[at].gone = true);
            self.servers
                .iter_mut()
                .for_each(|server| server.ready = false);
        }
        entries.iter().for_each(|entry| self.on_entry(entry));
        self.forget_gone();
        self.rebuild_pools();
        if self.watch_failures.replace(0).is_none() && self.settings.subscribes_to_discovery {
            let spread = WATCH_SPACING * Duration::from(self.settings.balancers);
            self.watch_within(spread.min(self.settings.subscribe_within / 2));
        }
    }

    fn on_entry(&mut self, entry: &ServerEntry) {
        let gone = entry.lifecycle == Lifecycle::Removed;
        let at = match self.index.get(&entry.server) {
            Some(&at) => at,
            None if gone => return,
            None => self.add(entry.server),
        };
        let server = &mut self.servers[at];
        server.gone = gone;
        server.zone = usize::from(entry.zone.0).min(self.settings.zones);
        server.cell = entry.cell;
        server.ready = entry.lifecycle == Lifecycle::Ready;
        let size = f64::from(entry.size);
        server.size = if size.is_finite() && size > 0.0 {
            size
        } else {
            1.0
        };
        if entry.started.is_some() && entry.started != server.started {
            // A new process: its predecessor's failures say nothing of it. The random start of its budget
            // keeps all siblings from sending it their first call at once.
            (server.breaker, server.told) = (Breaker::default(), TrafficShare::default());
            (server.budget, server.budget_at, server.slowness) = (self.rng.f64(), self.now, 1.0);
            (server.open, server.conn_limit) = (server.in_flight, None); // nor do its connections
        }
        server.started = entry.started;
    }

    fn add(&mut self, id: ServerId) -> usize {
        // Seeded, so that siblings that skip a server don't all hit the same next one.
        let (order, turn) = (self.rng.u64(..), self.rng.f64());
        let server = Server {
            id,
            order,
            turn,
            slowness: 1.0,
            ..Server::default()
        };
        let at = self.free.pop().unwrap_or(self.servers.len());
        match self.servers.get_mut(at) {
            Some(place) => *place = server,
            None => self.servers.push(server),
        }
        self.index.insert(id, at);
        at
    }

    /// Forgets the servers that are gone, unless an attempt is out at them or they stand for the group of a
    /// keyed request. Guards the memory, and the time for each list, where servers are ever new.
    fn forget_gone(&mut self) {
        if self.servers.iter().all(|server| !server.gone) {
            return;
        }
        let asking = self.asking.values();
        let requests = self
            .requests
            .values()
            .chain(asking.clone().map(|asking| &asking.request));
        let sent = requests
            .flat_map(|request| [request.sent, request.may_have_run])
            .flatten();
        let asked = asking.flat_map(|asking| asking.proposals.iter().map(|&(at, _)| at));
        let needed: HashSet<usize> = sent.map(|(at, _)| at).chain(asked).collect();
        for (at, server) in self.servers.iter_mut().enumerate() {
            if server.gone && !needed.contains(&at) {
                self.index.remove(&server.id);
                *server = Server::default();
                self.free.push(at);
            }
        }
    }

    fn rebuild_pools(&mut self) {
        let mut ready: Vec<usize> = (0..self.servers.len())
            .filter(|&at| self.servers[at].ready)
            .collect();
        ready.sort_by_key(|&at| self.servers[at].order);
        self.pools.iter_mut().for_each(Pool::clear);
        for at in ready {
            let server = &self.servers[at];
            both(&mut self.pools, server.zone)
                .for_each(|pool| pool.add(at, server, self.settings.slow_start_window));
        }
    }

    fn on_list_failed(&mut self) {
        let failures = *self
            .watch_failures
            .insert(self.watch_failures.unwrap_or(0) + 1);
        self.watch_within(doubling(WATCH_BACKOFF, failures));
        self.log(
            Topic::Discovery,
            format!("discovery failed {failures} times in a row; the list may be old"),
        );
    }

    fn watch_within(&mut self, most: Duration) {
        self.actions.push(Action::SetTimer {
            after: self.rng.u64(..=most),
            token: WATCH_TOKEN,
        });
    }

    // ---- Requests ----

    fn on_request(&mut self, id: RequestId, demand: RequestParameters) {
        let class = demand.class;
        let Some(aim) = self
            .settings
            .classes
            .get(class)
            .map(|class| class.latency_target.max(1) as f64)
        else {
            return self.actions.push(Action::Reject { id, retry_after: 0 });
        };
        self.retry_budget = (self.retry_budget + RETRY_BUDGET.0).min(RETRY_BUDGET.1);
        let request = Request {
            class,
            per_aim: 1.0 / aim,
            deadline: self.now.saturating_add(self.useful_time(class, &demand)),
            most: self.settings.max_attempts.min(demand.max_attempts),
            ..Request::default()
        };
        if self.sheds(class, demand.tenant) {
            self.refuse_or_fail(id, &request);
        } else {
            self.hold(request.per_aim);
            self.taken_on.add(self.now, 1.0, RATE_WINDOW);
            self.attempt(id, request);
        }
    }

    /// How long an answer is worth waiting for.
    fn useful_time(&self, class: usize, demand: &RequestParameters) -> Duration {
        let class = &self.settings.classes[class];
        let stretch = class.latency_target_stretch * demand.work.unwrap_or(0) as f64;
        let aim = class
            .latency_target
            .saturating_add(stretch as Duration)
            .min(class.deadline);
        // Where an answer after the aim is worth nothing, waiting on only blocks a slot. A deeper tier that
        // is told no budget must not work on for a client that is long gone.
        let guessed = self.settings.tier > 0 && !self.settings.propagates_deadline;
        if class.late_value <= 0.0 || guessed {
            demand.time_left.min(aim)
        } else {
            demand.time_left
        }
    }

    fn attempt(&mut self, id: RequestId, request: Request) {
        let Some((pool, at)) = self.choose(&request) else {
            self.held_back_at = self.now;
            return self.give_up(id, &request);
        };
        // With hardly any time left, an answer would be owed before the servers have told.
        let in_time = self.now.saturating_add(2 * ASK_WAIT) < request.deadline;
        if in_time && self.asks() {
            self.ask(id, request, pool, at);
        } else {
            self.send(id, request, at);
        }
    }

    fn send(&mut self, id: RequestId, mut request: Request, at: usize) {
        let (until, latency) = (self.attempt_limit(&request), &self.classes[request.class]);
        let begin_by = self.repeat_until(&request);
        if latency.calls >= KNOWN {
            let token = u64::from(request.attempts) << 32 | u64::from(id.0);
            self.actions.push(Action::SetTimer {
                after: latency.above(LATE_DEVS),
                token,
            });
        }
        request.idle = self.connection(at, request.class);
        self.count_in_flight(at, true);
        self.servers[at].open = self.servers[at].open.max(self.servers[at].in_flight);
        let (now, budgeted) = (self.now, self.has_budget(at));
        let server = &mut self.servers[at];
        server.learn_peak(now, SPARE.1);
        server.budget -= if budgeted { 1.0 } else { 0.0 };
        server.breaker.trial |= server.breaker.tripped;
        self.actions.push(Action::Send {
            id,
            server: server.id,
            until,
            begin_by,
        });
        request.trial = server.breaker.tripped;
        request.sent = Some((at, now));
        request.attempts += 1;
        request.marks = 0;
        self.requests.insert(id, request);
    }

    /// How long the connection that a call will use has been idle, as a step of the risk. Something between
    /// may have dropped it unseen: where calls on such connections fail and others don't, it is replaced.
    /// Guards against reapers of idle connections and servers that restarted; costs a handshake.
    fn connection(&mut self, at: usize, class: usize) -> usize {
        let server = &mut self.servers[at];
        let idle = self.now.saturating_sub(server.idle_from);
        if server.open <= server.in_flight || idle >= self.settings.idle_timeout {
            server.open = server.in_flight;
            return 0;
        }
        let step = self.idle_risk.step(idle, IDLE_FROM);
        let bearable = if self.repeatable(class) {
            IDLE_RISK.1
        } else {
            IDLE_RISK.0
        };
        if !self.idle_fails(step, bearable) {
            return step;
        }
        self.close_idle(at);
        0
    }

    /// Whether connections idle for so long fail too often, and more often than new ones.
    fn idle_fails(&self, step: usize, bearable: f64) -> bool {
        let fresh = self.idle_risk.get(0, self.now, IDLE_GAIN.1);
        self.idle_risk.up_to(step, self.now, IDLE_GAIN.1) > bearable.max(2.0 * fresh)
    }

    fn close_idle(&mut self, at: usize) {
        let server = &mut self.servers[at];
        server.open = server.in_flight;
        self.actions.push(Action::CloseIdleConnections(server.id));
    }

    /// When an attempt is given up. Work that must not run twice, or has no time to, may still finish.
    fn attempt_limit(&self, request: &Request) -> Time {
        let left = request.deadline.saturating_sub(self.now);
        let latency = &self.classes[request.class];
        let overdue = latency
            .above(OVERDUE_DEVS)
            .max(self.never_overdue(request.class));
        let again = request.attempts + 1 < request.most && self.repeatable(request.class);
        let cut = again && latency.calls >= KNOWN && overdue + latency.mean as Duration <= left;
        if cut {
            self.now + overdue
        } else {
            request.deadline
        }
    }

    fn never_overdue(&self, class: usize) -> Duration {
        (OVERDUE_LEAST * self.settings.classes[class].latency_target as f64) as Duration
    }

    fn repeatable(&self, class: usize) -> bool {
        self.settings.classes[class].effect != Effect::Unsafe
    }

    fn give_up(&mut self, id: RequestId, request: &Request) {
        self.answered(request.per_aim, request.may_have_run.is_some());
        self.refuse_or_fail(id, request);
    }

    fn refuse_or_fail(&mut self, id: RequestId, request: &Request) {
        let safe = self.settings.classes[request.class].effect == Effect::Safe;
        let most = self.settings.max_retry_after;
        let retry_after = most / 2 + self.rng.u64(..=most / 2);
        let harmless = safe || request.may_have_run.is_none();
        self.actions.push(if harmless {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail(id)
        });
    }

    // ---- The mechanism: zone affinity, zone avoidance, availability-filtered round robin ----

    /// What the fleet has found of zones and servers: it shifts new work, and fades where it is not renewed.
    fn on_told(&mut self, verdicts: &[HealthVerdict]) {
        for verdict in verdicts {
            let told = TrafficShare {
                share: f64::from(verdict.share).clamp(0.0, 1.0),
                until: verdict.until,
            };
            match verdict.domain {
                FailureDomain::Zone(zone, class) if usize::from(zone.0) < self.settings.zones => {
                    let pool = &mut self.pools[usize::from(zone.0)];
                    match class {
                        None => pool.told = told,
                        Some(class) if class < self.settings.classes.len() => {
                            pool.told_classes
                                .resize(self.settings.classes.len(), TrafficShare::default());
                            pool.told_classes[class] = told;
                        }
                        Some(_) => {}
                    }
                }
                FailureDomain::Zone(..) => {}
                FailureDomain::Server(id) => self
                    .index
                    .get(&id)
                    .into_iter()
                    .for_each(|&at| self.servers[at].told = told),
            }
        }
    }

    /// The zones that a call stays away from: chance decides, by the share that each is found to be good for.
    fn stay_away(&mut self, class: usize) {
        self.away.clear();
        for zone in 0..self.settings.zones {
            let share = self.pools[zone].share(class, self.now);
            let tried = share <= TRIED && !self.repeatable(class);
            if share < 1.0 && (tried || self.rng.f64() >= share) {
                self.away.push(zone);
            }
        }
    }

    fn choose(&mut self, request: &Request) -> Option<(usize, usize)> {
        let all = self.settings.zones;
        self.stay_away(request.class);
        let own = usize::from(self.settings.zone.0);
        let left = !self.own_zone_will_do(own);
        if left != self.zone_left {
            self.zone_left = left;
            let (zone, done) = (&self.pools[own], if left { "left" } else { "taken again" });
            let (healthy, servers, held) = (zone.healthy(), zone.members.len(), zone.in_flight);
            let failing = 100.0 * zone.failing.get(self.now, SURPLUS.1);
            let text = format!(
                "zone {done}: {healthy} of {servers} healthy, {held} held, {failing:.0}% failing"
            );
            self.log(Topic::Zone, text);
        }
        if let Some(trial) = self.trial_of_dropped_zone(own, left, request) {
            return Some(trial);
        }
        // What the fleet tries or returns to goes by the fleet's pace: what this caller saw fades too slowly.
        let paced = self.pools[own].share(request.class, self.now) < 1.0;
        let first = match (self.away.contains(&own), paced, left) {
            (true, _, _) | (false, false, true) => self.zone_after_avoidance(own).unwrap_or(all),
            (false, true, _) => own,
            (false, false, false) => self.surplus_zone(own).unwrap_or(own),
        };
        let picked = self.pick(first, request).map(|at| (first, at));
        picked.or_else(|| {
            if first == all {
                None
            } else {
                self.pick(all, request).map(|at| (all, at))
            }
        })
    }

    /// A zone whose breakers have all opened is dropped, and with it the picks that would bring it a trial: a
    /// due one goes before. Other zones get theirs by calls that leave the own one anyhow.
    fn trial_of_dropped_zone(
        &mut self,
        own: usize,
        left: bool,
        request: &Request,
    ) -> Option<(usize, usize)> {
        let others = (0..self.settings.zones).filter(|zone| left && *zone != own);
        std::iter::once(own).chain(others).find_map(|zone| {
            let dropped = self.pools[zone].healthy() == 0 && !self.away.contains(&zone);
            if dropped {
                self.pick(zone, request).map(|at| (zone, at))
            } else {
                None
            }
        })
    }

    /// The three tests of zone affinity, and for small callers a fourth.
    fn own_zone_will_do(&self, own: usize) -> bool {
        let zone = &self.pools[own];
        let blackout = zone.tripped as f64 >= BLACKOUT * zone.members.len() as f64;
        let failing =
            zone.failing.get(self.now, SURPLUS.1) > ZONE_FAILING + self.settings.cross_zone_cost;
        zone.healthy() >= MIN_HEALTHY && !blackout && !failing && !self.overloaded(zone, zone.size)
    }

    /// Another zone for a call that the own zone, though healthy, has no room for: where it has more traffic
    /// than its servers can carry, calls get late at all of them, and a caller with few calls holds too few
    /// to see it. Only the surplus crosses: as large a part of the calls as the own zone is later.
    fn surplus_zone(&mut self, own: usize) -> Option<usize> {
        if self.pools[own].lateness.calls < KNOWN {
            return None;
        }
        let now = self.now;
        let sound = |pool: &Pool| {
            pool.healthy() >= MIN_HEALTHY && pool.failing.get(now, SURPLUS.1) < BLACKOUT
        };
        let away = std::mem::take(&mut self.away);
        let zone =
            self.random_zone(|zone, pool| zone != own && !away.contains(&zone) && sound(pool));
        self.away = away;
        let zone = zone?;
        let calm = self.pools[own].lateness.calm;
        let late = |zone: usize| self.pools[zone].expected(calm, self.now, SURPLUS.1);
        let least = SURPLUS_GAIN.0 * self.settings.cross_zone_cost + SURPLUS_GAIN.1;
        let gain = late(own) - late(zone) - least;
        Some(zone).filter(|_| self.rng.f64() < SURPLUS.0 * gain)
    }

    /// A random one of the zones that will do, larger ones more often.
    fn random_zone(&mut self, will_do: impl Fn(usize, &Pool) -> bool) -> Option<usize> {
        let (all, zones) = self.pools.split_last()?;
        let (start, count) = (
            self.rng.usize(..all.members.len().max(1)),
            all.members.len(),
        );
        let mut drawn = (start..start + count).map(|at| self.servers[all.members[at % count]].zone);
        drawn.find(|&zone| zones.get(zone).is_some_and(|pool| will_do(zone, pool)))
    }

    /// Whether a zone holds far more calls than if it answered as fast as in calm times. A caller with few
    /// calls would never reach a fixed threshold.
    fn overloaded(&self, zone: &Pool, normal_size: f64) -> bool {
        if self.overall.calls < KNOWN {
            return false; // at a cold start nothing is calm yet, and every zone would be left at once
        }
        let calm = self.calm_in_flight() * zone.size / normal_size.max(f64::MIN_POSITIVE);
        f64::from(zone.in_flight)
            > (ZONE_RISE.0 * calm + ZONE_RISE.1 * calm.sqrt()).max(ZONE_RISE.2)
    }

    /// Calls that would be in flight if all were answered as fast as in calm times (Little's law).
    fn calm_in_flight(&self) -> f64 {
        self.served.per_second(self.now, RATE_WINDOW) * self.overall.calm / SECOND as f64
    }

    /// Drops the fully tripped zones, those where half of the calls fail (a small caller finds each server by
    /// itself), and the worst over-loaded one. If any was dropped: one of the rest, larger ones more often.
    fn zone_after_avoidance(&mut self, own: usize) -> Option<usize> {
        let (all, zones) = self.pools.split_last()?;
        let normal = zones
            .get(own)
            .filter(|zone| zone.size > 0.0)
            .unwrap_or(all)
            .size;
        let over = |z: &usize| zones[*z].healthy() > 0 && self.overloaded(&zones[*z], normal);
        let by_load = |a: &usize, b: &usize| zones[*a].load().total_cmp(&zones[*b].load());
        let worst = (0..zones.len()).filter(over).max_by(by_load);
        let now = self.now;
        let sound = |pool: &Pool| pool.healthy() > 0 && pool.failing.get(now, SURPLUS.1) < BLACKOUT;
        let away = self.away.clone();
        let stays =
            |zone: usize, pool: &Pool| sound(pool) && Some(zone) != worst && !away.contains(&zone);
        if zones
            .iter()
            .enumerate()
            .all(|(zone, pool)| stays(zone, pool) || pool.members.is_empty())
        {
            return None;
        }
        self.random_zone(stays)
    }

    fn pick(&mut self, pool: usize, request: &Request) -> Option<usize> {
        let (count, start) = (self.pools[pool].members.len(), self.pools[pool].cursor);
        let share =
            LOAD_RISE * self.calm_in_flight() / self.pools[pool].size.max(f64::MIN_POSITIVE);
        let (mut proposals, mut spare, mut doubtful, mut next) = (0, None, None, None);
        for position in (start + 1..).take(ROUNDS * count).map(|step| step % count) {
            let at = self.pools[pool].members[position];
            if !self.is_candidate(pool, at, request) {
                continue;
            }
            next = next.or(Some(position));
            let unsure = !self.repeatable(request.class);
            let wary = unsure && (self.excess_failing(at, 2.0) > WARY || self.told_of(at) <= TRIED);
            // Where the fleet has few try a zone, those try it: each trial that is due goes.
            let zone = self.servers[at].zone;
            let tried =
                self.servers[at].breaker.tripped && self.pools[zone].told.share(self.now) < 1.0;
            if wary || self.away.contains(&zone) || !(self.takes_turn(pool, at) || tried) {
                doubtful =
                    doubtful.or(Some(position).filter(|_| !self.servers[at].breaker.tripped));
                continue;
            }
            let server = &self.servers[at];
            let refusing = self.now < server.full_until || self.lacks_connection(at);
            let full =
                refusing || f64::from(server.in_flight) >= (share * server.size).ceil().max(1.0);
            if !full && self.breaker_admits(at, request.class) {
                self.pools[pool].cursor = position;
                return Some(at);
            }
            spare = spare.or(Some(position).filter(|_| !server.breaker.tripped && !refusing));
            proposals += 1;
            if proposals > PROPOSALS {
                break;
            }
        }
        // The fallback only guarantees a quick return: better an over-full server than a tripped or refusing
        // one, and better one of another zone than those.
        let spare = spare.or(doubtful);
        let fallback = if pool == self.settings.zones {
            spare.or(next)?
        } else {
            spare?
        };
        self.pools[pool].cursor = fallback;
        Some(self.pools[pool].members[fallback])
    }

    /// Whether a call would need a connection that its server did not let us have lately. Guards against
    /// servers that accept fewer than usual: each try costs the whole time of a failed connection.
    fn lacks_connection(&self, at: usize) -> bool {
        let server = &self.servers[at];
        let Some((limit, since)) = server.conn_limit else {
            return false;
        };
        let room = Duration::from(limit) + self.now.saturating_sub(since) / CONN_GROWTH;
        server.open <= server.in_flight && Duration::from(server.in_flight) >= room
    }

    /// Whether a server may be sent to at all. Drained and gone ones are in no pool.
    fn is_candidate(&mut self, pool: usize, at: usize, request: &Request) -> bool {
        let again = request.sent.is_some_and(|(last, _)| last == at);
        let others = self.pools[pool].members.len() > 1;
        !(again && others) && self.in_group(at, request) && self.cold_budget_allows(pool, at)
    }

    /// A keyed request that may have run stays with the servers that drop its repeats.
    fn in_group(&self, at: usize, request: &Request) -> bool {
        let server = &self.servers[at];
        let first = request
            .may_have_run
            .map_or(server, |(first, _)| &self.servers[first]);
        match self.settings.classes[request.class].effect {
            Effect::Keyed(DedupScope::Zone, _) => first.zone == server.zone,
            Effect::Keyed(DedupScope::Cell, _) => first.cell == server.cell,
            _ => true,
        }
    }

    /// Slow start. A cold server's budget grows with time, by its share of the calls that this balancer gets
    /// answered, times its warmth: what is asked for in an overload is more than even warm servers can do. As
    /// all siblings do likewise, the sum stays near what it can do.
    fn cold_budget_allows(&mut self, pool: usize, at: usize) -> bool {
        let warmth = self.warmth(at);
        if !self.has_budget(at) {
            return true;
        }
        // Where servers tell their load before they get a call, a busy cold one is seen: half the multiple
        // that pushes it over is safe, and its share of proposals alone would leave it idle.
        let ease = if self.asks() {
            (self.settings.slow_start_overload / 2.0).max(1.0)
        } else {
            1.0
        };
        let served = self.served.per_second(self.now, RATE_WINDOW);
        // A balancer that has just started has had nothing answered: where all servers are cold as well,
        // after a release, nothing would ever be. It goes by what it takes on until it knows better.
        let fresh = self.now < self.fresh_until;
        let known = if fresh {
            served.max(self.taken_on.per_second(self.now, RATE_WINDOW))
        } else {
            served
        };
        let share = known * ease / self.pools[pool].size.max(f64::MIN_POSITIVE);
        let beyond = if warmth < 1.0 {
            1.0
        } else {
            COLD_PART * self.settings.slow_start_overload
        };
        let rate = warmth * self.cold_share(self.servers[at].zone, share) * beyond;
        let server = &mut self.servers[at];
        let passed = (self.now - server.budget_at) as f64 / SECOND as f64;
        server.budget = (server.budget + rate * server.size * passed).min(1.0);
        server.budget_at = self.now;
        server.budget >= 1.0
    }

    /// What a warm server of a zone may be sent, for each unit of its size: its share of the answers of late,
    /// or what the zone is known to have borne: after an outage nothing was answered lately, and by that
    /// alone all that return cold would be kept waiting past their return. Where most of all zones is cold no
    /// warm one takes the rest: what they bore was less than they can do, and a part of the multiple that
    /// pushes over is safe. Beyond that a zone's pace grows while its answers are in time, up to all that is
    /// asked for.
    fn cold_share(&mut self, zone: usize, share: f64) -> f64 {
        let all = self.settings.zones;
        if self.now >= self.pools[all].warm_at.saturating_add(WARM_EVERY) {
            let members = &self.pools[all].members;
            let warm = members
                .iter()
                .map(|&at| self.servers[at].size * self.warmth(at))
                .sum();
            (self.pools[all].warm, self.pools[all].warm_at) = (warm, self.now);
        }
        let most = (self.pools[all].size / self.pools[all].warm.max(f64::MIN_POSITIVE)).max(1.0);
        let pool = &mut self.pools[zone];
        pool.pace = pool.pace.clamp(1.0, most);
        let safe = (COLD_PART * self.settings.slow_start_overload).clamp(1.0, most);
        (share * pool.pace).max(pool.proven * safe.max(pool.pace))
    }

    /// Whether a server's new calls are budgeted: while it is cold, and as long again while calls have
    /// nowhere to go. Where budgets alone held an overload back, all of it would come in the instant in which
    /// they end.
    fn has_budget(&self, at: usize) -> bool {
        let held_back = self.now < self.held_back_at.saturating_add(HELD_BACK);
        let until = self.servers[at]
            .started
            .map_or(0, |from| from + 2 * self.settings.slow_start_window);
        held_back && self.now < until || self.warmth(at) < 1.0
    }

    /// Part of its capacity that a server surely has by now: it may warm up faster, but never slower.
    fn warmth(&self, at: usize) -> f64 {
        let Some(started) = self.servers[at].started else {
            return 1.0;
        };
        let age =
            self.now.saturating_sub(started) as f64 / self.settings.slow_start_window.max(1) as f64;
        (self.settings.slow_start_capacity + (1.0 - self.settings.slow_start_capacity) * age)
            .min(1.0)
    }

    /// Unequal servers: a smaller or slower one takes a fraction of the turns that the best takes; in an
    /// overload the slow ones would else be swamped while quick ones idle. One that fails some of its calls,
    /// too few in a row to trip, takes few turns as well. A cold one has its budget instead.
    fn takes_turn(&mut self, pool: usize, at: usize) -> bool {
        let (warm, sound) = (self.warmth(at) >= 1.0, 1.0 - self.excess_failing(at, 1.0));
        let told = self.told_of(at);
        let server = &mut self.servers[at];
        let worth =
            server.size * server.slowness.max(QUICKEST).powi(-2) * sound.powi(SOUND_POWER) * told;
        // The best one takes each turn; who that was is forgotten, as it may be no more.
        let best = &mut self.pools[pool].best;
        *best = worth.max(*best * BEST_KEPT);
        server.turn += worth / best.max(f64::MIN_POSITIVE);
        let takes = server.turn >= 1.0 - 1e-9;
        server.turn -= if takes { 1.0 } else { 0.0 };
        takes || !warm && told >= 1.0
    }

    /// The share of its new work that the fleet finds right for a server.
    fn told_of(&self, at: usize) -> f64 {
        self.servers[at].told.share(self.now)
    }

    /// By how much more of its calls fail than of all, and than so many of the deviations that chance gives
    /// such an average: what fails behind all servers is none's own fault.
    fn excess_failing(&self, at: usize, deviations: f64) -> f64 {
        let chance = FAILING_GAIN / (2.0 - FAILING_GAIN) * self.failing * (1.0 - self.failing);
        let usual = self.failing + deviations * chance.max(0.0).sqrt();
        (self.servers[at].failing.get(self.now, SURPLUS.1) - usual).clamp(0.0, 1.0)
    }

    // ---- Where load is told on request only: the next servers in turn are asked before a call is sent ----

    fn asks(&self) -> bool {
        let affordable = ASKED as f64 * self.settings.probe_cost <= ASK_SPEND;
        affordable
            && self.settings.probes_for_load
            && self.settings.in_flight_report_field.is_some()
    }

    fn ask(&mut self, id: RequestId, request: Request, pool: usize, first: usize) {
        let mut proposals = vec![(first, None)];
        for _ in 0..2 * ASKED {
            match self.pick(pool, &request) {
                Some(_) if proposals.len() == ASKED => break,
                Some(at) if proposals.iter().all(|&(other, _)| other != at) => {
                    proposals.push((at, None))
                }
                Some(_) => {} // a quick one has turns more often
                None => break,
            }
        }
        if proposals.len() == 1 {
            return self.send(id, request, first);
        }
        let probes = proposals
            .iter()
            .map(|&(at, _)| Action::Probe(self.servers[at].id));
        self.actions.extend(probes);
        self.actions.push(Action::SetTimer {
            after: ASK_WAIT,
            token: ASK_TOKEN | u64::from(id.0),
        });
        self.asking.insert(id, Asking { request, proposals });
    }

    fn on_probed(&mut self, server: ServerId, outcome: Outcome, load: Option<LoadReport>) {
        let figure = |load: LoadReport| {
            Some(f64::from(
                *load.figures[..load.len].get(self.settings.in_flight_report_field?)?,
            ))
        };
        let Some(held) = load.filter(|_| outcome == Outcome::Ok).and_then(figure) else {
            return;
        };
        let Some(&at) = self.index.get(&server) else {
            return;
        };
        let mut done = Vec::new();
        for (&id, asking) in &mut self.asking {
            for proposal in asking
                .proposals
                .iter_mut()
                .filter(|(proposed, _)| *proposed == at)
            {
                proposal.1 = Some(held);
            }
            if asking.proposals.iter().all(|(_, held)| held.is_some()) {
                done.push(id);
            }
        }
        done.sort();
        done.into_iter().for_each(|id| self.on_asked(id));
    }

    /// Sends to the first of the asked that holds the fewest calls, or to the first if none has told.
    fn on_asked(&mut self, id: RequestId) {
        let Some(Asking { request, proposals }) = self.asking.remove(&id) else {
            return;
        };
        let load = |(at, held): (usize, Option<f64>)| {
            held.unwrap_or(f64::INFINITY) / self.servers[at].size
        };
        // Since they were asked, a server may have drained, or the window of a keyed request passed.
        let harmless = self.harmless(&request);
        let ready = proposals
            .into_iter()
            .filter(|&(at, _)| harmless && self.servers[at].ready);
        match ready.min_by(|&a, &b| load(a).total_cmp(&load(b))) {
            Some((_, Some(held))) if self.hopeless(&request, held + 1.0) => {
                self.give_up(id, &request)
            }
            Some((at, held)) => {
                let asked = held.map_or(0.0, |held| held + 1.0);
                self.send(id, Request { asked, ..request }, at);
            }
            None => self.give_up(id, &request),
        }
    }

    /// Whether the answer would come too late behind so many calls: where work can't be stopped, it would
    /// hold up the next for nothing. Deeper tiers finish what was begun.
    fn hopeless(&self, request: &Request, held: f64) -> bool {
        let left = request.deadline.saturating_sub(self.now) as f64;
        self.settings.tier == 0 && self.per_held.calls >= KNOWN && held * self.per_held.mean > left
    }

    // ---- Circuit breakers ----

    /// Closed, or half-open with no trial out. A trial may be lost, so it is left to calls that can be
    /// repeated, unless none came by for another open time.
    fn breaker_admits(&self, at: usize, class: usize) -> bool {
        let breaker = &self.servers[at].breaker;
        let patience = if self.repeatable(class) {
            0
        } else {
            doubling(OPEN, breaker.opens)
        };
        !breaker.tripped
            || (!breaker.trial && self.now >= breaker.open_until.saturating_add(patience))
    }

    fn breaker_failure(&mut self, at: usize) {
        self.failing += GAIN * (1.0 - self.failing);
        self.learn_failing(at, true);
        let breaker = &mut self.servers[at].breaker;
        let on_probation = breaker.opens > 0 && breaker.successes < PROBATION.0;
        let (false_trip, least) = if on_probation {
            (FALSE_TRIP.1, 1.0)
        } else {
            (FALSE_TRIP.0, ROW.0)
        };
        let row = (false_trip.ln() / self.failing.clamp(0.001, 0.999).ln())
            .ceil()
            .clamp(least, ROW.1);
        (breaker.failures, breaker.successes) = (breaker.failures + 1, 0);
        if f64::from(breaker.failures) >= row {
            (breaker.failures, breaker.opens) = (0, breaker.opens + 1);
            breaker.open_until = self.now + doubling(OPEN, breaker.opens);
            let (opens, server) = (breaker.opens, self.servers[at].id.0);
            self.set_tripped(at, true);
            self.log(
                Topic::Breaker,
                format!("breaker of server {server} opened, {opens} times lately"),
            );
        }
    }

    fn breaker_success(&mut self, at: usize) {
        self.failing -= GAIN * self.failing;
        self.learn_failing(at, false);
        let breaker = &mut self.servers[at].breaker;
        (breaker.failures, breaker.successes) = (0, breaker.successes.saturating_add(1));
        breaker.opens = if breaker.successes >= PROBATION.1 {
            0
        } else {
            breaker.opens
        };
        self.set_tripped(at, false);
    }

    fn learn_failing(&mut self, at: usize, failed: bool) {
        let server = &mut self.servers[at];
        server
            .failing
            .learn(failed, self.now, FAILING_GAIN, SURPLUS.1);
        self.pools[server.zone]
            .failing
            .learn(failed, self.now, GAIN, SURPLUS.1);
    }

    fn set_tripped(&mut self, at: usize, tripped: bool) {
        let server = &mut self.servers[at];
        if server.breaker.tripped != tripped && server.ready {
            let step = |pool: &mut Pool| {
                pool.tripped = pool.tripped + usize::from(tripped) - usize::from(!tripped)
            };
            both(&mut self.pools, server.zone).for_each(step);
        }
        server.breaker.tripped = tripped;
    }

    fn count_in_flight(&mut self, at: usize, up: bool) {
        let step = |count: &mut u32| {
            *count = if up {
                *count + 1
            } else {
                count.saturating_sub(1)
            }
        };
        let server = &mut self.servers[at];
        step(&mut server.in_flight);
        if server.ready {
            both(&mut self.pools, server.zone).for_each(|pool| step(&mut pool.in_flight));
        }
    }

    // ---- Outcomes ----

    fn on_started(&mut self, id: RequestId, attempt: u32) {
        let begun = |request: &&mut Request| request.attempts == attempt + 1 && !request.closed;
        let Some(request) = self.requests.get_mut(&id).filter(begun) else {
            return;
        };
        // An answer that has begun is not late any more, and its rest comes at its caller's pace.
        (request.marks, request.closed, request.begun) = (2, true, true);
        let (class, per_aim, sent) = (request.class, request.per_aim, request.sent);
        self.answered(per_aim, true);
        if let Some((at, since)) = sent {
            self.learn_latency(at, class, self.now - since);
        }
    }

    /// A server that slows down or hangs shows by calls that don't end, long before they time out.
    fn on_late(&mut self, token: u64) {
        let id = RequestId(token as u32);
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.closed) else {
            return;
        };
        let Some((at, sent)) = request
            .sent
            .filter(|_| u64::from(request.attempts) == (token >> 32) + 1)
        else {
            return;
        };
        request.marks += 1;
        if request.marks == 2 {
            let idle = request.idle;
            return self.failure(at, idle);
        } else if request.marks > 2 {
            return;
        }
        // The call is stuck at its server: others must not be shed for it.
        let (class, held) = (request.class, std::mem::take(&mut request.per_aim));
        self.hold(-held);
        self.learn_slowness(at, class, self.now - sent);
        let after = self.classes[class]
            .above(OVERDUE_DEVS - LATE_DEVS)
            .max(self.never_overdue(class));
        self.actions.push(Action::SetTimer { after, token });
    }

    fn learn_latency(&mut self, at: usize, class: usize, took: Duration) {
        self.learn_slowness(at, class, took);
        self.classes[class].learn(took as f64, GAIN, CALM);
        self.overall.learn(took as f64, GAIN, CALM);
    }

    fn learn_slowness(&mut self, at: usize, class: usize, took: Duration) {
        let (latency, slowness) = (&self.classes[class], &mut self.servers[at].slowness);
        if latency.calls >= KNOWN {
            *slowness += SLOW_GAIN * (took as f64 / latency.mean - *slowness).min(4.0);
        }
    }

    fn on_client_gone(&mut self, id: RequestId) {
        if let Some(asking) = self.asking.remove(&id) {
            return self.answered(asking.request.per_aim, false);
        }
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.closed) else {
            return;
        };
        request.closed = true;
        if self.settings.may_cancel {
            self.actions.push(Action::Cancel {
                id,
                attempt: request.attempts - 1,
            });
        }
        let per_aim = request.per_aim;
        self.answered(per_aim, true);
    }

    fn on_ended(&mut self, id: RequestId, end: AttemptEnd) {
        if self
            .requests
            .get(&id)
            .is_none_or(|request| request.attempts != end.attempt + 1)
        {
            return;
        }
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let Some((at, _)) = request.sent else { return };
        self.count_in_flight(at, false);
        let server = &mut self.servers[at];
        server.idle_from = self.now;
        // The connections of a burst would stay for long, and keep those of other balancers out.
        let spare = (server.peak(self.now, SPARE.1) - SPARE.0).max(SPARE.0);
        if f64::from(server.open) > f64::from(server.in_flight) + spare {
            self.close_idle(at);
        }
        self.servers[at].breaker.trial &= !request.trial;
        self.learn(&request, at, &end);
        if request.closed {
            return;
        }
        if end.closed {
            return self.answered(request.per_aim, true);
        }
        if !end.outcome.never_ran() {
            request.may_have_run = request.may_have_run.or(request.sent);
        }
        if self.may_retry(&request, end.outcome) {
            self.attempt(id, request);
        } else {
            self.give_up(id, &request);
        }
    }

    fn learn(&mut self, request: &Request, at: usize, end: &AttemptEnd) {
        let took = end.elapsed as f64;
        let timed = matches!(
            end.outcome,
            Outcome::Ok | Outcome::Cancelled | Outcome::Timeout | Outcome::Full
        );
        if timed && !request.begun {
            let least = if end.outcome == Outcome::Full {
                1.0
            } else {
                0.0
            };
            let lateness = (took
                / self.settings.classes[request.class].latency_target.max(1) as f64)
                .max(least);
            let (warm, zone) = (self.warmth(at) >= 1.0, self.servers[at].zone);
            self.pools[zone].learn_lateness(lateness, self.now, LATE_GAIN, CALM);
            if !warm {
                let doubles = PACE_DOUBLES
                    .0
                    .max((PACE_DOUBLES.1 * self.overall.mean) as Duration);
                self.pools[zone].learn_pace(lateness, self.now, PACED, doubles);
            }
        }
        let alive = self.now < self.servers[at].answered_at.saturating_add(ALIVE);
        match end.outcome {
            Outcome::Ok => {
                self.served.add(self.now, 1.0, RATE_WINDOW);
                self.pools[self.servers[at].zone].prove(self.now, RATE_WINDOW, PROVEN_OVER);
                self.servers[at].answered_at = self.now;
                self.idle_risk
                    .learn(request.idle, false, self.now, IDLE_GAIN.0, IDLE_GAIN.1);
                self.breaker_success(at);
            }
            // A limit that is short even for a sound server is the caller's fault.
            Outcome::Timeout
                if request.marks >= 2 || took < 2.0 * self.classes[request.class].mean => {}
            // Answered at once, refusals never fill the limit: the only server that is not at its limit
            // would get all turns. It is at its limit until a call has had the time to end.
            Outcome::Full => self.servers[at].full_until = self.now + self.overall.calm as Duration,
            // One that answers has its connections all taken: it is at its limit with those it let us have.
            Outcome::ConnectFailed if alive => {
                let server = &mut self.servers[at];
                (server.open, server.conn_limit) =
                    (server.in_flight, Some((server.in_flight, self.now)));
            }
            Outcome::Cancelled | Outcome::Moot | Outcome::Declined => {}
            Outcome::Error | Outcome::ConnectFailed => self.breaker_failure(at),
            _ => self.failure(at, request.idle),
        }
        if matches!(end.outcome, Outcome::Ok | Outcome::Timeout) {
            if request.begun {
                return; // it was learned as it began
            }
            self.learn_latency(at, request.class, end.elapsed);
            if request.asked > 0.0 {
                self.per_held.learn(took / request.asked, GAIN, CALM);
            }
        }
    }

    /// A call without an answer tells of its server, or of its connection where idle ones fail.
    fn failure(&mut self, at: usize, idle: usize) {
        self.idle_risk
            .learn(idle, true, self.now, IDLE_GAIN.0, IDLE_GAIN.1);
        if idle > 0 {
            self.close_idle(at); // the next failure there is not for this reason
        }
        if idle == 0 || !self.idle_fails(idle, IDLE_RISK.1) {
            self.breaker_failure(at);
        }
    }

    /// Whether another attempt can do no harm: rule 2, but for the group of servers.
    fn harmless(&self, request: &Request) -> bool {
        match (
            self.settings.classes[request.class].effect,
            request.may_have_run,
        ) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Unsafe, _) => false,
            (Effect::Keyed(..), Some(_)) => self.now < self.repeat_until(request),
        }
    }

    /// When a repeat of keyed work must have begun: servers may have forgotten the first attempt by then.
    fn repeat_until(&self, request: &Request) -> Time {
        match (
            self.settings.classes[request.class].effect,
            request.may_have_run,
        ) {
            (Effect::Keyed(_, window), Some((_, sent))) => sent.saturating_add(window),
            _ => Time::MAX,
        }
    }

    fn may_retry(&mut self, request: &Request, ended: Outcome) -> bool {
        let harmless = self.harmless(request);
        let in_time = request.deadline.saturating_sub(self.now) as f64
            > self.classes[request.class].mean / 2.0;
        // What never ran is bounded too: where nothing can be reached, each call would make all its attempts.
        let attempts_left = request.attempts < request.most;
        // What was never sent has cost no server anything: calls that wait for a stream on a connection whose
        // server is told to drain come back all at once, and would be refused though others have room. Nor
        // has a connection that did not come up: what a request earns pays for one. Many callers with few
        // calls each fill the tables of servers, and were refused for that though others had room.
        let price = match ended {
            Outcome::Moot => 0.0,
            Outcome::ConnectFailed => RETRY_BUDGET.0,
            _ => 1.0,
        };
        let granted = harmless && in_time && attempts_left && self.retry_budget >= price;
        self.retry_budget -= if granted { price } else { 0.0 };
        granted
    }

    // ---- Load shedding ----

    /// Whether a new request is refused at once: the lowest worth first, as much of the work as the shed
    /// level says. Deeper tiers finish what was begun.
    fn sheds(&mut self, class: usize, tenant: usize) -> bool {
        if self.settings.tier > 0 {
            return false;
        }
        self.shed.demand[class].add(self.now, self.classes[class].mean.max(1.0), RATE_WINDOW);
        if let Some(calls) = self.shed.tenants.get_mut(tenant) {
            calls.add(self.now, 1.0, RATE_WINDOW);
        }
        self.hold(0.0);
        let (lateness, answers) = self.expected_lateness();
        let noise = SHED_NOISE / answers.max(1.0).sqrt();
        let level = (lateness - SHED_BETWEEN.0 - noise) / (SHED_BETWEEN.1 - SHED_BETWEEN.0);
        if (level > 0.0) != self.shedding {
            self.shedding = level > 0.0;
            let done = if self.shedding { "began" } else { "ended" };
            self.log(
                Topic::Shedding,
                format!("shedding {done}: answers take {lateness:.2} of their aim"),
            );
        }
        level > 0.0 && self.is_of_least_worth(level.min(SHED_MOST), class, tenant)
    }

    /// Whether a request is among the part of the work that is worth least; chance decides among equals.
    fn is_of_least_worth(&mut self, part: f64, class: usize, tenant: usize) -> bool {
        let tenants = self.tenants_worth();
        let worth = self.worth(class) * tenants.get(tenant).map_or(1.0, |(_, worth)| *worth);
        let (mut below, mut same, mut total) = (0.0, 0.0, 0.0);
        for (other, demand) in self.shed.demand.iter().enumerate() {
            let (work, each) = (demand.get(self.now, RATE_WINDOW), self.worth(other));
            for (share, of_tenant) in &tenants {
                let (work, other) = (work * share, each * of_tenant);
                total += work;
                below += if other < worth { work } else { 0.0 };
                same += if other == worth { work } else { 0.0 };
            }
        }
        self.rng.f64() * same < part * total - below
    }

    /// For each tenant its share of the calls, and the part of its worth that one of its calls can be
    /// expected to have. What is within a quota is told by what the others send for theirs: where callers
    /// come again, or come unevenly to balancers, all tenants are over their quotas alike, and none shows by
    /// the rate.
    fn tenants_worth(&self) -> Vec<(f64, f64)> {
        let calls: Vec<_> = self
            .shed
            .tenants
            .iter()
            .map(|calls| calls.get(self.now, RATE_WINDOW))
            .collect();
        let quotas = || {
            self.settings
                .tenants
                .iter()
                .map(|tenant| tenant.quota_rps.max(f64::MIN_POSITIVE))
        };
        let (all, quota_of_all) = (calls.iter().sum::<f64>(), quotas().sum::<f64>());
        if all <= 0.0 {
            return vec![(1.0, 1.0)]; // no tenants are told apart
        }
        let least = RATE_WINDOW as f64 / SECOND as f64 / f64::from(self.settings.balancers.max(1));
        let worth = |(calls, quota): (&f64, f64)| {
            let others = (all - calls) / (quota_of_all - quota).max(f64::MIN_POSITIVE);
            let within = (others.max(least) * quota / calls.max(f64::MIN_POSITIVE)).min(1.0);
            (
                calls / all,
                within + (1.0 - within) * self.settings.over_quota_value,
            )
        };
        calls.iter().zip(quotas()).map(worth).collect()
    }

    /// Time to an answer, as part of the aim, that a new request can expect, and the answers it rests on:
    /// the requests held over the answers a second. Unlike the latency of answers, it shows a jam while that
    /// builds up. In a full jam no answers come, so fewer than tell more than chance are taken for that many.
    fn expected_lateness(&self) -> (f64, f64) {
        let window = self.answer_window();
        let answers = self.shed.answers.get(self.now, window);
        (
            self.shed.held.get(self.now, window) / answers.max(f64::from(KNOWN)),
            answers,
        )
    }

    /// A caller with few calls needs longer to see enough answers, or a jam looks like chance to it.
    fn answer_window(&self) -> Duration {
        let aim = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_target)
            .max()
            .unwrap_or(0);
        let most = aim
            .saturating_mul(ANSWER_WINDOW.1)
            .clamp(ANSWER_WINDOW.0, RATE_WINDOW);
        let rate = self.served.per_second(self.now, RATE_WINDOW).max(1.0);
        ((f64::from(KNOWN) / rate * SECOND as f64) as Duration).clamp(ANSWER_WINDOW.0, most)
    }

    fn hold(&mut self, change: f64) {
        self.shed.hold(self.now, change, self.answer_window());
    }

    /// A request is over. Spoilt answers count like others: they hold nothing up. What no server has worked
    /// on does not: quick refusals would pass for quick answers.
    fn answered(&mut self, per_aim: f64, worked_on: bool) {
        self.hold(-per_aim);
        self.shed.answers.add(
            self.now,
            if worked_on { 1.0 } else { 0.0 },
            self.answer_window(),
        );
    }

    /// Worth for each unit of work of a class.
    fn worth(&self, class: usize) -> f64 {
        let work = if self.settings.value_by_work {
            1.0
        } else {
            self.classes[class].mean.max(1.0)
        };
        self.settings.classes[class].value / work
    }
}

/// The pools that a server of a zone is in.
fn both(pools: &mut [Pool], zone: usize) -> impl Iterator<Item = &mut Pool> {
    let all = pools.len() - 1;
    pools
        .iter_mut()
        .enumerate()
        .filter(move |(at, _)| *at == zone || *at == all)
        .map(|(_, pool)| pool)
}

/// A wait that doubles with each failure, up to a cap.
fn doubling((first, most): (Duration, Duration), failures: u32) -> Duration {
    (first << failures.saturating_sub(1).min(8)).min(most)
}
