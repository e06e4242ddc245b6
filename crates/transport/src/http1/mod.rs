//! Connections to upstreams over HTTP/1.1, and attempts on them: one attempt at a time on each.

mod body;
mod connection;
mod exchange;
mod load_report;
mod pool;
mod progress;
mod socket;
#[cfg(test)]
mod tests;

pub use self::body::Http1Body;
pub use self::connection::{Connection, is_local_resource_error};
pub use self::exchange::closes_connection;
pub use self::load_report::load_report;
pub use self::progress::{ConnectionCounts, Progress, RequestBody};

use self::exchange::{CompletedExchange, Exchange, SizeLimits, exchange};
use self::pool::{Checkout, Pool};
use crate::sync::lock;
use bytes::Bytes;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, Uri, Version};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::time::{Duration, timeout};
use woadstall_runtime::engine::{AttemptEnd, LoadReport, Outcome, Peer, ServerId};
use woadstall_runtime::{Attempt, AttemptProgress, Transport};
use woadstall_settings::Names;

/// An idle connection is dropped by this much, or by half its time, before its upstream may close it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Where upstreams serve their load report.
const LOAD_REPORT_PATH: &str = "/load";

type BoxedExchange = Pin<Box<dyn Future<Output = Exchange> + Send>>;

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// How long an idle connection is kept that its upstream may close after a time.
fn with_margin(upstream_timeout: Duration) -> Duration {
    upstream_timeout - IDLE_MARGIN.min(upstream_timeout / 2)
}

/// Connections over HTTP/1.1 to all upstreams: one attempt at a time on each.
pub struct Http1 {
    pool: Arc<Mutex<Pool>>,
    counts: Arc<ConnectionCounts>,
    connect_timeout_ns: AtomicU64,
    limits: SizeLimits,
    report_fields: Vec<String>,
}

impl Http1 {
    /// Idle connections are kept for less than `idle_timeout`, no more than `max_open` are open, idle or not, and a
    /// response has at most `max_body` bytes.
    pub fn new(names: &Names, idle_timeout: Duration, max_open: usize, max_body: usize) -> Self {
        let counts = Arc::<ConnectionCounts>::default();
        let pool = Pool::new(with_margin(idle_timeout), max_open, counts.clone());
        Self {
            pool: Arc::new(Mutex::new(pool)),
            counts,
            connect_timeout_ns: AtomicU64::new(nanos(names.connect_timeout)),
            limits: SizeLimits {
                buffered: max_body,
                max: max_body,
            },
            report_fields: names.report_fields.clone(),
        }
    }

    /// Passes responses that are larger than that on as they come, up to this size in bytes.
    pub fn with_streaming(mut self, max_body: usize) -> Self {
        self.limits.max = max_body;
        self
    }

    /// Takes new settings: what is open is kept for no longer than these say.
    pub fn reconfigure(&self, names: &Names, idle_timeout: Duration) {
        self.connect_timeout_ns
            .store(nanos(names.connect_timeout), Ordering::Relaxed);
        lock(&self.pool).set_idle_timeout(with_margin(idle_timeout));
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        lock(&self.pool).clear();
    }

    /// Connections that are open, idle or not.
    pub fn open_connections(&self) -> usize {
        self.counts.open_connections.load(Ordering::Relaxed)
    }

    /// Requests that were written to their last byte, since the start.
    pub fn requests_written(&self) -> u64 {
        self.counts.requests_written.load(Ordering::Relaxed)
    }

    /// An attempt to its end: a response that is larger than may be buffered fails.
    pub fn buffered_attempt(
        &self,
        request: &Request<Bytes>,
        attempt: &Attempt,
    ) -> impl Future<Output = AttemptEnd<Response<Bytes>>> + Send + use<> {
        let exchange = self.exchange_for(request, attempt, self.buffered_only());
        let fields = self.report_fields.clone();
        async move {
            match exchange.await {
                Exchange::Completed(completed) => completed.into_attempt_end(&fields),
                Exchange::Started(_) => Outcome::Error.into(), // larger than any response may be
            }
        }
    }

    /// Limits under which no response is passed on before its end.
    fn buffered_only(&self) -> SizeLimits {
        SizeLimits {
            max: self.limits.buffered,
            ..self.limits
        }
    }

    fn exchange_for(
        &self,
        request: &Request<Bytes>,
        attempt: &Attempt,
        limits: SizeLimits,
    ) -> BoxedExchange {
        let attempt = attempt.clone();
        let peer = attempt.peer();
        let request = forwarded(request, peer.address);
        self.exchange(request, peer, limits, move || attempt.begin())
    }

    /// One request and its response, on a kept connection or a new one. On the heap: each future that wraps it would hold
    /// it twice over.
    fn exchange(
        &self,
        mut request: Request<Bytes>,
        peer: Peer,
        limits: SizeLimits,
        begin: impl FnOnce() -> Option<Duration> + Send + 'static,
    ) -> BoxedExchange {
        let checkout = lock(&self.pool).check_out(peer.server);
        let (pool, counts) = (self.pool.clone(), self.counts.clone());
        let connect_timeout = Duration::from_nanos(self.connect_timeout_ns.load(Ordering::Relaxed));
        Box::pin(async move {
            let Some(Checkout { epoch, idle }) = checkout else {
                return Outcome::Moot.into();
            };
            let connection = match idle {
                Some(connection) => connection,
                None => match connect(peer.address, counts, connect_timeout).await {
                    Ok(connection) => connection,
                    Err(outcome) => return outcome.into(),
                },
            };
            // Guards rule 3: since it was begun, the upstream may have been listed as draining or gone.
            if !lock(&pool).is_current(peer.server, epoch) {
                return Outcome::Moot.into();
            }
            // As late as this, since connecting takes its time.
            let Some(time_left) = begin() else {
                return Outcome::Moot.into();
            };
            set_budget(&mut request, time_left);
            let mut exchange = exchange(request, connection, limits).await;
            match &mut exchange {
                Exchange::Completed(completed) => {
                    if let Some(connection) = completed.connection.take() {
                        lock(&pool).put(peer.server, epoch, connection);
                    }
                }
                Exchange::Started(response) => {
                    response.body_mut().return_to(pool, peer.server, epoch);
                }
            }
            exchange
        })
    }
}

impl Transport for Http1 {
    type Request = Request<Bytes>;
    type Response = Response<Http1Body>;

    fn attempt(
        &self,
        request: &mut Request<Bytes>,
        attempt: &Attempt,
    ) -> impl Future<Output = AttemptProgress<Response<Http1Body>>> + Send + 'static {
        let exchange = self.exchange_for(request, attempt, self.limits);
        let fields = self.report_fields.clone();
        async move {
            match exchange.await {
                Exchange::Completed(completed) => {
                    let end = completed.into_attempt_end(&fields);
                    AttemptProgress::Ended(end.map(|response| response.map(Http1Body::Complete)))
                }
                Exchange::Started(response) => AttemptProgress::ResponseStarted(Box::new(|tail| {
                    response.map(|mut body| {
                        body.report_to(tail);
                        Http1Body::Streaming(Box::new(body))
                    })
                })),
            }
        }
    }

    fn probe(
        &self,
        peer: Peer,
        timeout: Duration,
    ) -> impl Future<Output = (Outcome, Option<LoadReport>)> + Send + 'static {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = Uri::from_static(LOAD_REPORT_PATH);
        let request = forwarded(&request, peer.address);
        let exchange = self.exchange(request, peer, self.buffered_only(), move || Some(timeout));
        let fields = self.report_fields.clone();
        async move {
            let Exchange::Completed(completed) = exchange.await else {
                return (Outcome::Error, None); // larger than any report may be
            };
            let CompletedExchange {
                outcome, response, ..
            } = completed;
            (
                outcome,
                response.and_then(|response| load_report(response.body(), &fields)),
            )
        }
    }

    fn close_idle(&self, server: ServerId) {
        lock(&self.pool).close_idle(server);
    }

    fn retire(&self, server: ServerId) {
        lock(&self.pool).retire(server);
    }

    fn sweep(&self) {
        lock(&self.pool).sweep();
    }
}

/// Connects; the error is the outcome of the attempt.
async fn connect(
    address: SocketAddr,
    counts: Arc<ConnectionCounts>,
    connect_timeout: Duration,
) -> Result<Connection, Outcome> {
    match timeout(connect_timeout, Connection::open(address, counts)).await {
        Ok(Ok(connection)) => Ok(connection),
        // Our own lack of descriptors or ports says nothing of the upstream.
        Ok(Err(error)) if is_local_resource_error(&error) => Err(Outcome::Moot),
        Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
    }
}

/// The request as an upstream gets it: as it came, and in the form for an origin (RFC 9112, section 3.2.1).
fn forwarded(request: &Request<Bytes>, address: SocketAddr) -> Request<Bytes> {
    let mut request = request.clone();
    *request.version_mut() = Version::HTTP_11;
    let uri = request.uri();
    let path = uri
        .path_and_query()
        .filter(|_| uri.authority().is_some())
        .cloned();
    if let Some(path) = path {
        *request.uri_mut() = path.into();
    }
    let headers = request.headers_mut();
    if !headers.contains_key(HOST) {
        let host = HeaderValue::from_str(&address.to_string());
        headers.insert(HOST, host.unwrap_or(HeaderValue::from_static("upstream")));
    }
    request
}

/// Sets how long the caller still waits, in seconds.
fn set_budget(request: &mut Request<Bytes>, time_left: Duration) {
    let budget = HeaderValue::from_str(&format!("{:.6}", time_left.as_secs_f64()));
    let budget = budget.unwrap_or(HeaderValue::from_static("0"));
    request.headers_mut().insert("x-budget", budget);
}
