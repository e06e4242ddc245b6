//! The callers' side: takes connections, reads and checks requests, writes answers.

use super::config::Config;
use super::figures::{Begun, Figures};
use super::gate::{Gate, MOST_HEAD, Seen, lock};
use super::{InService, MOST_BODY};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, DATE, EXPECT, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};
use woadstall_decisions::api::Effect;
use woadstall_engine::Verdict;
use woadstall_runtime::{Ask, Balance};
use woadstall_transport::{Answer, Http1, is_local, named_by_connection};

/// How long connections are still taken after a signal to stop: callers hear of it late.
const GO_ON: Duration = Duration::from_millis(500);
/// After clients are sent away: when answers begin to end their connections, when those between requests are
/// closed, and how often that is looked at. The front hears of it within a fifth of a second, and would bring
/// back those that are closed sooner.
const PART_AFTER: Duration = Duration::from_millis(400);
const CLOSE_AFTER: Duration = Duration::from_millis(1500);
const CLOSE_EVERY: Duration = Duration::from_millis(100);
/// How long callers may still send a class as it was before new settings: theirs and our news of them cross.
const CROSSING: Duration = Duration::from_secs(3);
/// How often a caller that is to be closed but writes a head is looked at.
const HEAD_LOOK: Duration = Duration::from_millis(20);
/// How long a caller may take over a request, the first one from its connecting on; and how often that is
/// looked at. Together they stay under the 3 s after which one that sends nothing whole is owed an end.
const PATIENCE: Duration = Duration::from_millis(2500);
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Wait after a connection could not be taken for lack of descriptors: the next try would fail alike.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Connections taken beyond those that are served, to refuse their requests: left in the kernel's backlog,
/// they would count as taken and get no answer.
const SURPLUS: usize = 32;
/// How long a surplus caller is to stay away, and one whose body found no room.
const COME_BACK: Duration = Duration::from_millis(500);
/// hyper's buffer for what a caller sends: beyond a head, it only makes bodies come in larger pieces.
const READ_BUFFER: usize = 2 * MOST_HEAD;
/// Part of the memory that the bodies of open requests may fill, as one over this.
const BODIES: usize = 3;
/// Added to the longest deadline, so long may answers take after the last connection was taken.
const LAST_ANSWERS: Duration = Duration::from_millis(60);

type Reply = Response<ReplyBody>;

/// The body of an answer, with what is to be told at its end where that is not there yet.
struct ReplyBody {
    answer: Answer,
    begun: Option<Begun>,
}

impl From<Bytes> for ReplyBody {
    fn from(bytes: Bytes) -> Self {
        Self { answer: bytes.into(), begun: None }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = ready!(Pin::new(&mut self.answer).poll_frame(cx));
        if frame.is_none() || self.answer.is_end_stream() {
            self.begun.iter_mut().for_each(Begun::whole);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.answer.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.answer.size_hint()
    }
}

/// What all connections share.
pub struct Server {
    config: Arc<Config>,
    balance: Balance<Http1>,
    ready: watch::Receiver<bool>,
    figures: Arc<Figures>,
    in_service: watch::Receiver<Arc<InService>>,
    /// Clients are to be sent away.
    away: watch::Receiver<bool>,
    /// Answers end their connections.
    parting: AtomicBool,
    next_caller: AtomicU64,
    callers: Mutex<HashMap<u64, Arc<Caller>>>,
    /// The callers' own ids of the requests that are open.
    open: Mutex<HashSet<String>>,
    /// Bytes of the bodies of open requests.
    bodies: AtomicUsize,
    /// A caller's connection has ended.
    left: Notify,
}

/// A caller's connection.
struct Caller {
    /// Beyond the connections that may be served: its requests are refused at once.
    surplus: bool,
    seen: Arc<Mutex<Seen>>,
    /// It is on its way out.
    leaving: AtomicBool,
    /// It is to be closed between requests.
    close: Notify,
    /// It is to be closed as it is.
    cut: Notify,
}

/// A caller's place among the connections.
struct Place {
    server: Arc<Server>,
    number: u64,
    caller: Arc<Caller>,
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.server.callers).remove(&self.number);
        self.server.left.notify_one();
    }
}

impl Place {
    async fn serve(self, gate: Gate, mut closing: watch::Receiver<bool>) {
        let service = service_fn(|request| async {
            let class = self.server.class_named(&request);
            let mut reply = match self.caller.surplus {
                true => refusal(COME_BACK),
                false => self.server.reply(request, &self.caller.seen).await,
            };
            match class {
                Some(class) if !reply.body().answer.is_whole() => {
                    reply.body_mut().begun = Some(Begun::new(self.server.figures.clone(), class));
                }
                Some(class) => self.server.figures.answered(&class, reply.status()),
                None => {}
            }
            let mut seen = lock(&self.caller.seen);
            if seen.is_last() || seen.both_lengths() || self.server.parting.load(Ordering::Relaxed) {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            seen.answered();
            Ok::<_, Infallible>(reply)
        });
        let connection = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .keep_alive(!self.caller.surplus)
            .serve_connection(TokioIo::new(gate), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            biased; // a request that has come is read before its connection is closed between requests
            _ = connection.as_mut() => return,
            () = self.caller.cut.notified() => return,
            _ = closing.wait_for(|close| *close) => {}
            () = self.caller.close.notified() => {}
        }
        // To close on a caller that is writing would turn its request back.
        while lock(&self.caller.seen).has_begun() {
            tokio::select! {
                _ = connection.as_mut() => return,
                () = self.caller.cut.notified() => return,
                () = sleep(HEAD_LOOK) => {}
            }
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            _ = connection => {}
            () = self.caller.cut.notified() => {}
        }
    }
}

impl Server {
    /// A server that has its requests answered by a balance.
    pub fn new(
        config: Arc<Config>,
        balance: Balance<Http1>,
        figures: Arc<Figures>,
        in_service: watch::Receiver<Arc<InService>>,
        away: watch::Receiver<bool>,
    ) -> Self {
        Self {
            config,
            ready: balance.ready(),
            balance,
            figures,
            in_service,
            away,
            parting: AtomicBool::new(false),
            next_caller: AtomicU64::new(0),
            callers: Mutex::default(),
            open: Mutex::default(),
            bodies: AtomicUsize::new(0),
            left: Notify::new(),
        }
    }

    /// Serves until told to stop, then for a while longer, and returns when all is answered.
    pub async fn run(self, listener: TcpListener, mut stopping: watch::Receiver<bool>) {
        let server = Arc::new(self);
        let looking = tokio::spawn(server.clone().cut_overdue());
        let parting = tokio::spawn(server.clone().send_away());
        let (close, closing) = watch::channel(false);
        let stopped = async {
            stopping.wait_for(|stop| *stop).await.ok();
            parting.abort();
            server.parting.store(true, Ordering::Relaxed);
            sleep(GO_ON).await;
        };
        tokio::select! {
            () = server.accept(&listener, &closing) => {}
            () = stopped => {}
        }
        server.take_rest(listener, &closing);
        close.send_replace(true);
        let in_service = server.in_service.borrow().clone();
        let longest =
            in_service.terms.settings().classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let all_left = async {
            while server.count() > 0 {
                server.left.notified().await;
            }
        };
        timeout(Duration::from_nanos(longest) + LAST_ANSWERS, all_left).await.ok();
        looking.abort();
    }

    /// Takes what waits in the backlog, and closes the listener: what waits there counts as taken, and would be
    /// reset. Nothing is waited for in between, so that hardly anything comes between the last look and the end.
    fn take_rest(self: &Arc<Self>, listener: TcpListener, closing: &watch::Receiver<bool>) {
        let Ok(listener) = listener.into_std() else { return };
        let mut rest = Vec::new();
        while let Ok((tcp, _)) = listener.accept() {
            rest.push(tcp);
        }
        drop(listener);
        for tcp in rest {
            if tcp.set_nonblocking(true).is_ok()
                && let Ok(tcp) = TcpStream::from_std(tcp)
            {
                self.take(tcp, closing);
            }
        }
    }

    /// While clients are sent away: ends their connections, with an answer where one is owed.
    async fn send_away(self: Arc<Self>) {
        let mut away = self.away.clone();
        while away.wait_for(|away| *away).await.is_ok() {
            let since = Instant::now();
            while *away.borrow() {
                let passed = since.elapsed();
                self.parting.store(passed >= PART_AFTER, Ordering::Relaxed);
                if passed >= CLOSE_AFTER {
                    self.close_all();
                }
                timeout(CLOSE_EVERY, away.changed()).await.ok();
            }
            self.parting.store(false, Ordering::Relaxed);
        }
    }

    /// Has all connections closed between requests.
    fn close_all(&self) {
        let callers = lock(&self.callers);
        for caller in callers.values().filter(|caller| !caller.leaving.swap(true, Ordering::Relaxed)) {
            caller.close.notify_one();
        }
    }

    /// The class that a request names by its path, if there is one of that name.
    fn class_named(&self, request: &Request<Incoming>) -> Option<String> {
        let (name, in_service) = (in_path(request), self.in_service.borrow());
        let known = in_service.terms.class(name).or_else(|| in_service.terms.former(name));
        known.map(|_| name.to_owned())
    }

    /// The classes that a request may mean by a name: the one in force, and while callers may not have heard of a
    /// change, the one before.
    fn classes(in_service: &InService, name: &str) -> impl Iterator<Item = usize> {
        let crossing = in_service.since.is_some_and(|since| since.elapsed() < CROSSING);
        let former = in_service.terms.former(name).filter(|_| crossing);
        in_service.terms.class(name).into_iter().chain(former)
    }

    /// Cuts off the callers that take too long over a request. Guards the places of the others.
    async fn cut_overdue(self: Arc<Self>) {
        loop {
            sleep(LOOK_EVERY).await;
            let callers = lock(&self.callers);
            let overdue = callers.values().filter(|caller| lock(&caller.seen).overdue(PATIENCE));
            overdue.for_each(|caller| caller.cut.notify_one());
        }
    }

    async fn accept(self: &Arc<Self>, listener: &TcpListener, closing: &watch::Receiver<bool>) {
        let most = self.config.limits.callers;
        loop {
            // The surplus is refused at once and the silent are sent away, so there is soon room again.
            while self.count() >= most + SURPLUS {
                self.close_idle();
                self.left.notified().await;
            }
            match listener.accept().await {
                Ok((tcp, _)) => self.take(tcp, closing),
                Err(error) => {
                    super::log(format_args!("cannot take a connection: {error}"));
                    if is_local(&error) {
                        self.close_idle();
                        self.balance.transport().close_all();
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        }
    }

    fn count(&self) -> usize {
        lock(&self.callers).len()
    }

    /// Has an idle connection closed: the oldest that has never asked, so that a silent crowd pushes out nobody
    /// but itself, or else the one idle for longest. Its caller may be writing to it just now; it knows then
    /// that its request was not taken.
    fn close_idle(&self) -> bool {
        let callers = lock(&self.callers);
        let staying = callers.values().filter(|caller| !caller.leaving.load(Ordering::Relaxed));
        let idle = staying.filter_map(|caller| Some((lock(&caller.seen).idle()?, caller)));
        let Some((_, caller)) = idle.min_by_key(|(since, _)| *since) else { return false };
        caller.leaving.store(true, Ordering::Relaxed);
        caller.close.notify_one();
        true
    }

    fn take(self: &Arc<Self>, tcp: TcpStream, closing: &watch::Receiver<bool>) {
        tcp.set_nodelay(true).ok();
        let surplus = self.count() >= self.config.limits.callers && !self.close_idle();
        let (gate, seen) = Gate::new(tcp);
        let (close, cut) = (Notify::new(), Notify::new());
        let caller = Arc::new(Caller { surplus, seen, leaving: AtomicBool::new(false), close, cut });
        let number = self.next_caller.fetch_add(1, Ordering::Relaxed);
        lock(&self.callers).insert(number, caller.clone());
        tokio::spawn(Place { server: self.clone(), number, caller }.serve(gate, closing.clone()));
    }

    async fn reply(&self, request: Request<Incoming>, seen: &Mutex<Seen>) -> Reply {
        if request.uri().path() == "/healthz" {
            return match *self.ready.borrow() && !*self.away.borrow() {
                true => status(StatusCode::OK),
                false => status(StatusCode::SERVICE_UNAVAILABLE),
            };
        }
        match self.call(request, seen).await {
            Ok(reply) => reply,
            Err((code, text)) => {
                let mut reply = status(code);
                *reply.body_mut() = Bytes::from_static(text.as_bytes()).into();
                reply
            }
        }
    }

    async fn call(
        &self,
        request: Request<Incoming>,
        seen: &Mutex<Seen>,
    ) -> Result<Reply, (StatusCode, &'static str)> {
        if lock(seen).both_lengths() {
            return Err((StatusCode::BAD_REQUEST, "Content-Length beside Transfer-Encoding\n"));
        }
        let asked = self.check(&request)?;
        let size = request.body().size_hint();
        if size.lower() > MOST_BODY as u64 {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB\n"));
        }
        let mut room = Room { held: &self.bodies, bytes: 0, most: self.config.limits.memory / BODIES };
        let Some(_named) = Named::take(&self.open, asked.call_id) else {
            return Err((StatusCode::CONFLICT, "a request with this X-Call-Id is open\n"));
        };
        let (mut head, body) = request.into_parts();
        let Some(body) = whole(body, &mut room).await? else { return Ok(refusal(COME_BACK)) };
        let deadline = lock(seen).whole() + asked.budget;
        let _taken = self.figures.taken();
        end_to_end(&mut head.headers);
        let Asked { class, tenant, work, .. } = asked;
        let ask = Ask { class, tenant, work, deadline, attempts: u32::MAX };
        let answer = self.balance.call(ask, Request::from_parts(head, body)).await;
        Ok(match answer {
            Verdict::Served(response) => {
                let mut reply = response.map(|answer| ReplyBody { answer, begun: None });
                *reply.version_mut() = Version::HTTP_11;
                end_to_end(reply.headers_mut());
                reply
            }
            Verdict::Refused(nanos) => refusal(Duration::from_nanos(nanos)),
            Verdict::Failed => status(StatusCode::BAD_GATEWAY),
        })
    }

    /// What a request asks for, or why it cannot be taken.
    fn check(&self, request: &Request<Incoming>) -> Result<Asked, (StatusCode, &'static str)> {
        let bad = |text| (StatusCode::BAD_REQUEST, text);
        let (headers, in_service) = (request.headers(), self.in_service.borrow());
        let (in_path, terms) = (in_path(request), &in_service.terms);
        let mut classes = Self::classes(&in_service, in_path).peekable();
        let class = *classes.peek().ok_or((StatusCode::NOT_FOUND, "no such path\n"))?;
        if text(headers, "x-call-class") != Some(in_path) {
            return Err(bad("X-Call-Class is missing or not that of the path\n"));
        }
        let keyed = text(headers, "idempotency-key").is_some_and(|key| !key.is_empty());
        let fits = |class: usize| match terms.settings().classes[class].effect {
            Effect::Safe => request.method() == Method::GET,
            Effect::Keyed(..) => request.method() == Method::POST && keyed,
            Effect::Unsafe => request.method() == Method::POST,
        };
        let Some(class) = classes.find(|&class| fits(class)) else {
            return Err(match terms.settings().classes[class].effect {
                Effect::Keyed(..) if !keyed => bad("Idempotency-Key is missing\n"),
                _ => (StatusCode::METHOD_NOT_ALLOWED, "not the method of this class\n"),
            });
        };
        // What is there twice may be read one way here and another way by the upstream.
        for name in ["x-call-id", "x-call-class", "x-caller", "x-budget", "x-call-cost", "idempotency-key"] {
            if headers.get_all(name).iter().nth(1).is_some() {
                return Err(bad("a header is there twice\n"));
            }
        }
        let call_id = text(headers, "x-call-id").filter(|id| !id.is_empty());
        let tenant = terms.names().tenant(text(headers, "x-caller"));
        let budget = text(headers, "x-budget").and_then(|budget| budget.parse().ok());
        let cost = match headers.contains_key("x-call-cost") {
            false => Some(None),
            true => text(headers, "x-call-cost")
                .and_then(|cost| cost.parse::<f64>().ok())
                .filter(|cost| cost.is_finite() && *cost >= 0.0)
                .map(|micros| Some((micros * 1e3) as u64)),
        };
        Ok(Asked {
            call_id: call_id.ok_or(bad("X-Call-Id is missing or malformed\n"))?.to_owned(),
            class,
            tenant: tenant.ok_or(bad("X-Caller is missing or not known\n"))?,
            budget: budget
                .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
                .filter(|budget| *budget <= MOST_BUDGET)
                .ok_or(bad("X-Budget is missing or malformed\n"))?,
            work: cost.ok_or(bad("X-Call-Cost is malformed\n"))?,
        })
    }
}

/// Reads a body to its end; `None` if it finds no room. It need not mind its time: the caller is cut off.
async fn whole(mut body: Incoming, room: &mut Room<'_>) -> Result<Option<Bytes>, (StatusCode, &'static str)> {
    let mut all = BytesMut::new();
    if let Some(size) = body.size_hint().exact() {
        if !room.grow(size as usize) {
            return Ok(None);
        }
        all.reserve(size as usize); // the system gives memory to what is written only
    }
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err((StatusCode::BAD_REQUEST, "the body is broken\n")) };
        let Ok(data) = frame.into_data() else { continue };
        if all.len() + data.len() > MOST_BODY {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB\n"));
        }
        let more = (all.len() + data.len()).saturating_sub(room.bytes);
        // Twice as much each time, as its buffer grows, and as much while it is moved.
        if more > 0 && !room.grow(more.max(room.bytes)) {
            return Ok(None);
        }
        all.extend_from_slice(&data);
    }
    Ok(Some(all.freeze()))
}

/// Room in the memory for a body.
struct Room<'a> {
    held: &'a AtomicUsize,
    bytes: usize,
    most: usize,
}

impl Room<'_> {
    /// Takes so many bytes more of what may be held in all, if they are left.
    fn grow(&mut self, bytes: usize) -> bool {
        let before = self.held.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= self.most
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The name of an open request. Guards against a second one under it: upstreams and callers could not tell
/// their answers apart.
struct Named<'a>(&'a Mutex<HashSet<String>>, String);

impl<'a> Named<'a> {
    fn take(open: &'a Mutex<HashSet<String>>, name: String) -> Option<Self> {
        lock(open).insert(name.clone()).then(|| Self(open, name))
    }
}

impl Drop for Named<'_> {
    fn drop(&mut self) {
        lock(self.0).remove(&self.1);
    }
}

/// No caller waits for longer.
const MOST_BUDGET: Duration = Duration::from_secs(3600);

struct Asked {
    call_id: String,
    class: usize,
    tenant: usize,
    budget: Duration,
    work: Option<u64>,
}

/// The first part of a request's path: its class.
fn in_path(request: &Request<Incoming>) -> &str {
    request.uri().path().split('/').nth(1).unwrap_or("")
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn status(code: StatusCode) -> Reply {
    let mut reply = Response::new(ReplyBody::from(Bytes::new()));
    *reply.status_mut() = code;
    reply
}

/// A refusal, with advice on how long to stay away unless that is zero.
fn refusal(stay_away: Duration) -> Reply {
    let mut reply = status(StatusCode::SERVICE_UNAVAILABLE);
    if stay_away > Duration::ZERO
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", stay_away.as_secs_f64()))
    {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// Leaves the headers that are meant for the other end, not for this connection.
fn end_to_end(headers: &mut HeaderMap) {
    let named = named_by_connection(headers);
    let hop = [CONNECTION, CONTENT_LENGTH, DATE, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    let others = ["keep-alive", "proxy-connection", "x-load-report"].map(HeaderName::from_static);
    for name in hop.into_iter().chain(others).chain(named) {
        headers.remove(name);
    }
}
