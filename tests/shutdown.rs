//! SIGTERM while something is still owed. The balancer owes an answer to what it has taken, and an orderly close to who
//! writes in that instant; a client that writes after the end of the connection owes itself another one.

mod common;

use common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::*;

/// An upstream that holds each answer to a POST until the test lets it go.
fn holding() -> (Upstream, Sender<()>) {
    let (let_go, held) = channel();
    let held = Mutex::new(held);
    let upstream = Upstream::start(move |message| {
        if message.start_line.starts_with("POST") {
            held.lock()
                .unwrap()
                .recv_timeout(TEST_TIMEOUT)
                .expect("to be let go");
        }
        Reaction::Respond(ok_response(&String::from_utf8_lossy(&message.body)))
    });
    (upstream, let_go)
}

/// Sends SIGTERM, and waits until the program has heard of it.
fn terminate(program: &Program, operators: &Operators) {
    program.terminate();
    wait_until("it stops", || {
        operators.get("/control/ready").status() == 503
    });
}

/// What a client has written ahead was taken, and comes before the end of its connection.
#[test]
fn pipelined_requests_have_responses_before_the_connection_ends() {
    let (upstream, let_go) = holding();
    let (program, operators) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    let mut caller = program.connect();
    let bodies = ["one", "two", "three"];
    caller.write(
        &bodies
            .map(|body| request("post", LONG_BUDGET, body))
            .concat(),
    );
    upstream.request();
    terminate(&program, &operators);
    for body in bodies {
        let_go.send(()).unwrap();
        let answer = caller
            .read_response()
            .unwrap_or_else(|| panic!("no answer to {body}"));
        assert_eq!((answer.status(), &answer.body[..]), (200, body.as_bytes()));
    }
    assert!(caller.read_response().is_none(), "then it ends");
    let (status, log) = program.end();
    assert!(status.success(), "{log}");
}

/// A request that crosses the close of a resting connection is dropped: it is never sent on, and not answered with a
/// reset, which would overtake what was written last.
#[test]
fn a_request_that_crosses_the_close_finds_a_graceful_end() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("")));
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let mut resting = TcpStream::connect(program.address).unwrap();
    resting.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    resting
        .write_all(request("look", LONG_BUDGET, "").as_bytes())
        .unwrap();
    assert!(resting.read(&mut [0; 1024]).unwrap() > 0, "an answer");
    upstream.request();
    program.terminate();
    // Its answer was complete before the signal, so what comes next is the end.
    assert_eq!(
        resting.read(&mut [0; 1024]).unwrap(),
        0,
        "the end of the connection"
    );
    resting
        .write_all(request("post", LONG_BUDGET, "crossing").as_bytes())
        .unwrap();
    resting.shutdown(Shutdown::Write).unwrap();
    let (status, log) = program.end();
    assert!(status.success(), "{log}");
    let after = resting.read(&mut [0; 1024]);
    assert!(matches!(after, Ok(0)), "reset: {after:?}");
    assert!(resting.take_error().unwrap().is_none());
    assert_eq!(
        upstream.count_requests(),
        0,
        "read after the end and sent on"
    );
}

/// Half a head that stands there at the signal is waited for, and the request is served.
#[test]
fn a_head_that_has_begun_may_be_completed() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("served")));
    let (program, operators) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    let whole = request("post", LONG_BUDGET, "b");
    let (begin, rest) = whole.split_at(whole.len() / 2);
    let (mut caller, mut other) = (program.connect(), program.connect());
    caller.write(begin);
    assert_eq!(other.call("look", LONG_BUDGET, "").unwrap().status(), 200);
    terminate(&program, &operators);
    assert!(
        other.read_response().is_none(),
        "connections between requests are closed by now"
    );
    caller.write(rest);
    assert_eq!(caller.read_response().expect("an answer").body, b"served");
    let (status, log) = program.end();
    assert!(status.success(), "{log}");
}

/// Neither a second SIGTERM nor a SIGHUP cuts a drain short.
#[test]
fn further_signals_while_draining_change_nothing() {
    let (upstream, let_go) = holding();
    let before = config(refused_address(), &in_service(&[&upstream]));
    let (program, operators) = Program::start_with_admin(&before);
    let mut caller = program.connect();
    caller.send("post", LONG_BUDGET, "held");
    upstream.request();
    terminate(&program, &operators);
    program.reload("{");
    program.terminate();
    assert_eq!(
        operators.get("/control/ready").status(),
        503,
        "it still runs"
    );
    let_go.send(()).unwrap();
    assert_eq!(caller.read_response().expect("an answer").body, b"held");
    let (status, log) = program.end();
    assert!(status.success(), "{log}");
}

/// Nothing is owed to idle clients: they hold up no exit, though they never close.
#[test]
fn exits_soon_where_nothing_is_outstanding() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("")));
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let mut idle: Vec<Caller> = (0..8).map(|_| program.connect()).collect();
    for caller in &mut idle {
        assert_eq!(caller.call("look", LONG_BUDGET, "").unwrap().status(), 200);
    }
    let signal = Instant::now();
    program.terminate();
    let (status, log) = program.end();
    assert!(status.success(), "{log}");
    // Half a second for new connections, a second for what may cross; the deadline of the classes is a minute.
    assert!(
        signal.elapsed() < Duration::from_secs(20),
        "{:?}",
        signal.elapsed()
    );
}

/// A client that sends more than it was answered for: its body is unread when it is refused, and the refusal arrives.
#[test]
fn a_rejection_arrives_complete_though_the_body_is_not_read() {
    let upstream = Upstream::start(|_| Reaction::Stall);
    let mut config = config(refused_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = 104.into(); // room for twenty callers
    let program = Program::start(&config);
    let mut busy: Vec<Caller> = (0..20).map(|_| program.connect()).collect();
    for caller in &mut busy {
        caller.send("post", LONG_BUDGET, "b");
        upstream.request();
    }
    for _ in 0..20 {
        let mut stream = TcpStream::connect(program.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let refused = request("post", LONG_BUDGET, &"b".repeat(256 << 10));
        let written = stream.write_all(refused.as_bytes());
        assert!(written.is_ok(), "reset while it wrote: {written:?}");
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        assert!(
            read.as_ref()
                .is_ok_and(|_| answer.starts_with(b"HTTP/1.1 503")),
            "{read:?}"
        );
        assert!(!matches!(read, Err(ref error) if error.kind() == ErrorKind::ConnectionReset));
    }
}
