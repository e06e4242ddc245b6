//! What of a scenario cannot be played with processes, by name: what is not played must not look as if it were.

use woadstall_emulator::{Connections, FaultKind, Scenario};

/// Balancers and nodos at most: relays for each pair and processes share one machine's descriptors.
const MOST: (u64, u64) = (100, 1_000);
const MOST_PAIRS: u64 = 8_000;

/// Refuses what cannot be played here.
pub fn check(scenario: &Scenario) -> Result<(), String> {
    let tiers = || 0..scenario.tier.len();
    let (balancers, nodos) = scenario.sizes();
    if balancers > MOST.0 || nodos > MOST.1 {
        return Err(format!(
            "`tier`: at most {} balancers and {} nodos in the rig",
            MOST.0, MOST.1
        ));
    }
    let pairs = tiers()
        .map(|tier| u64::from(scenario.senders(tier)) * u64::from(scenario.tier[tier].upstreams));
    if pairs.sum::<u64>() > MOST_PAIRS {
        return Err(format!(
            "`tier`: over {MOST_PAIRS} pairs of balancers and nodos"
        ));
    }
    let tier = |wrong: &dyn Fn(&woadstall_emulator::Tier) -> bool| scenario.tier.iter().any(wrong);
    let lab_alone = [
        ("front", scenario.front.is_some()),
        (
            "tier.connections",
            tier(&|tier| tier.connections != Connections::default()),
        ),
        ("tier.probed", tier(&|tier| tier.probed.is_some())),
        (
            "network.bytes-per-second",
            scenario.network.bytes_per_second > 0.0,
        ),
        ("network.resets", scenario.network.resets > 0.0),
        ("clocks.drift", scenario.clocks.drift != 0.0),
        ("limits.http2", scenario.limits.http2),
        (
            "evacuation.lie",
            scenario
                .evacuation
                .as_ref()
                .is_some_and(|evacuation| evacuation.false_reporting.is_some()),
        ),
        (
            "members.plain",
            scenario
                .members
                .as_ref()
                .is_some_and(|members| members.plain_swim),
        ),
    ];
    if let Some((key, _)) = lab_alone.into_iter().find(|(_, there)| *there) {
        return Err(format!("`{key}`: for the lab alone"));
    }
    for (at, fault) in scenario.fault.iter().enumerate() {
        let name = match fault.what {
            FaultKind::Replace => "replaced nodos",
            FaultKind::ClockStep(_) => "clocks that step",
            _ => continue,
        };
        return Err(format!("fault {}: {name} are for the lab alone", at + 1));
    }
    Ok(())
}
