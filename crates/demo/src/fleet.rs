//! A fleet on loopback: mock upstreams, discovery, a daemon and a plug-in, under the load of a scenario.

use crate::error::DemoError;
use woadstall_emulator::{Scenario, Span};
use woadstall_load_test::{LoadResult, Path, run};

/// What is played, with times for [`SCENARIO_SECONDS`].
const SCENARIO: &str = include_str!("../demo.toml");

/// Length for which the scenario's times are written.
const SCENARIO_SECONDS: f64 = 60.0;

/// Seed of the callers' random numbers.
const SEED: u64 = 1;

/// The scenario, with all times scaled to a length in seconds.
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

/// Plays the scenario in so many seconds and prints what came of it. Whether every rule was kept and every call
/// accounted for.
///
/// # Errors
///
/// [`DemoError::Scenario`], if the scenario is not sound at this length; [`DemoError::Io`] and
/// [`DemoError::LoadTest`], if it could not be played.
pub fn show(seconds: u64) -> Result<bool, DemoError> {
    let scenario = scaled_scenario(seconds)?;
    let tier = &scenario.tier[0];
    println!(
        "{} nodos, {:.0} calls a second by {} daemon and {} plug-in, for {seconds} s; one nodo dies half-way, and\n\
         comes back cold",
        tier.upstreams,
        scenario.callers[0].load.max_rate(),
        tier.balancers,
        tier.balancers
    );
    let runtime = tokio::runtime::Runtime::new()?;
    let played = runtime
        .block_on(run(scenario, Path::Both, SEED))
        .map_err(|error| DemoError::LoadTest(error.into()))?;
    print_results(&played);
    let counts = &played.end.counts;
    let ended = counts.on_time + counts.late + counts.refused + counts.failed;
    Ok(played.end.breach_count() == 0 && ended == counts.offered)
}

/// Prints the responses by path and class, what each upstream saw, and the rules.
fn print_results(played: &LoadResult) {
    print_tally(played);
    print_upstreams(played);
    print_summary(played);
    print_rules(played);
}

fn print_tally(played: &LoadResult) {
    println!(
        "\n{:<8} {:<14} {:<8} {:>8}",
        "path", "class", "answer", "requests"
    );
    for (key, requests) in &played.tally {
        println!(
            "{:<8} {:<14} {:<8} {requests:>8}",
            key.transport, key.class, key.result
        );
    }
}

fn print_upstreams(played: &LoadResult) {
    println!(
        "\n{:<8} {:>6} {:>6} {:>12}",
        "nodo", "came", "ran", "turned away"
    );
    for upstream in &played.upstreams {
        println!(
            "{:<8} {:>6} {:>6} {:>12}",
            upstream.name, upstream.received, upstream.executed, upstream.rejected
        );
    }
}

fn print_summary(played: &LoadResult) {
    let (counts, latency) = (&played.end.counts, &played.end.latency);
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

fn print_rules(played: &LoadResult) {
    for (rule, count) in &played.end.breaches {
        println!(
            "{rule}: {}",
            if *count == 0 {
                "kept".to_owned()
            } else {
                format!("BROKEN {count} times")
            }
        );
    }
    for breach in &played.end.first_breaches {
        println!("  {}", breach.text);
    }
}

#[cfg(test)]
mod tests;
