//! Tests of the memory that bodies of requests and responses take in a front: it stays within the front's limit, and
//! requests are not refused for memory that nothing needs any more.

#[path = "common/program.rs"]
mod program;

use program::program_path;
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use woadstall_mock_servers::http1::{Caller, Reaction, ResponseParts, TEST_TIMEOUT, Upstream};
use woadstall_mock_servers::system::{LAST_CHUNK, System, chunk, response, stream_head};

/// The limit of a front's memory in the settings, in KiB.
const MEMORY_LIMIT_KIB: u64 = 256 << 10;
/// Size of a large request body: the largest that the configuration allows.
const LARGE_BODY_BYTES: usize = 4 << 20;
/// Number of streams whose request bodies together exceed the memory limit.
const STREAMS: usize = 75;
/// Number of requests with large bodies that fit into the memory for the request bodies of resumable streams, which is a
/// sixth of the limit.
const RESUMABLE_STREAMS: usize = 10;
/// Size of the receive buffer of a client that does not read.
const SMALL_RECEIVE_BUFFER: usize = 16 << 10;
/// Size of a large response body that is received whole before it is forwarded.
const LARGE_RESPONSE_BYTES: usize = 7 << 20;
/// Number of responses that together exceed the memory limit.
const RESPONSES: usize = 45;

/// A system with one front and two upstreams. The test sends the parts of the responses on streaming routes.
struct Fixture {
    system: System,
    upstreams: Vec<Upstream>,
    /// Receives the requests on streaming routes.
    requests: Receiver<StreamRequest>,
}

/// A request on a streaming route that has reached an upstream.
struct StreamRequest {
    body_bytes: usize,
    last_event_id: Option<String>,
    /// Sends the parts of the response.
    parts: Sender<String>,
}

fn route(name: &str, route_type: &str, is_resumable: bool) -> Value {
    json!({
        "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"), "route_type": route_type,
        "timeout_ms": 60_000, "target_latency_ms": 500, "priority": 1, "service": "s", "max_attempts": 2,
        "resumable": is_resumable,
    })
}

fn configuration() -> Value {
    json!({
        "generation": 1,
        "routes": [
            route("stream", "streaming", false), route("resumable", "streaming", true), route("safe", "safe", false),
        ],
        "services": [{ "name": "s", "max_connections": 1_000 }],
    })
}

impl Fixture {
    /// Starts the system. Responses on the route `safe` have bodies of `response_bytes`.
    fn start(response_bytes: usize) -> Self {
        let system = System::start(&program_path(), 1);
        system.configure(0, 0, &configuration());
        let (request_sender, requests) = channel();
        let start_upstream = |number: u8| {
            let request_sender = Mutex::new(request_sender.clone());
            let upstream = Upstream::start(move |request| {
                if request.start_line.contains("/safe/") {
                    return Reaction::Respond(response(request, &"r".repeat(response_bytes)));
                }
                let (parts, response_parts) = ResponseParts::new();
                let head = stream_head(request) + &chunk("id: 1\ndata: a\n\n");
                parts.send(head).expect("the response is awaited");
                let request = StreamRequest {
                    body_bytes: request.body.len(),
                    last_event_id: request.headers.get("last-event-id").cloned(),
                    parts,
                };
                request_sender.lock().unwrap().send(request).unwrap();
                Reaction::RespondInPartsAndClose(response_parts)
            });
            let id = format!("i-{number}");
            system.register_with_capacity(0, &id, "s", upstream.address, 0, 1_000);
            upstream
        };
        let upstreams = (0..2).map(start_upstream).collect();
        Self {
            system,
            upstreams,
            requests,
        }
    }

    /// Waits until a request on a streaming route has reached an upstream.
    fn next_request(&self) -> StreamRequest {
        let request = self.requests.recv_timeout(TEST_TIMEOUT);
        // The upstreams keep the requests until they are counted.
        for upstream in &self.upstreams {
            upstream.count_requests();
        }
        request.expect("a request reaches an upstream")
    }

    /// Sends a request with a large body and waits until its stream has begun.
    fn begin_stream(&self, route: &str) -> (Caller, Sender<String>) {
        let mut caller = self.send_large_request(route);
        let parts = self.next_request().parts;
        caller.await_data();
        (caller, parts)
    }

    fn send_large_request(&self, route: &str) -> Caller {
        let mut caller = Caller::connect(self.system.front(0)).expect("a connection");
        caller.write(&format!(
            "POST /{route}/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-1\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n"
        ));
        caller.write(&"b".repeat(LARGE_BODY_BYTES));
        caller
    }
}

fn complete(parts: &Sender<String>) {
    let last_event = chunk("id: 2\ndata: b\n\n");
    parts.send(last_event + LAST_CHUNK).unwrap();
}

fn assert_complete_stream(caller: &mut Caller) {
    let body = caller.read_chunked_body().expect("a complete stream");
    assert_eq!(
        String::from_utf8_lossy(&body),
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    );
}

/// Guards against the failure of `review/5`: the bodies of running streams were in no limit, and a burst of long prompts
/// took the front over its memory limit.
#[rstest]
#[case::not_resumable("stream")]
#[case::resumable("resumable")]
fn bodies_of_running_streams_stay_within_the_memory_limit(#[case] route: &str) {
    let fixture = Fixture::start(0);
    let mut streams: Vec<_> = (0..STREAMS).map(|_| fixture.begin_stream(route)).collect();
    let peak = fixture.system.front_process(0).peak_memory_kib();
    for (caller, parts) in &mut streams {
        complete(parts);
        assert_complete_stream(caller);
    }
    assert!(
        peak < MEMORY_LIMIT_KIB,
        "{peak} KiB of {MEMORY_LIMIT_KIB} KiB"
    );
}

/// Guards against a stream that is resumed with another body, and against memory that stays reserved after a stream.
#[test]
fn streams_are_resumable_as_far_as_their_bodies_fit_into_memory() {
    let fixture = Fixture::start(0);
    for _ in 0..2 {
        let mut streams: Vec<_> = (0..=RESUMABLE_STREAMS)
            .map(|_| fixture.begin_stream("resumable"))
            .collect();
        fixture
            .system
            .front_process(0)
            .wait_for("stream_not_resumable route=resumable reason=body_memory");
        let (mut unkept, parts) = streams.pop().expect("the stream beyond the limit");
        drop(parts);
        assert!(
            unkept.read_chunked_body().is_none(),
            "the stream must be truncated"
        );
        for (mut caller, parts) in streams {
            drop(parts);
            let resumed = fixture.next_request();
            assert_eq!(resumed.last_event_id.as_deref(), Some("1"));
            assert_eq!(resumed.body_bytes, LARGE_BODY_BYTES);
            complete(&resumed.parts);
            let body = caller.read_chunked_body().expect("a complete stream");
            assert!(body.ends_with(b"id: 2\ndata: b\n\n"));
        }
    }
}

/// Guards against an event without an end, which was buffered without limit.
#[test]
fn an_event_that_is_too_large_to_be_buffered_is_forwarded_as_it_arrives() {
    let fixture = Fixture::start(0);
    let (mut caller, parts) = fixture.begin_stream("resumable");
    let data = "d".repeat(64 << 10);
    for _ in 0..32 {
        parts.send(chunk(&data)).unwrap();
    }
    fixture
        .system
        .front_process(0)
        .wait_for("stream_not_resumable route=resumable reason=event_size");
    parts.send(LAST_CHUNK.to_owned()).unwrap();
    let body = caller.read_chunked_body().expect("a complete stream");
    assert_eq!(body.len(), "id: 1\ndata: a\n\n".len() + 32 * data.len());
}

/// Guards against responses that were received whole without a limit on their sum.
#[test]
fn responses_to_clients_that_do_not_read_stay_within_the_memory_limit() {
    let fixture = Fixture::start(LARGE_RESPONSE_BYTES);
    let address = fixture.system.front(0);
    let mut callers: Vec<_> = (0..RESPONSES)
        .map(|_| {
            let caller = Caller::connect_with_receive_buffer(address, SMALL_RECEIVE_BUFFER);
            let mut caller = caller.expect("a connection");
            caller.write("POST /safe/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-1\r\nContent-Length: 0\r\n\r\n");
            caller.await_data();
            caller
        })
        .collect();
    let peak = fixture.system.front_process(0).peak_memory_kib();
    for caller in &mut callers {
        let response = caller.read_whole_response().expect("a complete response");
        assert_eq!(
            (response.status(), response.body.len()),
            (200, LARGE_RESPONSE_BYTES)
        );
    }
    assert!(
        peak < MEMORY_LIMIT_KIB,
        "{peak} KiB of {MEMORY_LIMIT_KIB} KiB"
    );
}

/// Guards against a failure of requests whose response is larger than what a front buffers.
#[test]
fn a_response_larger_than_the_buffer_is_forwarded_as_it_arrives() {
    const BYTES: usize = 9 << 20;
    let fixture = Fixture::start(BYTES);
    let mut caller = Caller::connect(fixture.system.front(0)).expect("a connection");
    caller.write("POST /safe/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-1\r\nContent-Length: 0\r\n\r\n");
    let response = caller.read_whole_response().expect("a complete response");
    assert_eq!((response.status(), response.body.len()), (200, BYTES));
}
