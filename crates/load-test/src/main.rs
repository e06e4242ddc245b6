//! Command line of the load test, which runs the emulator's scenarios on loopback sockets.
//!
//! Exit codes:
//!
//! - 0: success.
//! - 1: a rule was broken.
//! - 2: the command line is invalid.
//! - 3: a file or a scenario is invalid, or an upstream or balancer could not be started.
//! - 4: the load generator was too slow for reliable figures.

mod arguments;
mod latency_log;

use arguments::{Arguments, Through};
use clap::Parser;
use std::error::Error;
use std::process::ExitCode;
use std::time::SystemTime;
use tracing::{error, info, warn};
use woadstall_emulator::{RunResult, Scenario};
use woadstall_emulator_cli::grid::{Overrides, RunKey, ScenarioFile};
use woadstall_emulator_cli::report;
use woadstall_emulator_cli::rows::{Lag, Row};
use woadstall_load_test::{LoadResult, Path, run};

const RULE_BROKEN: u8 = 1;
const INVALID_INPUT: u8 = 3;
const TOO_SLOW: u8 = 4;
/// The largest fraction of calls that may start late; above it, the figures are reported as unreliable.
const MAX_LATE_CALL_FRACTION: f64 = 0.01;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.log.start();
    match execute(&arguments) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            error!("{error}");
            ExitCode::from(INVALID_INPUT)
        }
    }
}

fn execute(arguments: &Arguments) -> Result<u8, Box<dyn Error>> {
    let set: Overrides = arguments.set.iter().cloned().collect();
    let (scenario, digest) = ScenarioFile::read(&arguments.scenario)?.with(&set)?;
    let path = path(arguments)?;
    let key = RunKey {
        scenario: scenario.name.clone(),
        digest,
        set,
        policy: path.name().to_owned(),
        seed: arguments.seed,
    };
    info!(
        scenario = key.scenario,
        through = key.policy,
        seconds = scenario.duration.seconds(),
        "run starts"
    );
    let started = SystemTime::now();
    let LoadResult { end, lag, .. } = run_scenario(scenario, path, arguments.seed)?;
    let row = Row::new(key, end, Some(lag.clone()));
    if let Some(out) = &arguments.out {
        row.append(out)?;
    }
    if let Some(hdr) = &arguments.hdr {
        latency_log::write(&row.end, started, hdr)
            .map_err(|error| format!("{}: {error}", hdr.display()))?;
    }
    if arguments.json {
        println!("{}", row.line()?);
    } else {
        print_summary(&row.end, &lag);
    }
    Ok(exit_code(&row.end, &lag))
}

fn path(arguments: &Arguments) -> Result<Path, &'static str> {
    match (arguments.target.as_slice(), arguments.through) {
        ([], Through::Daemon) => Ok(Path::Daemon),
        ([], Through::Plugin) => Ok(Path::Plugin),
        ([], Through::Both) => Ok(Path::Both),
        (targets, _) if targets.iter().all(|target| target.ip().is_loopback()) => {
            Ok(Path::Target(targets.to_vec()))
        }
        _ => Err("`--target`: this tool loads this machine only"),
    }
}

fn run_scenario(scenario: Scenario, path: Path, seed: u64) -> Result<LoadResult, Box<dyn Error>> {
    let runtime = tokio::runtime::Runtime::new()?;
    Ok(runtime.block_on(run(scenario, path, seed))?)
}

fn exit_code(end: &RunResult, lag: &Lag) -> u8 {
    let has_breaches = end.breach_count() > 0;
    if lag.late as f64 > MAX_LATE_CALL_FRACTION * lag.calls as f64 {
        let (late, calls, worst_ms) = (lag.late, lag.calls, lag.worst_ms);
        warn!(
            late,
            calls, worst_ms, "the load generator was the bottleneck: lower the rate, or free cores"
        );
        return if has_breaches { RULE_BROKEN } else { TOO_SLOW };
    }
    if has_breaches { RULE_BROKEN } else { 0 }
}

fn print_summary(end: &RunResult, lag: &Lag) {
    let (counts, latency) = (&end.counts, &end.latency);
    println!(
        "  worth served   {:.3} of what was offered",
        end.served_value_fraction
    );
    println!(
        "  calls          {} offered, {} on time, {} late, {} refused, {} failed",
        counts.offered, counts.on_time, counts.late, counts.refused, counts.failed
    );
    println!(
        "  attempts       {} for {} requests",
        counts.attempts, counts.requests
    );
    println!(
        "  latency        p50 {:.0} ms, p90 {:.0}, p99 {:.0}, p99.9 {:.0}, longest {:.0}",
        latency.p50, latency.p90, latency.p99, latency.p999, latency.max
    );
    println!(
        "  begun late     {} of {}, at worst by {:.1} ms",
        lag.late, lag.calls, lag.worst_ms
    );
    for line in report::rule_lines(end) {
        println!("{line}");
    }
    for breach in &end.first_breaches {
        println!("    {:.3} s: {}", breach.at as f64 / 1e9, breach.text);
    }
}
