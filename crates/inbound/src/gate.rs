//! A caller's socket: hands hyper one request at a time, and notes what hyper does not tell.

use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;
use woadstall_transport::SharedStream;

/// Largest head of a request: what is larger, upstreams may not take, and it would fill the memory.
pub const MOST_HEAD: usize = 8 << 10;
/// Bytes kept of what comes while a request is open.
const MOST_AHEAD: usize = 2 * MOST_HEAD;
/// Headers of a request at most, as in hyper.
const MOST_HEADERS: usize = 100;
/// Bytes in a millisecond at which a body must come at least.
const SLOWEST: u64 = 32;
/// How long a body may stand still, and an answer past its time.
const STANDSTILL: Duration = Duration::from_secs(1);
/// How long after its time an answer may still come to its end: until then it only earns nothing.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Reads so close to each other count as one.
const ONE_READ: Duration = Duration::from_millis(2);

/// How far a connection is with its present request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Its head has not come to its end.
    Head,
    /// So many bytes of it have still to go to hyper.
    Passing(u64),
    /// Where it ends is for hyper to say: it comes in chunks or can't be read. Nothing may follow it.
    Unbounded,
    /// All of it has gone to hyper, and nothing else does until it is answered.
    Whole,
}

/// What is known of a caller's connection.
pub struct Seen {
    phase: Phase,
    /// What has come and has not gone to hyper.
    ahead: BytesMut,
    ended: bool,
    /// Bytes that came, in all, and when the latest of them did.
    came: u64,
    reads: VecDeque<(u64, Instant)>,
    /// Bytes that have gone to hyper, in all.
    passed: u64,
    /// When the last byte of the present request came.
    arrived: Instant,
    /// Since when it waits for a request, or for the rest of one that has begun.
    since: Instant,
    asked: bool,
    answered: bool,
    /// The present request has both lengths, of which hyper shows only one.
    both_lengths: bool,
    /// Bytes that had come when the head of the present request was read, and when the latest came.
    head_came: u64,
    latest: Instant,
    /// Waits for more to go to hyper.
    waiting: Option<Waker>,
    /// The kernel may hold bytes that the runtime will not tell of again.
    left_unread: bool,
    /// The caller takes nothing of its answer just now.
    blocked: bool,
    /// When the caller last took something of an answer.
    moved: Instant,
    /// Until when the latest answer is of any use, and whether hyper has all of it.
    answer: Option<(Instant, bool)>,
}

impl Seen {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            phase: Phase::Head,
            ahead: BytesMut::new(),
            ended: false,
            came: 0,
            reads: VecDeque::new(),
            passed: 0,
            arrived: now,
            since: now,
            asked: false,
            answered: false,
            both_lengths: false,
            head_came: 0,
            latest: now,
            waiting: None,
            left_unread: false,
            blocked: false,
            moved: now,
            answer: None,
        }
    }

    /// Since when no request is open, and whether there ever was one; `None` while there is, or has begun to come.
    pub fn idle(&self) -> Option<(bool, Instant)> {
        self.is_at_rest().then_some((self.asked, self.since))
    }

    /// Whether bytes have come that do not belong to the present request: the next one, or a part of it.
    pub fn has_ahead(&self) -> bool {
        !self.ahead.is_empty() && matches!(self.phase, Phase::Head | Phase::Whole)
    }

    /// Whether no request is open, and no part of one has been read.
    pub fn is_at_rest(&self) -> bool {
        self.phase == Phase::Head && self.ahead.is_empty()
    }

    /// Whether the end of the caller's side has been read.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// An answer goes out that is of use until then; `whole` where hyper has all of it.
    pub fn answering(&mut self, until: Instant, whole: bool) {
        (self.answer, self.moved) = (Some((until, whole)), Instant::now());
    }

    /// Whether an answer that is of no use any more stands still, at its upstream or at its caller. One that moves is
    /// passed on: to cut it off would be this side's fault.
    fn is_answer_overdue(&self) -> bool {
        let Some((until, whole)) = self.answer else {
            return false;
        };
        let owed = !whole || self.blocked;
        owed && until.elapsed() > ANSWER_GRACE && self.moved.elapsed() > STANDSTILL
    }

    /// Whether a whole request is owed for longer than this, or a body stands still or comes too slowly after it.
    /// One that has asked may rest between requests.
    pub fn overdue(&self, patience: Duration) -> bool {
        let passed = self.since.elapsed();
        self.is_answer_overdue()
            || passed > patience
                && match self.phase {
                    Phase::Whole => false,
                    Phase::Head => !(self.ahead.is_empty() && self.asked),
                    Phase::Passing(_) | Phase::Unbounded => {
                        let body = Duration::from_millis((self.came - self.head_came) / SLOWEST);
                        // What waits for hyper has come: it is not its caller that stands still.
                        passed > patience + body
                            || self.ahead.is_empty() && self.latest.elapsed() > STANDSTILL
                    }
                }
    }

    /// Whether the present request says its length in both ways: it may hide another one.
    pub fn both_lengths(&self) -> bool {
        self.both_lengths
    }

    /// Whether nothing may follow the present request.
    pub fn is_last(&self) -> bool {
        self.phase == Phase::Unbounded
    }

    /// The present request has been read to its end; tells when its last byte came.
    pub fn whole(&mut self) -> Instant {
        if self.phase == Phase::Unbounded {
            (self.phase, self.arrived) = (Phase::Whole, Instant::now());
        }
        self.arrived
    }

    /// The present request has its answer; the next may go to hyper.
    pub fn answered(&mut self) {
        self.answered = true;
        self.next();
    }

    fn next(&mut self) {
        if self.phase == Phase::Whole && self.answered {
            (self.phase, self.asked, self.since) = (Phase::Head, true, Instant::now());
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }

    fn take_in(&mut self, got: usize) {
        let now = Instant::now();
        if got == 0 {
            self.ended = true;
        } else if self.phase == Phase::Head && self.ahead.len() == got && self.asked {
            self.since = now;
        }
        self.came += got as u64;
        self.latest = now;
        match self.reads.back_mut() {
            Some((end, at)) if now - *at < ONE_READ => *end = self.came,
            _ => self.reads.push_back((self.came, now)),
        }
    }

    /// Looks for a whole head in what has come. What hyper will refuse goes to it as it is.
    fn read_head(&mut self) {
        if self.phase != Phase::Head || self.ahead.is_empty() {
            return;
        }
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let length = match head.parse(&self.ahead) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.ahead.len() <= MOST_HEAD && !self.ended => return,
            Ok(httparse::Status::Partial) | Err(_) => {
                self.phase = Phase::Unbounded;
                return;
            }
        };
        let named = |name: &'static str| {
            head.headers
                .iter()
                .filter(move |h| h.name.eq_ignore_ascii_case(name))
        };
        let chunked = named("transfer-encoding").next().is_some();
        let body = named("content-length")
            .next()
            .map(|header| whole_number(header.value));
        (self.both_lengths, self.answered) = (chunked && body.is_some(), false);
        self.head_came = self.came;
        self.answer = None;
        self.phase = match body.unwrap_or(Some(0)) {
            Some(body) if !chunked => Phase::Passing(body.saturating_add(length as u64)),
            _ => Phase::Unbounded,
        };
    }

    /// How much of what has come may go to hyper.
    fn passable(&mut self) -> usize {
        self.read_head();
        match self.phase {
            Phase::Head | Phase::Whole => 0,
            Phase::Unbounded => self.ahead.len(),
            Phase::Passing(left) => self
                .ahead
                .len()
                .min(usize::try_from(left).unwrap_or(usize::MAX)),
        }
    }

    fn pass(&mut self, buffer: &mut ReadBuf<'_>, most: usize) {
        let bytes = most.min(buffer.remaining());
        buffer.put_slice(&self.ahead[..bytes]);
        self.ahead.advance(bytes);
        self.passed += bytes as u64;
        while self.reads.len() > 1 && self.reads[0].0 < self.passed {
            self.reads.pop_front();
        }
        if let Phase::Passing(left) = &mut self.phase {
            *left -= bytes as u64;
            if *left == 0 {
                self.phase = Phase::Whole;
                self.arrived = self.reads.front().map_or_else(Instant::now, |(_, at)| *at);
                self.next(); // its answer may have been given before its end came
            }
        }
    }
}

fn whole_number(text: &[u8]) -> Option<u64> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text)
        .ok()
        .filter(|_| digits)?
        .parse()
        .ok()
}

/// A socket that hands on no byte of a request before the one in front of it is answered. So the end of a caller
/// shows while its request is open, a request's time can run from its last byte, and one that stands between
/// requests, or in the midst of one, is told from one that has a request open.
pub struct Gate {
    stream: SharedStream,
    seen: Arc<Mutex<Seen>>,
}

impl Gate {
    /// A gate on a caller's socket, and what will be known of it.
    pub fn new(stream: SharedStream) -> (Self, Arc<Mutex<Seen>>) {
        let seen = Arc::new(Mutex::new(Seen::new()));
        (
            Self {
                stream,
                seen: seen.clone(),
            },
            seen,
        )
    }

    /// Reads more into what has come; `Pending` where there is nothing.
    fn poll_ahead(&self, cx: &mut Context<'_>, seen: &mut Seen) -> Poll<io::Result<()>> {
        let room = MOST_AHEAD.saturating_sub(seen.ahead.len());
        if room == 0 {
            return self.poll_end(cx, seen);
        }
        if seen.left_unread {
            let begin = seen.ahead.len();
            seen.ahead.resize(begin + room.min(MOST_HEAD / 2), 0);
            let read = self.stream.read_now(&mut seen.ahead[begin..]);
            seen.ahead
                .truncate(begin + read.as_ref().map_or(0, |got| *got));
            match read {
                Ok(got) => {
                    seen.take_in(got);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => seen.left_unread = false,
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
        ready!(self.stream.tcp().poll_read_ready(cx))?;
        seen.ahead.reserve(room.min(MOST_HEAD / 2));
        match self.stream.tcp().try_read_buf(&mut seen.ahead) {
            Ok(got) => seen.take_in(got),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
        Poll::Ready(Ok(()))
    }

    /// Where no more is read before the present request is answered: waits for its caller to leave.
    fn poll_end(&self, cx: &mut Context<'_>, seen: &mut Seen) -> Poll<io::Result<()>> {
        seen.left_unread = true;
        loop {
            if self.stream.is_read_closed() {
                seen.ended = true;
                return Poll::Ready(Ok(()));
            }
            ready!(self.stream.poll_news(cx))?;
        }
    }
}

/// Locks, also where a holder has panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AsyncRead for Gate {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut seen = lock(&self.seen);
        loop {
            let most = seen.passable();
            if most > 0 {
                seen.pass(buffer, most);
                return Poll::Ready(Ok(()));
            }
            if seen.ended {
                return Poll::Ready(Ok(()));
            }
            seen.waiting = Some(cx.waker().clone());
            ready!(self.poll_ahead(cx, &mut seen))?;
        }
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream.poll_write_parts(cx, parts);
        let mut seen = lock(&self.seen);
        seen.blocked = written.is_pending();
        if matches!(written, Poll::Ready(Ok(bytes)) if bytes > 0) {
            seen.moved = Instant::now();
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown_write())
    }
}
