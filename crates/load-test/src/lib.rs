//! Runs the emulator's scenarios on loopback sockets, with callers, balancer daemons or plug-ins, and simulated
//! upstreams with the scenario's faults. Results have the format of the emulator's rows.
//!
//! - [`run()`] runs a scenario.
//! - [`callers`] generates the load.
//! - [`upstream`] serves requests on sockets with the emulator's model of an upstream.
//! - [`rule_checker`] detects broken rules from the observations of callers and upstreams.
//! - [`schedule`] times the scenario's faults.
//! - [`settings`] configures balancers.
//!
//! `woadstall-cluster-test` uses these modules with processes in place of threads.

pub mod callers;
mod daemon;
mod error;
mod fleet;
mod headers;
pub mod rule_checker;
mod run;
pub mod schedule;
pub mod settings;
mod supported;
pub mod upstream;

pub use callers::{Tally, TallyKey};
pub use error::LoadError;
pub use run::{LoadResult, Path, run};
pub use supported::{UnsupportedScenario, check_supported};
pub use upstream::UpstreamCounts;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if a thread panicked while holding the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
