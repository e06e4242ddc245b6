//! The callers: at a set rate, whatever the answers take, or a crowd that waits for them. Latencies count from
//! when a call was due, not from when this program came to it, so that its own slowness is not left out.

use crate::judge::Judge;
use crate::lock;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};
use tower_service::Service;
use woadstall_emulator::engine::CallResult;
use woadstall_emulator::{
    Actor, CallEffect, CallOutcome, Load, Meter, RunResult, Scenario, by_share, chance, gap, stream,
};
use woadstall_emulator_cli::rows::Lag;
use woadstall_mock_servers::grpc::message;
use woadstall_tower::Balance;

/// A call that begins later than this is counted as late.
const LATE: Duration = Duration::from_millis(5);
/// A caller waits so much longer than its time before it is sure that no answer comes.
const PATIENCE: Duration = Duration::from_millis(250);

/// A balancer as its callers see it.
#[derive(Clone)]
pub struct Door {
    /// Where it is called.
    pub address: SocketAddr,
    /// Its zone.
    pub in_zone: u8,
    /// Whether it is there.
    pub open: Arc<AtomicBool>,
}

impl Door {
    /// One that is there.
    pub fn new(address: SocketAddr, in_zone: u8) -> Self {
        Self {
            address,
            in_zone,
            open: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Its zone, while it is there.
    pub fn zone(&self) -> Option<u8> {
        self.open.load(Ordering::Relaxed).then_some(self.in_zone)
    }
}

/// Whom callers ask.
#[derive(Clone)]
pub enum By {
    /// Daemons, over HTTP/1.1.
    Daemons(Vec<Door>),
    /// Plug-ins in this process, over gRPC; the zone of each.
    Plugins(Vec<(Balance, u8)>),
    /// Both, each call by the one or the other.
    Both(Box<By>, Box<By>),
}

/// What callers heard, by path and class.
pub type Tally = BTreeMap<(&'static str, String, &'static str), u64>;

/// All callers of a scenario.
pub struct Callers {
    scenario: Arc<Scenario>,
    judge: Arc<Judge>,
    by: By,
    client: Client<HttpConnector, Full<Bytes>>,
    start: Instant,
    seed: u64,
    /// What was counted.
    meter: Mutex<Meter>,
    numbers: AtomicU64,
    lag: Mutex<Lag>,
    tally: Mutex<Tally>,
    /// The classes of each group.
    mixes: Vec<Vec<(f64, usize)>>,
}

impl Callers {
    /// None has called yet.
    pub fn new(
        scenario: Arc<Scenario>,
        judge: Arc<Judge>,
        by: By,
        seed: u64,
        start: Instant,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        let meter = Mutex::new(Meter::new(&scenario));
        let (numbers, lag, tally) = (AtomicU64::new(0), Mutex::default(), Mutex::default());
        let mixes = scenario
            .callers
            .iter()
            .map(|callers| scenario.mix(callers))
            .collect();
        Self {
            scenario,
            judge,
            by,
            client,
            start,
            seed,
            meter,
            numbers,
            lag,
            tally,
            mixes,
        }
    }

    /// How late calls were begun.
    pub fn lag(&self) -> Lag {
        lock(&self.lag).clone()
    }

    /// What callers heard to each of their requests.
    pub fn tally(&self) -> Tally {
        lock(&self.tally).clone()
    }

    /// A step of the timeline ends: what the nodos of each tier can do, the attempts that each nodo got in it, and
    /// the most that one held.
    pub fn step(&self, speeds: &[f64], attempts: &[u32], most: u32) {
        let (now, mut meter) = (self.now(), lock(&self.meter));
        for (host, attempts) in attempts.iter().enumerate() {
            (0..*attempts).for_each(|_| meter.sent(0, false, host as u32));
        }
        meter.queued(most);
        meter.step(now, speeds, 0, 0);
    }

    /// The result, from all that was counted and judged; counts begin anew.
    pub fn end(&self) -> RunResult {
        let meter = std::mem::replace(&mut *lock(&self.meter), Meter::new(&self.scenario));
        meter.end(self.judge.findings(), 0, Vec::new())
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    fn instant(&self, at: u64) -> tokio::time::Instant {
        (self.start + Duration::from_nanos(at)).into()
    }

    /// Has all groups call until the scenario's time is over and the last have their answers.
    pub async fn run(self: Arc<Self>) {
        let mut groups = JoinSet::new();
        for group in 0..self.scenario.callers.len() {
            match self.scenario.callers[group].load {
                Load::Closed { callers, think } => {
                    for one in 0..callers {
                        groups.spawn(self.clone().one_of_crowd(group, one, think.0));
                    }
                }
                _ => drop(groups.spawn(self.clone().open_loop(group))),
            }
        }
        while groups.join_next().await.is_some() {}
    }

    async fn open_loop(self: Arc<Self>, group: usize) {
        // The same draws as in the lab, so that the same calls come at the same times.
        let mut arrivals = stream(self.seed, Actor::Arrivals, group as u32);
        let mut habits = stream(self.seed, Actor::Habits, group as u32);
        let load = &self.scenario.callers[group].load;
        let (most, mut at, mut calls) = (load.most(), 0_u64, JoinSet::new());
        if most <= 0.0 {
            return;
        }
        loop {
            at = at.saturating_add(gap(&mut arrivals, most));
            if at >= self.scenario.time.0 {
                break;
            }
            if !chance(&mut arrivals, load.rate(at) / most) {
                continue;
            }
            sleep_until(self.instant(at)).await;
            let seed = habits.random();
            calls.spawn(self.clone().call(group, at, seed));
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    async fn one_of_crowd(self: Arc<Self>, group: usize, one: u32, think: u64) {
        let mut habits = stream(self.seed, Actor::Habits, (group as u32) << 16 | one);
        sleep(Duration::from_nanos(
            (habits.random::<f64>() * think as f64) as u64,
        ))
        .await;
        while self.now() < self.scenario.time.0 {
            let seed = habits.random();
            self.clone().call(group, self.now(), seed).await;
            sleep(Duration::from_nanos(gap(
                &mut habits,
                1e9 / think.max(1) as f64,
            )))
            .await;
        }
    }

    /// One call, with all its tries.
    async fn call(self: Arc<Self>, group: usize, due: u64, seed: u64) {
        let began = self.now();
        {
            let late = Duration::from_nanos(began.saturating_sub(due));
            let mut lag = lock(&self.lag);
            lag.calls += 1;
            lag.late += u64::from(late > LATE);
            lag.worst_ms = lag.worst_ms.max(late.as_secs_f64() * 1e3);
        }
        let mut rng = stream(seed, Actor::Habits, 0);
        let callers = &self.scenario.callers[group];
        let class = by_share(&self.mixes[group], rng.random::<f64>()).unwrap_or(0);
        let known = &self.scenario.class[class];
        let (number, deadline) = (
            self.numbers.fetch_add(1, Ordering::Relaxed),
            due + known.deadline.0,
        );
        let measured = due >= self.scenario.warm_up.0;
        lock(&self.meter).offered(class, measured);
        let mut tries = 0;
        let outcome = loop {
            tries += 1;
            lock(&self.meter).request_sent();
            let left = Duration::from_nanos(deadline.saturating_sub(self.now()));
            let id = format!("{number:010x}-{tries}");
            let draw = rng.random::<u64>();
            let verdict = self.ask(group, class, number, &id, tries, left, draw).await;
            let ended = self.now();
            match verdict {
                Heard::Verdict(CallResult::Served(())) if ended <= due + known.latency_target.0 => {
                    break CallOutcome::OnTime;
                }
                Heard::Verdict(CallResult::Served(())) => {
                    let in_time = ended <= deadline + PATIENCE.as_nanos() as u64;
                    break if in_time {
                        CallOutcome::Late
                    } else {
                        CallOutcome::Failed
                    };
                }
                _ => {}
            }
            // What no balancer has taken is harmless to ask again, and so is what was refused.
            let harmless = matches!(
                verdict,
                Heard::Unseen | Heard::Verdict(CallResult::Rejected(_))
            );
            let may = harmless || known.effect != CallEffect::Unsafe;
            let wait = callers.again.wait(tries, || rng.random::<f64>());
            let heeds = chance(&mut rng, callers.honors_retry_after);
            let advice = match verdict {
                Heard::Verdict(CallResult::Rejected(after)) => after * u64::from(heeds),
                _ => 0,
            };
            match wait.filter(|_| may).map(|wait| wait.max(advice)) {
                Some(wait) if ended + wait < deadline => sleep(Duration::from_nanos(wait)).await,
                _ if matches!(verdict, Heard::Verdict(CallResult::Rejected(_))) => {
                    break CallOutcome::Refused;
                }
                _ => break CallOutcome::Failed,
            }
        };
        let now = self.now();
        lock(&self.meter).ended(class, outcome, now.saturating_sub(due), measured);
    }

    #[allow(clippy::too_many_arguments)] // all of them make one request
    async fn ask(
        &self,
        group: usize,
        class: usize,
        number: u64,
        id: &str,
        tries: u32,
        left: Duration,
        draw: u64,
    ) -> Heard {
        let (known, callers) = (&self.scenario.class[class], &self.scenario.callers[group]);
        let method = if known.effect == CallEffect::Safe {
            Method::GET
        } else {
            Method::POST
        };
        let mut request = Request::builder()
            .header("x-call-id", id)
            .header("x-call-class", &known.name);
        request = request.header("x-budget", format!("{:.6}", left.as_secs_f64()));
        if let Some(tenant) = &callers.tenant {
            request = request.header("x-caller", tenant);
        }
        if known.effect == CallEffect::Keyed {
            request = request.header("idempotency-key", format!("{number:032x}"));
        }
        if tries > 1 {
            request = request.header("x-again", "1");
        }
        let (sent, mut through) = (Instant::now(), None);
        let by = match &self.by {
            By::Both(one, other) => {
                if draw & 1 == 0 {
                    one
                } else {
                    other
                }
            }
            only => only,
        };
        let zone = self.zone_of(group, draw);
        let (path, answer) = match by {
            By::Daemons(daemons) => {
                let door = choose(
                    daemons,
                    self.scenario.zones.len(),
                    zone,
                    draw >> 1,
                    Door::zone,
                );
                let Some(door) = door else {
                    return Heard::Unseen;
                };
                through = Some(door.address);
                let request = request
                    .method(method)
                    .uri(format!("http://{}/{}", door.address, known.name));
                let Ok(request) = request.body(Full::new(Bytes::new())) else {
                    return Heard::Unseen;
                };
                (
                    "daemon",
                    timeout(left + PATIENCE, self.by_daemon(request)).await,
                )
            }
            By::Plugins(plugins) => {
                let zones = self.scenario.zones.len();
                let plugin = choose(plugins, zones, zone, draw >> 1, |(_, zone)| Some(*zone));
                let Some((balance, _)) = plugin else {
                    return Heard::Unseen;
                };
                let balance = balance.clone();
                let request = request
                    .method(Method::POST)
                    .uri(format!("/load.Nodo/{}", known.name));
                let request = request.header("content-type", "application/grpc");
                let Ok(request) = request.body(Full::new(message(b"work"))) else {
                    return Heard::Unseen;
                };
                let answer = timeout(left + PATIENCE, by_plugin(balance, request)).await;
                ("plug-in", answer.map(Heard::Verdict))
            }
            By::Both(..) => return Heard::Unseen, // both of both are not both
        };
        self.judge.late(id, sent, left, answer.is_ok(), through);
        let verdict = answer.unwrap_or(Heard::Verdict(CallResult::Failed));
        let heard = match verdict {
            Heard::Verdict(CallResult::Served(())) => "served",
            Heard::Verdict(CallResult::Rejected(_)) => "refused",
            Heard::Verdict(CallResult::Failed) => "failed",
            Heard::Unseen => "unreached",
        };
        *lock(&self.tally)
            .entry((path, known.name.clone(), heard))
            .or_default() += 1;
        if let Heard::Verdict(CallResult::Rejected(_)) = verdict {
            self.judge.refused(id, known.effect);
        }
        verdict
    }

    fn zone_of(&self, group: usize, draw: u64) -> u8 {
        let zone = self
            .scenario
            .zone(&self.scenario.callers[group].zone)
            .unwrap_or(None);
        zone.unwrap_or(((draw >> 32) as usize % self.scenario.zones.len()) as u8)
    }

    async fn by_daemon(&self, request: Request<Full<Bytes>>) -> Heard {
        let answer = match self.client.request(request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return Heard::Unseen,
            Err(_) => return Heard::Verdict(CallResult::Failed),
        };
        let status = answer.status();
        let after = answer
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
        if answer.into_body().collect().await.is_err() {
            return Heard::Verdict(CallResult::Failed);
        }
        Heard::Verdict(match status {
            StatusCode::OK => CallResult::Served(()),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                CallResult::Rejected((after.unwrap_or(0.0).clamp(0.0, 3600.0) * 1e9) as u64)
            }
            _ => CallResult::Failed,
        })
    }
}

/// What a caller hears of a request.
#[derive(Debug)]
enum Heard {
    Verdict(CallResult<()>),
    /// No balancer has had it.
    Unseen,
}

async fn by_plugin(mut balance: Balance, request: Request<Full<Bytes>>) -> CallResult<()> {
    let Ok(answer) = balance.call(request).await;
    let (head, body) = answer.into_parts();
    let Ok(body) = body.collect().await else {
        return CallResult::Failed;
    };
    let trailers = body.trailers().unwrap_or(&head.headers);
    let text = |name: &str| {
        trailers
            .get(name)
            .or(head.headers.get(name))
            .and_then(|value| value.to_str().ok())
    };
    match text("grpc-status") {
        Some("0") => CallResult::Served(()),
        Some("14") => {
            let pushback = text("grpc-retry-pushback-ms").and_then(|ms| ms.parse::<u64>().ok());
            CallResult::Rejected(pushback.unwrap_or(0).min(3_600_000) * 1_000_000)
        }
        _ => CallResult::Failed,
    }
}

/// One of a zone, or of the next where the zone has none. Its last bit apart, `draw` says which.
pub fn choose<T>(
    all: &[T],
    zones: usize,
    zone: u8,
    draw: u64,
    zone_of: impl Fn(&T) -> Option<u8>,
) -> Option<&T> {
    (0..zones).find_map(|step| {
        let zone = (usize::from(zone) + step) % zones;
        let there: Vec<&T> = all
            .iter()
            .filter(|one| zone_of(one).map(usize::from) == Some(zone))
            .collect();
        there
            .get(draw as u32 as usize % there.len().max(1))
            .copied()
    })
}
