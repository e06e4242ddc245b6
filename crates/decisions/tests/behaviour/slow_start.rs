//! What servers in slow start are sent.

use crate::common::*;
use woadstall_decisions::api::*;

/// A server in slow start that reports no calls in flight got only its share of the proposals, and stood idle in a loaded zone.
#[test]
fn probed_server_in_slow_start_gets_up_to_half_its_overload_multiple() {
    let calls_to_the_warming_one = |slow_start_overload: f64| {
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
    // 50 calls a second over 8 servers, at 0.25 to 0.55 of its capacity for 4 s: some 10.
    let (plain, eased) = (calls_to_the_warming_one(2.0), calls_to_the_warming_one(4.0));
    assert!((7..=13).contains(&plain), "{plain}");
    assert!(
        (plain * 3 / 2..=plain * 5 / 2).contains(&eased),
        "{eased} against {plain}"
    );
}

/// After an outage of all servers nothing was served lately, and by that alone all that came back in slow start were kept
/// waiting past their return: of two hundred calls a second none was sent in the first three.
#[test]
fn servers_in_slow_start_after_an_outage_get_what_they_have_proven() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    harness.warm_up(2_000); // fifty answers a second for forty seconds
    for _ in 0..400 {
        harness.now += 50 * MS;
        harness.run(SAFE, |_| Outcome::ConnectFailed);
    }
    let born = harness.now;
    let back: Vec<_> = zones(1, 4)
        .into_iter()
        .map(|e| ServerEntry {
            started: Some(born),
            ..e
        })
        .collect();
    harness.handle(Event::ServerList(&back));
    let mut sent_by = [0, 0];
    for call in 0..600 {
        harness.now += 5 * MS;
        sent_by[call / 300] += u32::from(harness.serve(SAFE, MS / 10).is_some());
    }
    // They start with a quarter and are warm after ten seconds: 14 to 25 calls a second is their warm share, up to
    // 1.8 times as many are sent, of 200 that are asked for; three times as many would push them over.
    let first = f64::from(sent_by[0]) / 1.53;
    assert!(
        first > 14.0 && first < 40.0,
        "{first} a second at first, {sent_by:?}"
    );
    assert!(sent_by[1] > sent_by[0], "{sent_by:?}");
}

/// Guards restarts during a release: a balancer that knows nothing yet still uses servers that are all in slow start.
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
