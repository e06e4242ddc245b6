//! State that a baseline policy updates when an attempt ends: ejection, Ribbon's circuit breaker, latencies and
//! limits.

use super::*;

/// Consecutive failures after which a server is ejected.
const EJECT_FAILURES: u32 = 5;
/// First ejection time, in nanoseconds. The n-th ejection in a row lasts n times as long.
const EJECT_TIME: Time = 30 * SECOND;
/// Maximum fraction of the servers that are ejected at a time.
const MAX_EJECTED_FRACTION: f64 = 0.1;
/// Consecutive failures that open Ribbon's circuit breaker.
const TRIP_FAILURES: u32 = 3;
/// First open time of Ribbon's circuit breaker, in nanoseconds; it doubles each time.
const TRIP_TIME: Time = 10 * SECOND;
/// Longest open time of Ribbon's circuit breaker, in nanoseconds.
const TRIP_TIME_MAX: Time = 30 * SECOND;

impl Server {
    /// Updates the peak-sensitive average with a latency in nanoseconds: a higher value replaces the average at
    /// once, a lower one enters with decay.
    fn observe_latency(&mut self, now: Time, latency: f64) {
        let age = now.saturating_sub(self.peak_latency_at) as f64;
        let weight = (-age / DECAY).exp();
        self.peak_latency = if latency > self.peak_latency {
            latency
        } else {
            self.peak_latency * weight + latency * (1.0 - weight)
        };
        self.peak_latency_at = now;
    }
}

impl BaselinePolicy {
    /// Updates the state with the end of an attempt at the server with position `index`.
    pub(super) fn learn(&mut self, now: Time, index: usize, latency: Time, outcome: Outcome) {
        self.in_flight -= 1;
        let is_ribbon = self.config.selection == ServerSelection::Ribbon;
        let server = &mut self.servers[index];
        server.in_flight = server.in_flight.saturating_sub(1);
        let connection_failed = matches!(
            outcome,
            Outcome::ConnectFailed | Outcome::Timeout | Outcome::Reset
        );
        let failed = connection_failed || outcome == Outcome::Error;
        match outcome {
            Outcome::Ok | Outcome::Declined => (server.failures, server.trips) = (0, 0),
            _ if if is_ribbon { connection_failed } else { failed } => server.failures += 1,
            _ => {}
        }
        if is_ribbon && server.failures >= TRIP_FAILURES {
            let open_for = (TRIP_TIME << server.trips.min(4)).min(TRIP_TIME_MAX);
            (server.unavailable_until, server.trips) = (now + open_for, server.trips + 1);
        } else if self.config.ejects_outliers && server.failures >= EJECT_FAILURES {
            self.eject(now, index);
        }
        let latency = latency as f64;
        if matches!(outcome, Outcome::Ok | Outcome::Timeout | Outcome::Error) {
            self.servers[index].observe_latency(now, latency);
        }
        match self.config.limit {
            ConcurrencyLimit::None => {}
            ConcurrencyLimit::Aimd => self.adapt_aimd(failed || outcome == Outcome::Full),
            ConcurrencyLimit::Gradient => self.adapt_gradient(latency, outcome),
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

    /// Updates the gradient limit with a latency in nanoseconds.
    fn adapt_gradient(&mut self, latency: f64, outcome: Outcome) {
        if outcome == Outcome::Full {
            self.limit = (0.9 * self.limit).max(4.0);
        }
        if !matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            return;
        }
        let (short, long) = (&mut self.short_latency, &mut self.long_latency);
        *short = if *short == 0.0 {
            latency
        } else {
            *short + 0.1 * (latency - *short)
        };
        *long = if *long == 0.0 {
            latency
        } else {
            *long + 0.002 * (latency - *long)
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

    /// Ejects a server for a while, unless too many servers are ejected already.
    fn eject(&mut self, now: Time, index: usize) {
        let ejected = self
            .ready
            .iter()
            .filter(|&&other| self.servers[other].unavailable_until > now)
            .count();
        if (ejected as f64) < (MAX_EJECTED_FRACTION * self.ready.len() as f64).max(1.0) {
            let server = &mut self.servers[index];
            server.trips += 1;
            (server.unavailable_until, server.failures) =
                (now + EJECT_TIME * Time::from(server.trips), 0);
        }
    }
}
