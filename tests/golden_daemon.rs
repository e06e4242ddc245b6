//! Golden tests of the daemon's sockets, byte for byte: responses to clients and operators, and requests as
//! upstreams receive them.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::Instant;
use woadstall_mock_servers::http1::{
    LONG_BUDGET, Reaction, TEST_TIMEOUT, Upstream, config, in_service, named_request, ok_response,
    refused_address, target,
};

/// Asserts that `text` equals the golden file `name`.
fn assert_golden(name: &str, text: &str) {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    let expected = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    assert_eq!(text, expected, "{name}");
}

/// Sends a request and returns all bytes up to the end of the connection, without the date header.
fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    let text = String::from_utf8(bytes).unwrap();
    text.split_inclusive("\r\n")
        .filter(|line| !line.starts_with("date: "))
        .collect::<String>()
        .replace('\r', "")
}

/// Replaces each run of digits by one `#`, since ports and times differ between runs.
fn without_digits(text: &str) -> String {
    let mut masked = String::new();
    for letter in text.chars() {
        match letter.is_ascii_digit() {
            true if masked.ends_with('#') => {}
            true => masked.push('#'),
            false => masked.push(letter),
        }
    }
    masked
}

/// Masks the digits of the metrics that depend on time, and of the first content length, which depends on
/// their digits.
fn without_varying_values(metrics: &str) -> String {
    let varying_metrics = [
        "balancer_discovery_failures ",
        "balancer_list_age_seconds ",
        "balancer_members_bytes ",
        "balancer_members_cut_off ",
        "balancer_members_stalls ",
    ];
    let mut is_first_length = true;
    let mut varies = |line: &str| match line.starts_with("content-length: ") {
        true => std::mem::take(&mut is_first_length),
        false => varying_metrics.iter().any(|name| line.starts_with(name)),
    };
    let mask = |line: &str| match varies(line) {
        true => without_digits(line),
        false => line.to_owned(),
    };
    metrics.split_inclusive('\n').map(mask).collect()
}

/// A client request with `Connection: close`.
fn closing_request(class: &str, body: &str) -> String {
    named_request("9b1f03aa00000001", class, LONG_BUDGET, body)
        .replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
}

#[test]
fn responses_to_callers() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("done")));
    let (program, _) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    let pay = closing_request("pay", "body");
    let cases = [
        ("it is served", pay.clone()),
        ("no such path", pay.replace(" /pay", " /none")),
        ("the method", pay.replace("POST", "GET")),
        ("no key", pay.replace("Idempotency-Key", "Other")),
        (
            "another class",
            pay.replace("X-Call-Class: pay", "X-Call-Class: look"),
        ),
        ("no id", pay.replace("X-Call-Id", "Other")),
        ("no caller", pay.replace("X-Caller", "Other")),
        ("no budget", pay.replace("X-Budget", "Other")),
        (
            "a budget that is none",
            pay.replace("X-Budget: ", "X-Budget: x"),
        ),
        (
            "a header twice",
            pay.replace("X-Caller", "X-Call-Id: again\r\nX-Caller"),
        ),
        (
            "a cost that is none",
            pay.replace("X-Caller", "X-Call-Cost: x\r\nX-Caller"),
        ),
        (
            "a budget that is over",
            pay.replace(&format!("X-Budget: {LONG_BUDGET}"), "X-Budget: 0"),
        ),
        (
            "too large",
            pay.replace("Content-Length: 4", "Content-Length: 40000000"),
        ),
    ];
    let mut text = String::new();
    for (case, request) in cases {
        assert!(case == "it is served" || request != pay, "{case}");
        text += &format!("== {case}\n{}\n", exchange(program.address, &request));
    }
    assert_golden("answers.txt", &text);
}

#[test]
fn responses_where_upstreams_fail_or_are_missing() {
    let failing = Upstream::start(|_| {
        Reaction::Respond("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n".into())
    });
    let (program, _) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&failing])));
    let failed = exchange(program.address, &closing_request("post", "body"));
    let unreachable = config(
        refused_address(),
        &[target("s-0", refused_address(), "in_service")],
    );
    let (program, _) = Program::start_with_admin(&unreachable);
    let refused = exchange(program.address, &closing_request("post", "body"));
    let refused: String = refused
        .split_inclusive('\n')
        .map(|line| match line.starts_with("retry-after: ") {
            true => without_digits(line), // random, and dependent on the elapsed time
            false => line.to_owned(),
        })
        .collect();
    assert_golden(
        "answers-failed.txt",
        &format!("== failing\n{failed}\n== not there\n{refused}\n"),
    );
}

#[test]
fn requests_as_an_upstream_receives_them() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("done")));
    let (program, _) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    let mut text = String::new();
    for class in ["look", "pay", "post"] {
        exchange(
            program.address,
            &closing_request(class, if class == "look" { "" } else { "body" }),
        );
        let message = upstream.request();
        let mut headers: Vec<_> = message.headers.iter().collect();
        headers.sort();
        text += &format!("{}\n", message.start_line);
        for (name, value) in headers {
            let masked = ["host", "x-budget"].contains(&name.as_str());
            text += &format!(
                "{name}: {}\n",
                if masked {
                    without_digits(value)
                } else {
                    value.clone()
                }
            );
        }
        text += &format!("\n{}\n\n", String::from_utf8(message.body).unwrap());
    }
    assert_golden("forwarded.txt", &text);
}

/// Calls each path of the operator API with each method, and returns all responses.
fn operator_calls(admin: &AdminClient, paths: &[&str]) -> String {
    let mut text = String::new();
    for path in paths {
        for method in ["GET", "POST", "DELETE"] {
            let request =
                format!("{method} {path} HTTP/1.1\r\nHost: operators\r\nContent-Length: 0\r\n\r\n");
            text += &format!(
                "== {method} {path}\n{}\n",
                exchange(admin.address, &request)
            );
        }
    }
    text
}

/// Waits until the daemon has assessed a failure domain; before that, its status has another reason.
fn await_first_assessment(admin: SocketAddr, domain: &str) {
    let began = Instant::now();
    let named = format!("\"name\":\"{domain}\"");
    loop {
        let places = exchange(
            admin,
            "GET /control/places HTTP/1.1\r\nHost: operators\r\n\r\n",
        );
        let entry = places.split_once(&named).map(|(_, entry)| entry);
        let entry = entry.and_then(|entry| entry.split('}').next());
        if entry.is_some_and(|entry| entry.contains("calls fail")) {
            return;
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "{places}");
    }
}

#[test]
fn responses_to_operators() {
    let upstream = Upstream::start(|_| Reaction::Respond(ok_response("done")));
    let (_program, admin) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    let paths = [
        "/control/ready",
        "/control/out-of-service",
        "/control/ready",
        "/control/in-service",
        "/control/instances",
        "/control/places",
        "/control/places/leave/zone/a/10",
        "/control/none",
        "/",
    ];
    assert_golden("operators.txt", &operator_calls(&admin, &paths));
}

#[test]
fn counters_of_a_daemon() {
    let upstream = Upstream::start(|message| match message.start_line.contains("post") {
        true => Reaction::Respond("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n".into()),
        false => Reaction::Respond(ok_response("done")),
    });
    let (program, admin) =
        Program::start_with_admin(&config(refused_address(), &in_service(&[&upstream])));
    for class in ["look", "look", "pay", "post", "none"] {
        exchange(
            program.address,
            &closing_request(class, if class == "look" { "" } else { "body" }),
        );
    }
    wait_until("all requests have ended", || {
        admin.metrics()["balancer_active"] == 0.0
    });
    let counters = operator_calls(&admin, &["/control/counters"]);
    assert_golden("counters.txt", &without_varying_values(&counters));
}

#[test]
fn operators_of_a_fleet() {
    let directory =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let membership_address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let file = directory.join("operator.toml");
    let text = format!(
        "[instances]\nlisten = \"{membership_address}\"\ninsecure = true\n\
         [evacuation]\n[evacuation.regions]\na = \"west\"\n"
    );
    std::fs::write(&file, text).unwrap();
    let environment = [
        ("LB_OPERATOR", file.to_str().unwrap().to_owned()),
        ("LB_NAME", "balancer-one".to_owned()),
    ];
    let (_program, admin) =
        Program::start_with_admin_and_env(&config(refused_address(), &[]), &environment);
    let counters = exchange(
        admin.address,
        "GET /control/counters HTTP/1.1\r\nHost: operators\r\n\r\n",
    );
    assert_golden("fleet-counters.txt", &without_varying_values(&counters));
    await_first_assessment(admin.address, "zone a");
    let paths = [
        "/control/instances",
        "/control/places",
        "/control/places/leave/zone/z/10",
        "/control/places/leave/zone/a/0",
        "/control/places/burn/zone/a/10",
        "/control/places/hold/zone/a/10",
        "/control/places/return/region/west/10",
    ];
    // On a busy machine, the process may have stalled, so that it reports itself as cut off.
    let answers = operator_calls(&admin, &paths).replace("\"cut_off\":true", "\"cut_off\":false");
    assert_golden("fleet-operators.txt", &without_digits(&answers));
    std::fs::remove_dir_all(directory).unwrap();
}
