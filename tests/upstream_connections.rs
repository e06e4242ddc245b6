//! Tests of broken upstream connections. The balancer must retry a request that was certainly not executed, must fail a
//! non-idempotent request that may have been executed, and must retry a request with an idempotency key.

mod common;

use common::*;
use serde_json::json;
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::*;
use woadstall_mock_servers::stalled_listener::StalledListener;

/// Starts an upstream that passes each connection to `handle`; the receiver gets one message per connection.
fn raw_upstream(handle: impl Fn(TcpStream) + Send + 'static) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (notify, connected) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            notify.send(()).ok();
            handle(stream);
        }
    });
    (address, connected)
}

fn reset(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// Reads a complete request.
fn read_request(stream: &mut TcpStream) {
    Message::read(&mut BufReader::new(stream)).expect("a request");
}

/// A program with two upstreams: a faulty one, and a second one that counts its requests.
struct Pair {
    program: Program,
    second: Upstream,
}

impl Pair {
    /// Starts the program with both upstreams in its list, so that calls alternate between them.
    fn start(first: SocketAddr) -> Self {
        let second = Upstream::start(|_| Reaction::Respond(ok_response("second")));
        let list = [
            target("s-first", first, "in_service"),
            target("s-second", second.address, "in_service"),
        ];
        let mut config = config(refused_address(), &list);
        config["settings"]["Limits"]["ConnectTimeoutNs"] = json!(300_000_000);
        Self {
            program: Program::start(&config),
            second,
        }
    }
}

/// Makes two calls, which go to the two upstreams in turn; returns the number of successful calls.
fn successes_of_two_calls(pair: &Pair, class: &str, body: &str) -> usize {
    let call = |_| {
        pair.program
            .connect()
            .call(class, LONG_BUDGET, body)
            .expect("an answer")
            .status()
    };
    (0..2).map(call).filter(|status| *status == 200).count()
}

/// Asserts that the balancer treats a request as possibly executed if an upstream handles its connections with
/// `handle`: a non-idempotent request fails, and a request with an idempotency key is retried.
fn assert_possibly_executed(handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    for (class, served) in [("post", 1), ("pay", 2)] {
        let (first, connected) = raw_upstream(handle.clone());
        let pair = Pair::start(first);
        assert_eq!(successes_of_two_calls(&pair, class, ""), served, "{class}");
        connected
            .recv_timeout(TEST_TIMEOUT)
            .expect("the first upstream got a connection");
        assert_eq!(pair.second.count_requests(), served, "{class}");
    }
}

/// Asserts that the balancer writes nothing to a connection, if it establishes one within the time `within`.
fn assert_nothing_written(listener: &mut StalledListener, within: Duration) {
    if let Some(mut stream) = listener.accept(within) {
        let mut received = Vec::new();
        stream.read_to_end(&mut received).unwrap_or(0);
        assert!(
            received.is_empty(),
            "{}",
            String::from_utf8_lossy(&received)
        );
    }
}

/// The connection breaks while the balancer writes the request, so the request was not executed.
#[test]
fn a_reset_before_the_last_byte_never_ran() {
    let (first, connected) = raw_upstream(|mut stream| {
        stream.read_exact(&mut [0; 256]).unwrap();
        reset(&stream);
    });
    let pair = Pair::start(first);
    let body = "b".repeat(16 << 20); // more than the buffers of both sockets
    assert_eq!(
        successes_of_two_calls(&pair, "post", &body),
        2,
        "a non-idempotent request is retried"
    );
    connected
        .recv_timeout(TEST_TIMEOUT)
        .expect("the first upstream got a connection");
    assert_eq!(pair.second.count_requests(), 2);
}

/// The connection breaks after the last byte of the request, so the request may have been executed.
#[test]
fn a_reset_after_the_last_byte_may_have_run() {
    assert_possibly_executed(|mut stream| {
        read_request(&mut stream);
        reset(&stream);
    });
}

/// The end of the connection delimits the response, and the upstream resets the connection after the last byte. The
/// balancer must treat the response as truncated.
#[test]
fn a_reset_is_not_the_end_of_a_response() {
    assert_possibly_executed(|mut stream| {
        read_request(&mut stream);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\na part of it")
            .unwrap();
        // Waits until the balancer has received the bytes, since a reset discards bytes in transit.
        std::thread::sleep(Duration::from_millis(100));
        reset(&stream);
    });
}

/// A large response is forwarded while it arrives. After a reset by the upstream, the client must be able to detect the
/// truncation.
#[test]
fn a_reset_is_not_the_end_of_a_large_response() {
    let (first, _connected) = raw_upstream(|mut stream| {
        read_request(&mut stream);
        let head = "HTTP/1.1 200 OK\r\n\r\n";
        stream
            .write_all(format!("{head}{}", "c".repeat(200 << 10)).as_bytes())
            .unwrap();
        std::thread::sleep(Duration::from_millis(100));
        reset(&stream);
    });
    let program = Program::start(&config(
        refused_address(),
        &[target("s-0", first, "in_service")],
    ));
    let mut caller = program.connect();
    caller.send("post", LONG_BUDGET, "");
    assert!(caller.read_chunked_body().is_none());
}

/// After the connect timeout, the attempt goes to another upstream; the balancer must write nothing to the late
/// connection.
#[test]
fn a_connection_established_too_late_is_not_written_to() {
    let mut listener = StalledListener::start();
    let pair = Pair::start(listener.address());
    assert_eq!(successes_of_two_calls(&pair, "post", "b"), 2);
    assert_eq!(pair.second.count_requests(), 2);
    assert_nothing_written(&mut listener, Duration::from_secs(3));
}

/// An upstream begins to drain while the balancer connects to it; the balancer must write nothing to the connection.
#[test]
fn no_attempt_begins_at_an_upstream_that_drains_while_connecting() {
    let mut listener = StalledListener::start();
    let other = Upstream::start(|_| Reaction::Respond(ok_response("other")));
    let discovery = Discovery::start();
    let config = config(
        discovery.address,
        &[target("s-late", listener.address(), "in_service")],
    );
    discovery.set(&[target("s-late", listener.address(), "in_service")]);
    let program = Program::start(&config);
    discovery.wait_until_watched();
    let mut caller = program.connect();
    caller.send("post", LONG_BUDGET, "b");
    listener.wait_until_connecting();
    discovery.publish(&[
        target("s-late", listener.address(), "terminating"),
        target("s-other", other.address, "in_service"),
    ]);
    assert_nothing_written(&mut listener, Duration::from_secs(8));
    assert_eq!(caller.read_response().expect("an answer").body, b"other");
}

/// Starts an upstream that violates the protocol: the first response carries surplus bytes, and on later connections a
/// duplicate response to the previous request crosses the next request.
fn duplicating_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            std::thread::spawn(move || respond_with_duplicates(number, stream));
        }
    });
    address
}

fn respond_with_duplicates(connection: usize, stream: TcpStream) {
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    for previous_requests in 0.. {
        let Some(request) = Message::read(&mut input) else {
            return;
        };
        let answer = ok_response(&String::from_utf8_lossy(&request.body));
        let text = match (connection, previous_requests) {
            (0, 0) => answer + "more than belongs to it",
            (_, 0) => answer,
            _ => ok_response("the answer to the request before") + &answer,
        };
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// After a protocol violation by an upstream, the balancer must keep a connection idle for a while before its next
/// request, and must not use bytes that arrive meanwhile as a response.
#[test]
fn a_second_response_is_not_taken_for_that_of_the_next_request() {
    const IDLE_TIME: Duration = Duration::from_millis(20);
    let program = Program::start(&config(
        refused_address(),
        &[target("s-0", duplicating_upstream(), "in_service")],
    ));
    let mut caller = program.connect();
    assert_eq!(
        caller.call("post", LONG_BUDGET, "first").unwrap().body,
        b"first"
    );
    // On a busy machine, the second call may come after the idle time; such an attempt is inconclusive.
    let is_conclusive = (0..200).any(|_| {
        // After this time, all connections have been idle long enough, and their duplicate responses close them in
        // turn.
        std::thread::sleep(IDLE_TIME * 2);
        let started = Instant::now();
        let first = caller.call("post", LONG_BUDGET, "one").unwrap();
        let second = caller.call("post", LONG_BUDGET, "two").unwrap();
        let is_conclusive = started.elapsed() < IDLE_TIME;
        assert!(
            !is_conclusive || second.body == b"two",
            "{}",
            String::from_utf8_lossy(&second.body)
        );
        is_conclusive && first.body == b"one"
    });
    assert!(is_conclusive, "no attempt was fast enough");
}
