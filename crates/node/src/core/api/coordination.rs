//! Parses requests and renders responses of the coordination service: locks, sequence numbers, keys
//! and watches.

use super::http::{HttpRequest, HttpResponse};
use super::request::RequestError;
use crate::core::coordination::CoordinationRequest;
use serde_json::{Value, json};
use woadstall_control::reader::{FieldReader, Findings};
use woadstall_coordination::command::{Call, Command, Query, group_of};
use woadstall_coordination::machine::{self, CoordinationMachine, WatchRequest};
use woadstall_coordination::outcome::Outcome;
use woadstall_coordination::state::{Event, GroupEvents};

/// Maximum length of the name of a lock, lock owner, sequence, key or group, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Maximum length of a value, in bytes.
const MAX_VALUE_BYTES: usize = 64 << 10;
/// Maximum duration of a lease: one day, in milliseconds.
const MAX_LEASE_MS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum time for which a watch waits for events, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;
/// Time for which a watch waits if the request specifies no time, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 2_000;

/// Path prefix of locks.
const LOCKS_PATH: &str = "/v1/locks/";
/// Path prefix of sequences.
const SEQUENCES_PATH: &str = "/v1/numbers/";
/// Path prefix of keys.
const KEYS_PATH: &str = "/v1/cells/";
/// Path prefix of watches.
const WATCHES_PATH: &str = "/v1/watch/";

/// Parses a request; `None` if the path does not belong to the coordination service.
///
/// # Errors
///
/// Fails if the method is unknown or if a name, a parameter or the body is invalid.
pub(super) fn parse(
    request: &HttpRequest,
    path: &str,
) -> Option<Result<CoordinationRequest, RequestError>> {
    let method = request.method.as_str();
    if let Some(lock) = path.strip_prefix(LOCKS_PATH) {
        Some(parse_lock(request, method, lock).map(command_request))
    } else if let Some(sequence) = path.strip_prefix(SEQUENCES_PATH) {
        Some(parse_sequence(method, sequence).map(command_request))
    } else if let Some(key) = path.strip_prefix(KEYS_PATH) {
        Some(parse_key(request, method, key))
    } else {
        let group = path.strip_prefix(WATCHES_PATH)?;
        Some(parse_watch(request, method, group))
    }
}

fn command_request(command: Command) -> CoordinationRequest {
    CoordinationRequest::Call(Call::Command(command))
}

fn parse_lock(request: &HttpRequest, method: &str, lock: &str) -> Result<Command, RequestError> {
    if !matches!(method, "POST" | "PUT" | "DELETE") {
        return Err(RequestError::UnknownMethod);
    }
    let body = read_document(request)?;
    let root = FieldReader::new(&body);
    let findings = &mut Findings::default();
    let lock = validate_name("(lock)", lock, findings);
    let owner = root.field("holder").string(findings);
    let owner = validate_name("holder", &owner, findings);
    let command = match method {
        "POST" => Command::AcquireLock {
            lock,
            owner,
            lease_ms: read_lease_ms(&root, findings),
        },
        "PUT" => Command::RenewLock {
            lock,
            owner,
            fencing_token: root.field("fence").integer(findings),
            lease_ms: read_lease_ms(&root, findings),
        },
        _ => Command::ReleaseLock {
            lock,
            owner,
            fencing_token: root.field("fence").integer(findings),
        },
    };
    reject_findings(command, findings)
}

fn parse_sequence(method: &str, sequence: &str) -> Result<Command, RequestError> {
    if method != "POST" {
        return Err(RequestError::UnknownMethod);
    }
    let findings = &mut Findings::default();
    let sequence = validate_name("(number)", sequence, findings);
    reject_findings(Command::NextNumber { sequence }, findings)
}

fn parse_key(
    request: &HttpRequest,
    method: &str,
    key: &str,
) -> Result<CoordinationRequest, RequestError> {
    let findings = &mut Findings::default();
    let key = validate_name("(key)", key, findings);
    match method {
        "GET" => {
            let query = reject_findings(Query::Get { key }, findings)?;
            Ok(CoordinationRequest::Call(Call::Query(query)))
        }
        "PUT" => parse_put(request, key, findings).map(command_request),
        _ => Err(RequestError::UnknownMethod),
    }
}

fn parse_put(
    request: &HttpRequest,
    key: String,
    findings: &mut Findings,
) -> Result<Command, RequestError> {
    let body = read_document(request)?;
    let root = FieldReader::new(&body);
    let if_revision = root.field("if_revision");
    let put = Command::Put {
        key,
        value: read_value(&root.field("value"), findings),
        if_revision: if_revision.value().map(|_| if_revision.integer(findings)),
    };
    reject_findings(put, findings)
}

fn parse_watch(
    request: &HttpRequest,
    method: &str,
    group: &str,
) -> Result<CoordinationRequest, RequestError> {
    if method != "GET" {
        return Err(RequestError::UnknownMethod);
    }
    let findings = &mut Findings::default();
    let group = validate_name("(group)", group_of(group), findings);
    let after = read_parameter(request, "after", 0, findings);
    let wait_ms = read_parameter(request, "wait_ms", DEFAULT_WAIT_MS, findings).min(MAX_WAIT_MS);
    let watch = WatchRequest {
        group,
        after,
        wait_ms,
    };
    reject_findings(watch, findings).map(CoordinationRequest::Watch)
}

/// Reads a whole number from the query of a request.
fn read_parameter(request: &HttpRequest, name: &str, default: u64, findings: &mut Findings) -> u64 {
    let Some(text) = request.parameter(name) else {
        return default;
    };
    text.parse().unwrap_or_else(|_| {
        findings.add(name, "must be a whole number, 0 or more");
        default
    })
}

fn read_document(request: &HttpRequest) -> Result<Value, RequestError> {
    Ok(serde_json::from_slice(&request.body)?)
}

fn validate_name(path: &str, name: &str, findings: &mut Findings) -> String {
    if name.len() > MAX_NAME_BYTES {
        findings.add(path, format!("is longer than {MAX_NAME_BYTES} bytes"));
    }
    // For names from the body, `FieldReader` has already added the finding.
    if name.is_empty() && path.starts_with('(') {
        findings.add(path, "must not be empty");
    }
    name.to_owned()
}

fn read_lease_ms(root: &FieldReader<'_>, findings: &mut Findings) -> u64 {
    let field = root.field("hold_ms");
    let findings_before = findings.0.len();
    let lease_ms = field.integer(findings);
    if findings.0.len() == findings_before && !(1..=MAX_LEASE_MS).contains(&lease_ms) {
        findings.add(
            field.path(),
            format!("must be between 1 and {MAX_LEASE_MS}"),
        );
    }
    lease_ms
}

fn read_value(field: &FieldReader<'_>, findings: &mut Findings) -> String {
    let text = match field.value().map(Value::as_str) {
        Some(Some(text)) => text,
        Some(None) => {
            findings.add(field.path(), "must be a string");
            ""
        }
        None => {
            findings.add(field.path(), "is missing");
            ""
        }
    };
    if text.len() > MAX_VALUE_BYTES {
        let problem = format!("is longer than {MAX_VALUE_BYTES} bytes");
        findings.add(field.path(), problem);
    }
    text.to_owned()
}

fn reject_findings<T>(request: T, findings: &mut Findings) -> Result<T, RequestError> {
    if findings.is_empty() {
        Ok(request)
    } else {
        Err(RequestError::InvalidFields(std::mem::take(findings)))
    }
}

/// Renders a response. Status 412, 429 or 503 means that the call has not taken effect and never
/// will. Status 504 means that the outcome of the call is unknown.
pub(super) fn render(response: machine::Response) -> HttpResponse {
    match response {
        machine::Response::Executed(outcome) => render_outcome(outcome),
        machine::Response::Events(events) => {
            HttpResponse::json(200, render_events(&events).to_string())
        }
        machine::Response::HistoryCompacted => {
            HttpResponse::text(410, "the history begins later\n")
        }
        machine::Response::NotExecuted => {
            HttpResponse::text(503, "not executed; ask another machine\n")
        }
        machine::Response::Overloaded => HttpResponse::text(429, "too many requests wait here\n"),
        machine::Response::Unknown => unknown_outcome(),
    }
}

/// Builds the response to a call whose outcome is unknown: the call may have been executed or may
/// still be executed.
pub(super) fn unknown_outcome() -> HttpResponse {
    HttpResponse::text(504, "the outcome is not known\n")
}

fn render_outcome(outcome: Outcome) -> HttpResponse {
    let (status, body) = match outcome {
        Outcome::LockAcquired { fencing_token } => (200, json!({ "fence": fencing_token })),
        Outcome::LockRenewed | Outcome::LockReleased => (200, json!({})),
        Outcome::LockHeld => (409, json!({ "error": "another caller holds the lock" })),
        Outcome::LockLost => (409, json!({ "error": "the lease has ended" })),
        Outcome::Number { value } => (200, json!({ "value": value })),
        Outcome::Put { revision } | Outcome::GroupRevision { revision } => {
            (200, json!({ "revision": revision }))
        }
        Outcome::RevisionConflict { current } => (412, json!({ "revision": current })),
        Outcome::LimitReached => (429, json!({ "error": "there is no room for more" })),
        Outcome::Value { value, revision } => {
            (200, json!({ "value": value, "revision": revision }))
        }
        Outcome::KeyNotFound => (404, json!({ "error": "no such key" })),
    };
    HttpResponse::json(status, body.to_string())
}

fn render_events(group_events: &GroupEvents) -> Value {
    let events: Vec<Value> = group_events.events.iter().map(render_event).collect();
    json!({ "events": events, "revision": group_events.revision })
}

fn render_event(event: &Event) -> Value {
    json!({ "name": &*event.key, "value": &*event.value, "revision": event.revision })
}

/// Returns the status of the coordination service on a machine as JSON. The keys are documented in
/// `docs/system-operators.md`.
pub(in crate::core) fn coordination_status(machine: &CoordinationMachine) -> String {
    let replica = machine.replica();
    let status = machine.status();
    let counters = status.counters;
    json!({
        "id": format!("{:x}", replica.id()),
        "leader": replica.leader().map(|leader| format!("{leader:x}")),
        "in_quorum": machine.in_quorum(),
        "term": replica.term(),
        "commit": replica.commit_index(),
        "last": replica.log().last_index(),
        "voters": replica.membership().all_voters().map(|voter| &voter.address).collect::<Vec<_>>(),
        "is_voter": replica.membership().is_voter(replica.id()),
        "leases": status.state.leases,
        "sequences": status.state.sequences,
        "keys": status.state.keys,
        "events": status.state.events,
        "bytes": status.state.bytes,
        "pending_calls": status.pending_calls,
        "queued_calls": status.queued_calls,
        "uncommitted_entries": status.uncommitted_entries,
        "watches": status.watches,
        "executed": counters.executed,
        "not_executed": counters.not_executed,
        "overloaded": counters.overloaded,
        "unknown": counters.unknown,
        "watches_with_events": counters.watches_with_events,
        "watches_without_events": counters.watches_without_events,
        "watches_compacted": counters.watches_compacted,
        "batches": counters.batches,
        "expired_leases": counters.expired_leases,
    })
    .to_string()
}
