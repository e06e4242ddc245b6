//! Tests of responses that do not end in time. The balancer must send one final response before the
//! deadline. If it has begun to forward a response that then stalls, it must close the connection, so that
//! the client can detect the truncation; it must not truncate a response that still makes progress.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::*;

/// Larger than the part of a response that the balancer buffers before it begins to forward.
const CHUNK_BYTES: usize = 100 << 10;
/// The budget of the requests.
const BUDGET: Duration = Duration::from_millis(800);
/// The header value of [`BUDGET`].
const BUDGET_HEADER: &str = "0.800";
/// Upper limit for the duration of a request, with a margin for slow machines.
const MAX_DURATION: Duration = Duration::from_secs(8);

/// Starts an upstream that writes `head`, and then writes `chunk` repeatedly until the peer closes the
/// connection. The receiver gets a message at each close.
fn endless_upstream(head: &'static str, chunk: String) -> (std::net::SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (notify, closed) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut request = [0; 4096];
            assert!(stream.read(&mut request).unwrap() > 0);
            stream.write_all(head.as_bytes()).unwrap();
            while stream.write_all(chunk.as_bytes()).is_ok() {
                std::thread::sleep(Duration::from_millis(10));
            }
            notify.send(()).ok();
        }
    });
    (address, closed)
}

fn chunk() -> String {
    format!("{:x}\r\n{}\r\n", CHUNK_BYTES, "c".repeat(CHUNK_BYTES))
}

/// A client reads a response that never ends; the balancer must abort it at the maximum response size.
#[test]
fn a_response_without_end_is_aborted() {
    let (address, closed) = endless_upstream(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        chunk(),
    );
    let program = Program::start(&config(
        refused_address(),
        &[target("s-0", address, "in_service")],
    ));
    let started = Instant::now();
    let mut caller = program.connect();
    caller.send("post", BUDGET_HEADER, "b");
    assert!(
        caller.read_chunked_body().is_none(),
        "the response is truncated"
    );
    assert!(started.elapsed() < MAX_DURATION, "{:?}", started.elapsed());
    closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the balancer closes the upstream connection");
}

/// The upstream stalls in the middle of a response.
#[test]
fn a_stalled_response_is_aborted_after_its_deadline() {
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        chunk()
    );
    let upstream = Upstream::start(move |_| Reaction::Respond(text.clone()));
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let started = Instant::now();
    let mut caller = program.connect();
    caller.send("post", BUDGET_HEADER, "b");
    assert!(
        caller.read_chunked_body().is_none(),
        "the response is truncated"
    );
    let duration = started.elapsed();
    assert!(
        duration >= BUDGET && duration < MAX_DURATION,
        "{duration:?}"
    );
    upstream.wait_until_closed();
}

/// A client does not read its large response; the balancer must release the upstream after the deadline.
#[test]
fn an_unread_response_is_abandoned_after_its_deadline() {
    let (address, closed) = endless_upstream(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        chunk(),
    );
    let program = Program::start(&config(
        refused_address(),
        &[target("s-0", address, "in_service")],
    ));
    let mut client = TcpStream::connect(program.address).unwrap();
    let started = Instant::now();
    client
        .write_all(request("post", BUDGET_HEADER, "b").as_bytes())
        .unwrap();
    closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the balancer closes the upstream connection");
    assert!(started.elapsed() >= BUDGET);
}

/// For an HTTP/1.0 client, the end of the connection marks the end of a response without a length. If the
/// upstream truncates the response, the balancer must therefore reset the connection.
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
    assert!(
        read.is_err(),
        "the truncated response looks complete, with {read:?} bytes"
    );
}

/// After a large response that ended in time, the connection may stay idle for longer than the budget.
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
        caller.send("post", BUDGET_HEADER, "b");
        assert_eq!(
            caller.read_chunked_body().expect("an answer").len(),
            CHUNK_BYTES
        );
        std::thread::sleep(BUDGET * 2);
    }
}

/// The balancer must forward a long response completely if the upstream still sends it at the deadline;
/// otherwise, the balancer would cause the truncation.
#[test]
fn a_response_in_progress_at_its_deadline_is_forwarded_completely() {
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
                std::thread::sleep(BUDGET / 2);
            }
            stream.write_all(b"0\r\n\r\n").unwrap();
        }
    });
    let program = Program::start(&config(
        refused_address(),
        &[target("s-0", address, "in_service")],
    ));
    let mut caller = program.connect();
    caller.send("post", BUDGET_HEADER, "b");
    assert_eq!(
        caller
            .read_chunked_body()
            .expect("the complete response")
            .len(),
        CHUNKS * CHUNK_BYTES
    );
}
