//! A complete run: starts the fleet, runs callers and faults, collects the results, and ends all processes.

mod observer;

use crate::error::RunError;
use crate::fleet::{Fleet, FleetSettings};
use crate::launch::ProcessLimits;
use crate::membership_poll;
use crate::results::ClusterResult;
use crate::rule_violation::RuleViolation;
use crate::run_directory::RunDirectory;
use crate::supported::check_supported;
use observer::Observer;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;
use woadstall_emulator::{RunResult, Scenario};
use woadstall_load_test::callers::{Callers, Transport};
use woadstall_load_test::rule_checker::RuleChecker;
use woadstall_load_test::schedule;

/// Resource limits of a process: the limits in its configuration, plus a margin of 64 descriptors and 64 MiB for the
/// program's own descriptors, code and stack.
const PROCESS_LIMITS: ProcessLimits = ProcessLimits {
    max_open_files: 4_096 + 64,
    max_data_mib: 512 + 64,
};

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the program to start for each balancer.
    pub program: PathBuf,
    /// Path of this crate's binary, which sets the resource limits and then executes `program`.
    pub launcher: PathBuf,
    /// Seed of all random number generators of the run.
    pub seed: u64,
    /// The rule to violate on purpose, if any.
    pub rule_violation: Option<RuleViolation>,
    /// Whether to keep the directory with the logs of the processes after a passed run. After a failed run it is always
    /// kept.
    pub keep_logs: bool,
    /// Whether to show progress on standard error.
    pub show_progress: bool,
}

/// Returns the time allowed for the start of the fleet. It grows with the numbers of balancers and upstreams.
fn startup_allowance(scenario: &Scenario) -> Duration {
    const BASE_MS: u64 = 500;
    const PER_BALANCER_MS: u64 = 30;
    const PER_UPSTREAM_MS: u64 = 5;
    const MAX: Duration = Duration::from_secs(10);
    let (balancers, upstreams) = scenario.process_counts();
    let millis = BASE_MS + PER_BALANCER_MS * balancers + PER_UPSTREAM_MS * upstreams;
    Duration::from_millis(millis).min(MAX)
}

/// Executes a scenario. All processes have ended when the future completes or is dropped.
///
/// # Errors
///
/// If the scenario is not supported, or the fleet does not start or starts too late.
pub async fn run(scenario: Scenario, options: &Options) -> Result<ClusterResult, RunError> {
    check_supported(&scenario)?;
    let scenario = Arc::new(scenario);
    let run_directory = RunDirectory::new(&options.launcher, &options.program, PROCESS_LIMITS);
    let run_directory = Arc::new(run_directory.map_err(RunError::RunDirectory)?);
    let began = Instant::now();
    let start = began + startup_allowance(&scenario);
    let rules = Arc::new(RuleChecker::new(start));
    let settings = FleetSettings {
        scenario: scenario.clone(),
        rules: rules.clone(),
        run_directory: run_directory.clone(),
        seed: options.seed,
        start,
        violation: options.rule_violation,
    };
    let fleet = Arc::new(Fleet::start(settings).await?);
    let startup_time = began.elapsed();
    if Instant::now() >= start {
        return Err(RunError::TooSlow { startup_time });
    }
    let transport = Transport::Daemons(fleet.entry_points());
    let callers = Callers::new(scenario, rules, transport, options.seed, start);
    let observer = Arc::new(Observer::new(
        fleet.clone(),
        Arc::new(callers),
        options.show_progress,
    ));
    let usage = run_callers_and_faults(&observer).await;
    let mut result = collect(&observer, usage, startup_time);
    if options.keep_logs || !result.is_passed() {
        run_directory.preserve();
        result.log_directory = Some(run_directory.path().to_owned());
    }
    Ok(result)
}

/// Resource usage of the processes, measured before they are stopped.
struct ProcessUsage {
    /// Share of the run that a balancer was ready to run but waited for a core; the largest share of all balancers.
    max_core_wait_share: f64,
    /// Share of a core used by the membership thread of each running balancer.
    membership_core_shares: Vec<f64>,
}

/// Runs callers, faults and measurements until the end of the scenario.
async fn run_callers_and_faults(observer: &Arc<Observer>) -> ProcessUsage {
    let (fleet, callers) = (&observer.fleet, &observer.callers);
    let start = fleet.schedule.start;
    // Dropping the `JoinSet` aborts the tasks on every exit path.
    let mut tasks = JoinSet::new();
    tasks.spawn(observer.clone().run_faults());
    tasks.spawn(membership_poll::poll(fleet.clone()));
    tasks.spawn(observer.clone().sample_steps());
    tasks.spawn(observer.clone().sample_timer());
    sleep(start.saturating_duration_since(Instant::now())).await;
    callers.clone().run().await;
    schedule::wait_for_delayed_effects(&fleet.scenario).await;
    let usage = measure_usage(fleet, start.elapsed());
    tasks.shutdown().await;
    usage
}

fn measure_usage(fleet: &Fleet, length: Duration) -> ProcessUsage {
    for balancer in &fleet.balancers {
        balancer.record_memory();
    }
    let waits = fleet
        .balancers
        .iter()
        .filter_map(|balancer| balancer.process.run_queue_wait_ns());
    let longest_wait_ns = waits.max().unwrap_or(0);
    let membership_core_shares = match &fleet.membership {
        Some(membership) => membership.core_shares(&fleet.balancers),
        None => Vec::new(),
    };
    ProcessUsage {
        max_core_wait_share: longest_wait_ns as f64 / length.as_nanos() as f64,
        membership_core_shares,
    }
}

fn collect(observer: &Observer, usage: ProcessUsage, startup_time: Duration) -> ClusterResult {
    let Observer { fleet, callers, .. } = observer;
    let run_result = collect_run_result(observer);
    let rules = &fleet.rules;
    let balancers = fleet.balancers.iter();
    ClusterResult {
        run_result,
        lag: callers.lag(),
        late_timer_share: observer.late_timer_share(),
        max_core_wait_share: usage.max_core_wait_share,
        startup_time,
        balancer_count: fleet.balancers.len() as u32,
        process_starts: balancers
            .clone()
            .map(|balancer| balancer.start_count())
            .sum(),
        failures: observer.take_failures(),
        peak_memory_kb: balancers
            .clone()
            .map(|balancer| balancer.peak_memory_kb())
            .collect(),
        unanswered_requests: rules.unanswered(),
        requests_executed_twice: rules.ran_twice(),
        overdue_requests_at_suspended: rules.overdue_at_suspended(),
        list_reads: balancers.map(|balancer| balancer.agent.read_count()).sum(),
        traffic: fleet.network.counts(),
        upstreams: fleet
            .upstreams
            .iter()
            .map(|upstream| upstream.counts())
            .collect(),
        membership_core_shares: usage.membership_core_shares,
        log_directory: None,
    }
}

/// Collects the results in the emulator's form.
fn collect_run_result(observer: &Observer) -> RunResult {
    let Observer { fleet, callers, .. } = observer;
    let mut run_result = callers.end();
    for (step, sample) in run_result.timeline.iter_mut().zip(observer.take_samples()) {
        let running = sample.running;
        step.running_processes = Some((running.balancers, running.upstreams));
        step.log_lines_by_topic = sample.log_lines;
    }
    if let Some(membership) = &fleet.membership {
        run_result.members = Some(membership.membership_report());
        let evacuates = fleet.scenario.evacuation.is_some();
        run_result.evacuation = evacuates.then(|| membership.evacuation_report());
    }
    run_result.bounds = fleet.scenario.evaluate(&run_result);
    run_result
}
