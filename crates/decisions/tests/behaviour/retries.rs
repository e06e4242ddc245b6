//! Which attempts are retried, and what that costs.

use crate::common::*;
use woadstall_decisions::api::*;

/// Heavy requests stay heavy on a retry: a limit near the mean cut them again and again.
#[test]
fn attempt_timeout_is_long_enough_for_heavy_requests() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    for call in 0..200 {
        harness.serve(SAFE, if call % 5 == 0 { 60 * MS } else { 10 * MS });
    }
    let (_, actions) = harness.request(SAFE);
    let Some(Action::Send { until, .. }) =
        actions.iter().find(|a| matches!(a, Action::Send { .. }))
    else {
        panic!("{actions:?}")
    };
    assert!(
        until - harness.now > 150 * MS && until - harness.now < 2 * SECOND,
        "{} ms",
        (until - harness.now) / MS
    );
}

/// Calls that wait in a queue of ours for a server that drains were never sent, and cost no server
/// anything: the retry budget, which is there for the servers' sake, must not reject them.
#[test]
fn attempts_never_sent_cost_no_retry_budget() {
    let mut harness = Harness::new(settings(), &zones(1, 3));
    harness.warm_up(50);
    let mut calls: Vec<_> = (0..40).map(|_| harness.request(UNSAFE)).collect();
    calls.retain(|(_, actions)| sent_to(actions).is_some());
    assert_eq!(calls.len(), 40);
    for (id, _) in &calls {
        let again = harness.end(*id, 0, Outcome::Moot, 0);
        assert!(sent_to(&again).is_some(), "{again:?}");
    }
    // What has reached a server still costs.
    let refusals = calls
        .iter()
        .filter(|(id, _)| is_rejected(&harness.end(*id, 1, Outcome::Full, MS)))
        .count();
    assert!(refusals >= 20, "{refusals} of 40 rejected");
}

/// Hundreds of callers with few calls each fill their servers' tables of connections. What was rejected there
/// never reached a server, and cost the callers their retry budgets: they rejected though others had capacity.
#[test]
fn connections_that_do_not_come_up_cost_little_of_the_retry_budget() {
    let mut harness = Harness::new(settings(), &zones(1, 12));
    harness.warm_up(50);
    let draw = std::cell::RefCell::new(fastrand::Rng::with_seed(5));
    let full_tables = |_| {
        if draw.borrow_mut().u8(..10) < 4 {
            Outcome::ConnectFailed
        } else {
            Outcome::Ok
        }
    };
    let refused = (0..400)
        .filter(|_| harness.run(UNSAFE, full_tables).1.is_some())
        .count();
    assert!(refused < 40, "{refused} of 400 rejected");
    // Where nothing comes up at all, each call has two attempts on average, not all that it may have.
    let attempts: usize = (0..400)
        .map(|_| harness.run(UNSAFE, |_| Outcome::ConnectFailed).0.len())
        .sum();
    assert!(attempts < 900, "{attempts} attempts for 400 requests");
}

#[test]
fn safe_work_is_retried_elsewhere_within_the_retry_budget() {
    let mut harness = Harness::new(settings(), &zones(1, 8));
    let (tried, _) = harness.run(SAFE, |_| Outcome::Error);
    assert_eq!(tried.len(), 4);
    assert!(tried.windows(2).all(|pair| pair[0] != pair[1]), "{tried:?}");
    let attempts: usize = (0..200)
        .map(|_| harness.run(SAFE, |_| Outcome::Error).0.len())
        .sum();
    assert!(
        (200..=260).contains(&attempts),
        "{attempts} attempts for 200 requests"
    );
}
