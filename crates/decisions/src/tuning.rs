//! Thresholds, gains and windows of the decisions, each with its unit and its reason.
//!
//! Durations are in nanoseconds.

use crate::api::Duration;

/// One second, in nanoseconds.
pub(crate) const SECOND: Duration = 1_000_000_000;

/// Exponential backoff: the delay doubles with each failure in a row, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    /// Delay after the first failure.
    pub initial: Duration,
    /// Maximum delay.
    pub max: Duration,
}

impl Backoff {
    /// The delay after `failures` failures in a row.
    pub fn delay(self, failures: u32) -> Duration {
        (self.initial << failures.saturating_sub(1).min(8)).min(self.max)
    }
}

// ---- Estimates ----

/// Gains with which a baseline follows the mean.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BaselineGain {
    /// Gain while the mean is below the baseline.
    pub down: f64,
    /// Gain while the mean is above the baseline.
    pub up: f64,
}

/// Number of samples from which a latency or a response rate is trusted.
pub(crate) const MIN_SAMPLES: u32 = 10;
/// Weight of a new outcome in the averages. They then span about the calls of one second at a small
/// balancer.
pub(crate) const OUTCOME_GAIN: f64 = 0.05;
/// The baseline falls towards the mean much faster than it rises, so that congestion does not
/// become the new baseline.
pub(crate) const BASELINE_GAIN: BaselineGain = BaselineGain {
    down: 0.05,
    up: 0.001,
};
/// Weight of a call in the relative latency of its zone: an average of about ten calls, so that
/// balancers with few calls follow changes as well.
pub(crate) const RELATIVE_LATENCY_GAIN: f64 = 0.1;
/// Weight of a call in its server's slowness. It is high because a balancer with few calls sends
/// each server only a few calls per second.
pub(crate) const SLOWNESS_GAIN: f64 = 0.3;
/// Weight of a call in the failure rate of its server.
pub(crate) const SERVER_FAILURE_GAIN: f64 = 0.2;
/// Decay time of the measured health of a server or zone, after which it is tried again.
pub(crate) const HEALTH_DECAY: Duration = 10 * SECOND;
/// Window over which call rates are averaged: a few calls at the smallest balancer.
pub(crate) const RATE_WINDOW: Duration = 5 * SECOND;
/// Time over which the proven rate of a zone is averaged. Only the time in which the zone responds
/// counts.
pub(crate) const PROVEN_RATE_SPAN: Duration = 60 * SECOND;

// ---- Zones ----

/// Limit of the calls in flight above which a zone counts as overloaded: `ratio` times the calls
/// expected without load plus `deviations` standard deviations, but at least `min_in_flight`.
pub(crate) struct ZoneOverload {
    /// Multiple of the calls in flight that are expected without load.
    pub ratio: f64,
    /// Standard deviations of a random (Poisson) count that are added.
    pub deviations: f64,
    /// Lowest limit. A balancer with few calls can reach a multiple of the expected calls by
    /// chance.
    pub min_in_flight: f64,
}

/// Overload limit of zones.
pub(crate) const ZONE_OVERLOAD: ZoneOverload = ZoneOverload {
    ratio: 2.0,
    deviations: 3.0,
    min_in_flight: 4.0,
};
/// Part of a zone's servers whose breakers have tripped, or part of its calls that fail, from which
/// the zone is not used. The remaining servers would have to handle all calls of the zone.
pub(crate) const BLACKOUT_THRESHOLD: f64 = 0.5;
/// Failure rate above which the local zone is left; the cost of crossing zones is added to it, so
/// that a crossing gains more than it costs. Breakers alone do not suffice, since a balancer with
/// few calls sends too few to each server to trip its breaker.
pub(crate) const MAX_LOCAL_FAILURE_RATE: f64 = 0.08;
/// Number of servers that must be healthy for a zone to be used. A higher number would exclude
/// small zones at all times.
pub(crate) const MIN_HEALTHY: usize = 1;
/// Part of the calls that spill over to another zone, per unit of relative latency by which the
/// local zone is slower than the other zone.
pub(crate) const SPILLOVER_GAIN: f64 = 3.0;
/// Minimum gain of spillover, as a part of the cost of crossing zones. It is below 1 because
/// spillover also frees capacity for the calls that stay.
pub(crate) const SPILLOVER_COST_PART: f64 = 0.5;
/// Relative latency that spillover must gain in addition: more than the random variation at a
/// balancer with few calls.
pub(crate) const SPILLOVER_NOISE: f64 = 0.05;
/// Share of its usual traffic up to which a failure domain counts as on trial by the fleet. Calls
/// that must not run twice avoid a domain on trial.
pub(crate) const TRIAL_SHARE: f64 = 0.25;

// ---- Round robin ----

/// Number of servers that the round robin proposes per pick before it takes a fallback, as in
/// Ribbon's availability-filtering rule.
pub(crate) const MAX_PROPOSALS: u32 = 10;
/// Maximum number of rounds through a pool in which a pick looks for servers to propose.
pub(crate) const MAX_ROUNDS: usize = 4;
/// Multiple of its share of the calls in flight without load at which a server is overloaded.
pub(crate) const SERVER_OVERLOAD_RATIO: f64 = 1.2;
/// Exponent of a server's success rate in its turn weight. The weight has to reduce the calls to a
/// server that fails half of them at random, because such a server rarely trips its breaker if each
/// balancer calls it once per second.
pub(crate) const SUCCESS_RATE_EXPONENT: i32 = 4;
/// Excess of a server's failure rate over that of all calls above which calls that must not run
/// twice avoid the server. Other calls are still sent to it and show when it has recovered.
pub(crate) const MAX_EXCESS_FAILURE_RATE: f64 = 0.1;
/// Lower bound of a server's slowness in its turn weight, because a few calls are no reliable
/// measurement. At this bound a server has four turns for each turn of a server at the mean, which
/// [`MAX_ROUNDS`] allows for.
pub(crate) const MIN_SLOWNESS: f64 = 0.5;
/// Factor by which the highest turn weight of a pool decays with each server that is considered for
/// a turn, so that it is the highest weight of the last several hundred servers considered.
pub(crate) const BEST_WEIGHT_DECAY: f64 = 0.999;

// ---- Slow start ----

/// Part of the multiple that overloads a server in slow start by which the proven rate may safely
/// be multiplied.
pub(crate) const SAFE_OVERLOAD_PART: f64 = 0.6;
/// Interval at which the warm size of all servers is updated.
pub(crate) const WARM_SIZE_INTERVAL: Duration = SECOND / 10;
/// Relative latency below which the slow-start pace of a zone rises.
pub(crate) const PACE_UP_BELOW: f64 = 0.5;
/// Relative latency above which the slow-start pace of a zone falls.
pub(crate) const PACE_DOWN_ABOVE: f64 = 0.8;
/// Minimum time in which the slow-start pace doubles.
pub(crate) const PACE_DOUBLING: Duration = SECOND;
/// Minimum time in which the slow-start pace doubles, as a multiple of the mean latency of a call,
/// so that congestion is measured before the pace doubles again.
pub(crate) const PACE_DOUBLING_CALLS: f64 = 8.0;
/// Time after a call that found no server during which slow-start budgets stay in force beyond the
/// end of slow start.
pub(crate) const BUDGET_EXTENSION: Duration = SECOND;

// ---- Circuit breakers ----

/// Chance that the breaker of a server no worse than the others trips. It determines the number of
/// failures in a row that trip a breaker.
pub(crate) const FALSE_TRIP_CHANCE: f64 = 0.01;
/// Chance of a false trip for a server on probation. It is higher because a server that has tripped
/// recently is more likely to be worse than the others.
pub(crate) const FALSE_TRIP_CHANCE_ON_PROBATION: f64 = 0.1;
/// Minimum failures in a row that trip a breaker, except on probation, where one can suffice.
pub(crate) const MIN_FAILURES_TO_TRIP: f64 = 2.0;
/// Maximum failures in a row before a breaker trips, so that the worst servers of a failing tier
/// are still ejected.
pub(crate) const MAX_FAILURES_TO_TRIP: f64 = 6.0;
/// Time that a breaker stays open. The maximum bounds the time that a recovered server idles.
pub(crate) const BREAKER_BACKOFF: Backoff = Backoff {
    initial: SECOND,
    max: 8 * SECOND,
};
/// Successes in a row that end the probation of a server whose breaker has opened recently.
pub(crate) const PROBATION_SUCCESSES: u32 = 3;
/// Successes in a row that reset the backoff of a breaker.
pub(crate) const BACKOFF_RESET_SUCCESSES: u32 = 10;

// ---- Timeouts ----

/// Mean deviations above the mean latency at which an attempt is late. A late attempt counts in the
/// latency of its server, but not in that of its class.
pub(crate) const LATE_DEVIATIONS: f64 = 4.0;
/// Mean deviations above the mean latency at which an attempt times out. Hardly any call to a
/// healthy server takes as long.
pub(crate) const TIMEOUT_DEVIATIONS: f64 = 20.0;
/// Minimum attempt timeout, as a part of the latency target. With latencies of a millisecond, a
/// balancer that stalls for a few milliseconds would otherwise time out calls to healthy servers.
pub(crate) const MIN_TIMEOUT_PART: f64 = 0.1;

// ---- Retries ----

/// Number of retries that a request adds to the retry budget. It is low because retries multiply
/// from tier to tier.
pub(crate) const RETRY_DEPOSIT: f64 = 0.2;
/// Maximum balance of the retry budget, in retries.
pub(crate) const RETRY_BUDGET_CAP: f64 = 10.0;

// ---- Connections ----

/// Time since its last response within which a server counts as alive. A connection that fails in
/// this time shows that the server's connection limit is reached.
pub(crate) const ALIVE_WINDOW: Duration = SECOND;
/// Time after which a server at its connection limit is tried with one more connection.
pub(crate) const CONNECTION_RETRY_INTERVAL: Duration = 5 * SECOND;
/// Number of idle connections that a server may keep. A full connection table costs a server
/// capacity, and finally makes it refuse connections. With many calls in flight, their number
/// varies by chance, and closing connections at each low would cost a handshake per call. The
/// recent peak of the calls in flight minus this number is therefore kept instead, if it is higher.
pub(crate) const SPARE_CONNECTIONS: f64 = 2.0;
/// Decay time of the recent peak of the calls in flight.
pub(crate) const PEAK_DECAY: Duration = SECOND / 4;
/// Minimum time without use after which a connection counts as idle. Middleboxes that drop idle
/// connections wait longer than a round trip.
pub(crate) const MIN_IDLE: Duration = SECOND / 4;
/// Weight of an attempt in the failure rate of the idle step of its connection, which is a range of
/// idle times (see [`crate::state::IdleRisk`]).
pub(crate) const IDLE_RISK_GAIN: f64 = 0.3;
/// Decay time of the failure rates of idle steps.
pub(crate) const IDLE_RISK_DECAY: Duration = 30 * SECOND;
/// Failure rate above which an idle connection is replaced before a call that must not run twice.
/// Such a call would be lost with its connection.
pub(crate) const MAX_IDLE_RISK_UNSAFE: f64 = 0.1;
/// Failure rate above which an idle connection is replaced before any other call. A failure only
/// costs such a call another attempt, and its attempts show when the risk is over.
pub(crate) const MAX_IDLE_RISK: f64 = 0.3;

// ---- Load shedding ----

/// Expected relative latency above which work is shed. A lower threshold would reject requests that
/// are slow by nature even without overload.
pub(crate) const SHED_START_RELATIVE_LATENCY: f64 = 0.5;
/// Expected relative latency at which all work is shed, up to [`MAX_SHED`]. Above it, the tail of
/// the responses misses the latency target.
pub(crate) const SHED_ALL_RELATIVE_LATENCY: f64 = 0.65;
/// Increase of the shedding threshold for random variation, divided by the root of the number of
/// responses counted. Without it, a balancer with about ten calls per second took the random
/// lengths of its calls for congestion, and rejected some although no call was waiting.
pub(crate) const SHED_NOISE: f64 = 0.4;
/// Maximum part of the work that is shed. The remaining calls show when the overload is over.
pub(crate) const MAX_SHED: f64 = 0.9;
/// Minimum window over which responses are counted for the response rate.
pub(crate) const MIN_RESPONSE_WINDOW: Duration = SECOND;
/// Maximum window over which the responses of a balancer with few calls are counted, as a multiple
/// of the longest latency target. Congestion comes and goes within a few latency targets.
pub(crate) const MAX_RESPONSE_WINDOW_TARGETS: u64 = 2;

// ---- Load probes ----

/// Number of servers that are probed before a call is sent.
pub(crate) const PROBED_SERVERS: usize = 4;
/// Part of a request's value that its probes may cost. A better choice of server gains a few
/// percent of the value.
pub(crate) const MAX_PROBE_COST: f64 = 0.01;
/// Time to wait for load reports (5 ms). A longer wait costs more than a bad choice of server, and
/// a missing report indicates a stalled server.
pub(crate) const PROBE_TIMEOUT: Duration = 5_000_000;

// ---- Subscription to discovery ----

/// Time per balancer over which first subscriptions are spread, because the capacity of discovery
/// is fixed.
pub(crate) const SUBSCRIBE_SPACING: Duration = SECOND / 10;
/// Delay before a failed subscription is retried. A balancer counts as notified of a change 6 s
/// after discovery had it, and two calls to discovery of 2 s each, with their delays, have to fit
/// into that time.
pub(crate) const SUBSCRIBE_BACKOFF: Backoff = Backoff {
    initial: SECOND,
    max: 2 * SECOND,
};

// ---- Timer tokens ----
//
// The tokens of attempts use the lower 63 bits.

/// Token of the timer that subscribes to discovery.
pub(crate) const SUBSCRIBE_TOKEN: u64 = u64::MAX;
/// Bit that is set in the tokens of timers that wait for load reports.
pub(crate) const PROBE_TOKEN_BIT: u64 = 1 << 63;

// ---- Log ----

/// Minimum time between two log lines of one kind. During faults, the logged events can occur many
/// times per second.
pub(crate) const LOG_INTERVAL: Duration = 5 * SECOND;
