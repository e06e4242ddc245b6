//! Which connection a call uses: an idle one, or a new one where idle ones fail or are too many.

use crate::api::{Action, Duration};
use crate::balancer::Balancer;
use crate::state::ServerIndex;
use crate::tuning::{
    CONNECTION_RETRY_INTERVAL, IDLE_RISK_DECAY, MAX_IDLE_RISK, MAX_IDLE_RISK_UNSAFE, MIN_IDLE,
    PEAK_DECAY, SPARE_CONNECTIONS,
};

impl Balancer {
    /// How long the connection that a call will use has been idle, as a step of the risk.
    ///
    /// Something between may have dropped it unseen: where calls on such connections fail and others
    /// don't, it is replaced. Guards against reapers of idle connections and servers that restarted;
    /// costs a handshake.
    pub(crate) fn take_connection(&mut self, index: ServerIndex, class: usize) -> usize {
        let server = &mut self.servers[index];
        let idle = self.now.saturating_sub(server.idle_since);
        let has_idle = server.open_connections > server.in_flight;
        if !has_idle || idle >= self.settings.idle_timeout {
            server.open_connections = server.in_flight;
            return 0;
        }
        let step = self.idle_risk.step(idle, MIN_IDLE);
        let limit = if self.is_idempotent(class) {
            MAX_IDLE_RISK
        } else {
            MAX_IDLE_RISK_UNSAFE
        };
        if !self.is_idle_risky(step, limit) {
            return step;
        }
        self.close_idle_connections(index);
        0
    }

    /// Whether connections idle for so long fail too often, and more often than new ones.
    fn is_idle_risky(&self, step: usize, limit: f64) -> bool {
        let new = self.idle_risk.get(0, self.now, IDLE_RISK_DECAY);
        let idle = self
            .idle_risk
            .highest_up_to(step, self.now, IDLE_RISK_DECAY);
        idle > limit.max(2.0 * new)
    }

    /// A call without a response tells of its server, or of its connection where idle ones fail.
    pub(crate) fn on_attempt_failed(&mut self, index: ServerIndex, idle_step: usize) {
        self.record_idle_risk(idle_step, true);
        if idle_step > 0 {
            self.close_idle_connections(index); // the next failure there is not for this reason
        }
        if idle_step == 0 || !self.is_idle_risky(idle_step, MAX_IDLE_RISK) {
            self.breaker_failure(index);
        }
    }

    fn close_idle_connections(&mut self, index: ServerIndex) {
        let server = &mut self.servers[index];
        server.open_connections = server.in_flight;
        self.actions.push(Action::CloseIdleConnections(server.id));
    }

    /// Closes the idle connections of a burst: they would stay for long, and keep those of other
    /// balancers out.
    pub(crate) fn close_spare_connections(&mut self, index: ServerIndex) {
        let server = &self.servers[index];
        let peak = server.peak_in_flight(self.now, PEAK_DECAY);
        let spare = (peak - SPARE_CONNECTIONS).max(SPARE_CONNECTIONS);
        if f64::from(server.open_connections) > f64::from(server.in_flight) + spare {
            self.close_idle_connections(index);
        }
    }

    /// Whether a call would need a connection that its server did not let us have lately. Guards
    /// against servers that accept fewer than usual: each attempt costs the whole time of a failed
    /// connection.
    pub(crate) fn is_at_connection_limit(&self, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let Some(limit) = server.connection_limit else {
            return false;
        };
        let age = self.now.saturating_sub(limit.observed_at);
        let allowed = Duration::from(limit.connections) + age / CONNECTION_RETRY_INTERVAL;
        let has_idle = server.open_connections > server.in_flight;
        !has_idle && Duration::from(server.in_flight) >= allowed
    }
}
