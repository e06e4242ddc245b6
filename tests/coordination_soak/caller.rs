//! A client that keeps its connection to a core machine until that fails, refuses or is silent.

use super::cores::Run;
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::Message;

/// A client goes to another machine after this time without an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// A machine that runs must have answered by then, or its process has ended.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a client that waits checks whether its machine is disturbed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An HTTP request of the service.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub body: String,
    /// How long the machine may wait before it answers.
    pub wait: Duration,
}

impl Request {
    /// A request that is answered at once.
    pub fn new(method: &'static str, path: String, body: &Value) -> Self {
        Self {
            method,
            path,
            body: body.to_string(),
            wait: Duration::ZERO,
        }
    }
}

/// What came of a request that was sent once.
#[derive(Debug)]
enum Attempt {
    /// It was executed, or rejected for its content.
    Answer(u16, Value),
    /// It has not taken effect and never will.
    Refused,
    /// It may have taken effect.
    Unclear,
}

/// The answer to a request.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
    /// When the attempt that was answered was sent.
    pub sent: Duration,
    pub received: Duration,
}

impl Answer {
    /// A number of the answer; 0 where it is missing.
    pub fn number(&self, field: &str) -> u64 {
        self.body[field].as_u64().unwrap_or_default()
    }
}

/// A request that was given up. Whether it may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    pub is_unclear: bool,
}

/// The client.
#[derive(Debug)]
pub struct Caller {
    run: Arc<Run>,
    addresses: Vec<SocketAddr>,
    /// The machine that it calls.
    core: usize,
    connection: Option<BufReader<TcpStream>>,
}

impl Caller {
    /// A client that calls this machine first.
    pub fn new(run: Arc<Run>, addresses: Vec<SocketAddr>, core: usize) -> Self {
        Self {
            run,
            addresses,
            core,
            connection: None,
        }
    }

    /// Sends a request until it is answered or given up: after so many refusals, or once the run is
    /// over and `until` has passed.
    pub fn call(
        &mut self,
        request: &Request,
        max_refusals: usize,
        until: Option<Instant>,
    ) -> Result<Answer, GivenUp> {
        let (mut refusals, mut is_unclear) = (0, false);
        while refusals < max_refusals && !self.is_over(until) {
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
            self.go_on();
            if self.core == 0 {
                self.run.wait_for_change();
            }
        }
        Err(GivenUp { is_unclear })
    }

    /// The next call goes to the next machine.
    pub fn go_on(&mut self) {
        self.core = (self.core + 1) % self.addresses.len();
        self.connection = None;
    }

    fn is_over(&self, until: Option<Instant>) -> bool {
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

    /// The open connection, or a new one.
    fn connect(&mut self) -> Option<BufReader<TcpStream>> {
        if let Some(connection) = self.connection.take() {
            return Some(connection);
        }
        let stream = TcpStream::connect_timeout(&self.addresses[self.core], CALLER_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(CHECK_INTERVAL)).ok()?;
        Some(BufReader::new(stream))
    }

    /// Waits for the first bytes of an answer. A machine that runs must answer or end its process.
    fn await_answer(
        &self,
        connection: &mut BufReader<TcpStream>,
        request: &Request,
        sent: Instant,
    ) -> bool {
        let core = u8::try_from(self.core).expect("few machines");
        let mut thread = self.run.main_thread(core);
        let (mut starved, mut last_look) = (Duration::ZERO, Instant::now());
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
                starved += last_look.elapsed();
            }
            (thread, last_look) = (latest, Instant::now());
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
                     of which its process had no processor for {starved:?}: {thread:?}",
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
