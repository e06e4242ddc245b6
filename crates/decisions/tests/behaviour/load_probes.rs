//! Tests of load probes, which are sent to servers before a call.

use crate::common::*;
use woadstall_decisions::api::*;

/// Guards the choice of servers at a balancer with one call per second, whose own counts do not
/// show the load that other balancers put on a server.
#[test]
fn least_loaded_of_the_probed_servers_gets_the_call() {
    let mut harness = Harness::new(probing_settings(), &zones(2, 6));
    for _ in 0..20 {
        let (id, actions) = harness.request(UNSAFE);
        assert_eq!(
            sent_to(&actions),
            None,
            "nothing is sent before the probed servers have reported"
        );
        let candidates = probed_servers(&actions);
        assert!(
            candidates.len() == 4 && candidates.iter().all(|&server| server < 6),
            "{candidates:?}"
        );
        let mut last = Vec::new();
        for (position, &server) in candidates.iter().enumerate() {
            let load = if position == 2 { 0.0 } else { 3.0 };
            last = harness.handle(Event::ProbeEnded(
                ServerId(server),
                Outcome::Ok,
                load_report(load),
            ));
        }
        assert_eq!(sent_to(&last), Some(candidates[2]));
        harness.now += 20 * MS;
        harness.end(id, 0, Outcome::Ok, 20 * MS);
    }
}

/// Guards against waiting for stalled or dead servers, which do not report their load: the wait
/// would cost more than a bad choice of server.
#[test]
fn server_without_load_report_is_passed_over_after_a_short_wait() {
    let mut harness = Harness::new(probing_settings(), &zones(1, 6));
    let (_, actions) = harness.request(SAFE);
    let candidates = probed_servers(&actions);
    let timer = actions.iter().find_map(|action| match action {
        Action::SetTimer { after, token } => Some((*after, *token)),
        _ => None,
    });
    let (after, token) = timer.expect("a timer that ends the wait");
    assert!(after <= 10 * MS);
    harness.handle(Event::ProbeEnded(
        ServerId(candidates[1]),
        Outcome::Ok,
        load_report(5.0),
    ));
    harness.handle(Event::ProbeEnded(
        ServerId(candidates[3]),
        Outcome::Timeout,
        None,
    ));
    harness.now += after;
    assert_eq!(
        sent_to(&harness.handle(Event::Timer(token))),
        Some(candidates[1])
    );
    assert_eq!(
        sent_to(&harness.handle(Event::Timer(token))),
        None,
        "a stale timer sends nothing again"
    );
}

/// Guards against probing for requests with less time left than the probes take: such requests got
/// no response before their deadline.
#[test]
fn request_with_hardly_any_time_left_is_sent_without_probes() {
    let mut harness = Harness::new(probing_settings(), &zones(1, 6));
    let parameters = RequestParameters {
        class: SAFE,
        tenant: 0,
        time_left: MS,
        work: None,
        max_attempts: u32::MAX,
    };
    let actions = harness.handle(Event::Request(RequestId(7), parameters));
    assert!(
        sent_to(&actions).is_some() && probed_servers(&actions).is_empty(),
        "{actions:?}"
    );
}

/// Guards against sending to a server that began to drain while it was probed, although it reports
/// the lowest load.
#[test]
fn server_drained_while_it_was_probed_gets_nothing() {
    let mut harness = Harness::new(probing_settings(), &zones(1, 6));
    let (_, actions) = harness.request(SAFE);
    let candidates = probed_servers(&actions);
    let drained = ServerEntry {
        lifecycle: Lifecycle::Draining,
        ..entry(candidates[0], 0)
    };
    harness.handle(Event::ServerListChange(&[drained]));
    let mut last = Vec::new();
    for &server in &candidates {
        let load = if server == candidates[0] { 0.0 } else { 9.0 };
        last = harness.handle(Event::ProbeEnded(
            ServerId(server),
            Outcome::Ok,
            load_report(load),
        ));
    }
    assert!(
        sent_to(&last).is_some_and(|server| server != candidates[0]),
        "{last:?}"
    );
}

/// Guards against sending calls that would end after their deadline behind a long queue: they ran
/// nevertheless and delayed the following calls until none ended in time.
#[test]
fn call_that_no_probed_server_can_finish_in_time_is_rejected() {
    let mut harness = Harness::new(probing_settings(), &zones(1, 6));
    let call = |harness: &mut Harness, load: f32| {
        let (id, actions) = harness.request(UNSAFE);
        let mut last = Vec::new();
        for server in probed_servers(&actions) {
            last = harness.handle(Event::ProbeEnded(
                ServerId(server),
                Outcome::Ok,
                load_report(load),
            ));
        }
        (id, last)
    };
    for load in [0.0, 1.0, 2.0].repeat(10) {
        let (id, actions) = call(&mut harness, load);
        assert!(sent_to(&actions).is_some());
        let latency = (load as u64 + 1) * 100 * MS;
        harness.now += latency;
        harness.end(id, 0, Outcome::Ok, latency);
    }
    assert!(
        sent_to(&call(&mut harness, 10.0).1).is_some(),
        "eleven times 100 ms is within 2 s"
    );
    assert!(
        is_rejected(&call(&mut harness, 30.0).1),
        "thirty-one times 100 ms is not"
    );
}

/// Guards against probes that cost more than they gain: with expensive probes, probing four servers
/// per call costs more than the better choice of server is worth.
#[test]
fn expensive_probes_are_not_sent() {
    let mut harness = Harness::new(
        Settings {
            probe_cost: 0.01,
            ..probing_settings()
        },
        &zones(1, 6),
    );
    let (_, actions) = harness.request(SAFE);
    assert!(
        sent_to(&actions).is_some() && probed_servers(&actions).is_empty(),
        "{actions:?}"
    );
}
