//! A stand-in nodo on a socket. What it does with a request is the emulator's own nodo, so both have the same
//! faults; here are only its sockets, its sleeps, and its calls to the next tier.

use crate::callers::{Door, choose};
use crate::judge::Judge;
use crate::lock;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use woadstall_emulator::{
    Actor, Admission, CallEffect, CallGroup, FaultKind, Scenario, Upstream, UpstreamFaults, chance,
    stream,
};
use woadstall_mock_servers::grpc::message;
use woadstall_mock_servers::simulated_upstream::serve_process;

/// Numbers of the calls that nodos make, so that each has an id of its own.
static CALLS: AtomicU64 = AtomicU64::new(0);

/// A nodo, over all its processes.
pub struct Socketed {
    /// Where it listens, each of its processes.
    pub address: SocketAddr,
    scenario: Arc<Scenario>,
    tier: usize,
    /// Whether its process stands still.
    stopped: watch::Sender<bool>,
    /// Where it calls the next tier, if it does.
    next: OnceLock<Next>,
    judge: Arc<Judge>,
    start: Instant,
    brain: Mutex<Brain>,
    process: Mutex<Option<JoinSet<()>>>,
}

/// Where a nodo calls the next tier.
pub struct Next {
    /// How many calls on average for each request.
    pub mean: f64,
    /// The balancers of that tier that it may ask.
    pub doors: Vec<Door>,
}

/// How discovery lists a nodo.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: u8,
    /// Its cell.
    pub cell: u16,
    /// Its state, in discovery's words.
    pub state: &'static str,
    /// When its process started, Unix time in milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

impl Listing {
    /// The same for one whose clock is ahead by so many milliseconds: the start seems longer ago.
    pub fn seen_from(&self, ahead_ms: i64) -> Self {
        let boot_ms = if self.boot_ms == 0 {
            0
        } else {
            self.boot_ms.saturating_add_signed(-ahead_ms)
        };
        Self {
            boot_ms,
            ..self.clone()
        }
    }

    /// The entry for a balancer that finds it at an address.
    pub fn entry(&self, zones: &[String], at: SocketAddr) -> serde_json::Value {
        serde_json::json!({"uid": self.name, "endpoint": at.to_string(), "az": zones[usize::from(self.zone)],
            "model": "m", "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0,
            "boot_ms": self.boot_ms})
    }
}

struct Brain {
    nodo: Upstream,
    waiting: HashMap<u64, oneshot::Sender<()>>,
    next: u64,
    boot_ms: u64,
    listed: &'static str,
    drained: Option<Instant>,
    /// Requests that came since the last look.
    attempts: u32,
    seen: Seen,
}

/// What a nodo has seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Its name.
    pub name: String,
    /// Requests that came.
    pub came: u64,
    /// Requests that it has worked on to their end.
    pub ran: u64,
    /// Requests that it has turned away as full.
    pub turned_away: u64,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl Socketed {
    /// Starts one of a tier, by its numbers in the tier and among all.
    pub async fn start(
        scenario: &Arc<Scenario>,
        judge: &Arc<Judge>,
        start: Instant,
        at: usize,
        (number, host): (u32, u32),
        seed: u64,
    ) -> std::io::Result<Arc<Self>> {
        let tier = &scenario.tier[at];
        let listener = TcpListener::bind((IpAddr::V4(Ipv4Addr::LOCALHOST), 0)).await?;
        let zone = scenario.zone_in_turn(number);
        let place = (zone, (number % u32::from(tier.cells)) as u16, host);
        let name = format!("{}-{number}", tier.name);
        let seen = Seen {
            name: name.clone(),
            ..Seen::default()
        };
        let nodo = Upstream::new(name, at, tier, place, stream(seed, Actor::Upstream, host));
        let boot_ms = if tier.cold { unix_ms() } else { 0 };
        let brain = Brain {
            nodo,
            waiting: HashMap::new(),
            next: 0,
            boot_ms,
            listed: "in_service",
            drained: None,
            attempts: 0,
            seen,
        };
        let socketed = Arc::new(Self {
            address: listener.local_addr()?,
            scenario: scenario.clone(),
            tier: at,
            stopped: watch::Sender::new(false),
            next: OnceLock::new(),
            judge: judge.clone(),
            start,
            brain: Mutex::new(brain),
            process: Mutex::default(),
        });
        *lock(&socketed.process) = Some(socketed.clone().serve(listener));
        Ok(socketed)
    }

    /// Where it calls the next tier; said once.
    pub fn calls(&self, next: Next) {
        self.next.set(next).ok();
    }

    /// How it is listed.
    pub fn listing(&self) -> Listing {
        let brain = lock(&self.brain);
        let Upstream {
            name, zone, cell, ..
        } = &brain.nodo;
        Listing {
            name: name.clone(),
            zone: *zone,
            cell: *cell,
            state: brain.listed,
            boot_ms: brain.boot_ms,
        }
    }

    /// How it is listed from now on, and since when all balancers know that it drains.
    pub fn list(&self, state: &'static str, drained: Option<Instant>) {
        let mut brain = lock(&self.brain);
        brain.listed = state;
        brain.drained = drained.map(|since| brain.drained.unwrap_or(since));
    }

    /// That it drains was told to some that begin to call it, by then and not before.
    pub fn told_no_sooner(&self, then: Instant) {
        let mut brain = lock(&self.brain);
        brain.drained = brain.drained.map(|since| since.max(then));
    }

    /// Its process stands still, or goes on: connections stay, and what has come waits.
    pub fn stop(&self, stopped: bool) {
        self.stopped.send_replace(stopped);
    }

    async fn goes_on(&self) {
        self.stopped
            .subscribe()
            .wait_for(|stopped| !stopped)
            .await
            .ok();
    }

    /// Whether it has fallen over since this was asked last.
    pub fn has_fallen(&self) -> bool {
        std::mem::take(&mut lock(&self.brain).nodo.overloaded)
    }

    /// Requests that it holds.
    pub fn held(&self) -> u32 {
        lock(&self.brain).nodo.in_flight()
    }

    /// What it has seen so far.
    pub fn seen(&self) -> Seen {
        lock(&self.brain).seen.clone()
    }

    /// Whether its process runs.
    pub fn is_alive(&self) -> bool {
        lock(&self.brain).nodo.alive
    }

    /// What it can do at present, in workers of a sound warm one, and the attempts that it got since the last look.
    pub fn look(&self) -> (f64, u32) {
        let now = self.now();
        let mut brain = lock(&self.brain);
        let can = brain.drained.is_none() && !*self.stopped.borrow();
        let speed = if can { brain.nodo.speed(now) } else { 0.0 };
        (speed, std::mem::take(&mut brain.attempts))
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// Its process dies: connections are reset, new ones refused, work is lost.
    pub fn kill(&self) {
        lock(&self.process).take();
        let mut brain = lock(&self.brain);
        brain.nodo.die();
        brain.waiting.clear();
    }

    /// A new process at its address, cold.
    pub async fn boot(self: Arc<Self>) {
        self.kill();
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                // The former process's sockets are closed by its tasks, which may not have run yet.
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        };
        let now = self.now();
        let mut brain = lock(&self.brain);
        brain.nodo.boot(now);
        brain.boot_ms = unix_ms();
        drop(brain);
        *lock(&self.process) = Some(self.clone().serve(listener));
    }

    /// One fault begins, or ends. Two of a kind at once are not kept apart.
    pub fn ail(&self, what: &FaultKind, begins: bool) {
        let sound = UpstreamFaults::default();
        let mut brain = lock(&self.brain);
        let ills = &mut brain.nodo.active_faults;
        let pick = |with: f64, without: f64| if begins { with } else { without };
        match what {
            FaultKind::Slow(times) => ills.slowdown = pick(*times, sound.slowdown),
            FaultKind::Errors { share, class } => {
                ills.errors.clear();
                let only = class.as_ref().and_then(|name| self.scenario.class(name));
                ills.errors.extend(begins.then_some((*share, only)));
            }
            FaultKind::Lost(part) => ills.lost = pick(*part, sound.lost),
            FaultKind::Resets(part) => ills.resets = pick(*part, sound.resets),
            FaultKind::Silent => ills.unresponsive = begins,
            FaultKind::Full => ills.full = begins,
            _ => {} // refused before the run
        }
    }

    fn serve(self: Arc<Self>, listener: TcpListener) -> JoinSet<()> {
        serve_process(listener, move |request| self.clone().answer(request))
    }

    /// What the nodo makes of a request of a class.
    fn arrive(&self, class: usize) -> Arrival {
        let (now, mut brain) = (self.now(), lock(&self.brain));
        brain.attempts += 1;
        brain.seen.came += 1;
        if let Some(since) = brain.drained {
            self.judge.drained(&brain.nodo.name, since.elapsed());
        }
        let warm =
            f64::from(brain.nodo.workers()) * 1e9 / self.scenario.class[class].service.mean();
        if let Some(part) = brain.nodo.count_cold(now, warm) {
            if !std::mem::replace(&mut brain.nodo.overloaded, true) {
                self.judge.pushed_over(&brain.nodo.name, part);
            }
            return Arrival::Broken;
        }
        let resets = brain.nodo.active_faults.resets / 2.0;
        if chance(&mut brain.nodo.rng, resets) {
            return Arrival::Broken;
        }
        if brain.nodo.active_faults.unresponsive {
            return Arrival::Silent;
        }
        if brain.nodo.errs(class) {
            return Arrival::Error;
        }
        let number = brain.next;
        brain.next += 1;
        match brain.nodo.take(number) {
            Admission::Full => {
                brain.seen.turned_away += 1;
                Arrival::Full
            }
            Admission::Begun => Arrival::Taken(number, None),
            Admission::Queued => {
                let (sender, turn) = oneshot::channel();
                brain.waiting.insert(number, sender);
                Arrival::Taken(number, Some(turn))
            }
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Broken> {
        let came = Instant::now();
        let (head, body) = request.into_parts();
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let grpc = text("content-type").is_some_and(|kind| kind.starts_with("application/grpc"));
        let name = head.uri.path().rsplit('/').next().unwrap_or_default();
        let class = self
            .scenario
            .class(text("x-call-class").unwrap_or(name))
            .unwrap_or(0);
        let known = &self.scenario.class[class];
        body.collect().await.map_err(|_| Broken)?;
        let (number, turn) = match self.arrive(class) {
            Arrival::Broken => return Err(Broken),
            Arrival::Silent => return std::future::pending().await,
            Arrival::Error => return Ok(unwell(grpc, false)),
            Arrival::Full => return Ok(unwell(grpc, true)),
            Arrival::Taken(number, turn) => (number, turn),
        };
        self.goes_on().await;
        let process = lock(&self.brain).nodo.process;
        // From here on a place is held, and given on whatever happens to this request.
        let mut held = Held {
            nodo: &self,
            process,
            number,
            begun: turn.is_none(),
        };
        if let Some(turn) = turn {
            turn.await.map_err(|_| Broken)?;
            held.begun = true;
        }
        let took = {
            let (now, mut brain) = (self.now(), lock(&self.brain));
            brain.nodo.service(now, &known.service)
        };
        sleep(Duration::from_nanos(took)).await;
        self.goes_on().await;
        let spoilt = !self.call_next(class, &head.headers, came).await;
        self.goes_on().await;
        drop(held);
        if let Some(id) = text("x-call-id") {
            let mut brain = lock(&self.brain);
            brain.seen.ran += 1;
            let group = match known.group {
                CallGroup::All => 0,
                CallGroup::Zone => u32::from(brain.nodo.zone),
                CallGroup::Cell => u32::from(brain.nodo.cell),
            };
            drop(brain);
            let window = Duration::from_nanos(known.window.0);
            let key = text("idempotency-key").filter(|_| known.effect == CallEffect::Keyed);
            self.judge
                .ran(id, known.effect, key.map(|key| (key, group, window)));
        }
        let (lost, resets) = {
            let mut brain = lock(&self.brain);
            let (lost, resets) = (
                brain.nodo.active_faults.lost,
                brain.nodo.active_faults.resets / 2.0,
            );
            (
                chance(&mut brain.nodo.rng, lost),
                chance(&mut brain.nodo.rng, resets),
            )
        };
        match (lost, resets) {
            (true, _) => std::future::pending().await,
            (false, true) => Err(Broken),
            (false, false) if spoilt => Ok(unwell(grpc, false)),
            (false, false) => Ok(done(grpc)),
        }
    }

    /// Makes the calls to the next tier that a request needs, all at once, and tells whether all went well. What
    /// it calls for has as much time as its own caller left it.
    async fn call_next(&self, class: usize, headers: &HeaderMap, came: Instant) -> bool {
        let Some(Next { mean, doors }) = self.next.get() else {
            return true;
        };
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let known = &self.scenario.class[class];
        let budget = text("x-budget").and_then(|budget| budget.parse::<f64>().ok());
        let budget = budget
            .filter(|budget| budget.is_finite())
            .unwrap_or(known.deadline.seconds());
        let left =
            Duration::from_secs_f64(budget.clamp(0.0, 3600.0)).saturating_sub(came.elapsed());
        let (zone, count, draw) = {
            let mut brain = lock(&self.brain);
            let more = chance(&mut brain.nodo.rng, mean.fract());
            (
                brain.nodo.zone,
                mean.floor() as u32 + u32::from(more),
                brain.nodo.rng.random::<u64>(),
            )
        };
        if left.is_zero() {
            return count == 0;
        }
        let mut calls = JoinSet::new();
        for number in 0..count {
            let draw = draw.wrapping_add(u64::from(number) << 33);
            let Some(door) = choose(doors, self.scenario.zones.len(), zone, draw, Door::zone)
            else {
                return false;
            };
            let id = format!("{:x}-n", CALLS.fetch_add(1, Ordering::Relaxed));
            let method = if known.effect == CallEffect::Safe {
                Method::GET
            } else {
                Method::POST
            };
            let mut request = Request::builder()
                .method(method)
                .uri(format!("http://{}/{}", door.address, known.name))
                .header("x-call-id", id)
                .header("x-call-class", &known.name)
                .header("x-budget", format!("{:.6}", left.as_secs_f64()));
            if let Some(key) = text("idempotency-key").filter(|_| known.effect == CallEffect::Keyed)
            {
                // The same for the same work, whichever nodo of this tier asks for it.
                request =
                    request.header("idempotency-key", format!("{key}-{}-{number}", self.tier));
            }
            let Ok(request) = request.body(Full::new(Bytes::new())) else {
                return false;
            };
            let answer = outbound().request(request);
            calls.spawn(async move {
                let answer = timeout(left, answer).await.ok()?.ok()?;
                let status = answer.status();
                answer.into_body().collect().await.ok()?;
                (status == StatusCode::OK).then_some(())
            });
        }
        let mut well = true;
        while let Some(call) = calls.join_next().await {
            well &= matches!(call, Ok(Some(())));
        }
        well
    }
}

/// The connections of all nodos to the balancers beside them. There is one in a process.
fn outbound() -> &'static Client<HttpConnector, Full<Bytes>> {
    static CLIENT: OnceLock<Client<HttpConnector, Full<Bytes>>> = OnceLock::new();
    CLIENT.get_or_init(|| {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client::builder(TokioExecutor::new()).build(connector)
    })
}

/// What a nodo makes of a request.
enum Arrival {
    Broken,
    Silent,
    Error,
    Full,
    /// It has a worker, or waits for its turn.
    Taken(u64, Option<oneshot::Receiver<()>>),
}

/// A worker, or a place in the queue, until it is given on.
struct Held<'a> {
    nodo: &'a Socketed,
    process: u32,
    number: u64,
    begun: bool,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let mut brain = lock(&self.nodo.brain);
        if brain.nodo.process != self.process || !brain.nodo.alive {
            return; // its process has died, and this place with it
        }
        if !self.begun {
            // Its waiter is gone, which the nodo sees before it begins. It may have been its turn just now.
            if brain.waiting.remove(&self.number).is_some() {
                return;
            }
        }
        let Brain { nodo, waiting, .. } = &mut *brain;
        // A request whose caller has left is not begun.
        nodo.next(|next| {
            waiting
                .remove(&next)
                .is_some_and(|waiter| waiter.send(()).is_ok())
        });
    }
}

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// The connection is closed without an answer.
#[derive(Debug)]
struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken on purpose")
    }
}

impl std::error::Error for Broken {}

fn done(grpc: bool) -> Response<Body> {
    if !grpc {
        return Response::new(Full::new(Bytes::from_static(b"done")).boxed_unsync());
    }
    let status = (
        HeaderName::from_static("grpc-status"),
        HeaderValue::from_static("0"),
    );
    let trailers: HeaderMap = [status].into_iter().collect();
    let body = Full::new(message(b"done")).with_trailers(async move { Some(Ok(trailers)) });
    let mut response = Response::new(body.boxed_unsync());
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/grpc"));
    response
}

/// An error, or turned away unseen.
fn unwell(grpc: bool, full: bool) -> Response<Body> {
    let mut response = Response::new(Full::default().boxed_unsync());
    if grpc {
        let status = HeaderValue::from_static(if full { "14" } else { "2" });
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/grpc"));
        headers.insert("grpc-status", status);
    } else {
        *response.status_mut() = if full {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::INTERNAL_SERVER_ERROR
        };
    }
    if full {
        response
            .headers_mut()
            .insert("x-rejected", HeaderValue::from_static("1"));
    }
    response
}
