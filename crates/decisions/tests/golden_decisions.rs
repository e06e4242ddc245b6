//! Golden tests of the decisions: a balancer runs through long fixed histories of events, and a
//! digest of all its actions is compared with a recorded digest. The digest contains only numbers
//! and ids, so that it does not depend on names or on the division into modules. Any change of a
//! decision, of the order of decisions or of a random draw changes the digest.
//!
//! The histories come from a small model of a fleet, with servers of limited capacity, temporary
//! faults, calls that time out, are cancelled or lose their client, changes of the server list,
//! restarts, load reports and hand-overs.

mod common;

use common::*;
use std::collections::BTreeMap;
use woadstall_decisions::Balancer;
use woadstall_decisions::api::*;

const STEPS: u32 = 60_000;
const SERVERS: u32 = 12;

/// A 64-bit FNV-1a hash of numbers.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    fn add(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn add_float(&mut self, figure: f64) {
        self.add(figure.to_bits());
    }
}

/// SplitMix64 random number generator of the model, independent of the balancer's generator.
struct ModelRng(u64);

impl ModelRng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Slow,
    Erring,
    Hanging,
    Refusing,
    Unreachable,
    Resetting,
}

struct ServerModel {
    entry: ServerEntry,
    /// Usual time in which the server processes a call without load.
    service_time: u64,
    /// Number of calls that the server processes at a time.
    capacity: u64,
    in_flight: u64,
    fault: Fault,
}

enum ModelEvent {
    Arrival,
    AttemptEnds(u32),
    ResponseStarts(u32),
    ClientDisconnects(u32),
    ProbeEnds(ServerId),
    TimerFires(u64),
    Subscribed,
    FleetChanges,
}

struct OpenAttempt {
    number: u32,
    /// Position of the server in `Fleet::servers`.
    server: usize,
    sent_at: u64,
    outcome: Outcome,
    /// Key of the attempt's end in `Fleet::event_queue`.
    end_key: (u64, u64),
    response_started: bool,
}

#[derive(Default)]
struct Call {
    attempts: u32,
    open_attempt: Option<OpenAttempt>,
    /// Whether the client has a response or has disconnected, or the balancer was replaced.
    is_closed: bool,
}

/// How often each kind of action was taken, in the order of `Fleet::record`.
type Counts = [u32; 9];

struct Fleet {
    settings: Settings,
    balancer: Balancer,
    now: u64,
    rng: ModelRng,
    digest: Digest,
    counts: Counts,
    servers: Vec<ServerModel>,
    calls: BTreeMap<u32, Call>,
    next_call: u32,
    /// Future events, ordered by time and by the order in which they were scheduled.
    event_queue: BTreeMap<(u64, u64), ModelEvent>,
    /// Number of events scheduled so far.
    scheduled_events: u64,
    /// Usual mean time between two requests.
    usual_request_interval: u64,
    /// Current mean time between two requests.
    request_interval: u64,
}

impl Fleet {
    fn new(settings: Settings, seed: u64, request_interval: u64) -> Self {
        let server = |number: u32| ServerModel {
            entry: ServerEntry {
                cell: (number % 2) as u16,
                size: if number % 5 == 4 { 2.0 } else { 1.0 },
                ..entry(number, (number % 3) as u8)
            },
            service_time: (12 + 4 * u64::from(number % 4)) * MS,
            capacity: 1 + u64::from(number % 2),
            in_flight: 0,
            fault: Fault::None,
        };
        let mut fleet = Self {
            balancer: Balancer::new(settings.clone(), seed, SECOND).unwrap(),
            settings,
            now: SECOND,
            rng: ModelRng(seed),
            digest: Digest::new(),
            counts: Counts::default(),
            servers: (0..SERVERS).map(server).collect(),
            calls: BTreeMap::new(),
            next_call: 0,
            event_queue: BTreeMap::new(),
            scheduled_events: 0,
            usual_request_interval: request_interval,
            request_interval,
        };
        fleet.send_complete_list();
        fleet.schedule(0, ModelEvent::Arrival);
        fleet.schedule(2 * SECOND, ModelEvent::FleetChanges);
        fleet
    }

    fn play(mut self, steps: u32) -> (u64, Counts) {
        for step in 0..steps {
            let Some(((time, _), event)) = self.event_queue.pop_first() else {
                break;
            };
            self.now = self.now.max(time);
            self.digest.add(self.now);
            self.process(event);
            if step % 500 == 499 {
                self.record_learned();
            }
        }
        (self.digest.0, self.counts)
    }

    fn schedule(&mut self, after: u64, event: ModelEvent) -> (u64, u64) {
        self.scheduled_events += 1;
        let key = (self.now.saturating_add(after), self.scheduled_events);
        self.event_queue.insert(key, event);
        key
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.record(&action);
            self.carry_out(action);
        }
    }

    fn record(&mut self, action: &Action) {
        let (kind, numbers) = match *action {
            Action::Send {
                id,
                server,
                until,
                begin_by,
            } => (0, [u64::from(id.0), u64::from(server.0), until, begin_by]),
            Action::Reject { id, retry_after } => (1, [u64::from(id.0), retry_after, 0, 0]),
            Action::Fail(id) => (2, [u64::from(id.0), 0, 0, 0]),
            Action::Cancel { id, attempt } => (3, [u64::from(id.0), u64::from(attempt), 0, 0]),
            Action::Probe(server) => (4, [u64::from(server.0), 0, 0, 0]),
            Action::CloseIdleConnections(server) => (5, [u64::from(server.0), 0, 0, 0]),
            Action::SetTimer { after, token } => (6, [after, token, 0, 0]),
            Action::Subscribe => (7, [0; 4]),
            Action::Log(_) => (8, [0; 4]),
        };
        self.counts[kind] += 1;
        self.digest.add(kind as u64);
        numbers
            .into_iter()
            .for_each(|number| self.digest.add(number));
    }

    fn record_learned(&mut self) {
        let mut learned = self.balancer.learned_state();
        learned.servers.sort_by_key(|server| server.server);
        let latencies = learned
            .classes
            .iter()
            .map(|(class, latency)| (*class as u64, latency));
        for (class, latency) in latencies.chain([(u64::MAX, &learned.overall)]) {
            self.digest.add(class);
            self.digest.add_float(latency.mean);
            self.digest.add_float(latency.mean_deviation);
            self.digest.add_float(latency.baseline);
            self.digest.add(u64::from(latency.calls));
        }
        for figure in [
            learned.responses_per_second,
            learned.responses,
            learned.pending,
            learned.failure_rate,
        ] {
            self.digest.add_float(figure);
        }
        for server in &learned.servers {
            self.digest.add(u64::from(server.server.0));
            self.digest
                .add(server.started.map_or(0, |started| started + 1));
            self.digest.add_float(server.slowness);
            self.digest.add(u64::from(server.recent_opens));
            self.digest
                .add(server.open_for.map_or(0, |open_for| open_for + 1));
        }
        self.digest.add(self.balancer.ejected_servers() as u64);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                until,
                begin_by,
            } => self.begin_attempt(id.0, server, until, begin_by),
            Action::Reject { id, .. } | Action::Fail(id) => {
                self.calls.get_mut(&id.0).expect("a known call").is_closed = true;
            }
            Action::Cancel { id, .. } => self.cancel(id.0),
            Action::Probe(server) => {
                let after = (1 + self.rng.below(6)) * MS;
                self.schedule(after, ModelEvent::ProbeEnds(server));
            }
            Action::SetTimer { after, token } => {
                self.schedule(after, ModelEvent::TimerFires(token));
            }
            Action::Subscribe => {
                self.schedule(20 * MS, ModelEvent::Subscribed);
            }
            Action::CloseIdleConnections(_) | Action::Log(_) => {}
        }
    }

    fn begin_attempt(&mut self, id: u32, server: ServerId, until: u64, begin_by: u64) {
        let position = server.0 as usize;
        let (outcome, duration) = self.draw_outcome(position, begin_by);
        let timed_out = self.now.saturating_add(duration) >= until;
        let outcome = if timed_out { Outcome::Timeout } else { outcome };
        let duration = if timed_out {
            until.saturating_sub(self.now)
        } else {
            duration
        };
        let end_key = self.schedule(duration, ModelEvent::AttemptEnds(id));
        if outcome == Outcome::Ok && self.rng.chance(60) {
            self.schedule(duration / 2, ModelEvent::ResponseStarts(id));
        }
        if self.rng.chance(15) {
            self.schedule(duration / 3, ModelEvent::ClientDisconnects(id));
        }
        self.servers[position].in_flight += 1;
        let call = self.calls.get_mut(&id).expect("a known call");
        assert!(call.open_attempt.is_none(), "one attempt at a time");
        let number = call.attempts;
        call.attempts += 1;
        call.open_attempt = Some(OpenAttempt {
            number,
            server: position,
            sent_at: self.now,
            outcome,
            end_key,
            response_started: false,
        });
    }

    /// Outcome and duration of an attempt that is sent to a server now.
    fn draw_outcome(&mut self, position: usize, begin_by: u64) -> (Outcome, u64) {
        // Some faults affect only a part of the attempts.
        let (jitter, is_affected) = (self.rng.below(40), self.rng.chance(500));
        let is_declined = self.rng.chance(5);
        let server = &self.servers[position];
        let queued = server.in_flight / server.capacity;
        let duration = server.service_time * (1 + queued) * (80 + jitter) / 100;
        if begin_by < self.now + 5 * MS || self.rng.chance(3) {
            return (Outcome::Moot, MS);
        }
        match server.fault {
            Fault::Slow => (Outcome::Ok, 6 * duration),
            Fault::Erring if is_affected => (Outcome::Error, duration / 2),
            Fault::Hanging => (Outcome::Ok, 60 * SECOND),
            Fault::Refusing if queued > 0 || is_affected => (Outcome::Full, MS),
            Fault::Unreachable if is_affected => (Outcome::ConnectFailed, 200 * MS),
            Fault::Unreachable => (Outcome::ConnectFailed, MS),
            Fault::Resetting if is_affected => (Outcome::Reset, duration / 4),
            _ if is_declined => (Outcome::Declined, duration / 2),
            _ => (Outcome::Ok, duration),
        }
    }

    fn cancel(&mut self, id: u32) {
        let call = self.calls.get_mut(&id);
        let Some(attempt) = call.and_then(|call| call.open_attempt.as_mut()) else {
            return;
        };
        attempt.outcome = Outcome::Cancelled;
        let end_key = attempt.end_key;
        self.event_queue.remove(&end_key);
        self.schedule(MS, ModelEvent::AttemptEnds(id));
    }

    fn process(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrival => self.arrive(),
            ModelEvent::AttemptEnds(id) => self.end_attempt(id),
            ModelEvent::ResponseStarts(id) => self.start_response(id),
            ModelEvent::ClientDisconnects(id) => {
                let call = self.calls.get_mut(&id).expect("a known call");
                if !std::mem::replace(&mut call.is_closed, true) {
                    self.handle(Event::ClientDisconnected(RequestId(id)));
                }
            }
            ModelEvent::ProbeEnds(server) => self.end_probe(server),
            ModelEvent::TimerFires(token) => self.handle(Event::Timer(token)),
            ModelEvent::Subscribed if self.rng.chance(400) => {
                self.handle(Event::SubscriptionFailed)
            }
            ModelEvent::Subscribed => self.send_complete_list(),
            ModelEvent::FleetChanges => self.change_fleet(),
        }
    }

    fn arrive(&mut self) {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, Call::default());
        let parameters = RequestParameters {
            class: self.rng.below(5) as usize,
            tenant: (self.rng.below(4) / 2) as usize,
            time_left: (400 + self.rng.below(2000)) * MS,
            work: self.rng.chance(300).then_some(20 * MS),
            max_attempts: if self.rng.chance(50) { 1 } else { u32::MAX },
        };
        let class = if self.rng.chance(2) {
            99
        } else {
            parameters.class
        };
        self.handle(Event::Request(
            RequestId(id),
            RequestParameters {
                class,
                ..parameters
            },
        ));
        let after = self.request_interval / 2 + self.rng.below(self.request_interval.max(1));
        self.schedule(after, ModelEvent::Arrival);
    }

    fn end_attempt(&mut self, id: u32) {
        let call = self.calls.get_mut(&id).expect("a known call");
        let Some(attempt) = call.open_attempt.take() else {
            return;
        };
        let is_final = matches!(attempt.outcome, Outcome::Ok | Outcome::Declined);
        let closed = is_final || attempt.response_started || call.is_closed;
        call.is_closed |= closed;
        let server = &mut self.servers[attempt.server];
        server.in_flight -= 1;
        let end = AttemptEnd {
            attempt: attempt.number,
            outcome: attempt.outcome,
            elapsed: self.now - attempt.sent_at,
            closed,
            load: load_report(server.in_flight as f32),
        };
        self.handle(Event::AttemptEnded(RequestId(id), end));
    }

    fn start_response(&mut self, id: u32) {
        let call = self.calls.get_mut(&id).expect("a known call");
        let Some(attempt) = call.open_attempt.as_mut().filter(|_| !call.is_closed) else {
            return;
        };
        attempt.response_started = true;
        call.is_closed = true;
        let number = attempt.number;
        self.handle(Event::ResponseStarted(RequestId(id), number));
    }

    fn end_probe(&mut self, server: ServerId) {
        let model = &self.servers[server.0 as usize];
        let is_dead = matches!(model.fault, Fault::Hanging | Fault::Unreachable);
        let load = load_report(model.in_flight as f32).filter(|_| !is_dead);
        let outcome = if is_dead {
            Outcome::Timeout
        } else {
            Outcome::Ok
        };
        self.handle(Event::ProbeEnded(server, outcome, load));
    }

    fn send_complete_list(&mut self) {
        let list: Vec<ServerEntry> = self
            .servers
            .iter()
            .map(|server| server.entry.clone())
            .collect();
        self.handle(Event::ServerList(&list));
    }

    /// Applies a random change every 1.5 s: a fault, a drain, a restart, a new load, health
    /// verdicts, a hand-over or new settings.
    fn change_fleet(&mut self) {
        self.schedule(1500 * MS, ModelEvent::FleetChanges);
        let server = self.rng.below(u64::from(SERVERS)) as usize;
        match self.rng.below(16) {
            0 => self.servers[server].fault = Fault::Slow,
            1 => self.servers[server].fault = Fault::Erring,
            2 => self.servers[server].fault = Fault::Hanging,
            3 => self.servers[server].fault = Fault::Refusing,
            4 => self.servers[server].fault = Fault::Unreachable,
            5 => self.servers[server].fault = Fault::Resetting,
            6 => self.fail_zone(server % 3),
            7 | 8 => self
                .servers
                .iter_mut()
                .for_each(|server| server.fault = Fault::None),
            9 => self.change_lifecycle(server, Lifecycle::Draining),
            10 => self.change_lifecycle(server, Lifecycle::Removed),
            11 => self.restart_zone(server % 3),
            12 => {
                self.request_interval = self.usual_request_interval / 4
                    + self.rng.below(2 * self.usual_request_interval);
            }
            13 => self.send_verdicts(server),
            14 => self.hand_over(),
            _ => self.change_settings(),
        }
        self.return_server_to_service();
    }

    fn fail_zone(&mut self, zone: usize) {
        let faults = [Fault::Erring, Fault::Slow, Fault::Unreachable];
        let fault = faults[self.rng.below(3) as usize];
        let servers = self
            .servers
            .iter_mut()
            .filter(|server| usize::from(server.entry.zone.0) == zone);
        servers.for_each(|server| server.fault = fault);
    }

    fn change_lifecycle(&mut self, server: usize, lifecycle: Lifecycle) {
        self.servers[server].entry.lifecycle = lifecycle;
        let entry = self.servers[server].entry.clone();
        self.handle(Event::ServerListChange(&[entry]));
    }

    fn restart_zone(&mut self, zone: usize) {
        let now = self.now;
        let servers = self
            .servers
            .iter_mut()
            .filter(|server| usize::from(server.entry.zone.0) == zone);
        for server in servers {
            server.entry.started = Some(now);
            server.fault = Fault::None;
        }
        self.send_complete_list();
    }

    /// Returns a draining or removed server to service at times, with an even chance as a new
    /// process.
    fn return_server_to_service(&mut self) {
        if !self.rng.chance(400) {
            return;
        }
        let is_not_ready = |server: &ServerModel| server.entry.lifecycle != Lifecycle::Ready;
        let Some(server) = self.servers.iter().position(is_not_ready) else {
            return;
        };
        if self.rng.chance(500) {
            self.servers[server].entry.started = Some(self.now);
        }
        self.change_lifecycle(server, Lifecycle::Ready);
    }

    fn send_verdicts(&mut self, server: usize) {
        let zone = ZoneId(self.rng.below(3) as u8);
        let domains = [
            FailureDomain::Zone(zone, None),
            FailureDomain::Zone(zone, Some(server % 5)),
            FailureDomain::Server(ServerId(server as u32)),
        ];
        let shares = [0.0, 0.2, 0.6, 1.0];
        let verdicts = domains.map(|domain| HealthVerdict {
            domain,
            share: shares[self.rng.below(4) as usize],
            until: self.now + (1 + self.rng.below(4)) * SECOND,
        });
        self.handle(Event::HealthVerdicts(&verdicts));
    }

    /// Hands over to a new process. Calls in flight stay with the old process and are not followed
    /// any further.
    fn hand_over(&mut self) {
        self.record_learned();
        let learned = self.balancer.learned_state();
        let seed = self.rng.next();
        self.balancer = Balancer::new(self.settings.clone(), seed, self.now).unwrap();
        self.send_complete_list();
        self.balancer.restore(self.now, &learned);
        for call in self.calls.values_mut() {
            call.is_closed = true;
            if let Some(attempt) = call.open_attempt.take() {
                self.servers[attempt.server].in_flight -= 1;
            }
        }
        self.record_learned();
    }

    fn change_settings(&mut self) {
        self.settings.max_attempts = 1 + self.rng.below(4) as u32;
        self.settings.may_cancel = !self.settings.may_cancel;
        self.settings.classes[UNSAFE].value = 1.0 + self.rng.below(9) as f64;
        if self.settings.classes.len() == 5 {
            let class = self.settings.classes[SAFE].clone();
            self.settings.classes.push(class);
            let successions = [ClassSuccession {
                class: 5,
                predecessor: SAFE,
            }];
            return self
                .balancer
                .reconfigure(self.settings.clone(), &successions)
                .unwrap();
        }
        self.balancer
            .reconfigure(self.settings.clone(), &[])
            .unwrap();
    }
}

fn play(settings: Settings, seed: u64, request_interval: u64) -> (String, Counts) {
    let (digest, counts) = Fleet::new(settings, seed, request_interval).play(STEPS);
    (format!("{digest:016x}"), counts)
}

fn tenants() -> Vec<Tenant> {
    vec![Tenant { quota_rps: 20.0 }, Tenant { quota_rps: 60.0 }]
}

#[test]
fn light_traffic_decides_as_recorded() {
    let (digest, counts) = play(settings(), 1, 40 * MS);
    assert_eq!(digest, "18c584b69dd3c401", "{counts:?}");
}

#[test]
fn overload_of_two_tenants_decides_as_recorded() {
    let settings = Settings {
        tenants: tenants(),
        value_by_work: true,
        max_retry_after: 4 * SECOND,
        ..settings()
    };
    let (digest, counts) = play(settings, 2, 3 * MS);
    assert_eq!(digest, "27bce3b2c962ad06", "{counts:?}");
}

#[test]
fn load_probes_decide_as_recorded() {
    let settings = Settings {
        in_flight_report_field: Some(0),
        probes_for_load: true,
        ..settings()
    };
    let (digest, counts) = play(settings, 3, 8 * MS);
    assert_eq!(digest, "912e2e59df9af7f1", "{counts:?}");
}

#[test]
fn deeper_tier_without_propagated_deadlines_decides_as_recorded() {
    let settings = Settings {
        tier: 1,
        propagates_deadline: false,
        may_cancel: false,
        ..settings()
    };
    let (digest, counts) = play(settings, 4, 6 * MS);
    assert_eq!(digest, "2791c803c073d4bc", "{counts:?}");
}

#[test]
fn subscription_to_discovery_decides_as_recorded() {
    let settings = Settings {
        subscribes_to_discovery: true,
        balancers: 40,
        zone: ZoneId(2),
        ..settings()
    };
    let (digest, counts) = play(settings, 5, 15 * MS);
    assert_eq!(digest, "a41f7fdaac91611a", "{counts:?}");
}

#[test]
fn expensive_crossings_of_zones_decide_as_recorded() {
    let settings = Settings {
        cross_zone_cost: 0.05,
        idle_timeout: 3 * SECOND,
        ..settings()
    };
    let (digest, counts) = play(settings, 6, 5 * MS);
    assert_eq!(digest, "c777113283f739bd", "{counts:?}");
}

#[test]
fn slow_start_decides_as_recorded() {
    let settings = Settings {
        slow_start_capacity: 0.1,
        slow_start_overload: 1.5,
        slow_start_window: 30 * SECOND,
        balancers: 2,
        ..settings()
    };
    let (digest, counts) = play(settings, 7, 6 * MS);
    assert_eq!(digest, "3bb107bc512d0b67", "{counts:?}");
}

#[test]
fn balancer_with_few_calls_decides_as_recorded() {
    let mut settings = settings();
    for class in &mut settings.classes {
        (
            class.latency_target,
            class.latency_target_stretch,
            class.late_value,
        ) = (60 * MS, 1.5, 0.0);
    }
    let (digest, counts) = play(settings, 8, 300 * MS);
    assert_eq!(digest, "06fbef7d68bcc0d7", "{counts:?}");
}

#[test]
fn probed_fleet_in_slow_start_and_overload_decides_as_recorded() {
    let settings = Settings {
        in_flight_report_field: Some(0),
        probes_for_load: true,
        tenants: tenants(),
        slow_start_capacity: 0.2,
        ..settings()
    };
    let (digest, counts) = play(settings, 9, 2 * MS);
    assert_eq!(digest, "1c93600a7c616ef3", "{counts:?}");
}
