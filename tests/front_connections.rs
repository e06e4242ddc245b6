//! Tests of client connections of a front while a response is awaited or under way, with and without SIGTERM. Time-outs
//! are observed at other connections, which the front closes for the same reason.

#[path = "common/program.rs"]
mod program;

use program::program_path;
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use woadstall_mock_servers::http1::{
    Caller, Message, Reaction, ResponseParts, TEST_TIMEOUT, Upstream,
};
use woadstall_mock_servers::system::{LAST_CHUNK, System, chunk, response, stream_head};

/// Number of fronts. The tests use the first one; the second one shows that time passes while the first one is stopped.
const FRONTS: u8 = 2;
/// Time-out for receiving a request, in milliseconds.
const HEADER_TIMEOUT_MS: u64 = 200;
/// Size of a response body that fits into the front's send buffer, but not into the receive buffer of a slow client.
const LARGE_BODY_BYTES: usize = 256 << 10;
/// Size of the receive buffer of a slow client.
const SMALL_RECEIVE_BUFFER: usize = 16 << 10;
/// Number of connections that end together; more than a fixed small number of them may linger.
const CONNECTIONS: usize = 100;
/// Bytes that are no complete request head.
const PARTIAL_HEAD: &str = "POST /stream/2 HTTP/1.1\r\n";

/// A system with one upstream whose responses the test sends part by part.
struct Fixture {
    system: System,
    upstream: Upstream,
    /// Receives the sender of the parts of each response.
    responses: Receiver<Sender<String>>,
}

fn configuration() -> Value {
    json!({
        "generation": 1,
        "routes": [{
            "name": "stream", "host": "shop.example", "path_prefix": "/stream/", "route_type": "streaming",
            "timeout_ms": 20_000, "target_latency_ms": 500, "priority": 1, "service": "s", "max_attempts": 1,
        }],
        "services": [{ "name": "s", "max_connections": 100 }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": HEADER_TIMEOUT_MS,
            "idle_timeout_ms": 15_000,
        },
    })
}

impl Fixture {
    fn start() -> Self {
        let system = System::start(&program_path(), FRONTS);
        system.configure(0, 0, &configuration());
        let (response_sender, responses) = channel();
        let response_sender = Mutex::new(response_sender);
        let upstream = Upstream::start(move |request| {
            if request.start_line.contains("/stream/now") {
                return Reaction::Respond(response(request, "now"));
            }
            if request.start_line.contains("/stream/large") {
                return Reaction::Respond(response(request, &"l".repeat(LARGE_BODY_BYTES)));
            }
            let (sender, parts) = ResponseParts::new();
            response_sender.lock().unwrap().send(sender).unwrap();
            Reaction::RespondInParts(parts)
        });
        system.register(0, "i-1", "s", upstream.address, 0);
        Self {
            system,
            upstream,
            responses,
        }
    }

    fn connect(&self) -> Caller {
        Caller::connect(self.system.front(0)).expect("a connection")
    }

    /// Requests a large response on a new connection, and returns after its beginning has arrived.
    fn request_large_response(&self) -> Caller {
        let address = self.system.front(0);
        let caller = Caller::connect_with_receive_buffer(address, SMALL_RECEIVE_BUFFER);
        let mut caller = caller.expect("a connection");
        caller.write(&request("/stream/large", "r-1"));
        caller.await_data();
        caller
    }

    /// Waits until a request has reached the upstream, and begins the response.
    fn begin_response(&self) -> Sender<String> {
        self.begin_response_to(&self.upstream.request())
    }

    /// Begins the response to a request that has reached the upstream.
    fn begin_response_to(&self, request: &Message) -> Sender<String> {
        let response = self
            .responses
            .recv_timeout(TEST_TIMEOUT)
            .expect("a request");
        let first_event = chunk("id: 1\ndata: a\n\n");
        response.send(stream_head(request) + &first_event).unwrap();
        response
    }

    /// Begins a stream, and returns after the client has received the beginning.
    fn begin_stream(&self) -> (Caller, Sender<String>) {
        let mut caller = self.connect();
        caller.write(&request("/stream/1", "r-1"));
        let response = self.begin_response();
        caller.await_data();
        (caller, response)
    }

    fn terminate(&self) {
        let front = self.system.front_process(0);
        front.signal("TERM");
        front.wait_for("shutdown_started");
    }

    /// Waits until the front has closed connections that sent their bytes later than all bytes so far and have exceeded
    /// the time-out for receiving a request. One is not enough, as each connection checks its time-outs at times of its
    /// own.
    fn wait_for_request_timeout(&self) {
        self.wait_for_request_timeout_of(0);
    }

    fn wait_for_request_timeout_of(&self, front: u8) {
        for _ in 0..2 {
            let mut stalled_client =
                Caller::connect(self.system.front(front)).expect("a connection");
            stalled_client.write(PARTIAL_HEAD);
            stalled_client.wait_until_closed();
        }
    }

    /// Waits until the front accepts no more connections.
    fn wait_until_not_accepting(&self) {
        while let Some(mut stalled_client) = Caller::connect(self.system.front(0)) {
            stalled_client.write(PARTIAL_HEAD);
            stalled_client.wait_until_closed();
        }
    }

    /// Terminates the front and waits until it closes idle connections.
    fn terminate_until_idle_connections_close(&self) {
        let mut idle = self.connect();
        idle.write(&request("/stream/now", "r-idle"));
        idle.read_response().expect("an answer");
        self.upstream.request();
        self.terminate();
        idle.wait_until_closed();
    }
}

fn request(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

fn chunked_request(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n\
         2\r\n{{}}\r\n0\r\n\r\n"
    )
}

/// Sends the rest of a response.
fn complete(response: Sender<String>) {
    let last_event = chunk("id: 2\ndata: b\n\n");
    response.send(last_event + LAST_CHUNK).unwrap();
}

fn assert_complete_stream(caller: &mut Caller) {
    let body = caller.read_chunked_body().expect("a complete stream");
    assert_eq!(
        String::from_utf8_lossy(&body),
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    );
}

#[rstest]
#[case::in_service(false)]
#[case::during_shutdown(true)]
fn a_chunked_request_is_not_aborted_while_its_upstream_is_silent(#[case] during_shutdown: bool) {
    let fixture = Fixture::start();
    let mut caller = fixture.connect();
    caller.write(&chunked_request("/stream/1", "r-1"));
    let request = fixture.upstream.request();
    if during_shutdown {
        fixture.terminate();
    }
    fixture.wait_for_request_timeout();
    complete(fixture.begin_response_to(&request));
    assert_complete_stream(&mut caller);
}

#[rstest]
fn bytes_after_a_request_do_not_abort_its_stream(
    #[values("\r\n", PARTIAL_HEAD)] bytes: &str,
    #[values(false, true)] during_shutdown: bool,
) {
    let fixture = Fixture::start();
    let (mut caller, response) = fixture.begin_stream();
    caller.write(bytes);
    if during_shutdown {
        fixture.terminate();
    }
    fixture.wait_for_request_timeout();
    complete(response);
    assert_complete_stream(&mut caller);
}

#[test]
fn a_request_that_is_sent_during_a_stream_is_answered_though_idle_connections_are_closed() {
    let fixture = Fixture::start();
    let (mut caller, response) = fixture.begin_stream();
    fixture.terminate_until_idle_connections_close();
    caller.write(&request("/stream/now", "r-2"));
    complete(response);
    assert_complete_stream(&mut caller);
    let answer = caller.read_chunked_response().expect("an answer");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"now"[..]));
    assert_eq!(answer.headers["connection"], "close");
}

#[test]
fn a_connection_accepted_while_idle_ones_are_closed_gets_the_answer_to_its_first_request() {
    let fixture = Fixture::start();
    fixture.terminate_until_idle_connections_close();
    let mut first = fixture.connect();
    // The front accepts connections in order, so it has accepted the first one when the second one is answered.
    let mut second = fixture.connect();
    second.write(&request("/stream/now", "r-2"));
    assert_eq!(second.read_response().expect("an answer").status(), 200);
    first.write(&request("/stream/now", "r-3"));
    assert_eq!(first.read_response().expect("an answer").status(), 200);
}

#[test]
fn an_empty_line_after_a_response_does_not_reset_an_idle_connection() {
    let fixture = Fixture::start();
    let mut caller = fixture.connect();
    caller.write(&request("/stream/now", "r-1"));
    let answer = caller.read_chunked_response().expect("an answer");
    assert_eq!(answer.status(), 200);
    caller.write("\r\n");
    fixture.wait_for_request_timeout();
    caller.write(&request("/stream/now", "r-2"));
    let answer = caller.read_chunked_response().expect("an answer");
    assert_eq!(answer.status(), 200);
}

fn assert_large_response(caller: &mut Caller) {
    let response = caller.read_chunked_response().expect("a complete response");
    assert_eq!(response.body.len(), LARGE_BODY_BYTES);
}

#[test]
fn an_invalid_request_does_not_destroy_the_response_before_it() {
    let fixture = Fixture::start();
    let mut caller = fixture.request_large_response();
    caller.write("no request\r\n\r\n");
    fixture.wait_for_request_timeout();
    assert_large_response(&mut caller);
    assert_eq!(caller.read_response().expect("a rejection").status(), 400);
}

#[test]
fn connections_that_are_closed_together_keep_the_responses_that_are_not_read_yet() {
    let fixture = Fixture::start();
    let mut callers: Vec<Caller> = (0..CONNECTIONS)
        .map(|_| fixture.request_large_response())
        .collect();
    fixture.terminate_until_idle_connections_close();
    // The client sends more while the front closes the connection.
    callers.iter_mut().for_each(|caller| caller.write("\r\n"));
    callers.iter_mut().for_each(assert_large_response);
}

#[test]
fn connections_in_the_backlog_are_answered_when_the_front_stops_accepting() {
    let fixture = Fixture::start();
    fixture.terminate_until_idle_connections_close();
    let front = fixture.system.front_process(0);
    front.signal("STOP");
    let mut callers: Vec<Caller> = (0..CONNECTIONS).map(|_| fixture.connect()).collect();
    for caller in &mut callers {
        caller.write(&request("/stream/now", "r-1"));
    }
    // The time for accepting connections ends while the first front is stopped.
    fixture.wait_for_request_timeout_of(1);
    front.signal("CONT");
    for caller in &mut callers {
        assert_rejected(caller);
    }
}

/// Checks that the front has promised not to execute a request.
fn assert_rejected(caller: &mut Caller) {
    let response = caller.read_response().expect("an answer");
    assert_eq!(response.status(), 503);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(response.headers["connection"], "close");
}

#[test]
fn a_request_sent_after_the_front_stops_accepting_is_rejected_instead_of_aborted() {
    let fixture = Fixture::start();
    let (mut caller, response) = fixture.begin_stream();
    fixture.terminate();
    fixture.wait_until_not_accepting();
    caller.write(&request("/stream/2", "r-2"));
    complete(response);
    assert_complete_stream(&mut caller);
    assert_rejected(&mut caller);
    assert_eq!(fixture.upstream.count_requests(), 0);
}
