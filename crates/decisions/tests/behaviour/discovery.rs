//! Subscriptions, and the list of servers.

use crate::common::*;
use woadstall_decisions::api::*;

fn subscribing_settings() -> Settings {
    Settings {
        subscribes_to_discovery: true,
        ..settings()
    }
}

/// Where servers are ever new, all that were ever listed filled the memory, and each list took longer.
#[test]
fn removed_servers_are_forgotten() {
    let mut harness = Harness::new(settings(), &zones(3, 1));
    let mut size = Vec::new();
    for round in 1..200 {
        // One attempt is out at a server that goes; its end still finds what it belongs to.
        let (id, actions) = harness.request(KEYED_ZONE);
        let first = sent_to(&actions).expect("sent");
        let list: Vec<ServerEntry> = (0..3)
            .map(|zone| entry(3 * round + u32::from(zone), zone))
            .collect();
        harness.handle(Event::ServerList(&list));
        harness.now += 20 * MS;
        // The budget for retries does not grant each.
        if let Some(again) = sent_to(&harness.end(id, 0, Outcome::Error, 20 * MS)) {
            assert_eq!(
                again % 3,
                first % 3,
                "the window of its key is that of its zone"
            );
            harness.end(id, 1, Outcome::Ok, 20 * MS);
        }
        size.push(format!("{:?}", harness.balancer).len());
    }
    assert!(size[198] < 2 * size[4], "{} then {}", size[4], size[198]);
}

#[test]
fn subscribes_once_and_again_after_a_jittered_backoff() {
    let mut harness = Harness {
        balancer: woadstall_decisions::Balancer::new(subscribing_settings(), 5, 0).unwrap(),
        now: 0,
        next_id: 0,
    };
    let first = harness.handle(Event::ServerList(&zones(1, 2)));
    let [Action::SetTimer { token, .. }] = first[..] else {
        panic!("{first:?}")
    };
    assert_eq!(harness.handle(Event::Timer(token)), [Action::Subscribe]);
    assert_eq!(harness.handle(Event::ServerListChange(&[])), []);
    let again = harness.handle(Event::SubscriptionFailed);
    assert!(
        matches!(again[..], [Action::SetTimer { after, .. }, Action::Log(_)] if after <= SECOND),
        "{again:?}"
    );
}

/// A change counts as notified 6 s after discovery had it: no wait sleeps over that, however often it failed before.
#[test]
fn subscription_backoff_is_capped() {
    for seed in 0..20 {
        let balancer = woadstall_decisions::Balancer::new(subscribing_settings(), seed, 0).unwrap();
        let mut harness = Harness {
            balancer,
            now: 0,
            next_id: 0,
        };
        harness.handle(Event::ServerList(&zones(1, 2)));
        for failures in 1..=20 {
            harness.now += 10 * SECOND;
            let actions = harness.handle(Event::SubscriptionFailed);
            let after = actions.iter().find_map(|action| match action {
                Action::SetTimer { after, .. } => Some(*after),
                _ => None,
            });
            assert!(
                after.is_some_and(|after| after <= 2 * SECOND),
                "seed {seed}, {failures} failures: {after:?}"
            );
        }
    }
}
