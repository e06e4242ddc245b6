//! The binary formats of batches, states and packets, and the rejection of corrupt bytes.
//!
//! Each line of the golden file holds the name of a value and its bytes in hexadecimal. A
//! difference means that stored data can no longer be read, or that processes of two versions can
//! no longer communicate.

mod support;

use nanoserde::{DeBin, SerBin};
use rstest::rstest;
use std::fmt::Write;
use support::{HISTORY_MS, Service, acquire, batch, get, group_revision, next_number, put};
use support::{release, renew};
use woadstall_consensus::{
    AppendEntriesRequest, Entry, EntryPayload, LeaderTime, LogPosition, Member, Message,
    MessageBody,
};
use woadstall_control::wire::{decode_frame, encode_frame};
use woadstall_coordination::batch::{Batch, BatchedCall, CallId};
use woadstall_coordination::command::Call;
use woadstall_coordination::encoding::DecodeError;
use woadstall_coordination::state::CoordinationState;
use woadstall_coordination::wire::{ForwardedCall, MachineInfo, Packet};

const GOLDEN: &str = include_str!("golden/forms.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

/// The bytes of a value in the golden file.
fn golden(name: &str) -> Vec<u8> {
    let value = GOLDEN
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = value.unwrap_or_else(|| panic!("the golden file has no value {name}"));
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

fn assert_golden(name: &str, bytes: &[u8]) {
    assert_eq!(
        hex(bytes),
        hex(&golden(name)),
        "the bytes of {name} have changed"
    );
}

/// A batch with each kind of call.
fn batch_of_all_calls() -> Batch {
    let calls = [
        Call::Command(acquire("l", "a", 3_000)),
        Call::Command(renew("l", "a", 1, 4_000)),
        Call::Command(release("m", "b", 7)),
        Call::Command(next_number("n")),
        Call::Command(put("g.a", "x", None)),
        Call::Command(put("g.b", "y", Some(0))),
        Call::Query(get("g.a")),
        Call::Query(group_revision("g")),
    ];
    batch(1_000, calls)
}

/// A state with entries in each table and with expired history.
fn state() -> CoordinationState {
    let mut service = Service::new();
    service.execute(put("h.a", "w", None));
    let batch = Batch {
        clock_ms: HISTORY_MS + 1,
        ..batch_of_all_calls()
    };
    service.state.apply(7, batch, support::INCARNATION);
    service.state
}

fn call() -> BatchedCall {
    BatchedCall {
        id: CallId {
            incarnation: 77,
            number: 5,
        },
        call: Call::Command(next_number("n")),
    }
}

fn member() -> Member {
    Member {
        id: 3,
        address: "10.0.0.3:7720".to_owned(),
    }
}

fn packets() -> Vec<(&'static str, Packet)> {
    let machine = MachineInfo {
        member: member(),
        zone: "z".to_owned(),
        region: "r".to_owned(),
    };
    let position = LogPosition { index: 1, term: 1 };
    let entry = Entry {
        index: 2,
        term: 4,
        payload: EntryPayload::Command(vec![1, 2]),
    };
    let append = AppendEntriesRequest {
        previous: position,
        entries: vec![entry],
        leader_commit: 1,
        heartbeat_round: 9,
    };
    let message = Message {
        from: 1,
        to: 2,
        term: 4,
        body: MessageBody::AppendEntriesRequest(append),
    };
    let forwarded = ForwardedCall {
        call: call(),
        deadline: LeaderTime {
            term: 4,
            at: 50_900,
        },
    };
    vec![
        ("packet_hello", Packet::Hello(machine)),
        (
            "packet_consensus",
            Packet::Consensus {
                message,
                clock: 50_000,
            },
        ),
        ("packet_join_request", Packet::JoinRequest(member())),
        ("packet_replica_stopping", Packet::ReplicaStopping(3)),
        ("packet_calls", Packet::Calls(vec![forwarded])),
        (
            "packet_rejected_calls",
            Packet::RejectedCalls(vec![call().id]),
        ),
    ]
}

#[test]
fn packet_encoding_is_stable() {
    for (name, packet) in packets() {
        assert_golden(name, &packet.serialize_bin());
        assert_eq!(Packet::deserialize_bin(&golden(name)).unwrap(), packet);
    }
}

#[test]
fn batch_encoding_is_stable() {
    assert_golden("batch", &batch_of_all_calls().encode());
    assert_eq!(
        Batch::decode(&golden("batch")).unwrap(),
        batch_of_all_calls()
    );
}

#[test]
fn state_encoding_is_stable() {
    assert_golden("state", &state().encode());
    let restored = CoordinationState::decode(&golden("state")).unwrap();
    assert_eq!(restored.encode(), golden("state"));
    assert_eq!(restored.size(), state().size());
    assert_eq!((restored.index(), restored.clock_ms()), (7, HISTORY_MS + 1));
}

#[test]
fn empty_state_encoding_is_stable() {
    assert_golden("state_empty", &CoordinationState::default().encode());
}

/// Whether bytes can be decoded as a particular type.
type Decodes = fn(&[u8]) -> bool;

const DECODES_BATCH: Decodes = |bytes| Batch::decode(bytes).is_ok();
const DECODES_STATE: Decodes = |bytes| CoordinationState::decode(bytes).is_ok();
const DECODES_FRAME: Decodes = |bytes| decode_frame::<Packet>(bytes).is_ok();

#[rstest]
#[case::batch(vec![batch_of_all_calls().encode()], DECODES_BATCH)]
#[case::state(vec![state().encode()], DECODES_STATE)]
#[case::packets(packets().iter().map(|(_, packet)| encode_frame(packet)).collect(), DECODES_FRAME)]
fn corrupt_bytes_are_rejected(#[case] encoded: Vec<Vec<u8>>, #[case] decodes: Decodes) {
    for bytes in encoded {
        assert!(decodes(&bytes));
        for length in 0..bytes.len() {
            assert!(!decodes(&bytes[..length]), "truncated to {length} bytes");
        }
        for (at, bit) in (0..bytes.len()).flat_map(|at| (0..8).map(move |bit| (at, bit))) {
            let mut corrupt = bytes.clone();
            corrupt[at] ^= 1 << bit;
            assert!(!decodes(&corrupt), "bit {bit} of byte {at} flipped");
        }
        for at in 0..bytes.len() {
            let mut corrupt = bytes.clone();
            corrupt[at] = !corrupt[at];
            assert!(!decodes(&corrupt), "byte {at} inverted");
        }
    }
}

#[test]
fn an_unsupported_version_is_reported() {
    let mut bytes = batch_of_all_calls().encode();
    bytes[0] = 9;
    bytes.truncate(40);
    assert!(matches!(
        Batch::decode(&bytes),
        Err(DecodeError::Version(9))
    ));
    let mut bytes = state().encode();
    bytes[0] = 9;
    bytes.truncate(40);
    assert!(matches!(
        CoordinationState::decode(&bytes),
        Err(DecodeError::Version(9))
    ));
}
