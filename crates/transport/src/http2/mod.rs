//! Connections to upstreams over HTTP/2 with prior knowledge (RFC 9113). Each connection carries many attempts, one per
//! stream.
//!
//! `h2` is used directly instead of through a client that hides streams. Whether the upstream can have executed a
//! request depends on GOAWAY's last stream id and on REFUSED_STREAM, and a request that waits because of
//! MAX_CONCURRENT_STREAMS must be known not to have been sent. A stream is opened only if the peer has capacity for it,
//! so no stream waits inside `h2`.

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

/// Maximum number of connections tried for one attempt when each one turns out to be closing.
const MAX_CONNECTION_ATTEMPTS: u32 = 3;

/// Limits and timeouts of the HTTP/2 transport.
#[derive(Clone, Copy, Debug)]
pub struct Http2Limits {
    /// Maximum number of connections to one upstream.
    pub max_connections: usize,
    /// Maximum number of streams on one connection. The peer's own limit applies if it is lower.
    pub max_streams: usize,
    /// Time after which a connection without streams is closed.
    pub idle_timeout: Duration,
    /// Maximum time for establishing a connection.
    pub connect_timeout: Duration,
    /// Responses up to this size in bytes are received completely before they are passed on, so that a response that
    /// breaks off can be retried. Larger responses, and responses of unknown size, are streamed.
    pub max_buffered: usize,
}

impl Http2Limits {
    /// Creates the default limits, with the connect timeout of the settings.
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

/// The HTTP/2 transport: connections to all upstreams.
pub struct Http2 {
    pool: Arc<Pool>,
}

impl Http2 {
    /// Creates a transport without connections.
    pub fn new(limits: Http2Limits) -> Self {
        Self {
            pool: Arc::new(Pool::new(limits)),
        }
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.pool.counts.connections.load(Ordering::Relaxed)
    }

    /// The number of open streams on all connections.
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
        let deadline = request.response_deadline;
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
                        let body_sender = send_body(&mut body, stream);
                        let max_buffered = pool.limits.max_buffered;
                        let sent = SentStream {
                            lease,
                            body_sender,
                            max_buffered,
                            deadline,
                        };
                        return receive(response, sent).await;
                    }
                    // `h2` refuses a new stream while the connection is closing; nothing of the request was written.
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
        // The platform defines probes for HTTP/1.1 only. The decision module does not wait for a probe without a load
        // report.
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
