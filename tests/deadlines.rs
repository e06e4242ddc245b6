//! Answers that do not come to an end. The balancer owes one final answer in time; of one that it has begun to pass on,
//! the end of the connection, so that its client can tell that it is not whole, but not while it still comes.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::*;

/// More than is read whole before an answer is passed on.
const LARGE: usize = 100 << 10;
/// The time of the requests here, and by when they must have ended on any machine.
const BUDGET: (&str, Duration) = ("0.800", Duration::from_millis(800));
const ENDED: Duration = Duration::from_secs(8);

/// An upstream that writes `head` and then goes on with `more` for as long as the peer takes it; it tells when the peer
/// has closed.
fn endless(head: &'static str, more: String) -> (std::net::SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, closed) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut request = [0; 4096];
            assert!(stream.read(&mut request).unwrap() > 0);
            stream.write_all(head.as_bytes()).unwrap();
            while stream.write_all(more.as_bytes()).is_ok() {
                std::thread::sleep(Duration::from_millis(10));
            }
            tell.send(()).ok();
        }
    });
    (address, closed)
}

fn chunk() -> String {
    format!("{:x}\r\n{}\r\n", LARGE, "c".repeat(LARGE))
}

/// An answer that never ends, to a client that reads all of it: it is given up at the largest size of any answer.
#[test]
fn a_response_without_end_is_aborted() {
    let (address, closed) = endless(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        chunk(),
    );
    let program = Program::start(&config(
        refused_address(),
        &[target("s-0", address, "in_service")],
    ));
    let asked = Instant::now();
    let mut caller = program.connect();
    caller.send("post", BUDGET.0, "b");
    assert!(caller.read_chunked_body().is_none(), "it has no end");
    assert!(asked.elapsed() < ENDED, "{:?}", asked.elapsed());
    closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("its upstream is told to stop");
}

/// An answer that stands still in its midst.
#[test]
fn a_stalled_response_is_aborted_after_its_deadline() {
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        chunk()
    );
    let upstream = Upstream::start(move |_| Reaction::Respond(text.clone()));
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let asked = Instant::now();
    let mut caller = program.connect();
    caller.send("post", BUDGET.0, "b");
    assert!(caller.read_chunked_body().is_none(), "it has no end");
    let took = asked.elapsed();
    assert!(took >= BUDGET.1 && took < ENDED, "{took:?}");
    upstream.wait_until_closed();
}

/// A client that reads nothing of a large answer: its upstream is not held beyond the deadline.
#[test]
fn an_unread_response_is_abandoned_after_its_deadline() {
    let (address, closed) = endless(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        chunk(),
    );
    let program = Program::start(&config(
        refused_address(),
        &[target("s-0", address, "in_service")],
    ));
    let mut client = TcpStream::connect(program.address).unwrap();
    let asked = Instant::now();
    client
        .write_all(request("post", BUDGET.0, "b").as_bytes())
        .unwrap();
    closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("its upstream is told to stop");
    assert!(asked.elapsed() >= BUDGET.1);
}

/// A client of HTTP/1.0 knows the end of such an answer by the end of the connection: where it breaks off, the
/// connection is reset.
#[test]
fn a_broken_response_does_not_look_complete_to_an_http10_client() {
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        chunk()
    );
    let upstream = Upstream::start(move |_| Reaction::RespondAndClose(text.clone()));
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let mut client = TcpStream::connect(program.address).unwrap();
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    client
        .write_all(
            request("post", LONG_BUDGET, "b")
                .replace("HTTP/1.1", "HTTP/1.0")
                .as_bytes(),
        )
        .unwrap();
    let read = client.read_to_end(&mut Vec::new());
    assert!(read.is_err(), "it looks whole, with {read:?} bytes");
}

/// A large answer that comes to its end in time leaves a connection that may rest for longer than that.
#[test]
fn a_connection_is_reused_after_a_large_response() {
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunk()
    );
    let upstream = Upstream::start(move |_| Reaction::Respond(text.clone()));
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let mut caller = program.connect();
    for _ in 0..2 {
        caller.send("post", BUDGET.0, "b");
        assert_eq!(caller.read_chunked_body().expect("an answer").len(), LARGE);
        std::thread::sleep(BUDGET.1 * 2);
    }
}

/// A long answer that its upstream still gives when its time is over is passed on to its end: to cut it off would be the
/// balancer's fault.
#[test]
fn a_response_that_still_comes_at_its_deadline_is_forwarded_to_its_end() {
    const CHUNKS: usize = 8;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .unwrap();
            for _ in 0..CHUNKS {
                stream.write_all(chunk().as_bytes()).unwrap();
                std::thread::sleep(BUDGET.1 / 2);
            }
            stream.write_all(b"0\r\n\r\n").unwrap();
        }
    });
    let program = Program::start(&config(
        refused_address(),
        &[target("s-0", address, "in_service")],
    ));
    let mut caller = program.connect();
    caller.send("post", BUDGET.0, "b");
    assert_eq!(
        caller.read_chunked_body().expect("all of it").len(),
        CHUNKS * LARGE
    );
}
