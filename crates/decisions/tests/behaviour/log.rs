//! Tests of the log lines and their rate limit.

use crate::common::*;
use woadstall_decisions::api::*;

#[test]
fn log_lines_report_what_happens_without_flooding() {
    let count_lines = |actions: &[Action], text: &str| {
        actions
            .iter()
            .filter(|action| matches!(action, Action::Log(line) if line.contains(text)))
            .count()
    };
    let mut harness = Harness::new(settings(), &zones(2, 4));
    harness.warm_up(100);
    let mut all_actions = Vec::new();
    for _ in 0..100 {
        let (id, mut actions) = harness.request(SAFE);
        for attempt in 0..4 {
            all_actions.extend(actions.clone());
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
        all_actions.extend(actions);
    }
    let lines = [
        count_lines(&all_actions, "circuit_breaker_opened server="),
        count_lines(&all_actions, "zone_left healthy="),
    ];
    assert!(lines.iter().all(|n| (1..=2).contains(n)), "{lines:?}");
    let failed = harness.handle(Event::SubscriptionFailed);
    assert_eq!(
        count_lines(&failed, "subscription_failed consecutive_failures=1"),
        1
    );
}
