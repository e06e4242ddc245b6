//! The auditor finds what a spoilt balancer does, and finds nothing where none is spoilt.

mod common;

use common::small;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use woadstall_emulator::engine::{Command, Input, Lifecycle, Peer, RequestId, Time};
use woadstall_emulator::{BalancerAgent, Policy, Rule, RunResult, Scenario, Simulation, Ticket};

type Boxed = Box<dyn BalancerAgent + Send>;

/// What a saboteur does.
#[derive(Clone, Copy, PartialEq)]
enum Does {
    Nothing,
    SendsTwice,
    SendsToTheDrained,
    OverloadsWarmingUp,
    RespondsTwice,
    NeverResponds,
}

/// An agent that goes wrong.
struct Saboteur {
    agent: Boxed,
    does: Does,
    now: Time,
    more: VecDeque<Command<Ticket, ()>>,
    classes: HashMap<RequestId, usize>,
    peers: HashMap<String, Peer>,
    drained: Option<(String, Time)>,
    cold: Option<String>,
    done: u32,
}

const SECOND: Time = 1_000_000_000;
const EXTRA: u32 = 1_000;
const UNSAFE: usize = 1;

impl BalancerAgent for Saboteur {
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
                        Lifecycle::Draining => self.drained = Some((entry.name.clone(), now)),
                        Lifecycle::Ready if entry.boot_ms > 0 => {
                            self.cold = Some(entry.name.clone())
                        }
                        _ => {}
                    }
                }
            }
            // The module knows nothing of the attempt that was made up.
            Input::AttemptEnded { attempt, .. } if *attempt >= EXTRA => return,
            _ => {}
        }
        self.agent.handle(now, input);
    }

    fn next_command(&mut self) -> Option<Command<Ticket, ()>> {
        if let Some(more) = self.more.pop_front() {
            return Some(more);
        }
        let mut command = self.agent.next_command()?;
        match (&mut command, self.does) {
            (Command::SendAttempt(send), Does::SendsTwice)
                if self.classes.get(&send.id) == Some(&UNSAFE) =>
            {
                let again = woadstall_emulator::engine::SendAttempt {
                    attempt: send.attempt + EXTRA,
                    ..*send
                };
                self.more.push_back(Command::SendAttempt(again));
            }
            (Command::SendAttempt(send), Does::SendsToTheDrained) => {
                if let Some((name, since)) = &self.drained
                    && self.now > since + SECOND + SECOND / 1_000
                {
                    (send.to.address, send.to.boot_ms) =
                        (self.peers[name].address, self.peers[name].boot_ms);
                }
            }
            (Command::SendAttempt(send), Does::OverloadsWarmingUp) => {
                if let Some(name) = &self.cold {
                    (send.to.address, send.to.boot_ms) =
                        (self.peers[name].address, self.peers[name].boot_ms);
                }
            }
            (Command::Respond { request, .. }, Does::RespondsTwice | Does::NeverResponds) => {
                self.done += 1;
                if self.done == 100 && self.does == Does::NeverResponds {
                    return self.next_command();
                }
                if self.done == 100 {
                    let verdict = woadstall_emulator::engine::CallResult::Failed;
                    self.more.push_back(Command::Respond {
                        request: *request,
                        result: verdict,
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

fn sabotaged(scenario: &Scenario, does: Does) -> RunResult {
    let wrap = |agent: Boxed| -> Boxed {
        Box::new(Saboteur {
            agent,
            does,
            now: 0,
            more: VecDeque::new(),
            classes: HashMap::new(),
            peers: HashMap::new(),
            drained: None,
            cold: None,
            done: 0,
        })
    };
    let mut world = Simulation::new(scenario, Policy::Woadstall, 7);
    world.wrap_agents(&wrap);
    world.run()
}

const ROLL: &str = "[[fault]]\nat = \"1 s\"\nuntil = \"7 s\"\npart = 0.4\nwhat = \"roll\"\n";

fn broken(end: &RunResult) -> Vec<Rule> {
    end.breaches
        .iter()
        .filter(|(_, count)| **count > 0)
        .map(|(rule, _)| *rule)
        .collect()
}

#[test]
fn five_saboteurs_five_breaches() {
    let scenario = small(ROLL);
    let rules = |does| broken(&sabotaged(&scenario, does));
    assert_eq!(rules(Does::Nothing), []);
    assert_eq!(rules(Does::SendsTwice), [Rule::NoEffectTwice]);
    assert_eq!(rules(Does::SendsToTheDrained), [Rule::Drained]);
    // The module backs off from what is full, whoever that really is: it takes a larger crowd.
    let mut crowd = scenario.clone();
    crowd.callers[0].load = woadstall_emulator::Load::Constant(1_500.0);
    assert_eq!(broken(&sabotaged(&crowd, Does::Nothing)), []);
    assert_eq!(
        broken(&sabotaged(&crowd, Does::OverloadsWarmingUp)),
        [Rule::Cold]
    );
    assert_eq!(rules(Does::RespondsTwice), [Rule::OneAnswer]);
    // It is not over at the end either.
    assert_eq!(
        rules(Does::NeverResponds),
        [Rule::OneAnswer, Rule::Conservation]
    );
}

/// A breach names its call, and the call has a story.
#[test]
fn a_breach_leads_to_its_story() {
    let scenario = small("");
    let end = sabotaged(&scenario, Does::SendsTwice);
    let breach = end.first_breaches.first().unwrap();
    let mut world = Simulation::new(&scenario, Policy::Woadstall, 7);
    world.trace_call(breach.call.unwrap());
    let story = world.run().call_trace;
    let text: Vec<_> = story.iter().map(|(_, text)| text.as_str()).collect();
    assert!(text[0].contains("reaches balancer"), "{text:?}");
    assert!(
        text.iter().any(|line| line.contains("sends attempt 0")),
        "{text:?}"
    );
    assert!(text.last().unwrap().contains("its caller has"), "{text:?}");
    assert!(story.windows(2).all(|pair| pair[0].0 <= pair[1].0));
}

/// What one agent was told and said.
type Recorded = Arc<Mutex<Vec<(Time, String, String)>>>;

struct Recorder {
    agent: Boxed,
    tape: Recorded,
}

impl BalancerAgent for Recorder {
    fn handle(&mut self, now: Time, input: Input<'_, Ticket, ()>) {
        self.tape
            .lock()
            .unwrap()
            .push((now, format!("{input:?}"), String::new()));
        self.agent.handle(now, input);
    }

    fn next_command(&mut self) -> Option<Command<Ticket, ()>> {
        let command = self.agent.next_command()?;
        self.tape.lock().unwrap().last_mut().unwrap().2 += &format!("{command:?}");
        Some(command)
    }

    fn wake_at(&self) -> Option<Time> {
        self.agent.wake_at()
    }

    fn open_call_count(&self) -> usize {
        self.agent.open_call_count()
    }
}

/// A second engine beside the first, told the same, which must say the same.
struct Twin {
    agent: Boxed,
    twin: woadstall_emulator::engine::Engine<Ticket, ()>,
    compared: Arc<Mutex<usize>>,
}

impl BalancerAgent for Twin {
    fn handle(&mut self, now: Time, input: Input<'_, Ticket, ()>) {
        use woadstall_emulator::engine::AttemptEnd;
        let copy = match &input {
            Input::EndpointsListed {
                entries,
                is_complete: all,
            } => Input::EndpointsListed {
                entries,
                is_complete: *all,
            },
            Input::Call(call) => {
                let (id, class, tenant, work) = (call.id, call.class, call.tenant, call.work);
                let (request, deadline, attempts) =
                    (call.request, call.deadline, call.max_attempts);
                let call = woadstall_emulator::engine::Call {
                    id,
                    request,
                    class,
                    tenant,
                    work,
                    deadline,
                    max_attempts: attempts,
                };
                Input::Call(call)
            }
            Input::CallerDisconnected(id) => Input::CallerDisconnected(*id),
            Input::AttemptEnded {
                id,
                attempt,
                end: ended,
            } => {
                let ended = AttemptEnd {
                    outcome: ended.outcome,
                    response: ended.response,
                    load: ended.load,
                };
                Input::AttemptEnded {
                    id: *id,
                    attempt: *attempt,
                    end: ended,
                }
            }
            Input::Tick => Input::Tick,
            other => unreachable!("the emulator does not tell this: {other:?}"),
        };
        self.twin.handle(now, copy);
        self.agent.handle(now, input);
    }

    fn next_command(&mut self) -> Option<Command<Ticket, ()>> {
        let command = self.agent.next_command();
        assert_eq!(command, self.twin.next_command());
        *self.compared.lock().unwrap() += usize::from(command.is_some());
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

/// The engine in the emulator is the engine: told the same inputs at the same times, another one gives the same
/// commands.
#[test]
fn a_replayed_run_gives_identical_commands() {
    use woadstall_emulator::engine::Engine;
    let scenario = small(ROLL);
    let compared = Arc::new(Mutex::new(0));
    let wrap = |_: Boxed| -> Boxed {
        let engine = || Engine::new(scenario.settings(0, 0), 5, 0).unwrap();
        Box::new(Twin {
            agent: Box::new(engine()),
            twin: engine(),
            compared: compared.clone(),
        })
    };
    let mut world = Simulation::new(&scenario, Policy::Woadstall, 3);
    world.wrap_agents(&wrap);
    assert_eq!(world.run().breach_count(), 0);
    assert!(*compared.lock().unwrap() > 3_000);
}

/// Same seed, same bytes; another seed, others. Also what each agent is told, in threads.
#[test]
fn one_seed_one_result() {
    let scenario = small(ROLL);
    let run = |seed| {
        let tape = Recorded::default();
        let wrap = |agent: Boxed| -> Boxed {
            Box::new(Recorder {
                agent,
                tape: tape.clone(),
            })
        };
        let mut world = Simulation::new(&scenario, Policy::Woadstall, seed);
        world.wrap_agents(&wrap);
        let end = world.run();
        let tape = std::mem::take(&mut *tape.lock().unwrap());
        (format!("{end:?}"), tape)
    };
    let alone = run(1);
    let threads = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(|| run(1))).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect::<Vec<_>>()
    });
    assert!(threads.iter().all(|other| *other == alone));
    assert_ne!(run(2).0, alone.0);
}

/// An actor more does not change what the others draw: the same calls come at the same times.
#[test]
fn actors_draw_for_themselves() {
    let offered = |scenario: &Scenario| {
        let end = woadstall_emulator::run(scenario, Policy::Woadstall, 1);
        end.timeline
            .iter()
            .map(|step| step.counts.offered)
            .collect::<Vec<_>>()
    };
    let fewer = small("");
    let mut more = fewer.clone();
    more.tier[0].upstreams += 1;
    more.tier[0].balancers += 2;
    assert_eq!(offered(&fewer), offered(&more));
}
