//! Tests of the memory that request bodies take in a core machine.

#[path = "common/program.rs"]
mod program;

use program::program_path;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use woadstall_mock_servers::http1::{TEST_TIMEOUT, read_whole_response};
use woadstall_mock_servers::system::System;

/// The limit of a core machine's memory in the settings, in KiB.
const MEMORY_LIMIT_KIB: u64 = 256 << 10;
/// Size of a large body: somewhat below the largest that the API accepts.
const LARGE_BODY_BYTES: usize = 5 << 20;
/// Number of bodies that together exceed the memory limit.
const BODIES: usize = 60;

/// Guards against documents that operators send at the same time: they were in no limit, and took a core machine over its
/// memory limit.
#[test]
fn request_bodies_stay_within_the_memory_limit_and_do_not_keep_out_heartbeats() {
    let system = System::start(&program_path(), 1);
    let configuration = json!({ "generation": 1, "routes": [], "services": [{ "name": "s" }] });
    system.configure(0, 0, &configuration);
    let mut streams: Vec<_> = (0..BODIES).map(|_| send_most_of_a_body(&system)).collect();
    // A heartbeat and a small change are accepted meanwhile.
    system.register(0, "i-1", "s", system.front(0), 0);
    system.configure(
        0,
        1,
        &json!({ "generation": 2, "routes": [], "services": [] }),
    );
    for stream in &mut streams {
        stream.write_all(b" ").expect("the body is read to its end");
    }
    let statuses: Vec<u16> = streams
        .into_iter()
        .map(|stream| {
            let response = read_whole_response(&mut BufReader::new(stream));
            response.expect("a response").status()
        })
        .collect();
    let peak = system.core_process(0).peak_memory_kib();
    assert!(
        statuses.iter().all(|status| [400, 503].contains(status)),
        "no document, or no memory for it: {statuses:?}"
    );
    assert!(statuses.contains(&400), "{statuses:?}");
    assert!(
        peak < MEMORY_LIMIT_KIB,
        "{peak} KiB of {MEMORY_LIMIT_KIB} KiB"
    );
}

/// Sends a request with a large body of spaces up to its last byte.
fn send_most_of_a_body(system: &System) -> TcpStream {
    let mut stream = TcpStream::connect(system.control(0)).expect("a connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let head = format!(
        "PUT /v1/config HTTP/1.1\r\nHost: control\r\nIf-Match: 1\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let body = vec![b' '; LARGE_BODY_BYTES - 1];
    stream.write_all(&body).expect("the body is read");
    stream
}
