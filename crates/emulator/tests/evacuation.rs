//! Fleets that leave places together, on scenarios of the repository: who left what, and who did not.

use std::path::Path;
use woadstall_emulator::{Policy, RunResult, Scenario, Span, run};

fn read(name: &str) -> Scenario {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/evacuation");
    Scenario::read(&std::fs::read_to_string(folder.join(format!("{name}.toml"))).unwrap()).unwrap()
}

fn played(name: &str, seed: u64) -> RunResult {
    println!("{name}, seed {seed}");
    run(&read(name), Policy::Woadstall, seed)
}

fn kept(name: &str, seed: u64) -> RunResult {
    let end = played(name, seed);
    assert_eq!(end.breach_count(), 0, "{name}: {:?}", end.first_breaches);
    assert!(
        end.bounds.iter().all(|bound| bound.is_met),
        "{name}, seed {seed}: {:?}",
        end.bounds
    );
    end
}

/// A zone dies: all are out of it soon, whether they ever called there or not, and those that restart learn it.
#[test]
fn a_zone_that_fails_is_left_by_all() {
    for name in [
        "zone-dead",
        "zone-silent",
        "restarted",
        "liars-all-well",
        "zone-grey",
    ] {
        kept(name, 1);
    }
}

/// Nobody leaves anything where nothing fails, all fail alike, all are as slow, or a tenth of the fleet lies.
#[test]
fn nobody_is_driven_out() {
    for name in [
        "calm",
        "shared-ill",
        "all-slow",
        "liars-all-bad",
        "liars-own-zone-bad",
        "nodos-bad",
        "one-class",
    ] {
        kept(name, 2);
    }
}

/// Halves that do not hear each other each find what they can, and are of one agent once they do.
#[test]
fn halves_and_single_zones_go_by_what_they_see() {
    kept("halves", 1);
    kept("two-of-three", 1);
    kept("cut-off", 1);
}

/// The same fleet with and without it: far fewer calls are lost to a zone that falls silent.
#[test]
fn a_fleet_loses_fewer_calls_than_its_members_alone() {
    let with = played("zone-silent", 1);
    let alone = run(
        &Scenario {
            evacuation: None,
            bound: Vec::new(),
            ..read("zone-silent")
        },
        Policy::Woadstall,
        1,
    );
    let (with, alone) = (with.counts.failed, alone.counts.failed);
    println!("failed: {with} with it, {alone} without");
    assert!(with * 10 <= alone * 7, "{with} of {alone}");
}

/// Seeds that are played twice, unless `WOADSTALL_SEEDS` is set.
const REPEATED_SEEDS: u64 = 4;

/// One scenario and seed give one result, to the byte.
#[test]
fn a_seed_repeats() {
    let seeds = std::env::var("WOADSTALL_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok());
    let scenario = Scenario {
        duration: Span(25_000_000_000),
        ..read("all-slow")
    };
    let result = |seed| serde_json::to_string(&run(&scenario, Policy::Woadstall, seed)).unwrap();
    let differing: Vec<u64> = (1..=seeds.unwrap_or(REPEATED_SEEDS))
        .filter(|seed| result(*seed) != result(*seed))
        .collect();
    assert!(
        differing.is_empty(),
        "seeds that gave two results: {differing:?}"
    );
}
