//! Property tests: random legal sequences of events never break rules 1 to 3 and never panic, and
//! equal sequences give equal actions.

mod common;
use common::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use woadstall_decisions::Balancer;
use woadstall_decisions::api::*;

#[derive(Clone, Debug)]
enum Step {
    Request {
        class: usize,
        time_left: u64,
    },
    EndAttempt {
        pick: usize,
        outcome: usize,
    },
    Disconnect {
        pick: usize,
    },
    List {
        server: u32,
        lifecycle: u8,
        size: f32,
        restarted: bool,
        complete: bool,
    },
    FailSubscription,
    FireTimer {
        pick: usize,
    },
    UnknownRequest {
        id: u32,
        attempt: u32,
        token: u64,
        load: f32,
    },
    EndProbe {
        pick: usize,
        ok: bool,
        load: f32,
    },
    Wait {
        time: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let load = prop_oneof![Just(f32::NAN), Just(-1.0), 0.0f32..9.0];
    let size = prop_oneof![
        Just(1.0f32),
        Just(0.0),
        Just(f32::NAN),
        Just(-3.0),
        0.1f32..8.0
    ];
    prop_oneof![
        6 => (0usize..6, 1u64..3000).prop_map(|(class, ms)| Step::Request { class, time_left: ms * MS }),
        6 => (any::<usize>(), 0usize..8).prop_map(|(pick, outcome)| Step::EndAttempt { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        2 => (0u32..12, 0u8..3, size, any::<bool>(), prop::bool::weighted(0.1)).prop_map(
            |(server, lifecycle, size, restarted, complete)| Step::List { server, lifecycle, size, restarted, complete }
        ),
        4 => (any::<usize>(), any::<bool>(), load).prop_map(|(pick, ok, load)| Step::EndProbe { pick, ok, load }),
        1 => Just(Step::FailSubscription),
        1 => any::<usize>().prop_map(|pick| Step::FireTimer { pick }),
        1 => (any::<u32>(), 0u32..5, any::<u64>(), any::<f32>())
            .prop_map(|(id, attempt, token, load)| Step::UnknownRequest { id: id | 1 << 31, attempt, token, load }),
        4 => (0u64..300).prop_map(|ms| Step::Wait { time: ms * MS }),
    ]
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Moot,
];

#[derive(Clone, Copy, Debug)]
struct SentAttempt {
    server: u32,
    sent_at: u64,
}

#[derive(Debug)]
struct Call {
    class: usize,
    attempts: u32,
    in_flight: Option<SentAttempt>,
    /// First attempt that may have run.
    may_have_run: Option<SentAttempt>,
    has_response: bool,
    disconnected: bool,
}

/// Model of the environment of one balancer. It generates legal events and checks the rules on each
/// action.
struct Environment {
    harness: Harness,
    calls: BTreeMap<u32, Call>,
    listed: BTreeMap<u32, ServerEntry>,
    timers: Vec<u64>,
    probes: Vec<ServerId>,
    log: Vec<Action>,
}

impl Environment {
    fn new(settings: Settings) -> Self {
        let list = zones(3, 3);
        let harness = Harness {
            balancer: Balancer::new(settings, 99, SECOND).unwrap(),
            now: SECOND,
            next_id: 0,
        };
        let listed = list
            .iter()
            .map(|entry| (entry.server.0, entry.clone()))
            .collect();
        let mut environment = Self {
            harness,
            calls: BTreeMap::new(),
            listed,
            timers: Vec::new(),
            probes: Vec::new(),
            log: Vec::new(),
        };
        environment.handle(Event::ServerList(&list));
        environment
    }

    fn handle(&mut self, event: Event<'_>) {
        for action in self.harness.handle(event) {
            self.check(&action);
            self.log.push(action);
        }
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { id, server, .. } => self.check_send(*id, *server),
            Action::Reject { id, .. } | Action::Fail(id) => {
                let call = self.calls.get_mut(&id.0).expect("a known request");
                assert!(
                    !call.has_response && !call.disconnected,
                    "rule 1: a second response for {id:?}"
                );
                assert!(
                    call.in_flight.is_none(),
                    "rule 1: a final response with an attempt in flight"
                );
                let is_rejected = matches!(action, Action::Reject { .. });
                let is_harmless =
                    call.may_have_run.is_none() || call.class == SAFE || call.class == KEYED_ALL;
                assert!(
                    !is_rejected || is_harmless,
                    "rule 2: {id:?} rejected though it may have run"
                );
                call.has_response = true;
            }
            Action::SetTimer { token, .. } => self.timers.push(*token),
            Action::Cancel { id, attempt } => assert!(self.calls[&id.0].attempts > *attempt),
            Action::Probe(server) => {
                assert_eq!(
                    self.listed[&server.0].lifecycle,
                    Lifecycle::Ready,
                    "probed {server:?}"
                );
                self.probes.push(*server);
            }
            Action::CloseIdleConnections(server) => assert!(self.listed.contains_key(&server.0)),
            Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn check_send(&mut self, id: RequestId, server: ServerId) {
        let now = self.harness.now;
        let call = self.calls.get_mut(&id.0).expect("a known request");
        assert!(
            !call.has_response && !call.disconnected,
            "rule 1: sent after the end of {id:?}"
        );
        assert!(
            call.in_flight.is_none(),
            "rule 2: two attempts in flight for {id:?}"
        );
        assert!(call.attempts < 4, "more attempts than the settings allow");
        let entry = &self.listed[&server.0];
        assert_eq!(
            entry.lifecycle,
            Lifecycle::Ready,
            "rule 3: sent to {server:?}"
        );
        if let Some(first_attempt) = call.may_have_run {
            let (first, window) = (&self.listed[&first_attempt.server], SECOND);
            match call.class {
                SAFE => {}
                UNSAFE => panic!("rule 2: unsafe {id:?} sent again"),
                _ if now - first_attempt.sent_at > window => {
                    panic!("rule 2: {id:?} sent after its window")
                }
                KEYED_ZONE => assert_eq!(first.zone, entry.zone, "rule 2: out of the zone"),
                KEYED_CELL => assert_eq!(first.cell, entry.cell, "rule 2: out of the cell"),
                _ => {}
            }
        }
        call.attempts += 1;
        call.in_flight = Some(SentAttempt {
            server: server.0,
            sent_at: now,
        });
    }

    fn in_flight(&self, pick: usize) -> Option<u32> {
        let in_flight: Vec<u32> = self
            .calls
            .iter()
            .filter(|(_, call)| call.in_flight.is_some())
            .map(|(id, _)| *id)
            .collect();
        in_flight.get(pick % in_flight.len().max(1)).copied()
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Wait { time } => self.harness.now += time,
            Step::EndProbe { pick, ok, load } => self.end_probe(pick, ok, load),
            Step::FailSubscription => self.handle(Event::SubscriptionFailed),
            Step::FireTimer { pick } if !self.timers.is_empty() => {
                let token = self.timers[pick % self.timers.len()];
                self.handle(Event::Timer(token));
            }
            Step::FireTimer { pick } => self.handle(Event::Timer(pick as u64)),
            Step::Request { class, time_left } => self.request(class, time_left),
            Step::EndAttempt { pick, outcome } => {
                let Some(id) = self.in_flight(pick) else {
                    return;
                };
                self.end(id, OUTCOMES[outcome]);
            }
            Step::Disconnect { pick } => self.disconnect(pick),
            Step::List {
                server,
                lifecycle,
                size,
                restarted,
                complete,
            } => {
                let lifecycle =
                    [Lifecycle::Removed, Lifecycle::Ready, Lifecycle::Draining][lifecycle as usize];
                let entry = ServerEntry {
                    lifecycle,
                    size,
                    started: restarted.then_some(self.harness.now),
                    ..entry(server, (server % 4) as u8)
                };
                self.list(entry, complete);
            }
            Step::UnknownRequest {
                id,
                attempt,
                token,
                load,
            } => self.send_events_on_unknown_request(RequestId(id), attempt, token, load),
        }
    }

    fn end_probe(&mut self, pick: usize, ok: bool, load: f32) {
        if self.probes.is_empty() {
            return;
        }
        let server = self.probes.swap_remove(pick % self.probes.len());
        let outcome = if ok { Outcome::Ok } else { Outcome::Timeout };
        let report = load_report(load).filter(|_| ok);
        self.handle(Event::ProbeEnded(server, outcome, report));
    }

    fn request(&mut self, class: usize, time_left: u64) {
        let id = self.harness.next_id;
        self.harness.next_id += 1;
        let call = Call {
            class,
            attempts: 0,
            in_flight: None,
            may_have_run: None,
            has_response: false,
            disconnected: false,
        };
        self.calls.insert(id, call);
        let parameters = RequestParameters {
            class,
            tenant: class,
            time_left,
            work: Some(time_left),
            max_attempts: u32::MAX,
        };
        self.handle(Event::Request(RequestId(id), parameters));
    }

    fn disconnect(&mut self, pick: usize) {
        let Some(id) = self.in_flight(pick) else {
            return;
        };
        let call = self.calls.get_mut(&id).expect("a request in flight");
        if !call.has_response && !call.disconnected {
            call.disconnected = true;
            self.handle(Event::ClientDisconnected(RequestId(id)));
        }
    }

    /// Applies a server list of one entry. A known server keeps its zone and cell.
    fn list(&mut self, entry: ServerEntry, complete: bool) {
        let id = entry.server.0;
        let entry = match self.listed.get(&id) {
            Some(known) => ServerEntry {
                zone: known.zone,
                cell: known.cell,
                ..entry
            },
            None => entry,
        };
        if complete {
            let listed = self.listed.values_mut();
            listed.for_each(|entry| entry.lifecycle = Lifecycle::Removed);
        }
        self.listed.insert(id, entry.clone());
        let event = if complete {
            Event::ServerList(&[entry])
        } else {
            Event::ServerListChange(&[entry])
        };
        self.handle(event);
    }

    /// Sends events on a request that does not exist.
    fn send_events_on_unknown_request(
        &mut self,
        id: RequestId,
        attempt: u32,
        token: u64,
        load: f32,
    ) {
        let load = Some(LoadReport {
            figures: [load; 4],
            len: 4,
        });
        let end = AttemptEnd {
            attempt,
            outcome: Outcome::Reset,
            elapsed: token,
            closed: false,
            load,
        };
        self.handle(Event::AttemptEnded(id, end));
        self.handle(Event::ClientDisconnected(id));
        self.handle(Event::ResponseStarted(id, attempt));
        self.handle(Event::Timer(token & !(1 << 63)));
    }

    fn end(&mut self, id: u32, outcome: Outcome) {
        let call = self.calls.get_mut(&id).expect("a known request");
        let sent = call.in_flight.take().expect("an attempt in flight");
        if !outcome.never_ran() {
            call.may_have_run = call.may_have_run.or(Some(sent));
        }
        let attempt = call.attempts - 1;
        call.has_response |= outcome == Outcome::Ok && !call.disconnected;
        let closed = call.has_response || call.disconnected;
        let elapsed = self.harness.now - sent.sent_at;
        self.handle(Event::AttemptEnded(
            RequestId(id),
            AttemptEnd {
                attempt,
                outcome,
                elapsed,
                closed,
                load: None,
            },
        ));
    }
}

/// Settings that differ by the bits of `kind`.
fn settings_of(kind: u8) -> Settings {
    Settings {
        tier: u32::from(kind & 1),
        propagates_deadline: kind & 2 == 0,
        subscribes_to_discovery: kind & 4 == 0,
        balancers: if kind & 8 == 0 { 0 } else { 3 },
        zone: ZoneId(if kind & 16 == 0 { 0 } else { 2 }),
        in_flight_report_field: Some(0),
        probes_for_load: kind & 32 != 0,
        tenants: vec![Tenant { quota_rps: 0.0 }, Tenant { quota_rps: 10.0 }],
        ..settings()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_127),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn rules_are_kept_on_random_legal_orders(kind in 0u8..64, steps in prop::collection::vec(step(), 1..300)) {
        let mut environment = Environment::new(settings_of(kind));
        steps.iter().for_each(|step| environment.apply(step));
        // Rule 1: after every attempt has ended by its deadline, every request has its response.
        loop {
            // All timers fire eventually, including timers that are set while others fire.
            for token in std::mem::take(&mut environment.timers) {
                environment.handle(Event::Timer(token));
            }
            let Some(id) = environment.in_flight(0) else { break };
            environment.harness.now += 3 * SECOND;
            environment.end(id, Outcome::Timeout);
        }
        for (id, call) in &environment.calls {
            prop_assert!(call.has_response || call.disconnected, "request {id} has no response");
        }
    }

    #[test]
    fn equal_events_give_equal_actions(kind in 0u8..64, steps in prop::collection::vec(step(), 1..200)) {
        let [first, second] = [(), ()].map(|()| {
            let mut environment = Environment::new(settings_of(kind));
            steps.iter().for_each(|step| environment.apply(step));
            environment.log
        });
        prop_assert_eq!(first, second);
    }
}
