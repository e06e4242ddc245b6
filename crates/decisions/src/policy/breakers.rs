//! Circuit breakers: ejection of failing servers and the trial calls that bring them back.

use crate::balancer::Balancer;
use crate::log::LogEvent;
use crate::state::{CircuitBreaker, ServerIndex};
use crate::tuning::{
    BACKOFF_RESET_SUCCESSES, BREAKER_BACKOFF, FALSE_TRIP_CHANCE, FALSE_TRIP_CHANCE_ON_PROBATION,
    MAX_FAILURES_TO_TRIP, MIN_FAILURES_TO_TRIP, PROBATION_SUCCESSES,
};

impl Balancer {
    /// Whether the circuit breaker of a server lets a call of a class through: it is closed, or
    /// half-open with no trial call in flight.
    ///
    /// A trial call may be lost, so only calls that can be repeated serve as trials. If no such
    /// call arrives for another full backoff delay, other calls may be trials as well.
    pub(crate) fn breaker_admits(&self, index: ServerIndex, class: usize) -> bool {
        let breaker = &self.servers[index].breaker;
        let is_idempotent = self.is_idempotent(class);
        let grace = if is_idempotent {
            0
        } else {
            BREAKER_BACKOFF.delay(breaker.recent_opens)
        };
        let is_half_open = self.now >= breaker.open_until.saturating_add(grace);
        !breaker.tripped || (!breaker.trial_in_flight && is_half_open)
    }

    /// Records a failure of a server, and opens its breaker after too many failures in a row.
    pub(crate) fn breaker_failure(&mut self, index: ServerIndex) {
        self.record_failure_rate(index, true);
        let failures_to_trip = self.failures_to_trip(&self.servers[index].breaker);
        let breaker = &mut self.servers[index].breaker;
        breaker.consecutive_failures += 1;
        breaker.consecutive_successes = 0;
        if f64::from(breaker.consecutive_failures) >= failures_to_trip {
            breaker.consecutive_failures = 0;
            breaker.recent_opens += 1;
            breaker.open_until = self.now + BREAKER_BACKOFF.delay(breaker.recent_opens);
            let recent_opens = breaker.recent_opens;
            self.set_tripped(index, true);
            let server = self.servers[index].id;
            self.log(LogEvent::BreakerOpened {
                server,
                recent_opens,
            });
        }
    }

    /// Number of failures in a row that trips a breaker. It depends on the failure rate of all
    /// calls, so that the breaker of a server no worse than the others rarely trips by chance.
    fn failures_to_trip(&self, breaker: &CircuitBreaker) -> f64 {
        let has_few_successes = breaker.consecutive_successes < PROBATION_SUCCESSES;
        let on_probation = breaker.recent_opens > 0 && has_few_successes;
        let (chance, min_failures) = if on_probation {
            (FALSE_TRIP_CHANCE_ON_PROBATION, 1.0)
        } else {
            (FALSE_TRIP_CHANCE, MIN_FAILURES_TO_TRIP)
        };
        let failures = chance.ln() / self.failure_rate.clamp(0.001, 0.999).ln();
        failures.ceil().clamp(min_failures, MAX_FAILURES_TO_TRIP)
    }

    /// Records a success of a server, and closes its breaker.
    pub(crate) fn breaker_success(&mut self, index: ServerIndex) {
        self.record_failure_rate(index, false);
        let breaker = &mut self.servers[index].breaker;
        breaker.consecutive_failures = 0;
        breaker.consecutive_successes = breaker.consecutive_successes.saturating_add(1);
        if breaker.consecutive_successes >= BACKOFF_RESET_SUCCESSES {
            breaker.recent_opens = 0;
        }
        self.set_tripped(index, false);
    }
}
