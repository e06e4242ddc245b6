//! Runs scenarios of the emulator against a cluster of real load-balancer processes on one machine, and injects faults
//! into the processes and the links between them.
//!
//! Each balancer is a process of the shipped binary. Callers, upstreams and discovery are simulated inside the test
//! process. All connections except calls to sidecars go through `woadstall-fault-proxy`. `docs/cluster-test.md`
//! describes the designs that were considered and the limits of this test harness.
//!
//! - [`run()`] executes a scenario and returns a [`ClusterResult`]; [`results`] formats the result and compares it with
//!   the emulator's result.
//! - `fleet` owns the upstreams, the balancers and the links between them; `faults` applies the scenario's faults to
//!   the fleet.
//! - `membership` configures and observes the membership protocol among the balancers.
//! - `run_directory`, `process` and [`launch`] start the processes and tie their lifetime to the run; `leftovers`
//!   kills the processes and removes the directories of runs that were killed.

mod balancer;
mod discovery;
mod error;
mod faults;
mod fleet;
pub mod launch;
mod leftovers;
mod links;
mod membership;
mod membership_poll;
mod ports;
mod process;
mod procfs;
pub mod results;
mod rule_violation;
mod run;
mod run_directory;
mod supported;
mod tasks;

pub use error::{ClusterError, RunError};
pub use leftovers::{Leftover, LeftoverProcess, remove_leftovers};
pub use results::ClusterResult;
pub use rule_violation::RuleViolation;
pub use run::{Options, run};
pub use supported::{UnsupportedScenario, check_supported};
