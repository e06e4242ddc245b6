//! Pins the bytes of the transferred document, since predecessor and successor may run different versions.

use woadstall_decisions::api::{LearnedLatency, LearnedServer, LearnedState, ServerId};
use woadstall_hot_restart::TransferredState;

/// Compares a text with the golden file `name`.
fn assert_golden(name: &str, text: &str) {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    let expected = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    assert_eq!(text, expected, "{name}");
}

fn latency(mean: f64, mean_deviation: f64, baseline: f64, calls: u32) -> LearnedLatency {
    LearnedLatency {
        mean,
        mean_deviation,
        baseline,
        calls,
    }
}

/// Builds the state of an upstream, with the number of openings of its circuit breaker and the breaker's remaining open
/// time in nanoseconds.
fn server(
    id: u32,
    started: Option<u64>,
    slowness: f64,
    (recent_opens, open_for): (u32, Option<u64>),
) -> LearnedServer {
    LearnedServer {
        server: ServerId(id),
        started,
        slowness,
        recent_opens,
        open_for,
    }
}

fn learned() -> LearnedState {
    LearnedState {
        classes: vec![
            (0, latency(2e8, 5e7, 1.5e8, 40)),
            (1, latency(0.0, 0.0, 0.0, 0)),
            (2, latency(123456789.125, 1e-7, 1e21, u32::MAX)),
        ],
        overall: latency(1e8, 2.5e7, 9e7, 41),
        responses_per_second: 12.5,
        responses: 30.0,
        pending: 11.25,
        failure_rate: 0.25,
        servers: vec![
            server(1, None, 1.0, (0, None)),
            server(2, Some(7), 1.5, (2, Some(9))),
            server(3, Some(u64::MAX), 0.0, (u32::MAX, Some(u64::MAX))),
        ],
    }
}

const CLASSES: [&str; 3] = ["look", "pay", "post \"é\""];

fn state(learned: &LearnedState) -> TransferredState {
    TransferredState::new(
        learned,
        |position| CLASSES.get(position).copied(),
        |server| Some(format!("s-{}", server.0)),
    )
}

fn decoded_learned(state: &TransferredState) -> LearnedState {
    let upstream = |name: &str| name.strip_prefix("s-")?.parse().ok().map(ServerId);
    state.learned(
        |name| CLASSES.iter().position(|class| *class == name),
        upstream,
    )
}

#[test]
fn each_field_is_encoded_as_recorded_and_decoded_unchanged() {
    let text = String::from_utf8(state(&learned()).encode()).unwrap();
    assert_golden("state.json", &text);
    assert_eq!(
        decoded_learned(&TransferredState::decode(text.as_bytes()).unwrap()),
        learned()
    );
}

#[test]
fn empty_state_is_encoded_as_recorded() {
    let text = String::from_utf8(state(&LearnedState::default()).encode()).unwrap();
    assert_golden("state-empty.json", &text);
    assert_eq!(
        decoded_learned(&TransferredState::decode(text.as_bytes()).unwrap()),
        LearnedState::default()
    );
}

#[test]
fn each_error_names_its_field() {
    let text = String::from_utf8(state(&learned()).encode()).unwrap();
    let replaced = |from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    };
    let documents = [
        String::new(),
        "[]".to_owned(),
        "{}".to_owned(),
        "{\"version\":1}".to_owned(),
        replaced("\"version\":1", "\"version\":2"),
        replaced("\"version\":1", "\"version\":\"1\""),
        replaced("\"mean\":200000000.0", "\"mean\":-1"),
        replaced("\"deviation\":50000000.0", "\"deviation\":-2"),
        replaced("\"calm\":150000000.0", "\"calm\":-3"),
        replaced("\"calls\":40", "\"calls\":-4"),
        replaced("\"mean\":100000000.0", "\"mean\":-5"),
        replaced("\"mean\":100000000.0,", ""),
        replaced("\"rate\":12.5", "\"rate\":-1"),
        replaced("\"answers\":30.0", "\"answers\":-1"),
        replaced("\"held\":11.25", "\"held\":-1"),
        replaced("\"failing\":0.25", "\"failing\":2"),
        replaced("\"slowness\":1.5", "\"slowness\":-1"),
        replaced("\"slowness\":1.5", "\"slowness\":\"slow\""),
        replaced("\"opens\":2", "\"opens\":2.5"),
        replaced("\"open_for\":9", "\"open_for\":-9"),
        replaced("\"started\":7", "\"started\":\"7\""),
        text[..text.len() / 2].to_owned(),
    ];
    let errors = documents.map(|text| {
        TransferredState::decode(text.as_bytes())
            .unwrap_err()
            .to_string()
            + "\n"
    });
    assert_golden("state-errors.txt", &errors.concat());
}
