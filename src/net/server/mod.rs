//! The callers' side: takes connections, has their requests answered, and ends in order.

mod connection;
mod reply;
mod request;

use self::connection::{COME_BACK, Caller, Place};
use self::reply::{Reply, ReplyBody, refusal, status};
use self::request::{Asked, Rejection, TOO_LARGE, whole_body};
use super::config::Config;
use super::figures::Figures;
use super::{InService, MOST_BODY};
use hyper::body::{Body, Incoming};
use hyper::{Request, StatusCode, Version};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};
use woadstall_engine::CallResult;
use woadstall_inbound::{BodyMemory, ConnectionState, LingeringConnections, lock};
use woadstall_runtime::{CallParameters, LoadBalancer};
use woadstall_transport::{Http1, SharedStream, end_to_end, is_local};

/// How long connections are still taken after a signal to stop: callers hear of it late.
const GO_ON: Duration = Duration::from_millis(500);
/// After clients are sent away: when answers begin to end their connections, when those between requests are
/// closed, and how often that is looked at. The front hears of it within a fifth of a second, and would bring
/// back those that are closed sooner.
const PART_AFTER: Duration = Duration::from_millis(400);
const CLOSE_AFTER: Duration = Duration::from_millis(1500);
const CLOSE_EVERY: Duration = Duration::from_millis(100);
/// How long a caller may take over a request, the first one from its connecting on; and how often that is
/// looked at. Together they stay under the 3 s after which one that sends nothing whole is owed an end.
const PATIENCE: Duration = Duration::from_millis(2500);
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Wait after a connection could not be taken for lack of descriptors: the next try would fail alike.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Connections taken beyond those that are served, to refuse their requests: left in the kernel's backlog,
/// they would count as taken and get no answer.
const SURPLUS: usize = 32;
/// Connections that may linger beyond the places that nobody has, within the descriptors that are kept back.
const LINGERING_BESIDE: usize = 8;
/// Part of the memory that the bodies of open requests may fill, as one over this.
const BODIES: usize = 3;
/// Added to the longest deadline, so long may answers take after the last connection was taken.
const LAST_ANSWERS: Duration = Duration::from_millis(60);

/// What all connections share.
pub struct Server {
    config: Arc<Config>,
    balance: LoadBalancer<Http1>,
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
    lingering: Arc<LingeringConnections>,
}

impl Server {
    /// A server that has its requests answered by a balance.
    pub fn new(
        config: Arc<Config>,
        balance: LoadBalancer<Http1>,
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
            lingering: Arc::default(),
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
        let longest = in_service
            .terms
            .settings()
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0);
        let all_left = async {
            while server.count() > 0 {
                server.left.notified().await;
            }
            server.lingering.all_closed().await;
        };
        timeout(Duration::from_nanos(longest) + LAST_ANSWERS, all_left)
            .await
            .ok();
        looking.abort();
    }

    /// Takes what waits in the backlog, and closes the listener: what waits there counts as taken, and would be
    /// reset. Nothing is waited for in between, so that hardly anything comes between the last look and the end.
    fn take_rest(self: &Arc<Self>, listener: TcpListener, closing: &watch::Receiver<bool>) {
        let Ok(listener) = listener.into_std() else {
            return;
        };
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
        for caller in callers
            .values()
            .filter(|caller| !caller.leaving.swap(true, Ordering::Relaxed))
        {
            caller.close.notify_one();
        }
    }

    /// The class of a name, if there is one.
    fn class_named(&self, name: &str) -> Option<String> {
        let in_service = self.in_service.borrow();
        let known = in_service
            .terms
            .class(name)
            .or_else(|| in_service.terms.previous_class(name));
        known.map(|_| name.to_owned())
    }

    /// Cuts off the callers that take too long over a request. Guards the places of the others.
    async fn cut_overdue(self: Arc<Self>) {
        loop {
            sleep(LOOK_EVERY).await;
            let callers = lock(&self.callers);
            let overdue = callers
                .values()
                .filter(|caller| lock(&caller.seen).is_overdue(PATIENCE));
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
                        self.lingering.keep_at_most(0);
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
        let staying = callers
            .values()
            .filter(|caller| !caller.leaving.load(Ordering::Relaxed));
        let idle = staying.filter_map(|caller| Some((caller.idle()?, caller)));
        let Some((_, caller)) = idle.min_by_key(|(since, _)| *since) else {
            return false;
        };
        caller.leaving.store(true, Ordering::Relaxed);
        caller.close.notify_one();
        true
    }

    fn take(self: &Arc<Self>, tcp: TcpStream, closing: &watch::Receiver<bool>) {
        let Ok(stream) = SharedStream::new(tcp) else {
            return;
        }; // it has been reset already
        let surplus = self.count() >= self.config.limits.callers && !self.close_idle();
        let (caller, gate) = Caller::new(surplus, stream);
        let number = self.next_caller.fetch_add(1, Ordering::Relaxed);
        lock(&self.callers).insert(number, caller.clone());
        self.bound_lingering();
        let place = Place {
            server: self.clone(),
            number,
            caller,
        };
        tokio::spawn(place.serve(gate, closing.clone()));
    }

    /// A caller's connection is not served any more.
    fn leave(&self, number: u64) {
        lock(&self.callers).remove(&number);
        self.left.notify_one();
    }

    /// Closes a connection that its caller may still be writing to.
    fn linger(&self, stream: SharedStream) {
        self.lingering.close(stream);
        self.bound_lingering();
    }

    /// Those that linger may have the descriptors of places that nobody has, and a few beside.
    fn bound_lingering(&self) {
        let places = self.config.limits.callers.saturating_sub(self.count());
        self.lingering.keep_at_most(places + LINGERING_BESIDE);
    }

    /// Whether answers end their connections.
    fn is_parting(&self) -> bool {
        self.parting.load(Ordering::Relaxed)
    }

    fn figures(&self) -> &Arc<Figures> {
        &self.figures
    }

    /// The answer to a request, and when it is of no use any more.
    async fn reply(
        &self,
        request: Request<Incoming>,
        seen: &Mutex<ConnectionState>,
    ) -> (Reply, Option<Instant>) {
        if request.uri().path() == "/healthz" {
            let ready = *self.ready.borrow() && !*self.away.borrow();
            let code = if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return (status(code), None);
        }
        match self.call(request, seen).await {
            Ok((reply, deadline)) => (reply, Some(deadline)),
            Err(Rejection { code, text }) => (reply::text(code, text), None),
        }
    }

    async fn call(
        &self,
        request: Request<Incoming>,
        seen: &Mutex<ConnectionState>,
    ) -> Result<(Reply, Instant), Rejection> {
        if lock(seen).has_both_lengths() {
            let text = "Content-Length beside Transfer-Encoding\n";
            return Err(Rejection::new(StatusCode::BAD_REQUEST, text));
        }
        let asked = Asked::read(&request, &self.in_service.borrow())?;
        if request.body().size_hint().lower() > MOST_BODY as u64 {
            return Err(TOO_LARGE);
        }
        let mut room = BodyMemory::new(&self.bodies, self.config.limits.memory / BODIES);
        let Some(_named) = Named::take(&self.open, asked.call_id) else {
            return Err(Rejection::new(
                StatusCode::CONFLICT,
                "a request with this X-Call-Id is open\n",
            ));
        };
        let (mut head, body) = request.into_parts();
        let body = whole_body(body, &mut room).await?;
        let deadline = lock(seen).request_completed() + asked.budget;
        let Some(body) = body else {
            return Ok((refusal(COME_BACK), deadline));
        };
        let _taken = self.figures.taken();
        end_to_end(&mut head.headers);
        let Asked {
            class,
            tenant,
            work,
            ..
        } = asked;
        let ask = CallParameters {
            class,
            tenant,
            work,
            deadline,
            max_attempts: u32::MAX,
        };
        let verdict = self
            .balance
            .call(ask, Request::from_parts(head, body))
            .await;
        let reply = match verdict {
            CallResult::Served(response) => {
                let mut reply = response.map(ReplyBody::from);
                *reply.version_mut() = Version::HTTP_11;
                end_to_end(reply.headers_mut());
                reply
            }
            CallResult::Rejected(nanos) => refusal(Duration::from_nanos(nanos)),
            CallResult::Failed => status(StatusCode::BAD_GATEWAY),
        };
        Ok((reply, deadline))
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
