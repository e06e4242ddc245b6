//! Compares messages that a front sends byte for byte with golden files: datagrams, feed
//! subscriptions, requests to upstreams and responses that the front generates itself.

use super::attempt::{AttemptResult, ForwardedRequest, ResponseMode, attempt};
use super::response::{ClientResponse, service_unavailable, text_response};
use super::state::Front;
use super::{feeds, heartbeat, load_reports};
use crate::golden::{assert_golden, escape};
use crate::settings::NodeSettings;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use serde_json::json;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{Instant, timeout};
use woadstall_consensus::Member;
use woadstall_control::configuration::Configuration;
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_control::state::ControlState;
use woadstall_control::wire::{HEADER_BYTES, MachineInfo, Packet, payload_length};
use woadstall_inbound::lock;
use woadstall_routing::{Decision, Prompt, Query, Target};

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Creates a front that expects the internal protocol of core machines on `internal_port`.
fn new_front(internal_port: u16) -> Arc<Front> {
    let document = json!({
        "node": "m-1", "ip": LOCAL, "zone": "a-1", "region": "a", "zones": { "a-1": "a", "a-2": "a" },
        "ephemeral_ports": [internal_port, internal_port], "seeds": ["127.0.0.1:7000"],
        "listen": { "front": "10.1.0.1:80" },
    });
    Arc::new(Front::new(
        NodeSettings::from_document(&document).unwrap(),
        0,
    ))
}

async fn receive_datagram(socket: &UdpSocket) -> Vec<u8> {
    let mut buffer = [0; 2_048];
    let length = timeout(RECEIVE_TIMEOUT, socket.recv(&mut buffer))
        .await
        .unwrap()
        .unwrap();
    buffer[..length].to_vec()
}

fn control_state(generation: u64) -> ControlState {
    let document = json!({
        "generation": generation,
        "routes": [{
            "name": "r", "host": "shop.example", "path_prefix": "/", "route_type": "safe", "timeout_ms": 5000,
            "target_latency_ms": 500, "priority": 1, "service": "llm", "max_attempts": 2, "session_affinity": true,
        }],
        "services": [{ "name": "llm", "max_connections": 100 }],
    });
    let mut state = ControlState::default();
    state.configuration = Some(Arc::new(Configuration::read(&document).unwrap()));
    state
}

#[tokio::test]
async fn heartbeats_are_unchanged() {
    let socket = UdpSocket::bind((LOCAL, 0)).await.unwrap();
    let front = new_front(socket.local_addr().unwrap().port());
    heartbeat::start(&front);
    for (sequence, name) in [(1, "heartbeat-first"), (2, "heartbeat-ready")] {
        let frame = receive_datagram(&socket).await;
        let Packet::BalancerHeartbeat(mut heartbeat) = Packet::decode_datagram(&frame).unwrap()
        else {
            panic!()
        };
        assert_eq!(heartbeat.sequence, sequence);
        // The incarnation is the start time, so a fixed value replaces it.
        assert!(heartbeat.incarnation > 1_700_000_000_000);
        heartbeat.incarnation = 1_764_600_000_123;
        assert_golden(name, &Packet::BalancerHeartbeat(heartbeat).encode());
        front.update_control_state(|current| *current = control_state(3));
    }
}

fn control_machine(address: SocketAddr, region: &str) -> MachineInfo {
    MachineInfo {
        member: Member {
            id: 1,
            address: address.to_string(),
        },
        zone: format!("{region}-1"),
        region: region.to_owned(),
        control_address: "10.1.0.1:7000".to_owned(),
    }
}

fn registration(id: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        service: "llm".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        zone: "a-1".to_owned(),
        capacity: 4,
        sequence: 1,
        status: UpstreamStatus::Ready,
        slow_start_remaining_ms: 0,
        termination_remaining_ms: 0,
        age_ms: 0,
    }
}

#[tokio::test]
async fn load_reports_are_unchanged() {
    let socket = UdpSocket::bind((LOCAL, 0)).await.unwrap();
    let front = new_front(1);
    let address = socket.local_addr().unwrap();
    front.set_core_machines(vec![
        control_machine("127.0.0.1:9".parse().unwrap(), "b"),
        control_machine(address, "a"),
    ]);
    let configuration = control_state(3).configuration.unwrap();
    {
        let mut router = lock(&front.router);
        router.register(0, &registration("i-1"));
        let prompt = Prompt {
            total_tokens: 20_000,
            prefix_hash: Some(77),
            prefix_tokens: 15_000,
        };
        let (route, service) = (&configuration.routes[0], &configuration.services["llm"]);
        let decision = router.choose(
            front.now(),
            &Query {
                route,
                service,
                prompt,
                tried: &[],
            },
        );
        assert!(matches!(decision, Decision::Forward(_)));
    }
    load_reports::start(&front);
    let frame = receive_datagram(&socket).await;
    let Packet::LoadReport(mut report) = Packet::decode_datagram(&frame).unwrap() else {
        panic!()
    };
    assert!(report.sequence > 1_700_000_000_000);
    report.sequence = 1_764_600_000_123;
    // The placement numbers are random, so a fixed value replaces them.
    report
        .placements
        .iter_mut()
        .for_each(|placement| placement.number = 5);
    assert_golden("load", &Packet::LoadReport(report).encode());
}

#[tokio::test]
async fn the_feed_subscription_is_unchanged() {
    let listener = TcpListener::bind((LOCAL, 0)).await.unwrap();
    let front = new_front(listener.local_addr().unwrap().port());
    feeds::start(&front);
    let (mut stream, _) = timeout(RECEIVE_TIMEOUT, listener.accept())
        .await
        .unwrap()
        .unwrap();
    let mut frame = vec![0; HEADER_BYTES];
    timeout(RECEIVE_TIMEOUT, stream.read_exact(&mut frame))
        .await
        .unwrap()
        .unwrap();
    let length = payload_length(frame[..].try_into().unwrap()).unwrap();
    frame.resize(HEADER_BYTES + length, 0);
    timeout(
        RECEIVE_TIMEOUT,
        stream.read_exact(&mut frame[HEADER_BYTES..]),
    )
    .await
    .unwrap()
    .unwrap();
    assert_golden("subscribe", &frame);
}

/// Reads the head of a request and a body of `body_bytes` bytes.
async fn read_request(stream: &mut TcpStream, body_bytes: usize) -> String {
    let mut bytes = Vec::new();
    loop {
        let mut buffer = [0; 4_096];
        let length = timeout(RECEIVE_TIMEOUT, stream.read(&mut buffer))
            .await
            .unwrap()
            .unwrap();
        assert!(length > 0, "{}", escape(&bytes));
        bytes.extend_from_slice(&buffer[..length]);
        let text = String::from_utf8(bytes.clone()).unwrap();
        if text
            .split_once("\r\n\r\n")
            .is_some_and(|(_, rest)| rest.len() >= body_bytes)
        {
            return text;
        }
    }
}

#[tokio::test]
async fn requests_to_upstreams_are_unchanged() {
    let listener = TcpListener::bind((LOCAL, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let front = new_front(1);
    lock(&front.router).register(0, &registration("i-1"));
    let client_request = Request::builder()
        .method("POST")
        .uri("/safe/1?a=b")
        .header("host", "shop.example");
    let (head, ()) = client_request
        .header("request-id", "r-1")
        .header("x-other", "kept")
        .body(())
        .unwrap()
        .into_parts();
    let forwarded = ForwardedRequest {
        head,
        body: Bytes::from_static(b"{\"a\":1}"),
        id: HeaderValue::from_static("r-1"),
        priority: 2,
        deadline: Instant::now() + Duration::from_secs(4),
        response_mode: ResponseMode::Buffered,
    };
    let target = Target {
        id: "i-1".into(),
        address,
        zone: "a-1".into(),
        is_local_region: true,
        max_connections: 4,
        prefill_tokens: 0,
        prefill_backlog: 0,
        in_flight: 1,
    };
    let upstream = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let request = read_request(&mut stream, 7).await;
        let response = "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nresponse-stamp: s\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(response.as_bytes()).await.unwrap();
        request
    };
    let (result, request) = tokio::join!(attempt(&front, &forwarded, target), upstream);
    let AttemptResult::Complete(parts, body) = result else {
        panic!("the attempt has no complete response")
    };
    assert_eq!((parts.status, &body[..]), (StatusCode::OK, &b"ok"[..]));
    // The remaining time varies, so a fixed value replaces it.
    let lines: Vec<String> = request
        .split("\r\n")
        .map(|line| match line.strip_prefix("deadline: ") {
            Some(remaining_ms) => {
                assert!(
                    (3_000..=4_000).contains(&remaining_ms.parse::<u64>().unwrap()),
                    "{remaining_ms}"
                );
                "deadline: 3999".to_owned()
            }
            None => line.to_owned(),
        })
        .collect();
    assert_golden("request-to-upstream.txt", lines.join("\r\n").as_bytes());
}

async fn describe_response(response: ClientResponse) -> String {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    format!("{} {:?} {}\n", parts.status, parts.headers, escape(&body))
}

#[tokio::test]
async fn generated_responses_are_unchanged() {
    assert_eq!(
        describe_response(text_response(StatusCode::NOT_FOUND, "no such route\n")).await,
        "404 Not Found {} no such route\n\n"
    );
    assert_eq!(
        describe_response(service_unavailable(Duration::from_micros(1_200_400))).await,
        "503 Service Unavailable {\"retry-after\": \"1.200\"} not now\n\n"
    );
}
