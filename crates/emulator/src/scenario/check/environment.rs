//! Validation of the network, the front, the registry, clocks, limits and membership.

use super::*;

impl Scenario {
    pub(super) fn check_environment(&self) -> CheckResult {
        let network = &self.network;
        in_range("network.jitter", network.jitter, 0.0, 100.0)?;
        in_range("network.loss", network.loss, 0.0, 1.0)?;
        in_range("network.resets", network.resets, 0.0, 1.0)?;
        let rate = network.bytes_per_second;
        in_range("network.bytes-per-second", rate, 0.0, 1e12)?;
        if let Some(front) = &self.front {
            in_range("front.uneven", front.max_weight_ratio, 1.0, 1e4)?;
        }
        if let Some(queries) = &self.registry.queries {
            in_range("padron.asked.reads", queries.reads_per_second, 0.001, 1e9)?;
            if queries.timeout.0 == 0 || queries.within.0 == 0 {
                return inconsistent("`padron.asked`: `patience` and `within` must not be 0");
            }
        }
        in_range("clocks.drift", self.clocks.max_drift, 0.0, 0.1)?;
        let limits = &self.limits;
        in_range("limits.cross-price", limits.cross_zone_cost, 0.0, 1.0)?;
        in_range("limits.over-quota-worth", limits.over_quota_value, 0.0, 1.0)?;
        if limits.max_attempts == 0 {
            return inconsistent("`limits.attempts` is 0");
        }
        Ok(())
    }

    pub(super) fn check_members(&self) -> CheckResult {
        let Some(members) = &self.members else {
            return Ok(());
        };
        let (period, timeout) = (members.period.0, members.timeout.0);
        let has_valid_probes = period > 0 && timeout > 0 && timeout <= period / 2;
        if !has_valid_probes || members.suspicion.0 < period {
            return inconsistent(
                "`members`: `patience` up to half of `period`, `suspicion` no shorter",
            );
        }
        Ok(())
    }
}
