//! The auditor detects each way in which a balancer can break a rule, and reports nothing for a correct
//! balancer. Also checks that runs are deterministic.

mod common;

use common::small;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use woadstall_emulator::engine::{Command, Input, Lifecycle, Peer, RequestId, Time};
use woadstall_emulator::{BalancerAgent, Policy, Rule, RunResult, Scenario, Simulation, Ticket};

type BoxedAgent = Box<dyn BalancerAgent + Send>;

/// Misbehavior of an agent.
#[derive(Clone, Copy, PartialEq)]
enum Misbehavior {
    Nothing,
    SendsTwice,
    SendsToDraining,
    OverloadsColdUpstream,
    RespondsTwice,
    NeverResponds,
}

/// Wraps an agent and breaks one rule on purpose.
struct MisbehavingAgent {
    agent: BoxedAgent,
    misbehavior: Misbehavior,
    now: Time,
    /// Commands that the wrapper adds to the ones of the wrapped agent.
    additional_commands: VecDeque<Command<Ticket, ()>>,
    classes: HashMap<RequestId, usize>,
    peers: HashMap<String, Peer>,
    /// Name of the upstream that was listed as draining last, and the time.
    draining: Option<(String, Time)>,
    /// Name of the upstream that started cold last.
    cold: Option<String>,
    response_count: u32,
}

const SECOND: Time = 1_000_000_000;
/// Added to the number of an attempt that the wrapper sends on its own.
const ADDED_ATTEMPT: u32 = 1_000;
/// Position of the unsafe class in the small scenario.
const UNSAFE: usize = 1;

impl BalancerAgent for MisbehavingAgent {
    fn handle(&mut self, now: Time, input: Input<'_, Ticket, ()>) {
        self.now = now;
        match &input {
            Input::Call(call) => drop(self.classes.insert(call.id, call.class)),
            Input::EndpointsListed { entries, .. } => {
                for entry in *entries {
                    let address = entry.address.unwrap();
                    let server = woadstall_emulator::engine::ServerId(0);
                    self.peers.insert(
                        entry.name.clone(),
                        Peer {
                            server,
                            address,
                            boot_ms: entry.boot_ms,
                        },
                    );
                    match entry.lifecycle {
                        Lifecycle::Draining => self.draining = Some((entry.name.clone(), now)),
                        Lifecycle::Ready if entry.boot_ms > 0 => {
                            self.cold = Some(entry.name.clone())
                        }
                        _ => {}
                    }
                }
            }
            // The wrapped agent did not send the additional attempt.
            Input::AttemptEnded { attempt, .. } if *attempt >= ADDED_ATTEMPT => return,
            _ => {}
        }
        self.agent.handle(now, input);
    }

    fn next_command(&mut self) -> Option<Command<Ticket, ()>> {
        if let Some(command) = self.additional_commands.pop_front() {
            return Some(command);
        }
        let mut command = self.agent.next_command()?;
        match (&mut command, self.misbehavior) {
            (Command::SendAttempt(send), Misbehavior::SendsTwice)
                if self.classes.get(&send.id) == Some(&UNSAFE) =>
            {
                let again = woadstall_emulator::engine::SendAttempt {
                    attempt: send.attempt + ADDED_ATTEMPT,
                    ..*send
                };
                self.additional_commands
                    .push_back(Command::SendAttempt(again));
            }
            (Command::SendAttempt(send), Misbehavior::SendsToDraining) => {
                if let Some((name, since)) = &self.draining
                    && self.now > since + SECOND + SECOND / 1_000
                {
                    (send.to.address, send.to.boot_ms) =
                        (self.peers[name].address, self.peers[name].boot_ms);
                }
            }
            (Command::SendAttempt(send), Misbehavior::OverloadsColdUpstream) => {
                if let Some(name) = &self.cold {
                    (send.to.address, send.to.boot_ms) =
                        (self.peers[name].address, self.peers[name].boot_ms);
                }
            }
            (
                Command::Respond { request, .. },
                Misbehavior::RespondsTwice | Misbehavior::NeverResponds,
            ) => {
                self.response_count += 1;
                if self.response_count == 100 && self.misbehavior == Misbehavior::NeverResponds {
                    return self.next_command();
                }
                if self.response_count == 100 {
                    self.additional_commands.push_back(Command::Respond {
                        request: *request,
                        result: woadstall_emulator::engine::CallResult::Failed,
                    });
                }
            }
            _ => {}
        }
        Some(command)
    }

    fn wake_at(&self) -> Option<Time> {
        self.agent.wake_at()
    }

    fn open_call_count(&self) -> usize {
        self.agent.open_call_count()
    }
}

fn run_misbehaving(scenario: &Scenario, misbehavior: Misbehavior) -> RunResult {
    let wrap = |agent: BoxedAgent| -> BoxedAgent {
        Box::new(MisbehavingAgent {
            agent,
            misbehavior,
            now: 0,
            additional_commands: VecDeque::new(),
            classes: HashMap::new(),
            peers: HashMap::new(),
            draining: None,
            cold: None,
            response_count: 0,
        })
    };
    let mut simulation = Simulation::new(scenario, Policy::Woadstall, 7);
    simulation.wrap_agents(&wrap);
    simulation.run()
}

const ROLL: &str = "[[fault]]\nat = \"1 s\"\nuntil = \"7 s\"\npart = 0.4\nwhat = \"roll\"\n";

fn broken_rules(end: &RunResult) -> Vec<Rule> {
    end.breaches
        .iter()
        .filter(|(_, count)| **count > 0)
        .map(|(rule, _)| *rule)
        .collect()
}

#[test]
fn each_misbehavior_breaks_its_rule() {
    let scenario = small(ROLL);
    let rules_broken_by = |misbehavior| broken_rules(&run_misbehaving(&scenario, misbehavior));
    assert_eq!(rules_broken_by(Misbehavior::Nothing), []);
    assert_eq!(
        rules_broken_by(Misbehavior::SendsTwice),
        [Rule::NoEffectTwice]
    );
    assert_eq!(
        rules_broken_by(Misbehavior::SendsToDraining),
        [Rule::Drained]
    );
    // The engine backs off from an upstream that is full, so overloading a cold one takes a higher load.
    let mut higher_load = scenario.clone();
    higher_load.callers[0].load = woadstall_emulator::Load::Constant(1_500.0);
    assert_eq!(
        broken_rules(&run_misbehaving(&higher_load, Misbehavior::Nothing)),
        []
    );
    assert_eq!(
        broken_rules(&run_misbehaving(
            &higher_load,
            Misbehavior::OverloadsColdUpstream
        )),
        [Rule::Cold]
    );
    assert_eq!(
        rules_broken_by(Misbehavior::RespondsTwice),
        [Rule::OneAnswer]
    );
    // The unanswered request is also still open at the end of the run.
    assert_eq!(
        rules_broken_by(Misbehavior::NeverResponds),
        [Rule::OneAnswer, Rule::Conservation]
    );
}

/// The call of a breach can be traced in a second run with the same seed.
#[test]
fn the_call_of_a_breach_can_be_traced() {
    let scenario = small("");
    let end = run_misbehaving(&scenario, Misbehavior::SendsTwice);
    let breach = end.first_breaches.first().unwrap();
    let mut simulation = Simulation::new(&scenario, Policy::Woadstall, 7);
    simulation.trace_call(breach.call.unwrap());
    let trace = simulation.run().call_trace;
    let texts: Vec<_> = trace.iter().map(|(_, text)| text.as_str()).collect();
    assert!(texts[0].contains("reaches balancer"), "{texts:?}");
    assert!(
        texts.iter().any(|line| line.contains("sends attempt 0")),
        "{texts:?}"
    );
    assert!(
        texts.last().unwrap().contains("its caller has"),
        "{texts:?}"
    );
    assert!(trace.windows(2).all(|pair| pair[0].0 <= pair[1].0));
}

/// Time, input and resulting commands of each input to an agent.
type Recording = Arc<Mutex<Vec<(Time, String, String)>>>;

struct Recorder {
    agent: BoxedAgent,
    recording: Recording,
}

impl BalancerAgent for Recorder {
    fn handle(&mut self, now: Time, input: Input<'_, Ticket, ()>) {
        self.recording
            .lock()
            .unwrap()
            .push((now, format!("{input:?}"), String::new()));
        self.agent.handle(now, input);
    }

    fn next_command(&mut self) -> Option<Command<Ticket, ()>> {
        let command = self.agent.next_command()?;
        self.recording.lock().unwrap().last_mut().unwrap().2 += &format!("{command:?}");
        Some(command)
    }

    fn wake_at(&self) -> Option<Time> {
        self.agent.wake_at()
    }

    fn open_call_count(&self) -> usize {
        self.agent.open_call_count()
    }
}

/// Passes the same inputs to a second engine and compares the commands.
struct Twin {
    agent: BoxedAgent,
    twin: woadstall_emulator::engine::Engine<Ticket, ()>,
    compared_commands: Arc<Mutex<usize>>,
}

impl BalancerAgent for Twin {
    fn handle(&mut self, now: Time, input: Input<'_, Ticket, ()>) {
        use woadstall_emulator::engine::AttemptEnd;
        let copy = match &input {
            Input::EndpointsListed {
                entries,
                is_complete,
            } => Input::EndpointsListed {
                entries,
                is_complete: *is_complete,
            },
            Input::Call(call) => Input::Call(woadstall_emulator::engine::Call {
                id: call.id,
                request: call.request,
                class: call.class,
                tenant: call.tenant,
                work: call.work,
                deadline: call.deadline,
                max_attempts: call.max_attempts,
            }),
            Input::CallerDisconnected(id) => Input::CallerDisconnected(*id),
            Input::AttemptEnded { id, attempt, end } => Input::AttemptEnded {
                id: *id,
                attempt: *attempt,
                end: AttemptEnd {
                    outcome: end.outcome,
                    response: end.response,
                    load: end.load,
                },
            },
            Input::Tick => Input::Tick,
            other => unreachable!("the emulator sends no such input: {other:?}"),
        };
        self.twin.handle(now, copy);
        self.agent.handle(now, input);
    }

    fn next_command(&mut self) -> Option<Command<Ticket, ()>> {
        let command = self.agent.next_command();
        assert_eq!(command, self.twin.next_command());
        *self.compared_commands.lock().unwrap() += usize::from(command.is_some());
        command
    }

    fn wake_at(&self) -> Option<Time> {
        assert_eq!(self.agent.wake_at(), self.twin.wake_at());
        self.agent.wake_at()
    }

    fn open_call_count(&self) -> usize {
        self.agent.open_call_count()
    }
}

/// A second engine with the same inputs at the same times gives the same commands as the engine inside the
/// emulator.
#[test]
fn a_replayed_run_gives_identical_commands() {
    use woadstall_emulator::engine::Engine;
    let scenario = small(ROLL);
    let compared_commands = Arc::new(Mutex::new(0));
    let wrap = |_: BoxedAgent| -> BoxedAgent {
        let engine = || Engine::new(scenario.settings(0, 0), 5, 0).unwrap();
        Box::new(Twin {
            agent: Box::new(engine()),
            twin: engine(),
            compared_commands: compared_commands.clone(),
        })
    };
    let mut simulation = Simulation::new(&scenario, Policy::Woadstall, 3);
    simulation.wrap_agents(&wrap);
    assert_eq!(simulation.run().breach_count(), 0);
    assert!(*compared_commands.lock().unwrap() > 3_000);
}

/// The same seed gives the same result and the same agent inputs, also in parallel threads; another seed gives
/// a different result.
#[test]
fn the_same_seed_gives_the_same_result() {
    let scenario = small(ROLL);
    let run = |seed| {
        let recording = Recording::default();
        let wrap = |agent: BoxedAgent| -> BoxedAgent {
            Box::new(Recorder {
                agent,
                recording: recording.clone(),
            })
        };
        let mut simulation = Simulation::new(&scenario, Policy::Woadstall, seed);
        simulation.wrap_agents(&wrap);
        let end = simulation.run();
        let recording = std::mem::take(&mut *recording.lock().unwrap());
        (format!("{end:?}"), recording)
    };
    let expected = run(1);
    let results = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(|| run(1))).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect::<Vec<_>>()
    });
    assert!(results.iter().all(|other| *other == expected));
    assert_ne!(run(2).0, expected.0);
}

/// Additional upstreams and balancers do not change the arrival times of the calls.
#[test]
fn additional_actors_do_not_change_other_draws() {
    let offered = |scenario: &Scenario| {
        let end = woadstall_emulator::run(scenario, Policy::Woadstall, 1);
        end.timeline
            .iter()
            .map(|step| step.counts.offered)
            .collect::<Vec<_>>()
    };
    let scenario = small("");
    let mut larger = scenario.clone();
    larger.tier[0].upstreams += 1;
    larger.tier[0].balancers += 2;
    assert_eq!(offered(&scenario), offered(&larger));
}
