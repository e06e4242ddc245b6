//! The coordination service on processes: calls at each core machine, and what was acknowledged after
//! all of them were killed.

#[path = "common/program.rs"]
mod program;
#[path = "coordination/requests.rs"]
mod requests;
#[path = "coordination/shutdown.rs"]
mod shutdown;
#[path = "coordination/waiting.rs"]
mod waiting;

use program::program_path;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use woadstall_mock_servers::system::{System, call};

/// Core machines of a system.
const CORES: u8 = 3;
/// A caller goes to another machine after this time without a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a call is made at one machine until it is executed in time.
const MAX_ATTEMPTS: usize = 3;
/// How long a group of machines that starts may take to answer.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The status and the body of a response, if one came.
#[derive(Debug)]
struct Answer {
    status: u16,
    body: Value,
}

fn ask(system: &System, core: u8, method: &str, path: &str, body: &Value) -> Option<Answer> {
    let body = body.to_string();
    let answer = call(system.control(core), method, path, "", body.as_bytes())?;
    Some(Answer {
        status: answer.status(),
        body: serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
    })
}

/// Repeats a call at all machines in turn until one has executed it.
fn ask_until_executed(system: &System, method: &str, path: &str, body: &Value) -> Answer {
    let begin = Instant::now();
    for core in (0..CORES).cycle() {
        assert!(begin.elapsed() < START_TIMEOUT, "{method} {path}");
        let answer = ask(system, core, method, path, body);
        if let Some(answer) = answer.filter(|answer| answer.status < 429) {
            return answer;
        }
    }
    unreachable!("the machines are tried in turn")
}

/// Repeats a call at one machine until it is executed in a caller's time: a commit may wait for a disk that others use too.
fn ask_until_executed_in_time(system: &System, core: u8, method: &str, path: &str, body: &Value) {
    for _ in 0..MAX_ATTEMPTS {
        let begin = Instant::now();
        let answer = ask(system, core, method, path, body).expect("an answer");
        if answer.status == 200 && begin.elapsed() < CALLER_TIMEOUT {
            return;
        }
        let is_unclear = matches!(answer.status, 200 | 503 | 504);
        assert!(is_unclear, "{method} {path}: {answer:?}");
    }
    panic!("{method} {path}: not executed in time in {MAX_ATTEMPTS} attempts");
}

#[test]
fn short_calls_at_each_core_machine_are_executed_in_time() {
    let system = System::start(&program_path(), 0);
    let first = ask_until_executed(&system, "POST", "/v1/numbers/n0", &json!({}));
    assert_eq!(first.status, 200, "{first:?}");
    for core in 0..CORES {
        let name = format!("{core}");
        let lock = json!({ "holder": "a1", "hold_ms": 3_000 });
        let calls = [
            ("POST", format!("/v1/locks/l{name}"), lock),
            ("POST", "/v1/numbers/n1".to_owned(), json!({})),
            (
                "PUT",
                format!("/v1/cells/g1.{name}"),
                json!({ "value": name }),
            ),
            ("GET", format!("/v1/cells/g1.{name}"), Value::Null),
            ("GET", "/v1/watch/g1.?after=0".to_owned(), Value::Null),
        ];
        for (method, path, body) in calls {
            ask_until_executed_in_time(&system, core, method, &path, &body);
        }
    }
}

#[test]
fn lost_nothing_acknowledged_when_all_core_machines_are_killed() {
    let mut system = System::start(&program_path(), 0);
    let lock = json!({ "holder": "a1", "hold_ms": 600_000 });
    let acquired = ask_until_executed(&system, "POST", "/v1/locks/l1", &lock);
    assert_eq!(acquired.status, 200, "{acquired:?}");
    let number = ask_until_executed(&system, "POST", "/v1/numbers/n1", &json!({}));
    let put = |value: &str| {
        let body = json!({ "value": value });
        ask_until_executed(&system, "PUT", "/v1/cells/g1.a", &body).body["revision"].clone()
    };
    let (first, second) = (put("one"), put("two"));
    (0..CORES).for_each(|core| system.kill_core(core));
    (0..CORES).for_each(|core| system.start_core(core, false));

    let read = ask_until_executed(&system, "GET", "/v1/cells/g1.a", &Value::Null);
    assert_eq!(read.body, json!({ "value": "two", "revision": second }));
    let next = ask_until_executed(&system, "POST", "/v1/numbers/n1", &json!({}));
    assert!(next.body["value"].as_u64() > number.body["value"].as_u64());
    let other = json!({ "holder": "a2", "hold_ms": 1_000 });
    let held = ask_until_executed(&system, "POST", "/v1/locks/l1", &other);
    assert_eq!(held.status, 409, "{held:?}");
    let renewal = json!({
        "holder": "a1", "fence": acquired.body["fence"], "hold_ms": 600_000,
    });
    let renewed = ask_until_executed(&system, "PUT", "/v1/locks/l1", &renewal);
    assert_eq!(renewed.status, 200, "{renewed:?}");
    let path = format!("/v1/watch/g1.?after={first}&wait_ms=1000");
    let watch = ask_until_executed(&system, "GET", &path, &Value::Null);
    let event = json!({ "name": "g1.a", "value": "two", "revision": second });
    assert_eq!(watch.body, json!({ "events": [event], "revision": second }));
}
