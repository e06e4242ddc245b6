//! Generated scenarios with combinations of faults, on clusters of three to six nodes.
//! `WOADSTALL_SEEDS` sets the number of seeds per test.

mod common;

use common::{FOUR, SIX, THREE, cluster_with_digest};
use rstest::rstest;
use woadstall_control_simulation::cluster::Topology;
use woadstall_control_simulation::network::{DELAYED_DELIVERY, NetworkConditions, STEADY};
use woadstall_control_simulation::scenario::{ALL_FAULTS, Environment, FaultKinds, Scenario};

/// Number of seeds per test, unless `WOADSTALL_SEEDS` is set.
const SEEDS: u64 = 40;
/// Number of steps of a scenario.
const STEPS: usize = 60;
/// The first seed that is run twice. The seeds differ from those of the golden tests.
const FIRST_REPEATED_SEED: u64 = 2_000;
/// Minimum number of completed operations per seed, on average.
const MIN_COMPLETED_PER_SEED: u64 = 5;

/// All faults except losses of disks and of power. A cluster must tolerate these faults on any
/// number of nodes.
const WITHOUT_LOSSES: FaultKinds = FaultKinds {
    disk_losses: false,
    power_losses: false,
    ..ALL_FAULTS
};
/// 20 kB/s per connection, with late packets.
const LOW_BANDWIDTH: NetworkConditions = NetworkConditions {
    bytes_per_ms: 20,
    ..DELAYED_DELIVERY
};

fn seeds() -> u64 {
    std::env::var("WOADSTALL_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(SEEDS)
}

/// Runs a scenario. Returns the digest of its events and the number of observations that it covers.
fn digest_of(scenario: &Scenario) -> (u64, u64) {
    let Environment { topology, network } = scenario.environment;
    let cluster = scenario.run_on(cluster_with_digest(scenario.seed, topology, network));
    cluster.expect("the scenario passes").finish_digest()
}

/// Two runs of the same seed have the same digest of all observable bytes.
#[rstest]
#[case::three_with_delayed_delivery(THREE, DELAYED_DELIVERY, ALL_FAULTS)]
#[case::four_in_two_regions(FOUR, DELAYED_DELIVERY, ALL_FAULTS)]
#[case::six(SIX, DELAYED_DELIVERY, ALL_FAULTS)]
#[case::six_without_losses(SIX, DELAYED_DELIVERY, WITHOUT_LOSSES)]
#[case::low_bandwidth(THREE, LOW_BANDWIDTH, ALL_FAULTS)]
fn runs_of_the_same_seed_are_identical(
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
        "seeds whose runs differ: {differing:?}"
    );
}

#[rstest]
#[case::three_in_a_steady_network(THREE, STEADY, ALL_FAULTS)]
#[case::three_with_delayed_delivery(THREE, DELAYED_DELIVERY, ALL_FAULTS)]
#[case::four_in_two_regions(FOUR, DELAYED_DELIVERY, ALL_FAULTS)]
#[case::six(SIX, DELAYED_DELIVERY, ALL_FAULTS)]
#[case::six_without_losses(SIX, DELAYED_DELIVERY, WITHOUT_LOSSES)]
#[case::low_bandwidth(THREE, LOW_BANDWIDTH, ALL_FAULTS)]
fn no_invariant_is_violated(
    #[case] topology: Topology,
    #[case] network: NetworkConditions,
    #[case] faults: FaultKinds,
) {
    let mut completed = 0;
    for seed in 0..seeds() {
        let scenario = Scenario::generate(seed, Environment { topology, network }, faults, STEPS);
        match scenario.run_and_shrink() {
            Ok(cluster) => completed += cluster.history.completed_count() as u64,
            Err(failed) => panic!("{failed}"),
        }
    }
    assert!(
        completed > seeds() * MIN_COMPLETED_PER_SEED,
        "only {completed} operations completed"
    );
}
