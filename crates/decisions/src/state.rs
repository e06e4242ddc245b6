//! What a balancer remembers: plain records and averages. Nothing here decides anything; the constants that
//! steer the averages are handed in by `policy.rs`.

use crate::api::{Duration, LearnedLatency, LearnedServer, ServerId, Time};

/// What is known of a server.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub id: ServerId,
    pub zone: usize,
    pub cell: u16,
    pub ready: bool,
    /// It is on no list any more, and is forgotten once nothing refers to it.
    pub gone: bool,
    pub size: f64,
    pub started: Option<Time>,
    /// Place in the round robin.
    pub order: u64,
    /// Fraction of a turn that has come together.
    pub turn: f64,
    /// Fraction of a cold server's next call that has come together, and when that was counted last.
    pub budget: f64,
    pub budget_at: Time,
    pub in_flight: u32,
    /// It refuses calls as full, presumably until then.
    pub full_until: Time,
    /// Connections that it let us have when it last took no more, and when that was.
    pub conn_limit: Option<(u32, Time)>,
    /// Our connections to it, open or idle.
    pub open: u32,
    /// Most calls that it held of late, and when that was counted last.
    pub peak: f64,
    pub peak_at: Time,
    /// When an attempt at it ended last, and left its connection idle.
    pub idle_from: Time,
    /// When it answered last.
    pub answered_at: Time,
    /// How long its calls take, as a multiple of their class's mean.
    pub slowness: f64,
    /// Part of its calls that failed.
    pub failing: Faded,
    pub breaker: Breaker,
    /// What the fleet has found of it.
    pub told: TrafficShare,
}

impl Server {
    /// Most calls that it held of late; what is known of it fades over a time.
    pub fn peak(&self, now: Time, fade: Duration) -> f64 {
        self.peak * (-(now.saturating_sub(self.peak_at) as f64) / fade as f64).exp()
    }

    /// What a successor is told of it.
    pub fn told(&self, now: Time) -> LearnedServer {
        let open_for = self
            .breaker
            .tripped
            .then(|| self.breaker.open_until.saturating_sub(now));
        let Self {
            id: server,
            started,
            slowness,
            breaker: Breaker { opens, .. },
            ..
        } = *self;
        LearnedServer {
            server,
            started,
            slowness,
            recent_opens: opens,
            open_for,
        }
    }

    pub fn learn_peak(&mut self, now: Time, fade: Duration) {
        self.peak = self.peak(now, fade).max(f64::from(self.in_flight));
        self.peak_at = now;
    }
}

/// The share of new work that the fleet finds right for a place, for a while.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TrafficShare {
    pub share: f64,
    pub until: Time,
}

impl TrafficShare {
    pub fn share(&self, now: Time) -> f64 {
        if now < self.until { self.share } else { 1.0 }
    }
}

/// The part of some calls that failed lately; what is known of it fades over a time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faded {
    part: f64,
    at: Time,
}

impl Faded {
    pub fn get(&self, now: Time, fade: Duration) -> f64 {
        self.part * (-(now.saturating_sub(self.at) as f64) / fade as f64).exp()
    }

    pub fn learn(&mut self, failed: bool, now: Time, gain: f64, fade: Duration) {
        let old = self.get(now, fade);
        (self.part, self.at) = (old + gain * (f64::from(u8::from(failed)) - old), now);
    }
}

/// A circuit breaker.
#[derive(Debug, Default)]
pub(crate) struct Breaker {
    /// Failures and successes in a row.
    pub failures: u32,
    pub successes: u32,
    /// How often it opened lately.
    pub opens: u32,
    pub tripped: bool,
    pub open_until: Time,
    /// A trial is out.
    pub trial: bool,
}

/// Servers that a round robin goes through: those of a zone, or all.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub members: Vec<usize>,
    pub cursor: usize,
    pub size: f64,
    pub tripped: usize,
    pub in_flight: u32,
    /// Part of the calls that failed.
    pub failing: Faded,
    /// What a turn of its best server is worth; of those that were proposed lately.
    pub best: f64,
    /// Answers, and for each unit of size how many a second its servers are known to give in the mean.
    served: Recent,
    pub proven: f64,
    proven_for: Duration,
    /// Until then some of its servers are cold.
    pub cold_until: Time,
    /// The part of its size that is warm, and when that was counted last.
    pub warm: f64,
    pub warm_at: Time,
    /// By how much more its cold servers are sent than their share, and when that was learned last.
    pub pace: f64,
    paced_at: Time,
    /// How long its calls take, as part of their aim, and when that was learned last.
    pub lateness: Latency,
    late_at: Time,
    /// What the fleet has found of the zone, and of classes at it.
    pub told: TrafficShare,
    pub told_classes: Vec<TrafficShare>,
}

impl Pool {
    /// One of its servers has answered. While none does, what was proven stays, as it does while some are cold and
    /// held back: an outage disproves nothing.
    pub fn prove(&mut self, now: Time, window: Duration, over: Duration) {
        let passed = now.saturating_sub(self.served.at).min(window);
        self.served.add(now, 1.0, window);
        let rate = self.served.sum * 1e9 / window as f64 / self.size.max(f64::MIN_POSITIVE);
        if now < self.cold_until.saturating_add(window) && rate < self.proven {
            return;
        }
        self.proven_for = (self.proven_for + passed).min(over);
        self.proven += passed as f64 / self.proven_for.max(1) as f64 * (rate - self.proven);
    }

    pub fn learn_lateness(&mut self, lateness: f64, now: Time, gain: f64, calm: (f64, f64)) {
        self.lateness.learn(lateness, gain, calm);
        self.late_at = now;
    }

    /// A cold server's answer took so much of its aim. Few answers change little: they tell of less time.
    pub fn learn_pace(
        &mut self,
        lateness: f64,
        now: Time,
        (well, late): (f64, f64),
        doubles: Duration,
    ) {
        let passed =
            now.saturating_sub(self.paced_at).min(doubles / 4) as f64 / doubles.max(1) as f64;
        self.pace *= if lateness < well { passed.exp2() } else { 1.0 };
        self.pace *= if lateness > late {
            (-2.0 * passed).exp2()
        } else {
            1.0
        };
        self.paced_at = now;
    }

    /// Lateness that a call can expect; what is known of it fades towards what is calm.
    pub fn expected(&self, calm: f64, now: Time, fade: Duration) -> f64 {
        let age = now.saturating_sub(self.late_at) as f64 / fade as f64;
        calm + (self.lateness.mean - calm) * (-age).exp()
    }

    /// The share of a class that the fleet finds right for the zone.
    pub fn share(&self, class: usize, now: Time) -> f64 {
        let of_class = self
            .told_classes
            .get(class)
            .map_or(1.0, |told| told.share(now));
        self.told.share(now).min(of_class)
    }

    pub fn healthy(&self) -> usize {
        self.members.len().saturating_sub(self.tripped)
    }

    /// Calls in flight for each unit of size.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight) / self.size.max(f64::MIN_POSITIVE)
    }

    /// Counts all servers out; what is known of the zone stays.
    pub fn clear(&mut self) {
        self.members.clear();
        (self.size, self.tripped, self.in_flight) = (0.0, 0, 0);
        (self.cold_until, self.warm_at) = (0, 0);
    }

    /// Counts a ready server in.
    pub fn add(&mut self, at: usize, server: &Server, ramp: Duration) {
        self.cold_until = self
            .cold_until
            .max(server.started.map_or(0, |from| from.saturating_add(ramp)));
        self.members.push(at);
        self.size += server.size;
        self.tripped += usize::from(server.breaker.tripped);
        self.in_flight += server.in_flight;
    }
}

/// A request that is not answered yet, or has an attempt out.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub class: usize,
    /// One over its aim.
    pub per_aim: f64,
    pub deadline: Time,
    pub attempts: u32,
    /// Attempts that it may have in all.
    pub most: u32,
    /// The last server it was sent to, and when.
    pub sent: Option<(usize, Time)>,
    /// The attempt out has been found late (1), and has counted as a failure or cannot any more (2).
    pub marks: u32,
    /// Calls that the server of the attempt out held, this one included, if it was asked.
    pub asked: f64,
    /// The attempt out is a breaker's trial.
    pub trial: bool,
    /// How long the connection of the attempt out had been idle, as a step of `IdleRisk`.
    pub idle: usize,
    /// The first server that may have run it, and when it was sent there.
    pub may_have_run: Option<(usize, Time)>,
    pub closed: bool,
    /// Its answer has begun.
    pub begun: bool,
}

/// A request whose proposed servers are being asked for their load.
#[derive(Debug)]
pub(crate) struct Asking {
    pub request: Request,
    /// In the order of the round robin, each with the calls it holds if it has told.
    pub proposals: Vec<(usize, Option<f64>)>,
}

/// Mean and mean deviation of a latency.
#[derive(Clone, Debug, Default)]
pub(crate) struct Latency {
    pub mean: f64,
    pub dev: f64,
    /// Follows the mean, faster downwards than upwards.
    pub calm: f64,
    pub calls: u32,
}

impl Latency {
    /// What a successor is told of it.
    pub fn told(&self) -> LearnedLatency {
        let Self {
            mean,
            dev,
            calm,
            calls,
        } = *self;
        LearnedLatency {
            mean,
            mean_deviation: dev,
            baseline: calm,
            calls,
        }
    }

    pub fn from_told(told: &LearnedLatency) -> Self {
        let LearnedLatency {
            mean,
            mean_deviation: dev,
            baseline: calm,
            calls,
        } = *told;
        Self {
            mean,
            dev,
            calm,
            calls,
        }
    }

    /// So many mean deviations above the mean.
    pub fn above(&self, devs: f64) -> Duration {
        (self.mean + devs * self.dev).max(1e6) as Duration
    }

    pub fn learn(&mut self, elapsed: f64, gain: f64, (down, up): (f64, f64)) {
        self.calls = self.calls.saturating_add(1);
        let gain = gain.max(1.0 / f64::from(self.calls));
        self.mean += gain * (elapsed - self.mean);
        self.dev += gain * ((elapsed - self.mean).abs() - self.dev);
        let towards = if self.mean < self.calm { down } else { up };
        self.calm += towards.max(1.0 / f64::from(self.calls)) * (self.mean - self.calm);
    }
}

/// A sum whose older parts fade over a window.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recent {
    pub sum: f64,
    pub at: Time,
    since: Time,
}

impl Recent {
    pub fn since(now: Time) -> Self {
        Self {
            sum: 0.0,
            at: now,
            since: now,
        }
    }

    /// A sum that has come to a rate before.
    pub fn carried(per_second: f64, now: Time, window: Duration) -> Self {
        Self {
            sum: per_second * window as f64 / 1e9,
            at: now,
            since: now.saturating_sub(8 * window),
        }
    }

    /// The sum for each second, right from the first second on.
    pub fn per_second(&self, now: Time, window: Duration) -> f64 {
        let seen = 1.0 - (-(now.saturating_sub(self.since) as f64) / window as f64).exp();
        self.get(now, window) * 1e9 / (window as f64 * seen.max(0.05))
    }

    pub fn get(&self, now: Time, window: Duration) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / window as f64).exp()
    }

    pub fn add(&mut self, now: Time, amount: f64, window: Duration) {
        (self.sum, self.at) = (self.get(now, window) + amount, now);
    }
}

/// How often attempts fail, by how long their connection had been idle: step 0 for new or busy ones, each
/// further step for twice the idle time.
#[derive(Debug, Default)]
pub(crate) struct IdleRisk {
    failing: [Faded; 10],
}

impl IdleRisk {
    /// The step of an idle time, where step 1 begins at `from`.
    pub fn step(&self, idle: Duration, from: Duration) -> usize {
        ((2 * idle / from.max(1)).checked_ilog2().unwrap_or(0) as usize).min(self.failing.len() - 1)
    }

    /// Part of the attempts that fail at a step; what is known of it fades over a time.
    pub fn get(&self, step: usize, now: Time, fade: Duration) -> f64 {
        self.failing[step].get(now, fade)
    }

    /// The highest risk of an idle time up to a step.
    pub fn up_to(&self, step: usize, now: Time, fade: Duration) -> f64 {
        (1..=step)
            .map(|step| self.get(step, now, fade))
            .fold(0.0, f64::max)
    }

    pub fn learn(&mut self, step: usize, failed: bool, now: Time, gain: f64, fade: Duration) {
        self.failing[step].learn(failed, now, gain, fade);
    }
}

/// What load shedding goes by.
#[derive(Debug, Default)]
pub(crate) struct Shedding {
    /// Requests held, each counted as one over its aim.
    pub waiting: f64,
    /// The same summed over time, and answers given.
    pub held: Recent,
    pub answers: Recent,
    /// Work asked for, for each class.
    pub demand: Vec<Recent>,
    /// Calls of each tenant.
    pub tenants: Vec<Recent>,
}

impl Shedding {
    /// Changes what is held, and sums what was held until now.
    pub fn hold(&mut self, now: Time, change: f64, window: Duration) {
        let passed = now.saturating_sub(self.held.at) as f64 / window as f64;
        self.held.add(
            now,
            self.waiting * window as f64 * (1.0 - (-passed).exp()),
            window,
        );
        self.waiting = (self.waiting + change).max(0.0);
    }
}
