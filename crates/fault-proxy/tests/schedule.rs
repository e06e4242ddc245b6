//! Properties of the delivery schedules, tested without sockets.

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use woadstall_fault_proxy::LinkConditions;
use woadstall_fault_proxy::schedule::{DatagramSchedule, StreamSchedule};

fn conditions() -> impl Strategy<Value = LinkConditions> {
    (
        0u64..50,
        0u64..50,
        0.0..1.0f64,
        0u64..5_000_000,
        any::<bool>(),
    )
        .prop_map(
            |(delay, jitter, loss, bytes_per_second, partitioned)| LinkConditions {
                delay: Duration::from_millis(delay),
                jitter: Duration::from_millis(jitter),
                loss,
                bytes_per_second,
                partitioned,
                ..LinkConditions::default()
            },
        )
}

proptest! {
    /// Under arbitrarily changing conditions, segments are delivered in order, not before their
    /// delay, and no faster than the bandwidth.
    #[test]
    fn streams_keep_order_delay_and_bandwidth(seed: u64, segments in prop::collection::vec((0u64..20_000_000, 1usize..20_000, conditions()), 1..60)) {
        let (mut stream, mut rng) = (StreamSchedule::default(), ChaCha8Rng::seed_from_u64(seed));
        let (mut now_ns, mut last_delivery_ns) = (0, 0);
        for (gap_ns, bytes, conditions) in segments {
            now_ns += gap_ns;
            let delivery_ns = stream.delivery_time_ns(now_ns, bytes, &conditions, &mut rng);
            let transmission_ns = (bytes as u64 * 1_000_000_000).checked_div(conditions.bytes_per_second).unwrap_or(0);
            let earliest_ns = now_ns + conditions.delay.as_nanos() as u64 + transmission_ns;
            prop_assert!(delivery_ns >= last_delivery_ns && delivery_ns >= earliest_ns);
            last_delivery_ns = delivery_ns;
        }
    }

    /// A datagram is delivered at most twice, and never over a partitioned link.
    #[test]
    fn datagrams_are_delivered_at_most_twice(seed: u64, conditions in conditions(), duplication in 0.0..1.0f64, now_ns in 0u64..1_000_000_000) {
        let (mut datagrams, mut rng) = (DatagramSchedule::default(), ChaCha8Rng::seed_from_u64(seed));
        let conditions = LinkConditions { duplication, ..conditions };
        let deliveries = datagrams.delivery_times_ns(now_ns, 100, &conditions, &mut rng);
        prop_assert!(deliveries[0].is_some() || deliveries[1].is_none());
        prop_assert!(!conditions.partitioned || deliveries[0].is_none());
        prop_assert!(deliveries.into_iter().flatten().all(|delivery_ns| delivery_ns >= now_ns + conditions.delay.as_nanos() as u64));
    }
}

/// The shares of lost, duplicated and reordered datagrams match the conditions within four standard
/// deviations.
#[test]
fn datagram_fault_shares_match_the_conditions() {
    const SENT_DATAGRAMS: u32 = 20_000;
    let conditions = LinkConditions {
        loss: 0.1,
        duplication: 0.05,
        reordering: 0.2,
        delay: Duration::from_millis(3),
        ..LinkConditions::default()
    };
    let (mut datagrams, mut rng) = (DatagramSchedule::default(), ChaCha8Rng::seed_from_u64(7));
    let (mut lost, mut duplicated, mut reordered) = (0, 0, 0);
    for sent in 0..SENT_DATAGRAMS {
        let now_ns = u64::from(sent) * 1_000_000;
        match datagrams.delivery_times_ns(now_ns, 100, &conditions, &mut rng) {
            [None, _] => lost += 1,
            [Some(first_ns), second_ns] => {
                duplicated += u32::from(second_ns.is_some());
                reordered += u32::from(first_ns > now_ns + 3_000_000);
            }
        }
    }
    let delivered = f64::from(SENT_DATAGRAMS - lost);
    for (fault, count, total, share) in [
        ("lost", lost, f64::from(SENT_DATAGRAMS), 0.1),
        ("duplicated", duplicated, delivered, 0.05),
        ("reordered", reordered, delivered, 0.2),
    ] {
        let deviation = (total * share * (1.0 - share)).sqrt();
        assert!(
            (f64::from(count) - total * share).abs() < 4.0 * deviation,
            "{fault}: {count} of {total}"
        );
    }
}

#[test]
fn bandwidth_is_shared_by_all_segments() {
    let conditions = LinkConditions {
        bytes_per_second: 1_000_000,
        ..LinkConditions::default()
    };
    let (mut stream, mut rng) = (StreamSchedule::default(), ChaCha8Rng::seed_from_u64(1));
    let last = (0..100)
        .map(|_| stream.delivery_time_ns(0, 10_000, &conditions, &mut rng))
        .last();
    assert_eq!(last, Some(1_000_000_000));
}

#[test]
fn invalid_conditions_are_rejected_by_field_name() {
    let error = LinkConditions {
        loss: 1.5,
        ..LinkConditions::default()
    }
    .check()
    .unwrap_err();
    assert!(error.to_string().contains("`loss`"), "{error}");
    assert!(
        LinkConditions {
            delay: Duration::from_secs(61),
            ..LinkConditions::default()
        }
        .check()
        .is_err()
    );
    assert!(LinkConditions::default().check().is_ok());
}
