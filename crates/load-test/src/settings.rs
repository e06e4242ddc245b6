//! A scenario as the settings of daemons and plug-ins, and what of it cannot be had on sockets.

use serde_json::{Value, json};
use std::net::SocketAddr;
use woadstall_emulator::{CallClass, CallEffect, CallGroup, Connections, FaultKind, Scenario};

/// Nodos and balancers at most: they all share one machine with the callers.
const MOST: (u32, u32) = (200, 16);

/// Refuses what cannot be played on loopback sockets.
pub fn check(scenario: &Scenario) -> Result<(), String> {
    let tier = &scenario.tier[0];
    if scenario.tier.len() > 1 {
        return Err("`tier`: one only on sockets".into());
    }
    if tier.upstreams > MOST.0 || tier.balancers > MOST.1 {
        return Err(format!(
            "`tier`: at most {} nodos and {} balancers on sockets",
            MOST.0, MOST.1
        ));
    }
    // What is not played must not look as if it were.
    let lab_alone = [
        ("front", scenario.front.is_some()),
        ("padron.asked", scenario.registry.queries.is_some()),
        (
            "tier.connections",
            tier.connections != Connections::default(),
        ),
        ("tier.probed", tier.probed.is_some()),
        ("members", scenario.members.is_some()),
        ("evacuation", scenario.evacuation.is_some()),
        (
            "network.bytes-per-second",
            scenario.network.bytes_per_second > 0.0,
        ),
    ];
    if let Some((key, _)) = lab_alone.into_iter().find(|(_, there)| *there) {
        return Err(format!("`{key}`: for the lab alone"));
    }
    for (at, fault) in scenario.fault.iter().enumerate() {
        let name = match fault.what {
            FaultKind::PartitionTo | FaultKind::PartitionFrom | FaultKind::SlowLink(_) => {
                "cuts and slow links"
            }
            FaultKind::RegistrySilent | FaultKind::RegistryWrong => "a silent or wrong padron",
            FaultKind::ClockStep(_) => "clocks that step",
            FaultKind::Restart { .. } | FaultKind::RollBalancers | FaultKind::Stall => {
                "restarts and stalls of balancers"
            }
            FaultKind::Replace => "replaced nodos",
            FaultKind::Between(_) => "faults between balancers",
            FaultKind::Stop | FaultKind::PowerLoss { .. } | FaultKind::Link(_) => {
                return Err(format!(
                    "fault {}: stopped nodos, power and links are for the lab and the rig",
                    at + 1
                ));
            }
            _ => continue,
        };
        return Err(format!("fault {}: {name} are for the lab alone", at + 1));
    }
    Ok(())
}

fn class(class: &CallClass) -> Value {
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
    json!({"Name": class.name, "Effect": effect, "Group": group, "WindowNs": class.window.0, "AimNs": class.latency_target.0,
        "DeadlineNs": class.deadline.0, "LateWorth": class.late_value, "Value": class.value, "Stream": false})
}

/// Where a daemon stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// The tier that it sends to.
    pub tier: usize,
    /// Its zone.
    pub zone: u8,
    /// Its number among all.
    pub number: u32,
    /// Where it listens.
    pub listen: SocketAddr,
}

/// The configuration of one daemon, whose `settings` are a plug-in's too. `known` is the list that it knows.
pub fn config(
    scenario: &Scenario,
    place: &Place,
    seed: u64,
    discovery: SocketAddr,
    known: &[Value],
) -> Value {
    let (tier, limits) = (&scenario.tier[place.tier], &scenario.limits);
    let tenant = |tenant: &woadstall_emulator::CallTenant| json!({"Name": tenant.name, "QuotaRps": tenant.quota});
    let asked = scenario.registry.queries.as_ref();
    let within = asked.map_or(0, |asked| asked.within.0);
    json!({
        "name": format!("balancer-{}", place.number), "listen": place.listen.to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("{:016x}", seed ^ (u64::from(place.number) << 32)),
        "limits": {"memory_mb": 512, "sockets": 4096},
        "known": {"rev": 1, "all": true, "targets": known},
        "settings": {
            "Classes": scenario.class.iter().map(class).collect::<Vec<_>>(),
            "Discovery": if asked.is_some() { "ask" } else { "push" }, "Layer": scenario.depth(place.tier),
            "Siblings": scenario.senders(place.tier),
            "Limits": {"Cancelling": limits.cancel, "ConnIdleNs": limits.idle.0,
                "ConnectTimeoutNs": limits.connect.0, "MaxRetryAfterNs": limits.max_retry_after.0,
                "TryLimit": limits.attempts},
            "OverShareWorth": limits.over_quota_value,
            "Prices": {"CrossZone": limits.cross_zone_cost},
            "Safety": {"StartCapacity": tier.start_capacity, "TipMultiple": tier.overload_multiple,
                "RampTimeNs": tier.slow_start_window.0, "AskWithinNs": within},
            "Tenants": scenario.tenant.iter().map(tenant).collect::<Vec<_>>(),
            "ValueBy": "request", "Zone": place.zone, "Zones": scenario.zones,
        },
    })
}
