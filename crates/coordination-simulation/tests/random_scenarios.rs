//! Scenarios with all faults, drawn from seeds. `WOADSTALL_SEEDS` sets their number, and
//! `WOADSTALL_FIRST_SEED` the first of them.

use woadstall_coordination_simulation::scenario::{
    FaultKinds, FinalFault, Scenario, ScenarioResult,
};

/// Seeds of each test, unless `WOADSTALL_SEEDS` is set.
const SEEDS: u64 = 40;
/// Seeds that are run twice.
const REPEATED_SEEDS: u64 = 4;
/// Calls that must have been executed for each seed on average.
const MIN_EXECUTED: usize = 300;

fn number_from(variable: &str, otherwise: u64) -> u64 {
    let value = std::env::var(variable).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(otherwise)
}

fn seeds() -> std::ops::Range<u64> {
    let first = number_from("WOADSTALL_FIRST_SEED", 0);
    first..first + number_from("WOADSTALL_SEEDS", SEEDS)
}

/// Runs a scenario for each seed; fails with all seeds that have broken a promise.
fn assert_promises_hold(fault_kinds: FaultKinds, final_fault: Option<FinalFault>) {
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
        executed >= seeds * MIN_EXECUTED,
        "only {executed} calls were executed"
    );
}

#[test]
fn promises_hold_without_faults() {
    assert_promises_hold(FaultKinds::NONE, Some(FinalFault::NoFault));
}

#[test]
fn promises_hold_with_all_faults() {
    assert_promises_hold(FaultKinds::ALL, None);
}

#[test]
fn promises_hold_when_two_disks_are_lost_and_all_others_lose_power() {
    assert_promises_hold(FaultKinds::NONE, Some(FinalFault::LoseTwoDisks));
}

/// One seed gives one run, however often it is run.
#[test]
fn a_seed_repeats() {
    for seed in 0..REPEATED_SEEDS {
        let scenario = Scenario {
            seed,
            fault_kinds: FaultKinds::ALL,
            final_fault: None,
        };
        let [first, second] = [(); 2].map(|()| scenario.run().cluster);
        let is_same = first.history.operations == second.history.operations;
        assert!(is_same, "seed {seed} gave two runs");
        assert_eq!(first.describe(), second.describe(), "seed {seed}");
    }
}
