//! Tests of the subscription to discovery and of the server list.

use crate::common::*;
use woadstall_decisions::api::*;

fn subscribing_settings() -> Settings {
    Settings {
        subscribes_to_discovery: true,
        ..settings()
    }
}

/// Guards against unbounded growth of the server table: when servers were continually replaced, all
/// servers ever listed were kept, and each server list took longer to process.
#[test]
fn removed_servers_are_forgotten() {
    let mut harness = Harness::new(settings(), &zones(3, 1));
    let mut sizes = Vec::new();
    for round in 1..200 {
        // An attempt is in flight at a server that is removed; its end still finds the server.
        let (id, actions) = harness.request(KEYED_ZONE);
        let first = sent_to(&actions).expect("sent");
        let list: Vec<ServerEntry> = (0..3)
            .map(|zone| entry(3 * round + u32::from(zone), zone))
            .collect();
        harness.handle(Event::ServerList(&list));
        harness.now += 20 * MS;
        // The retry budget does not allow a retry in every round.
        if let Some(again) = sent_to(&harness.end(id, 0, Outcome::Error, 20 * MS)) {
            assert_eq!(
                again % 3,
                first % 3,
                "the key is known in the zone of the first attempt only"
            );
            harness.end(id, 1, Outcome::Ok, 20 * MS);
        }
        sizes.push(format!("{:?}", harness.balancer).len());
    }
    assert!(
        sizes[198] < 2 * sizes[4],
        "{} then {}",
        sizes[4],
        sizes[198]
    );
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

/// Guards against delays that exceed the 6 s after which a balancer counts as notified of a change,
/// regardless of the number of failures before.
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
