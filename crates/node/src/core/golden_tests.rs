//! Compares the registration files, the initial state and the HTTP responses of a core process byte
//! for byte with golden files.

use super::api::{self, ApiRequest, ApiResponse};
use super::api_server::{self, RequestQueues};
use super::bootstrap::{initial_member_id, initial_state};
use super::event::Event;
use super::registration_store::RegistrationStore;
use crate::golden::{assert_golden, escape};
use crate::settings::NodeSettings;
use serde_json::json;
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc;
use woadstall_consensus::{DurableState, Member};
use woadstall_control::machine::{
    CallResponse, ControlMachine, MachineSettings, ResolveResponse, founding_snapshot,
};
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_control::wire::MachineInfo;

const WRITE_TIME: Duration = Duration::from_millis(1_764_600_000_123);

fn registration(id: &str, status: UpstreamStatus) -> Registration {
    Registration {
        id: id.to_owned(),
        service: "llm".to_owned(),
        address: "10.1.0.1:80".to_owned(),
        zone: "a-1".to_owned(),
        capacity: 4,
        sequence: 17,
        status,
        slow_start_remaining_ms: 1_500,
        termination_remaining_ms: 2_500,
        age_ms: 350,
    }
}

fn registrations() -> Vec<Registration> {
    vec![
        registration("i-1", UpstreamStatus::Ready),
        registration("i-2", UpstreamStatus::TimedOut),
        registration("i-3", UpstreamStatus::Draining),
        registration("i-4", UpstreamStatus::Deregistered),
    ]
}

/// Enough registrations for a frame of more than a kilobyte, which is compressed.
fn many_registrations() -> Vec<Registration> {
    (0..40)
        .map(|number| registration(&format!("i-{number}"), UpstreamStatus::Ready))
        .collect()
}

#[test]
fn registration_files_are_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = RegistrationStore::open(folder.path(), WRITE_TIME);
    store.save(&registrations(), WRITE_TIME).unwrap();
    store.save(&many_registrations(), WRITE_TIME).unwrap();
    let written = |name: &str| std::fs::read(folder.path().join(name)).unwrap();
    assert_golden("registrations-1", &written("registrations-1"));
    assert_golden("registrations-0", &written("registrations-0"));
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 2);
}

#[test]
fn registration_files_are_read_back() {
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    for (name, expected) in [
        ("registrations-1", registrations()),
        ("registrations-0", many_registrations()),
    ] {
        let folder = tempfile::tempdir().unwrap();
        std::fs::copy(golden.join(name), folder.path().join(name)).unwrap();
        let (_, restored) = RegistrationStore::open(folder.path(), WRITE_TIME);
        assert_eq!(restored, expected, "{name}");
    }
    let (_, newest) = RegistrationStore::open(&golden, WRITE_TIME + Duration::from_millis(7));
    assert_eq!(newest.len(), 40, "the second write is newer");
    assert_eq!(newest[0].age_ms, 357);
}

fn settings(document: serde_json::Value) -> NodeSettings {
    NodeSettings::from_document(&document).unwrap()
}

fn settings_with_seeds(bootstrap: bool) -> NodeSettings {
    settings(json!({
        "node": "m-1", "ip": "10.1.0.1", "zone": "a-1", "region": "a", "ephemeral_ports": [7001, 7009],
        "seeds": ["10.1.0.1:7000", "10.2.0.1:7000", "10.3.0.1:7000"], "bootstrap": bootstrap,
    }))
}

#[test]
fn initial_members_keep_their_ids_and_initial_state() {
    let control_address: SocketAddr = "10.2.0.1:7000".parse().unwrap();
    let state = initial_state(&settings_with_seeds(true), control_address);
    let mut text = format!(
        "id={:x} term={} vote={} commit={}\n",
        state.id, state.term, state.voted_for, state.commit_index
    );
    let snapshot = state.log.snapshot();
    writeln!(
        text,
        "snapshot index={} term={}",
        snapshot.index, snapshot.term
    )
    .unwrap();
    writeln!(
        text,
        "last={} state={}",
        state.log.last_index(),
        snapshot.state.escape_ascii()
    )
    .unwrap();
    for member in snapshot.membership.all_voters() {
        writeln!(text, "member {:x} {}", member.id, member.address).unwrap();
    }
    assert_golden("founder.txt", text.as_bytes());
    assert_eq!(state.id, initial_member_id(control_address));
}

#[test]
fn joining_machines_start_without_members() {
    let joining = [(false, "10.2.0.1:7000"), (true, "10.4.0.1:7000")];
    for (bootstrap, control_address) in joining {
        let state = initial_state(
            &settings_with_seeds(bootstrap),
            control_address.parse().unwrap(),
        );
        assert_eq!(
            (
                state.term,
                state.voted_for,
                state.commit_index,
                state.log.last_index()
            ),
            (0, 0, 0, 0)
        );
        assert_eq!(state.log.snapshot().membership.all_voters().count(), 0);
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Starts an API server that gives the same response to each request. Descriptions of the received
/// requests are sent to the returned channel.
fn start_api(response: ApiResponse) -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    let (events, mut event_queue) = mpsc::unbounded_channel();
    let control_address = free_address();
    let queues = RequestQueues {
        control: events,
        coordination: None,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let settings = settings_with_seeds(true);
    let start = api_server::start(&settings, control_address, queues);
    runtime.block_on(start).unwrap();
    thread::spawn(move || runtime.block_on(std::future::pending::<()>()));
    let (descriptions, received_requests) = std::sync::mpsc::channel();
    thread::spawn(move || {
        while let Some(event) = event_queue.blocking_recv() {
            if let Event::Api {
                request, responder, ..
            } = event
            {
                descriptions.send(describe(request)).ok();
                responder.send(response.clone()).ok();
            }
        }
    });
    (control_address, received_requests)
}

fn describe(request: ApiRequest) -> String {
    use woadstall_control::command::Command;
    let escape = |body: &[u8]| body.escape_ascii().to_string();
    match request {
        ApiRequest::Command(Command::Put { base, body }) => {
            format!("put base={base} body={}", escape(&body))
        }
        ApiRequest::Command(Command::Patch { base, body }) => {
            format!("patch base={base} body={}", escape(&body))
        }
        ApiRequest::Command(Command::Evacuate { zone }) => format!("evacuate zone={zone}"),
        ApiRequest::Command(Command::EndEvacuation { zone }) => format!("return zone={zone}"),
        ApiRequest::ReadConfiguration => "read configuration".to_owned(),
        ApiRequest::Register(registration) => {
            let Registration {
                id,
                service,
                address,
                zone,
                capacity,
                sequence,
                status,
                slow_start_remaining_ms,
                termination_remaining_ms,
                age_ms,
            } = registration;
            format!(
                "register id={id} service={service} address={address} zone={zone} capacity={capacity} \
                 sequence={sequence} status={status:?} cold_remaining_ms={slow_start_remaining_ms} \
                 remaining_ms={termination_remaining_ms} age_ms={age_ms}"
            )
        }
        ApiRequest::Deregister(id) => format!("deregister id={id}"),
        ApiRequest::Resolve(request) => format!(
            "resolve client={} host={} zone={} region={}",
            request.client, request.host, request.zone, request.region
        ),
        ApiRequest::Status => "status".to_owned(),
        ApiRequest::CoordinationStatus => "coordination status".to_owned(),
        ApiRequest::Coordination(request) => format!("{request:?}"),
    }
}

/// Sends a request and describes the status, the content type and the body of the response.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    if_match: Option<&str>,
    body: &str,
) -> String {
    let method = method.parse().unwrap();
    let mut request =
        attohttpc::RequestBuilder::try_new(method, format!("http://{address}{path}")).unwrap();
    if let Some(value) = if_match {
        request = request.header("if-match", value);
    }
    let response = request.text(body).send().unwrap();
    let content_type = response
        .headers()
        .get("content-type")
        .map(|value| value.to_str().unwrap().to_owned());
    let status = response.status().as_u16();
    format!(
        "{status} {} {}",
        content_type.unwrap_or_default(),
        escape(&response.bytes().unwrap())
    )
}

#[test]
fn request_parsing_is_unchanged() {
    let registration_body = |state: &str| {
        format!(
            r#"{{"service":"llm","address":"10.1.0.1:80","zone":"a-1","capacity":4,"sequence":17,{state}"cold_remaining_ms":1500.7,"remaining_ms":2500}}"#
        )
    };
    let minimal = r#"{"service":"llm","address":"10.1.0.1:80","zone":"a-1","state":"ready"}"#;
    let invalid = r#"{"service":"","address":"10.1.0.1","zone":1,"state":"asleep","capacity":-1}"#;
    let (ready, draining) = (
        registration_body(r#""state":"ready","#),
        registration_body(r#""state":"draining","#),
    );
    let without_state = registration_body("");
    let calls = [
        ("PUT", "/v1/instances/i-1", None, ready.as_str()),
        ("PUT", "/v1/instances/i-1", None, draining.as_str()),
        ("PUT", "/v1/instances/i-1", None, without_state.as_str()),
        ("PUT", "/v1/instances/i-1", None, minimal),
        ("PUT", "/v1/instances/i-1", None, invalid),
        ("PUT", "/v1/instances/i-1", None, "{"),
        ("PUT", "/v1/instances/i-1", None, "{}"),
        ("DELETE", "/v1/instances/i-1", None, ""),
        ("POST", "/v1/instances/i-1", None, ""),
        ("GET", "/v1/config", None, ""),
        ("PUT", "/v1/config", Some("3"), r#"{"generation":4}"#),
        ("PUT", "/v1/config", Some("\"3\""), r#"{"generation":4}"#),
        ("PUT", "/v1/config", Some("W/3"), r#"{"generation":4}"#),
        ("PUT", "/v1/config", None, r#"{"generation":4}"#),
        ("PUT", "/v1/config", Some("3"), "{"),
        ("PATCH", "/v1/config", Some("3"), r#"{"routes":{}}"#),
        ("PATCH", "/v1/config", None, r#"{"routes":{}}"#),
        ("DELETE", "/v1/config", None, ""),
        ("POST", "/v1/evacuations/a-1", None, ""),
        ("DELETE", "/v1/evacuations/a-1", None, ""),
        ("PUT", "/v1/evacuations/a-1", None, ""),
        (
            "GET",
            "/v1/resolve?name=shop.example&zone=a-1&region=a",
            None,
            "",
        ),
        ("GET", "/v1/resolve", None, ""),
        ("POST", "/v1/resolve", None, ""),
        ("GET", "/v1/status", None, ""),
        ("PUT", "/v1/status", None, ""),
        ("GET", "/v1/other", None, ""),
        ("GET", "/", None, ""),
    ];
    let (address, requests) = start_api(ApiResponse::Machine(CallResponse::Acknowledged));
    let mut text = String::new();
    for (method, path, if_match, body) in calls {
        let response = call(address, method, path, if_match, body);
        let request = requests.try_recv().unwrap_or_else(|_| "-".to_owned());
        writeln!(
            text,
            "{method} {path} if-match={if_match:?} {body}\n  call: {request}\n  answer: {response}"
        )
        .unwrap();
    }
    assert_golden("api-calls.txt", text.as_bytes());
}

#[test]
fn oversized_bodies_are_rejected() {
    let (address, _received) = start_api(ApiResponse::Machine(CallResponse::Acknowledged));
    let body = format!("\"{}\"", "x".repeat(6 << 20));
    let response = call(address, "PUT", "/v1/config", Some("3"), &body);
    assert_eq!(
        response,
        "413 text/plain; charset=utf-8 the body is too large\n"
    );
}

#[test]
fn responses_are_unchanged() {
    let addresses = vec!["10.1.0.2:80".to_owned(), "10.1.0.3:80".to_owned()];
    let responses = [
        ("done", ApiResponse::Machine(CallResponse::Acknowledged)),
        (
            "conflict",
            ApiResponse::Machine(CallResponse::Conflict { current: 7 }),
        ),
        (
            "invalid",
            ApiResponse::Machine(CallResponse::Invalid {
                findings: "routes[0]: is missing\n".to_owned(),
            }),
        ),
        (
            "document",
            ApiResponse::Machine(CallResponse::Document(br#"{"generation":3}"#.to_vec())),
        ),
        ("unclear", ApiResponse::Machine(CallResponse::Indeterminate)),
        (
            "registered",
            ApiResponse::Registered {
                heartbeat_url: "http://10.1.0.1:7000/v1/instances/i-1".to_owned(),
            },
        ),
        (
            "balancers",
            ApiResponse::Balancers(ResolveResponse {
                addresses,
                ttl_s: 5,
            }),
        ),
        (
            "no balancers",
            ApiResponse::Balancers(ResolveResponse {
                addresses: Vec::new(),
                ttl_s: 5,
            }),
        ),
        ("status", ApiResponse::Status(r#"{"id":"1"}"#.to_owned())),
    ];
    let mut text = String::new();
    for (name, response) in responses {
        let (address, _received) = start_api(response);
        writeln!(
            text,
            "{name}: {}",
            call(address, "GET", "/v1/status", None, "")
        )
        .unwrap();
    }
    assert_golden("api-answers.txt", text.as_bytes());
}

fn machine(seeds: &[&str]) -> ControlMachine {
    let member = Member {
        id: 0x5eed,
        address: "10.1.0.1:7001".to_owned(),
    };
    let others = (1_u64..).zip(seeds);
    let mut members: Vec<Member> = others
        .map(|(id, address)| Member {
            id,
            address: (*address).to_owned(),
        })
        .collect();
    members.push(member.clone());
    let settings = MachineSettings {
        machine: MachineInfo {
            member,
            zone: "a-1".to_owned(),
            region: "a".to_owned(),
            control_address: "10.1.0.1:7000".to_owned(),
        },
        seeds: vec!["10.2.0.1:7001".to_owned()],
        zones: [("a-1".to_owned(), "a".to_owned())].into(),
        heartbeat_ms: 1_200,
        tolerated_failures: 1,
        incarnation: 9,
    };
    ControlMachine::new(
        settings,
        DurableState::new(0x5eed, founding_snapshot(&members)),
        0,
        1,
    )
}

#[test]
fn the_status_is_unchanged() {
    let mut machine = machine(&["10.2.0.1:7001", "10.3.0.1:7001"]);
    assert_golden("status-first.json", api::status(&machine, 0).as_bytes());
    machine.restore_registrations(registrations());
    machine.tick(100);
    assert_golden(
        "status-registrations.json",
        api::status(&machine, 100).as_bytes(),
    );
}
