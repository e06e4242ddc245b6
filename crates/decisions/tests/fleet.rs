//! Fleet simulation of rule 4: many independent senders together do not overload a server in slow
//! start.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use woadstall_decisions::Balancer;
use woadstall_decisions::api::*;

const MS: u64 = 1_000_000;
const SECOND: u64 = 1000 * MS;
const START_CAPACITY: f64 = 0.3;
const SLOW_START: u64 = 8_400 * MS;
const OVERLOAD: f64 = 2.5;
/// Start time of the senders.
const EPOCH: u64 = 1_000 * SECOND;
/// Length of the windows over which the calls to a server are counted.
const WINDOW: u64 = 3 * SECOND;

fn settings(balancers: u32) -> Settings {
    let class = |effect| Class {
        latency_target: 600 * MS,
        latency_target_stretch: 0.0,
        deadline: 1500 * MS,
        effect,
        late_value: 0.5,
        value: 1.0,
    };
    Settings {
        classes: vec![
            class(Effect::Unsafe),
            class(Effect::Keyed(DedupScope::All, 3 * SECOND)),
        ],
        tenants: vec![],
        over_quota_value: 0.2,
        value_by_work: false,
        zone: ZoneId(0),
        zones: 1,
        balancers,
        tier: 1,
        propagates_deadline: true,
        subscribes_to_discovery: false,
        subscribe_within: 0,
        may_cancel: true,
        max_retry_after: SECOND,
        max_attempts: 6,
        idle_timeout: 60 * SECOND,
        slow_start_capacity: START_CAPACITY,
        slow_start_overload: OVERLOAD,
        slow_start_window: SLOW_START,
        in_flight_report_field: None,
        probes_for_load: false,
        cross_zone_cost: 0.2,
        probe_cost: 0.0,
    }
}

/// Traffic of one kind of sender.
#[derive(Clone, Copy)]
struct SenderKind {
    count: u32,
    /// Calls per second of each sender, at random times.
    rate: f64,
    /// Number of calls that every sender sends at once, and the interval between these bursts. The
    /// bursts of all senders coincide.
    burst: Option<(u32, u64)>,
    /// Time after which each sender is replaced by a new one.
    lifetime: Option<u64>,
    /// Time from the start of the senders to the first calls.
    first_call_after: u64,
}

impl SenderKind {
    /// Calls per second of all senders of the kind.
    fn total_rate(&self) -> f64 {
        let calls_per_second = |(calls, every)| f64::from(calls) * 1e9 / every as f64;
        f64::from(self.count) * (self.rate + self.burst.map_or(0.0, calls_per_second))
    }
}

/// Default values for the kinds of senders: no calls, bursts or replacements.
const IDLE: SenderKind = SenderKind {
    count: 0,
    rate: 0.0,
    burst: None,
    lifetime: None,
    first_call_after: 0,
};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Restart,
    Replace(usize),
    Call(usize),
    Burst(usize),
    AttemptEnd(usize, u32),
    Timer(usize, u64),
}

/// Parameters of a run.
struct Scenario<'a> {
    kinds: &'a [SenderKind],
    servers: u32,
    /// Number of servers that restart, from the first one on.
    warming: u32,
    /// Call rate, as a part of the capacity of all servers.
    load: f64,
    /// Time from the start of the senders to the restart of the servers; 0 if they start together.
    restart: u64,
}

struct Sender {
    balancer: Balancer,
    kind: SenderKind,
}

struct Fleet {
    senders: Vec<Sender>,
    settings: Settings,
    servers: u32,
    /// Calls per second that a warm server can handle.
    capacity: f64,
    /// Servers that restart.
    warming: Vec<u32>,
    /// Time of the restart; `None` before it.
    restarted_at: Option<u64>,
    /// Future events, ordered by time and by the order in which they were scheduled.
    queue: BinaryHeap<Reverse<(u64, u64, FleetEvent)>>,
    /// Number of events scheduled so far.
    scheduled_events: u64,
    last_request_id: u32,
    rng: fastrand::Rng,
    /// Mean time that a server takes for a call.
    service_time: u64,
    /// Times of the calls to each server that restarts.
    sent_at: BTreeMap<u32, Vec<u64>>,
    rejected: u32,
    served: u32,
}

/// Results of a run.
#[derive(Debug)]
struct Outcomes {
    /// Maximum calls to a server in slow start in any window, as a part of its overload limit.
    worst: f64,
    /// Maximum excess of the calls in any window over the limit at the window's start plus a margin
    /// for chance, which is twice the root of that limit plus two.
    beyond_chance: f64,
    /// Calls to servers in slow start, to show that these servers are used.
    used: usize,
    served: u32,
    rejected: u32,
}

impl Fleet {
    fn entries(&self) -> Vec<ServerEntry> {
        let entry = |server| ServerEntry {
            server: ServerId(server),
            zone: ZoneId(0),
            cell: 0,
            lifecycle: Lifecycle::Ready,
            size: 1.0,
            started: self.restarted_at.filter(|_| self.warming.contains(&server)),
        };
        (0..self.servers).map(entry).collect()
    }

    fn schedule(&mut self, time: u64, event: FleetEvent) {
        self.scheduled_events += 1;
        self.queue
            .push(Reverse((time, self.scheduled_events, event)));
    }

    fn handle(&mut self, now: u64, sender: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.senders[sender]
            .balancer
            .handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, .. } => {
                    if self.warming.contains(&server.0) {
                        self.sent_at.entry(server.0).or_default().push(now);
                    }
                    let duration = self.service_time / 2 + self.rng.u64(..self.service_time);
                    self.schedule(now + duration, FleetEvent::AttemptEnd(sender, id.0));
                }
                Action::SetTimer { after, token } => {
                    self.schedule(now + after, FleetEvent::Timer(sender, token))
                }
                Action::Reject { .. } | Action::Fail(_) => self.rejected += 1,
                _ => {}
            }
        }
    }

    fn call(&mut self, now: u64, sender: usize) {
        self.last_request_id += 1;
        let class = self.rng.usize(..2);
        let time_left = 1500 * MS;
        let parameters = RequestParameters {
            class,
            tenant: 0,
            time_left,
            work: None,
            max_attempts: u32::MAX,
        };
        let id = RequestId(self.last_request_id);
        self.handle(now, sender, Event::Request(id, parameters));
    }

    /// Draws the time between two calls of a sender that sends `rate` calls per second at random.
    fn random_interval(&mut self, rate: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() / rate * SECOND as f64) as u64
    }

    fn new(scenario: &Scenario<'_>, seed: u64) -> Self {
        let senders = scenario.kinds.iter().map(|kind| kind.count).sum();
        let total: f64 = scenario.kinds.iter().map(SenderKind::total_rate).sum();
        Self {
            senders: Vec::new(),
            settings: settings(senders),
            servers: scenario.servers,
            capacity: total / scenario.load / f64::from(scenario.servers),
            warming: (0..scenario.warming).collect(),
            restarted_at: (scenario.restart == 0).then_some(EPOCH),
            queue: BinaryHeap::new(),
            scheduled_events: 0,
            last_request_id: 0,
            rng: fastrand::Rng::with_seed(seed),
            service_time: 100 * MS,
            sent_at: BTreeMap::new(),
            rejected: 0,
            served: 0,
        }
    }

    /// Runs a scenario from the start of its senders until its servers are warm.
    fn run(scenario: &Scenario<'_>, seed: u64) -> Outcomes {
        let mut fleet = Self::new(scenario, seed);
        for &kind in scenario.kinds {
            (0..kind.count).for_each(|_| fleet.add_sender(kind));
        }
        let restart = EPOCH + scenario.restart;
        if scenario.restart > 0 {
            fleet.schedule(restart, FleetEvent::Restart);
        }
        fleet.run_until(restart + SLOW_START + 2 * SECOND);
        fleet.outcomes_since(restart)
    }

    fn add_sender(&mut self, kind: SenderKind) {
        let seed = self.rng.u64(..);
        let balancer = Balancer::new(self.settings.clone(), seed, EPOCH).unwrap();
        self.senders.push(Sender { balancer, kind });
        let sender = self.senders.len() - 1;
        let entries = self.entries();
        self.handle(EPOCH, sender, Event::ServerList(&entries));
        if kind.rate > 0.0 {
            let interval = self.random_interval(kind.rate);
            let time = EPOCH + kind.first_call_after + interval;
            self.schedule(time, FleetEvent::Call(sender));
        }
        if let Some((_, every)) = kind.burst {
            let time = EPOCH + kind.first_call_after.max(every);
            self.schedule(time, FleetEvent::Burst(sender));
        }
        if let Some(lifetime) = kind.lifetime {
            let age = self.rng.u64(..lifetime);
            self.schedule(EPOCH + age, FleetEvent::Replace(sender));
        }
    }

    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            if now > end {
                break;
            }
            match event {
                FleetEvent::Restart => self.restart_servers(now),
                FleetEvent::Replace(sender) => self.replace_sender(now, sender),
                FleetEvent::Call(sender) => {
                    self.call(now, sender);
                    let interval = self.random_interval(self.senders[sender].kind.rate);
                    self.schedule(now + interval, FleetEvent::Call(sender));
                }
                FleetEvent::Burst(sender) => {
                    let (calls, every) = self.senders[sender].kind.burst.unwrap();
                    (0..calls).for_each(|_| self.call(now, sender));
                    self.schedule(now + every, FleetEvent::Burst(sender));
                }
                FleetEvent::AttemptEnd(sender, id) => self.end_attempt(now, sender, id),
                FleetEvent::Timer(sender, token) => {
                    self.handle(now, sender, Event::Timer(token));
                }
            }
        }
    }

    fn restart_servers(&mut self, now: u64) {
        self.restarted_at = Some(now);
        let entries = self.entries();
        for sender in 0..self.senders.len() {
            self.handle(now, sender, Event::ServerListChange(&entries));
        }
    }

    fn replace_sender(&mut self, now: u64, sender: usize) {
        let lifetime = self.senders[sender].kind.lifetime.unwrap();
        let seed = self.rng.u64(..);
        self.senders[sender].balancer = Balancer::new(self.settings.clone(), seed, now).unwrap();
        let entries = self.entries();
        self.handle(now, sender, Event::ServerList(&entries));
        self.schedule(now + lifetime, FleetEvent::Replace(sender));
    }

    fn end_attempt(&mut self, now: u64, sender: usize, id: u32) {
        self.served += 1;
        let end = AttemptEnd {
            attempt: 0,
            outcome: Outcome::Ok,
            elapsed: self.service_time,
            closed: true,
            load: None,
        };
        self.handle(now, sender, Event::AttemptEnded(RequestId(id), end));
    }

    /// Calls per second that a server started at `start` can handle at `time`.
    fn capacity_at(&self, time: u64, start: u64) -> f64 {
        let age = time.saturating_sub(start) as f64;
        let warmth = START_CAPACITY + (1.0 - START_CAPACITY) * age / SLOW_START as f64;
        self.capacity * warmth.min(1.0)
    }

    fn outcomes_since(&self, start: u64) -> Outcomes {
        let (mut worst, mut beyond_chance, mut used) = (0.0_f64, f64::NEG_INFINITY, 0);
        for sent_at in self.sent_at.values() {
            let sent_at: Vec<u64> = sent_at.iter().copied().filter(|at| *at >= start).collect();
            used += sent_at.len();
            for (first, &begin) in sent_at.iter().enumerate() {
                // Calls are counted over a full window, because a short burst may use up its budget
                // early.
                let is_within = |later: &&u64| **later < begin + WINDOW;
                let in_window = sent_at[first..].iter().take_while(is_within).count() as f64;
                let capacity_in_middle = self.capacity_at(begin + WINDOW / 2, start);
                worst =
                    worst.max(in_window / (OVERLOAD * capacity_in_middle * WINDOW as f64 / 1e9));
                let limit = OVERLOAD * self.capacity_at(begin, start) * WINDOW as f64 / 1e9;
                let limit_with_margin = limit + 2.0 * limit.sqrt() + 2.0;
                beyond_chance = beyond_chance.max(in_window - limit_with_margin);
            }
        }
        Outcomes {
            worst,
            beyond_chance,
            used,
            served: self.served,
            rejected: self.rejected,
        }
    }
}

fn check(name: &str, kinds: &[SenderKind], servers: u32, warming: u32, load: f64, restart: u64) {
    let scenario = Scenario {
        kinds,
        servers,
        warming,
        load,
        restart,
    };
    let mut worst = 0.0_f64;
    for seed in 1..=5 {
        let Outcomes {
            worst: worst_of_run,
            used,
            served,
            rejected,
            ..
        } = Fleet::run(&scenario, seed);
        println!(
            "{name}, seed {seed}: {worst_of_run:.2} of the overload limit, {used} calls to servers in slow start, \
             {served} served, {rejected} rejected"
        );
        assert!(used > 0, "{name}: no server in slow start was used");
        worst = worst.max(worst_of_run);
    }
    assert!(
        worst < 1.0,
        "{name}: a server in slow start was sent {worst:.2} of its overload limit"
    );
}

const DAEMON: SenderKind = SenderKind {
    count: 1,
    rate: 30.0,
    ..IDLE
};
const PLUGINS: SenderKind = SenderKind {
    count: 200,
    rate: 2.0,
    ..IDLE
};

#[test]
fn two_hundred_callers_and_a_daemon_do_not_overload_a_restarted_server() {
    check("steady", &[DAEMON, PLUGINS], 10, 1, 0.7, 20 * SECOND);
    check("full", &[DAEMON, PLUGINS], 10, 1, 0.95, 20 * SECOND);
    // Plain round robin would send the server its share of the overload, 1.5 times the capacity of
    // a warm server.
    check("overload", &[DAEMON, PLUGINS], 10, 1, 1.5, 20 * SECOND);
    // The senders must not all send their first call at once: 100 servers get few calls each.
    check(
        "many servers",
        &[
            DAEMON,
            SenderKind {
                count: 800,
                rate: 1.0,
                ..PLUGINS
            },
        ],
        100,
        5,
        1.5,
        20 * SECOND,
    );
    // The server is small relative to the number of senders: the first calls of all senders alone
    // are many times its capacity.
    check(
        "small",
        &[
            DAEMON,
            SenderKind {
                rate: 0.5,
                ..PLUGINS
            },
        ],
        20,
        1,
        0.7,
        20 * SECOND,
    );
}

#[test]
fn short_lived_callers_do_not_overload_a_restarted_server() {
    let brief = SenderKind {
        lifetime: Some(2 * SECOND),
        ..PLUGINS
    };
    check("short-lived", &[DAEMON, brief], 10, 1, 0.7, 20 * SECOND);
    let once = SenderKind {
        lifetime: Some(SECOND / 2),
        ..PLUGINS
    };
    check("one call each", &[DAEMON, once], 10, 1, 0.7, 20 * SECOND);
}

#[test]
fn synchronized_callers_do_not_overload_a_restarted_server() {
    let bursts = SenderKind {
        rate: 0.2,
        burst: Some((5, 3 * SECOND)),
        ..PLUGINS
    };
    check("lock-step", &[DAEMON, bursts], 10, 1, 0.7, 20 * SECOND);
    // The senders are idle during the outage and then all start to send.
    let idle_until_restart = SenderKind {
        rate: 4.0,
        first_call_after: 21 * SECOND,
        ..PLUGINS
    };
    check(
        "idle until restart",
        &[
            SenderKind {
                rate: 100.0,
                ..DAEMON
            },
            idle_until_restart,
        ],
        10,
        1,
        0.7,
        20 * SECOND,
    );
}

#[test]
fn restart_of_all_servers_and_callers_at_once_overloads_no_server() {
    check("release", &[DAEMON, PLUGINS], 10, 10, 0.25, 0);
    check(
        "release of all servers",
        &[DAEMON, PLUGINS],
        10,
        10,
        0.25,
        20 * SECOND,
    );
}

/// Random fleets of 20 to 30 independent senders, with 0.1 to 10 calls per second each, and with
/// one, some or all servers restarting, also together with the senders.
#[test]
fn thirty_senders_stay_within_budget_and_chance_together() {
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.u32(20..=30);
        let rate = 10.0_f64.powf(rng.f64() * 2.0 - 1.0); // 0.1 to 10 calls per second
        let burst = rng
            .bool()
            .then(|| (rng.u32(1..=3), rng.u64(1..=4) * SECOND));
        let lifetime = (rng.u32(..3) == 0).then(|| rng.u64(1..=6) * SECOND);
        let servers = rng.u32(3..=12);
        let warming = if rng.u32(..4) == 0 {
            servers
        } else {
            rng.u32(1..=servers.div_ceil(2))
        };
        let load = 0.3 + 1.2 * rng.f64();
        let restart = if rng.u32(..3) == 0 { 0 } else { 20 * SECOND };
        let kind = SenderKind {
            count,
            rate,
            burst,
            lifetime,
            ..IDLE
        };
        let scenario = Scenario {
            kinds: &[kind],
            servers,
            warming,
            load,
            restart,
        };
        let outcomes = Fleet::run(&scenario, seed);
        println!(
            "seed {seed}: {count} senders at {rate:.2}/s, burst {burst:?}, lifetime {lifetime:?}, {warming} of {servers} warming \
             at load {load:.2}, restart {restart}: {outcomes:?}"
        );
        assert!(outcomes.beyond_chance <= 0.0, "seed {seed}: {outcomes:?}");
    }
}
