//! Scenarios of the emulator with many processes of the program on this machine, and faults to them and between them.
//!
//! Each balancer is a process of the shipped binary. Callers, upstreams and discovery are simulated in this process,
//! and all reach each other through `woadstall-fault-proxy`. `docs/cluster-test.md` says which designs were
//! considered, and what this cannot show.
//!
//! - [`run()`] plays a scenario and returns a [`ClusterResult`]; [`results`] prints it and compares it with the emulator's.
//! - `fleet` owns the upstreams, the balancers and the links between them; `faults` applies the scenario's faults to it.
//! - `membership` configures and observes the membership among the balancers.
//! - `run_directory`, `process` and [`launch`] start the processes, so that none outlives its run; `leftovers`
//!   removes what a killed run could not.

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
