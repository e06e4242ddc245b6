//! The result of a run: what it showed, its forms as JSON and as text, and how it compares with the emulator's.

mod compare;
mod json;
mod text;

pub use compare::{CompareError, Comparison, FigurePair, StepShares, WorstStep, compare};
pub use json::json;
pub use text::text;

use std::path::PathBuf;
use std::time::Duration;
use woadstall_emulator::RunResult;
use woadstall_emulator_cli::rows::Lag;
use woadstall_fault_proxy::TrafficCounts;
use woadstall_load_test::UpstreamCounts;

/// The machine is too slow where more than these shares are late or starved.
const MAX_DELAYED_CALLS: f64 = 0.01;
const MAX_DELAYED_TIMERS: f64 = 0.02;
const MAX_STARVED: f64 = 0.25;

/// All that a run showed.
#[derive(Debug)]
pub struct ClusterResult {
    /// The result in the emulator's form.
    pub run_result: RunResult,
    /// How late callers began their calls.
    pub lag: Lag,
    /// The share of this process's own timers that were late.
    pub late_timer_share: f64,
    /// The largest share of its time that a balancer was ready to run and had no core.
    pub max_core_wait_share: f64,
    /// How long it took until all processes served.
    pub startup_time: Duration,
    /// How many balancers there were.
    pub balancer_count: u32,
    /// How often balancers were started, all together.
    pub process_starts: u32,
    /// Processes that ended by themselves with the last lines of their logs, and faults that could not be applied.
    pub failures: Vec<String>,
    /// The most memory of each balancer, in kB.
    pub peak_memory_kb: Vec<u64>,
    /// Requests that never had a response.
    pub unanswered_requests: u64,
    /// Requests whose work ran more than once.
    pub requests_executed_twice: u64,
    /// Requests without a response in time since their balancer's process was suspended.
    pub overdue_requests_at_suspended: u64,
    /// How often agents were read.
    pub list_reads: u64,
    /// What went through the fault proxy.
    pub traffic: TrafficCounts,
    /// What each upstream saw.
    pub upstreams: Vec<UpstreamCounts>,
    /// The share of a core that each balancer's membership used, where there is one.
    pub membership_cores: Vec<f64>,
    /// The folder with the processes' logs, where it was kept.
    pub log_directory: Option<PathBuf>,
}

impl ClusterResult {
    /// Whether no rule and no bound was broken, and no process ended by itself.
    pub fn is_passed(&self) -> bool {
        self.run_result.is_satisfied() && self.failures.is_empty()
    }

    /// Why the machine was too slow for the figures to mean anything, if it was.
    pub fn too_slow(&self) -> Option<String> {
        let delayed_calls = self.lag.late as f64 / self.lag.calls.max(1) as f64;
        let shares = [
            (delayed_calls, MAX_DELAYED_CALLS, "of the calls began late"),
            (
                self.late_timer_share,
                MAX_DELAYED_TIMERS,
                "of the rig's own timers were late",
            ),
            (
                self.max_core_wait_share,
                MAX_STARVED,
                "of its time a balancer had no core",
            ),
        ];
        let (share, max, what) = shares.into_iter().find(|(share, max, _)| share > max)?;
        Some(format!(
            "{:.1}% {what}, {:.0}% at most",
            100.0 * share,
            100.0 * max
        ))
    }
}

/// The arithmetic mean, rounded down; 0 of none.
fn mean(values: &[u64]) -> u64 {
    values.iter().sum::<u64>() / (values.len() as u64).max(1)
}
