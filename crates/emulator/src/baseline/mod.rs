//! Baseline policies with the engine's interface, written from their public descriptions. Each policy combines
//! a server selection with optional outlier ejection, a concurrency limit and a retry rule. [`BaselinePolicy`]
//! holds what all policies share: the upstream list, the open calls, and the deadlines. No policy repeats work that
//! must not run twice, so that the policies are compared by the calls that they serve.

mod config;
mod error;
mod learning;
mod selection;

pub use config::{BaselineConfig, ConcurrencyLimit, RetryPolicy, ServerSelection};
pub use error::PolicyError;

use crate::agent::{BalancerAgent, Ticket};
use crate::units::{MS, SECOND};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use woadstall_engine::decisions::{Effect, Settings};
use woadstall_engine::{
    AttemptEnd, Call, CallResult, Command, Input, Lifecycle, Outcome, Peer, RequestId, SendAttempt,
    ServerId, Time, UpstreamEntry,
};

/// Decay time of the peak-sensitive average, in nanoseconds.
const DECAY: f64 = 10e9;
/// Tokens that each call adds to the retry budget; a retry takes one token.
const BUDGET_EARNED: f64 = 0.2;
/// Capacity and initial content of the retry budget, in tokens.
const BUDGET_MAX: f64 = 10.0;
/// Retry-after advice for calls refused by a limit.
const RETRY_AFTER: Time = 200 * MS;

/// State of a listed server.
#[derive(Clone, Debug)]
struct Server {
    id: ServerId,
    address: Option<SocketAddr>,
    boot_ms: u64,
    zone: usize,
    ready: bool,
    in_flight: u32,
    /// Consecutive failures.
    failures: u32,
    /// Consecutive ejections, or openings of Ribbon's circuit breaker.
    trips: u32,
    /// Time until which the server is not selected.
    unavailable_until: Time,
    /// Peak-sensitive moving average of the latency, in nanoseconds; 0 while no latency is known.
    peak_latency: f64,
    /// Time at which `peak_latency` was updated last.
    peak_latency_at: Time,
}

/// A call that has no answer yet.
struct OpenCall {
    ticket: Ticket,
    class: usize,
    deadline: Time,
    attempts: u32,
    max_attempts: u32,
    /// Position of the server of the attempt in flight, and the time when the attempt was sent.
    in_flight: Option<(usize, Time)>,
    /// Position of the server of the latest attempt.
    last_server: Option<usize>,
    may_have_run: bool,
}

/// A balancer agent that follows a baseline policy.
pub struct BaselinePolicy {
    config: BaselineConfig,
    settings: Settings,
    rng: ChaCha8Rng,
    /// Position of each listed server by its name.
    by_name: BTreeMap<String, usize>,
    /// All servers that were ever listed.
    servers: Vec<Server>,
    /// Positions of the servers that are ready and have an address.
    ready: Vec<usize>,
    /// Place in `ready` from which the round-robin order continues.
    cursor: usize,
    open_calls: HashMap<RequestId, OpenCall>,
    commands: VecDeque<Command<Ticket, ()>>,
    /// Tokens in the retry budget.
    tokens: f64,
    /// Concurrency limit, in calls.
    limit: f64,
    in_flight: u32,
    /// Short-term moving average of the latency, in nanoseconds; 0 before the first call.
    short_latency: f64,
    /// Long-term moving average of the latency, in nanoseconds; 0 before the first call.
    long_latency: f64,
}

impl BaselinePolicy {
    /// Creates an agent that knows no server yet.
    pub fn new(config: BaselineConfig, settings: Settings, seed: u64) -> Self {
        Self {
            config,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            by_name: BTreeMap::new(),
            servers: Vec::new(),
            ready: Vec::new(),
            cursor: 0,
            open_calls: HashMap::new(),
            commands: VecDeque::new(),
            tokens: BUDGET_MAX,
            limit: 20.0,
            in_flight: 0,
            short_latency: 0.0,
            long_latency: 0.0,
        }
    }

    /// Applies an update of the upstream list, or the complete list if `is_complete`.
    fn on_listed(&mut self, entries: &[UpstreamEntry], is_complete: bool) {
        if is_complete {
            self.servers
                .iter_mut()
                .for_each(|server| server.ready = false);
        }
        for entry in entries {
            let next_index = self.servers.len();
            let index = *self.by_name.entry(entry.name.clone()).or_insert(next_index);
            if index == next_index {
                self.servers.push(Server {
                    id: ServerId(next_index as u32 + 1),
                    address: None,
                    boot_ms: 0,
                    zone: 0,
                    ready: false,
                    in_flight: 0,
                    failures: 0,
                    trips: 0,
                    unavailable_until: 0,
                    peak_latency: 0.0,
                    peak_latency_at: 0,
                });
            }
            let server = &mut self.servers[index];
            let ready = entry.lifecycle == Lifecycle::Ready;
            if !ready || server.boot_ms != entry.boot_ms || server.address != entry.address {
                self.commands
                    .push_back(Command::RetireConnections(server.id));
            }
            if server.boot_ms != entry.boot_ms {
                (server.failures, server.trips) = (0, 0);
                (server.unavailable_until, server.peak_latency) = (0, 0.0);
            }
            (server.address, server.boot_ms, server.ready) = (entry.address, entry.boot_ms, ready);
            server.zone = entry.zone.map_or(0, |zone| usize::from(zone.0));
            if entry.lifecycle == Lifecycle::Removed {
                self.by_name.remove(&entry.name);
            }
        }
        let servers = &self.servers;
        self.ready = (0..servers.len())
            .filter(|&index| servers[index].ready && servers[index].address.is_some())
            .collect();
        // A random start keeps balancers that start together from choosing the same first server.
        if is_complete && !self.ready.is_empty() {
            self.cursor = self.rng.random_range(..self.ready.len());
        }
    }

    fn on_call(&mut self, now: Time, call: Call<Ticket>) {
        let Call {
            id,
            request: ticket,
            class,
            deadline,
            max_attempts,
            ..
        } = call;
        let refused = |retry_after| Command::Respond {
            request: ticket,
            result: CallResult::Rejected(retry_after),
        };
        if deadline <= now || max_attempts == 0 {
            return self.commands.push_back(refused(0));
        }
        self.tokens = (self.tokens + BUDGET_EARNED).min(BUDGET_MAX);
        if self.config.limit != ConcurrencyLimit::None && f64::from(self.in_flight) >= self.limit {
            return self
                .commands
                .push_back(refused(RETRY_AFTER.min(self.settings.max_retry_after)));
        }
        let max_attempts = max_attempts.min(self.settings.max_attempts);
        let open = OpenCall {
            ticket,
            class,
            deadline,
            attempts: 0,
            max_attempts,
            in_flight: None,
            last_server: None,
            may_have_run: false,
        };
        self.open_calls.insert(id, open);
        self.attempt(now, id);
    }

    /// Sends the next attempt of a call to the selected server.
    fn attempt(&mut self, now: Time, id: RequestId) {
        let last_server = self.open_calls.get(&id).and_then(|open| open.last_server);
        let picked = self.pick(now, last_server);
        let Some(open) = self.open_calls.get_mut(&id) else {
            return;
        };
        let Some(index) = picked else {
            return self.finish_without_response(id);
        };
        let server = &mut self.servers[index];
        let Some(address) = server.address else {
            return self.finish_without_response(id);
        };
        server.in_flight += 1;
        self.in_flight += 1;
        (open.in_flight, open.last_server) = (Some((index, now)), Some(index));
        let (attempt, deadline) = (open.attempts, open.deadline);
        open.attempts += 1;
        let to = Peer {
            server: server.id,
            address,
            boot_ms: server.boot_ms,
        };
        let send = SendAttempt {
            id,
            attempt,
            to,
            until: deadline,
            begin_by: Time::MAX,
            deadline,
        };
        self.commands.push_back(Command::SendAttempt(send));
    }

    /// Answers a call that was not served: refused if it may run again, and failed otherwise.
    fn finish_without_response(&mut self, id: RequestId) {
        let Some(open) = self.open_calls.remove(&id) else {
            return;
        };
        let is_safe = self
            .settings
            .classes
            .get(open.class)
            .is_some_and(|class| class.effect == Effect::Safe);
        let result = match is_safe || !open.may_have_run {
            true => CallResult::Rejected(RETRY_AFTER.min(self.settings.max_retry_after)),
            false => CallResult::Failed,
        };
        self.commands.push_back(Command::Respond {
            request: open.ticket,
            result,
        });
    }

    fn on_ended(&mut self, now: Time, id: RequestId, attempt: u32, end: &AttemptEnd<()>) {
        let Some(open) = self
            .open_calls
            .get_mut(&id)
            .filter(|open| open.attempts == attempt + 1)
        else {
            return;
        };
        let Some((server, sent_at)) = open.in_flight.take() else {
            return;
        };
        let (class, outcome, deadline) = (open.class, end.outcome, open.deadline);
        open.may_have_run |= !outcome.never_ran();
        let (may_have_run, attempts, max_attempts) =
            (open.may_have_run, open.attempts, open.max_attempts);
        self.learn(now, server, now - sent_at, outcome);
        if end.response.is_some() {
            let Some(open) = self.open_calls.remove(&id) else {
                return;
            };
            let answer = Command::Respond {
                request: open.ticket,
                result: CallResult::Served(()),
            };
            return self.commands.push_back(answer);
        }
        let is_safe = self
            .settings
            .classes
            .get(class)
            .is_some_and(|class| class.effect == Effect::Safe);
        let is_granted = match self.config.retries {
            RetryPolicy::Never => false,
            RetryPolicy::Fixed => true,
            RetryPolicy::Budget => self.tokens >= 1.0,
        };
        if is_granted && (is_safe || !may_have_run) && attempts < max_attempts && now < deadline {
            self.tokens -= 1.0;
            self.attempt(now, id);
        } else {
            self.finish_without_response(id);
        }
    }
}

impl BalancerAgent for BaselinePolicy {
    fn handle(&mut self, now: Time, input: Input<'_, Ticket, ()>) {
        match input {
            Input::EndpointsListed {
                entries,
                is_complete,
            } => self.on_listed(entries, is_complete),
            Input::Call(call) => self.on_call(now, call),
            Input::CallerDisconnected(id) => {
                if let Some(OpenCall {
                    attempts,
                    in_flight: Some((server, _)),
                    ..
                }) = self.open_calls.remove(&id)
                {
                    self.learn(now, server, 0, Outcome::Cancelled);
                    if self.settings.may_cancel {
                        self.commands.push_back(Command::CancelAttempt {
                            id,
                            attempt: attempts - 1,
                        });
                    }
                }
            }
            Input::AttemptEnded { id, attempt, end } => self.on_ended(now, id, attempt, &end),
            // Baseline policies use no health verdicts of the fleet, probes or timers.
            Input::DiscoveryFailed
            | Input::ResponseStarted { .. }
            | Input::ProbeEnded(..)
            | Input::HealthVerdicts(_)
            | Input::Tick => {}
        }
    }

    fn next_command(&mut self) -> Option<Command<Ticket, ()>> {
        self.commands.pop_front()
    }

    fn wake_at(&self) -> Option<Time> {
        None // no timer: each attempt ends at the request's deadline
    }

    fn open_call_count(&self) -> usize {
        self.open_calls.len()
    }
}
