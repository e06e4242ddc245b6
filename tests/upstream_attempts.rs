//! Attempts whose connection comes up late, or whose answer comes early. The upstream owes nothing before the last byte
//! of a request; the balancer owes that nothing begins that is no longer wanted, and that the time told is the time left.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::*;
use woadstall_mock_servers::stalled_listener::StalledListener;

/// Longer than the kernel takes to dial again.
const DIALLED_AGAIN: Duration = Duration::from_secs(10);
/// How long a dial goes on by itself, as the configuration of the tests says.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Long enough for a dial that goes on to come up.
const NOTHING_COMES: Duration = Duration::from_secs(4);

/// The time that is told counts down while the connection comes up.
#[test]
fn the_budget_is_that_at_the_first_byte() {
    let mut late = StalledListener::start();
    let program = Program::start(&config(
        refused_address(),
        &[target("s-0", late.address(), "in_service")],
    ));
    let mut caller = program.connect();
    caller.send("look", "20", "");
    late.wait_until_connecting();
    let dialled = Instant::now();
    let stream = late.accept(DIALLED_AGAIN).expect("the connection");
    let took = dialled.elapsed();
    let request = Message::read(&mut BufReader::new(stream)).expect("the request");
    let told: f64 = request.headers["x-budget"].parse().unwrap();
    // Half, as the accepting side may hear of a connection late.
    assert!(
        told <= 20.0 - took.as_secs_f64() / 2.0,
        "told {told} after {took:?}"
    );
}

/// Where attempts may not be cancelled, one that has not begun is still given up with its caller.
#[test]
fn no_attempt_begins_for_a_caller_that_disconnected_while_connecting() {
    for cancelling in [true, false] {
        let mut late = StalledListener::start();
        let mut config = config(
            refused_address(),
            &[target("s-0", late.address(), "in_service")],
        );
        config["settings"]["Limits"]["Cancelling"] = cancelling.into();
        let program = Program::start(&config);
        let mut caller = program.connect();
        caller.send("post", LONG_BUDGET, "b");
        late.wait_until_connecting();
        drop(caller);
        late.wait_until_connect_abandoned(CONNECT_TIMEOUT / 2);
        assert!(
            late.accept(NOTHING_COMES).is_none(),
            "cancelling {cancelling}"
        );
    }
}

/// The second attempt of a keyed request is dialled within the window of the first, and comes up after it.
#[test]
fn a_keyed_request_is_not_retried_on_a_connection_established_after_its_window() {
    let (first_holds, first_ends) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let (holds, ends) = (first_holds.clone(), first_ends.clone());
    let first = Upstream::start(move |_| {
        holds.wait();
        ends.wait();
        Reaction::RespondAndClose(String::new())
    });
    let mut late = StalledListener::start();
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &in_service(&[&first]));
    // Less than the kernel waits before it dials again, and far more than a machine under load needs until then.
    config["settings"]["Classes"][1]["WindowNs"] = json!(900_000_000);
    discovery.set(&in_service(&[&first]));
    let program = Program::start(&config);
    discovery.wait_until_watched();
    let mut caller = program.connect();
    caller.send("pay", LONG_BUDGET, "b");
    first_holds.wait();
    discovery.publish(&[target("s-1", late.address(), "in_service")]);
    first_ends.wait();
    late.wait_until_connecting();
    let request = late
        .accept(DIALLED_AGAIN)
        .and_then(|stream| Message::read(&mut BufReader::new(stream)));
    assert!(request.is_none(), "sent after its window: {request:?}");
    assert_eq!(
        caller.read_response().expect("an answer").status(),
        502,
        "it may have run"
    );
}

/// An upstream that turns a request away before it has read it, and never reads the rest.
#[test]
fn an_early_response_is_taken_though_the_request_is_not_written_to_its_end() {
    let hasty = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = hasty.local_addr().unwrap();
    let served = Upstream::start(|_| Reaction::Respond(ok_response("served")));
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for mut stream in hasty.incoming().map_while(Result::ok) {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                head.push(byte[0]);
            }
            stream.write_all(overloaded_response().as_bytes()).unwrap();
            held.push(stream);
        }
    });
    let list = [
        target("s-hasty", address, "in_service"),
        target("s-0", served.address, "in_service"),
    ];
    let program = Program::start(&config(refused_address(), &list));
    let body = "b".repeat(16 << 20); // more than the buffers of both sockets
    for _ in 0..2 {
        let asked = Instant::now();
        let answer = program
            .connect()
            .call("post", "20", &body)
            .expect("an answer");
        assert_eq!(
            answer.status(),
            200,
            "turned away, then served, or served at once"
        );
        assert!(
            asked.elapsed() < Duration::from_secs(15),
            "not only when its time is over"
        );
    }
}
