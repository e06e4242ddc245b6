//! What is known of a client's connection.

use crate::request_head::{MAX_HEAD_BYTES, ParsedHead, RequestLength, parse_head};
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::task::Waker;
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// Slowest rate at which a body may come, in bytes a millisecond.
const MIN_BODY_RATE: u64 = 32;
/// How long a body may stall, and a response past its deadline.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after its deadline a response may still come to its end: until then it only has no value.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Reads so close to each other count as one.
const READ_RESOLUTION: Duration = Duration::from_millis(2);

/// How far a connection is with its present request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Its head has not come to its end.
    Head,
    /// So many bytes of it have still to go to hyper.
    Passing(u64),
    /// Where it ends is for hyper to say. Nothing may follow it.
    Unbounded,
    /// All of it has gone to hyper, and nothing else does until it has its response.
    Complete,
}

/// The latest response on a connection.
struct Response {
    /// Until when it is of any use.
    deadline: Instant,
    /// hyper has all of it.
    is_complete: bool,
}

/// What is known of a client's connection.
pub struct ConnectionState {
    phase: Phase,
    /// What has come and has not gone to hyper.
    pub(crate) buffered: BytesMut,
    pub(crate) has_ended: bool,
    /// Bytes that came, in all.
    received: u64,
    /// For each read of bytes that have not gone to hyper: the bytes that had come by then, and when it was.
    read_times: VecDeque<(u64, Instant)>,
    /// Bytes that have gone to hyper, in all.
    passed: u64,
    /// When the last byte of the present request came.
    request_received_at: Instant,
    /// Since when it waits for a request, or for the rest of one that has begun.
    waiting_since: Instant,
    /// There was a request before the present one.
    had_request: bool,
    /// The present request has its response.
    is_answered: bool,
    /// The present request has both lengths, of which hyper shows only one.
    has_both_lengths: bool,
    /// Bytes that had come when the head of the present request was read.
    received_at_head: u64,
    last_read: Instant,
    /// Waits for more to go to hyper.
    pub(crate) reader: Option<Waker>,
    /// The kernel may hold bytes that the runtime will not report again.
    pub(crate) left_unread: bool,
    /// The client takes nothing of its response just now.
    is_write_blocked: bool,
    last_write: Instant,
    response: Option<Response>,
}

impl ConnectionState {
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        Self {
            phase: Phase::Head,
            buffered: BytesMut::new(),
            has_ended: false,
            received: 0,
            read_times: VecDeque::new(),
            passed: 0,
            request_received_at: now,
            waiting_since: now,
            had_request: false,
            is_answered: false,
            has_both_lengths: false,
            received_at_head: 0,
            last_read: now,
            reader: None,
            left_unread: false,
            is_write_blocked: false,
            last_write: now,
            response: None,
        }
    }

    /// Whether there ever was a request, and since when none is open; `None` while one is, or has begun to come.
    pub fn idle(&self) -> Option<(bool, Instant)> {
        self.is_idle()
            .then_some((self.had_request, self.waiting_since))
    }

    /// Whether no request is open, and no part of one has been read.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Head && self.buffered.is_empty()
    }

    /// Whether bytes have come that do not belong to the present request: the next one, or a part of it.
    pub fn has_pipelined_bytes(&self) -> bool {
        !self.buffered.is_empty() && matches!(self.phase, Phase::Head | Phase::Complete)
    }

    /// Whether the end of the client's side has been read.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Whether the present request has its length in both ways: it may hide another one (RFC 9112, section 6.3).
    pub fn has_both_lengths(&self) -> bool {
        self.has_both_lengths
    }

    /// Whether nothing may follow the present request.
    pub fn is_last_request(&self) -> bool {
        self.phase == Phase::Unbounded
    }

    /// A response goes out that is of use until its deadline; `is_complete` where hyper has all of it.
    pub fn response_progressed(&mut self, deadline: Instant, is_complete: bool) {
        self.response = Some(Response {
            deadline,
            is_complete,
        });
        self.last_write = Instant::now();
    }

    /// The present request has been read to its end; returns when its last byte came.
    pub fn request_completed(&mut self) -> Instant {
        if self.phase == Phase::Unbounded {
            self.phase = Phase::Complete;
            self.request_received_at = Instant::now();
        }
        self.request_received_at
    }

    /// The present request has its response; the next may go to hyper.
    pub fn request_answered(&mut self) {
        self.is_answered = true;
        self.next_request();
    }

    fn next_request(&mut self) {
        if self.phase == Phase::Complete && self.is_answered {
            self.phase = Phase::Head;
            self.had_request = true;
            self.waiting_since = Instant::now();
            self.reader.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Whether a complete request is owed for longer than `timeout`, a body stalls or comes too slowly after that, or a
    /// response stalls past its deadline. A connection that had a request may be idle.
    pub fn is_overdue(&self, timeout: Duration) -> bool {
        let waited = self.waiting_since.elapsed();
        self.is_response_overdue() || self.is_request_overdue(waited, timeout)
    }

    fn is_request_overdue(&self, waited: Duration, timeout: Duration) -> bool {
        if waited <= timeout {
            return false;
        }
        match self.phase {
            Phase::Complete => false,
            Phase::Head => !(self.buffered.is_empty() && self.had_request),
            Phase::Passing(_) | Phase::Unbounded => {
                let body_bytes = self.received - self.received_at_head;
                let body_time = Duration::from_millis(body_bytes / MIN_BODY_RATE);
                // What waits for hyper has come: it is not its client that stalls.
                waited > timeout + body_time
                    || self.buffered.is_empty() && self.last_read.elapsed() > STALL_TIMEOUT
            }
        }
    }

    /// Whether a response that is of no use any more stalls, at its upstream or at its client. One that moves is passed
    /// on: to cut it off would be this side's fault.
    fn is_response_overdue(&self) -> bool {
        let Some(response) = &self.response else {
            return false;
        };
        let is_outstanding = !response.is_complete || self.is_write_blocked;
        is_outstanding
            && response.deadline.elapsed() > RESPONSE_GRACE
            && self.last_write.elapsed() > STALL_TIMEOUT
    }

    /// Bytes were offered to the socket; `written` of them went out, `None` if it takes nothing just now.
    pub(crate) fn on_write(&mut self, written: Option<usize>) {
        self.is_write_blocked = written.is_none();
        if written.is_some_and(|bytes| bytes > 0) {
            self.last_write = Instant::now();
        }
    }

    /// So many bytes were read into the buffer; none at the end of the client's side.
    pub(crate) fn on_read(&mut self, bytes: usize) {
        let now = Instant::now();
        if bytes == 0 {
            self.has_ended = true;
        } else if self.phase == Phase::Head && self.buffered.len() == bytes && self.had_request {
            self.waiting_since = now;
        }
        self.received += bytes as u64;
        self.last_read = now;
        match self.read_times.back_mut() {
            Some((end, at)) if now - *at < READ_RESOLUTION => *end = self.received,
            _ => self.read_times.push_back((self.received, now)),
        }
    }

    /// Looks for a complete head in what has come. What hyper will reject goes to it as it is.
    fn read_head(&mut self) {
        if self.phase != Phase::Head || self.buffered.is_empty() {
            return;
        }
        let (length, has_both_lengths) = match parse_head(&self.buffered) {
            ParsedHead::Complete {
                length,
                has_both_lengths,
            } => (length, has_both_lengths),
            ParsedHead::Incomplete if self.buffered.len() <= MAX_HEAD_BYTES && !self.has_ended => {
                return;
            }
            ParsedHead::Incomplete | ParsedHead::Invalid => {
                self.phase = Phase::Unbounded;
                return;
            }
        };
        self.has_both_lengths = has_both_lengths;
        self.is_answered = false;
        self.received_at_head = self.received;
        self.response = None;
        self.phase = match length {
            RequestLength::Known(bytes) => Phase::Passing(bytes),
            RequestLength::Unknown => Phase::Unbounded,
        };
    }

    /// How much of what has come may go to hyper, in bytes.
    pub(crate) fn passable(&mut self) -> usize {
        self.read_head();
        let buffered = self.buffered.len();
        match self.phase {
            Phase::Head | Phase::Complete => 0,
            Phase::Unbounded => buffered,
            Phase::Passing(left) => buffered.min(usize::try_from(left).unwrap_or(usize::MAX)),
        }
    }

    /// Passes so many bytes to hyper, as far as its buffer takes them.
    pub(crate) fn pass(&mut self, buffer: &mut ReadBuf<'_>, limit: usize) {
        let bytes = limit.min(buffer.remaining());
        buffer.put_slice(&self.buffered[..bytes]);
        self.buffered.advance(bytes);
        self.passed += bytes as u64;
        while self.read_times.len() > 1 && self.read_times[0].0 < self.passed {
            self.read_times.pop_front();
        }
        if let Phase::Passing(left) = &mut self.phase {
            *left -= bytes as u64;
            if *left == 0 {
                self.phase = Phase::Complete;
                self.request_received_at = self
                    .read_times
                    .front()
                    .map_or_else(Instant::now, |(_, at)| *at);
                self.next_request(); // its response may have been given before its end came
            }
        }
    }
}
