//! Slow start: how much a server whose process has just started is sent.

use crate::api::Duration;
use crate::balancer::Balancer;
use crate::state::{PoolIndex, ServerIndex};
use crate::tuning::{
    BUDGET_EXTENSION, PACE_DOUBLING, PACE_DOUBLING_CALLS, PACE_DOWN_ABOVE, PACE_UP_BELOW,
    SAFE_OVERLOAD_PART, SECOND,
};

impl Balancer {
    /// A server's slow-start budget grows with time, by its share of the calls that this balancer
    /// gets responses to, times its warmth: what is asked for in an overload is more than even warm
    /// servers can do. As all balancers do likewise, the sum stays near what it can do.
    pub(crate) fn slow_start_admits(&mut self, pool: PoolIndex, index: ServerIndex) -> bool {
        if !self.has_slow_start_budget(index) {
            return true;
        }
        let rate = self.slow_start_rate(pool, index);
        let server = &mut self.servers[index];
        let passed = (self.now - server.slow_start_budget_at) as f64 / SECOND as f64;
        let budget = server.slow_start_budget + rate * server.size * passed;
        server.slow_start_budget = budget.min(1.0);
        server.slow_start_budget_at = self.now;
        server.slow_start_budget >= 1.0
    }

    /// Calls per second that a server may be sent for each unit of its size.
    fn slow_start_rate(&mut self, pool: PoolIndex, index: ServerIndex) -> f64 {
        let (warmth, overload) = (self.warmth(index), self.settings.slow_start_overload);
        // Where servers are probed before they get a call, a busy one in slow start is seen: half the
        // multiple that overloads it is safe, and its share of proposals alone would leave it idle.
        let ease = if self.probes_for_load() {
            (overload / 2.0).max(1.0)
        } else {
            1.0
        };
        let share = self.known_rate() * ease / self.pools[pool].size.max(f64::MIN_POSITIVE);
        let beyond = if warmth < 1.0 {
            1.0
        } else {
            SAFE_OVERLOAD_PART * overload
        };
        warmth * self.warm_share(self.servers[index].zone, share) * beyond
    }

    /// What a warm server of a zone may be sent, for each unit of its size: its share of the
    /// responses of late, or what the zone is known to have borne: after an outage there were no
    /// responses lately, and by that alone all servers that return would be kept waiting past their
    /// return. Where most of all zones is in slow start no warm server takes the rest: what they bore
    /// was less than they can do, and a part of the multiple that overloads them is safe. Beyond that
    /// a zone's pace grows while its responses are in time, up to all that is asked for.
    fn warm_share(&mut self, zone: PoolIndex, share: f64) -> f64 {
        self.update_warm_size();
        let all = &self.pools[self.settings.zones];
        let most = (all.size / all.warm_size.max(f64::MIN_POSITIVE)).max(1.0);
        let pool = &mut self.pools[zone];
        pool.slow_start_pace = pool.slow_start_pace.clamp(1.0, most);
        let safe = (SAFE_OVERLOAD_PART * self.settings.slow_start_overload).clamp(1.0, most);
        let proven = pool.proven_rate * safe.max(pool.slow_start_pace);
        (share * pool.slow_start_pace).max(proven)
    }

    /// A call to a server in slow start took this part of its latency target. Few calls change the
    /// pace little: they tell of less time.
    pub(crate) fn adjust_slow_start_pace(&mut self, zone: PoolIndex, relative_latency: f64) {
        let calls = (PACE_DOUBLING_CALLS * self.overall_latency.mean) as Duration;
        let doubling = PACE_DOUBLING.max(calls);
        let pool = &mut self.pools[zone];
        let passed = pool.take_pace_interval(self.now, doubling / 4);
        let passed = passed as f64 / doubling.max(1) as f64;
        if relative_latency < PACE_UP_BELOW {
            pool.slow_start_pace *= passed.exp2();
        }
        if relative_latency > PACE_DOWN_ABOVE {
            pool.slow_start_pace *= (-2.0 * passed).exp2();
        }
    }

    /// Whether a server's new calls are budgeted: during slow start, and as long again while calls
    /// find no server. Where budgets alone held an overload back, all of it would come in the instant
    /// in which they end.
    pub(crate) fn has_slow_start_budget(&self, index: ServerIndex) -> bool {
        let lingers = self.now < self.unplaced_at.saturating_add(BUDGET_EXTENSION);
        let started = self.servers[index].started_at;
        let until = started.map_or(0, |at| at + 2 * self.settings.slow_start_window);
        lingers && self.now < until || self.warmth(index) < 1.0
    }
}
