//! Validation that cluster runs support a scenario. Unsupported settings and faults are rejected by name, because a run
//! that silently ignored them would report a misleading result.

use woadstall_emulator::{Connections, FaultKind, Scenario, Tier};

/// Maximum number of balancers. The limits on balancers, upstreams and pairs keep the proxies and processes within the
/// file descriptors of one machine.
const MAX_BALANCERS: u64 = 100;
const MAX_UPSTREAMS: u64 = 1_000;
const MAX_PAIRS: u64 = 8_000;

/// A reason why cluster runs do not support a scenario.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnsupportedScenario {
    /// The scenario has too many balancers or upstreams.
    #[error(
        "`tier`: at most {MAX_BALANCERS} balancers and {MAX_UPSTREAMS} nodos are supported in cluster runs"
    )]
    TooManyProcesses,
    /// The scenario has too many pairs of a balancer and an upstream.
    #[error("`tier`: more than {MAX_PAIRS} pairs of balancers and nodos")]
    TooManyPairs,
    /// Only the emulator supports this setting.
    #[error("`{key}`: supported only by the emulator")]
    EmulatorOnlySetting {
        /// Key of the setting in the scenario file.
        key: &'static str,
    },
    /// Only the emulator supports this kind of fault.
    #[error("fault {number}: {kind} are supported only by the emulator")]
    EmulatorOnlyFault {
        /// Position of the fault among the scenario's faults, starting at 1.
        number: usize,
        /// Plural noun phrase that names the kind of fault.
        kind: &'static str,
    },
}

/// Checks that cluster runs support a scenario.
///
/// # Errors
///
/// If the size, a setting or a fault of the scenario is not supported.
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
