//! HTTP/1.1 on plain threads: a scripted upstream, discovery, and a caller.

use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// How long a test waits for an event: far longer than any takes, so that only a hang reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// A budget (`X-Budget`, seconds) that does not expire within a test.
pub const LONG_BUDGET: &str = "60";

/// A request or a response as it was read from a socket.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or status line, without its line end.
    pub start_line: String,
    /// Header values by lower-case name.
    pub headers: HashMap<String, String>,
    /// The body as `Content-Length` gives it.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads the next message; `None` if the connection ends first.
    pub fn read(input: &mut impl BufRead) -> Option<Self> {
        let mut line = || {
            let mut line = String::new();
            input.read_line(&mut line).ok().filter(|&got| got > 0)?;
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

/// What an upstream does with a request.
#[derive(Clone)]
pub enum Reaction {
    /// Writes this and keeps the connection.
    Respond(String),
    /// Writes this and closes the connection.
    RespondAndClose(String),
    /// Writes a response, and then surplus bytes that belong to no request.
    RespondWithSurplus(String, String),
    /// Writes nothing until the peer closes.
    Stall,
}

/// A 200 response with a body.
pub fn ok_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A 503 response that says that the request was rejected and not executed (`X-Rejected`).
pub fn overloaded_response() -> String {
    "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".into()
}

/// What an upstream observes.
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

/// A scripted upstream. It reports its events in order.
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its events.
    pub events: Receiver<UpstreamEvent>,
}

impl Upstream {
    /// Starts it; `react` decides on each request.
    pub fn start(react: impl Fn(&Message) -> Reaction + Send + Sync + 'static) -> Self {
        let (event_sender, events) = channel();
        let address = listen(move |stream| upstream_connection(stream, &react, &event_sender));
        Self { address, events }
    }

    /// Waits for the next request; skips other events.
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
                .expect("more than an answer"),
            UpstreamEvent::SurplusWritten
        ) {}
    }

    /// Counts the requests since the last call, and drops all pending events.
    pub fn count_requests(&self) -> usize {
        self.events
            .try_iter()
            .filter(|events| matches!(events, UpstreamEvent::Request(_)))
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
            Reaction::RespondWithSurplus(text, more) => {
                output.write_all(text.as_bytes()).unwrap_or(());
                output.write_all(more.as_bytes()).unwrap_or(());
                event_sender.send(UpstreamEvent::SurplusWritten).ok();
            }
            Reaction::Stall => {}
        }
    }
    // Dropping it is not enough: a program that a test spawns at this moment inherits the descriptor until it executes.
    output.shutdown(Shutdown::Both).ok();
    event_sender.send(UpstreamEvent::Closed).ok();
}

/// Serves each connection to a free port on a thread of its own, until the test ends.
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

/// An address that refuses connections. The port stays reserved until the test process ends.
pub fn refused_address() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

/// A discovery server with long polling.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
    queries: Receiver<u64>,
}

impl Discovery {
    /// Starts it with an empty list.
    pub fn start() -> Self {
        Self::start_failing("")
    }

    /// Starts it so that the first request gets `first` as its response and the end of its connection; no such failure if
    /// `first` is empty.
    pub fn start_failing(first: &'static str) -> Self {
        let failed = AtomicBool::new(first.is_empty());
        let state = Arc::new((Mutex::new((1, String::new())), Condvar::new()));
        let (shared, (event_sender, queries)) = (state.clone(), channel());
        let address = listen(move |stream| {
            let mut output = stream.try_clone().unwrap();
            let mut input = BufReader::new(stream);
            while let Some(message) = Message::read(&mut input) {
                if !failed.swap(true, Ordering::Relaxed) {
                    output.write_all(first.as_bytes()).unwrap();
                    return;
                }
                // A request for the complete list names no version.
                let after = message.start_line.split("after=").nth(1);
                let after: u64 =
                    after.map_or(0, |after| after.split('&').next().unwrap().parse().unwrap());
                event_sender.send(after).ok();
                // One without a wait asks for the complete list, which is available at once.
                let wait = message.start_line.split("wait_ms=").nth(1);
                let wait = wait
                    .and_then(|wait| wait.split([' ', '&']).next()?.parse().ok())
                    .unwrap_or(0);
                let (lock, changed) = &*shared;
                let newer = |(rev, _): &mut (u64, String)| *rev <= after;
                let waited = changed.wait_timeout_while(
                    lock.lock().unwrap(),
                    Duration::from_millis(wait),
                    newer,
                );
                let state = waited.unwrap().0;
                let (rev, targets) = &*state;
                let body = match *rev > after {
                    true => format!(r#"{{"rev":{rev},"all":true,"targets":[{targets}]}}"#),
                    false => format!(r#"{{"rev":{rev},"all":false,"targets":[]}}"#),
                };
                drop(state);
                if output.write_all(ok_response(&body).as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self {
            address,
            state,
            queries,
        }
    }

    /// Publishes a list, and waits until the balancer has applied it and watches for the next.
    pub fn publish(&self, targets: &[String]) {
        self.set(targets);
        self.wait_until_watched();
    }

    /// Publishes a list without waiting.
    pub fn set(&self, targets: &[String]) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        *state = (state.0 + 1, targets.join(","));
        drop(state);
        changed.notify_all();
    }

    /// Waits until the balancer has applied the current list and watches for the next.
    pub fn wait_until_watched(&self) {
        let rev = self.state.0.lock().unwrap().0;
        while self
            .queries
            .recv_timeout(TEST_TIMEOUT)
            .expect("the next watch")
            < rev
        {}
    }
}

/// An entry of discovery's list: a warm upstream in the balancer's zone.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// Entries of upstreams in service, named `s-0`, `s-1`, ...
pub fn in_service(upstreams: &[&Upstream]) -> Vec<String> {
    let entry = |(at, upstream): (usize, &&Upstream)| {
        target(&format!("s-{at}"), upstream.address, "in_service")
    };
    upstreams.iter().enumerate().map(entry).collect()
}

/// A configuration with a class that is safe (`look`), keyed (`pay`) and unsafe (`post`).
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

/// A caller's connection.
pub struct Caller {
    input: BufReader<TcpStream>,
}

impl Caller {
    /// Connects; `None` where that is refused.
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Some(Self {
            input: BufReader::new(stream),
        })
    }

    /// Writes raw text.
    pub fn write(&mut self, text: &str) {
        self.input.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Writes a request; see [`request`].
    pub fn send(&mut self, class: &str, budget: &str, body: &str) {
        self.write(&request(class, budget, body));
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
            .expect("the beginning of an answer");
    }

    /// Reads a response in chunked coding and returns its body; `None` if it is truncated.
    pub fn read_chunked_body(&mut self) -> Option<Vec<u8>> {
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            self.input
                .read_line(&mut line)
                .ok()
                .filter(|&got| got > 0)?;
        }
        let mut body = Vec::new();
        loop {
            line.clear();
            self.input
                .read_line(&mut line)
                .ok()
                .filter(|&got| got > 0)?;
            let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
            let start = body.len();
            body.resize(start + length, 0);
            self.input.read_exact(&mut body[start..]).ok()?;
            self.input.read_line(&mut line).ok()?;
            if length == 0 {
                return Some(body);
            }
        }
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

/// A request of a class (`look`, `pay` or `post`) with a unique id; `budget` is the header `X-Budget`, in seconds.
pub fn request(class: &str, budget: &str, body: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    named_request(
        &format!("9b1f03aa{:08x}", NEXT.fetch_add(1, Ordering::Relaxed)),
        class,
        budget,
        body,
    )
}

/// The same with a given id.
pub fn named_request(id: &str, class: &str, budget: &str, body: &str) -> String {
    let (method, extra, body) = match class {
        "look" => ("GET", "", ""),
        "pay" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n", body),
        _ => ("POST", "", body),
    };
    format!(
        "{method} /{class}?x=1 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
         X-Caller: acme\r\nX-Budget: {budget}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
