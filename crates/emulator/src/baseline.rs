//! Baseline policies on the same wire, written from their public descriptions. Each is a way to pick a server, with or
//! without an ejection of outliers, a limit of what is in flight, and a rule for retries. What they share, they
//! share in [`BaselinePolicy`]: the list, the calls, the time limits. None of them ever repeats work that must not run
//! twice, so that they are compared by what they serve.

use crate::agent::{BalancerAgent, Ticket};
use crate::policy::PolicyError;
use crate::units::{MS, SECOND};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use woadstall_engine::decisions::{Effect, Settings};
use woadstall_engine::{
    AttemptEnd, Call, CallResult, Command, Input, Lifecycle, Outcome, Peer, RequestId, SendAttempt,
    ServerId, Time, UpstreamEntry,
};

/// How a server is picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerSelection {
    /// Any, each as likely.
    Random,
    /// One after the other.
    RoundRobin,
    /// Of two drawn at random the one with fewer calls in flight (Mitzenmacher, "The Power of Two Choices in
    /// Randomized Load Balancing", 2001).
    TwoChoices,
    /// The one with the fewest calls in flight; the first in turn among equals.
    LeastConnections,
    /// Of two drawn at random the one with the lower peak-sensitive moving average of the latency times its
    /// calls in flight (Finagle's documentation, "Power of Two Choices (P2C) + Peak EWMA").
    PeakEwma,
    /// Ribbon's zone avoidance and availability filter, with round robin ("Deep Dive into Ribbon"): its
    /// thresholds as the article has them, its breaker as Ribbon's wiki describes it (three connection failures
    /// or time-outs in a row, an open time that doubles up to 30 s).
    Ribbon,
}

/// What limits the calls in flight from one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConcurrencyLimit {
    /// Nothing.
    None,
    /// One more while the limit is used and all goes well, a tenth less on each failure (TCP's rule; Netflix
    /// concurrency-limits, `AIMDLimit`).
    Aimd,
    /// The limit follows the ratio of the least latency to the present one (Netflix concurrency-limits,
    /// `Gradient2Limit`).
    Gradient,
}

/// When a call that failed is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Never.
    Never,
    /// Always, as often as the settings allow.
    Fixed,
    /// While a token bucket lasts, into which each call puts a fifth (gRPC A6, "retryThrottling"; Finagle's
    /// `RetryBudget`).
    Budget,
}

/// A baseline policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BaselineConfig {
    /// How a server is picked.
    pub pick: ServerSelection,
    /// Servers that fail five times in a row are left out for 30 s, a tenth of them at most (Envoy's
    /// documentation, "Outlier detection", consecutive 5xx).
    pub ejects: bool,
    /// What limits the calls in flight.
    pub limit: ConcurrencyLimit,
    /// When a call is tried again.
    pub retries: RetryPolicy,
}

const PICKS: [(&str, ServerSelection); 6] = [
    ("random", ServerSelection::Random),
    ("round-robin", ServerSelection::RoundRobin),
    ("two-choices", ServerSelection::TwoChoices),
    ("least-connections", ServerSelection::LeastConnections),
    ("peak-ewma", ServerSelection::PeakEwma),
    ("ribbon", ServerSelection::Ribbon),
];

impl fmt::Display for BaselineConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = PICKS
            .iter()
            .find(|(_, pick)| *pick == self.pick)
            .map_or("", |(name, _)| name);
        f.write_str(name)?;
        f.write_str(if self.ejects { "+outlier" } else { "" })?;
        f.write_str(match self.limit {
            ConcurrencyLimit::None => "",
            ConcurrencyLimit::Aimd => "+aimd",
            ConcurrencyLimit::Gradient => "+gradient",
        })?;
        f.write_str(match self.retries {
            RetryPolicy::Never => "",
            RetryPolicy::Fixed => "+retries",
            RetryPolicy::Budget => "+budget",
        })
    }
}

impl FromStr for BaselineConfig {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        let mut parts = text.split('+');
        let name = parts.next().unwrap_or_default();
        let Some((_, pick)) = PICKS.iter().find(|(known, _)| *known == name) else {
            let known: Vec<_> = PICKS.iter().map(|(known, _)| *known).collect();
            return Err(PolicyError::UnknownPolicy {
                name: name.to_owned(),
                known: known.join(", "),
            });
        };
        let mut config = Self {
            pick: *pick,
            ejects: false,
            limit: ConcurrencyLimit::None,
            retries: RetryPolicy::Never,
        };
        for part in parts {
            match part {
                "outlier" => config.ejects = true,
                "aimd" => config.limit = ConcurrencyLimit::Aimd,
                "gradient" => config.limit = ConcurrencyLimit::Gradient,
                "retries" => config.retries = RetryPolicy::Fixed,
                "budget" => config.retries = RetryPolicy::Budget,
                _ => {
                    return Err(PolicyError::UnknownAddition(part.to_owned()));
                }
            }
        }
        Ok(config)
    }
}

/// Failures in a row after which a server is ejected.
const EJECT_FAILURES: u32 = 5;
/// How long a server is ejected for the first time, in nanoseconds; each time it is once more as long.
const EJECT_TIME: Time = 30 * SECOND;
/// Part of the servers that may be ejected at a time.
const EJECT_PART: f64 = 0.1;
/// Failures in a row that trip Ribbon's breaker.
const TRIP_FAILURES: u32 = 3;
/// How long Ribbon's breaker is open for the first time, in nanoseconds; each time it is twice as long.
const TRIP_TIME: Time = 10 * SECOND;
/// The longest that Ribbon's breaker is open, in nanoseconds.
const TRIP_TIME_MAX: Time = 30 * SECOND;
/// Ribbon avoids a zone from so many calls in flight per server on.
const ZONE_LOAD: f64 = 0.6;
/// Ribbon avoids a zone from this part of its servers tripped on.
const ZONE_TRIPPED: f64 = 0.2;
/// Time over which the peak-sensitive average decays, in nanoseconds.
const DECAY: f64 = 10e9;
/// Tokens that each call puts into the retry budget; a retry takes one.
const BUDGET_EARNED: f64 = 0.2;
/// Tokens that the retry budget holds at most, and begins with.
const BUDGET_MAX: f64 = 10.0;
/// Advice on when to come back, for what is refused by a limit.
const RETRY_AFTER: Time = 200 * MS;

#[derive(Clone, Debug)]
struct Server {
    id: ServerId,
    address: Option<SocketAddr>,
    boot_ms: u64,
    zone: usize,
    ready: bool,
    in_flight: u32,
    /// Failures in a row, how often it was left out, and until when it is.
    failures: u32,
    trips: u32,
    out_until: Time,
    cost: f64,
    cost_at: Time,
}

impl Server {
    /// Feeds the peak-sensitive average with a latency in nanoseconds: a peak counts at once, and fades.
    fn observe_latency(&mut self, now: Time, took: f64) {
        let age = now.saturating_sub(self.cost_at) as f64;
        let weight = (-age / DECAY).exp();
        self.cost = if took > self.cost {
            took
        } else {
            self.cost * weight + took * (1.0 - weight)
        };
        self.cost_at = now;
    }
}

struct OpenCall {
    ticket: Ticket,
    class: usize,
    deadline: Time,
    attempts: u32,
    most: u32,
    /// The server of the attempt out, and when it was sent.
    out: Option<(usize, Time)>,
    last: Option<usize>,
    may_have_run: bool,
}

/// See the module's documentation.
pub struct BaselinePolicy {
    config: BaselineConfig,
    settings: Settings,
    rng: ChaCha8Rng,
    by_name: BTreeMap<String, usize>,
    servers: Vec<Server>,
    ready: Vec<usize>,
    cursor: usize,
    open: HashMap<RequestId, OpenCall>,
    commands: VecDeque<Command<Ticket, ()>>,
    tokens: f64,
    limit: f64,
    in_flight: u32,
    /// Short and long moving averages of the latency, in nanoseconds; 0 before the first call.
    short_latency: f64,
    long_latency: f64,
}

impl BaselinePolicy {
    /// One that knows no server yet.
    pub fn new(config: BaselineConfig, settings: Settings, seed: u64) -> Self {
        Self {
            config,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            by_name: BTreeMap::new(),
            servers: Vec::new(),
            ready: Vec::new(),
            cursor: 0,
            open: HashMap::new(),
            commands: VecDeque::new(),
            tokens: BUDGET_MAX,
            limit: 20.0,
            in_flight: 0,
            short_latency: 0.0,
            long_latency: 0.0,
        }
    }

    fn on_listed(&mut self, entries: &[UpstreamEntry], all: bool) {
        if all {
            self.servers
                .iter_mut()
                .for_each(|server| server.ready = false);
        }
        for entry in entries {
            let next = self.servers.len();
            let at = *self.by_name.entry(entry.name.clone()).or_insert(next);
            if at == next {
                self.servers.push(Server {
                    id: ServerId(next as u32 + 1),
                    address: None,
                    boot_ms: 0,
                    zone: 0,
                    ready: false,
                    in_flight: 0,
                    failures: 0,
                    trips: 0,
                    out_until: 0,
                    cost: 0.0,
                    cost_at: 0,
                });
            }
            let server = &mut self.servers[at];
            let ready = entry.lifecycle == Lifecycle::Ready;
            if !ready || server.boot_ms != entry.boot_ms || server.address != entry.address {
                self.commands
                    .push_back(Command::RetireConnections(server.id));
            }
            if server.boot_ms != entry.boot_ms {
                (server.failures, server.trips, server.out_until, server.cost) = (0, 0, 0, 0.0);
            }
            (server.address, server.boot_ms, server.ready) = (entry.address, entry.boot_ms, ready);
            server.zone = entry.zone.map_or(0, |zone| usize::from(zone.0));
            if entry.lifecycle == Lifecycle::Removed {
                self.by_name.remove(&entry.name);
            }
        }
        let servers = &self.servers;
        self.ready = (0..servers.len())
            .filter(|&at| servers[at].ready && servers[at].address.is_some())
            .collect();
        // Copies that start together must not all begin with the same server.
        if all && !self.ready.is_empty() {
            self.cursor = self.rng.random_range(..self.ready.len());
        }
    }

    fn on_call(&mut self, now: Time, call: Call<Ticket>) {
        let Call {
            id,
            request: ticket,
            class,
            deadline,
            max_attempts: most,
            ..
        } = call;
        let refused = |retry_after| Command::Respond {
            request: ticket,
            result: CallResult::Rejected(retry_after),
        };
        if deadline <= now || most == 0 {
            return self.commands.push_back(refused(0));
        }
        self.tokens = (self.tokens + BUDGET_EARNED).min(BUDGET_MAX);
        if self.config.limit != ConcurrencyLimit::None && f64::from(self.in_flight) >= self.limit {
            return self
                .commands
                .push_back(refused(RETRY_AFTER.min(self.settings.max_retry_after)));
        }
        let most = most.min(self.settings.max_attempts);
        let open = OpenCall {
            ticket,
            class,
            deadline,
            attempts: 0,
            most,
            out: None,
            last: None,
            may_have_run: false,
        };
        self.open.insert(id, open);
        self.attempt(now, id);
    }

    fn attempt(&mut self, now: Time, id: RequestId) {
        let last = self.open.get(&id).and_then(|open| open.last);
        let picked = self.pick(now, last);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(at) = picked else {
            return self.give_up(id);
        };
        let server = &mut self.servers[at];
        let Some(address) = server.address else {
            return self.give_up(id);
        };
        server.in_flight += 1;
        self.in_flight += 1;
        (open.out, open.last) = (Some((at, now)), Some(at));
        let (attempt, until) = (open.attempts, open.deadline);
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
            until,
            begin_by: Time::MAX,
            deadline: until,
        };
        self.commands.push_back(Command::SendAttempt(send));
    }

    fn give_up(&mut self, id: RequestId) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let safe = self
            .settings
            .classes
            .get(open.class)
            .is_some_and(|class| class.effect == Effect::Safe);
        let verdict = match safe || !open.may_have_run {
            true => CallResult::Rejected(RETRY_AFTER.min(self.settings.max_retry_after)),
            false => CallResult::Failed,
        };
        self.commands.push_back(Command::Respond {
            request: open.ticket,
            result: verdict,
        });
    }

    fn on_ended(&mut self, now: Time, id: RequestId, attempt: u32, ended: &AttemptEnd<()>) {
        let Some(open) = self
            .open
            .get_mut(&id)
            .filter(|open| open.attempts == attempt + 1)
        else {
            return;
        };
        let Some((at, sent)) = open.out.take() else {
            return;
        };
        let (class, outcome, deadline) = (open.class, ended.outcome, open.deadline);
        open.may_have_run |= !outcome.never_ran();
        let (may_have_run, attempts, most) = (open.may_have_run, open.attempts, open.most);
        self.learn(now, at, now - sent, outcome);
        if ended.response.is_some() {
            let Some(open) = self.open.remove(&id) else {
                return;
            };
            let answer = Command::Respond {
                request: open.ticket,
                result: CallResult::Served(()),
            };
            return self.commands.push_back(answer);
        }
        let safe = self
            .settings
            .classes
            .get(class)
            .is_some_and(|class| class.effect == Effect::Safe);
        let granted = match self.config.retries {
            RetryPolicy::Never => false,
            RetryPolicy::Fixed => true,
            RetryPolicy::Budget => self.tokens >= 1.0,
        };
        if granted && (safe || !may_have_run) && attempts < most && now < deadline {
            self.tokens -= 1.0;
            self.attempt(now, id);
        } else {
            self.give_up(id);
        }
    }

    fn learn(&mut self, now: Time, at: usize, took: Time, outcome: Outcome) {
        self.in_flight -= 1;
        let ribbon = self.config.pick == ServerSelection::Ribbon;
        let server = &mut self.servers[at];
        server.in_flight = server.in_flight.saturating_sub(1);
        let connection = matches!(
            outcome,
            Outcome::ConnectFailed | Outcome::Timeout | Outcome::Reset
        );
        let failed = connection || outcome == Outcome::Error;
        match outcome {
            Outcome::Ok | Outcome::Declined => (server.failures, server.trips) = (0, 0),
            _ if if ribbon { connection } else { failed } => server.failures += 1,
            _ => {}
        }
        if ribbon && server.failures >= TRIP_FAILURES {
            let open_for = (TRIP_TIME << server.trips.min(4)).min(TRIP_TIME_MAX);
            (server.out_until, server.trips) = (now + open_for, server.trips + 1);
        } else if self.config.ejects && server.failures >= EJECT_FAILURES {
            self.eject(now, at);
        }
        let took = took as f64;
        if matches!(outcome, Outcome::Ok | Outcome::Timeout | Outcome::Error) {
            self.servers[at].observe_latency(now, took);
        }
        match self.config.limit {
            ConcurrencyLimit::None => {}
            ConcurrencyLimit::Aimd => self.adapt_aimd(failed || outcome == Outcome::Full),
            ConcurrencyLimit::Gradient => self.adapt_gradient(took, outcome),
        }
    }

    /// Whether at least half of the limit was in use when a call ended.
    fn uses_limit(&self) -> bool {
        f64::from(self.in_flight + 1) * 2.0 > self.limit
    }

    fn adapt_aimd(&mut self, failed: bool) {
        if failed {
            self.limit = (0.9 * self.limit).max(1.0);
        } else if self.uses_limit() {
            self.limit += 1.0 / self.limit;
        }
    }

    /// `took`: latency in nanoseconds.
    fn adapt_gradient(&mut self, took: f64, outcome: Outcome) {
        if outcome == Outcome::Full {
            self.limit = (0.9 * self.limit).max(4.0);
        }
        if !matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            return;
        }
        let (short, long) = (&mut self.short_latency, &mut self.long_latency);
        *short = if *short == 0.0 {
            took
        } else {
            *short + 0.1 * (took - *short)
        };
        *long = if *long == 0.0 {
            took
        } else {
            *long + 0.002 * (took - *long)
        };
        if *long / *short > 2.0 {
            *long *= 0.95;
        }
        let gradient = (1.5 * *long / *short).clamp(0.5, 1.0);
        if self.uses_limit() {
            let next = self.limit * gradient + self.limit.sqrt();
            self.limit = (0.8 * self.limit + 0.2 * next).clamp(4.0, 10_000.0);
        }
    }

    /// Leaves a server out for a while, unless too many are.
    fn eject(&mut self, now: Time, at: usize) {
        let out = self
            .ready
            .iter()
            .filter(|&&at| self.servers[at].out_until > now)
            .count();
        if (out as f64) < (EJECT_PART * self.ready.len() as f64).max(1.0) {
            let server = &mut self.servers[at];
            server.trips += 1;
            (server.out_until, server.failures) = (now + EJECT_TIME * Time::from(server.trips), 0);
        }
    }

    fn pick(&mut self, now: Time, not: Option<usize>) -> Option<usize> {
        let count = self.ready.len();
        if count == 0 {
            return None;
        }
        if self.config.pick == ServerSelection::Ribbon {
            return self.pick_ribbon(now, not);
        }
        let usable = |this: &Self, at: usize| {
            this.servers[at].out_until <= now && (Some(at) != not || count == 1)
        };
        match self.config.pick {
            ServerSelection::RoundRobin | ServerSelection::Ribbon => {
                self.in_turn(count, |this, at| usable(this, at))
            }
            ServerSelection::LeastConnections => {
                let start = self.cursor;
                self.cursor = (start + 1) % count;
                let turn = (start..start + count).map(|at| self.ready[at % count]);
                turn.filter(|&at| usable(self, at))
                    .min_by_key(|&at| self.servers[at].in_flight)
            }
            ServerSelection::Random | ServerSelection::TwoChoices | ServerSelection::PeakEwma => {
                let one = self.draw(usable)?;
                if self.config.pick == ServerSelection::Random {
                    return Some(one);
                }
                let two = self.draw(usable)?;
                let cost = |at: usize| {
                    let server = &self.servers[at];
                    let calls = f64::from(server.in_flight) + 1.0;
                    match self.config.pick {
                        // What is not known yet is dear while a call is out at it.
                        ServerSelection::PeakEwma if server.cost == 0.0 && server.in_flight > 0 => {
                            1e12 * calls
                        }
                        ServerSelection::PeakEwma => {
                            let age = now.saturating_sub(server.cost_at) as f64;
                            server.cost * (-age / DECAY).exp() * calls
                        }
                        _ => calls,
                    }
                };
                Some(if cost(two) < cost(one) { two } else { one })
            }
        }
        .or_else(|| self.in_turn(count, |_, _| true))
    }

    /// One that will do, drawn at random; after some draws in vain the next in turn.
    fn draw(&mut self, usable: impl Fn(&Self, usize) -> bool) -> Option<usize> {
        for _ in 0..8 {
            let at = self.ready[self.rng.random_range(..self.ready.len())];
            if usable(self, at) {
                return Some(at);
            }
        }
        self.in_turn(self.ready.len(), usable)
    }

    fn in_turn(&mut self, tries: usize, usable: impl Fn(&Self, usize) -> bool) -> Option<usize> {
        for _ in 0..tries {
            self.cursor = (self.cursor + 1) % self.ready.len();
            let at = self.ready[self.cursor];
            if usable(self, at) {
                return Some(at);
            }
        }
        None
    }

    fn pick_ribbon(&mut self, now: Time, not: Option<usize>) -> Option<usize> {
        #[derive(Clone, Copy, Default)]
        struct Zone {
            servers: u32,
            tripped: u32,
            in_flight: u32,
        }
        let mut zones = vec![Zone::default(); self.settings.zones];
        for &at in &self.ready {
            let server = &self.servers[at];
            if let Some(zone) = zones.get_mut(server.zone) {
                zone.servers += 1;
                zone.tripped += u32::from(server.out_until > now);
                zone.in_flight += server.in_flight;
            }
        }
        let load = |zone: &Zone| {
            f64::from(zone.in_flight) / f64::from((zone.servers - zone.tripped).max(1))
        };
        let bad = |zone: &Zone| {
            load(zone) >= ZONE_LOAD
                || f64::from(zone.tripped) >= ZONE_TRIPPED * f64::from(zone.servers.max(1))
        };
        let own = usize::from(self.settings.zone.0);
        let home = zones
            .get(own)
            .is_some_and(|zone| zone.servers >= 2 && !bad(zone));
        let from: Vec<usize> = if home {
            vec![own]
        } else {
            let there = |zone: &usize| zones[*zone].tripped < zones[*zone].servers;
            let mut left: Vec<usize> = (0..zones.len()).filter(there).collect();
            let worst = left.iter().copied().filter(|&zone| bad(&zones[zone]));
            let worst = worst.max_by(|&a, &b| load(&zones[a]).total_cmp(&load(&zones[b])));
            if left.len() > 1 {
                left.retain(|&zone| Some(zone) != worst);
            }
            left
        };
        let one = if from.is_empty() {
            None
        } else {
            Some(from[self.rng.random_range(..from.len())])
        };
        let usable = |this: &Self, at: usize| {
            let server = &this.servers[at];
            Some(server.zone) == one && server.out_until <= now && Some(at) != not
        };
        let count = self.ready.len();
        self.in_turn(count, usable)
            .or_else(|| self.in_turn(1, |_, _| true))
    }
}

impl BalancerAgent for BaselinePolicy {
    fn handle(&mut self, now: Time, input: Input<'_, Ticket, ()>) {
        match input {
            Input::EndpointsListed {
                entries,
                is_complete: all,
            } => self.on_listed(entries, all),
            Input::Call(call) => self.on_call(now, call),
            Input::CallerDisconnected(id) => {
                if let Some(OpenCall {
                    attempts,
                    out: Some((at, _)),
                    ..
                }) = self.open.remove(&id)
                {
                    self.learn(now, at, 0, Outcome::Cancelled);
                    if self.settings.may_cancel {
                        self.commands.push_back(Command::CancelAttempt {
                            id,
                            attempt: attempts - 1,
                        });
                    }
                }
            }
            Input::AttemptEnded {
                id,
                attempt,
                end: ended,
            } => self.on_ended(now, id, attempt, &ended),
            // Each for itself: what a fleet finds is told in vain.
            Input::DiscoveryFailed
            | Input::ResponseStarted { .. }
            | Input::ProbeEnded(..)
            | Input::FleetFindings(_)
            | Input::Tick => {}
        }
    }

    fn next_command(&mut self) -> Option<Command<Ticket, ()>> {
        self.commands.pop_front()
    }

    fn wake_at(&self) -> Option<Time> {
        None // an attempt's own time limit is the request's
    }

    fn open(&self) -> usize {
        self.open.len()
    }
}
