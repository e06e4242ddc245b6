//! How warm servers are, and what rate of calls slow start goes by.

use crate::balancer::Balancer;
use crate::state::ServerIndex;
use crate::tuning::{RATE_WINDOW, WARM_SIZE_INTERVAL};

impl Balancer {
    /// Part of its capacity that a server surely has by now: it may warm up faster, but never slower.
    pub(crate) fn warmth(&self, index: ServerIndex) -> f64 {
        let Some(started) = self.servers[index].started_at else {
            return 1.0;
        };
        let window = self.settings.slow_start_window.max(1) as f64;
        let age = self.now.saturating_sub(started) as f64 / window;
        let initial = self.settings.slow_start_capacity;
        (initial + (1.0 - initial) * age).min(1.0)
    }

    /// Counts the warm part of all servers, now and then.
    pub(crate) fn update_warm_size(&mut self) {
        let all = &self.pools[self.settings.zones];
        if self.now < all.warm_size_at.saturating_add(WARM_SIZE_INTERVAL) {
            return;
        }
        let warm_size = |&index: &ServerIndex| self.servers[index].size * self.warmth(index);
        let warm_size = all.members.iter().map(warm_size).sum();
        let all = &mut self.pools[self.settings.zones];
        all.warm_size = warm_size;
        all.warm_size_at = self.now;
    }

    /// Responses per second. A balancer that has just started has had none: where all servers are in
    /// slow start as well, after a release, nothing would ever be sent. It goes by the calls that it
    /// accepts until it knows better.
    pub(crate) fn known_rate(&self) -> f64 {
        let responses = self.responses.per_second(self.now, RATE_WINDOW);
        if self.now < self.startup_until {
            responses.max(self.accepted.per_second(self.now, RATE_WINDOW))
        } else {
            responses
        }
    }
}
