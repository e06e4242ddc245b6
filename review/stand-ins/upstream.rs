//! A stand-in of an upstream, as the users' pages describe one: it registers and sends heartbeats at
//! the `control` addresses, compares `Expect-Instance`, repeats `Request-Id`, and stamps its answers.
//!
//! It writes a line `run ID by UPSTREAM` at the moment at which it begins to work on a request.

use crate::http::{self, Head};
use crate::record::append;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// A body longer than this is long: the upstream begins to work on it, and answers, before it has
/// read the rest.
const LONG_BODY: usize = 64 << 10;

/// A second answer, to no request: it has no `Request-Id`.
const SURPLUS: &[u8] = b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const WINDOW_BYTES: i32 = 32 << 10;

pub struct Upstream {
    id: String,
    service: String,
    zone: String,
    shared: PathBuf,
    /// Requests that it works on at once, as it registers them.
    capacity: u64,
    work: Duration,
    /// While this file is there, the upstream works four times as long.
    slow_file: PathBuf,
    stream_events: u64,
    event_gap: Duration,
    /// Whether an event stream has no length and ends with its connection.
    is_unframed: bool,
    /// The upstream turns cold once this file is there, just after a heartbeat.
    cold_file: Option<PathBuf>,
    cold: Duration,
    cold_until: Mutex<Option<Instant>>,
    /// Requests a second that the upstream bears while it is cold. It falls over at half as many more.
    bears: f64,
    recent: Mutex<Vec<Instant>>,
    /// One in so many answers is followed by bytes that belong to no request; 0: none.
    extra_one_in: u64,
    controls: Vec<SocketAddr>,
    next_stamp: AtomicU64,
    answers: AtomicU64,
}

/// Runs an upstream: `ID key=value...`.
pub fn run(arguments: &[String]) -> io::Result<()> {
    let options: BTreeMap<&str, &str> = arguments[1..]
        .iter()
        .filter_map(|argument| argument.split_once('='))
        .collect();
    let text = |name: &str| options.get(name).copied().unwrap_or("").to_owned();
    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
    let listener = TcpListener::bind(text("address"))?;
    // The pages: links have small windows, and a peer that does not read holds the writer up.
    limit_window(&listener)?;
    let address = listener.local_addr()?;
    let upstream = Arc::new(Upstream {
        id: arguments[0].clone(),
        service: text("service"),
        zone: text("zone"),
        shared: text("shared").into(),
        work: Duration::from_millis(number("work_ms")),
        capacity: text("capacity").parse().unwrap_or(64),
        slow_file: text("slow_file").into(),
        stream_events: number("events"),
        event_gap: Duration::from_millis(number("gap_ms")),
        is_unframed: number("unframed") == 1,
        cold_file: options.get("cold_file").map(PathBuf::from),
        cold: Duration::from_millis(number("cold_ms")),
        cold_until: Mutex::new(None),
        bears: text("bears").parse().unwrap_or(f64::INFINITY),
        recent: Mutex::default(),
        extra_one_in: number("extra_one_in"),
        controls: text("controls")
            .split(',')
            .filter_map(|one| one.parse().ok())
            .collect(),
        next_stamp: AtomicU64::new(1),
        answers: AtomicU64::new(0),
    });
    let beats = upstream.clone();
    thread::spawn(move || beats.send_heartbeats(address));
    loop {
        let (stream, _) = listener.accept()?;
        let upstream = upstream.clone();
        thread::spawn(move || upstream.serve(&stream).ok());
    }
}

/// Limits the receive window of the connections that the listener accepts.
fn limit_window(listener: &TcpListener) -> io::Result<()> {
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the descriptor is open, and the option's value is an integer of the given size.
    let result = unsafe {
        setsockopt(
            listener.as_raw_fd(),
            SOL_SOCKET,
            SO_RCVBUF,
            &WINDOW_BYTES,
            4,
        )
    };
    if result == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

impl Upstream {
    fn send_heartbeats(&self, address: SocketAddr) {
        let path = format!("/v1/instances/{}", self.id);
        let mut control = 0;
        let mut sequence = 0;
        // The address that an answer has named for later heartbeats, until a heartbeat fails there.
        let mut named: Option<SocketAddr> = None;
        loop {
            let begin = Instant::now();
            for _ in 0..=self.controls.len() {
                sequence += 1;
                let cold = self.cold_until.lock().expect("a lock").map_or(0, |until| {
                    until.saturating_duration_since(Instant::now()).as_millis()
                });
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"generation\":\"v1\",\
                     \"capacity\":{},\"state\":\"ready\",\"cold_remaining_ms\":{cold},\"sequence\":{sequence}}}",
                    self.service, self.zone, self.capacity
                );
                let answer = http::call(
                    named.unwrap_or(self.controls[control]),
                    "PUT",
                    &path,
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                    Duration::from_secs(1),
                );
                if let Ok(answer) = answer
                    && answer.status == 200
                {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let url = text.split('"').nth(3).and_then(|url| url.parse().ok());
                    named = url.or(named);
                    break;
                }
                if named.take().is_none() {
                    control = (control + 1) % self.controls.len();
                }
            }
            self.turn_cold_if_due();
            sleep(
                HEARTBEAT
                    .saturating_sub(begin.elapsed())
                    .max(Duration::from_millis(100)),
            );
        }
    }

    fn turn_cold_if_due(&self) {
        let mut cold_until = self.cold_until.lock().expect("a lock");
        if cold_until.is_none() && self.cold_file.as_ref().is_some_and(|file| file.exists()) {
            *cold_until = Some(Instant::now() + self.cold);
            append(&self.shared, &format!("{} turns cold", self.id));
        }
    }

    /// Ends the process if it is cold and has got well above what it bears in the last second.
    fn fall_over_if_overloaded(&self) {
        let now = Instant::now();
        let is_cold = self
            .cold_until
            .lock()
            .expect("a lock")
            .is_some_and(|until| now < until);
        let mut recent = self.recent.lock().expect("a lock");
        recent.retain(|time| now.duration_since(*time) < Duration::from_secs(1));
        recent.push(now);
        if is_cold && recent.len() as f64 > 1.5 * self.bears {
            append(&self.shared, &format!("{} falls over", self.id));
            std::process::exit(1);
        }
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = BufReader::new(stream);
        let mut is_extra_due = false;
        while let Some(head) = Head::read(&mut input)? {
            let length = head.length();
            let id = head.header("request-id").to_owned();
            let expected = head.header("expect-instance");
            if !expected.is_empty() && expected != self.id {
                discard(&mut input, length)?;
                self.answer(
                    stream,
                    &id,
                    "421 Misdirected Request",
                    "Not-Executed: 1\r\n",
                    "",
                )?;
                continue;
            }
            let first = length.min(LONG_BODY);
            discard(&mut input, first)?;
            append(&self.shared, &format!("run {id} by {}", self.id));
            self.fall_over_if_overloaded();
            if std::mem::take(&mut is_extra_due) {
                // More after the whole answer before; it leaves late, when the next answer is due.
                (&mut &*stream).write_all(SURPLUS)?;
                append(
                    &self.shared,
                    &format!("{} sends late what belongs to no request", self.id),
                );
            }
            if self.stream_events > 0 {
                self.stream(stream, &head, &id)?;
                if self.is_unframed {
                    return Ok(());
                }
            } else {
                sleep(if self.slow_file.exists() {
                    4 * self.work
                } else {
                    self.work
                });
                self.answer(
                    stream,
                    &id,
                    "200 OK",
                    "",
                    &format!("{id} done by {}\n", self.id),
                )?;
                append(&self.shared, &format!("answered {id} by {}", self.id));
                let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
                is_extra_due = self.extra_one_in > 0 && answers % self.extra_one_in == 0;
            }
            discard(&mut input, length - first)?;
        }
        Ok(())
    }

    fn stamp(&self) -> String {
        format!(
            "{}.{}",
            self.id,
            self.next_stamp.fetch_add(1, Ordering::Relaxed)
        )
    }

    fn answer(
        &self,
        mut stream: &TcpStream,
        id: &str,
        status: &str,
        headers: &str,
        body: &str,
    ) -> io::Result<()> {
        let answer = format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Stamp: {}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            self.stamp(),
            body.len()
        );
        stream.write_all(answer.as_bytes())
    }

    /// Sends an event stream: the events after `Last-Event-Id`, each `event N of M`.
    fn stream(&self, mut stream: &TcpStream, head: &Head, id: &str) -> io::Result<()> {
        let first = head.header("last-event-id").parse::<u64>().unwrap_or(0) + 1;
        let framing = if self.is_unframed {
            "Connection: close\r\n"
        } else {
            "Transfer-Encoding: chunked\r\n"
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}\r\nContent-Type: text/event-stream\r\n{framing}\r\n",
            self.stamp()
        );
        stream.write_all(answer.as_bytes())?;
        for number in first..=self.stream_events {
            // An event goes out in two parts, as a long one does on a network.
            for part in [
                format!("id: {number}\n"),
                format!("data: event {number} of {}\n\n", self.stream_events),
            ] {
                if part.starts_with("data") {
                    append(
                        &self.shared,
                        &format!("half {number} of {id} by {}", self.id),
                    );
                }
                sleep(self.event_gap / 2);
                let part = if self.is_unframed {
                    part
                } else {
                    format!("{:x}\r\n{part}\r\n", part.len())
                };
                stream.write_all(part.as_bytes())?;
            }
        }
        if !self.is_unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        append(&self.shared, &format!("answered {id} by {}", self.id));
        Ok(())
    }
}

fn discard(input: &mut impl Read, length: usize) -> io::Result<()> {
    let copied = io::copy(&mut input.take(length as u64), &mut io::sink())?;
    if copied < length as u64 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}
