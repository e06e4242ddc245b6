//! An HTTP client that keeps its connection to one core server, and switches to the next server if
//! the connection fails, a request is refused or an answer does not arrive in time.

use super::cores::Run;
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::Message;

/// The client switches to another server after this time without an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// A server whose process runs must answer within this time; otherwise the call counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a client that waits for an answer checks whether a fault disturbs its server.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An HTTP request to the coordination service.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub body: String,
    /// How long the server may delay its answer, as for a watch.
    pub wait: Duration,
}

impl Request {
    /// Creates a request that the server answers without delay.
    pub fn new(method: &'static str, path: String, body: &Value) -> Self {
        Self {
            method,
            path,
            body: body.to_string(),
            wait: Duration::ZERO,
        }
    }
}

/// The outcome of sending a request once.
#[derive(Debug)]
enum Attempt {
    /// The status and body: the request was executed, or rejected for its content.
    Answer(u16, Value),
    /// The request has not taken effect and never will.
    Refused,
    /// The request may have taken effect.
    Unclear,
}

/// The answer to a request.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
    /// When the answered attempt was sent, since the beginning of the run.
    pub sent: Duration,
    /// When the answer was received, since the beginning of the run.
    pub received: Duration,
}

impl Answer {
    /// A numeric field of the body; 0 if the field is missing.
    pub fn number(&self, field: &str) -> u64 {
        self.body[field].as_u64().unwrap_or_default()
    }
}

/// The error for a request that was given up without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// Whether the request may have taken effect.
    pub is_unclear: bool,
}

/// A client with at most one open connection.
#[derive(Debug)]
pub struct Caller {
    run: Arc<Run>,
    addresses: Vec<SocketAddr>,
    /// The index of the server that receives the next call.
    core: usize,
    connection: Option<BufReader<TcpStream>>,
}

impl Caller {
    /// Creates a client that sends its first call to the server `core`.
    pub fn new(run: Arc<Run>, addresses: Vec<SocketAddr>, core: usize) -> Self {
        Self {
            run,
            addresses,
            core,
            connection: None,
        }
    }

    /// Sends a request repeatedly until it is answered. Gives up after `max_refusals` refusals, or
    /// after `until`; without `until`, at the end of the run.
    pub fn call(
        &mut self,
        request: &Request,
        max_refusals: usize,
        until: Option<Instant>,
    ) -> Result<Answer, GivenUp> {
        let (mut refusals, mut is_unclear) = (0, false);
        while refusals < max_refusals && !self.is_expired(until) {
            let sent = self.run.now();
            match self.attempt(request, Instant::now()) {
                Attempt::Answer(status, body) => {
                    self.run.count_executed();
                    let received = self.run.now();
                    return Ok(Answer {
                        status,
                        body,
                        sent,
                        received,
                    });
                }
                Attempt::Refused => refusals += 1,
                Attempt::Unclear => is_unclear = true,
            }
            self.switch_server();
            if self.core == 0 {
                self.run.wait_for_change();
            }
        }
        Err(GivenUp { is_unclear })
    }

    /// Closes the connection, so that the next call goes to the next server.
    pub fn switch_server(&mut self) {
        self.core = (self.core + 1) % self.addresses.len();
        self.connection = None;
    }

    fn is_expired(&self, until: Option<Instant>) -> bool {
        match until {
            Some(until) => Instant::now() > until,
            None => self.run.is_over.load(Ordering::Relaxed),
        }
    }

    fn attempt(&mut self, request: &Request, sent: Instant) -> Attempt {
        let Some(mut connection) = self.connect() else {
            return Attempt::Refused;
        };
        let text = format!(
            "{} {} HTTP/1.1\r\nHost: control.example\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{}",
            request.method,
            request.path,
            request.body.len(),
            request.body
        );
        if connection.get_mut().write_all(text.as_bytes()).is_err() {
            return Attempt::Unclear;
        }
        if !self.await_answer(&mut connection, request, sent) {
            return Attempt::Unclear;
        }
        let Some(message) = Message::read(&mut connection) else {
            return Attempt::Unclear;
        };
        match message.status() {
            429 | 503 => Attempt::Refused,
            500.. => Attempt::Unclear,
            _ if sent.elapsed() > request.wait + CALLER_TIMEOUT => Attempt::Unclear,
            status => {
                self.connection = Some(connection);
                let body = serde_json::from_slice(&message.body).unwrap_or(Value::Null);
                Attempt::Answer(status, body)
            }
        }
    }

    /// Takes the open connection, or opens a new one.
    fn connect(&mut self) -> Option<BufReader<TcpStream>> {
        if let Some(connection) = self.connection.take() {
            return Some(connection);
        }
        let stream = TcpStream::connect_timeout(&self.addresses[self.core], CALLER_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(CHECK_INTERVAL)).ok()?;
        Some(BufReader::new(stream))
    }

    /// Waits for the first bytes of an answer and returns whether they arrived. Reports a violation if
    /// an undisturbed server does not answer within `ANSWER_TIMEOUT` beyond the request's wait.
    fn await_answer(
        &self,
        connection: &mut BufReader<TcpStream>,
        request: &Request,
        sent: Instant,
    ) -> bool {
        let core = u8::try_from(self.core).expect("the server index fits in a byte");
        let mut thread = self.run.main_thread(core);
        let (mut starved_time, mut last_check) = (Duration::ZERO, Instant::now());
        loop {
            match connection.fill_buf() {
                Ok(bytes) => return !bytes.is_empty(),
                Err(error) if is_timeout(&error) => {}
                Err(_) => return false,
            }
            let latest = self.run.main_thread(core);
            if let (Some(latest), Some(thread)) = (&latest, &thread)
                && latest.has_starved_since(thread)
            {
                starved_time += last_check.elapsed();
            }
            (thread, last_check) = (latest, Instant::now());
            let Some(since) = self.run.undisturbed_since(core, sent) else {
                if sent.elapsed() > request.wait + CALLER_TIMEOUT {
                    return false;
                }
                continue;
            };
            if since.elapsed() > request.wait + ANSWER_TIMEOUT {
                let Request { method, path, .. } = request;
                self.run.report(format!(
                    "LOST: no answer from core-{core} to {method} {path} within {:?}, \
                     of which its process had no processor for {starved_time:?}: {thread:?}",
                    sent.elapsed()
                ));
                return false;
            }
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock | Interrupted)
}
