//! The choice of machines to read from, with times handed in.

use super::{AVOIDANCE_PERIOD, FeedSources};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const FEEDS: usize = 2;
const A_MOMENT: Duration = Duration::from_millis(150);

fn machines(count: u16) -> Vec<SocketAddr> {
    (1..=count)
        .map(|number| SocketAddr::from(([10, 0, 0, 1], number)))
        .collect()
}

#[test]
fn the_feeds_read_different_machines_by_preference() {
    let (mut sources, all, now) = (FeedSources::new(FEEDS), machines(3), Instant::now());
    assert_eq!(sources.select(now, 0, &all), Some(all[0]));
    assert_eq!(sources.select(now, 1, &all), Some(all[1]));
    assert_eq!(
        sources.select(now, 0, &all),
        Some(all[0]),
        "it may go on with its own"
    );
    assert_eq!(
        sources.select(now, 1, &all[..1]),
        None,
        "the only one is taken"
    );
}

#[test]
fn an_abandoned_machine_is_avoided_for_a_while() {
    let (mut sources, all, mut now) = (FeedSources::new(FEEDS), machines(3), Instant::now());
    sources.select(now, 0, &all);
    sources.abandon(now, 0);
    now += A_MOMENT;
    assert_eq!(sources.select(now, 0, &all), Some(all[1]));
    sources.abandon(now, 0);
    now += A_MOMENT;
    assert_eq!(sources.select(now, 0, &all), Some(all[2]));
    sources.abandon(now, 0);
    now += AVOIDANCE_PERIOD;
    assert_eq!(sources.select(now, 0, &all), Some(all[0]));
}

#[test]
fn if_all_were_abandoned_the_one_longest_ago_is_selected_first() {
    let (mut sources, all, mut now) = (FeedSources::new(FEEDS), machines(2), Instant::now());
    for expected in [all[0], all[1], all[0], all[1]] {
        assert_eq!(sources.select(now, 0, &all), Some(expected));
        sources.abandon(now, 0);
        now += A_MOMENT;
    }
}
