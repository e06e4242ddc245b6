//! Engine settings of the balancers in a scenario.

use super::{CallClass, CallEffect, CallGroup, Scenario};
use woadstall_engine::Settings;
use woadstall_engine::decisions::{Class, DedupScope, Effect, Tenant, ZoneId};

impl Scenario {
    /// Settings of a balancer of a tier in a zone.
    pub fn settings(&self, tier: usize, zone: u8) -> Settings {
        let class = |class: &CallClass| Class {
            latency_target: class.latency_target.0,
            latency_target_stretch: 0.0,
            deadline: class.deadline.0,
            effect: match class.effect {
                CallEffect::Safe => Effect::Safe,
                CallEffect::Unsafe => Effect::Unsafe,
                CallEffect::Keyed => {
                    let scope = match class.group {
                        CallGroup::All => DedupScope::All,
                        CallGroup::Zone => DedupScope::Zone,
                        CallGroup::Cell => DedupScope::Cell,
                    };
                    Effect::Keyed(scope, class.window.0)
                }
            },
            late_value: class.late_value,
            value: class.value,
        };
        let (depth, balancer_count) = (self.depth(tier), self.balancer_count(tier));
        let tier = &self.tier[tier];
        Settings {
            classes: self.class.iter().map(class).collect(),
            tenants: self
                .tenant
                .iter()
                .map(|tenant| Tenant {
                    quota_rps: tenant.quota,
                })
                .collect(),
            over_quota_value: self.limits.over_quota_value,
            value_by_work: false,
            zone: ZoneId(zone),
            zones: self.zones.len(),
            balancers: balancer_count,
            tier: depth,
            propagates_deadline: true,
            subscribes_to_discovery: self.registry.queries.is_some(),
            subscribe_within: self
                .registry
                .queries
                .as_ref()
                .map_or(0, |queries| queries.within.0),
            may_cancel: self.limits.cancellation,
            max_retry_after: self.limits.max_retry_after.0,
            max_attempts: self.limits.max_attempts,
            idle_timeout: self.limits.idle_timeout.0.max(1),
            slow_start_capacity: tier.start_capacity,
            slow_start_overload: tier.overload_multiple,
            slow_start_window: tier.slow_start_window.0,
            in_flight_report_field: tier.probed.is_some().then_some(0),
            probes_for_load: tier.probed.is_some(),
            cross_zone_cost: self.limits.cross_zone_cost,
            probe_cost: tier.probed.as_ref().map_or(0.0, |probed| probed.cost),
        }
    }
}
