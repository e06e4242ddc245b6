//! Generated scenarios with all faults together, on small and large clusters. `WOADSTALL_SEEDS`
//! sets the number of seeds.

mod common;

use common::{FOUR, SIX, THREE, recorded};
use rstest::rstest;
use woadstall_control_simulation::cluster::Topology;
use woadstall_control_simulation::network::{DELAYED_DELIVERY, NetworkConditions, STEADY};
use woadstall_control_simulation::scenario::{ALL_FAULTS, Environment, FaultKinds, Scenario};

/// Seeds of each test, unless `WOADSTALL_SEEDS` is set.
const SEEDS: u64 = 40;
/// Steps of a scenario.
const STEPS: usize = 60;
/// The first of the seeds that are run twice: others than those of the golden runs.
const FIRST_REPEATED_SEED: u64 = 2_000;
/// Operations that must have completed for each seed on average.
const MIN_COMPLETED: u64 = 5;

/// Without losses of disks and power: what a cluster must bear however many nodes are affected.
const WITHOUT_LOSSES: FaultKinds = FaultKinds {
    disk_losses: false,
    power_losses: false,
    ..ALL_FAULTS
};
const NARROW: NetworkConditions = NetworkConditions {
    bytes_per_ms: 20,
    ..DELAYED_DELIVERY
};

fn seeds() -> u64 {
    std::env::var("WOADSTALL_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(SEEDS)
}

/// The digest of everything observable in a run of a scenario, and how many observations it covers.
fn digest_of(scenario: &Scenario) -> (u64, u64) {
    let Environment { topology, network } = scenario.environment;
    let cluster = scenario.run_on(recorded(scenario.seed, topology, network));
    cluster.expect("the scenario passes").finish_digest()
}

/// One seed gives one run, to the byte, wherever and however often it is run.
#[rstest]
#[case::three_with_delayed_delivery(THREE, DELAYED_DELIVERY, ALL_FAULTS)]
#[case::four_in_two_regions(FOUR, DELAYED_DELIVERY, ALL_FAULTS)]
#[case::six(SIX, DELAYED_DELIVERY, ALL_FAULTS)]
#[case::six_without_losses(SIX, DELAYED_DELIVERY, WITHOUT_LOSSES)]
#[case::a_narrow_network(THREE, NARROW, ALL_FAULTS)]
fn a_seed_repeats(
    #[case] topology: Topology,
    #[case] network: NetworkConditions,
    #[case] faults: FaultKinds,
) {
    let differs = |seed: &u64| {
        let scenario = Scenario::generate(*seed, Environment { topology, network }, faults, STEPS);
        digest_of(&scenario) != digest_of(&scenario)
    };
    let differing: Vec<u64> = (FIRST_REPEATED_SEED..FIRST_REPEATED_SEED + seeds())
        .filter(differs)
        .collect();
    assert!(
        differing.is_empty(),
        "seeds that gave two runs: {differing:?}"
    );
}

#[rstest]
#[case::three_in_a_steady_network(THREE, STEADY, ALL_FAULTS)]
#[case::three_with_delayed_delivery(THREE, DELAYED_DELIVERY, ALL_FAULTS)]
#[case::four_in_two_regions(FOUR, DELAYED_DELIVERY, ALL_FAULTS)]
#[case::six(SIX, DELAYED_DELIVERY, ALL_FAULTS)]
#[case::six_without_losses(SIX, DELAYED_DELIVERY, WITHOUT_LOSSES)]
#[case::a_narrow_network(THREE, NARROW, ALL_FAULTS)]
fn no_invariant_is_violated(
    #[case] topology: Topology,
    #[case] network: NetworkConditions,
    #[case] faults: FaultKinds,
) {
    let mut completed = 0;
    for seed in 0..seeds() {
        let scenario = Scenario::generate(seed, Environment { topology, network }, faults, STEPS);
        match scenario.run_and_shrink() {
            Ok(cluster) => completed += cluster.history.completed() as u64,
            Err(failed) => panic!("{failed}"),
        }
    }
    assert!(
        completed > seeds() * MIN_COMPLETED,
        "only {completed} operations have completed"
    );
}
