//! The plug-in with unmodified third-party clients: a generated tonic client, and hyper-util's client in front of a
//! hyper server whose service is the plug-in.

mod common;

use bytes::Bytes;
use common::*;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Code;
use tonic_health::ServingStatus;
use tonic_health::pb::HealthCheckRequest;
use tonic_health::pb::health_client::HealthClient;
use tonic_health::server::HealthReporter;
use woadstall_mock_servers::grpc::{GrpcUpstream, Reply};
use woadstall_tower::{Balance, Protocol};

const CHECK: &str = "/grpc.health.v1.Health/Check";
const WATCH: &str = "/grpc.health.v1.Health/Watch";

/// Starts a tonic server with tonic's health service.
async fn tonic_server() -> (SocketAddr, HealthReporter) {
    let (reporter, service) = tonic_health::server::health_reporter();
    reporter
        .set_service_status("posting", ServingStatus::Serving)
        .await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tonic::transport::Server::builder().add_service(service);
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    (address, reporter)
}

/// Builds a plug-in that treats the health service's methods as safe.
fn health_balance(upstreams: &[SocketAddr]) -> Balance {
    let builder = builder(&settings(|_| {}))
        .method(CHECK, "look")
        .method(WATCH, "look");
    builder
        .known_endpoints(in_service(upstreams))
        .build()
        .unwrap()
}

fn check_request(service: &str) -> HealthCheckRequest {
    HealthCheckRequest {
        service: service.into(),
    }
}

async fn call_through_a_generated_client() {
    let (first_server, reporter) = tonic_server().await;
    let (second_server, _second_reporter) = tonic_server().await;
    let balance = health_balance(&[first_server, second_server]);
    let mut client = HealthClient::new(balance.clone());
    for _ in 0..20 {
        let response = client
            .check(check_request("posting"))
            .await
            .unwrap()
            .into_inner();
        assert_eq!(
            response.status(),
            tonic_health::pb::health_check_response::ServingStatus::Serving
        );
    }
    assert_eq!(
        balance.open_connections(),
        2,
        "both upstreams have received requests"
    );
    // The status and message of a server's own error are forwarded unchanged.
    let error = client.check(check_request("unknown")).await.unwrap_err();
    assert_eq!(
        (error.code(), error.message()),
        (Code::NotFound, "service not registered")
    );
    // Clones of a client may make calls concurrently in many tasks.
    let calls: Vec<_> = (0..200)
        .map(|_| {
            let mut client = client.clone();
            tokio::spawn(async move { client.check(check_request("posting")).await.map(|_| ()) })
        })
        .collect();
    for call in calls {
        call.await.unwrap().unwrap();
    }
    // Server streaming: a change while the stream is open is forwarded at once, and dropping the stream ends the call.
    let balance = health_balance(&[first_server]);
    let mut client = HealthClient::new(balance.clone());
    let mut watch = client
        .watch(check_request("posting"))
        .await
        .unwrap()
        .into_inner();
    assert!(watch.message().await.unwrap().is_some());
    reporter
        .set_service_status("posting", ServingStatus::NotServing)
        .await;
    let changed = watch.message().await.unwrap().unwrap();
    assert_eq!(
        changed.status(),
        tonic_health::pb::health_check_response::ServingStatus::NotServing
    );
    assert_eq!(balance.open_calls(), 1);
    drop(watch);
    assert_eq!(balance.open_calls(), 0);
}

#[tokio::test]
async fn generated_client_on_a_current_thread_runtime() {
    call_through_a_generated_client().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn generated_client_on_a_multi_thread_runtime() {
    call_through_a_generated_client().await;
}

/// Guards against rejections and failures reaching a tonic client in a form that it cannot interpret.
#[tokio::test]
async fn rejections_and_failures_are_grpc_statuses() {
    let refused = woadstall_mock_servers::http1::refused_address();
    let error = HealthClient::new(health_balance(&[refused]))
        .check(check_request(""))
        .await
        .unwrap_err();
    assert_eq!(error.code(), Code::Unavailable);
    assert!(error.metadata().get("grpc-retry-pushback-ms").is_some());
    // The method has no class, so it is unsafe to retry a call that may have run.
    let upstream = GrpcUpstream::start(|_| Reply::Status(14, vec![])).await;
    let balance = builder(&settings(|_| {}))
        .known_endpoints(in_service(&[upstream.address]))
        .build()
        .unwrap();
    let error = HealthClient::new(balance)
        .check(check_request(""))
        .await
        .unwrap_err();
    assert_eq!(
        (error.code(), upstream.received_calls()),
        (Code::Unknown, 1)
    );
    assert!(error.metadata().get("grpc-retry-pushback-ms").is_none());
    // The timeout set in tonic is forwarded to the upstream, and the call ends when it expires.
    let upstream = GrpcUpstream::start(|_| Reply::Stall).await;
    let mut request = tonic::Request::new(check_request(""));
    request.set_timeout(std::time::Duration::from_millis(150));
    let error = HealthClient::new(health_balance(&[upstream.address]))
        .check(request)
        .await
        .unwrap_err();
    assert_eq!(
        error.code(),
        Code::Unavailable,
        "a safe call is rejected, not failed: {error:?}"
    );
    assert!(upstream.next_call().await.time_left_ms() <= 150);
    wait_until("the upstream has no call in flight", || {
        upstream.in_flight() == 0
    })
    .await;
}

/// Guards against a stream being read on after the caller's library has rejected a message as too large.
#[tokio::test]
async fn message_over_the_limit_ends_its_stream() {
    let upstream = GrpcUpstream::start(|_| Reply::Ok(Bytes::from(vec![0; 300_000]))).await;
    let balance = health_balance(&[upstream.address]);
    let mut client = HealthClient::new(balance.clone()).max_decoding_message_size(100_000);
    let error = client.check(check_request("")).await.unwrap_err();
    assert_eq!(
        (error.code(), upstream.received_calls()),
        (Code::OutOfRange, 1)
    );
    wait_until("no call is open", || balance.open_calls() == 0).await;
}

/// A chain of hyper-util's client, hyper's server with the plug-in as its service, and an HTTP/1.1 upstream.
#[tokio::test]
async fn hyper_client_and_server_around_the_plug_in() {
    use woadstall_mock_servers::http1::{Reaction, Upstream, ok_response, overloaded_response};
    let count = std::sync::atomic::AtomicUsize::new(0);
    let upstream = Upstream::start(move |request| {
        match count.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % 2 {
            0 => Reaction::Respond(overloaded_response()),
            _ => Reaction::Respond(ok_response(
                &String::from_utf8(request.body.clone()).unwrap(),
            )),
        }
    });
    let builder = builder(&settings(|_| {})).protocol(Protocol::Http1);
    let balance = builder
        .known_endpoints(in_service(&[upstream.address]))
        .build()
        .unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let service = hyper_util::service::TowerToHyperService::new(balance.clone());
            let serving = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(tcp), service);
            tokio::spawn(serving);
        }
    });
    let client = hyper_util::client::legacy::Client::builder(TokioExecutor::new()).build_http();
    for number in 0..10 {
        let body = Full::new(Bytes::from(format!("reading {number}")));
        let request = Request::post(format!("http://{address}/post"))
            .body(body)
            .unwrap();
        let response = client.request(request).await.unwrap();
        assert_eq!(response.status(), 200);
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert_eq!(
            body,
            format!("reading {number}"),
            "each caller receives its own response"
        );
    }
    assert_eq!(
        upstream.count_requests(),
        20,
        "each request is rejected once and retried once, only by the plug-in"
    );
}
