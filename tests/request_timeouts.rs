//! Tests of the daemon's time limit for receiving a request: it must not end a connection with a response under way.

mod common;

use common::*;
use std::sync::Mutex;
use woadstall_mock_servers::http1::*;

/// Bytes that are no complete request head.
const PARTIAL_HEAD: &str = "GET /look";
/// More bytes than the daemon buffers before it begins to forward a response.
const FIRST_CHUNK_BYTES: usize = 80 << 10;
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Bytes that follow the request of a streamed response, such as the beginning of the next request, must not end the
/// stream when the time limit for receiving a request has passed.
#[test]
fn bytes_after_a_request_do_not_abort_its_stream() {
    let (sender, parts) = ResponseParts::new();
    let sender = Mutex::new(Some(sender));
    let upstream = Upstream::start(move |_| Reaction::RespondInParts(parts.clone()));
    let program = Program::start(&config(refused_address(), &in_service(&[&upstream])));
    let send = |part: &str| {
        let sender = sender.lock().unwrap();
        sender.as_ref().unwrap().send(part.to_owned()).unwrap();
    };
    let mut caller = program.connect();
    caller.send("look", LONG_BUDGET, "");
    upstream.request();
    send(STREAM_HEAD);
    let first = "a".repeat(FIRST_CHUNK_BYTES);
    send(&format!("{FIRST_CHUNK_BYTES:x}\r\n{first}\r\n"));
    caller.await_data();
    caller.write(PARTIAL_HEAD);
    let mut stalled_client = program.connect();
    stalled_client.write(PARTIAL_HEAD);
    stalled_client.wait_until_closed();
    send("1\r\nb\r\n0\r\n\r\n");
    sender.lock().unwrap().take();
    let body = caller.read_chunked_body().expect("a complete stream");
    assert_eq!(body, (first + "b").as_bytes());
}
