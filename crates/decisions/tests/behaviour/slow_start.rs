//! Tests of slow start.

use crate::common::*;
use woadstall_decisions::api::*;

/// Guards against idle servers in a loaded zone: a server in slow start that reports no calls in
/// flight got only its share of the proposals.
#[test]
fn probed_server_in_slow_start_gets_up_to_half_its_overload_multiple() {
    let calls_in_slow_start = |slow_start_overload: f64| {
        let mut harness = Harness::new(
            Settings {
                slow_start_overload,
                ..probing_settings()
            },
            &zones(1, 8),
        );
        let mut served = 0;
        for call in 0..400 {
            if call == 200 {
                let started = Some(harness.now);
                harness.handle(Event::ServerListChange(&[ServerEntry {
                    started,
                    ..entry(3, 0)
                }]));
            }
            let (id, mut actions) = harness.request(UNSAFE);
            for server in probed_servers(&actions) {
                let load = if server == 3 { 0.0 } else { 1.0 };
                actions.extend(harness.handle(Event::ProbeEnded(
                    ServerId(server),
                    Outcome::Ok,
                    load_report(load),
                )));
            }
            let server = sent_to(&actions).expect("a server is free");
            served += u32::from(call >= 200 && server == 3);
            harness.now += 20 * MS;
            harness.end(id, 0, Outcome::Ok, 20 * MS);
        }
        served
    };
    // 50 calls per second over 8 servers, at 0.25 to 0.55 of its capacity for 4 s, are about 10.
    let (plain, doubled) = (calls_in_slow_start(2.0), calls_in_slow_start(4.0));
    assert!((7..=13).contains(&plain), "{plain}");
    assert!(
        (plain * 3 / 2..=plain * 5 / 2).contains(&doubled),
        "{doubled} against {plain}"
    );
}

/// Guards the return of all servers after an outage. There were no recent responses, so servers in
/// slow start got no budget: of 200 calls per second, none was sent in the first three seconds.
#[test]
fn servers_in_slow_start_after_an_outage_get_what_they_have_proven() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    harness.warm_up(2_000); // 50 responses per second for 40 seconds
    for _ in 0..400 {
        harness.now += 50 * MS;
        harness.run(SAFE, |_| Outcome::ConnectFailed);
    }
    let restarted_at = harness.now;
    let restarted: Vec<_> = zones(1, 4)
        .into_iter()
        .map(|entry| ServerEntry {
            started: Some(restarted_at),
            ..entry
        })
        .collect();
    harness.handle(Event::ServerList(&restarted));
    let mut sent_by_phase = [0, 0];
    for call in 0..600 {
        harness.now += 5 * MS;
        sent_by_phase[call / 300] += u32::from(harness.serve(SAFE, MS / 10).is_some());
    }
    // The servers start with a quarter of their capacity and are warm after ten seconds. Their warm
    // share is 14 to 25 of the 200 calls per second; up to 1.8 times as many are sent, and three
    // times as many would overload the servers.
    let first_rate = f64::from(sent_by_phase[0]) / 1.53;
    assert!(
        first_rate > 14.0 && first_rate < 40.0,
        "{first_rate} per second at first, {sent_by_phase:?}"
    );
    assert!(sent_by_phase[1] > sent_by_phase[0], "{sent_by_phase:?}");
}

/// Guards restarts during a release: a balancer without measurements still uses servers that are
/// all in slow start.
#[test]
fn new_balancer_uses_a_fleet_in_slow_start() {
    let mut list = zones(3, 1);
    list.iter_mut()
        .for_each(|entry| entry.started = Some(SECOND / 2));
    let mut harness = Harness::new(settings(), &list);
    let served = (0..200)
        .filter_map(|_| harness.serve(SAFE, 20 * MS))
        .count();
    assert!(
        served > 40,
        "{served} of 200 calls in 4 s, at a quarter of the capacity and more"
    );
}
