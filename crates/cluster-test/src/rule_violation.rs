//! Rules that are broken on purpose, to show whether the verdict finds it.

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

/// One request in so many is dropped.
const DROP_INTERVAL: u64 = 20;
/// So many duplicates of a request are sent.
const FLOOD_DUPLICATES: usize = 100;

/// Which rule is broken, and how. The first paragraphs are the help of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum RuleViolation {
    /// Something before the balancers takes requests and never answers: rule 1.
    #[value(name = "swallow")]
    DropRequests,
    /// Something before the nodos sends unsafe work twice: rule 2.
    #[value(name = "repeat")]
    RepeatUnsafe,
    /// The agents of half of the balancers tell nothing new, and count as having told: rule 3.
    #[value(name = "deaf")]
    StaleLists,
    /// Something before the nodos sends safe work a hundred times: rule 4, where nodos are cold.
    #[value(name = "flood")]
    FloodSafe,
}

impl RuleViolation {
    /// Whether a proxy between callers and balancers does it.
    pub fn is_before_balancers(self) -> bool {
        self == Self::DropRequests
    }

    /// Whether a proxy between balancers and upstreams does it.
    pub fn is_before_upstreams(self) -> bool {
        matches!(self, Self::RepeatUnsafe | Self::FloodSafe)
    }

    /// How many duplicates of a request are sent ahead of it.
    fn duplicates(self, method: &Method) -> usize {
        let is_safe = method == Method::GET;
        match self {
            Self::RepeatUnsafe if !is_safe => 1,
            Self::FloodSafe if is_safe => FLOOD_DUPLICATES,
            _ => 0,
        }
    }
}

/// A proxy that breaks a rule. It ends when this is dropped.
pub struct ViolatingProxy {
    /// Where it listens.
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

impl ViolatingProxy {
    /// Starts one before a target.
    ///
    /// # Errors
    ///
    /// Where it cannot listen.
    pub async fn start(violation: RuleViolation, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let client: HttpClient = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        let count = Arc::new(AtomicU64::new(0));
        let tasks = serve_process(listener, move |request| {
            let (client, count) = (client.clone(), count.clone());
            async move {
                let number = count.fetch_add(1, Ordering::Relaxed);
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

/// The target gave no response.
#[derive(Debug, thiserror::Error)]
#[error("no answer to pass on")]
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

/// Removes what concerns one connection alone (RFC 9110, 7.6.1).
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
}
