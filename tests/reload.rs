//! Tests of settings that change while requests are in flight. To such a request, the stricter settings apply: those at
//! its arrival or those in force.

mod common;

use common::*;
use serde_json::{Value, json};
use std::sync::{Arc, Barrier};
use woadstall_mock_servers::http1::*;

/// An upstream that delays a request with the body `first` until the test breaks the attempt, and responds to
/// all other requests.
struct BreakingUpstream {
    upstream: Upstream,
    /// Released when the upstream has received the request.
    request_received: Arc<Barrier>,
    /// Released when the upstream must close the connection without a response.
    break_attempt: Arc<Barrier>,
}

impl BreakingUpstream {
    fn start() -> Self {
        let (request_received, break_attempt) =
            (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
        let (received, break_signal) = (request_received.clone(), break_attempt.clone());
        let upstream = Upstream::start(move |message| match message.body == b"first" {
            true => {
                received.wait();
                break_signal.wait();
                Reaction::RespondAndClose(String::new())
            }
            false => Reaction::Respond(ok_response("served")),
        });
        Self {
            upstream,
            request_received,
            break_attempt,
        }
    }
}

/// Changes the class `pay` by SIGHUP while a request with an idempotency key is pending at its upstream, and
/// then breaks the attempt. Returns the status of the response and the number of retries.
fn retry_after_change(change: impl Fn(&mut Value)) -> (u16, usize) {
    let BreakingUpstream {
        upstream,
        request_received,
        break_attempt,
    } = BreakingUpstream::start();
    let other = Upstream::start(|_| Reaction::Respond(ok_response("repeated")));
    let discovery = Discovery::start();
    let before = config(discovery.address, &in_service(&[&upstream]));
    discovery.set(&in_service(&[&upstream]));
    let mut program = Program::start(&before);
    discovery.wait_until_watched();
    let mut caller = program.connect();
    caller.send("pay", LONG_BUDGET, "first");
    request_received.wait();
    discovery.publish(&[target("s-other", other.address, "in_service")]);
    let mut after = before.clone();
    change(&mut after["settings"]["Classes"][1]);
    program.reload(&after.to_string());
    program.wait_for_log("configuration_applied discovery=");
    break_attempt.wait();
    let status = caller.read_response().expect("an answer").status();
    (status, other.count_requests())
}

#[test]
fn a_keyed_request_in_flight_is_retried_while_its_settings_stay() {
    assert_eq!(retry_after_change(|_| {}), (200, 1));
    // The longer window of the new settings does not apply to the request in flight.
    assert_eq!(
        retry_after_change(|class| class["WindowNs"] = json!(90_000_000_000_u64)),
        (200, 1)
    );
    // If the class becomes safe to repeat, retries of the request in flight stay allowed.
    assert_eq!(
        retry_after_change(|class| class["Effect"] = json!("read_like")),
        (200, 1)
    );
}

/// Guards rule 2 (no effect twice): upstreams may already apply the new settings, under which a retry is not safe.
#[test]
fn stricter_settings_apply_to_a_keyed_request_in_flight() {
    assert_eq!(
        retry_after_change(|class| class["Effect"] = json!("non_idempotent")),
        (502, 0)
    );
    assert_eq!(
        retry_after_change(|class| class["WindowNs"] = json!(1)),
        (502, 0)
    );
}

/// A change of the position or name of a class in the settings must not affect requests in flight.
#[test]
fn positions_and_names_may_change_while_requests_are_in_flight() {
    let BreakingUpstream {
        upstream,
        request_received,
        break_attempt,
    } = BreakingUpstream::start();
    for rename in [false, true] {
        let before = config(refused_address(), &in_service(&[&upstream]));
        let mut program = Program::start(&before);
        let mut caller = program.connect();
        caller.send("post", LONG_BUDGET, "first");
        request_received.wait();
        let mut after = before.clone();
        let classes = after["settings"]["Classes"].as_array_mut().unwrap();
        classes.reverse();
        if rename {
            classes[0]["Name"] = json!("send");
        }
        program.reload(&after.to_string());
        program.wait_for_log("configuration_applied discovery=");
        upstream.events.try_iter().for_each(drop);
        break_attempt.wait();
        assert_eq!(
            caller.read_response().expect("an answer").status(),
            502,
            "the request stays non-idempotent"
        );
        assert_eq!(
            upstream.count_requests(),
            0,
            "no retry, since the request may have been executed"
        );
        for class in ["look", "pay"] {
            assert_eq!(
                program.call(class).status(),
                200,
                "{class} keeps its settings"
            );
        }
        if rename {
            let request = request("post", LONG_BUDGET, "b").replace("post", "send");
            let mut caller = program.connect();
            caller.write(&request);
            assert_eq!(caller.read_response().expect("an answer").status(), 200);
        }
        upstream.events.try_iter().for_each(drop);
    }
}
