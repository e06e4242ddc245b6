//! Which scenarios can be played with processes. What cannot be played is rejected by its name: it must not look as if
//! it had been played.

use woadstall_emulator::{Connections, FaultKind, Scenario, Tier};

/// Relays for each pair and processes share one machine's descriptors.
const MAX_BALANCERS: u64 = 100;
const MAX_UPSTREAMS: u64 = 1_000;
const MAX_PAIRS: u64 = 8_000;

/// Why a scenario cannot be played with processes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnsupportedScenario {
    /// Too many processes.
    #[error("`tier`: at most {MAX_BALANCERS} balancers and {MAX_UPSTREAMS} nodos in the rig")]
    TooManyProcesses,
    /// Too many links between balancers and upstreams.
    #[error("`tier`: over {MAX_PAIRS} pairs of balancers and nodos")]
    TooManyPairs,
    /// The emulator alone has this setting.
    #[error("`{key}`: for the lab alone")]
    EmulatorOnlySetting {
        /// The setting's key.
        key: &'static str,
    },
    /// The emulator alone has this fault.
    #[error("fault {number}: {kind} are for the lab alone")]
    EmulatorOnlyFault {
        /// Its number among the scenario's faults, from 1 on.
        number: usize,
        /// What the fault is of.
        kind: &'static str,
    },
}

/// Checks whether a scenario can be played with processes.
///
/// # Errors
///
/// What of it cannot be played: its size, a setting or a fault.
pub fn check_supported(scenario: &Scenario) -> Result<(), UnsupportedScenario> {
    check_size(scenario)?;
    check_settings(scenario)?;
    check_faults(scenario)
}

fn check_size(scenario: &Scenario) -> Result<(), UnsupportedScenario> {
    let (balancers, upstreams) = scenario.process_counts();
    if balancers > MAX_BALANCERS || upstreams > MAX_UPSTREAMS {
        return Err(UnsupportedScenario::TooManyProcesses);
    }
    let pairs: u64 = scenario
        .tier
        .iter()
        .enumerate()
        .map(|(index, tier)| u64::from(scenario.balancer_count(index)) * u64::from(tier.upstreams))
        .sum();
    if pairs > MAX_PAIRS {
        return Err(UnsupportedScenario::TooManyPairs);
    }
    Ok(())
}

fn check_settings(scenario: &Scenario) -> Result<(), UnsupportedScenario> {
    let any_tier = |is_set: &dyn Fn(&Tier) -> bool| scenario.tier.iter().any(is_set);
    let evacuation = scenario.evacuation.as_ref();
    let members = scenario.members.as_ref();
    let emulator_only = [
        ("front", scenario.front.is_some()),
        (
            "tier.connections",
            any_tier(&|tier| tier.connections != Connections::default()),
        ),
        ("tier.probed", any_tier(&|tier| tier.probed.is_some())),
        (
            "network.bytes-per-second",
            scenario.network.bytes_per_second > 0.0,
        ),
        ("network.resets", scenario.network.resets > 0.0),
        ("clocks.drift", scenario.clocks.max_drift != 0.0),
        ("limits.http2", scenario.limits.http2),
        (
            "evacuation.false_reporting",
            evacuation.is_some_and(|evacuation| evacuation.false_reporting.is_some()),
        ),
        (
            "members.plain_swim",
            members.is_some_and(|members| members.plain_swim),
        ),
    ];
    match emulator_only.into_iter().find(|(_, is_set)| *is_set) {
        Some((key, _)) => Err(UnsupportedScenario::EmulatorOnlySetting { key }),
        None => Ok(()),
    }
}

fn check_faults(scenario: &Scenario) -> Result<(), UnsupportedScenario> {
    for (index, fault) in scenario.fault.iter().enumerate() {
        let kind = match fault.kind {
            FaultKind::Replace => "replaced nodos",
            FaultKind::ClockStep(_) => "clocks that step",
            _ => continue,
        };
        return Err(UnsupportedScenario::EmulatorOnlyFault {
            number: index + 1,
            kind,
        });
    }
    Ok(())
}
