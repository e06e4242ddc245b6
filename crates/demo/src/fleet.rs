//! A fleet on loopback: mock upstreams, discovery, a daemon and a plug-in, under the load of a scenario.

use crate::error::DemoError;
use woadstall_emulator::{Scenario, Span};
use woadstall_load_test::{LoadResult, Path};

/// The scenario, with the times for a duration of [`SCENARIO_SECONDS`].
const SCENARIO: &str = include_str!("../demo.toml");

/// Duration for which the times in [`SCENARIO`] are written, in seconds.
const SCENARIO_SECONDS: f64 = 60.0;

/// Seed of the load test's random numbers.
const SEED: u64 = 1;

/// Parses the scenario and scales its duration and the times of its faults to a duration in seconds.
fn scaled_scenario(seconds: u64) -> Result<Scenario, DemoError> {
    let mut scenario =
        Scenario::read(SCENARIO).map_err(|error| DemoError::Scenario(error.into()))?;
    let scale = |span: Span| Span::from_seconds(span.seconds() * seconds as f64 / SCENARIO_SECONDS);
    scenario.duration = scale(scenario.duration);
    for fault in &mut scenario.fault {
        fault.at = scale(fault.at);
        fault.until = fault.until.map(scale);
    }
    scenario
        .check()
        .map_err(|error| DemoError::Scenario(error.into()))?;
    Ok(scenario)
}

/// Runs the scenario for a duration in seconds and prints the results. Returns whether all rules were kept and the
/// outcome of every call is known.
///
/// # Errors
///
/// [`DemoError::Scenario`], if the scenario is invalid at this duration; [`DemoError::Io`], if the tokio runtime cannot
/// be started; [`DemoError::LoadTest`], if the load test fails.
pub fn run(seconds: u64) -> Result<bool, DemoError> {
    let scenario = scaled_scenario(seconds)?;
    let tier = &scenario.tier[0];
    println!(
        "{} nodos, {:.0} calls per second through {} daemon and {} plug-in, for {seconds} s; one nodo is killed\n\
         half-way through and restarts cold",
        tier.upstreams,
        scenario.callers[0].load.max_rate(),
        tier.balancers,
        tier.balancers
    );
    let runtime = tokio::runtime::Runtime::new()?;
    let result = runtime
        .block_on(woadstall_load_test::run(scenario, Path::Both, SEED))
        .map_err(|error| DemoError::LoadTest(error.into()))?;
    print_results(&result);
    let counts = &result.end.counts;
    let ended = counts.on_time + counts.late + counts.refused + counts.failed;
    Ok(result.end.breach_count() == 0 && ended == counts.offered)
}

/// Prints the responses by path and class, the counters of each upstream, a summary, and the violations of each rule.
fn print_results(result: &LoadResult) {
    print_tally(result);
    print_upstreams(result);
    print_summary(result);
    print_rules(result);
}

fn print_tally(result: &LoadResult) {
    println!(
        "\n{:<8} {:<14} {:<8} {:>8}",
        "path", "class", "answer", "requests"
    );
    for (key, requests) in &result.tally {
        println!(
            "{:<8} {:<14} {:<8} {requests:>8}",
            key.transport, key.class, key.result
        );
    }
}

fn print_upstreams(result: &LoadResult) {
    println!(
        "\n{:<8} {:>6} {:>6} {:>12}",
        "nodo", "came", "ran", "turned away"
    );
    for upstream in &result.upstreams {
        println!(
            "{:<8} {:>6} {:>6} {:>12}",
            upstream.name, upstream.received, upstream.executed, upstream.rejected
        );
    }
}

fn print_summary(result: &LoadResult) {
    let (counts, latency) = (&result.end.counts, &result.end.latency);
    println!(
        "\n{} calls: {} on time, {} late, {} refused, {} failed; p50 {:.0} ms, p99 {:.0} ms",
        counts.offered,
        counts.on_time,
        counts.late,
        counts.refused,
        counts.failed,
        latency.p50,
        latency.p99
    );
}

fn print_rules(result: &LoadResult) {
    for (rule, count) in &result.end.breaches {
        println!(
            "{rule}: {}",
            if *count == 0 {
                "kept".to_owned()
            } else {
                format!("BROKEN {count} times")
            }
        );
    }
    for breach in &result.end.first_breaches {
        println!("  {}", breach.text);
    }
}

#[cfg(test)]
mod tests;
