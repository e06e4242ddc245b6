//! Selection of the machines that the feeds read, with simulated time.

use super::{AVOIDANCE_PERIOD, FeedSources};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const FEED_COUNT: usize = 2;
const TIME_STEP: Duration = Duration::from_millis(150);

fn machines(count: u16) -> Vec<SocketAddr> {
    (1..=count)
        .map(|number| SocketAddr::from(([10, 0, 0, 1], number)))
        .collect()
}

#[test]
fn feeds_read_different_machines_by_preference() {
    let (mut sources, addresses, now) = (FeedSources::new(FEED_COUNT), machines(3), Instant::now());
    assert_eq!(sources.select(now, 0, &addresses), Some(addresses[0]));
    assert_eq!(sources.select(now, 1, &addresses), Some(addresses[1]));
    assert_eq!(
        sources.select(now, 0, &addresses),
        Some(addresses[0]),
        "a feed may select its current machine again"
    );
    assert_eq!(
        sources.select(now, 1, &addresses[..1]),
        None,
        "the only machine is read by the other feed"
    );
}

#[test]
fn an_abandoned_machine_is_avoided_for_the_avoidance_period() {
    let (mut sources, addresses, mut now) =
        (FeedSources::new(FEED_COUNT), machines(3), Instant::now());
    sources.select(now, 0, &addresses);
    sources.abandon(now, 0);
    now += TIME_STEP;
    assert_eq!(sources.select(now, 0, &addresses), Some(addresses[1]));
    sources.abandon(now, 0);
    now += TIME_STEP;
    assert_eq!(sources.select(now, 0, &addresses), Some(addresses[2]));
    sources.abandon(now, 0);
    now += AVOIDANCE_PERIOD;
    assert_eq!(sources.select(now, 0, &addresses), Some(addresses[0]));
}

#[test]
fn if_all_machines_were_abandoned_the_first_one_is_selected() {
    let (mut sources, addresses, mut now) =
        (FeedSources::new(FEED_COUNT), machines(2), Instant::now());
    for expected in [addresses[0], addresses[1], addresses[0], addresses[1]] {
        assert_eq!(sources.select(now, 0, &addresses), Some(expected));
        sources.abandon(now, 0);
        now += TIME_STEP;
    }
}
