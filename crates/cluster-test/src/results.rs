//! Results of a run, their JSON form and text form, and their comparison with the emulator's results.

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

/// Largest share of calls that may start late. Above it, the machine is too slow for a verdict.
const MAX_LATE_CALL_SHARE: f64 = 0.01;
/// Largest share of this process's timers that may fire late. Above it, the machine is too slow for a verdict.
const MAX_LATE_TIMER_SHARE: f64 = 0.02;
/// Largest share of its time that a balancer may wait for a core. Above it, the machine is too slow for a verdict.
const MAX_CORE_WAIT_SHARE: f64 = 0.25;

/// Results and measurements of a run.
#[derive(Debug)]
pub struct ClusterResult {
    /// Results in the emulator's form.
    pub run_result: RunResult,
    /// Delays of the callers' requests relative to their scheduled times.
    pub lag: Lag,
    /// Share of this process's timers that fired late, from 0 to 1.
    pub late_timer_share: f64,
    /// Share of the run that a balancer was ready to run but waited for a core; the largest share of all balancers.
    pub max_core_wait_share: f64,
    /// Time until all processes were ready.
    pub startup_time: Duration,
    /// Number of balancers in the scenario.
    pub balancer_count: u32,
    /// Number of process starts of all balancers, restarts included.
    pub process_starts: u32,
    /// Crashed processes with the last lines of their logs, and faults that could not be applied.
    pub failures: Vec<String>,
    /// Peak resident memory of each balancer, in kB.
    pub peak_memory_kb: Vec<u64>,
    /// Number of requests that never received a response.
    pub unanswered_requests: u64,
    /// Number of requests whose work was executed more than once.
    pub requests_executed_twice: u64,
    /// Number of requests without a timely response because their balancer's process was suspended.
    pub overdue_requests_at_suspended: u64,
    /// Number of reads received by the discovery agents.
    pub list_reads: u64,
    /// Traffic through the fault proxy.
    pub traffic: TrafficCounts,
    /// Counters of each upstream.
    pub upstreams: Vec<UpstreamCounts>,
    /// Share of a core used by the membership thread of each running balancer; empty without membership.
    pub membership_core_shares: Vec<f64>,
    /// Directory with the logs of the processes; `None` if it was removed.
    pub log_directory: Option<PathBuf>,
}

impl ClusterResult {
    /// Whether no rule and no bound was violated, no process crashed, and every fault was applied.
    pub fn is_passed(&self) -> bool {
        self.run_result.is_satisfied() && self.failures.is_empty()
    }

    /// Returns the reason if the machine was too slow for meaningful figures.
    pub fn too_slow(&self) -> Option<String> {
        let late_call_share = self.lag.late as f64 / self.lag.calls.max(1) as f64;
        let shares = [
            (
                late_call_share,
                MAX_LATE_CALL_SHARE,
                "of the calls started late",
            ),
            (
                self.late_timer_share,
                MAX_LATE_TIMER_SHARE,
                "of the test harness's timers fired late",
            ),
            (
                self.max_core_wait_share,
                MAX_CORE_WAIT_SHARE,
                "of the time of a balancer was spent waiting for a core",
            ),
        ];
        let (share, max, description) = shares.into_iter().find(|(share, max, _)| share > max)?;
        Some(format!(
            "{:.1}% {description}; the limit is {:.0}%",
            100.0 * share,
            100.0 * max
        ))
    }
}

/// Returns the arithmetic mean, rounded down; 0 for an empty slice.
fn mean(values: &[u64]) -> u64 {
    values.iter().sum::<u64>() / (values.len() as u64).max(1)
}
