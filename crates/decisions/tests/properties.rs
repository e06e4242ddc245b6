//! Random legal event orders never break rules 1 to 3, never panic, and give the same actions again.

mod common;
use common::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use woadstall_decisions::Balancer;
use woadstall_decisions::api::*;

#[derive(Clone, Debug)]
enum Step {
    RequestParameters {
        class: usize,
        time_left: u64,
    },
    AttemptEnd {
        pick: usize,
        outcome: usize,
    },
    Leave {
        pick: usize,
    },
    List {
        server: u32,
        lifecycle: u8,
        size: f32,
        fresh: bool,
        whole: bool,
    },
    Failed,
    Ring {
        pick: usize,
    },
    Noise {
        id: u32,
        attempt: u32,
        token: u64,
        load: f32,
    },
    Probed {
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
        6 => (0usize..6, 1u64..3000).prop_map(|(class, ms)| Step::RequestParameters { class, time_left: ms * MS }),
        6 => (any::<usize>(), 0usize..8).prop_map(|(pick, outcome)| Step::AttemptEnd { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Leave { pick }),
        2 => (0u32..12, 0u8..3, size, any::<bool>(), prop::bool::weighted(0.1)).prop_map(
            |(server, lifecycle, size, fresh, whole)| Step::List { server, lifecycle, size, fresh, whole }
        ),
        4 => (any::<usize>(), any::<bool>(), load).prop_map(|(pick, ok, load)| Step::Probed { pick, ok, load }),
        1 => Just(Step::Failed),
        1 => any::<usize>().prop_map(|pick| Step::Ring { pick }),
        1 => (any::<u32>(), 0u32..5, any::<u64>(), any::<f32>())
            .prop_map(|(id, attempt, token, load)| Step::Noise { id: id | 1 << 31, attempt, token, load }),
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

#[derive(Debug)]
struct Call {
    class: usize,
    attempts: u32,
    out: Option<(u32, u64)>,
    ran: Option<(u32, u64)>,
    answered: bool,
    left: bool,
}

/// The world around one balancer: what is legal next, and whether the rules held.
struct World {
    rig: Rig,
    calls: BTreeMap<u32, Call>,
    listed: BTreeMap<u32, ServerEntry>,
    timers: Vec<u64>,
    probes: Vec<ServerId>,
    log: Vec<Action>,
}

impl World {
    fn new(settings: Settings) -> Self {
        let list = zones(3, 3);
        let rig = Rig {
            balancer: Balancer::new(settings, 99, SECOND).unwrap(),
            now: SECOND,
            next_id: 0,
        };
        let listed = list
            .iter()
            .map(|entry| (entry.server.0, entry.clone()))
            .collect();
        let mut world = Self {
            rig,
            calls: BTreeMap::new(),
            listed,
            timers: Vec::new(),
            probes: Vec::new(),
            log: Vec::new(),
        };
        world.tell(Event::ServerList(&list));
        world
    }

    fn tell(&mut self, event: Event<'_>) {
        for action in self.rig.tell(event) {
            self.check(&action);
            self.log.push(action);
        }
    }

    fn check(&mut self, action: &Action) {
        let now = self.rig.now;
        match action {
            Action::Send { id, server, .. } => {
                let call = self.calls.get_mut(&id.0).expect("a request that was given");
                assert!(
                    !call.answered && !call.left,
                    "rule 1: sent after the end of {id:?}"
                );
                assert!(call.out.is_none(), "rule 2: two attempts out for {id:?}");
                assert!(call.attempts < 4, "over the most attempts");
                let entry = &self.listed[&server.0];
                assert_eq!(
                    entry.lifecycle,
                    Lifecycle::Ready,
                    "rule 3: sent to {server:?}"
                );
                if let Some((first, sent)) = call.ran {
                    let (first, window) = (&self.listed[&first], SECOND);
                    match call.class {
                        SAFE => {}
                        UNSAFE => panic!("rule 2: unsafe {id:?} sent again"),
                        _ if now - sent > window => panic!("rule 2: {id:?} sent after its window"),
                        KEYED_ZONE => assert_eq!(first.zone, entry.zone, "rule 2: out of the zone"),
                        KEYED_CELL => assert_eq!(first.cell, entry.cell, "rule 2: out of the cell"),
                        _ => {}
                    }
                }
                call.attempts += 1;
                call.out = Some((server.0, now));
            }
            Action::Reject { id, .. } | Action::Fail(id) => {
                let call = self.calls.get_mut(&id.0).expect("a request that was given");
                assert!(
                    !call.answered && !call.left,
                    "rule 1: a second answer for {id:?}"
                );
                assert!(call.out.is_none(), "rule 1: answered with an attempt out");
                let refused = matches!(action, Action::Reject { .. });
                let harmless = call.ran.is_none() || call.class == SAFE || call.class == KEYED_ALL;
                assert!(
                    !refused || harmless,
                    "rule 2: {id:?} refused though it may have run"
                );
                call.answered = true;
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

    fn out(&self, pick: usize) -> Option<u32> {
        let out: Vec<u32> = self
            .calls
            .iter()
            .filter(|(_, c)| c.out.is_some())
            .map(|(id, _)| *id)
            .collect();
        out.get(pick % out.len().max(1)).copied()
    }

    fn play(&mut self, step: &Step) {
        match *step {
            Step::Wait { time } => self.rig.now += time,
            Step::Probed { pick, ok, load } => {
                if self.probes.is_empty() {
                    return;
                }
                let server = self.probes.swap_remove(pick % self.probes.len());
                let outcome = if ok { Outcome::Ok } else { Outcome::Timeout };
                self.tell(Event::ProbeEnded(
                    server,
                    outcome,
                    held(load).filter(|_| ok),
                ));
            }
            Step::Failed => self.tell(Event::SubscriptionFailed),
            Step::Ring { pick } if !self.timers.is_empty() => {
                let token = self.timers[pick % self.timers.len()];
                self.tell(Event::Timer(token));
            }
            Step::Ring { pick } => self.tell(Event::Timer(pick as u64)),
            Step::RequestParameters { class, time_left } => {
                let id = self.rig.next_id;
                self.rig.next_id += 1;
                let call = Call {
                    class,
                    attempts: 0,
                    out: None,
                    ran: None,
                    answered: false,
                    left: false,
                };
                self.calls.insert(id, call);
                let demand = RequestParameters {
                    class,
                    tenant: class,
                    time_left,
                    work: Some(time_left),
                    max_attempts: u32::MAX,
                };
                self.tell(Event::Request(RequestId(id), demand));
            }
            Step::AttemptEnd { pick, outcome } => {
                let Some(id) = self.out(pick) else { return };
                self.end(id, OUTCOMES[outcome]);
            }
            Step::Leave { pick } => {
                let Some(id) = self.out(pick) else { return };
                let call = self.calls.get_mut(&id).expect("it is out");
                if !call.answered && !call.left {
                    call.left = true;
                    self.tell(Event::ClientDisconnected(RequestId(id)));
                }
            }
            Step::List {
                server,
                lifecycle,
                size,
                fresh,
                whole,
            } => {
                let lifecycle =
                    [Lifecycle::Removed, Lifecycle::Ready, Lifecycle::Draining][lifecycle as usize];
                let started = fresh.then_some(self.rig.now);
                let entry = ServerEntry {
                    lifecycle,
                    size,
                    started,
                    ..entry(server, (server % 4) as u8)
                };
                let entry = self
                    .listed
                    .get(&server)
                    .map_or(entry.clone(), |old| ServerEntry {
                        zone: old.zone,
                        cell: old.cell,
                        ..entry
                    });
                if whole {
                    self.listed
                        .values_mut()
                        .for_each(|entry| entry.lifecycle = Lifecycle::Removed);
                }
                self.listed.insert(server, entry.clone());
                let event = if whole {
                    Event::ServerList(&[entry])
                } else {
                    Event::ServerListChange(&[entry])
                };
                self.tell(event);
            }
            Step::Noise {
                id,
                attempt,
                token,
                load,
            } => {
                let id = RequestId(id);
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
                self.tell(Event::AttemptEnded(id, end));
                self.tell(Event::ClientDisconnected(id));
                self.tell(Event::ResponseStarted(id, attempt));
                self.tell(Event::Timer(token & !(1 << 63)));
            }
        }
    }

    fn end(&mut self, id: u32, outcome: Outcome) {
        let call = self.calls.get_mut(&id).expect("it was given");
        let (server, sent) = call.out.take().expect("it is out");
        if !outcome.never_ran() {
            call.ran = call.ran.or(Some((server, sent)));
        }
        let attempt = call.attempts - 1;
        call.answered |= outcome == Outcome::Ok && !call.left;
        let closed = call.answered || call.left;
        let elapsed = self.rig.now - sent;
        self.tell(Event::AttemptEnded(
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
    fn rules_hold_on_random_legal_orders(kind in 0u8..64, steps in prop::collection::vec(step(), 1..300)) {
        let mut world = World::new(settings_of(kind));
        steps.iter().for_each(|step| world.play(step));
        // Rule 1: when every attempt has ended by its deadline, every request has its answer.
        loop {
            // Every timer comes due in the end, and those that it sets in turn.
            for token in std::mem::take(&mut world.timers) {
                world.tell(Event::Timer(token));
            }
            let Some(id) = world.out(0) else { break };
            world.rig.now += 3 * SECOND;
            world.end(id, Outcome::Timeout);
        }
        for (id, call) in &world.calls {
            prop_assert!(call.answered || call.left, "request {id} has no answer");
        }
    }

    #[test]
    fn same_events_give_the_same_actions(kind in 0u8..64, steps in prop::collection::vec(step(), 1..200)) {
        let [first, second] = [(), ()].map(|()| {
            let mut world = World::new(settings_of(kind));
            steps.iter().for_each(|step| world.play(step));
            world.log
        });
        prop_assert_eq!(first, second);
    }
}
