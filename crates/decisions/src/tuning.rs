//! The thresholds, gains and windows that steer the decisions, each with its unit and its reason.
//!
//! Durations are in nanoseconds; `SECOND` is one second.

use crate::api::Duration;

/// One second, in nanoseconds.
pub(crate) const SECOND: Duration = 1_000_000_000;

/// Exponential backoff: the delay doubles with each failure in a row, up to a cap.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    /// After the first failure.
    pub initial: Duration,
    /// The cap.
    pub max: Duration,
}

impl Backoff {
    /// The delay after so many failures in a row.
    pub fn delay(self, failures: u32) -> Duration {
        (self.initial << failures.saturating_sub(1).min(8)).min(self.max)
    }
}

// ---- Estimates ----

/// Gains by which a baseline follows the mean.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BaselineGain {
    /// Gain while the mean is below the baseline.
    pub down: f64,
    /// Gain while the mean is above it.
    pub up: f64,
}

/// Samples before a latency is trusted, or a rate of responses.
pub(crate) const MIN_SAMPLES: u32 = 10;
/// Weight of a new outcome in the averages: about a second's worth of calls at a small balancer.
pub(crate) const OUTCOME_GAIN: f64 = 0.05;
/// The baseline falls much faster towards the mean than it rises: a jam must not become normal.
pub(crate) const BASELINE_GAIN: BaselineGain = BaselineGain {
    down: 0.05,
    up: 0.001,
};
/// Weight of a call in the relative latency of its zone: some ten calls, so that small callers
/// follow.
pub(crate) const RELATIVE_LATENCY_GAIN: f64 = 0.1;
/// Weight of a call in its server's slowness: a caller with few calls sees a few a second of each
/// server.
pub(crate) const SLOWNESS_GAIN: f64 = 0.3;
/// Weight of a call in the failure rate of its server.
pub(crate) const SERVER_FAILURE_GAIN: f64 = 0.2;
/// Time over which what is known of the health of a server or zone decays: then it is tried again.
pub(crate) const HEALTH_DECAY: Duration = 10 * SECOND;
/// Time over which call rates are averaged: a few calls at the smallest balancer.
pub(crate) const RATE_WINDOW: Duration = 5 * SECOND;
/// Time over which the responses of a zone per unit of its size are averaged, while it gives any.
pub(crate) const PROVEN_RATE_SPAN: Duration = 60 * SECOND;

// ---- Zones ----

/// When a zone counts as overloaded.
pub(crate) struct ZoneOverload {
    /// Calls in flight, as a multiple of those without load ...
    pub ratio: f64,
    /// ... and so many deviations of a chance count of them ...
    pub deviations: f64,
    /// ... but never at fewer calls than these: a small caller reaches a multiple by chance alone.
    pub min_in_flight: f64,
}

/// When a zone counts as overloaded.
pub(crate) const ZONE_OVERLOAD: ZoneOverload = ZoneOverload {
    ratio: 2.0,
    deviations: 3.0,
    min_in_flight: 4.0,
};
/// With this part of its servers tripped, or of its calls failing, a zone is not used: the rest
/// would carry all of it.
pub(crate) const BLACKOUT_THRESHOLD: f64 = 0.5;
/// Failure rate at which the local zone is left, with the cost of crossing on top: a small caller
/// sees each server too seldom to trip it, and what crosses should gain more than it costs.
pub(crate) const MAX_LOCAL_FAILURE_RATE: f64 = 0.08;
/// Servers that must be healthy for the local zone to be used. One will do: small zones would
/// always be left.
pub(crate) const MIN_HEALTHY: usize = 1;
/// Part of the calls that spill over to another zone for each unit by which the local one is slower
/// than it, as a part of the latency target.
pub(crate) const SPILLOVER_GAIN: f64 = 3.0;
/// What spillover must gain, as a part of the cost of crossing: it also frees capacity for the calls
/// that stay.
pub(crate) const SPILLOVER_COST_PART: f64 = 0.5;
/// What spillover must gain on top, as a part of the latency target: more than the chance of a
/// small caller's few calls.
pub(crate) const SPILLOVER_NOISE: f64 = 0.05;
/// Share of its traffic up to which the fleet only tries a failure domain: calls that must not run
/// twice are not used for that.
pub(crate) const TRIAL_SHARE: f64 = 0.25;

// ---- Round robin ----

/// Proposals of one pick before the fallback, as in Ribbon's availability-filtering rule.
pub(crate) const MAX_PROPOSALS: u32 = 10;
/// Rounds through a pool to find them.
pub(crate) const MAX_ROUNDS: usize = 4;
/// A server is overloaded at this multiple of its share of the calls in flight without load.
pub(crate) const SERVER_OVERLOAD_RATIO: f64 = 1.2;
/// Power of its success rate that a server's turns are weighted by: one that fails half of its calls
/// by chance hardly ever trips where each caller sees it once a second.
pub(crate) const SUCCESS_RATE_POWER: i32 = 4;
/// Calls that must not run twice pass over servers whose failure rate is higher than that of all by
/// this, and leave it to other calls to find that they have recovered.
pub(crate) const MAX_EXCESS_FAILURE_RATE: f64 = 0.1;
/// A server counts as no faster than this part of the mean, whatever a few calls say: it has four
/// turns to one of the mean, which the rounds allow for.
pub(crate) const MIN_SLOWNESS: f64 = 0.5;
/// How much of the best weight remains from one proposal to the next: the best of some hundreds.
pub(crate) const BEST_WEIGHT_DECAY: f64 = 0.999;

// ---- Slow start ----

/// Part of the multiple that overloads a server in slow start by which its share may exceed what is
/// proven.
pub(crate) const SAFE_OVERLOAD_PART: f64 = 0.6;
/// How often the warm part of all servers is counted.
pub(crate) const WARM_SIZE_INTERVAL: Duration = SECOND / 10;
/// Relative latency below which a zone in slow start is sent more.
pub(crate) const PACE_UP_BELOW: f64 = 0.5;
/// Relative latency above which it is sent less.
pub(crate) const PACE_DOWN_ABOVE: f64 = 0.8;
/// The pace doubles in this time at most ...
pub(crate) const PACE_DOUBLING: Duration = SECOND;
/// ... or in the time of so many calls: a jam has to show before.
pub(crate) const PACE_DOUBLING_CALLS: f64 = 8.0;
/// Budgets that have just rejected calls go on for this long beyond slow start.
pub(crate) const BUDGET_EXTENSION: Duration = SECOND;

// ---- Circuit breakers ----

/// Chance that the breaker of a server no worse than the rest trips: sets how many failures in a row
/// it takes.
pub(crate) const FALSE_TRIP_CHANCE: f64 = 0.01;
/// The same on probation, when a server is more likely to be worse.
pub(crate) const FALSE_TRIP_CHANCE_ON_PROBATION: f64 = 0.1;
/// Fewest failures in a row that trip a breaker, save on probation.
pub(crate) const MIN_FAILURES_TO_TRIP: f64 = 2.0;
/// Most failures in a row that it takes: a broken tier must still show its worst servers.
pub(crate) const MAX_FAILURES_TO_TRIP: f64 = 6.0;
/// How long a breaker stays open; the cap bounds how long a recovered server idles.
pub(crate) const BREAKER_BACKOFF: Backoff = Backoff {
    initial: SECOND,
    max: 8 * SECOND,
};
/// Successes in a row that end probation.
pub(crate) const PROBATION_SUCCESSES: u32 = 3;
/// Successes in a row that reset the backoff.
pub(crate) const BACKOFF_RESET_SUCCESSES: u32 = 10;

// ---- Time-outs ----

/// Mean deviations above the mean at which an attempt is late: it counts against its server's
/// latency, not against that of all.
pub(crate) const LATE_DEVIATIONS: f64 = 4.0;
/// Mean deviations above the mean at which it times out: hardly any call to a sound server does.
pub(crate) const TIMEOUT_DEVIATIONS: f64 = 20.0;
/// Part of its latency target within which no attempt times out: where calls take a millisecond, a
/// caller that stalls for some would give up sound servers in a row.
pub(crate) const MIN_TIMEOUT_PART: f64 = 0.1;

// ---- Retries ----

/// What a request adds to the retry budget, in retries. Retries multiply from tier to tier.
pub(crate) const RETRY_DEPOSIT: f64 = 0.2;
/// Most retries that the budget holds.
pub(crate) const RETRY_BUDGET_CAP: f64 = 10.0;

// ---- Connections ----

/// A server that responded within this time is alive: a connection that fails exceeds its limit.
pub(crate) const ALIVE_WINDOW: Duration = SECOND;
/// Time after which a server at its connection limit is tried with one connection more.
pub(crate) const CONNECTION_RETRY_INTERVAL: Duration = 5 * SECOND;
/// Idle connections that a server is left with: a fuller table takes its capacity, and at last it
/// refuses connections. Where many calls are in flight their number varies by chance, and closing at
/// each low would cost a handshake a call: what the latest peak needed, less as many, is left too.
pub(crate) const SPARE_CONNECTIONS: f64 = 2.0;
/// Time over which that peak decays.
pub(crate) const PEAK_DECAY: Duration = SECOND / 4;
/// Least time that makes a connection idle: what drops idle ones waits longer than a round trip.
pub(crate) const MIN_IDLE: Duration = SECOND / 4;
/// Weight of an attempt in the risk of an idle time.
pub(crate) const IDLE_RISK_GAIN: f64 = 0.3;
/// Time over which that risk decays.
pub(crate) const IDLE_RISK_DECAY: Duration = 30 * SECOND;
/// Risk from which an idle connection is replaced before a call that must not run twice: the call
/// would be lost with it.
pub(crate) const MAX_IDLE_RISK_UNSAFE: f64 = 0.1;
/// The same for other calls: they only take another attempt, and so show when the risk is over.
pub(crate) const MAX_IDLE_RISK: f64 = 0.3;

// ---- Load shedding ----

/// Expected relative latency from which work is shed: below it, what is slow by nature would be
/// rejected on a quiet day.
pub(crate) const SHED_START_RELATIVE_LATENCY: f64 = 0.5;
/// Expected relative latency at which all is shed: above it, the tail of the responses misses the
/// target.
pub(crate) const SHED_ALL_RELATIVE_LATENCY: f64 = 0.65;
/// Over the root of the responses counted, by how much later shedding begins: a caller with some ten
/// calls a second sees their chance lengths as a jam, and rejected some where nothing waited.
pub(crate) const SHED_NOISE: f64 = 0.4;
/// Most of the work that is ever shed: some calls must show when it is over.
pub(crate) const MAX_SHED: f64 = 0.9;
/// Least time over which responses are counted to tell how fast they come ...
pub(crate) const MIN_RESPONSE_WINDOW: Duration = SECOND;
/// ... and at most so many of the longest latency target, where a caller's calls are few: a jam
/// comes and goes within some.
pub(crate) const MAX_RESPONSE_WINDOW_TARGETS: u64 = 2;

// ---- Load probes ----

/// Servers that are probed before a call is sent.
pub(crate) const PROBED_SERVERS: usize = 4;
/// Part of a request's value that probing may cost: a better choice of a server brings a few
/// percent.
pub(crate) const MAX_PROBE_COST: f64 = 0.01;
/// Time for the load reports (5 ms): waiting longer costs more than a bad choice, and no report is
/// the sign of a stalled server.
pub(crate) const PROBE_TIMEOUT: Duration = 5_000_000;

// ---- Subscription to discovery ----

/// First subscriptions are spread over this much for each balancer: discovery's capacity is fixed.
pub(crate) const SUBSCRIBE_SPACING: Duration = SECOND / 10;
/// Delay before a failed subscription is retried: a change counts as notified 6 s after discovery
/// had it, and two calls of 2 s have to fit in with their delays.
pub(crate) const SUBSCRIBE_BACKOFF: Backoff = Backoff {
    initial: SECOND,
    max: 2 * SECOND,
};

// ---- Timer tokens: attempts use the lower 63 bits ----

/// Token of the timer that subscribes.
pub(crate) const SUBSCRIBE_TOKEN: u64 = u64::MAX;
/// Set in the tokens of the timers that wait for load reports.
pub(crate) const PROBE_TOKEN_BIT: u64 = 1 << 63;

// ---- Log ----

/// Least time between two log lines of a kind: under faults, what they report happens many times a
/// second.
pub(crate) const LOG_INTERVAL: Duration = 5 * SECOND;
