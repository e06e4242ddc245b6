//! Connections to upstreams that break. What an upstream can have run decides what the balancer owes: work that never ran
//! is sent again, unsafe work that may have run fails, keyed work is repeated.

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

/// An upstream that handles each connection as it is told, and tells how many there were.
fn raw(handle: impl Fn(TcpStream) + Send + 'static) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, connected) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            tell.send(()).ok();
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

/// Reads a request to its end.
fn read_request(stream: &mut TcpStream) {
    Message::read(&mut BufReader::new(stream)).expect("a request");
}

/// A program with two upstreams, of which the test judges by the second.
struct Pair {
    program: Program,
    second: Upstream,
}

impl Pair {
    /// Both are listed: calls go to either, in turn.
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

/// Two calls go to both of them in turn; the bodies are of this size. Returns how many were served.
fn served_of_two(pair: &Pair, class: &str, body: &str) -> usize {
    let call = |_| {
        pair.program
            .connect()
            .call(class, LONG_BUDGET, body)
            .expect("an answer")
            .status()
    };
    (0..2).map(call).filter(|status| *status == 200).count()
}

/// A request may have run at an upstream that handles its connections so: unsafe work fails, keyed work is repeated.
fn may_have_run(handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    for (class, served) in [("post", 1), ("pay", 2)] {
        let (first, connected) = raw(handle.clone());
        let pair = Pair::start(first);
        assert_eq!(served_of_two(&pair, class, ""), served, "{class}");
        connected
            .recv_timeout(TEST_TIMEOUT)
            .expect("the first one was tried");
        assert_eq!(pair.second.count_requests(), served, "{class}");
    }
}

/// Nothing is written to a connection, if it comes up at all within this time.
fn nothing_comes(late: &mut StalledListener, within: Duration) {
    if let Some(mut stream) = late.accept(within) {
        let mut came = Vec::new();
        stream.read_to_end(&mut came).unwrap_or(0);
        assert!(came.is_empty(), "{}", String::from_utf8_lossy(&came));
    }
}

/// The connection breaks while the request is written: it never ran.
#[test]
fn a_reset_before_the_last_byte_never_ran() {
    let (first, connected) = raw(|mut stream| {
        stream.read_exact(&mut [0; 256]).unwrap();
        reset(&stream);
    });
    let pair = Pair::start(first);
    let body = "b".repeat(16 << 20); // more than the buffers of both sockets
    assert_eq!(
        served_of_two(&pair, "post", &body),
        2,
        "unsafe work is sent again"
    );
    connected
        .recv_timeout(TEST_TIMEOUT)
        .expect("the first one was tried");
    assert_eq!(pair.second.count_requests(), 2);
}

/// The connection breaks behind the request's last byte: it may have run.
#[test]
fn a_reset_behind_the_last_byte_may_have_run() {
    may_have_run(|mut stream| {
        read_request(&mut stream);
        reset(&stream);
    });
}

/// An answer whose end is that of its connection, and a reset instead of that end, with all of it written before.
#[test]
fn a_reset_is_not_the_end_of_a_response() {
    may_have_run(|mut stream| {
        read_request(&mut stream);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\na part of it")
            .unwrap();
        // Until the other side has it, a reset would take it back.
        std::thread::sleep(Duration::from_millis(100));
        reset(&stream);
    });
}

/// The same with an answer that is passed on as it comes: its caller can tell that it is not whole.
#[test]
fn a_reset_is_not_the_end_of_a_large_response() {
    let (first, _connected) = raw(|mut stream| {
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

/// A connection that comes up after its time: the attempt went elsewhere, and nothing is written to it.
#[test]
fn a_connection_established_too_late_is_not_written_to() {
    let mut late = StalledListener::start();
    let pair = Pair::start(late.address());
    assert_eq!(served_of_two(&pair, "post", "b"), 2);
    assert_eq!(pair.second.count_requests(), 2);
    nothing_comes(&mut late, Duration::from_secs(3));
}

/// Told to drain while a connection to it comes up: nothing is written to it.
#[test]
fn no_attempt_begins_at_an_upstream_that_drains_while_connecting() {
    let mut late = StalledListener::start();
    let other = Upstream::start(|_| Reaction::Respond(ok_response("other")));
    let discovery = Discovery::start();
    let config = config(
        discovery.address,
        &[target("s-late", late.address(), "in_service")],
    );
    discovery.set(&[target("s-late", late.address(), "in_service")]);
    let program = Program::start(&config);
    discovery.wait_until_watched();
    let mut caller = program.connect();
    caller.send("post", LONG_BUDGET, "b");
    late.wait_until_connecting();
    discovery.publish(&[
        target("s-late", late.address(), "terminating"),
        target("s-other", other.address, "in_service"),
    ]);
    nothing_comes(&mut late, Duration::from_secs(8));
    assert_eq!(caller.read_response().expect("an answer").body, b"other");
}

/// An upstream whose answers carry more than belongs to them, and then one that answers a request twice: its second answer
/// crosses the next request on that connection.
fn answering_twice() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            std::thread::spawn(move || twice(number, stream));
        }
    });
    address
}

fn twice(number: usize, stream: TcpStream) {
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    for before in 0.. {
        let Some(request) = Message::read(&mut input) else {
            return;
        };
        let answer = ok_response(&String::from_utf8_lossy(&request.body));
        let text = match (number, before) {
            (0, 0) => answer + "more than belongs to it",
            (_, 0) => answer,
            _ => ok_response("the answer to the request before") + &answer,
        };
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Once an upstream was seen to break the protocol, a connection rests before its next request: what comes meanwhile is
/// taken for no answer.
#[test]
fn a_second_response_is_not_taken_for_that_of_the_next_request() {
    const REST: Duration = Duration::from_millis(20);
    let program = Program::start(&config(
        refused_address(),
        &[target("s-0", answering_twice(), "in_service")],
    ));
    let mut caller = program.connect();
    assert_eq!(
        caller.call("post", LONG_BUDGET, "first").unwrap().body,
        b"first"
    );
    // On a machine too busy to ask again within the rest, a try tells nothing.
    let judged = (0..200).any(|_| {
        std::thread::sleep(REST * 2); // all connections have rested, and are closed by their second answers in turn
        let asked = Instant::now();
        let one = caller.call("post", LONG_BUDGET, "one").unwrap();
        let two = caller.call("post", LONG_BUDGET, "two").unwrap();
        let judged = asked.elapsed() < REST;
        assert!(
            !judged || two.body == b"two",
            "{}",
            String::from_utf8_lossy(&two.body)
        );
        judged && one.body == b"one"
    });
    assert!(judged, "no try was fast enough");
}
