//! Golden digests: one scenario, policy and seed give one result to the byte. A digest covers the whole result
//! as JSON (field names, timeline, costs, breaches) with the trace of one call. `golden/digests.txt` has one
//! digest per line: name, FNV-1a of the JSON, and length in bytes.

mod common;

use common::small;
use std::path::Path;
use woadstall_emulator::{Scenario, Simulation};

const SECOND: u64 = 1_000_000_000;
/// The call whose trace is part of the result.
const TRACED_CALL: u64 = 40;
const DIGESTS: &str = include_str!("golden/digests.txt");

/// FNV-1a, 64 bits (RFC 9923).
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Runs the scenario under the policy and compares the result with the digest of that name.
#[track_caller]
fn assert_golden(name: &str, scenario: &Scenario, policy: &str, seed: u64) {
    let mut simulation = Simulation::new(scenario, policy.parse().unwrap(), seed);
    simulation.trace_call(TRACED_CALL);
    let json = serde_json::to_string(&simulation.run()).unwrap();
    let digest = format!("{name} {:016x} {}", fnv1a(json.as_bytes()), json.len());
    let golden = DIGESTS
        .lines()
        .find(|line| line.split(' ').next() == Some(name));
    assert_eq!(Some(digest.as_str()), golden);
}

/// A library scenario, truncated to some seconds.
fn library(file: &str, seconds: u64) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../scenarios")
        .join(file);
    let mut scenario = Scenario::read(&std::fs::read_to_string(path).unwrap()).unwrap();
    scenario.duration.0 = scenario.duration.0.min(seconds * SECOND);
    scenario
}

/// The small scenario with one fault from second 3 to second 5 that affects half of the targets.
fn with_fault(fault: &str) -> Scenario {
    small(&format!(
        "[[fault]]\nat = \"2 s\"\nuntil = \"5 s\"\npart = 0.5\n{fault}\n"
    ))
}

#[test]
fn calm_run_is_unchanged() {
    assert_golden("calm-1", &small(""), "woadstall", 1);
    assert_golden("calm-2", &small(""), "woadstall", 2);
}

#[test]
fn baseline_policies_are_unchanged() {
    let scenario = with_fault("what = { errors = { share = 0.7 } }");
    for policy in [
        "random",
        "round-robin+retries",
        "two-choices+budget",
        "least-connections+aimd",
        "peak-ewma+outlier+gradient+budget",
        "ribbon+retries",
    ] {
        assert_golden(policy, &scenario, policy, 7);
    }
}

#[test]
fn faults_of_upstreams_are_unchanged() {
    for (name, fault) in [
        ("kill", "what = { kill = {} }"),
        ("kill-done", "what = { kill = { done = true } }"),
        ("roll", "what = \"roll\""),
        ("replace", "what = \"replace\""),
        ("slow", "what = { slow = 20.0 }"),
        (
            "errors",
            "what = { errors = { share = 0.5, class = \"pay\" } }",
        ),
        ("lost", "what = { lost = 0.5 }"),
        ("resets", "what = { resets = 0.5 }"),
        ("silent", "what = \"silent\""),
        ("full", "what = \"full\""),
        ("stop", "what = \"stop\""),
    ] {
        assert_golden(name, &with_fault(fault), "woadstall", 3);
    }
}

#[test]
fn faults_of_links_are_unchanged() {
    for (name, fault) in [
        ("cut-to", "zone = \"a\"\nwhat = \"cut-to\""),
        ("cut-from", "zone = \"a\"\nwhat = \"cut-from\""),
        ("slow-link", "what = { slow-link = 200.0 }"),
        (
            "link",
            "zone = \"a\"\nwhat = { link = { to = \"b\", delay = \"5 ms\", loss = 0.2 } }",
        ),
    ] {
        assert_golden(name, &with_fault(fault), "woadstall", 4);
    }
}

#[test]
fn faults_of_balancers_and_registry_are_unchanged() {
    for (name, fault) in [
        ("padron-silent", "what = \"padron-silent\""),
        ("padron-wrong", "what = \"padron-wrong\""),
        ("clock-step", "what = { clock-step = \"3 s\" }"),
        ("restart", "what = { restart = { stale = \"1 s\" } }"),
        ("roll-balancers", "what = \"roll-balancers\""),
        ("stall", "what = \"stall\""),
        (
            "power-loss",
            "what = { power-loss = { stale = \"1 s\", over = \"1 s\" } }",
        ),
    ] {
        assert_golden(name, &with_fault(fault), "woadstall", 5);
    }
}

#[test]
fn faults_between_members_are_unchanged() {
    for (name, fault) in [
        ("between-cut", "what = { between = { cut = true } }"),
        (
            "between-lossy",
            "what = { between = { way = \"both\", loss = 0.3, doubled = 0.2, overtaken = 0.2, delay = \"5 ms\" } }",
        ),
        ("member-stall", "what = \"stall\""),
        ("member-restart", "what = { restart = {} }"),
    ] {
        let scenario = with_fault(&format!("{fault}\n[members]"));
        assert_golden(name, &scenario, "woadstall", 6);
    }
}

#[test]
fn limits_of_balancers_are_unchanged() {
    let mut sockets = small("");
    sockets.limits.max_connections = 2;
    assert_golden("sockets", &sockets, "woadstall", 8);
    let mut http2 = with_fault("what = { kill = {} }");
    http2.limits.http2 = true;
    assert_golden("http2", &http2, "woadstall", 8);
    let mut clocks = with_fault("what = { kill = {} }");
    (clocks.clocks.max_offset.0, clocks.clocks.max_drift) = (SECOND, 0.001);
    assert_golden("clocks", &clocks, "woadstall", 8);
}

#[test]
fn library_scenarios_are_unchanged() {
    for (name, file, seconds) in [
        ("loopback", "loopback.toml", 8),
        ("three-tiers", "three-tiers.toml", 6),
        ("retry-storm", "retry-storm.toml", 6),
        ("fleet-soak", "fleet/fleet-soak.toml", 8),
        ("fleet-roll", "fleet/fleet-roll.toml", 11),
        ("zone-grey", "evacuation/zone-grey.toml", 16),
        ("liars-all-bad", "evacuation/liars-all-bad.toml", 4),
    ] {
        assert_golden(name, &library(file, seconds), "woadstall", 11);
    }
}
