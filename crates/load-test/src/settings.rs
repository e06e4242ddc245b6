//! Converts a scenario to the configuration of daemons and the settings of plug-ins.

use serde_json::{Value, json};
use std::net::SocketAddr;
use woadstall_emulator::{CallClass, CallEffect, CallGroup, CallTenant, Scenario};

/// Position and address of a balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancerPlacement {
    /// Index of the tier that the balancer sends to.
    pub tier: usize,
    /// Index of the balancer's zone.
    pub zone: u8,
    /// Number of the balancer among all balancers.
    pub number: u32,
    /// Address on which the balancer listens.
    pub listen: SocketAddr,
}

/// Returns the configuration of a daemon. Its `settings` are also valid for a plug-in. `known` is the initial endpoint
/// list.
pub fn balancer_config(
    scenario: &Scenario,
    placement: &BalancerPlacement,
    seed: u64,
    discovery: SocketAddr,
    known: &[Value],
) -> Value {
    json!({
        "name": format!("balancer-{}", placement.number),
        "listen": placement.listen.to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("{:016x}", seed ^ (u64::from(placement.number) << 32)),
        "limits": {"memory_mb": 512, "sockets": 4096},
        "known": {"rev": 1, "all": true, "targets": known},
        "settings": settings(scenario, placement),
    })
}

fn settings(scenario: &Scenario, placement: &BalancerPlacement) -> Value {
    let (tier, limits) = (&scenario.tier[placement.tier], &scenario.limits);
    let queries = scenario.registry.queries.as_ref();
    let notified_within_ns = queries.map_or(0, |queries| queries.within.0);
    json!({
        "Classes": scenario.class.iter().map(class_settings).collect::<Vec<_>>(),
        "Discovery": if queries.is_some() { "ask" } else { "push" },
        "Layer": scenario.depth(placement.tier),
        "Siblings": scenario.balancer_count(placement.tier),
        "Limits": {
            "Cancelling": limits.cancellation,
            "ConnIdleNs": limits.idle_timeout.0,
            "ConnectTimeoutNs": limits.connect_timeout.0,
            "MaxRetryAfterNs": limits.max_retry_after.0,
            "TryLimit": limits.max_attempts,
        },
        "OverShareWorth": limits.over_quota_value,
        "Prices": {"CrossZone": limits.cross_zone_cost},
        "Safety": {
            "StartCapacity": tier.start_capacity,
            "TipMultiple": tier.overload_multiple,
            "RampTimeNs": tier.slow_start_window.0,
            "AskWithinNs": notified_within_ns,
        },
        "Tenants": scenario.tenant.iter().map(tenant_settings).collect::<Vec<_>>(),
        "ValueBy": "request",
        "Zone": placement.zone,
        "Zones": scenario.zones,
    })
}

fn class_settings(class: &CallClass) -> Value {
    let effect = match class.effect {
        CallEffect::Safe => "read_like",
        CallEffect::Keyed => "idempotency_key",
        CallEffect::Unsafe => "non_idempotent",
    };
    let group = match class.group {
        CallGroup::All => "all",
        CallGroup::Zone => "zone",
        CallGroup::Cell => "cell",
    };
    json!({
        "Name": class.name,
        "Effect": effect,
        "Group": group,
        "WindowNs": class.window.0,
        "AimNs": class.latency_target.0,
        "DeadlineNs": class.deadline.0,
        "LateWorth": class.late_value,
        "Value": class.value,
        "Stream": false,
    })
}

fn tenant_settings(tenant: &CallTenant) -> Value {
    json!({"Name": tenant.name, "QuotaRps": tenant.quota})
}
