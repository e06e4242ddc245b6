//! A client that uses connections until they end: it sends requests in pieces, pipelines, sends empty lines and beginnings
//! of requests during responses, reads slowly and half-closes.

use super::connection::{Connection, ResponseHead};
use super::history::{ConnectionEnd, Outcome, Request};
use super::run::Run;
use super::upstreams::StreamPlan;
use fastrand::Rng;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Time that a client gives a request.
const DEADLINE: Duration = Duration::from_secs(8);
/// Maximum number of requests on a connection.
const MAX_REQUESTS: usize = 12;
/// Delay after a connection that could not be opened.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Maximum pause between two requests on a connection, in milliseconds.
const MAX_THINK_TIME_MS: u64 = 400;
/// Maximum delay between two parts of a request, in milliseconds.
const MAX_WRITE_DELAY_MS: u64 = 30;
/// Delay of a slow client after each chunk of a response.
const SLOW_READ_DELAY: Duration = Duration::from_millis(30);

/// What a client sends while it receives a response.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    None,
    EmptyLine,
    /// The beginning of the next request, whose rest follows after the response.
    PartialRequest,
    /// The next request.
    Request,
}

impl Interruption {
    fn draw(random: &mut Rng) -> Self {
        match random.u8(0..10) {
            0 => Self::EmptyLine,
            1 => Self::PartialRequest,
            2 => Self::Request,
            _ => Self::None,
        }
    }
}

/// A request that has not been sent completely.
struct UnsentRequest {
    request: Request,
    /// The bytes that have not been sent.
    bytes: Vec<u8>,
    /// Number of these bytes that belong to the head.
    head_bytes: usize,
}

impl UnsentRequest {
    /// Sends the next bytes; returns `false` if the connection has ended.
    fn send(&mut self, bytes: usize, connection: &mut Connection, run: &Run) -> bool {
        if (1..=bytes).contains(&self.head_bytes) {
            self.request.head_sent = run.now();
        }
        self.head_bytes = self.head_bytes.saturating_sub(bytes);
        let sent: Vec<u8> = self.bytes.drain(..bytes).collect();
        connection.write(&sent)
    }
}

/// A client of the fronts.
pub struct Client {
    name: String,
    run: Arc<Run>,
    random: Rng,
    next_number: u32,
    requests: Vec<Request>,
}

/// The requests of one connection that have no complete response, and the rest of a request that was sent partly.
struct Session {
    connection: Connection,
    front: u8,
    is_slow: bool,
    has_half_closed: bool,
    outstanding: VecDeque<Request>,
    partly_sent: Option<UnsentRequest>,
}

impl Client {
    /// Creates a client.
    pub fn new(name: String, run: Arc<Run>, seed: u64) -> Self {
        Self {
            name,
            run,
            random: Rng::with_seed(seed),
            next_number: 0,
            requests: Vec::new(),
        }
    }

    /// Sends requests until the run is over, and returns them.
    pub fn run(mut self) -> Vec<Request> {
        while !self.run.is_over() {
            let front = self.random.usize(0..self.run.fronts.len());
            match Connection::open(self.run.fronts[front]) {
                Some(connection) => self.use_connection(connection, front),
                None => self.run.pause(RECONNECT_DELAY),
            }
        }
        self.requests
    }

    fn use_connection(&mut self, connection: Connection, front: usize) {
        let mut session = Session {
            connection,
            front: u8::try_from(front).expect("a small number"),
            is_slow: self.random.u8(0..8) == 0,
            has_half_closed: false,
            outstanding: VecDeque::new(),
            partly_sent: None,
        };
        for _ in 0..self.random.usize(1..=MAX_REQUESTS) {
            if self.run.is_over() || !self.send_next(&mut session) {
                break;
            }
            if let Err((end, status)) = self.receive_all(&mut session) {
                self.fail_outstanding(session, end, status);
                return;
            }
            if session.has_half_closed {
                return;
            }
            self.think();
        }
        // A request may have been sent although its connection was ending.
        if !session.outstanding.is_empty() {
            self.receive_rest(session);
        }
    }

    fn think(&mut self) {
        if self.random.bool() {
            let pause = self.random.u64(0..MAX_THINK_TIME_MS);
            self.run.pause(Duration::from_millis(pause));
        }
    }

    /// Sends the next request, or the rest of one. Returns `false` if the connection has ended or may not be used.
    fn send_next(&mut self, session: &mut Session) -> bool {
        let mut unsent = match session.partly_sent.take() {
            Some(unsent) => unsent,
            None => self.prepare(session.front),
        };
        while self.random.u8(0..4) == 0 && unsent.bytes.len() > 1 {
            let bytes = self.random.usize(1..unsent.bytes.len());
            if !unsent.send(bytes, &mut session.connection, &self.run) {
                return false;
            }
            let delay = self.random.u64(0..MAX_WRITE_DELAY_MS);
            self.run.pause(Duration::from_millis(delay));
        }
        if !self.send_rest(unsent, session) {
            return false;
        }
        if self.random.u8(0..40) == 0 {
            session.connection.half_close();
            session.has_half_closed = true;
        }
        true
    }

    /// Sends the rest of a request; returns `false` if the connection has ended.
    fn send_rest(&self, mut unsent: UnsentRequest, session: &mut Session) -> bool {
        let bytes = unsent.bytes.len();
        if !unsent.send(bytes, &mut session.connection, &self.run) {
            return false;
        }
        unsent.request.sent = self.run.now();
        session.outstanding.push_back(unsent.request);
        true
    }

    /// Receives the responses to all requests that have been sent.
    fn receive_all(&mut self, session: &mut Session) -> Result<(), (ConnectionEnd, Option<u16>)> {
        while !session.outstanding.is_empty() {
            let head = session.connection.read_head().map_err(|end| (end, None))?;
            self.interrupt(session, &head);
            let run = self.run.clone();
            let is_slow = session.is_slow;
            let response = session.connection.read_body(&head, || {
                if is_slow {
                    run.pause(SLOW_READ_DELAY);
                }
            });
            let response = response.map_err(|end| (end, Some(head.status)))?;
            let mut request = session.outstanding.pop_front().expect("a request");
            request.ended = self.run.now();
            request.outcome = Outcome::Response(response);
            self.requests.push(request);
            if head.closes {
                // Requests behind a response that closes the connection are not served (RFC 9112, section 9.6).
                return Err((ConnectionEnd::ByClient, None));
            }
        }
        Ok(())
    }

    fn receive_rest(&mut self, mut session: Session) {
        if let Err((end, status)) = self.receive_all(&mut session) {
            self.fail_outstanding(session, end, status);
        }
    }

    /// Sends something while a response is under way, unless the response closes the connection.
    fn interrupt(&mut self, session: &mut Session, head: &ResponseHead) {
        if head.closes || session.has_half_closed || session.partly_sent.is_some() {
            return;
        }
        match Interruption::draw(&mut self.random) {
            Interruption::None => {}
            Interruption::EmptyLine => drop(session.connection.write(b"\r\n")),
            Interruption::PartialRequest => {
                let mut unsent = self.prepare(session.front);
                let bytes = self.random.usize(1..unsent.bytes.len());
                if unsent.send(bytes, &mut session.connection, &self.run) {
                    session.partly_sent = Some(unsent);
                }
            }
            Interruption::Request => {
                let unsent = self.prepare(session.front);
                self.send_rest(unsent, session);
            }
        }
    }

    fn fail_outstanding(&mut self, session: Session, end: ConnectionEnd, status: Option<u16>) {
        let end = if session.has_half_closed {
            ConnectionEnd::ByClient
        } else {
            end
        };
        let mut status = status;
        for mut request in session.outstanding {
            request.ended = self.run.now();
            request.outcome = Outcome::NoResponse {
                end,
                status: status.take(),
            };
            self.requests.push(request);
        }
    }

    fn prepare(&mut self, front: u8) -> UnsentRequest {
        let id = format!("{}-{}", self.name, self.next_number);
        self.next_number += 1;
        let plan = StreamPlan::draw(&mut self.random);
        let path = ["/stream/", "/resume/", "/once/"][self.random.usize(0..3)];
        let deadline_ms = DEADLINE.as_millis();
        let head = format!(
            "POST {path}{id} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline: {deadline_ms}\r\n{}",
            plan.header()
        );
        let body = "b".repeat(self.random.usize(1..3_000));
        let length = body.len();
        let (framing, body) = if self.random.bool() {
            (format!("Content-Length: {length}"), body)
        } else {
            let chunks = format!("{length:x}\r\n{body}\r\n0\r\n\r\n");
            ("Transfer-Encoding: chunked".to_owned(), chunks)
        };
        let head = format!("{head}{framing}\r\n\r\n");
        let request = Request {
            id,
            front,
            events: plan.events,
            is_resumable: path == "/resume/",
            deadline: DEADLINE,
            head_sent: Duration::ZERO,
            sent: Duration::ZERO,
            ended: Duration::ZERO,
            outcome: Outcome::NoResponse {
                end: ConnectionEnd::Closed,
                status: None,
            },
        };
        UnsentRequest {
            request,
            head_bytes: head.len(),
            bytes: [head, body].concat().into_bytes(),
        }
    }
}
