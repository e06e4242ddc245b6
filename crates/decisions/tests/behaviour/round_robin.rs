//! Tests of the weighted round robin.

use crate::common::*;
use woadstall_decisions::api::*;

/// Guards against sending all calls to a rejecting server: it rejects at once and so has no calls
/// in flight, and it got all the turns of servers that were at their limit.
#[test]
fn rejecting_server_does_not_draw_the_turns_of_busy_ones() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    harness.warm_up(200);
    let mut rejections = 0;
    for _ in 0..40 {
        let (id, mut actions) = harness.request(SAFE);
        let mut attempt = 0;
        while sent_to(&actions) == Some(3) {
            rejections += 1;
            actions = harness.end(id, attempt, Outcome::Full, MS / 10);
            attempt += 1;
        }
    }
    assert!(
        rejections <= 2,
        "{rejections} of 40 requests went to the rejecting server"
    );
}

/// Guards against weighting turns by the listed size alone: a server that handled far less than its
/// size suggests timed out a third of its calls.
#[test]
fn slow_server_gives_up_turns() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    let mut turns = [0; 4];
    for _ in 0..400 {
        let (id, actions) = harness.request(SAFE);
        let Some(server) = sent_to(&actions) else {
            continue;
        };
        turns[server as usize] += 1;
        let latency = if server == 0 { 80 * MS } else { 20 * MS };
        harness.now += latency;
        harness.end(id, 0, Outcome::Ok, latency);
    }
    assert!(turns[0] * 3 < turns[1], "{turns:?}");
}

/// Guards against failures that never trip a breaker. A server that fails three in ten calls at
/// random rarely fails several in a row if the balancer calls it once per second. One such server
/// in eight cost about 5% of the calls that must not run twice, for the whole time of the fault.
#[test]
fn server_that_fails_by_chance_gets_fewer_turns_and_hardly_any_unsafe_calls() {
    let mut harness = Harness::new(settings(), &zones(1, 8));
    harness.warm_up(200);
    let (mut rng, mut failed, mut unsafe_calls) = (fastrand::Rng::with_seed(7), 0, 0);
    for call in 0..1_600 {
        let class = if call % 2 == 0 { UNSAFE } else { KEYED_ALL };
        harness.now += 100 * MS;
        let fails = rng.u8(..10) < 3;
        let (tried, _) = harness.run(class, |server| {
            if server == 3 && fails {
                Outcome::Error
            } else {
                Outcome::Ok
            }
        });
        if class == UNSAFE && call > 200 {
            unsafe_calls += 1;
            failed += u32::from(tried == [3] && fails);
        }
    }
    assert!(failed * 70 < unsafe_calls, "{failed} of {unsafe_calls}");
    // After its recovery the server gets its turns back.
    let turns = (0..600).filter_map(|call| {
        harness.now += 100 * MS;
        harness
            .serve(if call % 2 == 0 { UNSAFE } else { KEYED_ALL }, 20 * MS)
            .filter(|_| call >= 300)
    });
    assert!(turns.filter(|&server| server == 3).count() > 20);
}

/// Guards against penalizing servers for failures behind the whole tier: if calls fail at all
/// servers alike, all servers keep their turns.
#[test]
fn failures_common_to_all_servers_cost_no_server_its_turns() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    harness.warm_up(100);
    let (mut rng, mut turns) = (fastrand::Rng::with_seed(3), [0; 4]);
    for call in 0..2_000 {
        harness.now += 20 * MS;
        let fails = rng.u8(..4) == 0;
        let (tried, _) = harness.run(UNSAFE, |_| if fails { Outcome::Error } else { Outcome::Ok });
        tried
            .iter()
            .for_each(|&server| turns[server as usize] += u32::from(call > 200));
    }
    assert!(turns.iter().all(|&count| count > 300), "{turns:?}");
}

/// Guards against reducing the turns only of servers slower than the mean. If most servers were
/// slow, they took as many turns as the few fast servers, and were congested in an overload while
/// the fast servers had capacity.
#[test]
fn quick_servers_take_more_turns_where_most_are_slow() {
    let mut harness = Harness::new(settings(), &zones(1, 10));
    let mut turns = [0; 10];
    for call in 0..2_000 {
        let (id, actions) = harness.request(SAFE);
        let server = sent_to(&actions).expect("a server is available");
        let latency = if server < 3 { 20 * MS } else { 40 * MS };
        harness.now += latency;
        harness.end(id, 0, Outcome::Ok, latency);
        turns[server as usize] += u32::from(call > 200);
    }
    let (quick, slow) = (
        turns[..3].iter().sum::<u32>() / 3,
        turns[3..].iter().sum::<u32>() / 7,
    );
    assert!(quick > 3 * slow && slow > 50, "{turns:?}");
}

#[test]
fn overloaded_server_is_passed_over() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    harness.warm_up(100);
    let pending = sent_to(&harness.request(SAFE).1).expect("a server is free");
    let turns = counts((0..12).filter_map(|_| harness.serve(SAFE, MS)));
    assert!(!turns.contains_key(&pending), "{pending} in {turns:?}");
}

#[test]
fn calls_are_sent_at_once_if_all_servers_are_overloaded() {
    let mut harness = Harness::new(settings(), &zones(1, 2));
    harness.warm_up(50);
    let sends = (0..4)
        .filter(|_| sent_to(&harness.request(UNSAFE).1).is_some())
        .count();
    assert_eq!(sends, 4);
}

#[test]
fn unequal_servers_take_turns_by_size() {
    let mut list = zones(1, 4);
    list[0].size = 0.5;
    let mut harness = Harness::new(settings(), &list);
    let turns = counts((0..350).filter_map(|_| harness.serve(SAFE, 20 * MS)));
    assert!(
        (40..=60).contains(&turns[&0]) && (90..=110).contains(&turns[&1]),
        "{turns:?}"
    );
}
