//! An upstream with limited capacity: slots, a queue, a slow start, and an overload limit. It serves HTTP/1.1, HTTP/2
//! and gRPC on one port, and can be killed and restarted at the same address.

use crate::grpc::message;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The capacity of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSpec {
    /// Number of requests that are executed concurrently.
    pub slots: usize,
    /// Execution time of a request at full capacity.
    pub service_time: Duration,
    /// Number of requests that may wait for a slot. Further requests are rejected.
    pub queue_length: usize,
    /// Fraction of the full capacity at the start of a process.
    pub start_fraction: f64,
    /// Time over which the capacity grows linearly from `start_fraction` to the full capacity.
    pub slow_start: Duration,
    /// Overload limit during the slow start, as a multiple of the present capacity. An upstream that receives more
    /// requests than this within `window` becomes overloaded and rejects all further requests.
    pub overload_factor: f64,
    /// Time over which the received requests are counted for `overload_factor`.
    pub window: Duration,
}

impl UpstreamSpec {
    /// The full capacity in requests per second.
    pub fn capacity(&self) -> f64 {
        self.slots as f64 / self.service_time.as_secs_f64()
    }
}

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Counters of an upstream over all its processes.
#[derive(Clone, Debug, Default)]
pub struct UpstreamCounters {
    /// Requests received.
    pub received: u64,
    /// Requests executed.
    pub executed: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Number of executions by call id (header `x-call-id`).
    pub executions_by_call_id: HashMap<String, u32>,
    /// The highest load within a window during a slow start, as a fraction of the overload limit.
    pub peak_load: f64,
    /// Whether the upstream has become overloaded.
    pub overloaded: bool,
}

/// An upstream with limited capacity.
pub struct SimulatedUpstream {
    /// Name of the upstream, which is its uid in discovery and the body of its responses.
    pub name: String,
    /// Listen address, which stays the same after a restart.
    pub address: SocketAddr,
    inner: Arc<Inner>,
    process: Mutex<Option<JoinSet<()>>>,
}

struct Inner {
    name: String,
    spec: UpstreamSpec,
    slots: Semaphore,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    counters: UpstreamCounters,
    /// Start of the present process; `None` for the first process, which starts at full capacity.
    started: Option<Instant>,
    /// Start of the present process in Unix milliseconds; 0 for the first process.
    boot_ms: u64,
    /// Number of requests that wait for a slot or are being executed.
    in_flight: usize,
    /// Arrival times of the requests within the last window, during a slow start.
    recent_arrivals: VecDeque<Instant>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SimulatedUpstream {
    /// Starts an upstream at full capacity.
    pub async fn start(name: impl Into<String>, spec: UpstreamSpec) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let name = name.into();
        let slots = Semaphore::new(spec.slots);
        let inner = Arc::new(Inner {
            name: name.clone(),
            spec,
            slots,
            state: Mutex::default(),
        });
        let process = Mutex::new(Some(serve(listener, inner.clone())));
        Self {
            name,
            address,
            inner,
            process,
        }
    }

    /// Ends the process: its connections are closed, new connections are refused, and requests in flight are lost.
    pub fn kill(&self) {
        lock(&self.process).take();
    }

    /// Starts a new process at the same address, with a slow start.
    pub async fn restart(&self) {
        self.kill();
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                // The sockets of the former process are closed by its tasks, which may not have run yet.
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        };
        let mut state = lock(&self.inner.state);
        state.started = Some(Instant::now());
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        (state.boot_ms, state.in_flight) = (unix.as_millis() as u64, 0);
        state.recent_arrivals.clear();
        drop(state);
        *lock(&self.process) = Some(serve(listener, self.inner.clone()));
    }

    /// Returns a copy of the counters.
    pub fn counters(&self) -> UpstreamCounters {
        lock(&self.inner.state).counters.clone()
    }

    /// The upstream's entry in discovery's list, as JSON.
    pub fn target(&self, zone: &str, state: &str) -> String {
        let boot_ms = lock(&self.inner.state).boot_ms;
        serde_json::json!({"uid": self.name, "endpoint": self.address.to_string(), "az": zone, "model": "m",
            "pod_group": 0, "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms})
        .to_string()
    }
}

fn serve(listener: TcpListener, inner: Arc<Inner>) -> JoinSet<()> {
    serve_process(listener, move |request| {
        let inner = inner.clone();
        async move { Ok::<_, Infallible>(inner.respond(request).await) }
    })
}

/// Serves HTTP/1.1 and HTTP/2 on a listener until the returned set of tasks is dropped, which also closes all
/// connections. An error of `respond` closes the connection of its request.
pub fn serve_process<F, A, B, E>(listener: TcpListener, respond: F) -> JoinSet<()>
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: hyper::body::Body<Data = Bytes, Error = Infallible> + Send + 'static,
    E: std::error::Error + Send + Sync + 'static,
{
    let mut process = JoinSet::new();
    process.spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((tcp, _)) = accepted else { continue };
                    tcp.set_nodelay(true).ok();
                    let service = hyper::service::service_fn(respond.clone());
                    connections.spawn(async move {
                        let server = auto::Builder::new(TokioExecutor::new());
                        server.serve_connection(TokioIo::new(tcp), service).await.ok();
                    });
                }
                Some(_) = connections.join_next() => {}
            }
        }
    });
    process
}

/// The place of an admitted request among the slots and the queue, which is freed on drop.
struct Admission<'a>(&'a Inner);

impl Drop for Admission<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}

impl Inner {
    /// The fraction of the full capacity that is available at the time `now`.
    fn capacity_fraction(&self, state: &State, now: Instant) -> f64 {
        let Some(started) = state.started else {
            return 1.0;
        };
        let progress = (now - started).as_secs_f64() / self.spec.slow_start.as_secs_f64();
        (self.spec.start_fraction + (1.0 - self.spec.start_fraction) * progress).min(1.0)
    }

    /// Counts a request and takes a place for it; `None` if the request is rejected.
    fn admit(&self) -> Option<Admission<'_>> {
        let (now, spec) = (Instant::now(), &self.spec);
        let mut state = lock(&self.state);
        state.counters.received += 1;
        let capacity_fraction = self.capacity_fraction(&state, now);
        if capacity_fraction < 1.0 {
            state.recent_arrivals.push_back(now);
            while state
                .recent_arrivals
                .front()
                .is_some_and(|arrival| now - *arrival > spec.window)
            {
                state.recent_arrivals.pop_front();
            }
            let expected = spec.capacity() * capacity_fraction * spec.window.as_secs_f64();
            let load = state.recent_arrivals.len() as f64 / (spec.overload_factor * expected);
            state.counters.peak_load = state.counters.peak_load.max(load);
            state.counters.overloaded |= load > 1.0;
        }
        if state.counters.overloaded || state.in_flight >= spec.queue_length + spec.slots {
            state.counters.rejected += 1;
            return None;
        }
        state.in_flight += 1;
        Some(Admission(self))
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let content_type = head.headers.get("content-type");
        let is_grpc =
            content_type.is_some_and(|value| value.as_bytes().starts_with(b"application/grpc"));
        body.collect().await.ok();
        let Some(_admission) = self.admit() else {
            return rejected_response(is_grpc);
        };
        let slot = self.slots.acquire().await;
        let speed = self.capacity_fraction(&lock(&self.state), Instant::now());
        sleep(self.spec.service_time.div_f64(speed)).await;
        drop(slot);
        let mut state = lock(&self.state);
        state.counters.executed += 1;
        if let Some(key) = head
            .headers
            .get("x-call-id")
            .and_then(|key| key.to_str().ok())
        {
            *state
                .counters
                .executions_by_call_id
                .entry(key.to_owned())
                .or_default() += 1;
        }
        drop(state);
        ok_response(is_grpc, &self.name)
    }
}

fn ok_response(is_grpc: bool, name: &str) -> Response<Body> {
    if !is_grpc {
        return Response::new(Full::new(Bytes::copy_from_slice(name.as_bytes())).boxed_unsync());
    }
    let status: HeaderMap = [(
        HeaderName::from_static("grpc-status"),
        HeaderValue::from_static("0"),
    )]
    .into_iter()
    .collect();
    let body = Full::new(message(name.as_bytes())).with_trailers(async move { Some(Ok(status)) });
    let mut response = Response::new(body.boxed_unsync());
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/grpc"));
    response
}

fn rejected_response(is_grpc: bool) -> Response<Body> {
    let mut response = Response::new(Full::default().boxed_unsync());
    let headers = response.headers_mut();
    headers.insert("x-rejected", HeaderValue::from_static("1"));
    if is_grpc {
        headers.insert("content-type", HeaderValue::from_static("application/grpc"));
        headers.insert("grpc-status", HeaderValue::from_static("14"));
    } else {
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
