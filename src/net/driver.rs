//! Owns the decision module: tells it what happened and does what it says. Nothing is decided here.

use super::config::Config;
use super::discovery::{Listing, State, Target};
use super::upstream::{Finished, Idle, exchange};
use bytes::Bytes;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, Uri, Version};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use woadstall::Balancer;
use woadstall::api::{
    Action, Demand, End, Event, Lifecycle, ListEntry, LoadReport, Outcome, RequestId, ServerId, Time, ZoneId,
};

/// The safety net answers this much after a request's time, when the module should long have done so.
const NET_AFTER: Time = 25_000_000;
/// How often idle connections are looked through.
const SWEEP_EVERY: Time = 500_000_000;
/// How long a probe may take.
const PROBE_PATIENCE: Duration = Duration::from_millis(250);
/// Inputs taken in a row before timers get their turn.
const BURST: usize = 32;

/// What the other tasks tell the driver.
pub enum Input {
    /// A caller's request, read to its last byte.
    Called(Box<Call>),
    /// The caller of a request has closed its connection.
    CallerGone(RequestId),
    /// An attempt ended.
    Ended(RequestId, u32, Finished),
    /// A probe of an upstream ended.
    Probed(ServerId, Finished),
    /// There are no descriptors left to take callers with.
    DescriptorsShort,
    /// Discovery has answered.
    Listed(Listing),
    /// A watch on discovery failed.
    ListFailed,
}

/// A caller's request.
pub struct Call {
    pub id: RequestId,
    pub request: Request<Bytes>,
    pub class: usize,
    pub tenant: usize,
    /// Its work, in nanoseconds, where the caller has a guess.
    pub work: Option<u64>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    pub answer: oneshot::Sender<Answer>,
}

/// The final answer to a request.
pub enum Answer {
    /// An upstream's answer.
    Served(Response<Bytes>),
    /// Refused, with advice on how long to stay away; zero for none.
    Refused(Duration),
    /// Failed, with no promise on its effect.
    Failed,
}

/// A request that is not answered yet, or has attempts out.
struct Open {
    request: Request<Bytes>,
    deadline: Time,
    /// Where the answer goes; `None` once it is given or not owed any more.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: u32,
    out: Vec<Out>,
}

/// An attempt that has not ended.
struct Out {
    number: u32,
    server: ServerId,
    /// The process that it was sent to.
    upstream: Upstream,
    sent: Time,
    /// Dropping it withdraws the attempt.
    cancel: Option<oneshot::Sender<()>>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(u64),
    Sweep,
}

/// An event that waits for the module to be done with the one before.
type Pending = (RequestId, End);

/// The task that owns the decision module.
pub struct Driver {
    config: Arc<Config>,
    balancer: Balancer,
    clock: Clock,
    inputs: UnboundedSender<Input>,
    subscribe: UnboundedSender<()>,
    ready: watch::Sender<bool>,
    requests: HashMap<RequestId, Open>,
    /// The upstreams that are listed, and the number of the next new one: none is given out twice.
    ids: HashMap<String, ServerId>,
    next_server: u32,
    servers: HashMap<ServerId, Upstream>,
    idle: Idle,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    /// When the safety net is due for each request that is owed an answer.
    nets: BTreeSet<(Time, RequestId)>,
    actions: Vec<Action>,
    pending: VecDeque<Pending>,
}

/// Where an upstream listens, since when it runs, and whether it takes work.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Upstream {
    address: Option<SocketAddr>,
    boot_ms: u64,
    in_service: bool,
}

/// The module's clock: Unix time, that an upstream's start can be told in, but never set back.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    start_unix: Time,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_unix: unix.as_nanos() as Time }
    }

    fn now(&self) -> Time {
        self.time(Instant::now())
    }

    fn time(&self, at: Instant) -> Time {
        self.start_unix + at.saturating_duration_since(self.start).as_nanos() as Time
    }

    fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_nanos(time.saturating_sub(self.start_unix))
    }
}

impl Driver {
    /// A driver that knows the configured list. `ready` turns true once there is an upstream to send to.
    pub fn new(
        config: Arc<Config>,
        inputs: UnboundedSender<Input>,
        subscribe: UnboundedSender<()>,
        ready: watch::Sender<bool>,
    ) -> Result<Self, String> {
        let clock = Clock::new();
        let balancer = Balancer::new(config.settings.clone(), config.seed, clock.now())
            .map_err(|error| format!("settings: {error}"))?;
        let idle = Idle::new(Duration::from_nanos(config.settings.conn_idle), config.limits.upstreams);
        let mut driver = Self {
            balancer,
            clock,
            inputs,
            subscribe,
            ready,
            requests: HashMap::new(),
            ids: HashMap::new(),
            next_server: 0,
            servers: HashMap::new(),
            idle,
            timers: BinaryHeap::new(),
            nets: BTreeSet::new(),
            actions: Vec::new(),
            pending: VecDeque::new(),
            config,
        };
        let known = Listing { all: true, ..driver.config.known.clone() };
        driver.on_listed(known);
        driver.set_timer(SWEEP_EVERY, Timer::Sweep);
        Ok(driver)
    }

    /// Serves until nobody can tell it anything any more.
    pub async fn run(mut self, mut inbox: UnboundedReceiver<Input>) {
        let mut inputs = Vec::new();
        loop {
            let timer = self.timers.peek().map(|Reverse((at, _))| *at);
            let net = self.nets.first().map(|(at, _)| *at);
            let next = timer.into_iter().chain(net).min().unwrap_or_else(|| self.clock.now());
            tokio::select! {
                biased;
                () = sleep_until(self.clock.instant(next)) => {}
                got = inbox.recv_many(&mut inputs, BURST) => if got == 0 { return },
            }
            for input in inputs.drain(..) {
                self.on_input(input);
            }
            self.ring();
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Called(call) => self.on_called(*call),
            Input::CallerGone(id) => self.on_caller_gone(id),
            Input::Ended(id, number, finished) => self.on_ended(id, number, finished),
            Input::Probed(server, finished) => self.on_probed(server, finished),
            Input::DescriptorsShort => self.idle.close_all(),
            Input::Listed(listing) => self.on_listed(listing),
            Input::ListFailed => self.tell(Event::ListFailed),
        }
    }

    // ---- Timers ----

    fn set_timer(&mut self, after: Time, timer: Timer) {
        self.timers.push(Reverse((self.clock.now().saturating_add(after), timer)));
    }

    fn ring(&mut self) {
        let now = self.clock.now();
        while let Some(&Reverse((_, timer))) = self.timers.peek().filter(|Reverse((at, _))| *at <= now) {
            self.timers.pop();
            match timer {
                Timer::Module(token) => self.tell(Event::Timer(token)),
                Timer::Sweep => {
                    self.idle.sweep();
                    self.set_timer(SWEEP_EVERY, Timer::Sweep);
                }
            }
        }
        while let Some(&(_, id)) = self.nets.first().filter(|(at, _)| *at <= now) {
            self.on_net(id);
        }
    }

    /// Guards the callers: what the module has left open past its time is answered all the same.
    fn on_net(&mut self, id: RequestId) {
        super::log(format_args!("request {} was left open past its time", id.0));
        self.answer(id, Answer::Failed);
        self.tell(Event::ClientGone(id));
    }

    // ---- Discovery ----

    fn on_listed(&mut self, listing: Listing) {
        let entries: Vec<ListEntry> = listing.targets.iter().map(|target| self.entry(target)).collect();
        if listing.all {
            self.tell(Event::List(&entries));
        } else if !entries.is_empty() {
            self.tell(Event::ListChange(&entries));
        }
        self.forget_gone(&listing);
        if entries.iter().any(|entry| entry.lifecycle == Lifecycle::Ready) {
            self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
    }

    /// Forgets the upstreams that are gone, by name or by not being on a whole list, and closes their idle
    /// connections. Guards the memory where upstreams are ever new.
    fn forget_gone(&mut self, listing: &Listing) {
        let names = |gone: bool| {
            let targets = listing.targets.iter().filter(move |t| (t.state == State::Terminated) == gone);
            targets.map(|target| target.uid.as_str()).collect::<HashSet<_>>()
        };
        let (named, gone) = (names(false), names(true));
        let (servers, idle) = (&mut self.servers, &mut self.idle);
        self.ids.retain(|uid, server| {
            let stays = !gone.contains(uid.as_str()) && (!listing.all || named.contains(uid.as_str()));
            if !stays {
                servers.remove(server);
                idle.close(*server);
            }
            stays
        });
    }

    fn entry(&mut self, target: &Target) -> ListEntry {
        let server = *self.ids.entry(target.uid.clone()).or_insert_with(|| {
            self.next_server += 1;
            ServerId(self.next_server)
        });
        let address: Option<SocketAddr> = target.endpoint.parse().ok();
        if address.is_none() {
            super::log(format_args!("upstream {}: no address in {:?}", target.uid, target.endpoint));
        }
        let in_service = target.state == State::InService;
        let upstream = Upstream { address, boot_ms: target.boot_ms, in_service };
        // Connections to a former process, or to one that takes nothing new, are of no use.
        if !in_service || self.servers.get(&server) != Some(&upstream) {
            self.idle.close(server);
        }
        self.servers.insert(server, upstream);
        let zone = self.config.names.zones.iter().position(|zone| *zone == target.az);
        ListEntry {
            server,
            zone: ZoneId(zone.and_then(|zone| u8::try_from(zone).ok()).unwrap_or(u8::MAX)),
            cell: target.pod_group,
            lifecycle: match target.state {
                State::InService => Lifecycle::Ready,
                State::Terminating => Lifecycle::Draining,
                State::Terminated => Lifecycle::Gone,
            },
            size: target.capacity_hint,
            started: (target.boot_ms > 0).then(|| target.boot_ms.saturating_mul(1_000_000)),
        }
    }

    // ---- Requests ----

    fn on_called(&mut self, call: Call) {
        let (id, deadline) = (call.id, self.clock.time(call.deadline));
        let time_left = deadline.saturating_sub(self.clock.now());
        let demand = Demand { class: call.class, tenant: call.tenant, time_left, work: call.work };
        self.requests.insert(
            id,
            Open { request: call.request, deadline, answer: Some(call.answer), attempts: 0, out: Vec::new() },
        );
        self.nets.insert((deadline.saturating_add(NET_AFTER), id));
        self.tell(Event::Request(id, demand));
    }

    fn on_caller_gone(&mut self, id: RequestId) {
        if let Some(open) = self.requests.get_mut(&id).filter(|open| open.answer.is_some()) {
            open.answer = None;
            self.nets.remove(&(open.deadline.saturating_add(NET_AFTER), id));
            self.tell(Event::ClientGone(id));
            self.forget_if_done(id);
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(open) = self.requests.get_mut(&id)
            && let Some(sender) = open.answer.take()
        {
            self.nets.remove(&(open.deadline.saturating_add(NET_AFTER), id));
            sender.send(answer).ok(); // a caller that has just gone needs none
        }
        self.forget_if_done(id);
    }

    fn forget_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.answer.is_none() && open.out.is_empty()) {
            self.requests.remove(&id);
        }
    }

    // ---- Attempts ----

    fn send(&mut self, id: RequestId, server: ServerId, until: Time) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (number, until) = (open.attempts, until.min(open.deadline));
        open.attempts += 1;
        let upstream = self.servers.get(&server).copied();
        let possible = open.answer.is_some() && now < until && number < self.config.settings.max_attempts;
        let target = upstream.filter(|_| possible).and_then(|upstream| Some((upstream, upstream.address?)));
        let Some((upstream, address)) = target else { return self.not_sent(id, number) };
        let idle = self.idle.take(server);
        if idle.is_none() && !self.idle.make_room() {
            return self.not_sent(id, number);
        }
        let request = forwarded(&open.request, address, open.deadline - now);
        let (cancel, cancelled) = oneshot::channel::<()>();
        open.out.push(Out { number, server, upstream, sent: now, cancel: Some(cancel) });
        let (inputs, until) = (self.inputs.clone(), self.clock.instant(until));
        let exchange = exchange(request, idle, address, self.config.names.connect_timeout, self.idle.open());
        tokio::spawn(async move {
            let finished = tokio::select! {
                biased;
                finished = timeout_at(until, exchange) => finished.unwrap_or(Outcome::Timeout.into()),
                _ = cancelled => Outcome::Cancelled.into(),
            };
            inputs.send(Input::Ended(id, number, finished)).ok();
        });
    }

    /// The module hears of it once it is done with what it is at.
    fn not_sent(&mut self, id: RequestId, attempt: u32) {
        let closed = self.requests.get(&id).is_none_or(|open| open.answer.is_none());
        let end = End { attempt, outcome: Outcome::Moot, elapsed: 0, closed, load: None };
        self.pending.push_back((id, end));
    }

    fn on_ended(&mut self, id: RequestId, attempt: u32, finished: Finished) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(at) = open.out.iter().position(|out| out.number == attempt) else { return };
        let out = open.out.swap_remove(at);
        // One to a process that has drained, gone or been replaced since is of no use.
        let current = out.upstream.in_service && self.servers.get(&out.server) == Some(&out.upstream);
        if let Some(connection) = finished.connection.filter(|_| current) {
            self.idle.put(out.server, connection);
        }
        let fields = &self.config.names.report_fields;
        let report = finished.response.as_ref().and_then(|response| response.headers().get("x-load-report"));
        let load = report.and_then(|report| load_report(report.as_bytes(), fields));
        let closing = matches!(finished.outcome, Outcome::Ok | Outcome::Declined);
        let closed = open.answer.is_none() || closing;
        let elapsed = self.clock.now().saturating_sub(out.sent);
        let end = End { attempt, outcome: finished.outcome, elapsed, closed, load };
        if let Some(response) = finished.response.filter(|_| closing) {
            self.answer(id, Answer::Served(response));
        }
        self.tell(Event::Ended(id, end));
        self.forget_if_done(id);
    }

    // ---- Probes, where the settings allow them ----

    fn probe(&mut self, server: ServerId) {
        let Some(address) = self.servers.get(&server).and_then(|upstream| upstream.address) else { return };
        let idle = self.idle.take(server);
        if idle.is_none() && !self.idle.make_room() {
            return; // the module does not wait for a probe's end
        }
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = Uri::from_static("/load");
        let request = forwarded(&request, address, PROBE_PATIENCE.as_nanos() as Time);
        let connect_timeout = self.config.names.connect_timeout;
        let (inputs, exchange) =
            (self.inputs.clone(), exchange(request, idle, address, connect_timeout, self.idle.open()));
        tokio::spawn(async move {
            let finished = timeout(PROBE_PATIENCE, exchange).await.unwrap_or(Outcome::Timeout.into());
            inputs.send(Input::Probed(server, finished)).ok();
        });
    }

    fn on_probed(&mut self, server: ServerId, finished: Finished) {
        if let Some(connection) = finished.connection.filter(|_| self.servers.contains_key(&server)) {
            self.idle.put(server, connection);
        }
        let load = finished
            .response
            .and_then(|response| load_report(response.body(), &self.config.names.report_fields));
        self.tell(Event::Probed(server, finished.outcome, load));
    }

    // ---- The module ----

    /// Tells the module of an event, does what it says, and tells it of what came of that at once.
    fn tell(&mut self, event: Event<'_>) {
        self.handle(event);
        while let Some((id, end)) = self.pending.pop_front() {
            self.handle(Event::Ended(id, end));
        }
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.clock.now(), event, &mut actions);
        actions.drain(..).for_each(|action| self.act(action));
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, server, until } => self.send(id, server, until),
            Action::Refuse { id, retry_after } => {
                self.answer(id, Answer::Refused(Duration::from_nanos(retry_after)));
            }
            Action::Fail(id) => self.answer(id, Answer::Failed),
            Action::Cancel { id, attempt } => {
                let out = self.requests.get_mut(&id).map(|open| &mut open.out);
                let out = out.and_then(|out| out.iter_mut().find(|out| out.number == attempt));
                if let Some(out) = out {
                    out.cancel = None;
                }
            }
            Action::Probe(server) => self.probe(server),
            Action::Close(server) => self.idle.close(server),
            Action::SetTimer { after, token } => self.set_timer(after, Timer::Module(token)),
            Action::Watch => {
                self.subscribe.send(()).ok(); // discovery ends only with the program
            }
            Action::Log(text) => super::log(format_args!("{text}")),
        }
    }
}

/// The request as an upstream gets it: as it came, but for the budget, and in the form for an origin.
fn forwarded(request: &Request<Bytes>, address: SocketAddr, left: Time) -> Request<Bytes> {
    let mut request = request.clone();
    *request.version_mut() = Version::HTTP_11;
    if let Some(path) = request.uri().path_and_query().filter(|_| request.uri().authority().is_some()) {
        *request.uri_mut() = path.clone().into();
    }
    let headers = request.headers_mut();
    let budget = format!("{:.6}", left as f64 / 1e9);
    headers.insert("x-budget", HeaderValue::from_str(&budget).unwrap_or(HeaderValue::from_static("0")));
    if !headers.contains_key(HOST) {
        let host = HeaderValue::from_str(&address.to_string());
        headers.insert(HOST, host.unwrap_or(HeaderValue::from_static("upstream")));
    }
    request
}

/// The load figures in a report, in the order of the settings.
fn load_report(text: &[u8], fields: &[String]) -> Option<LoadReport> {
    let values: HashMap<String, f32> = serde_json::from_slice(text).ok()?;
    let mut report = LoadReport::default();
    for (figure, field) in report.figures.iter_mut().zip(fields) {
        *figure = *values.get(field)?;
        report.len += 1;
    }
    (report.len > 0).then_some(report)
}
