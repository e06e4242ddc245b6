//! Connection use: reuse, replacement and closing of idle connections, and connection limits.

use crate::api::{Action, Duration};
use crate::balancer::Balancer;
use crate::state::ServerIndex;
use crate::tuning::{
    CONNECTION_RETRY_INTERVAL, IDLE_RISK_DECAY, MAX_IDLE_RISK, MAX_IDLE_RISK_UNSAFE, MIN_IDLE,
    PEAK_DECAY, SPARE_CONNECTIONS,
};

impl Balancer {
    /// Accounts for the connection that a call is about to use, and returns its idle time as a step
    /// of [`crate::state::IdleRisk`]; 0 stands for a new connection.
    ///
    /// A middlebox that reaps idle connections, or a restart of the server, can drop an idle
    /// connection without notice. If calls on connections of up to this idle time fail, and calls
    /// on new connections fail less often, the idle connections are replaced. That costs a
    /// handshake.
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

    /// Whether calls on connections of up to this idle step fail more often than `limit` allows,
    /// and more than twice as often as calls on new connections.
    fn is_idle_risky(&self, step: usize, limit: f64) -> bool {
        let new = self.idle_risk.get(0, self.now, IDLE_RISK_DECAY);
        let idle = self
            .idle_risk
            .highest_up_to(step, self.now, IDLE_RISK_DECAY);
        idle > limit.max(2.0 * new)
    }

    /// Handles an attempt that ended without a response. The failure counts against the server,
    /// unless its connection was idle and idle connections are known to fail.
    pub(crate) fn on_attempt_failed(&mut self, index: ServerIndex, idle_step: usize) {
        self.record_idle_risk(idle_step, true);
        if idle_step > 0 {
            // A later failure at this server cannot come from a connection that idled as long.
            self.close_idle_connections(index);
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

    /// Closes the idle connections that a burst of calls has left. They would otherwise stay open
    /// until the idle timeout and take slots in the server's connection table from other balancers.
    pub(crate) fn close_spare_connections(&mut self, index: ServerIndex) {
        let server = &self.servers[index];
        let peak = server.peak_in_flight(self.now, PEAK_DECAY);
        let spare = (peak - SPARE_CONNECTIONS).max(SPARE_CONNECTIONS);
        if f64::from(server.open_connections) > f64::from(server.in_flight) + spare {
            self.close_idle_connections(index);
        }
    }

    /// Whether a call would need a new connection beyond the server's observed connection limit.
    /// Each attempt beyond the limit of a server that accepts fewer connections than usual would
    /// cost the full time of a failed connection. The limit rises by one per
    /// [`CONNECTION_RETRY_INTERVAL`].
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
