//! Tests of the coordination service on real processes: calls at each core server, and the durability
//! of acknowledged data after all core servers were killed.

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

/// Number of core servers of a system.
const CORES: u8 = 3;
/// A client switches to another server after this time without a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of attempts of a call at one server until the call is executed within `CALLER_TIMEOUT`.
const MAX_ATTEMPTS: usize = 3;
/// Time limit for a group of servers to start and answer.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The status and the decoded body of a response.
#[derive(Debug)]
struct Answer {
    status: u16,
    body: Value,
}

fn call_core(system: &System, core: u8, method: &str, path: &str, body: &Value) -> Option<Answer> {
    let body = body.to_string();
    let answer = call(system.control(core), method, path, "", body.as_bytes())?;
    Some(Answer {
        status: answer.status(),
        body: serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
    })
}

/// Repeats a call at all servers in turn until one server has executed it.
fn call_until_executed(system: &System, method: &str, path: &str, body: &Value) -> Answer {
    let begin = Instant::now();
    for core in (0..CORES).cycle() {
        assert!(begin.elapsed() < START_TIMEOUT, "{method} {path}");
        let answer = call_core(system, core, method, path, body);
        if let Some(answer) = answer.filter(|answer| answer.status < 429) {
            return answer;
        }
    }
    unreachable!("the cycle over the servers does not end")
}

/// Repeats a call at one server until it is executed within `CALLER_TIMEOUT`. A single attempt may
/// take longer, since a commit waits for a disk that other processes use too.
fn call_until_executed_in_time(system: &System, core: u8, method: &str, path: &str, body: &Value) {
    for _ in 0..MAX_ATTEMPTS {
        let begin = Instant::now();
        let answer = call_core(system, core, method, path, body).expect("an answer");
        if answer.status == 200 && begin.elapsed() < CALLER_TIMEOUT {
            return;
        }
        let is_unclear = matches!(answer.status, 200 | 503 | 504);
        assert!(is_unclear, "{method} {path}: {answer:?}");
    }
    panic!("{method} {path}: not executed in time in {MAX_ATTEMPTS} attempts");
}

#[test]
fn short_calls_at_each_core_server_are_executed_in_time() {
    let system = System::start(&program_path(), 0);
    let first = call_until_executed(&system, "POST", "/v1/numbers/n0", &json!({}));
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
            call_until_executed_in_time(&system, core, method, &path, &body);
        }
    }
}

#[test]
fn acknowledged_data_survives_the_kill_of_all_core_servers() {
    let mut system = System::start(&program_path(), 0);
    let lock = json!({ "holder": "a1", "hold_ms": 600_000 });
    let acquired = call_until_executed(&system, "POST", "/v1/locks/l1", &lock);
    assert_eq!(acquired.status, 200, "{acquired:?}");
    let number = call_until_executed(&system, "POST", "/v1/numbers/n1", &json!({}));
    let put = |value: &str| {
        let body = json!({ "value": value });
        call_until_executed(&system, "PUT", "/v1/cells/g1.a", &body).body["revision"].clone()
    };
    let (first, second) = (put("one"), put("two"));
    (0..CORES).for_each(|core| system.kill_core(core));
    (0..CORES).for_each(|core| system.start_core(core, false));

    let read = call_until_executed(&system, "GET", "/v1/cells/g1.a", &Value::Null);
    assert_eq!(read.body, json!({ "value": "two", "revision": second }));
    let next = call_until_executed(&system, "POST", "/v1/numbers/n1", &json!({}));
    assert!(next.body["value"].as_u64() > number.body["value"].as_u64());
    let other = json!({ "holder": "a2", "hold_ms": 1_000 });
    let rejected = call_until_executed(&system, "POST", "/v1/locks/l1", &other);
    assert_eq!(rejected.status, 409, "{rejected:?}");
    let renewal = json!({
        "holder": "a1", "fence": acquired.body["fence"], "hold_ms": 600_000,
    });
    let renewed = call_until_executed(&system, "PUT", "/v1/locks/l1", &renewal);
    assert_eq!(renewed.status, 200, "{renewed:?}");
    let path = format!("/v1/watch/g1.?after={first}&wait_ms=1000");
    let watch = call_until_executed(&system, "GET", &path, &Value::Null);
    let event = json!({ "name": "g1.a", "value": "two", "revision": second });
    assert_eq!(watch.body, json!({ "events": [event], "revision": second }));
}
