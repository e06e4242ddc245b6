//! Digests of the delivery times that fixed seeds produce. They detect unintended changes of the
//! schedules, for example during refactoring.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use woadstall_fault_proxy::LinkConditions;
use woadstall_fault_proxy::schedule::{DatagramSchedule, StreamSchedule, handshake_ns};

/// Offset basis and prime of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn digest(numbers: impl IntoIterator<Item = u64>) -> u64 {
    let bytes = numbers.into_iter().flat_map(u64::to_le_bytes);
    bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Returns perfect conditions, conditions with one fault each, and conditions with several faults
/// combined.
fn conditions() -> Vec<LinkConditions> {
    let delay = LinkConditions {
        delay: Duration::from_millis(7),
        ..LinkConditions::default()
    };
    let jitter = LinkConditions {
        jitter: Duration::from_micros(900),
        ..delay.clone()
    };
    let loss = LinkConditions {
        loss: 0.1,
        ..LinkConditions::default()
    };
    let duplicating = LinkConditions {
        duplication: 0.3,
        ..delay.clone()
    };
    let reordering = LinkConditions {
        reordering: 0.3,
        ..LinkConditions::default()
    };
    let limited_bandwidth = LinkConditions {
        bytes_per_second: 200_000,
        ..LinkConditions::default()
    };
    let partitioned = LinkConditions {
        partitioned: true,
        ..LinkConditions::default()
    };
    let combined = LinkConditions {
        loss: 0.2,
        duplication: 0.2,
        reordering: 0.2,
        bytes_per_second: 3_000_000,
        ..jitter.clone()
    };
    vec![
        LinkConditions::default(),
        delay,
        jitter,
        loss,
        duplicating,
        reordering,
        limited_bandwidth,
        partitioned,
        combined,
    ]
}

#[test]
fn stream_delivery_times_match_recorded_digest() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut stream = StreamSchedule::default();
    let conditions = conditions();
    let times = (0..5_000u64).map(|number| {
        let current = &conditions[number as usize / 50 % conditions.len()];
        stream.delivery_time_ns(
            number * 300_000,
            1 + number as usize % 1_500,
            current,
            &mut rng,
        )
    });
    assert_eq!(digest(times), 0xef1f_2c02_4a2a_1ed6);
}

#[test]
fn handshake_times_match_recorded_digest() {
    let mut rng = ChaCha8Rng::seed_from_u64(12);
    let conditions = conditions();
    let pairs = conditions
        .iter()
        .flat_map(|outbound| conditions.iter().map(move |inbound| (outbound, inbound)));
    let times = pairs.map(|(outbound, inbound)| handshake_ns(outbound, inbound, &mut rng));
    assert_eq!(digest(times), 0xc921_fff5_2079_c31a);
}

#[test]
fn datagram_delivery_times_match_recorded_digest() {
    let mut rng = ChaCha8Rng::seed_from_u64(13);
    let mut datagrams = DatagramSchedule::default();
    let conditions = conditions();
    let times = (0..5_000u64).flat_map(|number| {
        let current = &conditions[number as usize / 50 % conditions.len()];
        let bytes = 1 + number as usize % 1_500;
        let deliveries = datagrams.delivery_times_ns(number * 300_000, bytes, current, &mut rng);
        deliveries.map(|due| due.unwrap_or(u64::MAX))
    });
    assert_eq!(digest(times), 0xcc41_bbc5_c28b_a97b);
}
