//! Injected rule violations, which show that the verdict detects them.

use bytes::Bytes;
use clap::ValueEnum;
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use woadstall_mock_servers::simulated_upstream::serve_process;

/// Interval, in requests, at which [`RuleViolation::DropRequests`] drops a request.
const DROP_INTERVAL: u64 = 20;
/// Number of duplicates that [`RuleViolation::FloodSafe`] sends of each safe request.
const FLOOD_DUPLICATES: usize = 100;

/// A rule violation to inject. The command line shows the first paragraph of a variant's documentation as help text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum RuleViolation {
    /// Something before the balancers takes requests and never answers: rule 1.
    ///
    /// A proxy in front of the balancers leaves every 20th request without a response.
    #[value(name = "swallow")]
    DropRequests,
    /// Something before the nodos sends unsafe work twice: rule 2.
    ///
    /// Proxies in front of the upstreams send each unsafe request twice.
    #[value(name = "repeat")]
    RepeatUnsafe,
    /// The agents of half of the balancers tell nothing new, and count as having told: rule 3.
    ///
    /// Half of the discovery agents receive no new endpoint lists, although their balancers count as notified.
    #[value(name = "deaf")]
    StaleLists,
    /// Something before the nodos sends safe work a hundred times: rule 4, where nodos are cold.
    ///
    /// Proxies in front of the upstreams send 100 duplicates of each safe request.
    #[value(name = "flood")]
    FloodSafe,
}

impl RuleViolation {
    /// Whether a proxy between callers and balancers causes the violation.
    pub fn is_in_front_of_balancers(self) -> bool {
        self == Self::DropRequests
    }

    /// Whether a proxy between balancers and upstreams causes the violation.
    pub fn is_in_front_of_upstreams(self) -> bool {
        matches!(self, Self::RepeatUnsafe | Self::FloodSafe)
    }

    /// Returns the number of duplicates to send ahead of a request with this method.
    fn duplicates(self, method: &Method) -> usize {
        let is_safe = method == Method::GET;
        match self {
            Self::RepeatUnsafe if !is_safe => 1,
            Self::FloodSafe if is_safe => FLOOD_DUPLICATES,
            _ => 0,
        }
    }
}

/// A proxy that violates a rule. Dropping the value stops the proxy.
pub struct ViolatingProxy {
    /// Listen address of the proxy.
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

impl ViolatingProxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Errors
    ///
    /// If the listener cannot be created.
    pub async fn start(violation: RuleViolation, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let client: HttpClient = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        let request_count = Arc::new(AtomicU64::new(0));
        let tasks = serve_process(listener, move |request| {
            let (client, request_count) = (client.clone(), request_count.clone());
            async move {
                let number = request_count.fetch_add(1, Ordering::Relaxed);
                let is_dropped = number % DROP_INTERVAL == DROP_INTERVAL - 1;
                if violation == RuleViolation::DropRequests && is_dropped {
                    return std::future::pending().await;
                }
                forward(violation, &client, target, request)
                    .await
                    .ok_or(NoResponse)
            }
        });
        Ok(Self {
            address,
            _tasks: tasks,
        })
    }
}

/// The target did not return a response.
#[derive(Debug, thiserror::Error)]
#[error("target returned no response")]
struct NoResponse;

async fn forward(
    violation: RuleViolation,
    client: &HttpClient,
    target: SocketAddr,
    request: Request<Incoming>,
) -> Option<Response<Full<Bytes>>> {
    let (mut head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    head.uri = format!("http://{target}{}", head.uri.path())
        .parse::<Uri>()
        .ok()?;
    remove_hop_by_hop(&mut head.headers);
    for _ in 0..violation.duplicates(&head.method) {
        let request = Request::from_parts(head.clone(), Full::new(body.clone()));
        let response = client.request(request);
        tokio::spawn(async move {
            if let Ok(response) = response.await {
                response.into_body().collect().await.ok();
            }
        });
    }
    let request = Request::from_parts(head, Full::new(body));
    let (mut head, body) = client.request(request).await.ok()?.into_parts();
    remove_hop_by_hop(&mut head.headers);
    let body = body.collect().await.ok()?.to_bytes();
    Some(Response::from_parts(head, Full::new(body)))
}

/// Removes the hop-by-hop headers (RFC 9110, section 7.6.1).
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
}
