//! Discovery that fails in all its ways. It owes nothing while it cannot be reached; the balancer owes to act on what
//! discovery had and could tell within six seconds.

mod common;

use common::*;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::*;
use woadstall_mock_servers::stalled_listener::StalledListener;

/// How long a change of the list may take to reach the balancer.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);

/// Discovery that answers its calls by number with what is written here; each call is seen.
fn scripted(answer: impl Fn(usize, &Message) -> Reaction + Send + Sync + 'static) -> Upstream {
    let calls = AtomicUsize::new(0);
    Upstream::start(move |message| answer(calls.fetch_add(1, Ordering::SeqCst), message))
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

/// Two upstreams: the balancer starts with the one, and the list of discovery names the other alone.
struct Two {
    former: Upstream,
    new: Upstream,
}

impl Two {
    fn start() -> Self {
        let answering =
            |text: &'static str| Upstream::start(move |_| Reaction::Respond(ok_response(text)));
        Self {
            former: answering("old"),
            new: answering("new"),
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

    /// Waits until the list is acted on, and checks that nothing goes back to the old one.
    fn taken(&self, program: &Program) {
        until("the list is acted on", || {
            program.call("look").body == b"new"
        });
        for _ in 0..4 {
            assert_eq!(program.call("look").body, b"new");
        }
    }
}

/// A watch that falls silent, and the one that is opened anew as well.
#[test]
fn two_unresponsive_polls_in_a_row_are_given_up_in_time() {
    let two = Two::start();
    let list = two.list(5);
    let discovery = scripted(move |call, _| match call {
        0 | 1 => Reaction::Stall,
        2 => Reaction::Respond(ok_response(&list)),
        _ => Reaction::Stall,
    });
    let program = Program::start(&two.config(discovery.address));
    discovery.request();
    let silent = Instant::now();
    discovery.request();
    discovery.request();
    assert!(
        silent.elapsed() < NOTIFICATION_TIMEOUT,
        "the third call comes after {:?}",
        silent.elapsed()
    );
    two.taken(&program);
}

/// Where discovery is asked, a watch may wait, and a change counts as told 2 s after that wait: a silent one is opened anew
/// at once, with no wait for a turn before it.
#[test]
fn an_unresponsive_poll_of_a_shared_service_is_repeated_in_time() {
    let two = Two::start();
    let list = two.list(5);
    let discovery = scripted(move |call, _| match call {
        0 => Reaction::Stall,
        1 => Reaction::Respond(ok_response(&list)),
        _ => Reaction::Stall,
    });
    let program = Program::start(&with_polling(two.config(discovery.address)));
    let watch = discovery.request();
    let silent = Instant::now();
    let wait: f64 = watch
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
    let late = silent.elapsed().as_secs_f64() - wait / 1e3;
    assert!(
        (0.0..1.5).contains(&late),
        "opened anew {late:.2} s after its wait"
    );
    two.taken(&program);
}

/// Balancers that start together do not come together again and again: each watch has its own wait.
#[test]
fn polls_of_a_shared_service_are_spread() {
    let unchanged = r#"{"rev":1,"all":false,"targets":[]}"#;
    let discovery = scripted(move |_, _| Reaction::Respond(ok_response(unchanged)));
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("")));
    let _program = Program::start(&with_polling(config(
        discovery.address,
        &in_service(&[&upstream]),
    )));
    let waits: std::collections::HashSet<String> =
        (0..8).map(|_| discovery.request().start_line).collect();
    assert!(waits.len() > 4, "{waits:?}");
}

/// Where discovery is asked: a dial that never comes up is given up, not waited for as long as a watch.
#[test]
fn a_connection_that_is_never_established_is_given_up_in_time() {
    let two = Two::start();
    let late = StalledListener::start();
    let mut program = Program::start(&with_polling(two.config(late.address())));
    late.wait_until_connecting();
    let dialled = Instant::now();
    program.logged("discovery_failed error=");
    assert!(
        dialled.elapsed() < NOTIFICATION_TIMEOUT,
        "{:?}",
        dialled.elapsed()
    );
}

/// The forms that the protocol allows, and a connection that ends after the answer.
#[test]
fn lists_may_come_in_any_form() {
    let two = Two::start();
    let list = two.list(5);
    let indented =
        serde_json::to_string_pretty(&serde_json::from_str::<Value>(&list).unwrap()).unwrap();
    let chunks: String = list
        .as_bytes()
        .chunks(7)
        .map(|c| format!("{:x}\r\n{}\r\n", c.len(), String::from_utf8_lossy(c)))
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
        let discovery = scripted(move |call, _| {
            if call == 0 {
                form.clone()
            } else {
                Reaction::Stall
            }
        });
        two.taken(&Program::start(&two.config(discovery.address)));
    }
}

/// What breaks a call: none of it keeps the next one waiting, and none of it changes the list.
#[test]
fn failed_calls_are_made_again() {
    let two = Two::start();
    let list = two.list(5);
    let half = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
        list.len(),
        &list[..list.len() / 2]
    );
    let failures = [
        Reaction::RespondAndClose(String::new()),
        Reaction::Respond("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into()),
        Reaction::RespondAndClose(half),
        Reaction::Respond(ok_response("{\"rev\":")),
        Reaction::Respond(ok_response("[]")),
    ];
    for asking in [false, true] {
        for failure in failures.clone() {
            let list = list.clone();
            let discovery = scripted(move |call, _| match call {
                0 => failure.clone(),
                1 => Reaction::Respond(ok_response(&list)),
                _ => Reaction::Stall,
            });
            let config = two.config(discovery.address);
            let program = Program::start(&if asking { with_polling(config) } else { config });
            discovery.request();
            let failed = Instant::now();
            assert_eq!(program.call("look").body, b"old", "the list stays");
            discovery.request();
            assert!(failed.elapsed() < NOTIFICATION_TIMEOUT);
            two.taken(&program);
        }
    }
}

/// A whole list that is answered to a watch removes what it does not name, whatever its version.
#[test]
fn a_complete_list_removes_what_it_does_not_name() {
    for rev in [0, 1, 9] {
        let two = Two::start();
        let list = two.list(rev);
        let discovery = scripted(move |call, _| match call {
            0 => Reaction::Respond(ok_response(&list)),
            _ => Reaction::Stall,
        });
        two.taken(&Program::start(&two.config(discovery.address)));
    }
}

/// Versions that go back again and again, with never a whole list: nonsense is not asked for in a loop.
#[test]
fn nonsense_is_not_polled_in_a_loop() {
    let discovery =
        scripted(|_, _| Reaction::Respond(ok_response(r#"{"rev":0,"all":false,"targets":[]}"#)));
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

/// After a SIGHUP, what the former address still answers is dropped, and a lower version at the new one is no error.
#[test]
fn a_late_response_of_the_former_address_is_dropped() {
    let two = Two::start();
    let answering = Arc::new(Barrier::new(2));
    let (hold, former_list) = (
        answering.clone(),
        complete_list(90, &[target("s-old", two.former.address, "in_service")]),
    );
    let former = scripted(move |call, _| match call {
        0 => Reaction::Respond(ok_response(&former_list)),
        1 => {
            hold.wait();
            Reaction::Respond(ok_response(&complete_list(91, &[])))
        }
        _ => Reaction::Stall,
    });
    let list = two.list(2);
    let next = scripted(move |call, _| {
        if call == 0 {
            Reaction::Respond(ok_response(&list))
        } else {
            Reaction::Stall
        }
    });
    let before = two.config(former.address);
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
        "the whole list, at once"
    );
    assert!(signal.elapsed() < Duration::from_secs(4));
    two.taken(&program);
    answering.wait();
    former.wait_until_closed();
    two.taken(&program);
}

/// A start with a list whose upstreams are all gone, while discovery is down: ready at once, and served when it is back.
#[test]
fn ready_at_once_with_a_stale_list_and_discovery_down() {
    let two = Two::start();
    let list = Mutex::new(None::<String>);
    let list = Arc::new(list);
    let told = list.clone();
    let discovery = Upstream::start(move |_| match told.lock().unwrap().clone() {
        Some(list) => Reaction::Respond(ok_response(&list)),
        None => Reaction::RespondAndClose(String::new()),
    });
    let stale = config(
        discovery.address,
        &[target("s-gone", refused_address(), "in_service")],
    );
    let program = Program::start(&stale);
    let mut front = program.connect();
    front.write("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n");
    assert_eq!(front.read_response().expect("an answer").status(), 200);
    discovery.request();
    assert_eq!(
        program.call("post").status(),
        503,
        "it never ran, and trying again is harmless"
    );
    *list.lock().unwrap() = Some(two.list(9));
    two.taken(&program);
}

/// Discovery that refuses each call from the start on: the balancer serves with the list that it was started with, says so
/// again and again, and has figures for it.
#[test]
fn discovery_that_fails_from_the_start_is_reported_again_and_counted() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("served")));
    let (mut program, admin) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    program.logged("discovery_failed error=");
    program.logged("discovery_failing seconds=1 failures=");
    let second = program.logged("discovery_failing seconds=");
    assert!(second.contains("seconds=3 "), "{second}");
    assert_eq!(program.call("look").body, b"served");
    let figures = admin.figures();
    assert!(
        figures["balancer_discovery_failures"] >= 10.0,
        "{figures:?}"
    );
    assert!(figures["balancer_list_age_seconds"] >= 3.0, "{figures:?}");
}

/// Discovery that takes calls and never answers them, from the start on, and answers at last: what it has is used at once.
#[test]
fn discovery_that_answers_at_last_is_used() {
    let two = Two::start();
    let list = two.list(5);
    let answers = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let answering = answers.clone();
    let discovery = scripted(move |_, _| match answering.load(Ordering::SeqCst) {
        true => Reaction::Respond(ok_response(&list)),
        false => Reaction::Stall,
    });
    let (mut program, admin) = Program::start_with_admin(&two.config(discovery.address));
    program.logged("discovery_failed error=\"no answer in time\"");
    let reminder = program.logged("discovery_failing seconds=");
    assert!(
        reminder.contains("failures=2 error=\"no answer in time\""),
        "{reminder}"
    );
    assert!(admin.figures()["balancer_list_age_seconds"] >= 3.0);
    assert_eq!(program.call("look").body, b"old");
    answers.store(true, Ordering::SeqCst);
    program.logged("discovery_recovered failures=");
    two.taken(&program);
    assert!(admin.figures()["balancer_list_age_seconds"] < 2.0);
}
