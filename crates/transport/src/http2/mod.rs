//! Connections over HTTP/2 with prior knowledge (RFC 9113): many attempts on each, one stream an attempt.
//!
//! `h2` is used directly, not through a client that hides streams: whether an attempt can have run depends on GOAWAY's
//! last stream id and on REFUSED_STREAM, and what waits behind MAX_CONCURRENT_STREAMS must be known not to have been sent.
//! A stream is opened here only where the peer has capacity for it, so none waits inside `h2`.

mod connection;
mod pool;
mod receive;
mod request_head;
mod response_body;
mod send_body;

pub use self::request_head::grpc_timeout_of;
pub use self::response_body::{ResponseBody, ResponseBodyError};

use self::pool::Pool;
use self::receive::{SentStream, receive};
use self::request_head::{forwarded_head, set_budget};
use self::send_body::send_body;
use crate::outbound_request::OutboundRequest;
use http::Response;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Duration;
use woadstall_runtime::engine::{LoadReport, Outcome, Peer, ServerId};
use woadstall_runtime::{Attempt, AttemptProgress, Transport};
use woadstall_settings::Names;

/// Most connections tried for one attempt, where one after another turns out to be closing.
const MAX_CONNECTION_ATTEMPTS: u32 = 3;

/// How connections over HTTP/2 are kept.
#[derive(Clone, Copy, Debug)]
pub struct Http2Limits {
    /// Most connections to one upstream.
    pub max_connections: usize,
    /// Most streams on one, whatever the peer allows beyond that.
    pub max_streams: usize,
    /// A connection without streams is closed after this time.
    pub idle_timeout: Duration,
    /// How long a connection may take to be established.
    pub connect_timeout: Duration,
    /// Up to this size in bytes, responses are read to their end before they are passed on, so that another attempt can
    /// follow one that breaks; larger ones, and those whose size is not known, are passed on as they come.
    pub max_buffered: usize,
}

impl Http2Limits {
    /// The usual limits, with the time for a connection from the settings.
    pub fn new(names: &Names, idle_timeout: Duration) -> Self {
        Self {
            max_connections: 4,
            max_streams: 1000,
            idle_timeout,
            connect_timeout: names.connect_timeout,
            max_buffered: 64 << 10,
        }
    }
}

/// Connections to all upstreams over HTTP/2.
pub struct Http2 {
    pool: Arc<Pool>,
}

impl Http2 {
    /// No connection yet.
    pub fn new(limits: Http2Limits) -> Self {
        Self {
            pool: Arc::new(Pool::new(limits)),
        }
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.pool.counts.connections.load(Ordering::Relaxed)
    }

    /// How many streams are open, on all connections.
    pub fn open_streams(&self) -> usize {
        self.pool.counts.streams.load(Ordering::Relaxed)
    }
}

impl Transport for Http2 {
    type Request = OutboundRequest;
    type Response = Response<ResponseBody>;

    fn attempt(
        &self,
        request: &mut OutboundRequest,
        attempt: &Attempt,
    ) -> impl Future<Output = AttemptProgress<Response<ResponseBody>>> + Send + 'static {
        let peer = attempt.peer();
        let epoch = self.pool.epoch(peer.server);
        let mut head = forwarded_head(request, peer.address);
        let is_grpc = request.is_grpc;
        let body = request.body.take();
        let deadline = request.body_deadline;
        let (pool, attempt) = (self.pool.clone(), attempt.clone());
        async move {
            let Some(mut body) = body else {
                return AttemptProgress::Ended(Outcome::Moot.into());
            };
            for _ in 0..MAX_CONNECTION_ATTEMPTS {
                let lease = match pool.lease(&peer, epoch).await {
                    Ok(lease) => lease,
                    Err(outcome) => return AttemptProgress::Ended(outcome.into()),
                };
                let Some(time_left) = attempt.begin() else {
                    return AttemptProgress::Ended(Outcome::Moot.into());
                };
                set_budget(&mut head, time_left, is_grpc);
                match lease.sender().send_request(head.clone(), body.is_empty()) {
                    Ok((response, stream)) => {
                        let pump = send_body(&mut body, stream);
                        let max_buffered = pool.limits.max_buffered;
                        let sent = SentStream {
                            lease,
                            pump,
                            max_buffered,
                            deadline,
                        };
                        return receive(response, sent).await;
                    }
                    // Not a byte of it is written: the connection is on its way out.
                    Err(_) => lease.close_connection(),
                }
            }
            AttemptProgress::Ended(Outcome::Moot.into())
        }
    }

    fn probe(
        &self,
        _: Peer,
        _: Duration,
    ) -> impl Future<Output = (Outcome, Option<LoadReport>)> + Send + 'static {
        // The platform's probes are HTTP/1.1; the module does not wait for one that brings nothing.
        std::future::ready((Outcome::Moot, None))
    }

    fn close_idle(&self, server: ServerId) {
        self.pool.close_idle(server);
    }

    fn retire(&self, server: ServerId) {
        self.pool.retire(server);
    }

    fn sweep(&self) {
        self.pool.sweep();
    }
}
