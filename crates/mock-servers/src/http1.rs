//! HTTP/1.1 mocks on plain threads: a scripted upstream, a discovery server and a caller.

use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// How long tests wait for an event. No event takes nearly as long, so only a hang reaches the timeout.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// A value of the header `X-Budget`, in seconds, that does not expire within a test.
pub const LONG_BUDGET: &str = "60";

/// A request or response that was read from a socket.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or status line, without the line ending.
    pub start_line: String,
    /// Header values by lower-case name. Of headers with the same name, the last value is kept.
    pub headers: HashMap<String, String>,
    /// The body, whose length is given by `Content-Length`; empty without that header.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads the next message; `None` if the connection ends first.
    pub fn read(input: &mut impl BufRead) -> Option<Self> {
        let mut line = || {
            let mut line = String::new();
            input.read_line(&mut line).ok().filter(|&bytes| bytes > 0)?;
            Some(line.trim_end().to_owned())
        };
        let start_line = line()?;
        let mut headers = HashMap::new();
        loop {
            let header = line()?;
            match header.split_once(':') {
                Some((name, value)) => headers.insert(name.to_lowercase(), value.trim().to_owned()),
                None => break,
            };
        }
        let length = headers
            .get("content-length")
            .map_or(0, |length| length.parse().unwrap());
        let mut body = vec![0; length];
        input.read_exact(&mut body).ok()?;
        Some(Self {
            start_line,
            headers,
            body,
        })
    }

    /// The status code of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

/// Reads a body with chunked transfer coding; `None` if it is truncated.
pub(crate) fn read_chunks(input: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        input.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// An upstream's reaction to a request.
#[derive(Clone)]
pub enum Reaction {
    /// Writes this response and keeps the connection open.
    Respond(String),
    /// Writes this response and closes the connection.
    RespondAndClose(String),
    /// Writes a response (the first text), and then surplus bytes that belong to no request (the second text).
    RespondWithSurplus(String, String),
    /// Writes each of these texts as soon as the test sends it, and keeps the connection open.
    RespondInParts(ResponseParts),
    /// Like `RespondInParts`, but closes the connection at the end of the parts.
    RespondInPartsAndClose(ResponseParts),
    /// Writes no response.
    Stall,
}

/// The parts of a response that a test sends one by one. The response ends when the sender is dropped.
#[derive(Clone)]
pub struct ResponseParts(Arc<Mutex<Receiver<String>>>);

impl ResponseParts {
    /// Creates the parts of one response, and the sender for them.
    pub fn new() -> (Sender<String>, Self) {
        let (sender, parts) = channel();
        (sender, Self(Arc::new(Mutex::new(parts))))
    }

    fn write_to(&self, output: &mut impl Write) {
        let parts = self.0.lock().unwrap();
        while let Ok(part) = parts.recv_timeout(TEST_TIMEOUT) {
            output.write_all(part.as_bytes()).unwrap_or(());
        }
    }
}

/// Returns the text of a 200 response with a body.
pub fn ok_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the text of a 503 response that declares the request as rejected and not executed (header `X-Rejected`).
pub fn overloaded_response() -> String {
    "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".into()
}

/// An event at a scripted upstream.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// A connection was accepted.
    Connected,
    /// A request was read.
    Request(Message),
    /// Surplus bytes were written.
    SurplusWritten,
    /// A connection has ended.
    Closed,
}

/// A scripted upstream that reports its events in order.
pub struct Upstream {
    /// Listen address.
    pub address: SocketAddr,
    /// Receives the events of all connections.
    pub events: Receiver<UpstreamEvent>,
}

impl Upstream {
    /// Starts an upstream whose `react` returns the reaction to each request.
    pub fn start(react: impl Fn(&Message) -> Reaction + Send + Sync + 'static) -> Self {
        let (event_sender, events) = channel();
        let address = listen(move |stream| upstream_connection(stream, &react, &event_sender));
        Self { address, events }
    }

    /// Waits for the next request, and drops the events before it.
    pub fn request(&self) -> Message {
        loop {
            if let UpstreamEvent::Request(message) =
                self.events.recv_timeout(TEST_TIMEOUT).expect("a request")
            {
                return message;
            }
        }
    }

    /// Waits until a connection has ended.
    pub fn wait_until_closed(&self) {
        while !matches!(
            self.events
                .recv_timeout(TEST_TIMEOUT)
                .expect("the end of a connection"),
            UpstreamEvent::Closed
        ) {}
    }

    /// Waits until surplus bytes have been written.
    pub fn wait_until_surplus_written(&self) {
        while !matches!(
            self.events
                .recv_timeout(TEST_TIMEOUT)
                .expect("the writing of surplus bytes"),
            UpstreamEvent::SurplusWritten
        ) {}
    }

    /// Drops all pending events and returns the number of requests among them.
    pub fn count_requests(&self) -> usize {
        self.events
            .try_iter()
            .filter(|event| matches!(event, UpstreamEvent::Request(_)))
            .count()
    }
}

fn upstream_connection(
    stream: TcpStream,
    react: &impl Fn(&Message) -> Reaction,
    event_sender: &Sender<UpstreamEvent>,
) {
    event_sender.send(UpstreamEvent::Connected).ok();
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while let Some(message) = Message::read(&mut input) {
        event_sender
            .send(UpstreamEvent::Request(message.clone()))
            .ok();
        match react(&message) {
            Reaction::Respond(text) => output.write_all(text.as_bytes()).unwrap_or(()),
            Reaction::RespondAndClose(text) => {
                output.write_all(text.as_bytes()).unwrap_or(());
                break;
            }
            Reaction::RespondWithSurplus(text, surplus) => {
                output.write_all(text.as_bytes()).unwrap_or(());
                output.write_all(surplus.as_bytes()).unwrap_or(());
                event_sender.send(UpstreamEvent::SurplusWritten).ok();
            }
            Reaction::RespondInParts(parts) => parts.write_to(&mut output),
            Reaction::RespondInPartsAndClose(parts) => {
                parts.write_to(&mut output);
                break;
            }
            Reaction::Stall => {}
        }
    }
    // Dropping the socket does not close the connection if a test is spawning a program at this moment: the child holds
    // an inherited descriptor until it executes the program.
    output.shutdown(Shutdown::Both).ok();
    event_sender.send(UpstreamEvent::Closed).ok();
}

/// Listens on a free port until the test process ends, and serves each connection on its own thread.
fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Returns an address that refuses connections. Its port stays reserved until the test process ends.
pub fn refused_address() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

/// The list that a discovery server publishes.
struct PublishedList {
    revision: u64,
    /// The entries as JSON, separated by commas.
    entries: String,
}

/// The published list, and the notification of its changes to requests that wait for one.
struct SharedList {
    list: Mutex<PublishedList>,
    changed: Condvar,
}

/// A discovery server with long polling.
pub struct Discovery {
    /// Listen address.
    pub address: SocketAddr,
    shared: Arc<SharedList>,
    /// Receives the revision that each request names, or 0 for a request for the complete list.
    queries: Receiver<u64>,
}

impl Discovery {
    /// Starts a server with an empty list.
    pub fn start() -> Self {
        Self::start_failing("")
    }

    /// Starts a server with an empty list that writes the text `failure` in response to the first request and then
    /// closes its connection. If `failure` is empty, the first request is served normally.
    pub fn start_failing(failure: &'static str) -> Self {
        let has_failed = AtomicBool::new(failure.is_empty());
        let shared = Arc::new(SharedList {
            list: Mutex::new(PublishedList {
                revision: 1,
                entries: String::new(),
            }),
            changed: Condvar::new(),
        });
        let (server_list, (query_sender, queries)) = (shared.clone(), channel());
        let address = listen(move |stream| {
            let mut output = stream.try_clone().unwrap();
            let mut input = BufReader::new(stream);
            while let Some(message) = Message::read(&mut input) {
                if !has_failed.swap(true, Ordering::Relaxed) {
                    output.write_all(failure.as_bytes()).unwrap();
                    return;
                }
                // A request for the complete list names no revision.
                let after = message.start_line.split("after=").nth(1);
                let after: u64 =
                    after.map_or(0, |after| after.split('&').next().unwrap().parse().unwrap());
                query_sender.send(after).ok();
                // A request without `wait_ms` asks for the complete list, which is available at once.
                let wait = message.start_line.split("wait_ms=").nth(1);
                let wait = wait
                    .and_then(|wait| wait.split([' ', '&']).next()?.parse().ok())
                    .unwrap_or(0);
                let is_unchanged = |list: &mut PublishedList| list.revision <= after;
                let waited = server_list.changed.wait_timeout_while(
                    server_list.list.lock().unwrap(),
                    Duration::from_millis(wait),
                    is_unchanged,
                );
                let (list, _) = waited.unwrap();
                let PublishedList { revision, entries } = &*list;
                let body = match *revision > after {
                    true => format!(r#"{{"rev":{revision},"all":true,"targets":[{entries}]}}"#),
                    false => format!(r#"{{"rev":{revision},"all":false,"targets":[]}}"#),
                };
                drop(list);
                if output.write_all(ok_response(&body).as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self {
            address,
            shared,
            queries,
        }
    }

    /// Publishes a list, and waits until the balancer has applied it and requested the next one.
    pub fn publish(&self, targets: &[String]) {
        self.set(targets);
        self.wait_until_watched();
    }

    /// Publishes a list without waiting for the balancer.
    pub fn set(&self, targets: &[String]) {
        let mut list = self.shared.list.lock().unwrap();
        list.revision += 1;
        list.entries = targets.join(",");
        drop(list);
        self.shared.changed.notify_all();
    }

    /// Waits until the balancer has applied the current list and requested the next one.
    pub fn wait_until_watched(&self) {
        let revision = self.shared.list.lock().unwrap().revision;
        while self
            .queries
            .recv_timeout(TEST_TIMEOUT)
            .expect("a request for the next list")
            < revision
        {}
    }
}

/// Returns an entry of discovery's list, as JSON, for an upstream at full capacity in the balancer's zone.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// Returns entries of discovery's list for upstreams in service, named `s-0`, `s-1`, ...
pub fn in_service(upstreams: &[&Upstream]) -> Vec<String> {
    let entry = |(number, upstream): (usize, &&Upstream)| {
        target(&format!("s-{number}"), upstream.address, "in_service")
    };
    upstreams.iter().enumerate().map(entry).collect()
}

/// Returns a daemon configuration with a safe class (`look`), a keyed class (`pay`) and an unsafe class (`post`).
pub fn config(discovery: SocketAddr, known: &[String]) -> serde_json::Value {
    let class = |name: &str, effect: &str| {
        serde_json::json!({"Name": name, "Effect": effect, "Group": "all", "WindowNs": 60_000_000_000_u64,
            "AimNs": 30_000_000_000_u64, "DeadlineNs": 60_000_000_000_u64, "LateWorth": 0.5, "Value": 1.0,
            "Stream": false})
    };
    let known: serde_json::Value = serde_json::from_str(&format!(
        r#"{{"rev":1,"all":true,"targets":[{}]}}"#,
        known.join(",")
    ))
    .unwrap();
    serde_json::json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": {
            "Classes": [class("look", "read_like"), class("pay", "idempotency_key"), class("post", "non_idempotent")],
            "Discovery": "push", "Layer": 1, "Layers": ["one", "two"], "Siblings": 1, "Ordinal": 0,
            "Limits": {"Cancelling": true, "ConnIdleNs": 60_000_000_000_u64, "ConnectTimeoutNs": 10_000_000_000_u64,
                "RetryAfter": false, "MaxRetryAfterNs": 1_000_000_000_u64, "TryLimit": 6, "MayDuplicate": true},
            "Safety": {"AnswerSlackNs": 16_000_000, "DrainGraceNs": 1_000_000_000_u64, "StartCapacity": 0.3,
                "TipMultiple": 2.5, "RampTimeNs": 8_400_000_000_u64},
            "Tenants": [{"Name": "acme", "QuotaRps": 1000.0, "Share": 1.0}],
            "ValueBy": "request", "Zone": 0, "Zones": ["a"],
        },
    })
}

/// Reads a response whose body has a length or is chunked; `None` if it is missing or truncated.
pub fn read_whole_response(input: &mut impl BufRead) -> Option<Message> {
    let mut response = Message::read(input)?;
    let coding = response.headers.get("transfer-encoding");
    if coding.is_some_and(|coding| coding == "chunked") {
        response.body = read_chunks(input)?;
    }
    Some(response)
}

/// A caller's connection.
pub struct Caller {
    input: BufReader<TcpStream>,
}

impl Caller {
    /// Opens a connection; `None` if connecting fails.
    pub fn connect(address: SocketAddr) -> Option<Self> {
        Some(Self::from_stream(TcpStream::connect(address).ok()?))
    }

    /// Opens a connection whose receive buffer in the kernel has about this size, so that most of a large response stays
    /// in the peer's send buffer until the response is read.
    pub fn connect_with_receive_buffer(address: SocketAddr, bytes: usize) -> Option<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(bytes).unwrap();
        socket.connect(&address.into()).ok()?;
        Some(Self::from_stream(socket.into()))
    }

    fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Self {
            input: BufReader::new(stream),
        }
    }

    /// Writes raw text.
    pub fn write(&mut self, text: &str) {
        self.input.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Writes a request with a unique id, as created by [`request`].
    pub fn send(&mut self, class: &str, budget: &str, body: &str) {
        self.write(&request(class, budget, body));
    }

    /// Waits until the peer has closed or reset the connection; the bytes before that are discarded.
    pub fn wait_until_closed(&mut self) {
        let mut buffer = [0; 1024];
        while self.input.read(&mut buffer).is_ok_and(|bytes| bytes > 0) {}
    }

    /// Reads the next response; `None` if the connection ends first.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    /// Waits until part of a response has arrived, without reading it.
    pub fn await_data(&mut self) {
        self.input
            .get_ref()
            .peek(&mut [0])
            .expect("the beginning of a response");
    }

    /// Reads a response whose body has a length or is chunked; `None` if it is missing or truncated.
    pub fn read_whole_response(&mut self) -> Option<Message> {
        read_whole_response(&mut self.input)
    }

    /// Reads a response with chunked transfer coding; `None` if the response is truncated.
    pub fn read_chunked_response(&mut self) -> Option<Message> {
        let mut response = self.read_response()?;
        response.body = read_chunks(&mut self.input)?;
        Some(response)
    }

    /// Reads a response with chunked transfer coding and returns its body; `None` if the response is truncated.
    pub fn read_chunked_body(&mut self) -> Option<Vec<u8>> {
        Some(self.read_chunked_response()?.body)
    }

    /// Sends a request and reads its response; `None` if the connection has ended.
    pub fn call(&mut self, class: &str, budget: &str, body: &str) -> Option<Message> {
        self.input
            .get_mut()
            .write_all(request(class, budget, body).as_bytes())
            .ok()?;
        self.read_response()
    }
}

/// Returns the text of a request of a class (`look`, `pay` or `post`) with a unique id. `budget` is the value of the
/// header `X-Budget`, in seconds.
pub fn request(class: &str, budget: &str, body: &str) -> String {
    static NEXT_ID: AtomicU32 = AtomicU32::new(0);
    named_request(
        &format!("9b1f03aa{:08x}", NEXT_ID.fetch_add(1, Ordering::Relaxed)),
        class,
        budget,
        body,
    )
}

/// Returns the text of a request like [`request`], with the id `id` in the header `X-Call-Id`.
pub fn named_request(id: &str, class: &str, budget: &str, body: &str) -> String {
    let (method, key_header, body) = match class {
        "look" => ("GET", "", ""),
        "pay" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n", body),
        _ => ("POST", "", body),
    };
    format!(
        "{method} /{class}?x=1 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
         X-Caller: acme\r\nX-Budget: {budget}\r\n{key_header}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
