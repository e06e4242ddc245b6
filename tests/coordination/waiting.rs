//! Tests of many concurrent watches at one server, and of watches whose clients disconnect.

use super::{CALLER_TIMEOUT, START_TIMEOUT, call_core, call_until_executed, program_path};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::Message;
use woadstall_mock_servers::system::System;

/// Number of concurrently pending watches.
const WATCHES: usize = 300;
/// Number of calls while the watches are pending.
const CALLS: usize = 20;

fn put(system: &System, value: &str) -> u64 {
    let body = json!({ "value": value });
    let answer = call_until_executed(system, "PUT", "/v1/cells/g1.a", &body);
    answer.body["revision"].as_u64().expect("a revision")
}

/// Opens a connection and sends a watch over it.
fn start_watch(system: &System, after: u64, wait: Duration) -> TcpStream {
    let mut stream = TcpStream::connect(system.control(0)).expect("a connection");
    let text = format!(
        "GET /v1/watch/g1.?after={after}&wait_ms={} HTTP/1.1\r\nHost: control.example\r\n\r\n",
        wait.as_millis()
    );
    stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    stream
}

fn status(system: &System, field: &str) -> u64 {
    let status = call_core(system, 0, "GET", "/v1/status/coordination", &Value::Null);
    let status = status.expect("a status").body;
    status[field].as_u64().unwrap_or_default()
}

fn wait_for_watches(system: &System, count: usize) {
    let begin = Instant::now();
    while usize::try_from(status(system, "watches")) != Ok(count) {
        assert!(begin.elapsed() < START_TIMEOUT, "{count} watches wait");
    }
}

#[test]
fn many_watches_do_not_delay_calls_and_all_receive_the_event() {
    let system = System::start(&program_path(), 0);
    let after = put(&system, "one");
    let wait = Duration::from_secs(20);
    let watches: Vec<_> = (0..WATCHES)
        .map(|_| start_watch(&system, after, wait))
        .collect();
    wait_for_watches(&system, WATCHES);
    for _ in 0..CALLS {
        let begin = Instant::now();
        let answer = call_core(&system, 0, "POST", "/v1/numbers/n1", &json!({}));
        assert_eq!(answer.expect("an answer").status, 200);
        assert!(begin.elapsed() < CALLER_TIMEOUT, "{:?}", begin.elapsed());
    }
    let revision = put(&system, "two");
    let event = json!({ "name": "g1.a", "value": "two", "revision": revision });
    let expected = json!({ "events": [event], "revision": revision });
    for watch in watches {
        let answer = Message::read(&mut BufReader::new(watch)).expect("an answer");
        assert_eq!(answer.status(), 200);
        let body: Value = serde_json::from_slice(&answer.body).expect("a document");
        assert_eq!(body, expected);
    }
    wait_for_watches(&system, 0);
}

#[test]
fn a_watch_ends_when_its_client_disconnects() {
    let system = System::start(&program_path(), 0);
    let after = put(&system, "one");
    let wait = Duration::from_secs(30);
    let watches: Vec<_> = (0..WATCHES)
        .map(|_| start_watch(&system, after, wait))
        .collect();
    wait_for_watches(&system, WATCHES);
    drop(watches);
    wait_for_watches(&system, 0);
    assert_eq!(put(&system, "two"), after + 1);
}
