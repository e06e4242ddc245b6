//! Warmth of servers in slow start, and the call rate from which their budgets are computed.

use crate::balancer::Balancer;
use crate::state::ServerIndex;
use crate::tuning::{RATE_WINDOW, WARM_SIZE_INTERVAL};

impl Balancer {
    /// Lower bound of the part of its capacity that a server has reached, from 0 to 1. A server may
    /// warm up faster than this, but not slower.
    pub(crate) fn warmth(&self, index: ServerIndex) -> f64 {
        let Some(started) = self.servers[index].started_at else {
            return 1.0;
        };
        let window = self.settings.slow_start_window.max(1) as f64;
        let age = self.now.saturating_sub(started) as f64 / window;
        let initial = self.settings.slow_start_capacity;
        (initial + (1.0 - initial) * age).min(1.0)
    }

    /// Updates the warm size of the pool of all servers, at most once per [`WARM_SIZE_INTERVAL`].
    pub(crate) fn update_warm_size(&mut self) {
        let all_servers = &self.pools[self.settings.zones];
        if self.now < all_servers.warm_size_at.saturating_add(WARM_SIZE_INTERVAL) {
            return;
        }
        let warm_size = |&index: &ServerIndex| self.servers[index].size * self.warmth(index);
        let warm_size = all_servers.members.iter().map(warm_size).sum();
        let all_servers = &mut self.pools[self.settings.zones];
        all_servers.warm_size = warm_size;
        all_servers.warm_size_at = self.now;
    }

    /// Estimated calls per second that the servers can handle: the response rate.
    ///
    /// A balancer that has just started has seen no responses. If all servers are in slow start as
    /// well, as after a release, it would never send anything. During its startup period it
    /// therefore uses the rate of accepted calls if that is higher.
    pub(crate) fn estimated_calls_per_second(&self) -> f64 {
        let responses = self.responses.per_second(self.now, RATE_WINDOW);
        if self.now < self.startup_until {
            responses.max(self.accepted.per_second(self.now, RATE_WINDOW))
        } else {
            responses
        }
    }
}
