//! Tests of encoding, decoding and validating the transferred document.

use super::*;
use proptest::prelude::*;

fn learned() -> LearnedState {
    let latency = LearnedLatency {
        mean: 2e8,
        mean_deviation: 5e7,
        baseline: 1.5e8,
        calls: 40,
    };
    let server = |server, open_for| LearnedServer {
        server: ServerId(server),
        started: Some(7),
        slowness: 1.5,
        recent_opens: 2,
        open_for,
    };
    LearnedState {
        classes: vec![(0, latency), (1, latency)],
        overall: latency,
        responses_per_second: 12.5,
        responses: 30.0,
        pending: 11.0,
        failure_rate: 0.25,
        servers: vec![server(1, None), server(2, Some(9))],
    }
}

fn state() -> TransferredState {
    let class_name = |position: usize| ["look", "pay"].get(position).copied();
    TransferredState::new(&learned(), class_name, |server| {
        Some(format!("s-{}", server.0))
    })
}

#[test]
fn learned_state_is_restored_under_the_ids_of_the_successor() {
    let decoded = TransferredState::decode(&state().encode()).unwrap();
    let upstream_id = |name: &str| (name == "s-2").then_some(ServerId(5));
    let restored = decoded.learned(|name| (name == "pay").then_some(7), upstream_id);
    let expected = learned();
    assert_eq!(restored.classes, [(7, expected.classes[1].1)]);
    assert_eq!(
        restored.servers,
        [LearnedServer {
            server: ServerId(5),
            ..expected.servers[1]
        }]
    );
    assert_eq!(
        (
            restored.responses_per_second,
            restored.responses,
            restored.pending,
            restored.failure_rate
        ),
        (12.5, 30.0, 11.0, 0.25)
    );
}

#[test]
fn an_invalid_document_is_rejected_by_the_name_of_its_field() {
    let text = String::from_utf8(state().encode()).unwrap();
    let cases = [
        (
            text.replace("\"version\":1", "\"version\":2"),
            "`version` is 2",
        ),
        (text.replace("\"rate\":12.5", "\"rate\":-1"), "`rate` is -1"),
        (
            text.replace("\"failing\":0.25", "\"failing\":2"),
            "`failing` is 2",
        ),
        (
            text.replace("\"slowness\":1.5", "\"slowness\":\"slow\""),
            "upstreams.s-1.slowness",
        ),
        (
            text.replace("\"mean\":200000000.0", "\"mean\":-1"),
            "classes.look.mean",
        ),
        (text[..text.len() / 2].to_owned(), "EOF"),
        (String::new(), "EOF"),
    ];
    for (text, expected) in cases {
        let error = TransferredState::decode(text.as_bytes())
            .expect_err(expected)
            .to_string();
        assert!(
            error.contains(expected) && error.lines().count() == 1,
            "{error}"
        );
    }
}

proptest! {
    /// Guards against a crash at startup: a corrupted document of a predecessor must be decoded or rejected, without a
    /// panic.
    #[test]
    fn a_corrupted_document_is_decoded_or_rejected(
        length in 0usize..2000, position in 0usize..2000, byte in any::<u8>(),
    ) {
        let mut document = state().encode();
        document.truncate(length.max(1));
        let position = position % document.len();
        document[position] = byte;
        if let Ok(state) = TransferredState::decode(&document) {
            prop_assert_eq!(TransferredState::decode(&state.encode()).ok(), Some(state));
        }
    }
}
