//! Tests of discovery failures. The balancer must apply a change of the discovery list within six seconds
//! of the time at which the discovery service can deliver it.

mod common;

use common::*;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::*;
use woadstall_mock_servers::stalled_listener::StalledListener;

/// Time limit for a change of the list to reach the balancer.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);

/// Starts a discovery service whose response depends on the number of the call, from 0; it records each call.
fn scripted_discovery(
    respond: impl Fn(usize, &Message) -> Reaction + Send + Sync + 'static,
) -> Upstream {
    let calls = AtomicUsize::new(0);
    Upstream::start(move |message| respond(calls.fetch_add(1, Ordering::SeqCst), message))
}

fn complete_list(rev: u64, targets: &[String]) -> String {
    format!(
        r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#,
        targets.join(",")
    )
}

fn with_polling(mut config: Value) -> Value {
    config["settings"]["Discovery"] = json!("ask");
    config["settings"]["Safety"]["AskWithinNs"] = json!(10_000_000_000_u64);
    config
}

/// Two upstreams: the balancer starts with `former`, and the list of discovery contains only `new`.
struct UpstreamPair {
    former: Upstream,
    new: Upstream,
}

impl UpstreamPair {
    fn start() -> Self {
        let start =
            |text: &'static str| Upstream::start(move |_| Reaction::Respond(ok_response(text)));
        Self {
            former: start("old"),
            new: start("new"),
        }
    }

    fn list(&self, rev: u64) -> String {
        complete_list(rev, &[target("s-new", self.new.address, "in_service")])
    }

    fn config(&self, discovery: std::net::SocketAddr) -> Value {
        config(
            discovery,
            &[target("s-old", self.former.address, "in_service")],
        )
    }

    /// Waits until the balancer applies the list, and asserts that the former upstream gets no more calls.
    fn assert_list_applied(&self, program: &Program) {
        wait_until("the balancer applies the list", || {
            program.call("look").body == b"new"
        });
        for _ in 0..4 {
            assert_eq!(program.call("look").body, b"new");
        }
    }
}

/// The first watch gets no response, and neither does the watch that replaces it.
#[test]
fn two_unresponsive_polls_in_a_row_are_given_up_in_time() {
    let pair = UpstreamPair::start();
    let list = pair.list(5);
    let discovery = scripted_discovery(move |call, _| match call {
        0 | 1 => Reaction::Stall,
        2 => Reaction::Respond(ok_response(&list)),
        _ => Reaction::Stall,
    });
    let program = Program::start(&pair.config(discovery.address));
    discovery.request();
    let stalled_since = Instant::now();
    discovery.request();
    discovery.request();
    assert!(
        stalled_since.elapsed() < NOTIFICATION_TIMEOUT,
        "the third call comes after {:?}",
        stalled_since.elapsed()
    );
    pair.assert_list_applied(&program);
}

/// In polling mode, a watch counts as failed 2 s after its requested wait. The balancer must then repeat
/// the watch at once, without waiting for the next polling interval.
#[test]
fn an_unresponsive_poll_of_a_shared_service_is_repeated_in_time() {
    let pair = UpstreamPair::start();
    let list = pair.list(5);
    let discovery = scripted_discovery(move |call, _| match call {
        0 => Reaction::Stall,
        1 => Reaction::Respond(ok_response(&list)),
        _ => Reaction::Stall,
    });
    let program = Program::start(&with_polling(pair.config(discovery.address)));
    let watch = discovery.request();
    let stalled_since = Instant::now();
    let wait_ms: f64 = watch
        .start_line
        .split("wait_ms=")
        .nth(1)
        .unwrap()
        .split(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    discovery.request();
    let delay_s = stalled_since.elapsed().as_secs_f64() - wait_ms / 1e3;
    assert!(
        (0.0..1.5).contains(&delay_s),
        "the watch is repeated {delay_s:.2} s after the end of its wait"
    );
    pair.assert_list_applied(&program);
}

/// Balancers that start at the same time must not poll in lockstep, so each watch has a random wait.
#[test]
fn polls_of_a_shared_service_are_spread() {
    let unchanged = r#"{"rev":1,"all":false,"targets":[]}"#;
    let discovery = scripted_discovery(move |_, _| Reaction::Respond(ok_response(unchanged)));
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("")));
    let _program = Program::start(&with_polling(config(
        discovery.address,
        &in_service(&[&upstream]),
    )));
    let waits: std::collections::HashSet<String> =
        (0..8).map(|_| discovery.request().start_line).collect();
    assert!(waits.len() > 4, "{waits:?}");
}

/// In polling mode, the timeout of a connection attempt must be shorter than that of a watch.
#[test]
fn a_connection_that_is_never_established_is_given_up_in_time() {
    let pair = UpstreamPair::start();
    let listener = StalledListener::start();
    let mut program = Program::start(&with_polling(pair.config(listener.address())));
    listener.wait_until_connecting();
    let connecting_since = Instant::now();
    program.wait_for_log("discovery_failed error=");
    assert!(
        connecting_since.elapsed() < NOTIFICATION_TIMEOUT,
        "{:?}",
        connecting_since.elapsed()
    );
}

/// The balancer must accept indented JSON, chunked bodies, bodies that end with the connection, and
/// responses that arrive in two parts.
#[test]
fn lists_may_come_in_any_form() {
    let pair = UpstreamPair::start();
    let list = pair.list(5);
    let indented =
        serde_json::to_string_pretty(&serde_json::from_str::<Value>(&list).unwrap()).unwrap();
    let chunks: String = list
        .as_bytes()
        .chunks(7)
        .map(|chunk| {
            format!(
                "{:x}\r\n{}\r\n",
                chunk.len(),
                String::from_utf8_lossy(chunk)
            )
        })
        .collect();
    let closing = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{list}");
    let forms = [
        Reaction::Respond(ok_response(&indented)),
        Reaction::Respond(format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
        )),
        Reaction::RespondAndClose(closing),
        Reaction::RespondWithSurplus(
            ok_response(&list)[..40].to_owned(),
            ok_response(&list)[40..].to_owned(),
        ),
    ];
    for form in forms {
        let discovery = scripted_discovery(move |call, _| {
            if call == 0 {
                form.clone()
            } else {
                Reaction::Stall
            }
        });
        pair.assert_list_applied(&Program::start(&pair.config(discovery.address)));
    }
}

/// After a closed connection, an error status, a truncated body or an invalid document, the balancer must
/// keep its list and repeat the call in time.
#[test]
fn failed_calls_are_made_again() {
    let pair = UpstreamPair::start();
    let list = pair.list(5);
    let truncated = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
        list.len(),
        &list[..list.len() / 2]
    );
    let failures = [
        Reaction::RespondAndClose(String::new()),
        Reaction::Respond("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into()),
        Reaction::RespondAndClose(truncated),
        Reaction::Respond(ok_response("{\"rev\":")),
        Reaction::Respond(ok_response("[]")),
    ];
    for uses_polling in [false, true] {
        for failure in failures.clone() {
            let list = list.clone();
            let discovery = scripted_discovery(move |call, _| match call {
                0 => failure.clone(),
                1 => Reaction::Respond(ok_response(&list)),
                _ => Reaction::Stall,
            });
            let config = pair.config(discovery.address);
            let program = Program::start(&if uses_polling {
                with_polling(config)
            } else {
                config
            });
            discovery.request();
            let failed = Instant::now();
            assert_eq!(program.call("look").body, b"old", "the list stays");
            discovery.request();
            assert!(failed.elapsed() < NOTIFICATION_TIMEOUT);
            pair.assert_list_applied(&program);
        }
    }
}

/// A complete list in response to a watch replaces the current list, whatever its version.
#[test]
fn a_complete_list_removes_what_it_does_not_name() {
    for rev in [0, 1, 9] {
        let pair = UpstreamPair::start();
        let list = pair.list(rev);
        let discovery = scripted_discovery(move |call, _| match call {
            0 => Reaction::Respond(ok_response(&list)),
            _ => Reaction::Stall,
        });
        pair.assert_list_applied(&Program::start(&pair.config(discovery.address)));
    }
}

/// Discovery repeatedly answers with an older version and never with a complete list. The balancer must
/// not poll in a tight loop.
#[test]
fn invalid_versions_are_not_polled_in_a_loop() {
    let discovery = scripted_discovery(|_, _| {
        Reaction::Respond(ok_response(r#"{"rev":0,"all":false,"targets":[]}"#))
    });
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("")));
    let config = config(discovery.address, &in_service(&[&upstream]));
    let _program = Program::start(&config);
    discovery.request();
    let began = Instant::now();
    let mut calls = 0;
    while began.elapsed() < Duration::from_secs(1) {
        discovery.request();
        calls += 1;
    }
    assert!(calls < 60, "{calls} calls in a second");
}

/// After a SIGHUP changes the discovery address, the balancer must ignore responses from the former address,
/// and accept a lower version from the new address.
#[test]
fn a_late_response_of_the_former_address_is_dropped() {
    let pair = UpstreamPair::start();
    let late_response = Arc::new(Barrier::new(2));
    let (response_barrier, former_list) = (
        late_response.clone(),
        complete_list(90, &[target("s-old", pair.former.address, "in_service")]),
    );
    let former = scripted_discovery(move |call, _| match call {
        0 => Reaction::Respond(ok_response(&former_list)),
        1 => {
            response_barrier.wait();
            Reaction::Respond(ok_response(&complete_list(91, &[])))
        }
        _ => Reaction::Stall,
    });
    let list = pair.list(2);
    let next = scripted_discovery(move |call, _| {
        if call == 0 {
            Reaction::Respond(ok_response(&list))
        } else {
            Reaction::Stall
        }
    });
    let before = pair.config(former.address);
    let program = Program::start(&before);
    former.request();
    former.request();
    let mut after = before.clone();
    after["discovery"] = next.address.to_string().into();
    let signal = Instant::now();
    program.reload(&after.to_string());
    assert!(
        next.request()
            .start_line
            .starts_with("GET /v1/servers HTTP"),
        "the balancer requests the complete list at once"
    );
    assert!(signal.elapsed() < Duration::from_secs(4));
    pair.assert_list_applied(&program);
    late_response.wait();
    former.wait_until_closed();
    pair.assert_list_applied(&program);
}

/// The balancer starts with a list of unreachable upstreams while discovery is down. It must be ready at
/// once, and serve calls when discovery recovers.
#[test]
fn ready_at_once_with_a_stale_list_and_discovery_down() {
    let pair = UpstreamPair::start();
    let list = Arc::new(Mutex::new(None::<String>));
    let current_list = list.clone();
    let discovery = Upstream::start(move |_| match current_list.lock().unwrap().clone() {
        Some(list) => Reaction::Respond(ok_response(&list)),
        None => Reaction::RespondAndClose(String::new()),
    });
    let stale = config(
        discovery.address,
        &[target("s-gone", refused_address(), "in_service")],
    );
    let program = Program::start(&stale);
    let mut health_checker = program.connect();
    health_checker.write("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n");
    assert_eq!(
        health_checker.read_response().expect("an answer").status(),
        200
    );
    discovery.request();
    assert_eq!(
        program.call("post").status(),
        503,
        "the call was not executed, so that a retry is safe"
    );
    *list.lock().unwrap() = Some(pair.list(9));
    pair.assert_list_applied(&program);
}

/// Discovery refuses each call from the start on. The balancer must serve with its initial list, log the
/// failure repeatedly and count it in the metrics.
#[test]
fn discovery_that_fails_from_the_start_is_reported_again_and_counted() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("served")));
    let (mut program, admin) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    program.wait_for_log("discovery_failed error=");
    program.wait_for_log("discovery_failing seconds=1 failures=");
    let second_reminder = program.wait_for_log("discovery_failing seconds=");
    assert!(second_reminder.contains("seconds=3 "), "{second_reminder}");
    assert_eq!(program.call("look").body, b"served");
    let metrics = admin.metrics();
    assert!(
        metrics["balancer_discovery_failures"] >= 10.0,
        "{metrics:?}"
    );
    assert!(metrics["balancer_list_age_seconds"] >= 3.0, "{metrics:?}");
}

/// Discovery accepts calls without a response at first and responds later. The balancer must log the
/// failure, and apply the list with the first response.
#[test]
fn discovery_that_answers_late_is_used() {
    let pair = UpstreamPair::start();
    let list = pair.list(5);
    let is_responding = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let responds = is_responding.clone();
    let discovery = scripted_discovery(move |_, _| match responds.load(Ordering::SeqCst) {
        true => Reaction::Respond(ok_response(&list)),
        false => Reaction::Stall,
    });
    let (mut program, admin) = Program::start_with_admin(&pair.config(discovery.address));
    program.wait_for_log("discovery_failed error=\"no answer in time\"");
    let reminder = program.wait_for_log("discovery_failing seconds=");
    assert!(
        reminder.contains("failures=2 error=\"no answer in time\""),
        "{reminder}"
    );
    assert!(admin.metrics()["balancer_list_age_seconds"] >= 3.0);
    assert_eq!(program.call("look").body, b"old");
    is_responding.store(true, Ordering::SeqCst);
    program.wait_for_log("discovery_recovered failures=");
    pair.assert_list_applied(&program);
    assert!(admin.metrics()["balancer_list_age_seconds"] < 2.0);
}
