//! What breaks a rule on purpose, so that it shows whether the judge sees it.

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

/// One request in so many is swallowed.
const SWALLOWED: u64 = 20;
/// So many copies of a request are sent.
const COPIES: usize = 100;

/// Which rule is broken, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Sabotage {
    /// Something before the balancers takes requests and never answers: rule 1.
    Swallow,
    /// Something before the nodos sends unsafe work twice: rule 2.
    Repeat,
    /// The agents of half of the balancers tell nothing new, and count as having told: rule 3.
    Deaf,
    /// Something before the nodos sends safe work a hundred times: rule 4, where nodos are cold.
    Flood,
}

impl Sabotage {
    /// Whether it stands between callers and balancers.
    pub fn is_before_balancers(self) -> bool {
        self == Self::Swallow
    }

    /// Whether it stands between balancers and nodos.
    pub fn is_before_nodos(self) -> bool {
        matches!(self, Self::Repeat | Self::Flood)
    }
}

/// Something in between. It ends when this is dropped.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    _serving: JoinSet<()>,
}

type Out = Client<HttpConnector, Full<Bytes>>;

impl Proxy {
    /// One before a target.
    pub async fn start(kind: Sabotage, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let client: Out = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        let count = Arc::new(AtomicU64::new(0));
        let serving = serve_process(listener, move |request| {
            let (client, count) = (client.clone(), count.clone());
            async move {
                let number = count.fetch_add(1, Ordering::Relaxed);
                if kind == Sabotage::Swallow && number % SWALLOWED == SWALLOWED - 1 {
                    return std::future::pending().await;
                }
                pass(kind, &client, target, request).await.ok_or(Lost)
            }
        });
        Ok(Self {
            address,
            _serving: serving,
        })
    }
}

/// The other side gave no answer.
#[derive(Debug)]
struct Lost;

impl std::fmt::Display for Lost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no answer to pass on")
    }
}

impl std::error::Error for Lost {}

/// What concerns one connection alone.
fn strip(headers: &mut HeaderMap) {
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
}

async fn pass(
    kind: Sabotage,
    client: &Out,
    target: SocketAddr,
    request: Request<Incoming>,
) -> Option<Response<Full<Bytes>>> {
    let (mut head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    head.uri = format!("http://{target}{}", head.uri.path())
        .parse::<Uri>()
        .ok()?;
    strip(&mut head.headers);
    let safe = head.method == Method::GET;
    let copies = match kind {
        Sabotage::Repeat if !safe => 1,
        Sabotage::Flood if safe => COPIES,
        _ => 0,
    };
    for _ in 0..copies {
        let copy = client.request(Request::from_parts(head.clone(), Full::new(body.clone())));
        tokio::spawn(async move {
            if let Ok(answer) = copy.await {
                answer.into_body().collect().await.ok();
            }
        });
    }
    let answer = client
        .request(Request::from_parts(head, Full::new(body)))
        .await
        .ok()?;
    let (mut head, body) = answer.into_parts();
    strip(&mut head.headers);
    Some(Response::from_parts(
        head,
        Full::new(body.collect().await.ok()?.to_bytes()),
    ))
}
