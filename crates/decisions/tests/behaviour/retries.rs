//! Tests of retries, attempt timeouts and the retry budget.

use crate::common::*;
use woadstall_decisions::api::*;

/// Guards against timeouts that heavy requests exceed on every attempt: a retried request is as
/// heavy as before, and a timeout near the mean latency ended it again and again.
#[test]
fn attempt_timeout_is_long_enough_for_heavy_requests() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    for call in 0..200 {
        harness.serve(SAFE, if call % 5 == 0 { 60 * MS } else { 10 * MS });
    }
    let (_, actions) = harness.request(SAFE);
    let Some(Action::Send { until, .. }) = actions
        .iter()
        .find(|action| matches!(action, Action::Send { .. }))
    else {
        panic!("{actions:?}")
    };
    assert!(
        until - harness.now > 150 * MS && until - harness.now < 2 * SECOND,
        "{} ms",
        (until - harness.now) / MS
    );
}

/// Guards against rejecting calls that were queued on a connection to a draining server. They were
/// never sent and cost no server any work, so the retry budget, which protects servers, must not
/// limit them.
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
    // Retries of attempts that have reached a server still cost budget.
    let rejections = calls
        .iter()
        .filter(|(id, _)| is_rejected(&harness.end(*id, 1, Outcome::Full, MS)))
        .count();
    assert!(rejections >= 20, "{rejections} of 40 rejected");
}

/// Guards against rejections because of full connection tables. Hundreds of balancers with few calls
/// each fill the tables of some servers; the refused connections used up the retry budgets of the
/// balancers, which then rejected calls although other servers had capacity.
#[test]
fn failed_connections_cost_little_of_the_retry_budget() {
    let mut harness = Harness::new(settings(), &zones(1, 12));
    harness.warm_up(50);
    let rng = std::cell::RefCell::new(fastrand::Rng::with_seed(5));
    let full_tables = |_| {
        if rng.borrow_mut().u8(..10) < 4 {
            Outcome::ConnectFailed
        } else {
            Outcome::Ok
        }
    };
    let rejected = (0..400)
        .filter(|_| harness.run(UNSAFE, full_tables).1.is_some())
        .count();
    assert!(rejected < 40, "{rejected} of 400 rejected");
    // If no connection succeeds, the budget limits calls to about two attempts on average.
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
