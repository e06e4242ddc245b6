//! Connections to upstreams over HTTP/1.1. Each connection carries one attempt at a time.

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

/// An idle connection is closed earlier than its upstream may close it, by this margin or by half the upstream's idle
/// timeout, whichever is shorter.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Path at which upstreams serve their load report.
const LOAD_REPORT_PATH: &str = "/load";

type BoxedExchange = Pin<Box<dyn Future<Output = Exchange> + Send>>;

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// Returns for how long an idle connection is kept, given the idle timeout of its upstream.
fn pooled_idle_timeout(upstream_timeout: Duration) -> Duration {
    upstream_timeout - IDLE_TIMEOUT_MARGIN.min(upstream_timeout / 2)
}

/// The HTTP/1.1 transport: pooled connections to all upstreams, each with one attempt at a time.
pub struct Http1 {
    pool: Arc<Mutex<Pool>>,
    counts: Arc<ConnectionCounts>,
    connect_timeout_ns: AtomicU64,
    limits: SizeLimits,
    report_fields: Vec<String>,
}

impl Http1 {
    /// Creates a transport without connections. `idle_timeout` is the time after which upstreams may close an idle
    /// connection; the pool closes it earlier. `max_open` limits the open connections, idle and busy, and `max_body`
    /// the bytes of a response body.
    pub fn new(names: &Names, idle_timeout: Duration, max_open: usize, max_body: usize) -> Self {
        let counts = Arc::<ConnectionCounts>::default();
        let pool = Pool::new(pooled_idle_timeout(idle_timeout), max_open, counts.clone());
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

    /// Streams responses that are larger than the limit given to [`Http1::new`], up to `max_body` bytes.
    pub fn with_streaming(mut self, max_body: usize) -> Self {
        self.limits.max = max_body;
        self
    }

    /// Applies new settings. The new idle timeout also holds for connections that are already open.
    pub fn reconfigure(&self, names: &Names, idle_timeout: Duration) {
        self.connect_timeout_ns
            .store(nanos(names.connect_timeout), Ordering::Relaxed);
        lock(&self.pool).set_idle_timeout(pooled_idle_timeout(idle_timeout));
    }

    /// Closes all idle connections. Busy connections are closed after their present response.
    pub fn close_all(&self) {
        lock(&self.pool).clear();
    }

    /// The number of open connections, idle and busy.
    pub fn open_connections(&self) -> usize {
        self.counts.open_connections.load(Ordering::Relaxed)
    }

    /// The number of requests written to their last byte since the transport was created.
    pub fn requests_written(&self) -> u64 {
        self.counts.requests_written.load(Ordering::Relaxed)
    }

    /// Makes an attempt and waits for the whole response. A response larger than the buffer limit is an error.
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
                // The response exceeds the buffer limit.
                Exchange::Started(_) => Outcome::Error.into(),
            }
        }
    }

    /// Limits under which no response is streamed.
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

    /// Sends a request on a pooled connection or a new one and receives its response. `begin` returns how long the
    /// caller still waits, or `None` if the attempt must not be made. The future is boxed because each future that
    /// wraps it would otherwise store it twice.
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
            // While the connection was opened, the upstream may have been listed as draining or gone. Such an upstream
            // must not receive new requests.
            if !lock(&pool).is_current(peer.server, epoch) {
                return Outcome::Moot.into();
            }
            // `begin` is called after connecting, so that the time left does not include the time spent on connecting.
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
                    response.body_mut().set_pool_slot(pool, peer.server, epoch);
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
                        body.set_tail(tail);
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
                return (Outcome::Error, None); // the report exceeds the buffer limit
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

/// Opens a connection. The error is the outcome of the attempt.
async fn connect(
    address: SocketAddr,
    counts: Arc<ConnectionCounts>,
    connect_timeout: Duration,
) -> Result<Connection, Outcome> {
    match timeout(connect_timeout, Connection::open(address, counts)).await {
        Ok(Ok(connection)) => Ok(connection),
        // A lack of local descriptors or ports does not indicate a failure of the upstream.
        Ok(Err(error)) if is_local_resource_error(&error) => Err(Outcome::Moot),
        Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
    }
}

/// Copies a request for an upstream: as HTTP/1.1, with its target in origin form (RFC 9112, section 3.2.1) and with a
/// `Host` header.
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

/// Sets the header `x-budget` to the time that the caller still waits, in seconds.
fn set_budget(request: &mut Request<Bytes>, time_left: Duration) {
    let budget = HeaderValue::from_str(&format!("{:.6}", time_left.as_secs_f64()));
    let budget = budget.unwrap_or(HeaderValue::from_static("0"));
    request.headers_mut().insert("x-budget", budget);
}
