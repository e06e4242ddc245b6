//! Random scenarios with and without faults. `WOADSTALL_SEEDS` sets the number of seeds per test,
//! `WOADSTALL_FIRST_SEED` the first seed.

use woadstall_coordination_simulation::scenario::{
    FaultKinds, FinalFault, Scenario, ScenarioResult,
};

/// Number of seeds per test, unless `WOADSTALL_SEEDS` is set.
const SEEDS: u64 = 40;
/// Number of seeds that are run twice to compare the runs.
const REPEATED_SEEDS: u64 = 4;
/// Minimum number of executed calls per seed, on average, so that a scenario without requests does
/// not pass.
const MIN_EXECUTED_PER_SEED: usize = 300;

fn number_from_env(variable: &str, default: u64) -> u64 {
    let value = std::env::var(variable).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn seeds() -> std::ops::Range<u64> {
    let first = number_from_env("WOADSTALL_FIRST_SEED", 0);
    first..first + number_from_env("WOADSTALL_SEEDS", SEEDS)
}

/// Runs a scenario for each seed. Fails with a list of all seeds that violated a guarantee.
fn assert_guarantees_hold(fault_kinds: FaultKinds, final_fault: Option<FinalFault>) {
    let (mut failures, mut executed) = (Vec::new(), 0);
    for seed in seeds() {
        let scenario = Scenario {
            seed,
            fault_kinds,
            final_fault,
        };
        let ScenarioResult {
            cluster,
            final_fault,
            result,
        } = scenario.run();
        executed += cluster.history.executed().count();
        if let Err(violation) = result {
            failures.push(format!("seed {seed}, {final_fault:?}: {violation}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    let seeds = seeds().count();
    assert!(
        executed >= seeds * MIN_EXECUTED_PER_SEED,
        "only {executed} calls were executed for {seeds} seeds"
    );
}

#[test]
fn guarantees_hold_without_faults() {
    assert_guarantees_hold(FaultKinds::NONE, Some(FinalFault::NoFault));
}

#[test]
fn guarantees_hold_with_all_faults() {
    assert_guarantees_hold(FaultKinds::ALL, None);
}

#[test]
fn guarantees_hold_when_two_disks_are_lost_and_all_others_lose_power() {
    assert_guarantees_hold(FaultKinds::NONE, Some(FinalFault::LoseTwoDisks));
}

/// Two runs of the same seed have the same history and the same log.
#[test]
fn runs_of_the_same_seed_are_identical() {
    for seed in 0..REPEATED_SEEDS {
        let scenario = Scenario {
            seed,
            fault_kinds: FaultKinds::ALL,
            final_fault: None,
        };
        let [first, second] = [(); 2].map(|()| scenario.run().cluster);
        let is_same = first.history.operations == second.history.operations;
        assert!(is_same, "seed {seed}: two runs have different histories");
        assert_eq!(first.describe(), second.describe(), "seed {seed}");
    }
}
