//! Connections to upstreams, and attempts on them: one attempt at a time on each.

use crate::classify::{self, Class};
use crate::shared::lock;
use crate::stream::SharedStream;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, Uri, Version};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::convert::Infallible;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Duration, Instant, timeout};
use woadstall_runtime::engine::{Ended, LoadReport, Outcome, Peer, ServerId};
use woadstall_runtime::{Attempt, Step, Tail, Transport};
use woadstall_settings::Names;

/// hyper's buffer for an answer: a head without end is given up at this size.
const READ_BUFFER: usize = 16 << 10;
/// An idle connection is dropped by this much, or by half its time, before its upstream may close it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// How an attempt ended, with the answer if it is whole and the connection if it can be used again.
struct Finished {
    outcome: Outcome,
    is_final: bool,
    response: Option<Response<Bytes>>,
    connection: Option<Connection>,
}

impl Finished {
    fn ended(self, fields: &[String]) -> Ended<Response<Bytes>> {
        let report = self.response.as_ref().and_then(|response| response.headers().get("x-load-report"));
        let load = report.and_then(|report| load_report(report.as_bytes(), fields));
        Ended { outcome: self.outcome, answer: self.response.filter(|_| self.is_final), load }
    }
}

impl From<Outcome> for Finished {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, is_final: false, response: None, connection: None }
    }
}

/// What came of a request on a connection.
enum Exchanged {
    Finished(Finished),
    Begun(Response<Rest>),
}

impl From<Outcome> for Exchanged {
    fn from(outcome: Outcome) -> Self {
        Self::Finished(outcome.into())
    }
}

/// How long answers may be.
#[derive(Clone, Copy)]
struct Sizes {
    /// Read whole.
    whole: usize,
    /// In all: what is between these is passed on as it comes.
    most: usize,
}

/// Bytes of a large answer that must have come before it is passed on: a spoilt one that claims to be large
/// hardly has more, and can still be tried again.
const BEGIN_AT: usize = 4 << 10;

/// Sends a request on a connection and waits for its answer, whole or, where it is larger, its beginning.
async fn exchange(request: Request<Bytes>, mut connection: Connection, sizes: Sizes) -> Exchanged {
    let progress = connection.progress.clone();
    let (head, body) = request.into_parts();
    progress.body_taken.store(body.is_empty(), Ordering::Relaxed);
    progress.written.store(false, Ordering::Relaxed);
    let body = Outgoing { data: Some(body).filter(|body| !body.is_empty()), progress: progress.clone() };
    let broken = || match progress.written.load(Ordering::Relaxed) {
        true => Outcome::Reset,
        false => Outcome::ConnectFailed,
    };
    let Ok(response) = connection.sender.send_request(Request::from_parts(head, body)).await else {
        return broken().into();
    };
    let (head, mut body) = response.into_parts();
    let Class { outcome, is_final } = classify::http(head.status, &head.headers);
    let length = body.size_hint().exact();
    if body.size_hint().lower() > sizes.most as u64 {
        return Outcome::Error.into(); // larger than any answer may be
    }
    let may_begin = is_final && sizes.most > sizes.whole;
    let begin_at = match length {
        Some(length) if length > sizes.whole as u64 => BEGIN_AT,
        _ => sizes.whole,
    };
    let mut first = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return broken().into() };
        let Ok(data) = frame.into_data() else { continue }; // trailers belong to the connection
        first.extend_from_slice(&data);
        if first.len() > begin_at {
            if !may_begin || first.len() > sizes.most {
                return Outcome::Error.into(); // larger than any answer may be
            }
            let left = sizes.most - first.len();
            let rest = Rest { first: first.freeze(), length, left, body, connection, tail: None, home: None };
            return Exchanged::Begun(Response::from_parts(head, rest));
        }
    }
    // Ready again unless the upstream closes it, which it has said by now. An answer to a request that was not yet
    // written to its end leaves one behind that may never be.
    let connection = match progress.written.load(Ordering::Relaxed) {
        true => connection.sender.ready().await.is_ok().then_some(connection),
        false => None,
    };
    let response = Some(Response::from_parts(head, first.freeze()));
    Exchanged::Finished(Finished { outcome, is_final, response, connection })
}

/// An upstream's answer: whole, or with a rest that is still to come.
pub enum Answer {
    /// All of it, until it is taken.
    Whole(Bytes),
    /// What has come so far, and what comes.
    Rest(Box<Rest>),
}

/// An answer that has begun. Dropped before its end, it is withdrawn.
pub struct Rest {
    first: Bytes,
    length: Option<u64>,
    /// Bytes that may still come.
    left: usize,
    body: Incoming,
    connection: Connection,
    /// Where the end is told, and where the connection goes after it.
    tail: Option<Tail>,
    home: Option<(Arc<Mutex<Pool>>, ServerId, u64)>,
}

impl Answer {
    /// Whether all of it is there.
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }
}

impl From<Bytes> for Answer {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(bytes)
    }
}

impl Rest {
    /// Whether its end has come, and tells it.
    fn is_over(&mut self, asked: bool) -> bool {
        let over = asked || self.first.is_empty() && self.body.is_end_stream();
        if over {
            self.tail.take().into_iter().for_each(|tail| tail.end(Outcome::Ok));
        }
        over
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if !self.first.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.first))));
        }
        loop {
            let (outcome, error) = match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                None => return Poll::Ready(None),
                Some(Err(error)) => (Outcome::Reset, io::Error::other(error)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.len() <= self.left => {
                        self.left -= data.len();
                        return Poll::Ready(Some(Ok(data)));
                    }
                    Ok(_) => (Outcome::Error, io::Error::other("an answer is larger than any may be")),
                    Err(_) => continue, // trailers belong to the connection
                },
            };
            self.tail.take().into_iter().for_each(|tail| tail.end(outcome));
            return Poll::Ready(Some(Err(error)));
        }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = match &mut *self {
            Self::Whole(bytes) if bytes.is_empty() => None,
            Self::Whole(bytes) => Some(Ok(std::mem::take(bytes))),
            Self::Rest(rest) => {
                let next = ready!(rest.poll_next(cx));
                // Where the length was told, nobody asks for more than that.
                if rest.is_over(next.is_none())
                    && let Self::Rest(rest) = std::mem::replace(&mut *self, Self::Whole(Bytes::new()))
                {
                    rest.go_home();
                }
                next
            }
        };
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Rest(rest) => rest.length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

impl Rest {
    /// Keeps the connection for the next attempt, once it is ready for it.
    fn go_home(self) {
        let Self { mut connection, home: Some((pool, server, epoch)), .. } = self else { return };
        tokio::spawn(async move {
            if connection.sender.ready().await.is_ok() {
                lock(&pool).put(server, epoch, connection);
            }
        });
    }
}

/// Whether a connection failed for lack of our own descriptors, ports or memory.
pub fn is_local(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
        || matches!(error.kind(), ErrorKind::AddrNotAvailable | ErrorKind::OutOfMemory)
}

/// A connection to an upstream. Dropping it closes it.
struct Connection {
    sender: SendRequest<Outgoing>,
    stream: SharedStream,
    progress: Arc<Progress>,
    task: AbortHandle,
    open: Arc<AtomicUsize>,
}

impl Connection {
    async fn open(address: SocketAddr, open: Arc<AtomicUsize>, all: Arc<AtomicU64>) -> io::Result<Self> {
        let stream = SharedStream::new(TcpStream::connect(address).await?)?;
        let progress = Arc::new(Progress { all, ..Progress::default() });
        let socket = Socket { stream: stream.clone(), progress: progress.clone() };
        let builder = &mut Builder::new();
        let builder = builder.max_buf_size(READ_BUFFER);
        let (sender, connection) = builder.handshake(TokioIo::new(socket)).await.map_err(io::Error::other)?;
        let task = tokio::spawn(connection).abort_handle();
        open.fetch_add(1, Ordering::Relaxed);
        Ok(Self { sender, stream, progress, task, open })
    }

    /// Whether nothing has come since the last answer. What an idle connection brings is its end, and the
    /// runtime may not have heard of that yet: a request written to it would be lost.
    fn is_quiet(&self) -> bool {
        self.sender.is_ready() && self.stream.is_quiet()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // At once: the aborted task holds the socket until it is scheduled, and an attempt given up is to be known as
        // such before another one is written.
        self.stream.shutdown_write().ok();
        self.task.abort();
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How far a request has got on its way out.
#[derive(Default)]
struct Progress {
    /// The last of its body is in hyper's hands.
    body_taken: AtomicBool,
    /// Its last byte is written: the upstream may run it from here on.
    written: AtomicBool,
    /// Counts those of all connections.
    all: Arc<AtomicU64>,
}

/// The body of a request, which notes when it was taken.
struct Outgoing {
    data: Option<Bytes>,
    progress: Arc<Progress>,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let data = self.data.take();
        self.progress.body_taken.store(true, Ordering::Relaxed);
        Poll::Ready(data.map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, Bytes::len) as u64)
    }
}

/// A socket that notes when the last byte of a request is written.
struct Socket {
    stream: SharedStream,
    progress: Arc<Progress>,
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = ready!(self.stream.poll_write_parts(cx, parts))?;
        // All that hyper had is written, and it had all.
        let offered: usize = parts.iter().map(|part| part.len()).sum();
        let whole = done == offered && self.progress.body_taken.load(Ordering::Relaxed);
        if whole && !self.progress.written.swap(true, Ordering::Relaxed) {
            self.progress.all.fetch_add(1, Ordering::Relaxed);
        }
        Poll::Ready(Ok(done))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// For how long an idle connection is kept that its upstream may close after a time.
fn kept(closed_after: Duration) -> Duration {
    closed_after - IDLE_MARGIN.min(closed_after / 2)
}

/// Connections over HTTP/1.1 to all upstreams: one attempt at a time on each.
pub struct Http1 {
    pool: Arc<Mutex<Pool>>,
    open: Arc<AtomicUsize>,
    written: Arc<AtomicU64>,
    /// In nanoseconds.
    connect_timeout: AtomicU64,
    sizes: Sizes,
    report_fields: Vec<String>,
}

impl Http1 {
    /// Idle connections are kept for less than `keep`, no more than `most` are open, idle or not, and an answer
    /// has at most `most_body` bytes.
    pub fn new(names: &Names, keep: Duration, most: usize, most_body: usize) -> Self {
        let open = Arc::<AtomicUsize>::default();
        let keep = kept(keep);
        let pool = Pool { keep, most, open: open.clone(), upstreams: HashMap::new(), next_epoch: 0 };
        Self {
            pool: Arc::new(Mutex::new(pool)),
            open,
            written: Arc::default(),
            connect_timeout: AtomicU64::new(nanos(names.connect_timeout)),
            sizes: Sizes { whole: most_body, most: most_body },
            report_fields: names.report_fields.clone(),
        }
    }

    /// Passes answers that are larger than that on as they come, up to this size.
    pub fn passing_on(mut self, most: usize) -> Self {
        self.sizes.most = most;
        self
    }

    /// Takes new settings: what is open is kept for no longer than these say.
    pub fn retune(&self, names: &Names, keep: Duration) {
        self.connect_timeout.store(nanos(names.connect_timeout), Ordering::Relaxed);
        lock(&self.pool).keep = kept(keep);
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        lock(&self.pool).upstreams.clear();
    }

    /// Connections that are open, idle or not.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Requests that were written to their last byte, since the start.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// One request and its answer, on a kept connection or a new one. On the heap: each future that wraps it
    /// would hold it twice over.
    fn exchange(
        &self,
        mut request: Request<Bytes>,
        peer: Peer,
        sizes: Sizes,
        begin: impl FnOnce() -> Option<Duration> + Send + 'static,
    ) -> Pin<Box<dyn Future<Output = Exchanged> + Send>> {
        let taken = lock(&self.pool).take(peer.server);
        let (pool, open, all) = (self.pool.clone(), self.open.clone(), self.written.clone());
        let connect_timeout = Duration::from_nanos(self.connect_timeout.load(Ordering::Relaxed));
        Box::pin(async move {
            let Some((epoch, idle)) = taken else { return Outcome::Moot.into() };
            let connection = match idle {
                Some(connection) => connection,
                None => match timeout(connect_timeout, Connection::open(peer.address, open, all)).await {
                    Ok(Ok(connection)) => connection,
                    // Our own lack of descriptors or ports says nothing of the upstream.
                    Ok(Err(error)) if is_local(&error) => return Outcome::Moot.into(),
                    Ok(Err(_)) | Err(_) => return Outcome::ConnectFailed.into(),
                },
            };
            // Guards rule 3: since it was begun, the upstream may have been listed as draining or gone.
            if !lock(&pool).is_current(peer.server, epoch) {
                return Outcome::Moot.into();
            }
            // As late as this, since to connect takes its time.
            let Some(left) = begin() else { return Outcome::Moot.into() };
            tell_budget(&mut request, left);
            let mut exchanged = exchange(request, connection, sizes).await;
            match &mut exchanged {
                Exchanged::Finished(finished) => {
                    if let Some(connection) = finished.connection.take() {
                        lock(&pool).put(peer.server, epoch, connection);
                    }
                }
                Exchanged::Begun(response) => response.body_mut().home = Some((pool, peer.server, epoch)),
            }
            exchanged
        })
    }
}

impl Http1 {
    fn exchange_of(
        &self,
        request: &Request<Bytes>,
        attempt: &Attempt,
        sizes: Sizes,
    ) -> Pin<Box<dyn Future<Output = Exchanged> + Send>> {
        let attempt = attempt.clone();
        let peer = attempt.to();
        self.exchange(forwarded(request, peer.address), peer, sizes, move || attempt.begin())
    }

    /// An attempt to its end.
    pub fn ended(
        &self,
        request: &Request<Bytes>,
        attempt: &Attempt,
    ) -> impl Future<Output = Ended<Response<Bytes>>> + Send + use<> {
        let sizes = Sizes { most: self.sizes.whole, ..self.sizes };
        let (exchange, fields) = (self.exchange_of(request, attempt, sizes), self.report_fields.clone());
        async move {
            match exchange.await {
                Exchanged::Finished(finished) => finished.ended(&fields),
                Exchanged::Begun(_) => Outcome::Error.into(), // larger than any answer may be
            }
        }
    }
}

impl Transport for Http1 {
    type Request = Request<Bytes>;
    type Answer = Response<Answer>;

    fn attempt(
        &self,
        request: &mut Request<Bytes>,
        attempt: &Attempt,
    ) -> impl Future<Output = Step<Response<Answer>>> + Send + 'static {
        let (exchange, fields) = (self.exchange_of(request, attempt, self.sizes), self.report_fields.clone());
        async move {
            match exchange.await {
                Exchanged::Finished(finished) => {
                    Step::Ended(finished.ended(&fields).map(|response| response.map(Answer::Whole)))
                }
                Exchanged::Begun(response) => Step::Started(Box::new(|tail| {
                    response.map(|mut rest| {
                        rest.tail = Some(tail);
                        Answer::Rest(Box::new(rest))
                    })
                })),
            }
        }
    }

    fn probe(
        &self,
        peer: Peer,
        patience: Duration,
    ) -> impl Future<Output = (Outcome, Option<LoadReport>)> + Send + 'static {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = Uri::from_static("/load");
        let request = forwarded(&request, peer.address);
        let sizes = Sizes { most: self.sizes.whole, ..self.sizes };
        let exchange = self.exchange(request, peer, sizes, move || Some(patience));
        let fields = self.report_fields.clone();
        async move {
            let Exchanged::Finished(Finished { outcome, response, .. }) = exchange.await else {
                return (Outcome::Error, None); // larger than any report may be
            };
            (outcome, response.and_then(|response| load_report(response.body(), &fields)))
        }
    }

    fn close_idle(&self, server: ServerId) {
        if let Some(upstream) = lock(&self.pool).upstreams.get_mut(&server) {
            upstream.idle.clear();
        }
    }

    fn retire(&self, server: ServerId) {
        lock(&self.pool).upstreams.remove(&server);
    }

    fn sweep(&self) {
        lock(&self.pool).sweep();
    }
}

/// The request as an upstream gets it: as it came, and in the form for an origin.
fn forwarded(request: &Request<Bytes>, address: SocketAddr) -> Request<Bytes> {
    let mut request = request.clone();
    *request.version_mut() = Version::HTTP_11;
    if let Some(path) = request.uri().path_and_query().filter(|_| request.uri().authority().is_some()) {
        *request.uri_mut() = path.clone().into();
    }
    let headers = request.headers_mut();
    if !headers.contains_key(HOST) {
        let host = HeaderValue::from_str(&address.to_string());
        headers.insert(HOST, host.unwrap_or(HeaderValue::from_static("upstream")));
    }
    request
}

/// Tells the upstream how long the caller still waits, in seconds.
fn tell_budget(request: &mut Request<Bytes>, left: Duration) {
    let budget = HeaderValue::from_str(&format!("{:.6}", left.as_secs_f64()));
    request.headers_mut().insert("x-budget", budget.unwrap_or(HeaderValue::from_static("0")));
}

/// The load figures in a report, in the order of the settings.
pub fn load_report(text: &[u8], fields: &[String]) -> Option<LoadReport> {
    let values: HashMap<String, f32> = serde_json::from_slice(text).ok()?;
    let mut report = LoadReport::default();
    for (figure, field) in report.figures.iter_mut().zip(fields) {
        *figure = *values.get(field)?;
        report.len += 1;
    }
    (report.len > 0).then_some(report)
}

/// Idle connections.
struct Pool {
    keep: Duration,
    most: usize,
    open: Arc<AtomicUsize>,
    upstreams: HashMap<ServerId, Kept>,
    next_epoch: u64,
}

/// The idle connections to one process of an upstream, the latest used last. What was begun in another epoch
/// belongs to a former process, or to one that was told not to be sent to.
struct Kept {
    epoch: u64,
    idle: Vec<(Instant, Connection)>,
}

impl Pool {
    /// The present epoch, and the latest used connection that is sound; `None` if there is none, nor room for
    /// one more.
    fn take(&mut self, server: ServerId) -> Option<(u64, Option<Connection>)> {
        let next_epoch = &mut self.next_epoch;
        let kept = self.upstreams.entry(server).or_insert_with(|| {
            *next_epoch += 1;
            Kept { epoch: *next_epoch, idle: Vec::new() }
        });
        let epoch = kept.epoch;
        while let Some((since, connection)) = kept.idle.pop() {
            if since.elapsed() < self.keep && connection.is_quiet() {
                return Some((epoch, Some(connection)));
            }
        }
        self.make_room().then_some((epoch, None))
    }

    fn is_current(&self, server: ServerId, epoch: u64) -> bool {
        self.upstreams.get(&server).is_some_and(|kept| kept.epoch == epoch)
    }

    /// Keeps a connection for the next attempt.
    fn put(&mut self, server: ServerId, epoch: u64, connection: Connection) {
        if let Some(kept) = self.upstreams.get_mut(&server).filter(|kept| kept.epoch == epoch) {
            kept.idle.push((Instant::now(), connection));
        }
    }

    /// Closes what has been idle for too long, or has ended.
    fn sweep(&mut self) {
        for kept in self.upstreams.values_mut() {
            kept.idle.retain(|(since, connection)| since.elapsed() < self.keep && connection.is_quiet());
        }
    }

    /// Whether one more connection may be opened, after closing the one idle for longest if need be.
    fn make_room(&mut self) -> bool {
        let full = |pool: &Self| pool.open.load(Ordering::Relaxed) >= pool.most;
        if full(self) {
            let oldest = self
                .upstreams
                .iter()
                .filter_map(|(server, kept)| Some((kept.idle.first()?.0, *server)))
                .min();
            if let Some((_, server)) = oldest {
                self.upstreams.get_mut(&server).map(|kept| kept.idle.remove(0));
            }
        }
        !full(self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::TcpListener;
    use tokio::io::AsyncWriteExt;

    /// A connection that has had an answer, and its peer.
    async fn used(listener: &TcpListener) -> (Connection, std::net::TcpStream) {
        let address = listener.local_addr().unwrap();
        let peer = listener.try_clone().unwrap();
        let peer = tokio::task::spawn_blocking(move || {
            let mut stream = peer.accept().unwrap().0;
            let mut got = Vec::new();
            while !got.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                got.push(byte[0]);
            }
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
            stream
        });
        let request = Request::new(Bytes::new());
        let connection = Connection::open(address, Arc::default(), Arc::default()).await.unwrap();
        let sizes = Sizes { whole: 1 << 10, most: 1 << 10 };
        let Exchanged::Finished(finished) = exchange(request, connection, sizes).await else {
            panic!("an answer that goes on")
        };
        (finished.connection.expect("a connection to use again"), peer.await.unwrap())
    }

    /// Guards against a balancer that is held up: between the end of an idle connection and the runtime's
    /// next look at its sockets, work would be written to it and lost.
    #[tokio::test]
    async fn an_end_shows_before_the_runtime_has_heard_of_it() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (connection, peer) = used(&listener).await;
        assert!(connection.is_quiet());
        drop(peer);
        let asked = Instant::now();
        while connection.is_quiet() {
            assert!(asked.elapsed() < Duration::from_secs(30)); // no await: the runtime hears of nothing
        }
    }

    /// Guards rule 2: only a request whose last byte was not written is known not to have run.
    #[tokio::test]
    async fn written_is_what_has_left_to_the_last_byte() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let tcp = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let progress = Arc::new(Progress::default());
        let stream = SharedStream::new(tcp).unwrap();
        let mut socket = Socket { stream, progress: progress.clone() };
        let written = || progress.written.load(Ordering::Relaxed);
        socket.write_all(b"head").await.unwrap();
        assert!(!written(), "the body is still to come");
        progress.body_taken.store(true, Ordering::Relaxed);
        let most = socket.write(&vec![0; 64 << 20]).await.unwrap();
        assert!(most < 64 << 20 && !written(), "the peer's buffer holds a part only");
        let mut peer = listener.accept().unwrap().0;
        std::thread::spawn(move || std::io::copy(&mut peer, &mut std::io::sink()));
        socket.write_all(b"the rest").await.unwrap();
        assert!(written());
    }
}
