//! Hand-over of learned state from a balancer to the process that replaces it.

use crate::api::{LearnedServer, LearnedState, Time};
use crate::balancer::Balancer;
use crate::state::{DecayingSum, LatencyEstimate};
use crate::tuning::{BREAKER_BACKOFF, RATE_WINDOW, SHED_START_RELATIVE_LATENCY};

impl Balancer {
    /// Returns the learned state that is handed over to a new process.
    pub fn learned_state(&self) -> LearnedState {
        let window = self.response_window();
        let latencies = self.class_latencies.iter().map(LatencyEstimate::to_learned);
        let servers = self
            .server_indices
            .values()
            .map(|&index| &self.servers[index]);
        LearnedState {
            classes: latencies.enumerate().collect(),
            overall: self.overall_latency.to_learned(),
            responses_per_second: self.responses.per_second(self.now, RATE_WINDOW),
            responses: self.load.responses.get(self.now, window),
            pending: self.load.pending_sum.get(self.now, window),
            failure_rate: self.failure_rate,
            servers: servers.map(|server| server.to_learned(self.now)).collect(),
        }
    }

    /// Restores the learned state of the previous process. State that this balancer has already
    /// measured itself is kept.
    pub fn restore(&mut self, now: Time, learned: &LearnedState) {
        self.now = self.now.max(now);
        self.restore_latencies(learned);
        if self.responses.sum == 0.0 {
            self.restore_load(learned);
        }
        learned
            .servers
            .iter()
            .for_each(|server| self.restore_server(server));
    }

    fn restore_latencies(&mut self, learned: &LearnedState) {
        for (class, latency) in &learned.classes {
            if let Some(own) = self
                .class_latencies
                .get_mut(*class)
                .filter(|own| own.calls == 0)
            {
                *own = LatencyEstimate::from_learned(latency);
            }
        }
        if self.overall_latency.calls == 0 {
            self.overall_latency = LatencyEstimate::from_learned(&learned.overall);
        }
    }

    /// Restores the response rate, the load and the failure rate.
    ///
    /// The previous process continues to send for a while, so only half of its response rate is
    /// restored: the two processes together must not send more to servers in slow start than one
    /// process would.
    fn restore_load(&mut self, learned: &LearnedState) {
        let rate = learned.responses_per_second / 2.0;
        self.responses = DecayingSum::at_rate(rate, self.now, RATE_WINDOW);
        self.startup_until = self.now;
        self.load.responses.sum = learned.responses;
        self.load.responses.updated_at = self.now;
        // The restored load is capped at the threshold of load shedding. Congestion that the
        // previous process has measured may be over, so it must be measured again before load is
        // shed: two processes are sending now.
        self.load.pending_sum.sum = learned
            .pending
            .min(SHED_START_RELATIVE_LATENCY * learned.responses);
        self.load.pending_sum.updated_at = self.now;
        self.failure_rate = learned.failure_rate;
    }

    fn restore_server(&mut self, learned: &LearnedServer) {
        let Some(&index) = self.server_indices.get(&learned.server) else {
            return;
        };
        let server = &mut self.servers[index];
        if server.started_at != learned.started || server.last_response_at > 0 {
            return;
        }
        server.slowness = learned.slowness;
        server.breaker.recent_opens = learned.recent_opens;
        if let Some(open_for) = learned.open_for {
            let open_for = open_for.min(BREAKER_BACKOFF.max);
            server.breaker.open_until = self.now.saturating_add(open_for);
            self.set_tripped(index, true);
        }
    }
}
