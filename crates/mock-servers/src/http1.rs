//! HTTP/1.1 on plain threads: an upstream and discovery that do as they are told, and a caller.

use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Far more than anything takes here; reached only where something hangs.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// A caller's time where the test does not wait for its end.
pub const LONG: &str = "60";

/// A request or an answer as it was on the socket.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads the next message; `None` where the peer closes or breaks the connection first.
    pub fn read(input: &mut impl BufRead) -> Option<Self> {
        let mut line = || {
            let mut line = String::new();
            input.read_line(&mut line).ok().filter(|&got| got > 0)?;
            Some(line.trim_end().to_owned())
        };
        let first_line = line()?;
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
            first_line,
            headers,
            body,
        })
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

/// What a stand-in for an upstream does with a request.
#[derive(Clone)]
pub enum Act {
    /// Writes this and keeps the connection.
    Answer(String),
    /// Writes this and closes the connection.
    AnswerAndClose(String),
    /// Writes the one, and then the other, which belongs to no request.
    AnswerAndMore(String, String),
    /// Says nothing until the peer closes.
    Silence,
}

pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn full() -> String {
    "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".into()
}

/// What happens at an upstream.
#[derive(Debug)]
pub enum Seen {
    Connected,
    Request(Message),
    /// What belongs to no request is written.
    Wrote,
    /// A connection has ended.
    Closed,
}

/// A stand-in for an upstream; it tells what it sees in order.
pub struct Upstream {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
}

impl Upstream {
    pub fn start(act: impl Fn(&Message) -> Act + Send + Sync + 'static) -> Self {
        let (tell, seen) = channel();
        let address = listen(move |stream| upstream_connection(stream, &act, &tell));
        Self { address, seen }
    }

    /// The next request, whatever else is seen before.
    pub fn request(&self) -> Message {
        loop {
            if let Seen::Request(message) = self.seen.recv_timeout(PATIENCE).expect("a request") {
                return message;
            }
        }
    }

    /// Waits until a connection has ended.
    pub fn closed(&self) {
        while !matches!(
            self.seen
                .recv_timeout(PATIENCE)
                .expect("the end of a connection"),
            Seen::Closed
        ) {}
    }

    /// Waits until something is written that belongs to no request.
    pub fn wrote(&self) {
        while !matches!(
            self.seen
                .recv_timeout(PATIENCE)
                .expect("more than an answer"),
            Seen::Wrote
        ) {}
    }

    /// The requests seen since the last look.
    pub fn requests(&self) -> usize {
        self.seen
            .try_iter()
            .filter(|seen| matches!(seen, Seen::Request(_)))
            .count()
    }
}

fn upstream_connection(stream: TcpStream, act: &impl Fn(&Message) -> Act, tell: &Sender<Seen>) {
    tell.send(Seen::Connected).ok();
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while let Some(message) = Message::read(&mut input) {
        tell.send(Seen::Request(message.clone())).ok();
        match act(&message) {
            Act::Answer(text) => output.write_all(text.as_bytes()).unwrap_or(()),
            Act::AnswerAndClose(text) => {
                output.write_all(text.as_bytes()).unwrap_or(());
                break;
            }
            Act::AnswerAndMore(text, more) => {
                output.write_all(text.as_bytes()).unwrap_or(());
                output.write_all(more.as_bytes()).unwrap_or(());
                tell.send(Seen::Wrote).ok();
            }
            Act::Silence => {}
        }
    }
    // Not by dropping it: a test that starts its program just now holds a copy until that runs.
    output.shutdown(Shutdown::Both).ok();
    tell.send(Seen::Closed).ok();
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

/// An address at which nothing listens, and nothing will: the port stays taken.
pub fn refusing() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

/// A stand-in for discovery.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
    asked: Receiver<u64>,
}

impl Discovery {
    pub fn start() -> Self {
        Self::start_failing("")
    }

    /// The first call gets this for an answer and the end of its connection, if it is not empty.
    pub fn start_failing(first: &'static str) -> Self {
        let failed = AtomicBool::new(first.is_empty());
        let state = Arc::new((Mutex::new((1, String::new())), Condvar::new()));
        let (shared, (tell, asked)) = (state.clone(), channel());
        let address = listen(move |stream| {
            let mut output = stream.try_clone().unwrap();
            let mut input = BufReader::new(stream);
            while let Some(message) = Message::read(&mut input) {
                if !failed.swap(true, Ordering::Relaxed) {
                    output.write_all(first.as_bytes()).unwrap();
                    return;
                }
                // A call for the whole list names no version.
                let after = message.first_line.split("after=").nth(1);
                let after: u64 =
                    after.map_or(0, |after| after.split('&').next().unwrap().parse().unwrap());
                tell.send(after).ok();
                // A watch that names no wait is a call for the whole list, which is there at once.
                let wait = message.first_line.split("wait_ms=").nth(1);
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
                if output.write_all(ok(&body).as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self {
            address,
            state,
            asked,
        }
    }

    /// Tells of a new list, and waits until the balancer has taken it and watches for the next.
    pub fn publish(&self, targets: &[String]) {
        self.set(targets);
        self.watched();
    }

    /// Has a new list from now on.
    pub fn set(&self, targets: &[String]) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        *state = (state.0 + 1, targets.join(","));
        drop(state);
        changed.notify_all();
    }

    /// Waits until the balancer has taken the present list and watches for the next.
    pub fn watched(&self) {
        let rev = self.state.0.lock().unwrap().0;
        while self.asked.recv_timeout(PATIENCE).expect("the next watch") < rev {}
    }
}

/// An entry of a list: a warm upstream in the balancer's zone.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

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
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Some(Self {
            input: BufReader::new(stream),
        })
    }

    pub fn write(&mut self, text: &str) {
        self.input.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn send(&mut self, class: &str, budget: &str, body: &str) {
        self.write(&request(class, budget, body));
    }

    /// The next answer; `None` where the connection ends without one.
    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    /// Waits until some of an answer has come, and takes none of it.
    pub fn await_data(&mut self) {
        self.input
            .get_ref()
            .peek(&mut [0])
            .expect("the beginning of an answer");
    }

    /// The body of an answer that comes in chunks; `None` where it breaks off.
    pub fn chunked_answer(&mut self) -> Option<Vec<u8>> {
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

    /// One request and its answer; `None` where the connection has ended.
    pub fn call(&mut self, class: &str, budget: &str, body: &str) -> Option<Message> {
        self.input
            .get_mut()
            .write_all(request(class, budget, body).as_bytes())
            .ok()?;
        self.answer()
    }
}

/// A request as a caller writes it, with an id of its own.
pub fn request(class: &str, budget: &str, body: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    named_request(
        &format!("9b1f03aa{:08x}", NEXT.fetch_add(1, Ordering::Relaxed)),
        class,
        budget,
        body,
    )
}

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
