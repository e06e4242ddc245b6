//! The calls of operators, upstreams and clients over HTTP.

use super::{CoreError, Event, Events, Reply};
use crate::settings::NodeSettings;
use rouille::{Request, Response, Server};
use serde_json::{Value, json};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::{Duration, Instant};
use woadstall_control::command::Command;
use woadstall_control::machine::{CallResponse, ControlMachine, ResolveRequest, ResolveResponse};
use woadstall_control::reader::{FieldReader, Findings};
use woadstall_control::registry::{Registration, UpstreamStatus};

/// How long a call waits for its answer; the machine itself gives up a little sooner.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Threads that answer calls. Some wait for a quorum; at most eight orders are under way at a time.
const WORKERS: usize = 24;
/// Bytes of a call's body at most.
const MOST_BODY: u64 = 6 << 20;

/// A call.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    /// An operator's order.
    Order(Command),
    /// An operator reads the configuration.
    ReadConfiguration,
    /// An upstream's heartbeat.
    Register(Registration),
    /// An upstream leaves.
    Deregister(String),
    /// A client asks where to go.
    Resolve(ResolveRequest),
    /// An operator asks how the machine stands.
    Status,
}

/// Serves control and directory, each on its address.
pub(super) fn start(
    settings: &NodeSettings,
    control: SocketAddr,
    events: &Events,
) -> Result<(), CoreError> {
    let addresses = std::iter::once(control).chain(
        settings
            .listens("directory")
            .filter(|other| *other != control),
    );
    for address in addresses {
        let events = events.clone();
        let server = Server::new(address, move |request| answer(request, &events));
        let server = server
            .map(|server| server.pool_size(WORKERS))
            .map_err(|source| CoreError::Io {
                what: format!("address {address}"),
                source: std::io::Error::other(source.to_string()),
            })?;
        thread::spawn(move || server.run());
    }
    Ok(())
}

fn answer(request: &Request, events: &Events) -> Response {
    let call = match read_call(request) {
        Ok(call) => call,
        Err(response) => return response,
    };
    let (sender, receiver) = sync_channel(1);
    if events
        .send(Event::Call {
            call,
            read_at: Instant::now(),
            reply: sender,
        })
        .is_err()
    {
        return unclear();
    }
    match receiver.recv_timeout(PATIENCE) {
        Ok(reply) => response_of(reply),
        Err(_) => unclear(),
    }
}

fn read_call(request: &Request) -> Result<Call, Response> {
    let path = request.url();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        ("PUT", ["v1", "instances", id]) => {
            read_registration(id, &json_body(request)?).map(Call::Register)
        }
        ("DELETE", ["v1", "instances", id]) => Ok(Call::Deregister((*id).to_owned())),
        ("GET", ["v1", "config"]) => Ok(Call::ReadConfiguration),
        ("PUT", ["v1", "config"]) => {
            let (base, body) = change(request)?;
            Ok(Call::Order(Command::Put { base, body }))
        }
        ("PATCH", ["v1", "config"]) => {
            let (base, body) = change(request)?;
            Ok(Call::Order(Command::Patch { base, body }))
        }
        ("POST", ["v1", "evacuations", zone]) => Ok(Call::Order(Command::Evacuate {
            zone: (*zone).to_owned(),
        })),
        ("DELETE", ["v1", "evacuations", zone]) => Ok(Call::Order(Command::EndEvacuation {
            zone: (*zone).to_owned(),
        })),
        ("GET", ["v1", "resolve"]) => {
            let parameter = |name: &str| request.get_param(name).unwrap_or_default();
            Ok(Call::Resolve(ResolveRequest {
                client: request.remote_addr().ip().to_string(),
                host: parameter("name"),
                zone: parameter("zone"),
                region: parameter("region"),
            }))
        }
        ("GET", ["v1", "status"]) => Ok(Call::Status),
        (
            _,
            ["v1", "instances", _]
            | ["v1", "evacuations", _]
            | ["v1", "config" | "resolve" | "status"],
        ) => Err(text(405, "no such method here\n")),
        _ => Err(text(404, "no such path\n")),
    }
}

/// The version that a change builds on, and the change. What can't be read at all is refused here and is never an order.
fn change(request: &Request) -> Result<(u64, Vec<u8>), Response> {
    let base = request
        .header("If-Match")
        .map(|value| value.trim().trim_matches('"').parse());
    let Some(Ok(base)) = base else {
        return Err(text(
            400,
            "If-Match must hold the version that this builds on\n",
        ));
    };
    let body = whole_body(request)?;
    serde_json::from_slice::<serde::de::IgnoredAny>(&body)
        .map_err(|error| text(400, &format!("(document): can't be read: {error}\n")))?;
    Ok((base, body))
}

fn whole_body(request: &Request) -> Result<Vec<u8>, Response> {
    let mut body = Vec::new();
    let reader = request.data().ok_or_else(|| text(400, "no body\n"))?;
    let read = reader.take(MOST_BODY + 1).read_to_end(&mut body);
    read.map_err(|error| text(400, &format!("the body can't be read: {error}\n")))?;
    if body.len() as u64 > MOST_BODY {
        return Err(text(413, "the body is too large\n"));
    }
    Ok(body)
}

fn json_body(request: &Request) -> Result<Value, Response> {
    let body = whole_body(request)?;
    serde_json::from_slice(&body)
        .map_err(|error| text(400, &format!("the body can't be read: {error}\n")))
}

fn read_registration(id: &str, body: &Value) -> Result<Registration, Response> {
    let findings = &mut Findings::default();
    let root = FieldReader::new(body);
    let state = root.field("state");
    let status = match state.string(findings).as_str() {
        "ready" | "" => UpstreamStatus::Ready,
        "draining" => UpstreamStatus::Draining,
        other => {
            findings.add(state.path(), format!("{other:?} is no state"));
            UpstreamStatus::Ready
        }
    };
    let registration = Registration {
        id: id.to_owned(),
        service: root.field("service").string(findings),
        address: root.field("address").string(findings),
        zone: root.field("zone").string(findings),
        capacity: root.field("capacity").integer_or(1, findings),
        sequence: root.field("sequence").integer_or(0, findings),
        status,
        slow_start_remaining_ms: root.field("cold_remaining_ms").number_or(0.0, findings) as u64,
        remaining_ms: root.field("remaining_ms").number_or(0.0, findings) as u64,
        age_ms: 0,
    };
    if !registration.address.is_empty() && registration.address.parse::<SocketAddr>().is_err() {
        findings.add("address", "is no address with a port");
    }
    if findings.is_empty() {
        Ok(registration)
    } else {
        Err(text(400, &findings.to_string()))
    }
}

fn response_of(reply: Reply) -> Response {
    match reply {
        Reply::Answer(CallResponse::Acknowledged) => json_text(200, "{}".to_owned()),
        Reply::Registered(address) => {
            json_text(200, json!({ "heartbeat_url": address }).to_string())
        }
        Reply::Answer(CallResponse::Conflict { current }) => json_text(
            412,
            json!({ "error": "another version is current", "generation": current }).to_string(),
        ),
        Reply::Answer(CallResponse::Invalid { findings }) => text(400, &findings),
        Reply::Answer(CallResponse::Document(document)) => {
            Response::from_data("application/json", document)
        }
        Reply::Answer(CallResponse::Indeterminate) => unclear(),
        Reply::Balancers(ResolveResponse { addresses, .. }) if addresses.is_empty() => {
            text(503, "no balancer is known\n")
        }
        Reply::Balancers(ResolveResponse { addresses, ttl_s }) => json_text(
            200,
            json!({ "addresses": addresses, "ttl_s": ttl_s }).to_string(),
        ),
        Reply::Status(status) => json_text(200, status),
    }
}

/// How a machine stands, as JSON.
pub(super) fn status(machine: &ControlMachine, now: u64) -> String {
    let replica = machine.replica();
    let members: Vec<Value> = replica
        .membership()
        .all_voters()
        .map(|member| json!({ "id": format!("{:x}", member.id), "address": member.address }))
        .collect();
    let machines: Vec<Value> = machine
        .machines()
        .iter()
        .map(|other| json!({ "address": other.member.address, "zone": other.zone, "control": other.control }))
        .collect();
    let registrations: Vec<Value> = machine
        .registry()
        .all(now)
        .iter()
        .map(|upstream| {
            json!({
                "id": upstream.id, "service": upstream.service, "address": upstream.address, "zone": upstream.zone,
                "status": upstream.status.to_string(), "cold_remaining_ms": upstream.slow_start_remaining_ms,
            })
        })
        .collect();
    json!({
        "id": format!("{:x}", replica.id()),
        "leader": replica.leader().map(|leader| format!("{leader:x}")),
        "in_quorum": machine.in_quorum(),
        "term": replica.term(),
        "commit": replica.commit_index(),
        "last": replica.log().last_index(),
        "generation": machine.state().generation(),
        "evacuated": machine.state().evacuated,
        "members": members,
        "machines": machines,
        "readers": machine.subscriber_names().collect::<Vec<_>>(),
        "upstreams": registrations,
    })
    .to_string()
}

/// Nobody can tell now: the caller asks again, here or elsewhere.
fn unclear() -> Response {
    text(503, "no clear answer; ask again\n")
}

fn text(code: u16, text: &str) -> Response {
    Response::text(text.to_owned()).with_status_code(code)
}

/// A response with JSON that is written already.
fn json_text(code: u16, text: String) -> Response {
    Response::from_data("application/json", text).with_status_code(code)
}
