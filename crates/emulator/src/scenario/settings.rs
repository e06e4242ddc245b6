//! What balancers are told at their start.

use super::{CallClass, CallEffect, CallGroup, Scenario};
use woadstall_engine::Settings;
use woadstall_engine::decisions::{Class, Effect, Group, Tenant, ZoneId};

impl Scenario {
    /// What a balancer of a tier is told at its start.
    pub fn settings(&self, tier: usize, zone: u8) -> Settings {
        let class = |class: &CallClass| Class {
            aim: class.aim.0,
            aim_stretch: 0.0,
            deadline: class.deadline.0,
            effect: match class.effect {
                CallEffect::Safe => Effect::Safe,
                CallEffect::Unsafe => Effect::Unsafe,
                CallEffect::Keyed => {
                    let group = match class.group {
                        CallGroup::All => Group::All,
                        CallGroup::Zone => Group::Zone,
                        CallGroup::Cell => Group::Cell,
                    };
                    Effect::Keyed(group, class.window.0)
                }
            },
            late_worth: class.late_worth,
            worth: class.worth,
        };
        let (depth, siblings, tier) = (self.depth(tier), self.senders(tier), &self.tier[tier]);
        Settings {
            classes: self.class.iter().map(class).collect(),
            tenants: self
                .tenant
                .iter()
                .map(|tenant| Tenant {
                    quota_rps: tenant.quota,
                })
                .collect(),
            over_quota_worth: self.limits.over_quota_worth,
            worth_by_work: false,
            zone: ZoneId(zone),
            zones: self.zones.len(),
            siblings,
            tier: depth,
            passes_deadline: true,
            ask_discovery: self.padron.asked.is_some(),
            ask_within: self.padron.asked.as_ref().map_or(0, |asked| asked.within.0),
            may_cancel: self.limits.cancel,
            max_retry_after: self.limits.most_advice.0,
            max_attempts: self.limits.attempts,
            conn_idle: self.limits.idle.0.max(1),
            start_capacity: tier.start_capacity,
            tip_multiple: tier.tip_multiple,
            ramp_time: tier.ramp.0,
            report_inflight: tier.probed.is_some().then_some(0),
            load_by_probe: tier.probed.is_some(),
            cross_price: self.limits.cross_price,
            probe_price: tier.probed.as_ref().map_or(0.0, |probed| probed.price),
        }
    }
}
