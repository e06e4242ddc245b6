//! Connections to upstreams over HTTP/1.1, and attempts on them: one attempt at a time on each.

mod answer;
mod connection;
mod exchange;
mod pool;
#[cfg(test)]
mod tests;

pub use self::answer::Answer;
pub use self::connection::{Connection, Counts, Outgoing, Progress, is_local};
pub use self::exchange::closes;

use self::exchange::{Exchanged, Finished, Sizes, exchange};
use self::pool::Pool;
use crate::shared::lock;
use bytes::Bytes;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, Uri, Version};
use std::collections::HashMap;
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

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// For how long an idle connection is kept that its upstream may close after a time.
fn kept(closed_after: Duration) -> Duration {
    closed_after - IDLE_MARGIN.min(closed_after / 2)
}

/// Connections over HTTP/1.1 to all upstreams: one attempt at a time on each.
pub struct Http1 {
    pool: Arc<Mutex<Pool>>,
    counts: Arc<Counts>,
    /// In nanoseconds.
    connect_timeout: AtomicU64,
    sizes: Sizes,
    report_fields: Vec<String>,
}

impl Http1 {
    /// Idle connections are kept for less than `keep`, no more than `most` are open, idle or not, and an answer
    /// has at most `most_body` bytes.
    pub fn new(names: &Names, keep: Duration, most: usize, most_body: usize) -> Self {
        let counts = Arc::<Counts>::default();
        let pool = Pool::new(kept(keep), most, counts.clone());
        Self {
            pool: Arc::new(Mutex::new(pool)),
            counts,
            connect_timeout: AtomicU64::new(nanos(names.connect_timeout)),
            sizes: Sizes {
                whole: most_body,
                most: most_body,
            },
            report_fields: names.report_fields.clone(),
        }
    }

    /// Passes answers that are larger than that on as they come, up to this size.
    pub fn passing_on(mut self, most: usize) -> Self {
        self.sizes.most = most;
        self
    }

    /// Takes new settings: what is open is kept for no longer than these say.
    pub fn retune(&self, names: &Names, keep: Duration) {
        self.connect_timeout
            .store(nanos(names.connect_timeout), Ordering::Relaxed);
        lock(&self.pool).keep(kept(keep));
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        lock(&self.pool).clear();
    }

    /// Connections that are open, idle or not.
    pub fn open(&self) -> usize {
        self.counts.open.load(Ordering::Relaxed)
    }

    /// Requests that were written to their last byte, since the start.
    pub fn written(&self) -> u64 {
        self.counts.written.load(Ordering::Relaxed)
    }

    /// One request and its answer, on a kept connection or a new one. On the heap: each future that wraps it
    /// would hold it twice over.
    fn exchange(
        &self,
        mut request: Request<Bytes>,
        peer: Peer,
        sizes: Sizes,
        begin: impl FnOnce() -> Option<Duration> + Send + 'static,
    ) -> Pin<Box<dyn Future<Output = Exchanged> + Send>> {
        let taken = lock(&self.pool).take(peer.server);
        let (pool, counts) = (self.pool.clone(), self.counts.clone());
        let connect_timeout = Duration::from_nanos(self.connect_timeout.load(Ordering::Relaxed));
        Box::pin(async move {
            let Some((epoch, idle)) = taken else {
                return Outcome::Moot.into();
            };
            let connection = match idle {
                Some(connection) => connection,
                None => {
                    match timeout(connect_timeout, Connection::open(peer.address, counts)).await {
                        Ok(Ok(connection)) => connection,
                        // Our own lack of descriptors or ports says nothing of the upstream.
                        Ok(Err(error)) if is_local(&error) => return Outcome::Moot.into(),
                        Ok(Err(_)) | Err(_) => return Outcome::ConnectFailed.into(),
                    }
                }
            };
            // Guards rule 3: since it was begun, the upstream may have been listed as draining or gone.
            if !lock(&pool).is_current(peer.server, epoch) {
                return Outcome::Moot.into();
            }
            // As late as this, since to connect takes its time.
            let Some(left) = begin() else {
                return Outcome::Moot.into();
            };
            tell_budget(&mut request, left);
            let mut exchanged = exchange(request, connection, sizes).await;
            match &mut exchanged {
                Exchanged::Finished(finished) => {
                    if let Some(connection) = finished.connection.take() {
                        lock(&pool).put(peer.server, epoch, connection);
                    }
                }
                Exchanged::Begun(response) => {
                    response.body_mut().goes_home(pool, peer.server, epoch)
                }
            }
            exchanged
        })
    }
}

impl Http1 {
    fn exchange_of(
        &self,
        request: &Request<Bytes>,
        attempt: &Attempt,
        sizes: Sizes,
    ) -> Pin<Box<dyn Future<Output = Exchanged> + Send>> {
        let attempt = attempt.clone();
        let peer = attempt.peer();
        self.exchange(forwarded(request, peer.address), peer, sizes, move || {
            attempt.begin()
        })
    }

    /// An attempt to its end.
    pub fn ended(
        &self,
        request: &Request<Bytes>,
        attempt: &Attempt,
    ) -> impl Future<Output = AttemptEnd<Response<Bytes>>> + Send + use<> {
        let sizes = Sizes {
            most: self.sizes.whole,
            ..self.sizes
        };
        let (exchange, fields) = (
            self.exchange_of(request, attempt, sizes),
            self.report_fields.clone(),
        );
        async move {
            match exchange.await {
                Exchanged::Finished(finished) => finished.ended(&fields),
                Exchanged::Begun(_) => Outcome::Error.into(), // larger than any answer may be
            }
        }
    }
}

impl Transport for Http1 {
    type Request = Request<Bytes>;
    type Response = Response<Answer>;

    fn attempt(
        &self,
        request: &mut Request<Bytes>,
        attempt: &Attempt,
    ) -> impl Future<Output = AttemptProgress<Response<Answer>>> + Send + 'static {
        let (exchange, fields) = (
            self.exchange_of(request, attempt, self.sizes),
            self.report_fields.clone(),
        );
        async move {
            match exchange.await {
                Exchanged::Finished(finished) => AttemptProgress::Ended(
                    finished
                        .ended(&fields)
                        .map(|response| response.map(Answer::Whole)),
                ),
                Exchanged::Begun(response) => AttemptProgress::ResponseStarted(Box::new(|tail| {
                    response.map(|mut rest| {
                        rest.ends_at(tail);
                        Answer::Rest(Box::new(rest))
                    })
                })),
            }
        }
    }

    fn probe(
        &self,
        peer: Peer,
        patience: Duration,
    ) -> impl Future<Output = (Outcome, Option<LoadReport>)> + Send + 'static {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = Uri::from_static("/load");
        let request = forwarded(&request, peer.address);
        let sizes = Sizes {
            most: self.sizes.whole,
            ..self.sizes
        };
        let exchange = self.exchange(request, peer, sizes, move || Some(patience));
        let fields = self.report_fields.clone();
        async move {
            let Exchanged::Finished(Finished {
                outcome, response, ..
            }) = exchange.await
            else {
                return (Outcome::Error, None); // larger than any report may be
            };
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

/// The request as an upstream gets it: as it came, and in the form for an origin.
fn forwarded(request: &Request<Bytes>, address: SocketAddr) -> Request<Bytes> {
    let mut request = request.clone();
    *request.version_mut() = Version::HTTP_11;
    if let Some(path) = request
        .uri()
        .path_and_query()
        .filter(|_| request.uri().authority().is_some())
    {
        *request.uri_mut() = path.clone().into();
    }
    let headers = request.headers_mut();
    if !headers.contains_key(HOST) {
        let host = HeaderValue::from_str(&address.to_string());
        headers.insert(HOST, host.unwrap_or(HeaderValue::from_static("upstream")));
    }
    request
}

/// Tells the upstream how long the caller still waits, in seconds.
fn tell_budget(request: &mut Request<Bytes>, left: Duration) {
    let budget = HeaderValue::from_str(&format!("{:.6}", left.as_secs_f64()));
    request
        .headers_mut()
        .insert("x-budget", budget.unwrap_or(HeaderValue::from_static("0")));
}

/// The load figures in a report, in the order of the settings.
pub fn load_report(text: &[u8], fields: &[String]) -> Option<LoadReport> {
    let values: HashMap<String, f32> = serde_json::from_slice(text).ok()?;
    let mut report = LoadReport::default();
    for (figure, field) in report.figures.iter_mut().zip(fields) {
        *figure = *values.get(field)?;
        report.len += 1;
    }
    (report.len > 0).then_some(report)
}
