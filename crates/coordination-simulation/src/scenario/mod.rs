//! Scenarios: random clients and faults that a seed determines, and a final phase in which every
//! request must be answered.

mod faults;
mod final_phase;
mod workload;

pub use faults::{Fault, FaultKinds};
pub use final_phase::FinalFault;

use crate::checks::{self, Violation};
use crate::clients::SavedRevisions;
use crate::cluster::{Cluster, SIX_IN_THREE_REGIONS};

/// Time for the machines to start before clients send requests, in milliseconds.
const STARTUP_MS: u64 = 6_000;
/// Duration of the phase with requests and faults, in milliseconds.
const TRAFFIC_MS: u64 = 20_000;
/// Duration of the final phase, within which its requests must be answered, in milliseconds.
const FINAL_PHASE_MS: u64 = 10_000;

/// A scenario. Runs of the same scenario are identical.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Seed of all random choices: of the cluster, the clients and the faults.
    pub seed: u64,
    /// The kinds of faults that may be injected.
    pub fault_kinds: FaultKinds,
    /// The final fault; `None` for a random one of the kinds in `fault_kinds`.
    pub final_fault: Option<FinalFault>,
}

/// The result of a scenario.
pub struct ScenarioResult {
    /// The cluster at the end.
    pub cluster: Cluster,
    /// The final fault that was injected, which may differ from the requested one.
    pub final_fault: FinalFault,
    /// The first violated guarantee, if there is one.
    pub result: Result<(), Violation>,
}

impl Scenario {
    /// Runs the scenario and checks the history of its clients.
    pub fn run(&self) -> ScenarioResult {
        let mut cluster = Cluster::new(self.seed, SIX_IN_THREE_REGIONS);
        cluster.run_for(STARTUP_MS);
        let saved_revisions = SavedRevisions::default();
        workload::add_clients(&mut cluster, &saved_revisions);
        faults::inject(&mut cluster, self.fault_kinds, TRAFFIC_MS);
        let random_fault = FinalFault::draw(&mut cluster.random, self.fault_kinds);
        let final_fault = self.final_fault.unwrap_or(random_fault);
        let final_fault = final_phase::inject(&mut cluster, final_fault);
        final_phase::add_final_clients(&mut cluster, &saved_revisions.borrow());
        cluster.run_for(FINAL_PHASE_MS);
        let result = match cluster.divergence() {
            Some(divergence) => Err((*divergence).into()),
            None => checks::check(&cluster.history),
        };
        ScenarioResult {
            cluster,
            final_fault,
            result,
        }
    }
}
