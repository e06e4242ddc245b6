//! Tests of SIGTERM with work outstanding. The balancer must respond to each accepted request, and must close
//! connections gracefully, even if a client writes a request at the moment of the close. A client that writes
//! after the close must retry on a new connection.

mod common;

use common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::*;

/// Starts an upstream that delays each response to a POST until the test releases it.
fn delaying_upstream() -> (Upstream, Sender<()>) {
    let (release, released) = channel();
    let released = Mutex::new(released);
    let upstream = Upstream::start(move |message| {
        if message.start_line.starts_with("POST") {
            released
                .lock()
                .unwrap()
                .recv_timeout(TEST_TIMEOUT)
                .expect("the test releases the response");
        }
        Reaction::Respond(ok_response(&String::from_utf8_lossy(&message.body)))
    });
    (upstream, release)
}

/// Sends SIGTERM and waits until the program has begun to shut down.
fn terminate(program: &Program, admin: &AdminClient) {
    program.terminate();
    wait_until("the program shuts down", || {
        admin.get("/control/ready").status() == 503
    });
}

/// Pipelined requests count as accepted: their responses must precede the end of the connection.
#[test]
fn pipelined_requests_have_responses_before_the_connection_ends() {
    let (upstream, release) = delaying_upstream();
    let (program, admin) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    let mut caller = program.connect();
    let bodies = ["one", "two", "three"];
    caller.write(
        &bodies
            .map(|body| request("post", LONG_BUDGET, body))
            .concat(),
    );
    upstream.request();
    terminate(&program, &admin);
    for body in bodies {
        release.send(()).unwrap();
        let answer = caller
            .read_response()
            .unwrap_or_else(|| panic!("no answer to {body}"));
        assert_eq!((answer.status(), &answer.body[..]), (200, body.as_bytes()));
    }
    assert!(
        caller.read_response().is_none(),
        "the connection ends after the responses"
    );
    let (status, log) = program.wait_for_exit();
    assert!(status.success(), "{log}");
}

/// A request that crosses the close of an idle connection must not be forwarded. The balancer must not reset the
/// connection either, since a reset could discard the last response before the client reads it.
#[test]
fn a_request_that_crosses_the_close_finds_a_graceful_end() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("")));
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let mut idle = TcpStream::connect(program.address).unwrap();
    idle.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    idle.write_all(request("look", LONG_BUDGET, "").as_bytes())
        .unwrap();
    assert!(idle.read(&mut [0; 1024]).unwrap() > 0, "an answer");
    upstream.request();
    program.terminate();
    // The response was complete before the signal, so the client reads the end of the connection next.
    assert_eq!(
        idle.read(&mut [0; 1024]).unwrap(),
        0,
        "the end of the connection"
    );
    idle.write_all(request("post", LONG_BUDGET, "crossing").as_bytes())
        .unwrap();
    idle.shutdown(Shutdown::Write).unwrap();
    let (status, log) = program.wait_for_exit();
    assert!(status.success(), "{log}");
    let read = idle.read(&mut [0; 1024]);
    assert!(matches!(read, Ok(0)), "reset: {read:?}");
    assert!(idle.take_error().unwrap().is_none());
    assert_eq!(
        upstream.count_requests(),
        0,
        "a request after the close was forwarded"
    );
}

/// If part of a request head has arrived at the signal, the balancer must wait for the rest and serve the request.
#[test]
fn a_head_that_has_begun_may_be_completed() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("served")));
    let (program, admin) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    let request = request("post", LONG_BUDGET, "b");
    let (beginning, rest) = request.split_at(request.len() / 2);
    let (mut caller, mut other) = (program.connect(), program.connect());
    caller.write(beginning);
    assert_eq!(other.call("look", LONG_BUDGET, "").unwrap().status(), 200);
    terminate(&program, &admin);
    assert!(
        other.read_response().is_none(),
        "idle connections are closed"
    );
    caller.write(rest);
    assert_eq!(caller.read_response().expect("an answer").body, b"served");
    let (status, log) = program.wait_for_exit();
    assert!(status.success(), "{log}");
}

/// Neither a second SIGTERM nor a SIGHUP may shorten the drain.
#[test]
fn further_signals_while_draining_change_nothing() {
    let (upstream, release) = delaying_upstream();
    let before = config(refused_address(), &in_service(&[&upstream]));
    let (program, admin) = Program::start_with_admin(&before);
    let mut caller = program.connect();
    caller.send("post", LONG_BUDGET, "held");
    upstream.request();
    terminate(&program, &admin);
    program.reload("{");
    program.terminate();
    assert_eq!(
        admin.get("/control/ready").status(),
        503,
        "the program still drains"
    );
    release.send(()).unwrap();
    assert_eq!(caller.read_response().expect("an answer").body, b"held");
    let (status, log) = program.wait_for_exit();
    assert!(status.success(), "{log}");
}

/// Idle clients that never close their connections must not delay the exit.
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
    let (status, log) = program.wait_for_exit();
    assert!(status.success(), "{log}");
    // The daemon accepts new connections for half a second, and waits a second for requests that cross the close. The
    // deadline of the classes, which is the time limit for responses, is one minute.
    assert!(
        signal.elapsed() < Duration::from_secs(20),
        "{:?}",
        signal.elapsed()
    );
}

/// If the balancer rejects a request before it has read the body, the client must still receive the complete
/// rejection instead of a reset.
#[test]
fn a_rejection_arrives_complete_though_the_body_is_not_read() {
    let upstream = Upstream::start(|_| Reaction::Stall);
    let mut config = config(refused_address(), &in_service(&[&upstream]));
    config["limits"]["sockets"] = 104.into(); // room for twenty clients
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
