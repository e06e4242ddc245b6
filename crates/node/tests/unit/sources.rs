//! The choice of machines to read from, with times handed in.

use super::{AVOIDED_FOR, Sources};
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
    let (mut sources, all, now) = (Sources::new(FEEDS), machines(3), Instant::now());
    assert_eq!(sources.choose(now, 0, &all), Some(all[0]));
    assert_eq!(sources.choose(now, 1, &all), Some(all[1]));
    assert_eq!(
        sources.choose(now, 0, &all),
        Some(all[0]),
        "it may go on with its own"
    );
    assert_eq!(
        sources.choose(now, 1, &all[..1]),
        None,
        "the only one is taken"
    );
}

#[test]
fn a_machine_that_was_left_is_passed_over_for_a_while() {
    let (mut sources, all, mut now) = (Sources::new(FEEDS), machines(3), Instant::now());
    sources.choose(now, 0, &all);
    sources.leave(now, 0);
    now += A_MOMENT;
    assert_eq!(sources.choose(now, 0, &all), Some(all[1]));
    sources.leave(now, 0);
    now += A_MOMENT;
    assert_eq!(sources.choose(now, 0, &all), Some(all[2]));
    sources.leave(now, 0);
    now += AVOIDED_FOR;
    assert_eq!(sources.choose(now, 0, &all), Some(all[0]));
}

#[test]
fn where_all_were_left_the_one_longest_ago_is_tried_and_then_the_next() {
    let (mut sources, all, mut now) = (Sources::new(FEEDS), machines(2), Instant::now());
    for expected in [all[0], all[1], all[0], all[1]] {
        assert_eq!(sources.choose(now, 0, &all), Some(expected));
        sources.leave(now, 0);
        now += A_MOMENT;
    }
}
