//! Discrete-event emulator of whole fleets around the real load-balancing engine.
//!
//! A [`Scenario`] describes the fleet, its load and its faults; [`run`] plays the scenario with the real engine
//! or a baseline policy ([`Policy`]) in the balancers. An independent auditor checks each request against the
//! four rules. The same scenario, policy and seed give the same result to the byte on every machine. This crate
//! does no input or output.

mod agent;
mod audit;
mod baseline;
mod bound_check;
mod costs;
mod discovery;
mod evacuation;
mod event_queue;
mod front;
mod measure;
mod observer;
mod policy;
mod random;
mod scenario;
mod units;
mod upstream;
mod world;

pub use agent::{BalancerAgent, BoxedAgent, Ticket};
pub use audit::{Auditor, Breach, Rule};
pub use baseline::{
    BaselineConfig, BaselinePolicy, ConcurrencyLimit, PolicyError, RetryPolicy, ServerSelection,
};
pub use costs::{Cost, CostRow};
pub use evacuation::{EvacuationReport, EvacuationTracker, ShareChange};
pub use event_queue::{EventQueue, SequenceMap};
pub use measure::{CallOutcome, Counts, Latencies, Meter, RunResult, TimelineStep};
pub use observer::{MemberView, MembershipObserver, MembershipReport, Quantiles};
pub use policy::Policy;
pub use random::{Actor, Dist, chance, exponential_gap, sample, stream};
pub use scenario::*;
pub use units::Span;
pub use upstream::{Admission, Upstream, UpstreamFaults};
pub use woadstall_engine as engine;
pub use world::{AgentWrapper, EPOCH, Simulation};

/// Runs a scenario to its end.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> RunResult {
    Simulation::new(scenario, policy, seed).run()
}
