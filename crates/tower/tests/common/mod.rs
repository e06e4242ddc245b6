//! Helpers that build a plug-in and make calls through it.
#![allow(dead_code, reason = "each test binary uses a part of the helpers")]

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

/// How long tests wait for an event. No event takes nearly as long, so only a hang reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// An entry of an endpoint list: the upstream's uid, address, state and start time in Unix milliseconds.
#[derive(Clone)]
pub struct ListEntry<'a>(pub &'a str, pub SocketAddr, pub &'a str, pub u64);

/// An endpoint list of these entries: the complete list if `is_complete`, otherwise only the entries that changed.
pub fn listing(is_complete: bool, entries: &[ListEntry<'_>]) -> EndpointList {
    let targets: Vec<_> = entries
        .iter()
        .map(|ListEntry(uid, address, state, boot_ms)| {
            serde_json::json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "state": state,
                "boot_ms": boot_ms})
        })
        .collect();
    let json = serde_json::json!({"rev": 1, "all": is_complete, "targets": targets});
    serde_json::from_value(json).unwrap()
}

/// A complete endpoint list of upstreams in service, named `s-0`, `s-1`, ...
pub fn in_service(addresses: &[SocketAddr]) -> EndpointList {
    let names: Vec<String> = (0..addresses.len())
        .map(|number| format!("s-{number}"))
        .collect();
    let entries: Vec<_> = names
        .iter()
        .zip(addresses)
        .map(|(name, address)| ListEntry(name, *address, "in_service", 0))
        .collect();
    listing(true, &entries)
}

/// Settings with a safe class (`look`), a keyed class (`pay`) and an unsafe class (`post`), modified by `change`.
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

/// A gRPC request with one message.
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

/// The response of a call as its caller sees it.
#[derive(Debug, PartialEq)]
pub struct Outcome {
    pub http_status: StatusCode,
    /// The gRPC status, from headers or trailers; `None` if absent.
    pub grpc_status: Option<u32>,
    /// The advised time before a retry, in milliseconds.
    pub pushback_ms: Option<u64>,
    pub body: Bytes,
    /// The body ended with an error.
    pub is_broken: bool,
}

impl Outcome {
    pub fn is_served(&self) -> bool {
        self.grpc_status == Some(0) && !self.is_broken
    }

    /// Whether the plug-in rejected the call, so that a retry is safe.
    pub fn is_rejected(&self) -> bool {
        self.grpc_status == Some(14)
    }

    /// Whether the call failed and may have run. No header advises the client to retry.
    pub fn is_failed(&self) -> bool {
        self.grpc_status == Some(2) && self.pushback_ms.is_none()
    }
}

pub async fn outcome(response: Response<ResponseBody>) -> Outcome {
    let (head, mut body) = response.into_parts();
    let (mut data, mut trailers, mut is_broken) = (Vec::new(), HeaderMap::new(), false);
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(chunk)) => data.extend_from_slice(&chunk),
            Ok(Err(frame)) => trailers = frame.into_trailers().unwrap_or_default(),
            Err(_) => {
                is_broken = true;
                break;
            }
        }
    }
    let number = |name: &str| {
        let value = trailers.get(name).or_else(|| head.headers.get(name))?;
        value.to_str().ok()?.parse::<u64>().ok()
    };
    Outcome {
        http_status: head.status,
        grpc_status: number("grpc-status").map(|status| status as u32),
        pushback_ms: number("grpc-retry-pushback-ms"),
        body: data.into(),
        is_broken,
    }
}

pub async fn call(balance: &Balance, path: &str) -> Outcome {
    outcome(send(balance, request(path)).await).await
}

/// Polls a condition until it holds, for conditions that no event announces.
pub async fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "timed out waiting until {condition}"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
