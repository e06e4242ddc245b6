//! Drawn days of all troubles together, on small and large groups. `WOADSTALL_SEEDS` names another number of days.

use rstest::rstest;
use woadstall_control_simulation::cluster::Layout;
use woadstall_control_simulation::network::{CALM, ROUGH, Weather};
use woadstall_control_simulation::scenario::{ALL, Kinds, hunt};

const SEEDS: u64 = 40;
const STEPS: usize = 60;

const THREE: Layout = Layout {
    machines: 3,
    founders: 3,
    regions: 3,
    tolerated: 1,
};
const FOUR: Layout = Layout {
    machines: 4,
    founders: 3,
    regions: 2,
    tolerated: 1,
};
const SIX: Layout = Layout {
    machines: 6,
    founders: 3,
    regions: 3,
    tolerated: 2,
};

/// Without losses of disks and power: what a group must bear whatever is lost at a time.
const BRIEF: Kinds = Kinds {
    processes: true,
    cuts: true,
    stalls: true,
    wipes: false,
    power: false,
};

fn seeds() -> u64 {
    std::env::var("WOADSTALL_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(SEEDS)
}

#[rstest]
#[case::three_in_a_calm_network(THREE, CALM, ALL)]
#[case::three_with_old_bytes(THREE, ROUGH, ALL)]
#[case::four_of_two_regions(FOUR, ROUGH, ALL)]
#[case::six(SIX, ROUGH, ALL)]
#[case::six_without_losses(SIX, ROUGH, BRIEF)]
#[case::a_narrow_network(THREE, Weather { bytes_per_ms: 20, ..ROUGH }, ALL)]
fn nothing_that_was_promised_breaks(
    #[case] layout: Layout,
    #[case] weather: Weather,
    #[case] kinds: Kinds,
) {
    let mut answered = 0;
    for seed in 0..seeds() {
        match hunt(seed, layout, weather, kinds, STEPS) {
            Ok(cluster) => answered += cluster.history.answered(),
            Err(violation) => panic!("{violation}"),
        }
    }
    assert!(
        answered as u64 > seeds() * 5,
        "only {answered} calls were answered"
    );
}
