//! Tests of invalid requests, which the service must reject without a change of state, and of valid
//! requests at the limits.

use super::{Answer, call_core, call_until_executed, program_path};
use serde_json::{Value, json};
use woadstall_mock_servers::system::{System, call};

/// One byte more than the limit for names.
const TOO_LONG_NAME: usize = 257;
/// One byte more than the limit for values.
const TOO_LONG_VALUE: usize = (64 << 10) + 1;
/// Far above the longest lease, which is one day.
const YEAR_MS: u64 = 365 * 24 * 60 * 60 * 1_000;

/// Sends a request to the first core server; returns the status and the body as text.
fn call_for_text(method: &str, path: &str, body: &[u8], system: &System) -> (u16, String) {
    let answer = call(system.control(0), method, path, "", body).expect("an answer");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    (answer.status(), text)
}

/// Reads the state that a rejected request must not change: a key, the sizes of the tables, and the
/// events of a group.
fn read_state(system: &System) -> (Value, Value, Value) {
    let read = call_until_executed(system, "GET", "/v1/cells/g1.a", &Value::Null);
    let status = call_core(system, 0, "GET", "/v1/status/coordination", &Value::Null);
    let status = status.expect("a status").body;
    let size = json!([
        status["leases"],
        status["sequences"],
        status["keys"],
        status["events"]
    ]);
    let watch = call_until_executed(system, "GET", "/v1/watch/g1.?after=0", &Value::Null);
    (read.body, size, watch.body)
}

/// A method, a path, a body, and the field that the error message must name.
type InvalidRequest = (&'static str, String, Value, &'static str);

fn invalid_leases() -> Vec<InvalidRequest> {
    let lease = |holder: Value, hold_ms: Value| json!({ "holder": holder, "hold_ms": hold_ms });
    let long = json!("n".repeat(TOO_LONG_NAME));
    let fence = json!({ "holder": "a", "fence": -1, "hold_ms": 1_000 });
    let cases = [
        ("POST", lease(json!("a"), json!(0)), "hold_ms"),
        ("POST", lease(json!("a"), json!(-1)), "hold_ms"),
        ("POST", lease(json!("a"), json!(1.5)), "hold_ms"),
        ("POST", lease(json!("a"), json!(YEAR_MS)), "hold_ms"),
        ("POST", lease(json!("a"), json!("1000")), "hold_ms"),
        ("POST", json!({ "holder": "a" }), "hold_ms"),
        ("POST", lease(json!(""), json!(1_000)), "holder"),
        ("POST", lease(json!(7), json!(1_000)), "holder"),
        ("POST", lease(long, json!(1_000)), "holder"),
        ("POST", json!({ "hold_ms": 1_000 }), "holder"),
        ("PUT", lease(json!("a"), json!(1_000)), "fence"),
        ("PUT", fence, "fence"),
        ("DELETE", json!({ "holder": "a" }), "fence"),
    ];
    let with_path = |(method, body, field)| (method, "/v1/locks/l1".to_owned(), body, field);
    cases.into_iter().map(with_path).collect()
}

fn invalid_puts() -> Vec<InvalidRequest> {
    let long = "v".repeat(TOO_LONG_VALUE);
    let cases = [
        (json!({}), "value"),
        (json!({ "value": 7 }), "value"),
        (json!({ "value": long }), "value"),
        (json!({ "value": "two", "if_revision": -1 }), "if_revision"),
        (json!({ "value": "two", "if_revision": "1" }), "if_revision"),
    ];
    let with_path = |(body, field)| ("PUT", "/v1/cells/g1.a".to_owned(), body, field);
    cases.into_iter().map(with_path).collect()
}

fn invalid_names() -> Vec<InvalidRequest> {
    let long = "n".repeat(TOO_LONG_NAME);
    let lease = json!({ "holder": "a", "hold_ms": 1_000 });
    let cases = |name: &str| {
        let value = json!({ "value": "two" });
        [
            ("POST", format!("/v1/locks/{name}"), lease.clone(), "(lock)"),
            ("POST", format!("/v1/numbers/{name}"), json!({}), "(number)"),
            ("PUT", format!("/v1/cells/{name}"), value, "(key)"),
            ("GET", format!("/v1/cells/{name}"), Value::Null, "(key)"),
            ("GET", format!("/v1/watch/{name}"), Value::Null, "(group)"),
        ]
    };
    cases("").into_iter().chain(cases(&long)).collect()
}

fn invalid_watches() -> Vec<InvalidRequest> {
    let cases = [
        ("after=-1", "after"),
        ("after=x", "after"),
        ("after=1&wait_ms=-1", "wait_ms"),
    ];
    let with_path = |(query, field)| ("GET", format!("/v1/watch/g1.?{query}"), Value::Null, field);
    cases.into_iter().map(with_path).collect()
}

#[test]
fn invalid_fields_are_named_and_nothing_is_changed() {
    let system = System::start(&program_path(), 0);
    let body = json!({ "value": "one" });
    call_until_executed(&system, "PUT", "/v1/cells/g1.a", &body);
    let before = read_state(&system);
    let cases = [
        invalid_leases(),
        invalid_puts(),
        invalid_names(),
        invalid_watches(),
    ];
    for (method, path, body, field) in cases.into_iter().flatten() {
        let body = body.to_string();
        let (status, text) = call_for_text(method, &path, body.as_bytes(), &system);
        let request_summary: String = format!("{method} {path} {body}")
            .chars()
            .take(120)
            .collect();
        assert_eq!(status, 400, "{request_summary}: {text}");
        assert!(text.contains(field), "{request_summary}: {text}");
    }
    assert_eq!(read_state(&system), before);
}

#[test]
fn bodies_that_are_not_json_objects_are_rejected() {
    let system = System::start(&program_path(), 0);
    let body = json!({ "value": "one" });
    call_until_executed(&system, "PUT", "/v1/cells/g1.a", &body);
    let before = read_state(&system);
    let deep = "[".repeat(100_000);
    let bodies: [&[u8]; 7] = [
        b"",
        b"{",
        b"null",
        b"[]",
        b"\xff\xfe",
        b"{\"value\":\"\xff\"}",
        deep.as_bytes(),
    ];
    for body in bodies {
        for (method, path) in [("PUT", "/v1/cells/g1.a"), ("POST", "/v1/locks/l1")] {
            let (status, text) = call_for_text(method, path, body, &system);
            assert_eq!(status, 400, "{method} {path}: {text}");
        }
    }
    assert_eq!(read_state(&system), before);
}

#[test]
fn unknown_methods_get_405() {
    let system = System::start(&program_path(), 0);
    call_until_executed(&system, "POST", "/v1/numbers/n0", &json!({}));
    let body = json!({ "holder": "a", "hold_ms": 1_000, "fence": 1, "value": "one" }).to_string();
    let cases = [
        ("/v1/locks/l1", &["GET", "PATCH", "HEAD", "OPTIONS"][..]),
        ("/v1/numbers/n1", &["GET", "PUT", "DELETE", "PATCH"][..]),
        (
            "/v1/cells/g1.a",
            &["POST", "DELETE", "PATCH", "OPTIONS"][..],
        ),
        ("/v1/watch/g1.", &["POST", "PUT", "DELETE", "PATCH"][..]),
    ];
    for (path, methods) in cases {
        for method in methods.iter().filter(|method| **method != "HEAD") {
            let (status, text) = call_for_text(method, path, body.as_bytes(), &system);
            assert_eq!(status, 405, "{method} {path}: {text}");
        }
    }
}

#[test]
fn names_and_values_with_special_characters_round_trip() {
    let system = System::start(&program_path(), 0);
    call_until_executed(&system, "POST", "/v1/numbers/n0", &json!({}));
    let longest = "v".repeat(TOO_LONG_VALUE - 1);
    let values = [
        "",
        " ",
        "\u{0}",
        "\"\\\n",
        "ñ🦀",
        "\u{202e}",
        "a.b/c?d#e",
        &longest,
    ];
    // Percent-encoded names with the decoded names, which the events contain.
    let names = [
        ("g2.plain", "g2.plain"),
        ("g2.%00", "g2.\u{0}"),
        ("g2.a%2Fb", "g2.a/b"),
        ("g2.%3F%23%25", "g2.?#%"),
        ("g2.%C3%B1", "g2.ñ"),
        ("g2..", "g2.."),
        ("g2.a.b", "g2.a.b"),
        ("g2.a%20b", "g2.a b"),
    ];
    let mut after = Value::Null;
    for ((encoded, name), value) in names.into_iter().zip(values) {
        let path = format!("/v1/cells/{encoded}");
        let put = call_until_executed(&system, "PUT", &path, &json!({ "value": value }));
        assert_eq!(put.status, 200, "{encoded}: {put:?}");
        let revision = put.body["revision"].clone();
        let read = call_until_executed(&system, "GET", &path, &Value::Null);
        let expected = json!({ "value": value, "revision": revision });
        assert_eq!(read.body, expected, "{encoded}");
        if after != Value::Null {
            let path = format!("/v1/watch/g2.?after={after}");
            let watch = call_until_executed(&system, "GET", &path, &Value::Null);
            let event = json!({ "name": name, "value": value, "revision": revision });
            assert_eq!(watch.body["events"], json!([event]), "{encoded}");
        }
        after = revision;
    }
}

/// The server must not map different names with invalid UTF-8 to the same name by a lossy conversion.
#[test]
fn names_with_invalid_utf8_are_rejected() {
    let system = System::start(&program_path(), 0);
    call_until_executed(&system, "POST", "/v1/numbers/n0", &json!({}));
    for name in ["%FF", "%FE", "%C3", "a%80"] {
        let path = format!("/v1/numbers/{name}");
        let (status, text) = call_for_text("POST", &path, b"{}", &system);
        assert_eq!(status, 400, "{name}: {text}");
    }
}

#[test]
fn the_longest_lease_is_a_day() {
    let system = System::start(&program_path(), 0);
    let day = json!({ "holder": "a", "hold_ms": 24 * 60 * 60 * 1_000 });
    let acquired: Answer = call_until_executed(&system, "POST", "/v1/locks/l1", &day);
    assert_eq!(acquired.status, 200, "{acquired:?}");
    let shortest = json!({ "holder": "b", "hold_ms": 1 });
    let rejected = call_until_executed(&system, "POST", "/v1/locks/l1", &shortest);
    assert_eq!(rejected.status, 409, "{rejected:?}");
    let acquired = call_until_executed(&system, "POST", "/v1/locks/l2", &shortest);
    assert_eq!(acquired.status, 200, "{acquired:?}");
}
