//! Success and failure counts of servers, zones, idle connections and all calls.

use crate::balancer::Balancer;
use crate::state::{ConnectionLimit, PendingRequest, Pool, ServerIndex, pools_of};
use crate::tuning::{
    HEALTH_DECAY, IDLE_RISK_DECAY, IDLE_RISK_GAIN, OUTCOME_GAIN, PROVEN_RATE_SPAN, RATE_WINDOW,
    SERVER_FAILURE_GAIN,
};

impl Balancer {
    /// Records a success or failure of a call in the failure rates of its server, its zone and all
    /// calls.
    pub(crate) fn record_failure_rate(&mut self, index: ServerIndex, failed: bool) {
        if failed {
            self.failure_rate += OUTCOME_GAIN * (1.0 - self.failure_rate);
        } else {
            self.failure_rate -= OUTCOME_GAIN * self.failure_rate;
        }
        let (now, server) = (self.now, &mut self.servers[index]);
        server
            .failure_rate
            .record(failed, now, SERVER_FAILURE_GAIN, HEALTH_DECAY);
        let zone = &mut self.pools[server.zone];
        zone.failure_rate
            .record(failed, now, OUTCOME_GAIN, HEALTH_DECAY);
    }

    /// Excess of a server's failure rate over the failure rate of all calls plus `deviations`
    /// standard deviations of such an average, from 0 to 1. A failing dependency raises the rate of
    /// all servers and does not count against any one of them.
    pub(crate) fn excess_failure_rate(&self, index: ServerIndex, deviations: f64) -> f64 {
        let rate = self.failure_rate;
        let variance = SERVER_FAILURE_GAIN / (2.0 - SERVER_FAILURE_GAIN) * rate * (1.0 - rate);
        let max_usual_rate = rate + deviations * variance.max(0.0).sqrt();
        let server_rate = self.servers[index].failure_rate.get(self.now, HEALTH_DECAY);
        (server_rate - max_usual_rate).clamp(0.0, 1.0)
    }

    /// Ejects a server or readmits it, and updates the count of tripped members in its pools.
    pub(crate) fn set_tripped(&mut self, index: ServerIndex, tripped: bool) {
        let server = &mut self.servers[index];
        if server.breaker.tripped != tripped && server.ready {
            let count = |pool: &mut Pool| {
                pool.tripped = pool.tripped + usize::from(tripped) - usize::from(!tripped);
            };
            pools_of(&mut self.pools, server.zone).for_each(count);
        }
        server.breaker.tripped = tripped;
    }

    /// Records whether an attempt failed, under the idle step of its connection.
    pub(crate) fn record_idle_risk(&mut self, step: usize, failed: bool) {
        self.idle_risk
            .record(step, failed, self.now, IDLE_RISK_GAIN, IDLE_RISK_DECAY);
    }

    /// Records that a server refused a connection while it still responds. All connections that it
    /// accepts are then in use, so the calls in flight are its connection limit for this balancer.
    pub(crate) fn record_connection_limit(&mut self, index: ServerIndex) {
        let (now, server) = (self.now, &mut self.servers[index]);
        server.open_connections = server.in_flight;
        let connections = server.in_flight;
        server.connection_limit = Some(ConnectionLimit {
            connections,
            observed_at: now,
        });
    }

    /// Records a successful response of a server.
    pub(crate) fn record_success(&mut self, request: &PendingRequest, index: ServerIndex) {
        self.responses.add(self.now, 1.0, RATE_WINDOW);
        let zone = self.servers[index].zone;
        self.pools[zone].record_response(self.now, RATE_WINDOW, PROVEN_RATE_SPAN);
        self.servers[index].last_response_at = self.now;
        self.record_idle_risk(request.idle_step, false);
        self.breaker_success(index);
    }
}
