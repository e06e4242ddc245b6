//! Any legal order of inputs gives each request one answer, sends nothing that it must not, and leaves the tables
//! empty when all is over.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use woadstall_engine::decisions::{Class, DedupScope, Effect};
use woadstall_engine::*;

const MS: u64 = 1_000_000;
const START: Time = 1_700_000_000_000 * MS;
/// Safe, unsafe and keyed, in this order.
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

fn entry(upstream: u8, lifecycle: Lifecycle, boot_ms: u64) -> Entry {
    Entry {
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
        most: u32,
    },
    Gone {
        pick: usize,
    },
    Started {
        pick: usize,
    },
    End {
        pick: usize,
        outcome: usize,
    },
    List {
        upstream: u8,
        state: u8,
        restarted: bool,
        whole: bool,
    },
    Failed,
    Tick,
    /// Ends that were never begun, twice told, or of requests long over.
    Noise {
        id: u32,
        attempt: u32,
    },
    Wait {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..=CLASSES, 0u64..1500, 0u32..8).prop_map(|(class, ms, most)| Step::Call {
            class,
            time_left: ms * MS,
            most: if most == 7 { u32::MAX } else { most },
        }),
        1 => any::<usize>().prop_map(|pick| Step::Gone { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Started { pick }),
        8 => (any::<usize>(), 0usize..9).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        2 => (0u8..6, 0u8..3, any::<bool>(), 0u8..6).prop_map(|(upstream, state, restarted, whole)| Step::List {
            upstream,
            state,
            restarted,
            whole: whole == 0,
        }),
        1 => Just(Step::Failed),
        3 => Just(Step::Tick),
        1 => (0u32..50, 0u32..4).prop_map(|(id, attempt)| Step::Noise { id, attempt }),
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

struct Taken {
    class: usize,
    deadline: Time,
    most: u32,
    attempts: u32,
    may_have_run: Option<Time>,
    over: bool,
}

struct Rig {
    engine: Engine<u32, u32>,
    now: Time,
    max_attempts: u32,
    taken: BTreeMap<u32, Taken>,
    out: BTreeSet<(u32, u32)>,
    listed: BTreeMap<u8, Entry>,
    /// Everything that was done, for comparing two runs.
    done: Vec<String>,
}

impl Rig {
    fn new(may_cancel: bool, max_attempts: u32, seed: u64) -> Self {
        Self {
            engine: Engine::new(settings(may_cancel, max_attempts), seed, START).unwrap(),
            now: START,
            max_attempts,
            taken: BTreeMap::new(),
            out: BTreeSet::new(),
            listed: BTreeMap::new(),
            done: Vec::new(),
        }
    }

    fn tell(&mut self, input: Input<'_, u32, u32>) {
        self.engine.handle(self.now, input);
        while let Some(command) = self.engine.next_command() {
            self.done.push(format!("{} {command:?}", self.now));
            match command {
                Command::Send(send) => self.on_send(&send),
                Command::Answer { request, verdict } => {
                    let taken = self
                        .taken
                        .get_mut(&request)
                        .expect("a request that was taken");
                    assert!(!taken.over, "request {request} is answered again");
                    taken.over = true;
                    // Rule 2: a refusal promises that trying again is harmless.
                    if matches!(verdict, Verdict::Refused(_)) && taken.class != 0 {
                        assert_eq!(
                            taken.may_have_run, None,
                            "request {request} is refused, and may have run"
                        );
                    }
                }
                Command::Withdraw { id, attempt } => assert!(self.out.contains(&(id.0, attempt))),
                _ => {}
            }
        }
    }

    fn on_send(&mut self, send: &Send) {
        let taken = self
            .taken
            .get_mut(&send.id.0)
            .expect("a request that was taken");
        assert!(!taken.over, "sent after its answer");
        assert_eq!(
            send.attempt, taken.attempts,
            "attempts are numbered in order"
        );
        taken.attempts = send.attempt + 1;
        assert!(
            taken.attempts <= taken.most.min(self.max_attempts),
            "more attempts than allowed"
        );
        assert!(self.now < send.until && send.until <= taken.deadline);
        assert_eq!(send.deadline, taken.deadline);
        assert!(self.now < send.begin_by);
        // Rule 2: unsafe work that may have run is not sent again, keyed work within its window only.
        match (taken.class, taken.may_have_run) {
            (1, Some(_)) => panic!("unsafe work is sent again"),
            (2, Some(since)) => assert!(self.now < since + 300 * MS, "the window is over"),
            _ => {}
        }
        // Rule 3, and no attempt at a former process.
        let listed = self
            .listed
            .values()
            .find(|entry| entry.address == Some(send.to.address));
        let listed = listed.expect("a listed upstream");
        assert!(listed.lifecycle == Lifecycle::Ready && listed.boot_ms == send.to.boot_ms);
        assert!(self.engine.takes_new(&send.to));
        assert!(self.out.insert((send.id.0, send.attempt)));
    }

    fn end(&mut self, (id, attempt): (u32, u32), outcome: Outcome) {
        self.out.remove(&(id, attempt));
        let taken = self.taken.get_mut(&id).unwrap();
        if !outcome.never_ran() {
            taken.may_have_run = taken.may_have_run.or(Some(self.now));
        }
        let is_final = matches!(outcome, Outcome::Ok | Outcome::Declined);
        let ended = Ended {
            outcome,
            answer: is_final.then_some(id),
            load: None,
        };
        self.tell(Input::Ended {
            id: RequestId(id),
            attempt,
            ended,
        });
    }

    fn pick(&self, pick: usize) -> Option<(u32, u32)> {
        self.out.iter().nth(pick % self.out.len().max(1)).copied()
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Call {
                class,
                time_left,
                most,
            } => {
                let id = self.taken.len() as u32;
                let deadline = self.now + time_left;
                let taken = Taken {
                    class,
                    deadline,
                    most,
                    attempts: 0,
                    may_have_run: None,
                    over: false,
                };
                self.taken.insert(id, taken);
                let attempts = most;
                let id = RequestId(id);
                let call = Call {
                    id,
                    request: id.0,
                    class,
                    tenant: 0,
                    work: None,
                    deadline,
                    attempts,
                };
                self.tell(Input::Call(call));
            }
            Step::Gone { pick } => {
                let open: Vec<u32> = self
                    .taken
                    .iter()
                    .filter(|(_, t)| !t.over)
                    .map(|(id, _)| *id)
                    .collect();
                if let Some(&id) = open.get(pick % open.len().max(1)) {
                    self.taken.get_mut(&id).unwrap().over = true;
                    self.tell(Input::Gone(RequestId(id)));
                }
            }
            Step::Started { pick } => {
                if let Some((id, attempt)) = self.pick(pick) {
                    let owed = !self.taken[&id].over;
                    self.tell(Input::Started {
                        id: RequestId(id),
                        attempt,
                        answer: id,
                    });
                    assert!(
                        !owed || self.taken[&id].over,
                        "an answer that has begun is the answer"
                    );
                }
            }
            Step::End { pick, outcome } => {
                if let Some(out) = self.pick(pick) {
                    self.end(out, OUTCOMES[outcome]);
                }
            }
            Step::List {
                upstream,
                state,
                restarted,
                whole,
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
                let entries = if whole {
                    self.listed.values().cloned().collect()
                } else {
                    vec![entry]
                };
                self.tell(Input::Listed {
                    entries: &entries,
                    all: whole,
                });
                assert_eq!(self.engine.upstreams(), self.listed.len());
            }
            Step::Failed => self.tell(Input::ListFailed),
            Step::Tick => self.tell(Input::Tick),
            Step::Noise { id, attempt } => {
                if !self.out.contains(&(id, attempt)) {
                    let ended = Ended {
                        outcome: Outcome::Ok,
                        answer: Some(id),
                        load: None,
                    };
                    let count = self.done.len();
                    self.tell(Input::Ended {
                        id: RequestId(id),
                        attempt,
                        ended,
                    });
                    assert_eq!(self.done.len(), count, "what was not out has no end");
                }
            }
            Step::Wait { ms } => {
                // A front's promise: it comes back by then.
                let target = self.now + ms * MS;
                while let Some(at) = self.engine.wake_at().filter(|at| *at <= target) {
                    self.now = self.now.max(at);
                    self.tell(Input::Tick);
                }
                self.now = target;
                let overdue = |taken: &Taken| !taken.over && taken.deadline + NET_AFTER <= self.now;
                assert!(
                    !self.taken.values().any(overdue),
                    "a request is open past its time"
                );
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn each_request_has_one_answer_and_nothing_stays(
        steps in proptest::collection::vec(step(), 1..200),
        may_cancel: bool,
        max_attempts in 1u32..6,
        seed: u64,
    ) {
        let run = || {
            let mut rig = Rig::new(may_cancel, max_attempts, seed);
            for upstream in 0..3 {
                rig.step(Step::List { upstream, state: 0, restarted: false, whole: false });
            }
            steps.iter().cloned().for_each(|step| rig.step(step));
            // All is over: what is out ends, and time passes.
            while let Some(out) = rig.pick(0) {
                rig.end(out, Outcome::Reset);
            }
            for _ in 0..12 {
                rig.step(Step::Wait { ms: 300 });
                while let Some(out) = rig.pick(0) {
                    rig.end(out, Outcome::Timeout);
                }
            }
            assert!(rig.taken.values().all(|taken| taken.over), "each request has its answer");
            assert_eq!(rig.engine.open(), 0, "nothing is left in the tables");
            rig.done
        };
        // The same inputs give the same commands, to the byte.
        assert_eq!(run(), run());
    }
}

/// Guards against a module that forgets a request: its caller is answered all the same, once.
#[test]
fn the_safety_net_answers_what_is_left_open() {
    let mut rig = Rig::new(false, 1, 1);
    rig.step(Step::List {
        upstream: 0,
        state: 0,
        restarted: false,
        whole: true,
    });
    rig.step(Step::Call {
        class: 1,
        time_left: 100 * MS,
        most: u32::MAX,
    });
    assert_eq!(rig.out.len(), 1);
    // The front never tells of an end: the attempt is stuck.
    rig.step(Step::Wait { ms: 200 });
    assert!(
        rig.done.iter().any(|done| done.contains("Failed")),
        "{:?}",
        rig.done
    );
    rig.end((0, 0), Outcome::Ok);
    assert_eq!(rig.engine.open(), 0);
}

#[test]
fn a_number_that_is_open_is_not_taken_again() {
    let mut engine: Engine<&str, ()> = Engine::new(settings(true, 3), 1, START).unwrap();
    engine.handle(
        START,
        Input::Listed {
            entries: &[entry(0, Lifecycle::Ready, 0)],
            all: true,
        },
    );
    let call = |request| Call {
        id: RequestId(7),
        request,
        class: 0,
        tenant: 0,
        work: None,
        deadline: START + 500 * MS,
        attempts: 3,
    };
    engine.handle(START, Input::Call(call("first")));
    engine.handle(START, Input::Call(call("second")));
    let mut answered = Vec::new();
    while let Some(command) = engine.next_command() {
        if let Command::Answer { request, verdict } = command {
            answered.push((request, verdict));
        }
    }
    assert_eq!(answered, [("second", Verdict::Refused(0))]);
    assert_eq!(engine.request(RequestId(7)), Some(&"first"));
}

#[test]
fn a_call_without_time_or_attempts_is_refused_at_once() {
    for (time_left, attempts) in [(0, 3), (500 * MS, 0)] {
        let mut engine: Engine<(), ()> = Engine::new(settings(true, 3), 1, START).unwrap();
        engine.handle(
            START,
            Input::Listed {
                entries: &[entry(0, Lifecycle::Ready, 0)],
                all: true,
            },
        );
        while engine.next_command().is_some() {}
        let deadline = START + time_left;
        let id = RequestId(0);
        let call = Call {
            id,
            request: (),
            class: 0,
            tenant: 0,
            work: None,
            deadline,
            attempts,
        };
        engine.handle(START, Input::Call(call));
        let refused = Command::Answer {
            request: (),
            verdict: Verdict::Refused(0),
        };
        assert_eq!(engine.next_command(), Some(refused));
        assert_eq!(engine.next_command(), None);
        assert_eq!(engine.open(), 0);
    }
}
