//! Scenarios: clients and faults that are drawn from a seed, and a final phase in which everything
//! must be answered.

mod faults;
mod final_phase;
mod workload;

pub use faults::{Fault, FaultKinds};
pub use final_phase::FinalFault;

use crate::checks::{self, Violation};
use crate::clients::SavedRevisions;
use crate::cluster::{Cluster, SIX_IN_THREE_REGIONS};

/// How long the machines have before clients begin to call, in milliseconds.
const STARTUP_MS: u64 = 6_000;
/// How long clients call while faults strike, in milliseconds.
const TRAFFIC_MS: u64 = 20_000;
/// How long the final calls may take, in milliseconds.
const FINAL_MS: u64 = 10_000;

/// A scenario, which always takes the same course.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Determines the cluster, the clients and the faults.
    pub seed: u64,
    /// The faults that may strike.
    pub fault_kinds: FaultKinds,
    /// How it ends; drawn if not given.
    pub final_fault: Option<FinalFault>,
}

/// A scenario that has come to its end.
pub struct ScenarioResult {
    /// The cluster at the end.
    pub cluster: Cluster,
    /// How it ended.
    pub final_fault: FinalFault,
    /// The broken promise, if any.
    pub result: Result<(), Violation>,
}

impl Scenario {
    /// Runs the scenario, and checks what its clients have heard.
    pub fn run(&self) -> ScenarioResult {
        let mut cluster = Cluster::new(self.seed, SIX_IN_THREE_REGIONS);
        cluster.run(STARTUP_MS);
        let saved = SavedRevisions::default();
        workload::add_clients(&mut cluster, &saved);
        faults::inject(&mut cluster, self.fault_kinds, TRAFFIC_MS);
        let drawn = FinalFault::draw(&mut cluster.random, self.fault_kinds);
        let final_fault = final_phase::inject(&mut cluster, self.final_fault.unwrap_or(drawn));
        final_phase::add_final_clients(&mut cluster, &saved.borrow());
        cluster.run(FINAL_MS);
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
