//! A plug-in under test, and calls through it.
#![allow(dead_code, reason = "each test binary uses its own part of these")]

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use std::net::SocketAddr;
use std::time::Duration;
use tower_service::Service;
use woadstall_mock_servers::grpc::message;
use woadstall_tower::{Balance, Builder, EndpointList, ResponseBody};

pub const LOOK: &str = "/test.Test/Look";
pub const PAY: &str = "/test.Test/Pay";
pub const POST: &str = "/test.Test/Post";

/// Far more than anything takes here; reached only where something hangs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// An upstream of a list, with its state and when it started.
#[derive(Clone)]
pub struct Member<'a>(pub &'a str, pub SocketAddr, pub &'a str, pub u64);

pub fn listing(all: bool, members: &[Member<'_>]) -> EndpointList {
    let targets: Vec<_> = members
        .iter()
        .map(|Member(uid, address, state, boot_ms)| {
            serde_json::json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "state": state,
                "boot_ms": boot_ms})
        })
        .collect();
    serde_json::from_value(serde_json::json!({"rev": 1, "all": all, "targets": targets})).unwrap()
}

pub fn in_service(addresses: &[SocketAddr]) -> EndpointList {
    let names: Vec<String> = (0..addresses.len()).map(|at| format!("s-{at}")).collect();
    let members: Vec<_> = names
        .iter()
        .zip(addresses)
        .map(|(name, at)| Member(name, *at, "in_service", 0))
        .collect();
    listing(true, &members)
}

/// Settings with a class that is safe, one that is keyed and one that is unsafe, after `change`.
pub fn settings(change: impl FnOnce(&mut serde_json::Value)) -> Vec<u8> {
    let mut settings =
        woadstall_mock_servers::http1::config(([127, 0, 0, 1], 1).into(), &[])["settings"].clone();
    change(&mut settings);
    settings.to_string().into_bytes()
}

pub fn builder(settings: &[u8]) -> Builder {
    let builder = Balance::builder().settings(settings).unwrap().seed(7);
    builder
        .method(LOOK, "look")
        .method(PAY, "pay")
        .method(POST, "post")
}

pub fn balance(upstreams: &[SocketAddr]) -> Balance {
    builder(&settings(|_| {}))
        .known_endpoints(in_service(upstreams))
        .build()
        .unwrap()
}

/// A gRPC call of one message.
pub fn request(path: &str) -> Request<Full<Bytes>> {
    let mut request = Request::post(path)
        .header("content-type", "application/grpc")
        .header("te", "trailers");
    if path == PAY {
        request = request.header("idempotency-key", "r-1");
    }
    request.body(Full::new(message(b"body"))).unwrap()
}

pub async fn send<B>(balance: &Balance, request: Request<B>) -> Response<ResponseBody>
where
    Balance:
        Service<Request<B>, Response = Response<ResponseBody>, Error = std::convert::Infallible>,
{
    balance.clone().call(request).await.unwrap()
}

/// How a call ended for its caller.
#[derive(Debug, PartialEq)]
pub struct Outcome {
    pub http: StatusCode,
    /// The gRPC status, from headers or trailers; `None` if there is none.
    pub status: Option<u32>,
    pub pushback: Option<u64>,
    pub body: Bytes,
    /// The body broke off.
    pub broken: bool,
}

impl Outcome {
    pub fn is_served(&self) -> bool {
        self.status == Some(0) && !self.broken
    }

    /// Rejected by the plug-in: a retry is harmless.
    pub fn is_rejected(&self) -> bool {
        self.status == Some(14)
    }

    /// Failed, and it may have run: nothing tells a client to retry.
    pub fn is_failed(&self) -> bool {
        self.status == Some(2) && self.pushback.is_none()
    }
}

pub async fn outcome(response: Response<ResponseBody>) -> Outcome {
    let (head, mut body) = response.into_parts();
    let (mut data, mut trailers, mut broken) = (Vec::new(), HeaderMap::new(), false);
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(chunk)) => data.extend_from_slice(&chunk),
            Ok(Err(frame)) => trailers = frame.into_trailers().unwrap_or_default(),
            Err(_) => {
                broken = true;
                break;
            }
        }
    }
    let number = |name: &str| {
        let value = trailers.get(name).or_else(|| head.headers.get(name))?;
        value.to_str().ok()?.parse::<u64>().ok()
    };
    Outcome {
        http: head.status,
        status: number("grpc-status").map(|status| status as u32),
        pushback: number("grpc-retry-pushback-ms"),
        body: data.into(),
        broken,
    }
}

pub async fn call(balance: &Balance, path: &str) -> Outcome {
    outcome(send(balance, request(path)).await).await
}

/// Waits until this holds; what it waits for has no event of its own.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "it never came to this: {what}"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
