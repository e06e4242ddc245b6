//! Many senders that know nothing of each other, and a nodo that has just started: rule 4, by all together.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use woadstall_decisions::Balancer;
use woadstall_decisions::api::*;

const MS: u64 = 1_000_000;
const SECOND: u64 = 1000 * MS;
const START: f64 = 0.3;
const RAMP: u64 = 8_400 * MS;
const TIP: f64 = 2.5;
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
        slow_start_capacity: START,
        slow_start_overload: TIP,
        slow_start_window: RAMP,
        in_flight_report_field: None,
        probes_for_load: false,
        cross_zone_cost: 0.2,
        probe_cost: 0.0,
    }
}

/// How one kind of senders calls.
#[derive(Clone, Copy)]
struct Kind {
    count: u32,
    /// Calls a second of each, at random times.
    rate: f64,
    /// All call so many at once, this often, in lock-step.
    burst: Option<(u32, u64)>,
    /// Each instance is replaced by a fresh one after this time.
    lives: Option<u64>,
    /// The first call comes then.
    from: u64,
}

const STEADY: Kind = Kind {
    count: 0,
    rate: 0.0,
    burst: None,
    lives: None,
    from: 0,
};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    List { cold: Option<u64> },
    Replace(usize),
    Call(usize),
    Burst(usize),
    AttemptEnd(usize, u32, u32),
    Timer(usize, u64),
}

struct Fleet {
    senders: Vec<(Balancer, Kind)>,
    servers: u32,
    /// Calls a second that a warm server can do.
    capacity: f64,
    cold: Vec<u32>,
    queue: BinaryHeap<Reverse<(u64, u64, What)>>,
    next: u64,
    ids: u32,
    rng: fastrand::Rng,
    took: u64,
    /// When each cold server was sent to.
    sent: BTreeMap<u32, Vec<u64>>,
    refused: u32,
    served: u32,
}

/// What came of a run.
#[derive(Debug)]
struct Outcomes {
    /// The most that a cold server was sent in any window, as part of what pushes it over.
    worst: f64,
    /// By how many calls that was more, in any window, than its budget at the window's start and what is put down to
    /// chance: twice its root, and two.
    beyond_chance: f64,
    /// Calls to cold servers, to show that they are used at all.
    used: usize,
    served: u32,
    refused: u32,
}

impl Fleet {
    fn entries(&self, since: Option<u64>) -> Vec<ServerEntry> {
        let entry = |server| ServerEntry {
            server: ServerId(server),
            zone: ZoneId(0),
            cell: 0,
            lifecycle: Lifecycle::Ready,
            size: 1.0,
            started: since.filter(|_| self.cold.contains(&server)),
        };
        (0..self.servers).map(entry).collect()
    }

    fn at(&mut self, time: u64, what: What) {
        self.next += 1;
        self.queue.push(Reverse((time, self.next, what)));
    }

    fn tell(&mut self, now: u64, sender: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.senders[sender].0.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, .. } => {
                    if self.cold.contains(&server.0) {
                        self.sent.entry(server.0).or_default().push(now);
                    }
                    let took = self.took / 2 + self.rng.u64(..self.took);
                    self.at(now + took, What::AttemptEnd(sender, id.0, 0));
                }
                Action::SetTimer { after, token } => {
                    self.at(now + after, What::Timer(sender, token))
                }
                Action::Reject { .. } | Action::Fail(_) => self.refused += 1,
                _ => {}
            }
        }
    }

    fn call(&mut self, now: u64, sender: usize) {
        self.ids += 1;
        let class = self.rng.usize(..2);
        let time_left = 1500 * MS;
        let demand = RequestParameters {
            class,
            tenant: 0,
            time_left,
            work: None,
            max_attempts: u32::MAX,
        };
        self.tell(now, sender, Event::Request(RequestId(self.ids), demand));
    }

    fn gap(&mut self, rate: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() / rate * SECOND as f64) as u64
    }

    /// What came of a run.
    fn run(
        kinds: &[Kind],
        servers: u32,
        cold: u32,
        load: f64,
        restart: u64,
        seed: u64,
    ) -> Outcomes {
        let rate = |kind: &Kind| {
            let bursts = kind
                .burst
                .map_or(0.0, |(calls, every)| f64::from(calls) * 1e9 / every as f64);
            f64::from(kind.count) * (kind.rate + bursts)
        };
        let total: f64 = kinds.iter().map(rate).sum();
        let balancers = kinds.iter().map(|kind| kind.count).sum();
        let mut fleet = Self {
            senders: Vec::new(),
            servers,
            capacity: total / load / f64::from(servers),
            cold: (0..cold).collect(),
            queue: BinaryHeap::new(),
            next: 0,
            ids: 0,
            rng: fastrand::Rng::with_seed(seed),
            took: 100 * MS,
            sent: BTreeMap::new(),
            refused: 0,
            served: 0,
        };
        let epoch = 1_000 * SECOND;
        let first = if restart == 0 { Some(epoch) } else { None };
        for &kind in kinds {
            for _ in 0..kind.count {
                let seed = fleet.rng.u64(..);
                fleet.senders.push((
                    Balancer::new(settings(balancers), seed, epoch).unwrap(),
                    kind,
                ));
                let sender = fleet.senders.len() - 1;
                let entries = fleet.entries(first);
                fleet.tell(epoch, sender, Event::ServerList(&entries));
                if kind.rate > 0.0 {
                    let gap = fleet.gap(kind.rate);
                    fleet.at(epoch + kind.from + gap, What::Call(sender));
                }
                if let Some((_, every)) = kind.burst {
                    fleet.at(epoch + kind.from.max(every), What::Burst(sender));
                }
                if let Some(lives) = kind.lives {
                    let age = fleet.rng.u64(..lives);
                    fleet.at(epoch + age, What::Replace(sender));
                }
            }
        }
        let start = epoch + restart;
        if restart > 0 {
            fleet.at(start, What::List { cold: Some(start) });
        }
        let end = start + RAMP + 2 * SECOND;
        let mut since = first;
        while let Some(Reverse((now, _, what))) = fleet.queue.pop() {
            if now > end {
                break;
            }
            match what {
                What::List { cold } => {
                    since = cold;
                    let entries = fleet.entries(cold);
                    for sender in 0..fleet.senders.len() {
                        fleet.tell(now, sender, Event::ServerListChange(&entries));
                    }
                }
                What::Replace(sender) => {
                    let kind = fleet.senders[sender].1;
                    let seed = fleet.rng.u64(..);
                    fleet.senders[sender].0 =
                        Balancer::new(settings(balancers), seed, now).unwrap();
                    let entries = fleet.entries(since);
                    fleet.tell(now, sender, Event::ServerList(&entries));
                    fleet.at(now + kind.lives.unwrap(), What::Replace(sender));
                }
                What::Call(sender) => {
                    fleet.call(now, sender);
                    let gap = fleet.gap(fleet.senders[sender].1.rate);
                    fleet.at(now + gap, What::Call(sender));
                }
                What::Burst(sender) => {
                    let (calls, every) = fleet.senders[sender].1.burst.unwrap();
                    (0..calls).for_each(|_| fleet.call(now, sender));
                    fleet.at(now + every, What::Burst(sender));
                }
                What::AttemptEnd(sender, id, attempt) => {
                    fleet.served += 1;
                    let elapsed = fleet.took;
                    let end = AttemptEnd {
                        attempt,
                        outcome: Outcome::Ok,
                        elapsed,
                        closed: true,
                        load: None,
                    };
                    fleet.tell(now, sender, Event::AttemptEnded(RequestId(id), end));
                }
                What::Timer(sender, token) => fleet.tell(now, sender, Event::Timer(token)),
            }
        }
        let can_do = |at: u64| {
            let warm = START + (1.0 - START) * (at.saturating_sub(start)) as f64 / RAMP as f64;
            fleet.capacity * warm.min(1.0)
        };
        let (mut worst, mut beyond_chance) = (0.0_f64, f64::NEG_INFINITY);
        for sent in fleet.sent.values() {
            let sent: Vec<u64> = sent.iter().copied().filter(|at| *at >= start).collect();
            for (at, &from) in sent.iter().enumerate() {
                // What counts is a window of full length: a short burst spends its budget early.
                let in_window = sent[at..]
                    .iter()
                    .take_while(|&&later| later < from + WINDOW)
                    .count();
                let middle = can_do(from + WINDOW / 2);
                worst = worst.max(in_window as f64 / (TIP * middle * WINDOW as f64 / 1e9));
                let budget = TIP * can_do(from) * WINDOW as f64 / 1e9;
                let by_chance = budget + 2.0 * budget.sqrt() + 2.0;
                beyond_chance = beyond_chance.max(in_window as f64 - by_chance);
            }
        }
        let used = fleet
            .sent
            .values()
            .flatten()
            .filter(|at| **at >= start)
            .count();
        Outcomes {
            worst,
            beyond_chance,
            used,
            served: fleet.served,
            refused: fleet.refused,
        }
    }
}

fn check(name: &str, kinds: &[Kind], servers: u32, cold: u32, load: f64, restart: u64) {
    let mut worst = 0.0_f64;
    for seed in 1..=5 {
        let Outcomes {
            worst: most,
            used,
            served,
            refused,
            ..
        } = Fleet::run(kinds, servers, cold, load, restart, seed);
        println!(
            "{name}, seed {seed}: {most:.2} of what pushes it over, {used} calls to cold servers, {served} served, {refused} refused"
        );
        assert!(used > 0, "{name}: a cold server is used");
        worst = worst.max(most);
    }
    assert!(
        worst < 1.0,
        "{name}: a cold server was sent {worst:.2} of what pushes it over"
    );
}

const DAEMON: Kind = Kind {
    count: 1,
    rate: 30.0,
    ..STEADY
};
const PLUGINS: Kind = Kind {
    count: 200,
    rate: 2.0,
    ..STEADY
};

#[test]
fn two_hundred_callers_and_a_daemon_do_not_push_over_a_restarted_nodo() {
    check("steady", &[DAEMON, PLUGINS], 10, 1, 0.7, 20 * SECOND);
    check("full", &[DAEMON, PLUGINS], 10, 1, 0.95, 20 * SECOND);
    // Round robin alone gives it its share of an overload, half as much again as a warm one can do.
    check("overload", &[DAEMON, PLUGINS], 10, 1, 1.5, 20 * SECOND);
    // The first call of each sender must not come at once: a hundred nodos, and hardly a call a second for each.
    check(
        "many nodos",
        &[
            DAEMON,
            Kind {
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
    // A nodo that is small against the crowd: the first call of each sender alone is many times what it can do.
    check(
        "small",
        &[
            DAEMON,
            Kind {
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
fn callers_that_come_and_go_do_not_push_over_a_restarted_nodo() {
    let brief = Kind {
        lives: Some(2 * SECOND),
        ..PLUGINS
    };
    check("short-lived", &[DAEMON, brief], 10, 1, 0.7, 20 * SECOND);
    let once = Kind {
        lives: Some(SECOND / 2),
        ..PLUGINS
    };
    check("one call each", &[DAEMON, once], 10, 1, 0.7, 20 * SECOND);
}

#[test]
fn callers_in_lock_step_do_not_push_over_a_restarted_nodo() {
    let bursts = Kind {
        rate: 0.2,
        burst: Some((5, 3 * SECOND)),
        ..PLUGINS
    };
    check("lock-step", &[DAEMON, bursts], 10, 1, 0.7, 20 * SECOND);
    // Silent for as long as the outage, then all at once.
    let woken = Kind {
        rate: 4.0,
        from: 21 * SECOND,
        ..PLUGINS
    };
    check(
        "woken",
        &[
            Kind {
                rate: 100.0,
                ..DAEMON
            },
            woken,
        ],
        10,
        1,
        0.7,
        20 * SECOND,
    );
}

#[test]
fn a_release_of_all_nodos_and_callers_at_once_is_survived() {
    check("release", &[DAEMON, PLUGINS], 10, 10, 0.25, 0);
    check(
        "release of all nodos",
        &[DAEMON, PLUGINS],
        10,
        10,
        0.25,
        20 * SECOND,
    );
}

/// Fleets drawn by chance: twenty to thirty senders that do not hear each other, from a few calls a minute each to several
/// a second, with servers that come back cold one by one or all at once, also with senders that have just started.
#[test]
fn thirty_senders_stay_within_budget_and_chance_together() {
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.u32(20..=30);
        let rate = 10.0_f64.powf(rng.f64() * 2.0 - 1.0); // 0.1 to 10 calls a second
        let burst = rng
            .bool()
            .then(|| (rng.u32(1..=3), rng.u64(1..=4) * SECOND));
        let lives = (rng.u32(..3) == 0).then(|| rng.u64(1..=6) * SECOND);
        let servers = rng.u32(3..=12);
        let cold = if rng.u32(..4) == 0 {
            servers
        } else {
            rng.u32(1..=servers.div_ceil(2))
        };
        let load = 0.3 + 1.2 * rng.f64();
        let restart = if rng.u32(..3) == 0 { 0 } else { 20 * SECOND };
        let kind = Kind {
            count,
            rate,
            burst,
            lives,
            ..STEADY
        };
        let outcomes = Fleet::run(&[kind], servers, cold, load, restart, seed);
        println!(
            "seed {seed}: {count} senders at {rate:.2}/s, burst {burst:?}, lives {lives:?}, {cold} of {servers} cold \
             at load {load:.2}, restart {restart}: {outcomes:?}"
        );
        assert!(outcomes.beyond_chance <= 0.0, "seed {seed}: {outcomes:?}");
    }
}
