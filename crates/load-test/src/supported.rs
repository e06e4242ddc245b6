//! Which scenarios can be played on loopback sockets. What cannot be played is rejected by its name: it must not look as
//! if it had been played.

use woadstall_emulator::{Connections, FaultKind, Scenario};

/// Upstreams and balancers share one machine with the callers.
const MAX_UPSTREAMS: u32 = 200;
const MAX_BALANCERS: u32 = 16;

/// Why a scenario cannot be played on sockets.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnsupportedScenario {
    /// More than one tier.
    #[error("`tier`: one only on sockets")]
    SeveralTiers,
    /// Too many upstreams or balancers.
    #[error("`tier`: at most {MAX_UPSTREAMS} nodos and {MAX_BALANCERS} balancers on sockets")]
    TooLarge,
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
    /// The emulator and the cluster test alone have this fault.
    #[error("fault {number}: stopped nodos, power and links are for the lab and the rig")]
    ClusterFault {
        /// Its number among the scenario's faults, from 1 on.
        number: usize,
    },
}

/// Checks whether a scenario can be played on sockets.
///
/// # Errors
///
/// What of it cannot be played: its size, a setting or a fault.
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
