//! Tests of attempts whose connection is established late, or whose response arrives early. The balancer must not begin
//! an attempt that is no longer needed, and must forward the budget that remains at the first byte of the request.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::*;
use woadstall_mock_servers::stalled_listener::StalledListener;

/// Longer than the interval after which the kernel retransmits a SYN.
const SYN_RETRANSMISSION: Duration = Duration::from_secs(10);
/// The connect timeout in the configuration of the tests.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Long enough for a connection attempt that was not abandoned to succeed.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

/// The forwarded budget must exclude the time until the connection is established.
#[test]
fn the_budget_is_that_at_the_first_byte() {
    let mut listener = StalledListener::start();
    let program = Program::start(&config(
        refused_address(),
        &[target("s-0", listener.address(), "in_service")],
    ));
    let mut caller = program.connect();
    caller.send("look", "20", "");
    listener.wait_until_connecting();
    let connecting_since = Instant::now();
    let stream = listener.accept(SYN_RETRANSMISSION).expect("the connection");
    let connect_time = connecting_since.elapsed();
    let request = Message::read(&mut BufReader::new(stream)).expect("the request");
    let forwarded_budget_s: f64 = request.headers["x-budget"].parse().unwrap();
    // Half of the time as tolerance, since the accepting side may see the connection late.
    assert!(
        forwarded_budget_s <= 20.0 - connect_time.as_secs_f64() / 2.0,
        "budget {forwarded_budget_s} after {connect_time:?}"
    );
}

/// Even with cancellation disabled, the balancer must abandon an attempt that has not begun if the client disconnects.
#[test]
fn no_attempt_begins_for_a_caller_that_disconnected_while_connecting() {
    for cancelling in [true, false] {
        let mut listener = StalledListener::start();
        let mut config = config(
            refused_address(),
            &[target("s-0", listener.address(), "in_service")],
        );
        config["settings"]["Limits"]["Cancelling"] = cancelling.into();
        let program = Program::start(&config);
        let mut caller = program.connect();
        caller.send("post", LONG_BUDGET, "b");
        listener.wait_until_connecting();
        drop(caller);
        listener.wait_until_connect_abandoned(CONNECT_TIMEOUT / 2);
        assert!(
            listener.accept(OBSERVATION_TIME).is_none(),
            "cancelling {cancelling}"
        );
    }
}

/// The connection of the second attempt is requested within the idempotency window of the first attempt, but
/// established after the window.
#[test]
fn a_keyed_request_is_not_retried_on_a_connection_established_after_its_window() {
    let (first_received, first_may_close) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let (received, may_close) = (first_received.clone(), first_may_close.clone());
    let first = Upstream::start(move |_| {
        received.wait();
        may_close.wait();
        Reaction::RespondAndClose(String::new())
    });
    let mut listener = StalledListener::start();
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &in_service(&[&first]));
    // Shorter than the interval after which the kernel retransmits a SYN (so that the connection is established after
    // the window), and far longer than the steps before it take on a machine under load.
    config["settings"]["Classes"][1]["WindowNs"] = json!(900_000_000);
    discovery.set(&in_service(&[&first]));
    let program = Program::start(&config);
    discovery.wait_until_watched();
    let mut caller = program.connect();
    caller.send("pay", LONG_BUDGET, "b");
    first_received.wait();
    discovery.publish(&[target("s-1", listener.address(), "in_service")]);
    first_may_close.wait();
    listener.wait_until_connecting();
    let request = listener
        .accept(SYN_RETRANSMISSION)
        .and_then(|stream| Message::read(&mut BufReader::new(stream)));
    assert!(
        request.is_none(),
        "the request was sent after its window: {request:?}"
    );
    assert_eq!(
        caller.read_response().expect("an answer").status(),
        502,
        "no retry, since the request may have been executed"
    );
}

/// The upstream rejects a request after its head and never reads the body.
#[test]
fn an_early_response_is_taken_though_the_request_is_not_written_to_its_end() {
    let early_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = early_listener.local_addr().unwrap();
    let served = Upstream::start(|_| Reaction::Respond(ok_response("served")));
    std::thread::spawn(move || {
        let mut open_streams = Vec::new();
        for mut stream in early_listener.incoming().map_while(Result::ok) {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                head.push(byte[0]);
            }
            stream.write_all(overloaded_response().as_bytes()).unwrap();
            open_streams.push(stream);
        }
    });
    let list = [
        target("s-hasty", address, "in_service"),
        target("s-0", served.address, "in_service"),
    ];
    let program = Program::start(&config(refused_address(), &list));
    let body = "b".repeat(16 << 20); // more than the buffers of both sockets
    for _ in 0..2 {
        let started = Instant::now();
        let answer = program
            .connect()
            .call("post", "20", &body)
            .expect("an answer");
        assert_eq!(
            answer.status(),
            200,
            "rejected and then retried, or served at once"
        );
        assert!(
            started.elapsed() < Duration::from_secs(15),
            "the retry does not wait until the budget is spent"
        );
    }
}
