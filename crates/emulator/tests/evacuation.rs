//! Evacuation on the repository's scenarios: failing zones are evacuated, and healthy zones are not.

use std::path::Path;
use woadstall_emulator::{Policy, RunResult, Scenario, Span, run};

fn read(name: &str) -> Scenario {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/evacuation");
    Scenario::read(&std::fs::read_to_string(folder.join(format!("{name}.toml"))).unwrap()).unwrap()
}

fn run_scenario(name: &str, seed: u64) -> RunResult {
    println!("{name}, seed {seed}");
    run(&read(name), Policy::Woadstall, seed)
}

fn run_and_check_bounds(name: &str, seed: u64) -> RunResult {
    let end = run_scenario(name, seed);
    assert_eq!(end.breach_count(), 0, "{name}: {:?}", end.first_breaches);
    assert!(
        end.bounds.iter().all(|bound| bound.is_met),
        "{name}, seed {seed}: {:?}",
        end.bounds
    );
    end
}

/// All balancers evacuate a failed zone soon, including balancers that never called there and balancers that
/// restart.
#[test]
fn a_failed_zone_is_evacuated_by_all() {
    for name in [
        "zone-dead",
        "zone-silent",
        "restarted",
        "liars-all-well",
        "zone-grey",
    ] {
        run_and_check_bounds(name, 1);
    }
}

/// No zone is evacuated if nothing fails, if all zones fail or slow down alike, or if a tenth of the balancers
/// reports falsely.
#[test]
fn healthy_zones_are_not_evacuated() {
    for name in [
        "calm",
        "shared-ill",
        "all-slow",
        "liars-all-bad",
        "liars-own-zone-bad",
        "nodos-bad",
        "one-class",
    ] {
        run_and_check_bounds(name, 2);
    }
}

/// Partitioned parts of the fleet decide from their own observations, and agree after the partition ends.
#[test]
fn partitioned_parts_decide_from_their_own_observations() {
    run_and_check_bounds("halves", 1);
    run_and_check_bounds("two-of-three", 1);
    run_and_check_bounds("cut-off", 1);
}

/// With evacuation, a fleet loses far fewer calls to an unresponsive zone than without.
#[test]
fn evacuation_reduces_failed_calls() {
    let with_evacuation = run_scenario("zone-silent", 1);
    let without = run(
        &Scenario {
            evacuation: None,
            bound: Vec::new(),
            ..read("zone-silent")
        },
        Policy::Woadstall,
        1,
    );
    let (with_evacuation, without) = (with_evacuation.counts.failed, without.counts.failed);
    println!("failed calls: {with_evacuation} with evacuation, {without} without");
    assert!(
        with_evacuation * 10 <= without * 7,
        "{with_evacuation} of {without}"
    );
}

/// Number of seeds that are run twice, unless `WOADSTALL_SEEDS` is set.
const REPEATED_SEEDS: u64 = 4;

/// The same scenario and seed give the same result to the byte.
#[test]
fn the_same_seed_repeats_the_result() {
    let seed_count = std::env::var("WOADSTALL_SEEDS").ok();
    let seed_count = seed_count.and_then(|count| count.parse().ok());
    let scenario = Scenario {
        duration: Span(25_000_000_000),
        ..read("all-slow")
    };
    let result = |seed| serde_json::to_string(&run(&scenario, Policy::Woadstall, seed)).unwrap();
    let differing: Vec<u64> = (1..=seed_count.unwrap_or(REPEATED_SEEDS))
        .filter(|seed| result(*seed) != result(*seed))
        .collect();
    assert!(
        differing.is_empty(),
        "seeds that gave two results: {differing:?}"
    );
}
