//! Tests of a complete system of processes on loopback: bootstrap, requests, configuration changes, kills, restarts and
//! shutdowns.

#[path = "common/program.rs"]
mod program;

use program::program_path;
use serde_json::{Value, json};
use std::process::Command;
use woadstall_mock_servers::http1::{Message, Reaction, Upstream};
use woadstall_mock_servers::system::{System, call, events, response};

fn route(name: &str, prefix: &str, route_type: &str) -> Value {
    json!({
        "name": name, "host": "shop.example", "path_prefix": prefix, "route_type": route_type, "timeout_ms": 5000,
        "target_latency_ms": 500, "priority": 1, "service": "s", "max_attempts": 2, "resumable": route_type == "streaming",
    })
}

fn configuration(generation: u64, routes: &[Value]) -> Value {
    json!({
        "generation": generation, "routes": routes, "services": [{ "name": "s", "max_connections": 100 }],
    })
}

fn all_routes() -> [Value; 3] {
    [
        route("safe", "/safe/", "safe"),
        route("once", "/once/", "non_idempotent"),
        route("stream", "/stream/", "streaming"),
    ]
}

fn system() -> System {
    System::start(&program_path(), 1)
}

fn send_request(system: &System, path: &str) -> Option<Message> {
    call(
        system.front(0),
        "POST",
        path,
        "Request-Id: r-1\r\nDeadline: 4000\r\n",
        b"{}",
    )
}

fn status(system: &System, path: &str) -> u16 {
    send_request(system, path).expect("an answer").status()
}

#[test]
fn a_system_bootstraps_applies_changes_and_survives_a_core_server() {
    let mut system = system();
    let early = send_request(&system, "/safe/1");
    if let Some(early) = early.filter(|response| response.status() != 200) {
        assert_eq!(
            early.status(),
            503,
            "without a configuration, the status is not 404"
        );
        assert!(early.headers.contains_key("retry-after"));
    }
    system.configure(0, 0, &configuration(3, &all_routes()));
    let upstream = Upstream::start(|request| Reaction::Respond(response(request, "hello")));
    system.register(1, "i-1", "s", upstream.address, 0);
    let reply = send_request(&system, "/safe/1?a=b").expect("an answer");
    assert_eq!(
        (reply.status(), reply.body.as_slice()),
        (200, &b"hello"[..])
    );
    assert_eq!(reply.headers["response-stamp"], "stamp-r-1");
    let request = upstream.request();
    assert_eq!(request.start_line, "POST /safe/1?a=b HTTP/1.1");
    assert_eq!(request.headers["expect-instance"], "i-1");
    let remaining_ms: u64 = request.headers["deadline"].parse().unwrap();
    assert!((3_000..=4_000).contains(&remaining_ms), "{remaining_ms}");

    // Another core server accepts a change that removes routes, and a stale change is rejected.
    system.configure(1, 3, &configuration(7, &all_routes()[..1]));
    assert_eq!(status(&system, "/once/1"), 404);
    assert_eq!(status(&system, "/safe/1"), 200);
    let stale = call(
        system.control(2),
        "PUT",
        "/v1/config",
        "If-Match: 3\r\n",
        configuration(9, &[]).to_string().as_bytes(),
    );
    assert_eq!(stale.expect("an answer").status(), 412);

    // A change is accepted while one core server is down, and the restarted server reads it.
    system.kill_core(0);
    system.configure(2, 7, &configuration(8, &all_routes()));
    assert_eq!(status(&system, "/once/1"), 200);
    system.start_core(0, false);
    let response = loop {
        let response = call(system.control(0), "GET", "/v1/config", "", b"");
        if let Some(response) = response.filter(|response| response.status() == 200) {
            break response;
        }
    };
    let read_configuration: Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(read_configuration, configuration(8, &all_routes()));

    let directory = call(
        system.directory(1),
        "GET",
        "/v1/resolve?zone=zone-0",
        "",
        b"",
    )
    .expect("an answer");
    assert!(String::from_utf8_lossy(&directory.body).contains(&system.front(0).to_string()));
    let ready = call(system.ready(0), "GET", "/v1/readiness", "", b"").expect("an answer");
    assert_eq!(ready.status(), 200);
}

/// Numbers whose text a program may change though their value is the same, or nearly so.
const NUMBERS: [&str; 6] = [
    "24.994982502650654",
    "31.010170774353558",
    "18446744073709551617",
    "1E+2",
    "-0",
    "2.50",
];

/// Reads the configuration at a core machine until the machine answers.
fn read_configuration(system: &System, core: u8) -> String {
    loop {
        let response = call(system.control(core), "GET", "/v1/config", "", b"");
        if let Some(response) = response.filter(|response| response.status() == 200) {
            return String::from_utf8(response.body).expect("the configuration is text");
        }
    }
}

/// Guards against the failure of `review/8`, at each core machine, after a change and a restart of all.
#[test]
fn numbers_are_read_back_as_they_were_sent() {
    let mut system = system();
    let service = |name: &str, number: &str| format!(r#"{{"name":"{name}","unknown":{number}}}"#);
    system.configure(0, 0, &configuration(1, &[]));
    let services: Vec<String> = NUMBERS
        .iter()
        .map(|number| service(number, number))
        .collect();
    let change = format!(
        r#"{{"generation":2,"upsert":{{"services":[{}]}}}}"#,
        services.join(",")
    );
    let headers = "If-Match: 1\r\n";
    let accepted = call(
        system.control(1),
        "PATCH",
        "/v1/config",
        headers,
        change.as_bytes(),
    );
    assert_eq!(accepted.expect("an answer").status(), 200);
    for is_restarted in [false, true] {
        if is_restarted {
            (0..3).for_each(|core| system.kill_core(core));
            (0..3).for_each(|core| system.start_core(core, false));
        }
        for core in 0..3 {
            let read = read_configuration(&system, core);
            for service in &services {
                assert!(
                    read.contains(service),
                    "core {core}: {service} is not in {read}"
                );
            }
        }
    }
}

#[test]
fn a_front_completes_accepted_requests_and_shuts_down_gracefully() {
    let mut system = system();
    system.configure(0, 0, &configuration(1, &all_routes()));
    let upstream = Upstream::start(|request| Reaction::Respond(response(request, "hello")));
    system.register(0, "i-1", "s", upstream.address, 0);
    let front = system.fronts[0].take().expect("it runs");
    front.signal("TERM");
    front.wait_for("shutdown_started");
    let ready = call(system.ready(0), "GET", "/v1/readiness", "", b"").expect("an answer");
    assert_eq!(ready.status(), 503);
    let reply = send_request(&system, "/safe/1")
        .expect("clients that are not yet notified are still served");
    assert_eq!(
        (reply.status(), reply.headers["connection"].as_str()),
        (200, "close")
    );
    assert!(front.wait().success());
}

#[test]
fn a_request_that_may_have_run_is_never_sent_again() {
    let system = system();
    system.configure(0, 0, &configuration(1, &all_routes()));
    let first = Upstream::start(|_| Reaction::RespondAndClose(String::new()));
    let second = Upstream::start(|_| Reaction::RespondAndClose(String::new()));
    system.register(0, "i-1", "s", first.address, 0);
    system.register(0, "i-2", "s", second.address, 0);
    assert_eq!(
        status(&system, "/once/1"),
        502,
        "the request may have been executed"
    );
    assert_eq!(first.count_requests() + second.count_requests(), 1);
    assert_eq!(status(&system, "/safe/1"), 502);
    assert_eq!(
        first.count_requests() + second.count_requests(),
        2,
        "a safe request is sent to two upstreams"
    );
}

#[test]
fn a_rejected_request_goes_to_another_upstream() {
    let system = system();
    system.configure(0, 0, &configuration(1, &all_routes()));
    let full = Upstream::start(|_| {
        Reaction::Respond(
            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                .to_owned(),
        )
    });
    system.register(0, "i-1", "s", full.address, 0);
    let rejection = send_request(&system, "/once/1").expect("an answer");
    assert_eq!(rejection.status(), 503);
    assert!(rejection.headers.contains_key("retry-after"));
    let free = Upstream::start(|request| Reaction::Respond(response(request, "hello")));
    system.register(0, "i-2", "s", free.address, 0);
    for _ in 0..4 {
        assert_eq!(status(&system, "/once/1"), 200);
    }
}

#[test]
fn an_upstreams_error_is_passed_on_unless_another_one_may_do_better() {
    let system = system();
    system.configure(0, 0, &configuration(1, &all_routes()));
    let error = |request: &Message| {
        Reaction::Respond(response(request, "broken").replace("200 OK", "500 Broken"))
    };
    let failing = Upstream::start(error);
    system.register(0, "i-1", "s", failing.address, 0);
    let passed_on = send_request(&system, "/safe/1").expect("an answer");
    assert_eq!(
        (passed_on.status(), passed_on.body.as_slice()),
        (500, &b"broken"[..])
    );
    let healthy = Upstream::start(|request| Reaction::Respond(response(request, "hello")));
    system.register(0, "i-2", "s", healthy.address, 0);
    assert_eq!(status(&system, "/safe/1"), 200);
    assert_eq!(status(&system, "/safe/1"), 200);
}

#[test]
fn an_upstreams_error_of_a_request_that_may_run_once_is_passed_on() {
    let system = system();
    system.configure(0, 0, &configuration(1, &all_routes()));
    let error = |request: &Message| {
        Reaction::Respond(response(request, "broken").replace("200 OK", "500 Broken"))
    };
    let (first, second) = (Upstream::start(error), Upstream::start(error));
    system.register(0, "i-1", "s", first.address, 0);
    system.register(0, "i-2", "s", second.address, 0);
    assert_eq!(status(&system, "/once/1"), 500);
    assert_eq!(first.count_requests() + second.count_requests(), 1);
    assert_eq!(status(&system, "/safe/1"), 500);
    assert_eq!(
        first.count_requests() + second.count_requests(),
        2,
        "a safe request is sent to both upstreams"
    );
}

#[test]
fn a_response_to_another_request_is_invalid() {
    let system = system();
    system.configure(0, 0, &configuration(1, &all_routes()));
    let mixed = Upstream::start(|request| {
        Reaction::Respond(response(request, "hello").replace("r-1", "r-2"))
    });
    system.register(0, "i-1", "s", mixed.address, 0);
    assert_eq!(status(&system, "/once/1"), 502);
}

#[test]
fn a_broken_stream_resumes_after_its_last_complete_event() {
    const FIRST: [&str; 3] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata"];
    const REST: [&str; 2] = ["id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"];
    let system = system();
    system.configure(0, 0, &configuration(1, &all_routes()));
    let respond = |request: &Message| match request.headers.get("last-event-id").map(String::as_str)
    {
        None => Reaction::RespondAndClose(events(request, &FIRST, false)),
        Some("2") => Reaction::Respond(events(request, &REST, true)),
        Some(other) => panic!("resumed after {other}"),
    };
    let (first, second) = (Upstream::start(respond), Upstream::start(respond));
    system.register(0, "i-1", "s", first.address, 0);
    system.register(0, "i-2", "s", second.address, 0);
    let reply = send_request(&system, "/stream/1").expect("a complete stream");
    let expected = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", REST[0], REST[1]].concat();
    assert_eq!(String::from_utf8_lossy(&reply.body), expected);
}

#[test]
fn a_stream_that_cannot_be_resumed_does_not_look_complete() {
    let system = system();
    let mut route = route("stream", "/stream/", "streaming");
    route["resumable"] = false.into();
    system.configure(0, 0, &configuration(1, &[route]));
    let upstream = Upstream::start(|request| {
        Reaction::RespondAndClose(events(request, &["id: 1\ndata: a\n\n"], false))
    });
    system.register(0, "i-1", "s", upstream.address, 0);
    assert!(
        send_request(&system, "/stream/1").is_none(),
        "the client can detect the truncation"
    );
}

#[test]
fn evacuated_zones_and_draining_upstreams_get_nothing() {
    let system = system();
    system.configure(0, 0, &configuration(1, &all_routes()));
    let near = Upstream::start(|request| Reaction::Respond(response(request, "near")));
    let far = Upstream::start(|request| Reaction::Respond(response(request, "far")));
    system.register(0, "i-1", "s", near.address, 0);
    system.register(1, "i-2", "s", far.address, 1);
    let body = |system: &System| send_request(system, "/safe/1").expect("an answer").body;
    assert_eq!(body(&system), b"near");
    let set_evacuation = |method: &str| {
        let answer =
            call(system.control(2), method, "/v1/evacuations/zone-0", "", b"").expect("an answer");
        assert_eq!(answer.status(), 200);
        system
            .front_process(0)
            .wait_for("evacuations_applied zones=");
    };
    set_evacuation("POST");
    assert_eq!(body(&system), b"far");
    set_evacuation("DELETE");
    assert_eq!(body(&system), b"near");
    let draining = json!({
        "service": "s", "address": near.address, "zone": "zone-0", "capacity": 8, "state": "draining", "sequence": 2,
    });
    let answer = call(
        system.control(0),
        "PUT",
        "/v1/instances/i-1",
        "",
        draining.to_string().as_bytes(),
    );
    assert_eq!(answer.expect("an answer").status(), 200);
    system
        .front_process(0)
        .wait_for("registration_applied upstream=i-1");
    assert_eq!(body(&system), b"far");
}

#[test]
fn changed_settings_are_reloaded_and_invalid_settings_change_nothing() {
    let system = system();
    system.front_process(0).wait_for("front_started");
    system.rewrite_settings("front-0", |settings| {
        settings["seeds"] = json!(["127.0.0.1:1"])
    });
    system
        .front_process(0)
        .wait_for("settings_reloaded seeds=[127.0.0.1:1]");
    system.rewrite_settings("front-0", |settings| settings["seeds"] = json!("none"));
    system.front_process(0).signal("HUP");
    let log_line = system.front_process(0).wait_for("settings_rejected");
    assert!(
        log_line.contains("node.json") || log_line.contains("front-0.json"),
        "{log_line}"
    );
    system.front_process(0).wait_for("seeds: must be an array");
}

#[test]
fn invalid_settings_are_reported_with_their_paths() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("node.json");
    std::fs::write(
        &path,
        r#"{ "node": "n", "ip": "10.0.0", "unknown": 1, "zone": 5 }"#,
    )
    .unwrap();
    let output = Command::new(program_path())
        .arg("front")
        .env("WOADSTALL_BOOT", &path)
        .output()
        .unwrap();
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for error in [
        "ip: ",
        "zone: must be a string",
        "region: is missing",
        "ephemeral_ports: ",
    ] {
        assert!(text.contains(error), "{error} is not in {text}");
    }
    assert!(!text.contains("unknown"));
}
