//! A system with one front and several upstreams, whose streams the test sends part by part.

use crate::program::program_path;
use serde_json::{Value, json};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use woadstall_mock_servers::http1::{
    Caller, Message, Reaction, ResponseParts, TEST_TIMEOUT, Upstream,
};
use woadstall_mock_servers::system::{LAST_CHUNK, MEMORY_MB, System, chunk, response, stream_head};

/// The limit of a front's memory in the settings, in KiB.
pub const MEMORY_LIMIT_KIB: u64 = MEMORY_MB << 10;
/// Memory for the request bodies of resumable streams, in bytes: a sixth of the limit.
pub const RESUMABLE_BYTES: usize = (MEMORY_MB << 20) as usize / 6;
/// Size of the receive buffer of a client that does not read.
const SMALL_RECEIVE_BUFFER: usize = 16 << 10;
/// The first event of each stream.
pub const FIRST_EVENT: &str = "id: 1\ndata: a\n\n";
/// The last event of each stream.
pub const LAST_EVENT: &str = "id: 2\ndata: b\n\n";
/// Number of upstreams.
const UPSTREAMS: u8 = 4;

/// The processes of the system, and the requests on streaming routes that have reached the upstreams.
pub struct Fixture {
    pub system: System,
    upstreams: Vec<Upstream>,
    requests: Receiver<StreamRequest>,
}

/// A request on a streaming route that has reached an upstream.
pub struct StreamRequest {
    pub body_bytes: usize,
    pub last_event_id: Option<String>,
    parts: Sender<String>,
}

/// A stream that has begun.
pub struct Stream {
    caller: Caller,
    /// Sends the parts of the response. The upstream closes its connection when the sender is dropped.
    pub parts: Sender<String>,
    /// The events that the client must receive.
    expected: String,
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

/// Responds to `/safe/BYTES` with a body of this size, and to other requests with a stream.
fn react(request: &Message, requests: &Mutex<Sender<StreamRequest>>) -> Reaction {
    let path = request.start_line.split(' ').nth(1).unwrap_or_default();
    if let Some(bytes) = path.strip_prefix("/safe/") {
        let bytes = bytes.parse().expect("the path ends with a size");
        return Reaction::Respond(response(request, &"r".repeat(bytes)));
    }
    let (parts, response_parts) = ResponseParts::new();
    let head = stream_head(request) + &chunk(FIRST_EVENT);
    parts.send(head).expect("the response is awaited");
    let request = StreamRequest {
        body_bytes: request.body.len(),
        last_event_id: request.headers.get("last-event-id").cloned(),
        parts,
    };
    requests.lock().unwrap().send(request).unwrap();
    Reaction::RespondInPartsAndClose(response_parts)
}

impl Fixture {
    pub fn start() -> Self {
        let system = System::start(&program_path(), 1);
        system.configure(0, 0, &configuration());
        let (request_sender, requests) = channel();
        let start_upstream = |number: u8| {
            let request_sender = Mutex::new(request_sender.clone());
            let upstream = Upstream::start(move |request| react(request, &request_sender));
            let id = format!("i-{number}");
            system.register_with_capacity(0, &id, "s", upstream.address, 0, 1_000);
            upstream
        };
        let upstreams = (0..UPSTREAMS).map(start_upstream).collect();
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

    /// Sends a request and waits until its stream has begun.
    pub fn begin_stream(&self, route: &str, body_bytes: usize) -> Stream {
        let mut caller = Caller::connect(self.system.front(0)).expect("a connection");
        caller.write(&head(&format!("/{route}/1"), body_bytes));
        caller.write(&"b".repeat(body_bytes));
        let request = self.next_request();
        caller.await_data();
        Stream {
            caller,
            parts: request.parts,
            expected: FIRST_EVENT.to_owned(),
        }
    }

    /// Ends a stream's connection to its upstream, and waits until another upstream gets the request.
    pub fn break_and_resume(&self, stream: &mut Stream) -> StreamRequest {
        let (unused, _) = channel();
        drop(std::mem::replace(&mut stream.parts, unused));
        let request = self.next_request();
        stream.parts = request.parts.clone();
        // The upstreams begin each stream with the first event.
        stream.expected += FIRST_EVENT;
        request
    }

    /// Requests a response of this size on a connection whose client does not read, and waits until it begins.
    pub fn request_response(&self, bytes: usize) -> Caller {
        let address = self.system.front(0);
        let caller = Caller::connect_with_receive_buffer(address, SMALL_RECEIVE_BUFFER);
        let mut caller = caller.expect("a connection");
        caller.write(&head(&format!("/safe/{bytes}"), 0));
        caller.await_data();
        caller
    }

    /// Most memory that the front has had so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        self.system.front_process(0).peak_memory_kib()
    }
}

fn head(path: &str, body_bytes: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-1\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
}

impl Stream {
    /// Completes the stream, and checks what the client has received.
    pub fn complete(mut self) {
        let last_event = chunk(LAST_EVENT);
        self.parts.send(last_event + LAST_CHUNK).unwrap();
        let body = self.caller.read_chunked_body();
        assert_eq!(
            String::from_utf8_lossy(&body.expect("a complete stream")),
            self.expected + LAST_EVENT
        );
    }

    /// Ends the connection to the upstream, and checks that the stream does not look complete.
    pub fn break_off(mut self) {
        drop(self.parts);
        assert!(
            self.caller.read_chunked_body().is_none(),
            "the stream must be truncated"
        );
    }

    /// Sends the rest of the stream as it is, and returns all that the client has received.
    pub fn read_to_end(mut self) -> Vec<u8> {
        self.parts.send(LAST_CHUNK.to_owned()).unwrap();
        self.caller.read_chunked_body().expect("a complete stream")
    }
}
