//! Slow start: limits on the calls that are sent to a server whose process has just started.

use crate::api::Duration;
use crate::balancer::Balancer;
use crate::state::{PoolIndex, ServerIndex};
use crate::tuning::{
    BUDGET_EXTENSION, PACE_DOUBLING, PACE_DOUBLING_CALLS, PACE_DOWN_ABOVE, PACE_UP_BELOW,
    SAFE_OVERLOAD_PART, SECOND,
};

impl Balancer {
    /// Whether the slow-start budget of a server allows one more call.
    ///
    /// The budget grows with time, by the server's share of the responses that this balancer gets,
    /// times its warmth. The responses are counted and not the requests, because in an overload
    /// more is requested than even warm servers can handle. Since all balancers do the same, the
    /// sum of their calls stays near the server's capacity.
    pub(crate) fn slow_start_admits(&mut self, pool: PoolIndex, index: ServerIndex) -> bool {
        if !self.has_slow_start_budget(index) {
            return true;
        }
        let rate = self.slow_start_rate(pool, index);
        let server = &mut self.servers[index];
        let seconds = (self.now - server.slow_start_budget_at) as f64 / SECOND as f64;
        let budget = server.slow_start_budget + rate * server.size * seconds;
        server.slow_start_budget = budget.min(1.0);
        server.slow_start_budget_at = self.now;
        server.slow_start_budget >= 1.0
    }

    /// Calls per second that may be sent to a server in slow start, per unit of its size.
    fn slow_start_rate(&mut self, pool: PoolIndex, index: ServerIndex) -> f64 {
        let (warmth, overload) = (self.warmth(index), self.settings.slow_start_overload);
        // Load probes show whether a server in slow start is busy. Half the multiple that overloads
        // it is then safe, while its plain share of the proposals would leave it idle.
        let probe_factor = if self.probes_for_load() {
            (overload / 2.0).max(1.0)
        } else {
            1.0
        };
        let rate = self.estimated_calls_per_second();
        let share = rate * probe_factor / self.pools[pool].size.max(f64::MIN_POSITIVE);
        let overload_factor = if warmth < 1.0 {
            1.0
        } else {
            SAFE_OVERLOAD_PART * overload
        };
        warmth * self.warm_share(self.servers[index].zone, share) * overload_factor
    }

    /// Calls per second that may be sent to a warm server of a zone, per unit of its size: its
    /// share of the recent responses, or the proven rate of the zone if that is higher.
    ///
    /// After an outage there are no recent responses, so without the proven rate the returning
    /// servers would get hardly any calls. If most servers of all zones are in slow start, no warm
    /// servers take the remaining calls. The proven rate is then below the capacity, so that a
    /// multiple of it is safe: a part of the multiple that overloads a server. Beyond that, the
    /// slow-start pace of the zone grows while its responses are in time, up to the full demand.
    fn warm_share(&mut self, zone: PoolIndex, share: f64) -> f64 {
        self.update_warm_size();
        let all_servers = &self.pools[self.settings.zones];
        let max_pace = (all_servers.size / all_servers.warm_size.max(f64::MIN_POSITIVE)).max(1.0);
        let pool = &mut self.pools[zone];
        pool.slow_start_pace = pool.slow_start_pace.clamp(1.0, max_pace);
        let safe_multiple =
            (SAFE_OVERLOAD_PART * self.settings.slow_start_overload).clamp(1.0, max_pace);
        let proven_share = pool.proven_rate * safe_multiple.max(pool.slow_start_pace);
        (share * pool.slow_start_pace).max(proven_share)
    }

    /// Adjusts the slow-start pace of a zone to the latency of a call, given as a part of the
    /// call's latency target. The step depends on the time since the last adjustment, up to a
    /// quarter of the doubling time, so that few calls change the pace little.
    pub(crate) fn adjust_slow_start_pace(&mut self, zone: PoolIndex, relative_latency: f64) {
        let by_latency = (PACE_DOUBLING_CALLS * self.overall_latency.mean) as Duration;
        let doubling_time = PACE_DOUBLING.max(by_latency);
        let pool = &mut self.pools[zone];
        let elapsed = pool.take_pace_interval(self.now, doubling_time / 4);
        let doublings = elapsed as f64 / doubling_time.max(1) as f64;
        if relative_latency < PACE_UP_BELOW {
            pool.slow_start_pace *= doublings.exp2();
        }
        if relative_latency > PACE_DOWN_ABOVE {
            pool.slow_start_pace *= (-2.0 * doublings).exp2();
        }
    }

    /// Whether the slow-start budget limits the calls to a server: during slow start, and for up to
    /// another slow-start window while calls find no server. If only the budgets hold back an
    /// overload, the full overload would otherwise reach the servers in the instant when slow start
    /// ends.
    pub(crate) fn has_slow_start_budget(&self, index: ServerIndex) -> bool {
        let is_extended = self.now < self.no_server_found_at.saturating_add(BUDGET_EXTENSION);
        let started_at = self.servers[index].started_at;
        let extension_end =
            started_at.map_or(0, |started| started + 2 * self.settings.slow_start_window);
        is_extended && self.now < extension_end || self.warmth(index) < 1.0
    }
}
