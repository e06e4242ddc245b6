//! Tests of the operation of the daemon: the admin address, the metrics, draining of clients, reloads and
//! upgrades to a second process.

mod common;

use common::*;
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::*;

#[test]
fn readiness_is_reported_at_the_admin_address_alone() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("")));
    let (program, admin) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    assert_eq!(admin.get("/control/ready").status(), 200);
    assert_eq!(admin.get("/control/nothing").status(), 404);
    assert_eq!(
        admin.get("/control/out-of-service").status(),
        405,
        "GET does not change the state"
    );
    let mut caller = program.connect();
    caller.write("GET /control/ready HTTP/1.1\r\nHost: b\r\n\r\n");
    assert_eq!(
        caller.read_response().unwrap().status(),
        404,
        "the client address does not serve the operator API"
    );

    let (_program, admin) = Program::start_with_admin(&config(refused_address(), &[]));
    assert_eq!(
        admin.get("/control/ready").status(),
        503,
        "there is no upstream"
    );
}

#[test]
fn counters_match_the_responses_to_callers() {
    let upstream = Upstream::start(|message| match message.start_line.as_str() {
        line if line.contains("look") => Reaction::Respond(ok_response("seen")),
        line if line.contains("pay") => Reaction::Respond(overloaded_response()),
        _ => Reaction::RespondAndClose(String::new()),
    });
    let (program, admin) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    for (class, status) in [("look", 200), ("look", 200), ("post", 502), ("pay", 503)] {
        assert_eq!(program.call(class).status(), status);
    }
    let metrics = admin.metrics();
    let attempts = upstream.count_requests();
    let expected = [
        (r#"balancer_ok{kind="look"}"#, 2),
        (r#"balancer_errors{kind="look"}"#, 0),
        (r#"balancer_errors{kind="post"}"#, 1),
        (r#"balancer_shed{kind="pay"}"#, 1),
        ("balancer_tries", attempts),
        ("balancer_active", 0),
        ("balancer_pool_size", 1),
    ];
    for (name, value) in expected {
        assert_eq!(metrics[name], value as f64, "{name} in {metrics:?}");
    }
}

/// Guards against idle connections that block the operator API.
#[test]
fn open_connections_do_not_block_operators() {
    let (_program, admin) = Program::start_with_admin(&config(refused_address(), &[]));
    let open_connections: Vec<_> = (0..50)
        .map(|_| {
            let mut connection = admin.connect();
            connection.write("GET /control/re");
            connection
        })
        .collect();
    assert_eq!(admin.get("/control/ready").status(), 503);
    drop(open_connections);
}

#[test]
fn out_of_service_disconnects_clients_and_loses_no_request() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("done")));
    let (program, admin) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    let health_status = || {
        let mut caller = program.connect();
        caller.write("GET /healthz HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n");
        caller.read_response().unwrap().status()
    };
    let mut idle = program.connect();
    assert_eq!(idle.call("look", LONG_BUDGET, "").unwrap().status(), 200);
    let mut busy = program.connect();
    let mut writing = program.connect();
    let request = request("look", LONG_BUDGET, "");
    let (beginning, rest) = request.split_at(40);
    assert_eq!(health_status(), 200);

    assert_eq!(admin.post("/control/out-of-service").status(), 200);
    let started = Instant::now();
    assert_eq!(health_status(), 503);
    // A busy client is disconnected by a response with `Connection: close`, so that none of its requests is lost.
    loop {
        let answer = busy.call("look", LONG_BUDGET, "").expect("an answer");
        assert_eq!(answer.status(), 200);
        if answer
            .headers
            .get("connection")
            .is_some_and(|value| value == "close")
        {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    writing.write(beginning);
    assert!(
        idle.read_response().is_none(),
        "an idle connection is closed"
    );
    assert!(
        started.elapsed() < Duration::from_millis(3500),
        "{:?}",
        started.elapsed()
    );
    writing.write(rest);
    assert_eq!(
        writing.read_response().unwrap().status(),
        200,
        "a request whose head has begun is served"
    );

    assert_eq!(admin.post("/control/in-service").status(), 200);
    assert_eq!(health_status(), 200);
    let mut caller = program.connect();
    for _ in 0..3 {
        let answer = caller.call("look", LONG_BUDGET, "").expect("an answer");
        assert!(
            !answer.headers.contains_key("connection"),
            "client connections are kept open again"
        );
    }
}

/// Guards the start of an upgrade: the new process must be able to listen while the old process serves.
#[test]
fn a_second_process_serves_beside_the_first_and_alone_after_it() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("done")));
    let mut settings = config(refused_address(), &in_service(&[&upstream]));
    let (first, _) = Program::start_with_admin(&settings);
    settings["listen"] = first.address.to_string().into();
    let (second, admin) = Program::start_with_admin(&settings);
    assert_eq!(first.address, second.address);
    assert_eq!(admin.get("/control/ready").status(), 200);
    for _ in 0..20 {
        assert_eq!(second.call("look").status(), 200);
    }
    first.terminate();
    let (status, log) = first.wait_for_exit();
    assert!(status.success(), "{log}");
    for _ in 0..20 {
        assert_eq!(
            second.call("look").status(),
            200,
            "the remaining process gets all calls"
        );
    }
}

/// Returns a copy of the configuration with changed classes.
fn with_classes(
    config: &serde_json::Value,
    change: impl Fn(&mut Vec<serde_json::Value>),
) -> serde_json::Value {
    let mut config = config.clone();
    change(config["settings"]["Classes"].as_array_mut().unwrap());
    config
}

#[test]
fn classes_change_at_a_reload_and_requests_in_flight_keep_theirs() {
    let upstream = Upstream::start(|message| match message.start_line.contains("look") {
        true => Reaction::Respond(ok_response("seen")),
        false => Reaction::Stall,
    });
    let discovery = Discovery::start();
    let before = config(discovery.address, &in_service(&[&upstream]));
    discovery.set(&in_service(&[&upstream]));
    let (mut program, admin) = Program::start_with_admin(&before);
    let mut in_flight = program.connect();
    in_flight.send("post", "1.5", "b");
    upstream.request();
    assert_eq!(program.call("fresh").status(), 404);

    let after = with_classes(&before, |classes| {
        classes.retain(|class| class["Name"] != "post");
        let mut fresh = classes[0].clone();
        fresh["Name"] = "fresh".into();
        fresh["Effect"] = "non_idempotent".into();
        classes.push(fresh);
        classes[0]["Effect"] = "non_idempotent".into(); // `look` is no longer safe
    });
    program.reload(&after.to_string());
    program.wait_for_log("configuration_applied discovery=");
    let mut caller = program.connect();
    caller.send("fresh", "0.2", "b");
    assert_eq!(
        caller.read_response().unwrap().status(),
        502,
        "the request is sent, and the upstream does not respond"
    );
    assert_eq!(upstream.request().start_line, "POST /fresh?x=1 HTTP/1.1");
    assert_eq!(
        program.call("look").status(),
        200,
        "a client that still uses the former settings is served"
    );
    assert_eq!(
        in_flight.read_response().unwrap().status(),
        502,
        "the request ends at its deadline under the former settings"
    );
    let metrics = admin.metrics();
    assert_eq!(metrics[r#"balancer_errors{kind="fresh"}"#], 1.0);
    assert_eq!(metrics[r#"balancer_errors{kind="post"}"#], 1.0);
    assert_eq!(metrics["balancer_config_applied"], 1.0);
}

/// Guards rule 2 (no effect twice) across a reload: stricter settings apply to each later request.
#[test]
fn a_stricter_effect_and_fewer_attempts_apply_after_a_reload() {
    let upstream = Upstream::start(|_| Reaction::RespondAndClose(String::new()));
    let before = config(refused_address(), &in_service(&[&upstream]));
    let (mut program, _) = Program::start_with_admin(&before);
    assert_eq!(program.call("pay").status(), 502);
    assert!(
        upstream.count_requests() > 1,
        "a request with an idempotency key is retried"
    );

    let mut fewer = before.clone();
    fewer["settings"]["Limits"]["TryLimit"] = 1.into();
    program.reload(&fewer.to_string());
    program.wait_for_log("configuration_applied discovery=");
    assert_eq!(program.call("pay").status(), 502);
    assert_eq!(upstream.count_requests(), 1);

    let strict = with_classes(&before, |classes| {
        classes[1]["Effect"] = "non_idempotent".into()
    });
    program.reload(&strict.to_string());
    program.wait_for_log("configuration_applied discovery=");
    let mut caller = program.connect();
    let request = request("pay", LONG_BUDGET, "b").replace("Idempotency-Key: 5c0f6e1a\r\n", "");
    caller.write(&request);
    assert_eq!(caller.read_response().unwrap().status(), 502);
    assert_eq!(upstream.count_requests(), 1);
}

#[test]
fn an_invalid_file_changes_nothing_and_is_counted() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("seen")));
    let good = config(refused_address(), &in_service(&[&upstream]));
    let (mut program, admin) = Program::start_with_admin(&good);
    let text = good.to_string();
    // Such a file also has fewer classes, so that a partial application would show.
    let invalid = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut file = with_classes(&good, |classes| classes.truncate(1));
        change(&mut file);
        file.to_string()
    };
    let files = [
        String::new(),
        text[..text.len() / 2].to_owned(),
        invalid(&|file| drop(file.as_object_mut().unwrap().remove("settings"))),
        invalid(&|file| drop(file["settings"].as_object_mut().unwrap().remove("Classes"))),
        invalid(&|file| {
            drop(
                file["settings"]["Classes"][0]
                    .as_object_mut()
                    .unwrap()
                    .remove("DeadlineNs"),
            )
        }),
        invalid(&|file| file["settings"]["Classes"][0]["DeadlineNs"] = 0.into()),
        invalid(&|file| file["settings"]["Classes"][0]["DeadlineNs"] = (-1).into()),
        invalid(&|file| file["settings"]["Limits"]["TryLimit"] = 0.into()),
        invalid(&|file| file["settings"]["Zones"] = serde_json::json!(["b"])),
    ];
    for file in &files {
        program.reload(file);
        program.wait_for_log("configuration_rejected error=");
        assert_eq!(program.call("post").status(), 200, "{file}");
    }
    let metrics = admin.metrics();
    assert_eq!(metrics["balancer_config_rejected"], files.len() as f64);
    assert_eq!(metrics["balancer_config_applied"], 0.0);
}

/// Returns a body of `bytes` bytes in which each block of eight bytes is different.
fn distinct_bytes(bytes: usize) -> String {
    (0..bytes / 8)
        .map(|number| format!("{number:07} "))
        .collect()
}

#[test]
fn large_bodies_and_responses_pass_unchanged_and_connections_are_reused() {
    let response_body = distinct_bytes(3 << 20);
    let chunked = {
        let parts = response_body.as_bytes().chunks(100_000).map(|part| {
            format!(
                "{:x}\r\n{}\r\n",
                part.len(),
                std::str::from_utf8(part).unwrap()
            )
        });
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
            parts.collect::<String>()
        )
    };
    let request_body = distinct_bytes(2 << 20);
    let unchunked = ok_response(&response_body);
    let upstream = Upstream::start(move |message| match message.start_line.contains("pay") {
        true => Reaction::Respond(chunked.clone()),
        false => Reaction::Respond(unchunked.clone()),
    });
    let (program, admin) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    let mut caller = program.connect();
    for _ in 0..3 {
        let response = caller
            .call("post", LONG_BUDGET, &request_body)
            .expect("an answer");
        assert!(
            response.status() == 200 && response.body == response_body.as_bytes(),
            "{}",
            response.start_line
        );
        assert!(upstream.request().body == request_body.as_bytes());
    }
    caller.send("pay", LONG_BUDGET, "b");
    assert!(caller.read_chunked_body().expect("an answer") == response_body.as_bytes());
    let connections = upstream
        .events
        .try_iter()
        .filter(|seen| matches!(seen, UpstreamEvent::Connected))
        .count();
    assert_eq!(connections, 0, "all requests use the first connection");
    assert_eq!(admin.metrics()[r#"balancer_ok{kind="post"}"#], 3.0);
    assert_eq!(admin.metrics()["balancer_active"], 0.0);
}

/// Guards the memory limit: the balancer must not buffer large responses for clients that do not read them.
#[test]
fn unread_responses_take_no_memory() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response(&distinct_bytes(16 << 20))));
    let (program, admin) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    program.call("look");
    let before_kib = program.resident_memory_kib();
    let mut callers: Vec<_> = (0..12).map(|_| program.connect()).collect();
    callers
        .iter_mut()
        .for_each(|caller| caller.send("look", LONG_BUDGET, ""));
    for caller in &mut callers {
        caller.await_data();
    }
    let growth_kib = program.resident_memory_kib().saturating_sub(before_kib);
    assert!(
        growth_kib < 16 << 10,
        "{growth_kib} KiB more for 192 MiB of responses"
    );
    assert_eq!(admin.metrics()["balancer_active"], 12.0);
    let mut last = callers.pop().unwrap();
    assert_eq!(
        last.read_response().expect("an answer").body.len(),
        distinct_bytes(16 << 20).len()
    );
    drop(callers);
    while admin.metrics()["balancer_active"] > 0.0 {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(program.call("look").status(), 200);
}

#[test]
fn a_broken_response_shows_to_its_caller_and_is_not_retried() {
    let broken = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{}",
        distinct_bytes(200_000)
    );
    let upstream = Upstream::start(move |_| Reaction::RespondAndClose(broken.clone()));
    let (program, admin) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    let mut caller = program.connect();
    caller.send("look", LONG_BUDGET, "");
    assert!(
        caller.read_response().is_none(),
        "the response is shorter than its content length"
    );
    assert_eq!(upstream.count_requests(), 1);
    while admin.metrics()["balancer_active"] > 0.0 {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(admin.metrics()[r#"balancer_errors{kind="look"}"#], 1.0);
}

#[test]
fn bodies_beyond_the_memory_are_rejected_and_slow_ones_awaited() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("")));
    let mut settings = config(refused_address(), &in_service(&[&upstream]));
    settings["limits"]["memory_mb"] = 24.into();
    let (program, _) = Program::start_with_admin(&settings);
    let start = |length: usize| {
        let mut caller = program.connect();
        let head = request("post", LONG_BUDGET, "")
            .replace("Content-Length: 0", &format!("Content-Length: {length}"));
        caller.write(&head);
        caller
    };
    let (mut first, mut second) = (start(5 << 20), start(64 << 10));
    let mut third = start(5 << 20);
    assert_eq!(
        third.read_response().expect("an answer").status(),
        503,
        "the first two bodies have reserved the memory"
    );
    assert_eq!(
        start(40 << 20).read_response().expect("an answer").status(),
        413
    );
    // Takes longer than the timeout of a head; a body may take this long as long as it makes progress.
    for part in distinct_bytes(64 << 10).as_bytes().chunks(4 << 10) {
        second.write(std::str::from_utf8(part).unwrap());
        std::thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(second.read_response().expect("an answer").status(), 200);
    assert!(
        first.read_response().is_none(),
        "a body without progress times out"
    );
}

/// Creates a directory that two processes share.
fn shared_directory(name: &str) -> std::path::PathBuf {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    directory
}

#[test]
fn a_successor_takes_over_the_state_of_its_predecessor() {
    let directory = shared_directory("upgrade");
    let environment = [("TMPDIR", directory.to_str().unwrap().to_owned())];
    let healthy = Upstream::start(|_| Reaction::Respond(ok_response("done")));
    let broken = Upstream::start(|_| {
        Reaction::Respond("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n".into())
    });
    let mut settings = config(refused_address(), &in_service(&[&healthy, &broken]));
    let (first, first_admin) = Program::start_with_admin_and_env(&settings, &environment);
    while first_admin.metrics()["balancer_pool_ejected"] == 0.0 {
        assert_eq!(first.call("look").status(), 200);
    }
    settings["listen"] = first.address.to_string().into();
    let (second, second_admin) = Program::start_with_admin_and_env(&settings, &environment);
    assert_eq!(
        second_admin.metrics()["balancer_pool_ejected"],
        1.0,
        "the restored state ejects the upstream before the first call"
    );
    // The second process in turn passes its state on to a third one.
    first.terminate();
    assert!(first.wait_for_exit().0.success());
    let (third, third_admin) = Program::start_with_admin_and_env(&settings, &environment);
    assert_eq!(third_admin.metrics()["balancer_pool_size"], 2.0);
    drop(second);
    assert_eq!(third.call("look").status(), 200);
    std::fs::remove_dir_all(directory).ok();
}

/// Guards the start: a new process must serve even if the state socket of its predecessor hangs or returns
/// invalid data.
#[test]
fn a_predecessor_that_hangs_or_sends_nonsense_delays_no_start() {
    use std::io::Write;
    let directory = shared_directory("nonsense");
    let environment = [("TMPDIR", directory.to_str().unwrap().to_owned())];
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("done")));
    let mut settings = config(refused_address(), &in_service(&[&upstream]));
    let (first, _) = Program::start_with_admin_and_env(&settings, &environment);
    settings["listen"] = first.address.to_string().into();
    let path = directory.join(format!(
        "woadstall-127.0.0.1-{}.state",
        first.address.port()
    ));
    for nonsense in ["", "{\"version\":9}", "{\"version\":1,\"classes\""] {
        std::fs::remove_file(&path).unwrap();
        let listener = std::os::unix::net::UnixListener::bind(&path).unwrap();
        let (second_serves, hang) = std::sync::mpsc::channel::<()>();
        let predecessor = std::thread::spawn(move || {
            let mut stream = listener.accept().unwrap().0;
            stream.write_all(nonsense.as_bytes()).unwrap();
            if nonsense.is_empty() {
                hang.recv().ok(); // the predecessor hangs until the new process serves
            }
        });
        // The admin address is logged only after the new process has opened its own client socket; the call itself
        // may reach either process.
        let (second, _) = Program::start_with_admin_and_env(&settings, &environment);
        assert_eq!(second.call("look").status(), 200);
        drop(second_serves);
        predecessor.join().unwrap();
    }
    std::fs::remove_dir_all(directory).ok();
}
