//! Stand-in nodos on sockets. What a nodo does with a request is the emulator's own nodo, so both have the same
//! faults; here are only its sockets, its sleeps and the script of faults.

use crate::judge::Judge;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};
use woadstall_emulator::{
    Actor, CallEffect, CallGroup, Fault, Ills, Nodo, Scenario, Taken, What, chance, sample, stream,
};
use woadstall_standin::grpc::message;
use woadstall_standin::http1::Discovery;
use woadstall_standin::nodo::serve_process;

/// How long a nodo that fell over takes to come back.
const TOPPLED: Duration = Duration::from_secs(5);

/// All nodos of a scenario, and the list of them.
pub struct Fleet {
    scenario: Arc<Scenario>,
    nodos: Vec<Arc<Socketed>>,
    discovery: Mutex<Discovery>,
    /// Where the list is told.
    pub discovery_at: SocketAddr,
    start: Instant,
    seed: u64,
}

struct Socketed {
    address: SocketAddr,
    scenario: Arc<Scenario>,
    judge: Arc<Judge>,
    start: Instant,
    brain: Mutex<Brain>,
    process: Mutex<Option<JoinSet<()>>>,
}

struct Brain {
    nodo: Nodo,
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Fleet {
    /// Starts all nodos of a scenario's first tier.
    pub async fn start(
        scenario: Arc<Scenario>,
        judge: Arc<Judge>,
        seed: u64,
        start: Instant,
    ) -> std::io::Result<Self> {
        let tier = &scenario.tier[0];
        let mut nodos = Vec::new();
        for number in 0..tier.nodos {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let zone = (number as usize % scenario.zones.len()) as u8;
            let place = (zone, (number % u32::from(tier.cells)) as u16, number);
            let rng = stream(seed, Actor::Nodo, number);
            let name = format!("{}-{number}", tier.name);
            let seen = Seen { name: name.clone(), ..Seen::default() };
            let nodo = Nodo::new(name, 0, tier, place, rng);
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
            let socketed = Arc::new(Socketed {
                address: listener.local_addr()?,
                scenario: scenario.clone(),
                judge: judge.clone(),
                start,
                brain: Mutex::new(brain),
                process: Mutex::default(),
            });
            *lock(&socketed.process) = Some(socketed.clone().serve(listener));
            nodos.push(socketed);
        }
        let discovery = Discovery::start();
        let (discovery_at, discovery) = (discovery.address, Mutex::new(discovery));
        let fleet = Self { scenario, nodos, discovery, discovery_at, start, seed };
        fleet.tell();
        Ok(fleet)
    }

    /// The list, as discovery tells it.
    pub fn targets(&self) -> Vec<String> {
        let zones = &self.scenario.zones;
        let entry = |nodo: &Arc<Socketed>| {
            let brain = lock(&nodo.brain);
            serde_json::json!({"uid": brain.nodo.name, "endpoint": nodo.address.to_string(),
                "az": zones[usize::from(brain.nodo.zone)], "model": "m", "pod_group": brain.nodo.cell,
                "state": brain.listed, "capacity_hint": 1.0, "boot_ms": brain.boot_ms})
            .to_string()
        };
        self.nodos.iter().map(entry).collect()
    }

    fn tell(&self) {
        lock(&self.discovery).set(&self.targets());
    }

    fn list(&self, at: u32, state: &'static str) {
        let mut brain = lock(&self.nodos[at as usize].brain);
        brain.listed = state;
        brain.drained = (state == "terminating").then(|| brain.drained.unwrap_or_else(Instant::now));
        drop(brain);
        self.tell();
    }

    /// What all nodos can do at present, in workers of sound warm ones, and the attempts that each got since the
    /// last look.
    pub fn look(&self) -> (f64, Vec<u32>) {
        let now = self.start.elapsed().as_nanos() as u64;
        let mut speed = 0.0;
        let attempts = self.nodos.iter().map(|nodo| {
            let mut brain = lock(&nodo.brain);
            speed += if brain.drained.is_some() { 0.0 } else { brain.nodo.speed(now) };
            std::mem::take(&mut brain.attempts)
        });
        let attempts = attempts.collect();
        (speed, attempts)
    }

    /// What each nodo has seen so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.nodos.iter().map(|nodo| lock(&nodo.brain).seen.clone()).collect()
    }

    /// Most requests that a nodo holds now.
    pub fn most_held(&self) -> u32 {
        self.nodos.iter().map(|nodo| lock(&nodo.brain).nodo.held()).max().unwrap_or(0)
    }

    /// Plays the faults of the scenario, each in its time; never ends by itself before they are over.
    pub async fn play(self: Arc<Self>) {
        let mut faults = JoinSet::new();
        for at in 0..self.scenario.fault.len() {
            faults.spawn(self.clone().fault(at));
        }
        // Those that fell over come back.
        let fleet = self.clone();
        faults.spawn(async move {
            loop {
                sleep(Duration::from_millis(100)).await;
                for (at, nodo) in fleet.nodos.iter().enumerate() {
                    let fell = std::mem::take(&mut lock(&nodo.brain).nodo.toppled);
                    if fell {
                        nodo.kill();
                        let fleet = fleet.clone();
                        tokio::spawn(async move {
                            sleep(TOPPLED).await;
                            fleet.boot(at as u32).await;
                        });
                    }
                }
            }
        });
        while faults.join_next().await.is_some() {}
    }

    async fn wait(&self, at: u64) {
        sleep_until((self.start + Duration::from_nanos(at)).into()).await;
    }

    /// One without an end goes on after the last call: what is still open must not be served.
    async fn end_of(&self, fault: &Fault) {
        match fault.until {
            Some(until) => self.wait(until.0).await,
            None => std::future::pending().await,
        }
    }

    async fn fault(self: Arc<Self>, at: usize) {
        let fault = &self.scenario.fault[at];
        let zone = self.scenario.zone(&fault.zone).unwrap_or(None);
        let there = |nodo: &Socketed| zone.is_none_or(|zone| lock(&nodo.brain).nodo.zone == zone);
        let nodos: Vec<u32> =
            (0..self.nodos.len() as u32).filter(|&nodo| there(&self.nodos[nodo as usize])).collect();
        let hit = sample(&mut stream(self.seed, Actor::Fault, at as u32), &nodos, fault.part);
        let until = fault.until.unwrap_or(self.scenario.time).0;
        // What is wrong from the start is so before the first call.
        if fault.at.0 > 0 {
            self.wait(fault.at.0).await;
        }
        match &fault.what {
            What::Kill { .. } => {
                hit.iter().for_each(|&nodo| self.nodos[nodo as usize].kill());
                let notices = self.scenario.padron.notices.0;
                self.wait(fault.at.0 + notices.min(until - fault.at.0)).await;
                hit.iter().for_each(|&nodo| self.list(nodo, "gone"));
                self.end_of(fault).await;
                for &nodo in &hit {
                    self.boot(nodo).await;
                }
            }
            What::Roll => {
                let half = (until - fault.at.0) / 2;
                let longest = self.scenario.class.iter().map(|class| class.deadline.0).max().unwrap_or(0);
                let mut each = JoinSet::new();
                for (turn, &nodo) in hit.iter().enumerate() {
                    let (fleet, begins) = (self.clone(), fault.at.0 + half * turn as u64 / hit.len() as u64);
                    each.spawn(async move {
                        fleet.wait(begins).await;
                        fleet.list(nodo, "terminating");
                        sleep(Duration::from_nanos(longest) + Duration::from_millis(1_250)).await;
                        fleet.nodos[nodo as usize].kill();
                        sleep(Duration::from_secs(1)).await;
                        fleet.boot(nodo).await;
                    });
                }
                while each.join_next().await.is_some() {}
            }
            _ => {
                hit.iter().for_each(|&nodo| self.nodos[nodo as usize].ail(fault, true));
                self.end_of(fault).await;
                hit.iter().for_each(|&nodo| self.nodos[nodo as usize].ail(fault, false));
            }
        }
    }

    async fn boot(&self, at: u32) {
        let nodo = &self.nodos[at as usize];
        nodo.clone().boot().await;
        self.list(at, "in_service");
    }
}

impl Socketed {
    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// Its process dies: connections are reset, new ones refused, work is lost.
    fn kill(&self) {
        lock(&self.process).take();
        let mut brain = lock(&self.brain);
        brain.nodo.die();
        brain.waiting.clear();
    }

    /// A new process at its address, cold.
    async fn boot(self: Arc<Self>) {
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
    fn ail(&self, fault: &Fault, begins: bool) {
        let sound = Ills::default();
        let mut brain = lock(&self.brain);
        let ills = &mut brain.nodo.ills;
        let pick = |with: f64, without: f64| if begins { with } else { without };
        match &fault.what {
            What::Slow(times) => ills.slow = pick(*times, sound.slow),
            What::Errors { share, class } => {
                ills.errors.clear();
                let only = class.as_ref().and_then(|name| self.scenario.class(name));
                ills.errors.extend(begins.then_some((*share, only)));
            }
            What::Lost(part) => ills.lost = pick(*part, sound.lost),
            What::Resets(part) => ills.resets = pick(*part, sound.resets),
            What::Silent => ills.silent = begins,
            What::Full => ills.full = begins,
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
        let warm = f64::from(brain.nodo.workers()) * 1e9 / self.scenario.class[class].service.mean();
        if let Some(part) = brain.nodo.count_cold(now, warm) {
            if !std::mem::replace(&mut brain.nodo.toppled, true) {
                self.judge.pushed_over(&brain.nodo.name, part);
            }
            return Arrival::Broken;
        }
        let resets = brain.nodo.ills.resets / 2.0;
        if chance(&mut brain.nodo.rng, resets) {
            return Arrival::Broken;
        }
        if brain.nodo.ills.silent {
            return Arrival::Silent;
        }
        if brain.nodo.errs(class) {
            return Arrival::Error;
        }
        let number = brain.next;
        brain.next += 1;
        match brain.nodo.take(number) {
            Taken::Full => {
                brain.seen.turned_away += 1;
                Arrival::Full
            }
            Taken::Begun => Arrival::Taken(number, None),
            Taken::Queued => {
                let (sender, turn) = oneshot::channel();
                brain.waiting.insert(number, sender);
                Arrival::Taken(number, Some(turn))
            }
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Broken> {
        let (head, body) = request.into_parts();
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let grpc = text("content-type").is_some_and(|kind| kind.starts_with("application/grpc"));
        let name = head.uri.path().rsplit('/').next().unwrap_or_default();
        let class = self.scenario.class(text("x-call-class").unwrap_or(name)).unwrap_or(0);
        let known = &self.scenario.class[class];
        body.collect().await.map_err(|_| Broken)?;
        let (number, turn) = match self.arrive(class) {
            Arrival::Broken => return Err(Broken),
            Arrival::Silent => return std::future::pending().await,
            Arrival::Error => return Ok(unwell(grpc, false)),
            Arrival::Full => return Ok(unwell(grpc, true)),
            Arrival::Taken(number, turn) => (number, turn),
        };
        let process = lock(&self.brain).nodo.process;
        // From here on a place is held, and given on whatever happens to this request.
        let mut held = Held { nodo: &self, process, number, begun: turn.is_none() };
        if let Some(turn) = turn {
            turn.await.map_err(|_| Broken)?;
            held.begun = true;
        }
        let took = {
            let (now, mut brain) = (self.now(), lock(&self.brain));
            brain.nodo.service(now, &known.service)
        };
        sleep(Duration::from_nanos(took)).await;
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
            self.judge.ran(id, known.effect, key.map(|key| (key, group, window)));
        }
        let (lost, resets) = {
            let mut brain = lock(&self.brain);
            let (lost, resets) = (brain.nodo.ills.lost, brain.nodo.ills.resets / 2.0);
            (chance(&mut brain.nodo.rng, lost), chance(&mut brain.nodo.rng, resets))
        };
        match (lost, resets) {
            (true, _) => std::future::pending().await,
            (false, true) => Err(Broken),
            (false, false) => Ok(done(grpc)),
        }
    }
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
        nodo.next(|next| waiting.remove(&next).is_some_and(|waiter| waiter.send(()).is_ok()));
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
    let status = (HeaderName::from_static("grpc-status"), HeaderValue::from_static("0"));
    let trailers: HeaderMap = [status].into_iter().collect();
    let body = Full::new(message(b"done")).with_trailers(async move { Some(Ok(trailers)) });
    let mut response = Response::new(body.boxed_unsync());
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/grpc"));
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
        *response.status_mut() =
            if full { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::INTERNAL_SERVER_ERROR };
    }
    if full {
        response.headers_mut().insert("x-rejected", HeaderValue::from_static("1"));
    }
    response
}
