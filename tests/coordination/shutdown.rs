//! Tests of calls and watches during SIGTERM, and of a reload during the start of a server.

use super::{START_TIMEOUT, call_until_executed, program_path};
use serde_json::{Value, json};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Instant;
use woadstall_mock_servers::http1::Message;
use woadstall_mock_servers::system::{System, call};

/// Number of concurrent clients while the process shuts down.
const CLIENTS: usize = 16;
/// Number of server starts that a reload interrupts.
const STARTS: usize = 8;

fn revision_after_put(system: &System) -> Value {
    let body = json!({ "value": "one" });
    call_until_executed(system, "PUT", "/v1/cells/g1.a", &body).body["revision"].clone()
}

/// Returns the number of watches that are pending at a server.
fn pending_watches(address: SocketAddr) -> Option<u64> {
    let status = call(address, "GET", "/v1/status/coordination", "", b"")?;
    let status: Value = serde_json::from_slice(&status.body).ok()?;
    status["watches"].as_u64()
}

#[test]
fn watches_are_answered_before_the_process_ends() {
    let mut system = System::start(&program_path(), 0);
    let revision = revision_after_put(&system);
    let address = system.control(0);
    let path = format!("/v1/watch/g1.?after={revision}&wait_ms=20000");
    let watches: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let path = path.clone();
            thread::spawn(move || call(address, "GET", &path, "", b""))
        })
        .collect();
    let begin = Instant::now();
    let expected = u64::try_from(CLIENTS).expect("a small number");
    while pending_watches(address) != Some(expected) {
        assert!(begin.elapsed() < START_TIMEOUT, "the watches wait");
    }
    system.core_process(0).signal("TERM");
    for watch in watches {
        let answer = watch.join().expect("a client").expect("an answer");
        assert!(matches!(answer.status(), 200 | 503), "{answer:?}");
    }
    assert!(system.wait_for_core_end(0).success());
}

/// Repeats a call on one connection until the connection ends. Returns the status of each call; `None`
/// for a call without an answer.
fn call_until_closed(address: SocketAddr) -> Vec<Option<u16>> {
    use std::io::Write;
    let stream = TcpStream::connect(address).expect("a connection");
    let mut connection = BufReader::new(stream);
    let mut statuses = Vec::new();
    let request =
        "POST /v1/numbers/n1 HTTP/1.1\r\nHost: control.example\r\nContent-Length: 2\r\n\r\n{}";
    while connection.get_mut().write_all(request.as_bytes()).is_ok() {
        let status = Message::read(&mut connection).map(|answer| answer.status());
        statuses.push(status);
        if status.is_none() {
            break;
        }
    }
    statuses
}

#[test]
fn calls_during_sigterm_get_an_answer_until_the_connection_ends() {
    let mut system = System::start(&program_path(), 0);
    revision_after_put(&system);
    let address = system.control(0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| thread::spawn(move || call_until_closed(address)))
        .collect();
    let begin = Instant::now();
    let executed = || {
        let status = call(address, "GET", "/v1/status/coordination", "", b"")?;
        let status: Value = serde_json::from_slice(&status.body).ok()?;
        status["executed"].as_u64()
    };
    while executed().is_none_or(|executed| executed < 100) {
        assert!(begin.elapsed() < START_TIMEOUT, "calls are executed");
    }
    system.core_process(0).signal("TERM");
    assert!(system.wait_for_core_end(0).success());
    for client in clients {
        let statuses = client.join().expect("a client");
        let (last, answered) = statuses.split_last().expect("calls");
        assert!(last.is_none(), "the connection ends with the process");
        let is_allowed = |status: &Option<u16>| matches!(status, Some(200 | 503));
        assert!(answered.iter().all(is_allowed), "{answered:?}");
    }
}

#[test]
fn a_reload_during_a_server_start_does_not_end_the_process() {
    let mut system = System::start(&program_path(), 0);
    for _ in 0..STARTS {
        system.kill_core(0);
        system.start_core(0, false);
        system.core_process(0).wait_for("core_started");
        system.rewrite_settings("core-0", |settings| {
            if let Some(seeds) = settings["seeds"].as_array_mut() {
                seeds.reverse();
            }
        });
        system.core_process(0).signal("HUP");
        system.core_process(0).wait_for("settings_reloaded");
    }
}
