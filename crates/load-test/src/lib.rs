//! Scenarios of the emulator on real sockets of this machine: callers at a set rate, simulated upstreams with the same
//! faults, and balancer daemons or plug-ins between them. Results have the form of the emulator's rows.
//!
//! - [`run()`] plays a scenario; [`callers`] make the calls.
//! - [`upstream`] serves them, on sockets, with the emulator's model of an upstream.
//! - [`rule_checker`] finds broken rules from what both sides see.
//! - [`schedule`] says when the scenario's faults happen, [`settings`] configures balancers.
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

/// Locks a mutex, also one whose holder panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
