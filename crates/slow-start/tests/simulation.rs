//! Simulations of all senders of one destination.
//!
//! All senders together must never send more than the proven rate, grown once, plus the probe rate.
//! The bound must hold for lost, late and duplicated messages and in a network partition.

mod support;

use proptest::prelude::*;
use support::{Fleet, RunResult};

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn the_sum_of_all_rates_is_bounded(
        demands in prop::collection::vec(0.5_f64..40.0, 2..24),
        capacity in 20.0_f64..200.0,
        fault_bytes in prop::collection::vec(any::<u8>(), 1..64),
        is_partitioned: bool,
    ) {
        let RunResult { peak_load, .. } = Fleet { demands, capacity, fault_bytes, is_partitioned }.run();
        prop_assert!(peak_load < 2.5, "{peak_load}");
    }
}

/// If all messages arrive, senders use the rate that other senders do not need, so that most of the
/// demand is sent once the destination can serve it.
#[test]
fn the_rate_reaches_the_demand() {
    let demands = (0..20)
        .map(|sender| if sender < 4 { 20.0 } else { 2.0 })
        .collect();
    let fleet = Fleet {
        demands,
        capacity: 60.0,
        fault_bytes: vec![0],
        is_partitioned: false,
    };
    let result = fleet.run();
    println!("{result:?}");
    assert!(
        result.peak_load < 2.5 && result.final_share > 0.85,
        "{result:?}"
    );
}

/// Golden test of the decisions of all senders, in runs with lost, late and duplicated messages.
#[test]
fn recorded_runs_have_the_same_results() {
    const RESULTS: [(f64, f64); 6] = [
        (1.148525564, 0.581081081),
        (0.814985198, 1.000000000),
        (0.837635943, 1.000000000),
        (0.960725543, 1.000000000),
        (1.080266997, 1.000000000),
        (0.973554585, 1.000000000),
    ];
    let fleet = |seed: usize| Fleet {
        demands: (0..3 + 4 * seed)
            .map(|sender| 0.5 + ((sender * 37 + seed * 11) % 39) as f64)
            .collect(),
        capacity: 20.0 + 30.0 * seed as f64,
        fault_bytes: (0..17 + seed)
            .map(|index| ((index * 73 + seed * 29) % 256) as u8)
            .collect(),
        is_partitioned: seed % 2 == 1,
    };
    for (seed, (peak_load, final_share)) in RESULTS.into_iter().enumerate() {
        let result = fleet(seed).run();
        let is_unchanged = (result.peak_load - peak_load).abs() < 1e-9
            && (result.final_share - final_share).abs() < 1e-9;
        assert!(is_unchanged, "{seed}: {result:?}");
    }
}
