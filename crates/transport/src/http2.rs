//! Connections over HTTP/2 with prior knowledge (RFC 9113): many attempts on each, one stream an attempt.
//!
//! `h2` is used directly, not through a client that hides streams: whether an attempt can have run depends on
//! GOAWAY's last stream id and on REFUSED_STREAM, and what waits behind MAX_CONCURRENT_STREAMS must be known not
//! to have been sent. A stream is opened here only where the peer has room for it, so none waits inside `h2`.

use crate::classify::{self, Class};
use crate::http1::is_local;
use crate::outbound::{Outbound, Replay};
use crate::shared::{is_grpc, lock, named_by_connection};
use bytes::Bytes;
use h2::client::{Builder, ResponseFuture, SendRequest};
use h2::{Ping, RecvStream, SendStream};
use http::header::{CONNECTION, HOST, HeaderName, TE, TRANSFER_ENCODING, UPGRADE};
use http::uri::{self, Authority, PathAndQuery, Scheme};
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, Version};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use std::collections::HashMap;
use std::fmt;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::futures::OwnedNotified;
use tokio::task::AbortHandle;
use tokio::time::{Duration, Instant, Sleep, timeout};
use woadstall_runtime::engine::{AttemptEnd, LoadReport, Outcome, Peer, ServerId};
use woadstall_runtime::{Attempt, AttemptProgress, ResponseTail, Transport};
use woadstall_settings::Names;

/// Largest head of an answer, and of its trailers.
const MOST_HEAD: u32 = 64 << 10;
/// What a peer may send on one stream, and on all, before it is read: bounds the memory of slow readers.
const WINDOWS: (u32, u32) = (1 << 20, 4 << 20);
/// Connections tried for one attempt, where one after another turns out to be closing.
const TRIES: u32 = 3;
/// A connection that has said nothing for so long while an attempt waited is not used for new ones: the machine
/// behind it may have vanished, and only a new connection would tell.
const SILENT: Duration = Duration::from_secs(1);

/// How connections over HTTP/2 are kept.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most connections to one upstream.
    pub connections: usize,
    /// Most streams on one, whatever the peer allows beyond that.
    pub streams: usize,
    /// A connection without streams is closed after this time.
    pub idle: Duration,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// Answers up to this size are read whole before they are passed on, so that another attempt can follow one
    /// that breaks; larger ones, and those whose size is not told, are passed on as they come. In bytes.
    pub most_whole: usize,
}

impl Limits {
    /// The usual limits, with the time for a connection from the settings.
    pub fn new(names: &Names, idle: Duration) -> Self {
        let connect_timeout = names.connect_timeout;
        Self {
            connections: 4,
            streams: 1000,
            idle,
            connect_timeout,
            most_whole: 64 << 10,
        }
    }
}

/// Connections to all upstreams.
pub struct Http2 {
    pool: Arc<Pool>,
}

struct Pool {
    limits: Limits,
    upstreams: Mutex<HashMap<ServerId, Links>>,
    next_epoch: AtomicU64,
    counts: Arc<Counts>,
}

/// Connections that are open, and streams on them.
#[derive(Default)]
struct Counts {
    open: AtomicUsize,
    streams: AtomicUsize,
}

/// The connections to one process of an upstream.
struct Links {
    epoch: u64,
    links: Vec<Arc<Link>>,
    connecting: bool,
    /// How often a connection failed to come up, and how the last one did.
    failed: (u64, Outcome),
    changed: Arc<Notify>,
}

/// A connection.
struct Link {
    sender: SendRequest<Bytes>,
    streams: AtomicUsize,
    /// No new stream may be opened on it.
    closing: AtomicBool,
    opened: Instant,
    /// Since `opened`, in nanoseconds: when its last stream ended, and when it was last heard of.
    idle_from: AtomicU64,
    heard: AtomicU64,
    counts: Arc<Counts>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
        // The task ends by itself once the peer has closed, or at once where it has nothing to finish.
        if self.closing.load(Ordering::Relaxed) {
            self.task.abort();
        }
    }
}

impl Link {
    fn since_opened(&self) -> u64 {
        self.opened.elapsed().as_nanos() as u64
    }

    fn hear(&self) {
        self.heard.store(self.since_opened(), Ordering::Relaxed);
    }

    fn has_room(&self, most: usize) -> bool {
        let most = most.min(self.sender.current_max_send_streams());
        !self.closing.load(Ordering::Relaxed) && self.streams.load(Ordering::Relaxed) < most
    }
}

/// A place for one stream on a connection.
struct Lease {
    link: Arc<Link>,
    changed: Arc<Notify>,
    taken: u64,
    /// Something came back on it.
    answered: bool,
}

impl Lease {
    fn new(link: Arc<Link>, changed: Arc<Notify>) -> Self {
        link.streams.fetch_add(1, Ordering::Relaxed);
        link.counts.streams.fetch_add(1, Ordering::Relaxed);
        let taken = link.since_opened();
        Self {
            link,
            changed,
            taken,
            answered: false,
        }
    }

    fn hear(&mut self) {
        self.answered = true;
        self.link.hear();
    }

    /// The connection takes nothing new.
    fn close(&self) {
        self.link.closing.store(true, Ordering::Relaxed);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let now = self.link.since_opened();
        let silent = now.saturating_sub(self.taken) > SILENT.as_nanos() as u64
            && self.link.heard.load(Ordering::Relaxed) <= self.taken;
        if !self.answered && silent {
            self.close();
        }
        self.link.idle_from.store(now, Ordering::Relaxed);
        self.link.streams.fetch_sub(1, Ordering::Relaxed);
        self.link.counts.streams.fetch_sub(1, Ordering::Relaxed);
        self.changed.notify_one();
    }
}

/// Where to wait for a place, in a process of an upstream.
struct Waiting {
    changed: OwnedNotified,
    failed: u64,
}

enum Place {
    Taken(Lease),
    Wait(Waiting),
    /// The process was replaced, or takes nothing new.
    Retired,
}

impl Pool {
    /// The process that an attempt belongs to from now on.
    fn epoch(&self, server: ServerId) -> u64 {
        let mut upstreams = lock(&self.upstreams);
        let links = upstreams.entry(server).or_insert_with(|| Links {
            epoch: self.next_epoch.fetch_add(1, Ordering::Relaxed),
            links: Vec::new(),
            connecting: false,
            failed: (0, Outcome::ConnectFailed),
            changed: Arc::default(),
        });
        links.epoch
    }

    /// A place on a connection, or where to wait for one. Opens a connection if need be: one at a time, so that
    /// a crowd that comes at once does not open one each.
    fn place(self: &Arc<Self>, peer: &Peer, epoch: u64) -> Place {
        let mut upstreams = lock(&self.upstreams);
        let Some(links) = upstreams
            .get_mut(&peer.server)
            .filter(|links| links.epoch == epoch)
        else {
            return Place::Retired;
        };
        links
            .links
            .retain(|link| !link.closing.load(Ordering::Relaxed));
        // The fullest that has room, so that the others may fall idle.
        let with_room = links
            .links
            .iter()
            .filter(|link| link.has_room(self.limits.streams));
        if let Some(link) = with_room.max_by_key(|link| link.streams.load(Ordering::Relaxed)) {
            return Place::Taken(Lease::new(link.clone(), links.changed.clone()));
        }
        let waiting = Waiting {
            changed: links.changed.clone().notified_owned(),
            failed: links.failed.0,
        };
        if !links.connecting && links.links.len() < self.limits.connections {
            links.connecting = true;
            // In a task of its own: others wait for it, and its caller may leave.
            tokio::spawn(self.clone().connect(*peer, epoch));
        }
        Place::Wait(waiting)
    }

    /// How the connection failed that was being opened while this one waited, if it did.
    fn failure(&self, server: ServerId, epoch: u64, before: u64) -> Option<Outcome> {
        let upstreams = lock(&self.upstreams);
        let links = upstreams
            .get(&server)
            .filter(|links| links.epoch == epoch)?;
        (links.failed.0 != before).then_some(links.failed.1)
    }

    async fn connect(self: Arc<Self>, peer: Peer, epoch: u64) {
        let opened = match timeout(self.limits.connect_timeout, self.open(peer.address)).await {
            Ok(Ok(link)) => Ok(link),
            // Our own lack of descriptors or ports says nothing of the upstream.
            Ok(Err(error)) if is_local(&error) => Err(Outcome::Moot),
            Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
        };
        let mut upstreams = lock(&self.upstreams);
        let Some(links) = upstreams
            .get_mut(&peer.server)
            .filter(|links| links.epoch == epoch)
        else {
            return;
        };
        links.connecting = false;
        match opened {
            Ok(link) => links.links.push(link),
            Err(outcome) => links.failed = (links.failed.0 + 1, outcome),
        }
        links.changed.notify_waiters();
    }

    async fn open(self: &Arc<Self>, address: SocketAddr) -> io::Result<Arc<Link>> {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        let mut builder = Builder::new();
        builder
            .initial_window_size(WINDOWS.0)
            .initial_connection_window_size(WINDOWS.1);
        builder.max_header_list_size(MOST_HEAD).enable_push(false);
        let (sender, mut connection) = builder
            .handshake::<_, Bytes>(tcp)
            .await
            .map_err(io::Error::other)?;
        let (started, link_set) = tokio::sync::oneshot::channel::<std::sync::Weak<Link>>();
        let ping = connection.ping_pong();
        let task = tokio::spawn(async move {
            connection.await.ok();
            // Nothing can be opened on it any more.
            if let Some(link) = link_set.await.ok().and_then(|link| link.upgrade()) {
                link.closing.store(true, Ordering::Relaxed);
            }
        });
        // The answer to a ping comes after the peer's settings. Without these, a crowd that waits for a new
        // connection would open more streams than the peer takes; and a peer that accepts connections without
        // reading them shows here, where nothing has been sent yet.
        let ready = match ping {
            Some(mut ping) => ping
                .ping(Ping::opaque())
                .await
                .map(|_| ())
                .map_err(io::Error::other),
            None => Err(io::Error::other("no ping")),
        };
        if let Err(error) = ready {
            task.abort();
            return Err(error);
        }
        self.counts.open.fetch_add(1, Ordering::Relaxed);
        let link = Arc::new(Link {
            sender,
            streams: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
            opened: Instant::now(),
            idle_from: AtomicU64::new(0),
            heard: AtomicU64::new(0),
            counts: self.counts.clone(),
            task: task.abort_handle(),
        });
        started.send(Arc::downgrade(&link)).ok();
        Ok(link)
    }

    /// Waits for a place. Its own time is for the caller to mind.
    async fn lease(self: &Arc<Self>, peer: &Peer, epoch: u64) -> Result<Lease, Outcome> {
        loop {
            match self.place(peer, epoch) {
                Place::Taken(lease) => return Ok(lease),
                Place::Retired => return Err(Outcome::Moot),
                Place::Wait(waiting) => {
                    waiting.changed.await;
                    if let Some(outcome) = self.failure(peer.server, epoch, waiting.failed) {
                        return Err(outcome);
                    }
                }
            }
        }
    }
}

impl Http2 {
    /// No connection yet.
    pub fn new(limits: Limits) -> Self {
        let pool = Pool {
            limits,
            upstreams: Mutex::default(),
            next_epoch: AtomicU64::new(0),
            counts: Arc::default(),
        };
        Self {
            pool: Arc::new(pool),
        }
    }

    /// Connections that are open, and streams on them.
    pub fn open(&self) -> (usize, usize) {
        (
            self.pool.counts.open.load(Ordering::Relaxed),
            self.pool.counts.streams.load(Ordering::Relaxed),
        )
    }
}

impl Transport for Http2 {
    type Request = Outbound;
    type Response = Response<Inbound>;

    fn attempt(
        &self,
        request: &mut Outbound,
        attempt: &Attempt,
    ) -> impl Future<Output = AttemptProgress<Response<Inbound>>> + Send + 'static {
        let peer = attempt.peer();
        let epoch = self.pool.epoch(peer.server);
        let (mut head, grpc) = (forwarded(request, peer.address), request.grpc);
        let (body, until_closed) = (request.body.take(), request.body_deadline);
        let (pool, attempt) = (self.pool.clone(), attempt.clone());
        async move {
            let Some(mut body) = body else {
                return AttemptProgress::Ended(Outcome::Moot.into());
            };
            for _ in 0..TRIES {
                let lease = match pool.lease(&peer, epoch).await {
                    Ok(lease) => lease,
                    Err(outcome) => return AttemptProgress::Ended(outcome.into()),
                };
                let Some(left) = attempt.begin() else {
                    return AttemptProgress::Ended(Outcome::Moot.into());
                };
                tell_budget(&mut head, left, grpc);
                match lease
                    .link
                    .sender
                    .clone()
                    .send_request(head.clone(), body.is_empty())
                {
                    Ok((response, stream)) => {
                        let pump = body.send(stream);
                        return receive(
                            response,
                            lease,
                            pump,
                            pool.limits.most_whole,
                            until_closed,
                        )
                        .await;
                    }
                    // Not a byte of it is written: the connection is on its way out.
                    Err(_) => lease.close(),
                }
            }
            AttemptProgress::Ended(Outcome::Moot.into())
        }
    }

    fn probe(
        &self,
        _: Peer,
        _: Duration,
    ) -> impl Future<Output = (Outcome, Option<LoadReport>)> + Send + 'static {
        // The platform's probes are HTTP/1.1; the module does not wait for one that tells nothing.
        std::future::ready((Outcome::Moot, None))
    }

    fn close_idle(&self, server: ServerId) {
        if let Some(links) = lock(&self.pool.upstreams).get_mut(&server) {
            links
                .links
                .retain(|link| link.streams.load(Ordering::Relaxed) > 0);
        }
    }

    fn retire(&self, server: ServerId) {
        if let Some(links) = lock(&self.pool.upstreams).remove(&server) {
            // What waits for a place hears that there is none.
            links.changed.notify_waiters();
        }
    }

    fn sweep(&self) {
        let keep = self.pool.limits.idle.as_nanos() as u64;
        for links in lock(&self.pool.upstreams).values_mut() {
            links.links.retain(|link| {
                let idle = link
                    .since_opened()
                    .saturating_sub(link.idle_from.load(Ordering::Relaxed));
                let unused = link.streams.load(Ordering::Relaxed) == 0;
                !(link.closing.load(Ordering::Relaxed) || unused && idle >= keep)
            });
        }
    }
}

const X_BUDGET: HeaderName = HeaderName::from_static("x-budget");
const GRPC_TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");

/// The head of a request as an upstream gets it: as it came, but for what belongs to one connection, and with
/// the time that is left.
fn forwarded(request: &Outbound, address: SocketAddr) -> Request<()> {
    let mut head = Request::new(());
    *head.method_mut() = request.head.method.clone();
    *head.version_mut() = Version::HTTP_2;
    *head.headers_mut() = request.head.headers.clone();
    let headers = head.headers_mut();
    let host = headers.remove(HOST);
    let named = named_by_connection(headers);
    let others = ["keep-alive", "proxy-connection"].map(HeaderName::from_static);
    for name in [CONNECTION, TRANSFER_ENCODING, UPGRADE]
        .into_iter()
        .chain(others)
        .chain(named)
    {
        headers.remove(name);
    }
    if headers.get(TE).is_some_and(|value| value != "trailers") {
        headers.remove(TE); // RFC 9113, section 8.2.2
    }
    let uri = &request.head.uri;
    let host = host.and_then(|host| Authority::try_from(host.as_bytes()).ok());
    let authority = uri.authority().cloned().or(host);
    let mut parts = uri::Parts::default();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = authority.or_else(|| Authority::try_from(address.to_string()).ok());
    let path = uri
        .path_and_query()
        .filter(|path| request.head.method != Method::CONNECT && *path != "");
    parts.path_and_query = Some(
        path.cloned()
            .unwrap_or_else(|| PathAndQuery::from_static("/")),
    );
    *head.uri_mut() = Uri::from_parts(parts).unwrap_or_default();
    head
}

/// Tells the upstream how long the caller still waits.
fn tell_budget(head: &mut Request<()>, left: Duration, grpc: bool) {
    let number = |text: String| {
        let mut number = HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("0"));
        // Another one with each call: it must not push what repeats out of the peer's table (RFC 7541, 7.1.3).
        number.set_sensitive(true);
        number
    };
    let headers = head.headers_mut();
    headers.insert(
        X_BUDGET,
        number(format!("{}.{:06}", left.as_secs(), left.subsec_micros())),
    );
    if grpc {
        headers.insert(
            GRPC_TIMEOUT,
            number(grpc_timeout_of(left.as_nanos() as u64)),
        );
    }
}

/// A time in nanoseconds as the header says it: at most eight digits and a unit (gRPC over HTTP/2, Timeout).
pub fn grpc_timeout_of(nanos: u64) -> String {
    const MOST: u64 = 99_999_999;
    let units = [
        (1, 'n'),
        (1_000, 'u'),
        (1_000_000, 'm'),
        (1_000_000_000, 'S'),
        (60_000_000_000, 'M'),
    ];
    let fits = units.into_iter().find(|(unit, _)| nanos / unit <= MOST);
    match fits {
        Some((unit, letter)) => format!("{}{letter}", nanos / unit),
        None => format!("{}H", (nanos / 3_600_000_000_000).min(MOST)),
    }
}

/// Sends the rest of a body that is not held whole; dropping it stops that.
pub(crate) struct Pump(Option<AbortHandle>);

impl Drop for Pump {
    fn drop(&mut self) {
        self.0.take().into_iter().for_each(|task| task.abort());
    }
}

impl Replay {
    /// Sends all of it on a stream. What is held whole is left to `h2`, which minds the peer's window; the rest
    /// of a body that is still to come goes out as the window allows.
    fn send(&mut self, mut stream: SendStream<Bytes>) -> Pump {
        let last = self.rest.is_none() && self.trailers.is_none();
        let count = self.data.len();
        for (at, data) in self.data.iter().enumerate() {
            if stream
                .send_data(data.clone(), last && at + 1 == count)
                .is_err()
            {
                return Pump(None); // the stream is over, as its answer tells
            }
        }
        if let Some(trailers) = self.trailers.clone() {
            stream.send_trailers(trailers).ok();
        }
        let rest = self
            .rest
            .take()
            .map(|rest| tokio::spawn(pump(rest, stream)).abort_handle());
        Pump(rest)
    }
}

/// Sends what comes of a body, as fast as the peer takes it.
async fn pump(mut rest: crate::outbound::Rest, mut stream: SendStream<Bytes>) {
    loop {
        let frame = tokio::select! {
            frame = rest.frame() => frame,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return,
        };
        match frame.map(|frame| frame.map(Frame::into_data)) {
            None => drop(stream.send_data(Bytes::new(), true)),
            Some(Ok(Ok(mut data))) => {
                while !data.is_empty() {
                    stream.reserve_capacity(data.len());
                    match poll_fn(|cx| stream.poll_capacity(cx)).await {
                        Some(Ok(room)) => {
                            let part = data.split_to(room.min(data.len()));
                            if stream.send_data(part, false).is_err() {
                                return;
                            }
                        }
                        _ => return,
                    }
                }
                continue;
            }
            Some(Ok(Err(frame))) => {
                if let Ok(trailers) = frame.into_trailers() {
                    stream.send_trailers(trailers).ok();
                }
            }
            // The caller's own body broke: what was sent of it is no request.
            Some(Err(_)) => stream.send_reset(h2::Reason::CANCEL),
        }
        return;
    }
}

/// Waits until an answer is whole, or is known to be the one that is passed on.
async fn receive(
    response: ResponseFuture,
    mut lease: Lease,
    pump: Pump,
    most_whole: usize,
    until: Option<Instant>,
) -> AttemptProgress<Response<Inbound>> {
    let failed = |error: &h2::Error, lease: &Lease| {
        let outcome = classify::broken(error);
        if error.is_go_away() || error.is_io() {
            lease.close();
        }
        AttemptProgress::Ended(outcome.into())
    };
    let response = match response.await {
        Ok(response) => response,
        Err(error) => return failed(&error, &lease),
    };
    lease.hear();
    let (head, mut body) = response.into_parts();
    let grpc = is_grpc(&head.headers);
    if grpc && head.status == http::StatusCode::OK && body.is_end_stream() {
        return whole(Response::from_parts(head, ()), Vec::new(), None, true);
    }
    let told = head.headers.get(http::header::CONTENT_LENGTH);
    let told: Option<usize> = told.and_then(|length| length.to_str().ok()?.parse().ok());
    let early = classify::http(head.status, &head.headers);
    if !early.is_final && !grpc {
        return AttemptProgress::Ended(early.outcome.into());
    }
    // gRPC messages are passed on from the first one on; of other answers it is known how large they are.
    let wait_for = if grpc {
        0
    } else {
        told.filter(|told| *told <= most_whole).unwrap_or(0)
    };
    let (mut data, mut length) = (Vec::new(), 0);
    loop {
        // Once there is something to pass on, only what has come already is taken along.
        let next = match length >= wait_for && length > 0 {
            true => match poll_fn(|cx| Poll::Ready(body.poll_data(cx))).await {
                Poll::Ready(next) => next,
                Poll::Pending => break,
            },
            false => body.data().await,
        };
        lease.hear();
        match next {
            Some(Ok(part)) => {
                body.flow_control().release_capacity(part.len()).ok();
                length += part.len();
                data.push(part);
                if length > most_whole {
                    break;
                }
            }
            Some(Err(error)) => return failed(&error, &lease),
            None => {
                let trailers = match body.trailers().await {
                    Ok(trailers) => trailers,
                    Err(error) => return failed(&error, &lease),
                };
                return whole(Response::from_parts(head, ()), data, trailers, grpc);
            }
        }
    }
    let begun = Box::new(move |tail| {
        let expiry = until.map(|until| Box::pin(tokio::time::sleep_until(until)));
        let rest = Rest {
            body,
            lease,
            _pump: pump,
            tail: Some(tail),
            expiry,
            grpc,
            done: false,
        };
        Response::from_parts(
            head,
            Inbound {
                data: data.into(),
                trailers: None,
                rest: Some(Box::new(rest)),
            },
        )
    });
    AttemptProgress::ResponseStarted(begun)
}

fn whole(
    head: Response<()>,
    data: Vec<Bytes>,
    trailers: Option<HeaderMap>,
    grpc: bool,
) -> AttemptProgress<Response<Inbound>> {
    let Class { outcome, is_final } = match grpc {
        // What precedes the trailers is no answer yet; where there are none, the head has the status.
        true => classify::grpc(trailers.as_ref().unwrap_or(head.headers())),
        false => classify::http(head.status(), head.headers()),
    };
    let answer = is_final.then(|| {
        head.map(|()| Inbound {
            data: data.into(),
            trailers,
            rest: None,
        })
    });
    AttemptProgress::Ended(AttemptEnd {
        outcome,
        response: answer,
        load: None,
    })
}

/// The body of an answer.
pub struct Inbound {
    data: std::collections::VecDeque<Bytes>,
    trailers: Option<HeaderMap>,
    rest: Option<Box<Rest>>,
}

/// What is still to come of an answer.
struct Rest {
    body: RecvStream,
    lease: Lease,
    _pump: Pump,
    tail: Option<ResponseTail>,
    expiry: Option<Pin<Box<Sleep>>>,
    grpc: bool,
    done: bool,
}

/// Why an answer that had begun was not passed on to its end.
#[derive(Debug)]
pub enum InboundError {
    /// The stream broke.
    Broken(h2::Error),
    /// The caller's time ran out.
    OutOfTime,
}

impl fmt::Display for InboundError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "the answer broke off: {error}"),
            Self::OutOfTime => f.write_str("the answer did not end in its time"),
        }
    }
}

impl std::error::Error for InboundError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Broken(error) => Some(error),
            Self::OutOfTime => None,
        }
    }
}

impl Inbound {
    /// A body that is whole.
    pub fn new(data: Bytes) -> Self {
        let data = if data.is_empty() {
            Default::default()
        } else {
            [data].into()
        };
        Self {
            data,
            trailers: None,
            rest: None,
        }
    }
}

impl Rest {
    fn end(&mut self, outcome: Outcome) {
        self.done = true;
        self.tail
            .take()
            .into_iter()
            .for_each(|tail| tail.end(outcome));
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, InboundError>>> {
        if let Some(expiry) = &mut self.expiry
            && expiry.as_mut().poll(cx).is_ready()
        {
            self.end(Outcome::Cancelled);
            return Poll::Ready(Some(Err(InboundError::OutOfTime)));
        }
        match ready!(self.body.poll_data(cx)) {
            Some(Ok(data)) => {
                self.lease.hear();
                self.body.flow_control().release_capacity(data.len()).ok();
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
            Some(Err(error)) => return Poll::Ready(Some(Err(self.broke(error)))),
            None => {}
        }
        match ready!(self.body.poll_trailers(cx)) {
            Ok(trailers) => {
                let none = HeaderMap::new();
                let class = classify::grpc(trailers.as_ref().unwrap_or(&none));
                self.end(if self.grpc {
                    class.outcome
                } else {
                    Outcome::Ok
                });
                Poll::Ready(trailers.map(|trailers| Ok(Frame::trailers(trailers))))
            }
            Err(error) => Poll::Ready(Some(Err(self.broke(error)))),
        }
    }

    fn broke(&mut self, error: h2::Error) -> InboundError {
        self.lease.close();
        self.end(Outcome::Reset);
        InboundError::Broken(error)
    }
}

impl Body for Inbound {
    type Data = Bytes;
    type Error = InboundError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, InboundError>>> {
        if let Some(data) = self.data.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if let Some(rest) = self.rest.as_mut() {
            let frame = ready!(rest.poll_frame(cx));
            if rest.done {
                self.rest = None;
            }
            return Poll::Ready(frame);
        }
        Poll::Ready(
            self.trailers
                .take()
                .map(|trailers| Ok(Frame::trailers(trailers))),
        )
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.trailers.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.data.iter().map(|data| data.len() as u64).sum();
        match self.rest {
            Some(_) => {
                let mut hint = SizeHint::new();
                hint.set_lower(length);
                hint
            }
            None => SizeHint::with_exact(length),
        }
    }
}
