//! Property tests of the engine: for any valid sequence of inputs, each call gets one response, no attempt is sent
//! that must not be sent, and the tables are empty at the end.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use woadstall_engine::decisions::{Class, DedupScope, Effect};
use woadstall_engine::*;

const MS: u64 = 1_000_000;
const START: Time = 1_700_000_000_000 * MS;
/// Positions of the classes in the settings.
const SAFE: usize = 0;
const UNSAFE: usize = 1;
const KEYED: usize = 2;
/// Number of classes in the settings.
const CLASSES: usize = 3;

fn settings(may_cancel: bool, max_attempts: u32) -> Settings {
    let class = |effect| Class {
        latency_target: 200 * MS,
        latency_target_stretch: 0.0,
        deadline: 1000 * MS,
        effect,
        late_value: 0.5,
        value: 1.0,
    };
    Settings {
        classes: vec![
            class(Effect::Safe),
            class(Effect::Unsafe),
            class(Effect::Keyed(DedupScope::All, 300 * MS)),
        ],
        tenants: vec![],
        over_quota_value: 1.0,
        value_by_work: false,
        zone: decisions::ZoneId(0),
        zones: 2,
        balancers: 3,
        tier: 1,
        propagates_deadline: true,
        subscribes_to_discovery: false,
        subscribe_within: 0,
        may_cancel,
        max_retry_after: 500 * MS,
        max_attempts,
        idle_timeout: 10_000 * MS,
        slow_start_capacity: 0.3,
        slow_start_overload: 2.5,
        slow_start_window: 8_000 * MS,
        in_flight_report_field: None,
        probes_for_load: false,
        cross_zone_cost: 0.0,
        probe_cost: 0.0,
    }
}

fn entry(upstream: u8, lifecycle: Lifecycle, boot_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        name: format!("s-{upstream}"),
        address: Some(([127, 0, 0, 1], 9000 + u16::from(upstream)).into()),
        zone: Some(decisions::ZoneId(upstream % 2)),
        cell: 0,
        lifecycle,
        size: 1.0,
        boot_ms,
    }
}

#[derive(Clone, Debug)]
enum Step {
    Call {
        class: usize,
        time_left: u64,
        max_attempts: u32,
    },
    Disconnect {
        pick: usize,
    },
    StartResponse {
        pick: usize,
    },
    EndAttempt {
        pick: usize,
        outcome: usize,
    },
    List {
        upstream: u8,
        state: u8,
        restarted: bool,
        is_complete: bool,
    },
    FailDiscovery,
    Tick,
    /// End of an attempt that was never sent, has already ended, or belongs to a completed call.
    UnknownAttemptEnd {
        id: u32,
        attempt: u32,
    },
    Wait {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..=CLASSES, 0u64..1500, 0u32..8).prop_map(|(class, ms, max_attempts)| Step::Call {
            class,
            time_left: ms * MS,
            max_attempts: if max_attempts == 7 { u32::MAX } else { max_attempts },
        }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        1 => any::<usize>().prop_map(|pick| Step::StartResponse { pick }),
        8 => (any::<usize>(), 0usize..9).prop_map(|(pick, outcome)| Step::EndAttempt { pick, outcome }),
        2 => (0u8..6, 0u8..3, any::<bool>(), 0u8..6).prop_map(|(upstream, state, restarted, is_complete)| Step::List {
            upstream,
            state,
            restarted,
            is_complete: is_complete == 0,
        }),
        1 => Just(Step::FailDiscovery),
        3 => Just(Step::Tick),
        1 => (0u32..50, 0u32..4).prop_map(|(id, attempt)| Step::UnknownAttemptEnd { id, attempt }),
        4 => (0u64..300).prop_map(|ms| Step::Wait { ms }),
    ]
}

const OUTCOMES: [Outcome; 9] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Declined,
    Outcome::Full,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Moot,
];

struct ExpectedCall {
    class: usize,
    deadline: Time,
    max_attempts: u32,
    attempts: u32,
    /// Time of the first end of an attempt that may have run.
    may_have_run_since: Option<Time>,
    is_done: bool,
}

struct Harness {
    engine: Engine<u32, u32>,
    now: Time,
    max_attempts: u32,
    calls: BTreeMap<u32, ExpectedCall>,
    in_flight: BTreeSet<(u32, u32)>,
    listed: BTreeMap<u8, UpstreamEntry>,
    /// All executed commands, to compare two runs.
    log: Vec<String>,
}

impl Harness {
    fn new(may_cancel: bool, max_attempts: u32, seed: u64) -> Self {
        Self {
            engine: Engine::new(settings(may_cancel, max_attempts), seed, START).unwrap(),
            now: START,
            max_attempts,
            calls: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            listed: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    fn handle(&mut self, input: Input<'_, u32, u32>) {
        self.engine.handle(self.now, input);
        while let Some(command) = self.engine.next_command() {
            self.log.push(format!("{} {command:?}", self.now));
            match command {
                Command::SendAttempt(send) => self.on_send(&send),
                Command::Respond { request, result } => {
                    let call = self
                        .calls
                        .get_mut(&request)
                        .expect("a response or attempt must belong to an accepted call");
                    assert!(!call.is_done, "request {request} got a second response");
                    call.is_done = true;
                    // A rejection guarantees that a retry is harmless.
                    if matches!(result, CallResult::Rejected(_)) && call.class != SAFE {
                        assert_eq!(
                            call.may_have_run_since, None,
                            "request {request} was rejected although it may have run"
                        );
                    }
                }
                Command::CancelAttempt { id, attempt } => {
                    assert!(self.in_flight.contains(&(id.0, attempt)))
                }
                _ => {}
            }
        }
    }

    fn on_send(&mut self, send: &SendAttempt) {
        let call = self
            .calls
            .get_mut(&send.id.0)
            .expect("a response or attempt must belong to an accepted call");
        assert!(!call.is_done, "an attempt was sent after the response");
        assert_eq!(
            send.attempt, call.attempts,
            "attempts are numbered in order"
        );
        call.attempts = send.attempt + 1;
        assert!(
            call.attempts <= call.max_attempts.min(self.max_attempts),
            "more attempts were sent than allowed"
        );
        assert!(self.now < send.until && send.until <= call.deadline);
        assert_eq!(send.deadline, call.deadline);
        assert!(self.now < send.begin_by);
        // An unsafe request that may have run is not sent again, and a keyed one only within its
        // deduplication window.
        match (call.class, call.may_have_run_since) {
            (UNSAFE, Some(_)) => panic!("an unsafe request that may have run was sent again"),
            (KEYED, Some(since)) => assert!(
                self.now < since + 300 * MS,
                "a keyed request was sent again after its deduplication window"
            ),
            _ => {}
        }
        // Attempts go only to listed upstreams that are ready, and never to a former process.
        let listed = self
            .listed
            .values()
            .find(|entry| entry.address == Some(send.to.address));
        let listed = listed.expect("an attempt must go to a listed upstream");
        assert!(listed.lifecycle == Lifecycle::Ready && listed.boot_ms == send.to.boot_ms);
        assert!(self.engine.accepts_new_attempts(&send.to));
        assert!(self.in_flight.insert((send.id.0, send.attempt)));
    }

    fn end(&mut self, (id, attempt): (u32, u32), outcome: Outcome) {
        self.in_flight.remove(&(id, attempt));
        let call = self.calls.get_mut(&id).unwrap();
        if !outcome.never_ran() {
            call.may_have_run_since = call.may_have_run_since.or(Some(self.now));
        }
        let is_final = matches!(outcome, Outcome::Ok | Outcome::Declined);
        let end = AttemptEnd {
            outcome,
            response: is_final.then_some(id),
            load: None,
        };
        self.handle(Input::AttemptEnded {
            id: RequestId(id),
            attempt,
            end,
        });
    }

    fn pick(&self, pick: usize) -> Option<(u32, u32)> {
        self.in_flight
            .iter()
            .nth(pick % self.in_flight.len().max(1))
            .copied()
    }

    #[expect(clippy::too_many_lines, reason = "one match arm per kind of step")]
    fn step(&mut self, step: Step) {
        match step {
            Step::Call {
                class,
                time_left,
                max_attempts,
            } => {
                let id = self.calls.len() as u32;
                let deadline = self.now + time_left;
                let expected_call = ExpectedCall {
                    class,
                    deadline,
                    max_attempts,
                    attempts: 0,
                    may_have_run_since: None,
                    is_done: false,
                };
                self.calls.insert(id, expected_call);
                let id = RequestId(id);
                let call = Call {
                    id,
                    request: id.0,
                    class,
                    tenant: 0,
                    work: None,
                    deadline,
                    max_attempts,
                };
                self.handle(Input::Call(call));
            }
            Step::Disconnect { pick } => {
                let open: Vec<u32> = self
                    .calls
                    .iter()
                    .filter(|(_, call)| !call.is_done)
                    .map(|(id, _)| *id)
                    .collect();
                if let Some(&id) = open.get(pick % open.len().max(1)) {
                    self.calls.get_mut(&id).unwrap().is_done = true;
                    self.handle(Input::CallerDisconnected(RequestId(id)));
                }
            }
            Step::StartResponse { pick } => {
                if let Some((id, attempt)) = self.pick(pick) {
                    let awaits_response = !self.calls[&id].is_done;
                    self.handle(Input::ResponseStarted {
                        id: RequestId(id),
                        attempt,
                        response: id,
                    });
                    assert!(
                        !awaits_response || self.calls[&id].is_done,
                        "a started response must complete the call"
                    );
                }
            }
            Step::EndAttempt { pick, outcome } => {
                if let Some(picked) = self.pick(pick) {
                    self.end(picked, OUTCOMES[outcome]);
                }
            }
            Step::List {
                upstream,
                state,
                restarted,
                is_complete,
            } => {
                let lifecycle =
                    [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed][usize::from(state)];
                let before = self.listed.get(&upstream).map_or(0, |entry| entry.boot_ms);
                let boot_ms = if restarted { self.now / MS } else { before };
                let entry = entry(upstream, lifecycle, boot_ms);
                if lifecycle == Lifecycle::Removed {
                    self.listed.remove(&upstream);
                } else {
                    self.listed.insert(upstream, entry.clone());
                }
                let entries = if is_complete {
                    self.listed.values().cloned().collect()
                } else {
                    vec![entry]
                };
                self.handle(Input::EndpointsListed {
                    entries: &entries,
                    is_complete,
                });
                assert_eq!(self.engine.upstream_count(), self.listed.len());
            }
            Step::FailDiscovery => self.handle(Input::DiscoveryFailed),
            Step::Tick => self.handle(Input::Tick),
            Step::UnknownAttemptEnd { id, attempt } => {
                if !self.in_flight.contains(&(id, attempt)) {
                    let end = AttemptEnd {
                        outcome: Outcome::Ok,
                        response: Some(id),
                        load: None,
                    };
                    let count = self.log.len();
                    self.handle(Input::AttemptEnded {
                        id: RequestId(id),
                        attempt,
                        end,
                    });
                    assert_eq!(
                        self.log.len(),
                        count,
                        "the end of an attempt that is not in flight must have no effect"
                    );
                }
            }
            Step::Wait { ms } => {
                // A front must call the engine again by the time that `wake_at` returns.
                let target = self.now + ms * MS;
                while let Some(at) = self.engine.wake_at().filter(|at| *at <= target) {
                    self.now = self.now.max(at);
                    self.handle(Input::Tick);
                }
                self.now = target;
                let overdue = |call: &ExpectedCall| {
                    !call.is_done && call.deadline + OVERDUE_GRACE_PERIOD_NS <= self.now
                };
                assert!(
                    !self.calls.values().any(overdue),
                    "a call is open past its deadline and grace period"
                );
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn each_call_has_one_response_and_the_tables_are_empty_at_the_end(
        steps in proptest::collection::vec(step(), 1..200),
        may_cancel: bool,
        max_attempts in 1u32..6,
        seed: u64,
    ) {
        let run = || {
            let mut harness = Harness::new(may_cancel, max_attempts, seed);
            for upstream in 0..3 {
                harness.step(Step::List { upstream, state: 0, restarted: false, is_complete: false });
            }
            steps.iter().cloned().for_each(|step| harness.step(step));
            // All attempts in flight end, and time advances past every deadline.
            while let Some(picked) = harness.pick(0) {
                harness.end(picked, Outcome::Reset);
            }
            for _ in 0..12 {
                harness.step(Step::Wait { ms: 300 });
                while let Some(picked) = harness.pick(0) {
                    harness.end(picked, Outcome::Timeout);
                }
            }
            assert!(harness.calls.values().all(|call| call.is_done), "a call has no response");
            assert_eq!(harness.engine.open_call_count(), 0, "calls are left in the tables");
            harness.log
        };
        // Equal inputs must yield identical commands.
        assert_eq!(run(), run());
    }
}

/// Guards against a decision module that loses a call: the caller must still get exactly one response.
#[test]
fn an_overdue_call_fails() {
    let mut harness = Harness::new(false, 1, 1);
    harness.step(Step::List {
        upstream: 0,
        state: 0,
        restarted: false,
        is_complete: true,
    });
    harness.step(Step::Call {
        class: UNSAFE,
        time_left: 100 * MS,
        max_attempts: u32::MAX,
    });
    assert_eq!(harness.in_flight.len(), 1);
    // The front never reports the end of the attempt.
    harness.step(Step::Wait { ms: 200 });
    assert!(
        harness.log.iter().any(|line| line.contains("Failed")),
        "{:?}",
        harness.log
    );
    harness.end((0, 0), Outcome::Ok);
    assert_eq!(harness.engine.open_call_count(), 0);
}

#[test]
fn a_call_with_the_id_of_an_open_call_is_rejected() {
    let mut engine: Engine<&str, ()> = Engine::new(settings(true, 3), 1, START).unwrap();
    engine.handle(
        START,
        Input::EndpointsListed {
            entries: &[entry(0, Lifecycle::Ready, 0)],
            is_complete: true,
        },
    );
    let call = |request| Call {
        id: RequestId(7),
        request,
        class: SAFE,
        tenant: 0,
        work: None,
        deadline: START + 500 * MS,
        max_attempts: 3,
    };
    engine.handle(START, Input::Call(call("first")));
    engine.handle(START, Input::Call(call("second")));
    let mut responses = Vec::new();
    while let Some(command) = engine.next_command() {
        if let Command::Respond { request, result } = command {
            responses.push((request, result));
        }
    }
    assert_eq!(responses, [("second", CallResult::Rejected(0))]);
    assert_eq!(engine.request(RequestId(7)), Some(&"first"));
}

#[test]
fn a_call_without_time_or_attempts_is_rejected_at_once() {
    for (time_left, max_attempts) in [(0, 3), (500 * MS, 0)] {
        let mut engine: Engine<(), ()> = Engine::new(settings(true, 3), 1, START).unwrap();
        engine.handle(
            START,
            Input::EndpointsListed {
                entries: &[entry(0, Lifecycle::Ready, 0)],
                is_complete: true,
            },
        );
        while engine.next_command().is_some() {}
        let deadline = START + time_left;
        let id = RequestId(0);
        let call = Call {
            id,
            request: (),
            class: SAFE,
            tenant: 0,
            work: None,
            deadline,
            max_attempts,
        };
        engine.handle(START, Input::Call(call));
        let rejected = Command::Respond {
            request: (),
            result: CallResult::Rejected(0),
        };
        assert_eq!(engine.next_command(), Some(rejected));
        assert_eq!(engine.next_command(), None);
        assert_eq!(engine.open_call_count(), 0);
    }
}
