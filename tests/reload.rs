//! Settings that change while requests are under way. A request ends under what is stricter, the settings it came under
//! or those in force.

mod common;

use common::*;
use serde_json::{Value, json};
use std::sync::{Arc, Barrier};
use woadstall_mock_servers::http1::*;

/// An upstream that holds a request with the body `first` until the test lets its attempt break, and answers all others.
struct Breaking {
    upstream: Upstream,
    /// Passed once the request is held.
    pending: Arc<Barrier>,
    /// Passed when its attempt is to break.
    broken: Arc<Barrier>,
}

impl Breaking {
    fn start() -> Self {
        let (pending, broken) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
        let (hold, broke) = (pending.clone(), broken.clone());
        let upstream = Upstream::start(move |message| match message.body == b"first" {
            true => {
                hold.wait();
                broke.wait();
                Reaction::RespondAndClose(String::new())
            }
            false => Reaction::Respond(ok_response("served")),
        });
        Self {
            upstream,
            pending,
            broken,
        }
    }
}

/// A keyed request is held at its upstream, the class `pay` changes at a SIGHUP, and then the attempt breaks. Returns
/// the status that the caller gets, and how many attempts there were after the first.
fn changed_in_flight(change: impl Fn(&mut Value)) -> (u16, usize) {
    let Breaking {
        upstream,
        pending,
        broken,
    } = Breaking::start();
    let other = Upstream::start(|_| Reaction::Respond(ok_response("repeated")));
    let discovery = Discovery::start();
    let before = config(discovery.address, &in_service(&[&upstream]));
    discovery.set(&in_service(&[&upstream]));
    let mut program = Program::start(&before);
    discovery.wait_until_watched();
    let mut caller = program.connect();
    caller.send("pay", LONG_BUDGET, "first");
    pending.wait();
    discovery.publish(&[target("s-other", other.address, "in_service")]);
    let mut after = before.clone();
    change(&mut after["settings"]["Classes"][1]);
    program.reload(&after.to_string());
    program.logged("configuration_applied discovery=");
    broken.wait();
    let status = caller.read_response().expect("an answer").status();
    (status, other.count_requests())
}

#[test]
fn a_keyed_request_in_flight_is_retried_while_its_settings_stay() {
    assert_eq!(changed_in_flight(|_| {}), (200, 1));
    // A longer window is not its own.
    assert_eq!(
        changed_in_flight(|class| class["WindowNs"] = json!(90_000_000_000_u64)),
        (200, 1)
    );
    // Where repeats would be harmless now, they are harmless for it as well.
    assert_eq!(
        changed_in_flight(|class| class["Effect"] = json!("read_like")),
        (200, 1)
    );
}

/// Guards rule 2: upstreams may go by the new terms already.
#[test]
fn stricter_settings_apply_to_a_keyed_request_in_flight() {
    assert_eq!(
        changed_in_flight(|class| class["Effect"] = json!("non_idempotent")),
        (502, 0)
    );
    assert_eq!(
        changed_in_flight(|class| class["WindowNs"] = json!(1)),
        (502, 0)
    );
}

/// A class that changes its place in the settings, or its name, leaves the requests under way as they are.
#[test]
fn positions_and_names_may_change_while_requests_are_in_flight() {
    let Breaking {
        upstream,
        pending,
        broken,
    } = Breaking::start();
    for rename in [false, true] {
        let before = config(refused_address(), &in_service(&[&upstream]));
        let mut program = Program::start(&before);
        let mut caller = program.connect();
        caller.send("post", LONG_BUDGET, "first");
        pending.wait();
        let mut after = before.clone();
        let classes = after["settings"]["Classes"].as_array_mut().unwrap();
        classes.reverse();
        if rename {
            classes[0]["Name"] = json!("send");
        }
        program.reload(&after.to_string());
        program.logged("configuration_applied discovery=");
        upstream.events.try_iter().for_each(drop);
        broken.wait();
        assert_eq!(
            caller.read_response().expect("an answer").status(),
            502,
            "unsafe work stays so"
        );
        assert_eq!(upstream.count_requests(), 0, "it may have run");
        for class in ["look", "pay"] {
            assert_eq!(
                program.call(class).status(),
                200,
                "{class} means what it meant"
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
