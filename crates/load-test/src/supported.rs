//! Checks whether a scenario can be run on loopback sockets. An unsupported setting or fault is rejected by name rather
//! than ignored, so that no result claims to cover it.

use woadstall_emulator::{Connections, FaultKind, Scenario};

/// The largest number of upstreams, which share one machine with the balancers and callers.
const MAX_UPSTREAMS: u32 = 200;
const MAX_BALANCERS: u32 = 16;

/// The reason why a scenario cannot be run on sockets.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnsupportedScenario {
    /// The scenario has more than one tier.
    #[error("`tier`: only one tier is supported on sockets")]
    SeveralTiers,
    /// The scenario has too many upstreams or balancers.
    #[error("`tier`: at most {MAX_UPSTREAMS} nodos and {MAX_BALANCERS} balancers on sockets")]
    TooLarge,
    /// Only the emulator supports the setting.
    #[error("`{key}`: for the lab alone")]
    EmulatorOnlySetting {
        /// Key of the setting in the scenario file.
        key: &'static str,
    },
    /// Only the emulator supports the fault.
    #[error("fault {number}: {kind} are for the lab alone")]
    EmulatorOnlyFault {
        /// Position of the fault in the scenario, counted from 1.
        number: usize,
        /// Description of the kind of fault.
        kind: &'static str,
    },
    /// Only the emulator and the cluster test support the fault.
    #[error(
        "fault {number}: suspended nodos, power loss and link faults are for the lab and the rig alone"
    )]
    ClusterFault {
        /// Position of the fault in the scenario, counted from 1.
        number: usize,
    },
}

/// Checks whether a scenario can be run on sockets.
///
/// # Errors
///
/// Returns the first unsupported property of the scenario: its size, a setting or a fault.
pub fn check_supported(scenario: &Scenario) -> Result<(), UnsupportedScenario> {
    let tier = &scenario.tier[0];
    if scenario.tier.len() > 1 {
        return Err(UnsupportedScenario::SeveralTiers);
    }
    if tier.upstreams > MAX_UPSTREAMS || tier.balancers > MAX_BALANCERS {
        return Err(UnsupportedScenario::TooLarge);
    }
    let emulator_only = [
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
    if let Some((key, _)) = emulator_only.into_iter().find(|(_, is_set)| *is_set) {
        return Err(UnsupportedScenario::EmulatorOnlySetting { key });
    }
    check_faults(scenario)
}

fn check_faults(scenario: &Scenario) -> Result<(), UnsupportedScenario> {
    for (index, fault) in scenario.fault.iter().enumerate() {
        let number = index + 1;
        let kind = match fault.kind {
            FaultKind::PartitionTo | FaultKind::PartitionFrom | FaultKind::SlowLink(_) => {
                "cuts and slow links"
            }
            FaultKind::RegistrySilent | FaultKind::RegistryWrong => "a silent or wrong padron",
            FaultKind::ClockStep(_) => "clocks that step",
            FaultKind::Restart { .. } | FaultKind::RollBalancers | FaultKind::PauseBalancers => {
                "restarts and stalls of balancers"
            }
            FaultKind::Replace => "replaced nodos",
            FaultKind::MemberLink(_) => "faults between balancers",
            FaultKind::SuspendUpstreams | FaultKind::PowerLoss { .. } | FaultKind::Link(_) => {
                return Err(UnsupportedScenario::ClusterFault { number });
            }
            _ => continue,
        };
        return Err(UnsupportedScenario::EmulatorOnlyFault { number, kind });
    }
    Ok(())
}
