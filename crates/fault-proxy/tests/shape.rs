//! When bytes come out, without sockets.

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use woadstall_fault_proxy::Way;
use woadstall_fault_proxy::shape::{Datagrams, Stream};

fn way() -> impl Strategy<Value = Way> {
    (
        0u64..50,
        0u64..50,
        0.0..1.0f64,
        0u64..5_000_000,
        any::<bool>(),
    )
        .prop_map(|(delay, jitter, loss, rate, cut)| Way {
            delay: Duration::from_millis(delay),
            jitter: Duration::from_millis(jitter),
            loss,
            rate,
            cut,
            ..Way::default()
        })
}

proptest! {
    /// Whatever happens to a way meanwhile, what goes in comes out in order and not before its time, and no
    /// quicker than the way's rate.
    #[test]
    fn streams_keep_their_order_and_their_time(seed: u64, pieces in prop::collection::vec((0u64..20_000_000, 1usize..20_000, way()), 1..60)) {
        let (mut stream, mut rng) = (Stream::default(), ChaCha8Rng::seed_from_u64(seed));
        let (mut now, mut last) = (0, 0);
        for (gap, bytes, way) in pieces {
            now += gap;
            let due = stream.release(now, bytes, &way, &mut rng);
            let takes = (bytes as u64 * 1_000_000_000).checked_div(way.rate).unwrap_or(0);
            prop_assert!(due >= last && due >= now + way.delay.as_nanos() as u64 + takes);
            last = due;
        }
    }

    /// A datagram comes never, once or twice, and never over a cut.
    #[test]
    fn datagrams_come_at_most_twice(seed: u64, way in way(), doubled in 0.0..1.0f64, now in 0u64..1_000_000_000) {
        let (mut datagrams, mut rng) = (Datagrams::default(), ChaCha8Rng::seed_from_u64(seed));
        let way = Way { doubled, ..way };
        let fate = datagrams.fate(now, 100, &way, &mut rng);
        prop_assert!(fate[0].is_some() || fate[1].is_none());
        prop_assert!(!way.cut || fate[0].is_none());
        prop_assert!(fate.into_iter().flatten().all(|due| due >= now + way.delay.as_nanos() as u64));
    }
}

/// The parts that are lost, doubled and overtaken are what was asked for, to four deviations of chance.
#[test]
fn datagrams_fare_as_the_way_says() {
    const SENT: u32 = 20_000;
    let way = Way {
        loss: 0.1,
        doubled: 0.05,
        overtaken: 0.2,
        delay: Duration::from_millis(3),
        ..Way::default()
    };
    let (mut datagrams, mut rng) = (Datagrams::default(), ChaCha8Rng::seed_from_u64(7));
    let (mut lost, mut doubled, mut late) = (0, 0, 0);
    for sent in 0..SENT {
        let now = u64::from(sent) * 1_000_000;
        match datagrams.fate(now, 100, &way, &mut rng) {
            [None, _] => lost += 1,
            [Some(first), second] => {
                doubled += u32::from(second.is_some());
                late += u32::from(first > now + 3_000_000);
            }
        }
    }
    let arrived = f64::from(SENT - lost);
    for (what, seen, of, part) in [
        ("lost", lost, f64::from(SENT), 0.1),
        ("doubled", doubled, arrived, 0.05),
        ("overtaken", late, arrived, 0.2),
    ] {
        let deviation = (of * part * (1.0 - part)).sqrt();
        assert!(
            (f64::from(seen) - of * part).abs() < 4.0 * deviation,
            "{what}: {seen} of {of}"
        );
    }
}

#[test]
fn a_rate_holds_over_many_pieces() {
    let way = Way {
        rate: 1_000_000,
        ..Way::default()
    };
    let (mut stream, mut rng) = (Stream::default(), ChaCha8Rng::seed_from_u64(1));
    let last = (0..100)
        .map(|_| stream.release(0, 10_000, &way, &mut rng))
        .last();
    assert_eq!(last, Some(1_000_000_000));
}

#[test]
fn unsound_ways_are_refused_by_field() {
    let wrong = Way {
        loss: 1.5,
        ..Way::default()
    }
    .check()
    .unwrap_err();
    assert!(wrong.to_string().contains("`loss`"), "{wrong}");
    assert!(
        Way {
            delay: Duration::from_secs(61),
            ..Way::default()
        }
        .check()
        .is_err()
    );
    assert!(Way::default().check().is_ok());
}
