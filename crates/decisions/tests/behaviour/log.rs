//! Tests of the log lines and their rate limit.

use crate::common::*;
use woadstall_decisions::api::*;

#[test]
fn log_lines_report_what_happens_without_flooding() {
    let log = |actions: &[Action], part: &str| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::Log(text) if text.contains(part)))
            .count()
    };
    let mut harness = Harness::new(settings(), &zones(2, 4));
    harness.warm_up(100);
    let mut all = Vec::new();
    for _ in 0..100 {
        let (id, mut actions) = harness.request(SAFE);
        for attempt in 0..4 {
            all.extend(actions.clone());
            let Some(server) = sent_to(&actions) else {
                break;
            };
            harness.now += 10 * MS;
            let outcome = if server < 4 {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            actions = harness.end(id, attempt, outcome, 10 * MS);
        }
        all.extend(actions);
    }
    let lines = [
        log(&all, "circuit_breaker_opened server="),
        log(&all, "zone_left healthy="),
    ];
    assert!(lines.iter().all(|n| (1..=2).contains(n)), "{lines:?}");
    let failed = harness.handle(Event::SubscriptionFailed);
    assert_eq!(
        log(&failed, "subscription_failed consecutive_failures=1"),
        1
    );
}
