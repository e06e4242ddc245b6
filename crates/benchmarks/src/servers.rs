//! The baseline peers: an upstream that responds immediately, and a proxy without load balancing.

use crate::error::BenchmarkError;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::{TcpListener, TcpStream};
use woadstall_socket_options::set_nodelay;

/// Body of every response of the upstream.
pub const RESPONSE_BODY: &[u8] = b"done";

type Upstream = SendRequest<Full<Bytes>>;

/// Idle connections to the upstream.
#[derive(Clone, Default)]
struct IdleConnections(Arc<Mutex<Vec<Upstream>>>);

impl IdleConnections {
    fn lock(&self) -> MutexGuard<'_, Vec<Upstream>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the most recently used idle connection if it is still open, and a new connection otherwise.
    async fn take(&self, upstream: SocketAddr) -> Result<Upstream, BenchmarkError> {
        let idle = self.lock().pop();
        if let Some(sender) = idle.filter(|sender| !sender.is_closed()) {
            return Ok(sender);
        }
        let tcp = TcpStream::connect(upstream).await?;
        set_nodelay(&tcp);
        let (sender, connection) = handshake(TokioIo::new(tcp)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }
}

/// Listens on a free port and prints the address.
async fn listen() -> Result<TcpListener, std::io::Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("listening on {}", listener.local_addr()?);
    Ok(listener)
}

fn single_threaded() -> Result<tokio::runtime::Runtime, std::io::Error> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

/// Runs an upstream that responds to all requests immediately, over HTTP/1.1 and HTTP/2, until the process is killed.
///
/// # Errors
///
/// Returns [`BenchmarkError::Io`] if the server cannot listen or accept connections.
pub fn run_upstream() -> Result<(), BenchmarkError> {
    single_threaded()?.block_on(async {
        let listener = listen().await?;
        loop {
            let (tcp, _) = listener.accept().await?;
            set_nodelay(&tcp);
            tokio::spawn(async move {
                let service = service_fn(|request: Request<Incoming>| async {
                    request.into_body().collect().await.ok();
                    let body = Full::new(Bytes::from_static(RESPONSE_BODY));
                    Ok::<_, Infallible>(Response::new(body))
                });
                let server = auto::Builder::new(TokioExecutor::new());
                server
                    .serve_connection(TokioIo::new(tcp), service)
                    .await
                    .ok();
            });
        }
    })
}

/// Runs a proxy with the lowest possible cost for comparison: hyper on both sides, one upstream, persistent
/// connections, and no load balancing.
///
/// # Errors
///
/// Returns [`BenchmarkError::Io`] if the server cannot listen or accept connections.
pub fn run_proxy(upstream: SocketAddr) -> Result<(), BenchmarkError> {
    single_threaded()?.block_on(async {
        let listener = listen().await?;
        let idle = IdleConnections::default();
        loop {
            let (tcp, _) = listener.accept().await?;
            set_nodelay(&tcp);
            let idle = idle.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| forward(request, &idle, upstream));
                let server = hyper::server::conn::http1::Builder::new();
                server
                    .serve_connection(TokioIo::new(tcp), service)
                    .await
                    .ok();
            });
        }
    })
}

async fn forward(
    request: Request<Incoming>,
    idle: &IdleConnections,
    upstream: SocketAddr,
) -> Result<Response<Full<Bytes>>, BenchmarkError> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let mut sender = idle.take(upstream).await?;
    let response = sender
        .send_request(Request::from_parts(head, Full::new(body)))
        .await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    if sender.ready().await.is_ok() {
        idle.lock().push(sender);
    }
    Ok(Response::from_parts(head, Full::new(body)))
}
