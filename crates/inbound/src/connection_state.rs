//! The state of a client's connection, tracked by the request gate.

use crate::request_head::{MAX_HEAD_BYTES, ParsedHead, RequestLength, parse_head};
use crate::request_stage::RequestStage;
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::task::Waker;
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// Minimum average rate at which a body must arrive, in bytes per millisecond.
const MIN_BODY_RATE: u64 = 32;
/// Maximum time without progress, for a request body and for a response past its deadline.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the deadline during which a response may still complete. A late response has no value to the client, but
/// is not yet an error.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Reads within this interval share one timestamp.
const READ_RESOLUTION: Duration = Duration::from_millis(2);

/// Phase of the current request on a connection. It lasts until the request is complete and its response has been sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The head is incomplete, or no request has begun.
    Head,
    /// The head is complete, and this number of bytes of the request must still be passed to hyper.
    Passing(u64),
    /// Only hyper can determine the end of the request. No further request is accepted on the connection.
    Unbounded,
    /// The whole request has been passed to hyper. No further bytes are passed until hyper has received the whole
    /// response.
    Complete,
}

/// Progress of the response to the current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseProgress {
    /// No request has begun, or hyper has received the whole response.
    NotDue,
    /// A request has begun and has no response.
    Awaited,
    /// The head of the response exists, and hyper has not received the whole body.
    Sending,
    /// The body has failed, so that the response cannot be completed.
    Truncated,
}

/// The time of one or more reads from the socket.
struct ReadTime {
    /// Total number of bytes received up to and including the reads.
    received_bytes: u64,
    time: Instant,
}

/// Returns the number of bytes at the beginning that belong to empty lines.
fn empty_lines_length(bytes: &[u8]) -> usize {
    let is_line_end = |byte: &&u8| matches!(byte, b'\r' | b'\n');
    bytes.iter().take_while(is_line_end).count()
}

/// The state of a client's connection: the phase of the current request, buffered bytes and timestamps.
pub struct ConnectionState {
    phase: Phase,
    /// Received bytes that have not been passed to hyper.
    pub(crate) buffered: BytesMut,
    /// Whether the client has closed its sending side.
    pub(crate) has_ended: bool,
    /// Total number of received bytes.
    received_bytes: u64,
    /// Times of the reads, beginning with the read of the byte that was last passed to hyper.
    read_times: VecDeque<ReadTime>,
    /// Total number of bytes passed to hyper.
    passed_bytes: u64,
    /// Time at which the last byte of the current request arrived.
    request_received_at: Instant,
    /// Start of the wait for a request, or for the rest of a request that has begun.
    waiting_since: Instant,
    /// Whether an earlier request on the connection has completed.
    had_request: bool,
    /// Whether the current request has both a `Content-Length` and a `Transfer-Encoding`. hyper exposes only one of
    /// them.
    has_both_lengths: bool,
    /// Total number of received bytes when the head of the current request was parsed.
    received_bytes_at_head: u64,
    last_read: Instant,
    /// Waker of the task that waits for bytes to pass to hyper.
    pub(crate) reader: Option<Waker>,
    /// Whether the kernel may hold unread bytes for which tokio will not report readiness again.
    pub(crate) left_unread: bool,
    /// Whether the last write blocked because the client does not read the response.
    is_write_blocked: bool,
    last_write: Instant,
    response: ResponseProgress,
    /// The client's deadline for the most recent response, after which the response has no value; `None` without a
    /// deadline.
    response_deadline: Option<Instant>,
}

impl ConnectionState {
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        Self {
            phase: Phase::Head,
            buffered: BytesMut::new(),
            has_ended: false,
            received_bytes: 0,
            read_times: VecDeque::new(),
            passed_bytes: 0,
            request_received_at: now,
            waiting_since: now,
            had_request: false,
            has_both_lengths: false,
            received_bytes_at_head: 0,
            last_read: now,
            reader: None,
            left_unread: false,
            is_write_blocked: false,
            last_write: now,
            response: ResponseProgress::NotDue,
            response_deadline: None,
        }
    }

    /// Returns what the connection is doing.
    pub fn stage(&self) -> RequestStage {
        use ResponseProgress::{Awaited, Sending, Truncated};
        match self.phase {
            _ if matches!(self.response, Sending | Truncated) => RequestStage::SendingResponse,
            Phase::Passing(_) | Phase::Unbounded => RequestStage::ReceivingBody,
            _ if self.response == Awaited => RequestStage::AwaitingResponse,
            _ if self.is_idle() => RequestStage::Idle,
            Phase::Head if !self.buffered.is_empty() => RequestStage::ReceivingHead,
            Phase::Head | Phase::Complete => RequestStage::SendingResponse,
        }
    }

    /// Returns whether the connection has served a request, and the start of its idle time; `None` while a request is
    /// open or has partly arrived.
    pub fn idle(&self) -> Option<(bool, Instant)> {
        self.is_idle()
            .then_some((self.had_request, self.waiting_since))
    }

    /// Whether the connection can be closed without a loss: no part of a request has been read, and the socket has
    /// accepted all responses.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Head
            && self.buffered.is_empty()
            && self.response == ResponseProgress::NotDue
            && !self.is_write_blocked
    }

    /// Whether bytes of a later request than the current one are buffered.
    pub fn has_pipelined_bytes(&self) -> bool {
        let has_request_bytes = empty_lines_length(&self.buffered) < self.buffered.len();
        has_request_bytes && matches!(self.phase, Phase::Head | Phase::Complete)
    }

    /// Whether the client has closed its sending side.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Whether the current request has both a `Content-Length` and a `Transfer-Encoding`. Such a request may smuggle
    /// another request (RFC 9112, section 6.3).
    pub fn has_both_lengths(&self) -> bool {
        self.has_both_lengths
    }

    /// Whether the connection accepts no request after the current one.
    pub fn is_last_request(&self) -> bool {
        self.phase == Phase::Unbounded
    }

    /// Records that hyper has begun to handle a request.
    pub fn request_started(&mut self) {
        self.response = ResponseProgress::Awaited;
    }

    /// Records that the head of the response exists. `deadline` is the client's deadline for the response.
    pub fn response_started(&mut self, deadline: Option<Instant>) {
        self.response = ResponseProgress::Sending;
        self.response_deadline = deadline;
        self.last_write = Instant::now();
    }

    /// Records that hyper has received the whole response.
    pub fn response_completed(&mut self) {
        self.response = ResponseProgress::NotDue;
        self.last_write = Instant::now();
        self.advance_to_next_request();
    }

    /// Records that the body of the response has failed.
    pub fn response_truncated(&mut self) {
        self.response = ResponseProgress::Truncated;
    }

    /// Records that hyper has read the current request to its end. Returns the arrival time of the request's last byte.
    pub fn request_completed(&mut self) -> Instant {
        if self.phase == Phase::Unbounded {
            self.phase = Phase::Complete;
            self.request_received_at = Instant::now();
        }
        self.request_received_at
    }

    /// Begins the wait for the next request, if the current one has been passed to hyper completely and hyper has
    /// received the whole response.
    fn advance_to_next_request(&mut self) {
        if self.phase == Phase::Complete && self.response == ResponseProgress::NotDue {
            self.phase = Phase::Head;
            self.had_request = true;
            self.waiting_since = Instant::now();
            self.skip_empty_lines();
            self.reader.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Whether the connection should be closed: the client has not sent the head of a request within `timeout`, the
    /// body stalls or arrives too slowly after that time, or a response stalls past its deadline. A connection that has
    /// served a request may be idle.
    pub fn is_overdue(&self, timeout: Duration) -> bool {
        let waited = self.waiting_since.elapsed();
        self.is_response_overdue() || self.is_request_overdue(waited, timeout)
    }

    /// Whether the client has been awaited for longer than `timeout` without a complete head, or without sufficient
    /// progress of the body.
    fn is_request_overdue(&self, waited: Duration, timeout: Duration) -> bool {
        if waited <= timeout {
            return false;
        }
        match self.phase {
            Phase::Complete => false,
            Phase::Head => !(self.buffered.is_empty() && self.had_request),
            Phase::Passing(_) | Phase::Unbounded => {
                let body_bytes = self.received_bytes - self.received_bytes_at_head;
                let body_time = Duration::from_millis(body_bytes / MIN_BODY_RATE);
                // Buffered bytes mean that hyper has yet to read; the client does not stall then.
                waited > timeout + body_time
                    || self.buffered.is_empty() && self.last_read.elapsed() > STALL_TIMEOUT
            }
        }
    }

    /// Whether a response past its deadline has stalled, at the upstream or at the client. A late response that still
    /// makes progress is passed on, since aborting it would be the load balancer's fault.
    fn is_response_overdue(&self) -> bool {
        let Some(deadline) = self.response_deadline else {
            return false;
        };
        let is_outstanding = self.response != ResponseProgress::NotDue || self.is_write_blocked;
        is_outstanding
            && deadline.elapsed() > RESPONSE_GRACE
            && self.last_write.elapsed() > STALL_TIMEOUT
    }

    /// Records a write to the socket: `written` is the number of accepted bytes, or `None` if the socket would block.
    pub(crate) fn on_write(&mut self, written: Option<usize>) {
        self.is_write_blocked = written.is_none();
        if written.is_some_and(|bytes| bytes > 0) {
            self.last_write = Instant::now();
        }
    }

    /// Records a read of `bytes` into the buffer. Zero means that the client has closed its sending side.
    pub(crate) fn on_read(&mut self, bytes: usize) {
        let now = Instant::now();
        let is_beginning = self.phase == Phase::Head && self.buffered.len() == bytes;
        self.has_ended |= bytes == 0;
        self.received_bytes += bytes as u64;
        self.last_read = now;
        self.skip_empty_lines();
        if is_beginning && !self.buffered.is_empty() && self.had_request {
            self.waiting_since = now;
        }
        match self.read_times.back_mut() {
            Some(read) if now - read.time < READ_RESOLUTION => {
                read.received_bytes = self.received_bytes;
            }
            _ => self.read_times.push_back(ReadTime {
                received_bytes: self.received_bytes,
                time: now,
            }),
        }
    }

    /// Discards empty lines before a request (RFC 9112, section 2.2).
    fn skip_empty_lines(&mut self) {
        if self.phase != Phase::Head {
            return;
        }
        let bytes = empty_lines_length(&self.buffered);
        self.buffered.advance(bytes);
        self.passed_bytes += bytes as u64;
    }

    /// Parses the head of the next request from the buffer. An invalid or oversized head is passed to hyper unchanged,
    /// which rejects it.
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
                self.response = ResponseProgress::Awaited;
                self.response_deadline = None;
                self.phase = Phase::Unbounded;
                return;
            }
        };
        self.has_both_lengths = has_both_lengths;
        self.received_bytes_at_head = self.received_bytes;
        self.response = ResponseProgress::Awaited;
        self.response_deadline = None;
        self.phase = match length {
            RequestLength::Known(bytes) => Phase::Passing(bytes),
            RequestLength::Unknown => Phase::Unbounded,
        };
    }

    /// Number of buffered bytes that may be passed to hyper.
    pub(crate) fn passable_bytes(&mut self) -> usize {
        self.read_head();
        let buffered = self.buffered.len();
        match self.phase {
            Phase::Head | Phase::Complete => 0,
            Phase::Unbounded => buffered,
            Phase::Passing(remaining) => {
                buffered.min(usize::try_from(remaining).unwrap_or(usize::MAX))
            }
        }
    }

    /// Passes up to `limit` buffered bytes to hyper, as far as `buffer` has room.
    pub(crate) fn pass(&mut self, buffer: &mut ReadBuf<'_>, limit: usize) {
        let bytes = limit.min(buffer.remaining());
        buffer.put_slice(&self.buffered[..bytes]);
        self.buffered.advance(bytes);
        self.passed_bytes += bytes as u64;
        while self.read_times.len() > 1 && self.read_times[0].received_bytes < self.passed_bytes {
            self.read_times.pop_front();
        }
        if let Phase::Passing(remaining) = &mut self.phase {
            *remaining -= bytes as u64;
            if *remaining == 0 {
                self.phase = Phase::Complete;
                self.request_received_at = self
                    .read_times
                    .front()
                    .map_or_else(Instant::now, |read| read.time);
                // The response may have been sent before the request's last byte arrived.
                self.advance_to_next_request();
            }
        }
    }
}

#[cfg(test)]
mod tests;
