//! The encoding of each message and each stored record. Other versions of the program read these
//! bytes from the network and from disk, so the encoding must not change.

use nanoserde::{DeBin, SerBin};
use rstest::rstest;
use std::fmt::Debug;
use std::path::PathBuf;
use woadstall_consensus::{
    AppendEntriesRequest, AppendEntriesResponse, Entry, EntryPayload, InstallSnapshotRequest,
    InstallSnapshotResponse, LogPosition, Member, Membership, Message, MessageBody, Record,
    Snapshot, SnapshotChunk, SnapshotMeta, VoteRequest, VoteResponse,
};

/// Asserts that the encoding of a value equals `tests/golden/NAME.hex`, and that decoding these
/// bytes returns the value.
fn assert_golden<T: SerBin + DeBin + Debug + PartialEq>(name: &str, value: &T) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.hex"));
    let fixture = std::fs::read_to_string(&path).unwrap();
    let expected = fixture.trim();
    let encoded: String = value
        .serialize_bin()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    assert_eq!(encoded, expected, "{name}");
    let decoded: T = DeBin::deserialize_bin(&decode_hex(expected)).unwrap();
    assert_eq!(decoded, *value, "{name}");
}

fn decode_hex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect()
}

fn member(id: u64) -> Member {
    Member {
        id,
        address: format!("10.0.0.{id}:7000"),
    }
}

fn changing_membership() -> Membership {
    Membership {
        voters: vec![member(1), member(2), member(3)],
        next_voters: vec![member(1), member(4)],
    }
}

fn entry(index: u64, payload: EntryPayload) -> Entry {
    Entry {
        index,
        term: 3,
        payload,
    }
}

fn entries() -> Vec<Entry> {
    vec![
        entry(11, EntryPayload::Blank),
        entry(12, EntryPayload::Command(b"command".to_vec())),
        entry(13, EntryPayload::Membership(changing_membership())),
        entry(
            14,
            EntryPayload::Membership(Membership::new(vec![member(1), member(4)])),
        ),
    ]
}

fn snapshot() -> Snapshot {
    Snapshot {
        index: 10,
        term: 2,
        membership: changing_membership(),
        state: b"state".to_vec(),
    }
}

fn meta() -> SnapshotMeta {
    SnapshotMeta {
        last_log: LogPosition { index: 10, term: 2 },
        size: 70_000,
        checksum: 0x89ab_cdef,
    }
}

fn chunk() -> SnapshotChunk {
    SnapshotChunk {
        meta: meta(),
        offset: 32_768,
        bytes: vec![1, 2, 3, 0xff],
    }
}

#[rstest]
#[case::vote("message-vote", MessageBody::VoteRequest(VoteRequest { pre_vote: false, last_log: LogPosition { index: 14, term: 3 }, leadership_transfer: true }))]
#[case::pre_vote("message-pre-vote", MessageBody::VoteRequest(VoteRequest { pre_vote: true, last_log: LogPosition { index: 14, term: 3 }, leadership_transfer: false }))]
#[case::vote_reply("message-vote-reply", MessageBody::VoteResponse(VoteResponse { pre_vote: false, granted: true }))]
#[case::pre_vote_reply("message-pre-vote-reply", MessageBody::VoteResponse(VoteResponse { pre_vote: true, granted: false }))]
#[case::heartbeat(
    "message-heartbeat",
    MessageBody::AppendEntriesRequest(AppendEntriesRequest { previous: LogPosition { index: 14, term: 3 }, entries: vec![], leader_commit: 12, heartbeat_round: 99 })
)]
#[case::append(
    "message-append",
    MessageBody::AppendEntriesRequest(AppendEntriesRequest { previous: LogPosition { index: 10, term: 2 }, entries: entries(), leader_commit: 12, heartbeat_round: 100 })
)]
#[case::append_reply("message-append-reply", MessageBody::AppendEntriesResponse(AppendEntriesResponse { success: true, last_index: 14, heartbeat_round: 100 }))]
#[case::append_reply_failed(
    "message-append-reply-failed",
    MessageBody::AppendEntriesResponse(AppendEntriesResponse { success: false, last_index: 9, heartbeat_round: 101 })
)]
#[case::install("message-install", MessageBody::InstallSnapshotRequest(InstallSnapshotRequest { chunk: chunk(), heartbeat_round: 102 }))]
#[case::install_reply(
    "message-install-reply",
    MessageBody::InstallSnapshotResponse(InstallSnapshotResponse { meta: meta(), received_bytes: 32_772, heartbeat_round: 102 })
)]
#[case::elect("message-elect", MessageBody::TimeoutNow)]
fn messages_have_the_recorded_bytes(#[case] name: &str, #[case] body: MessageBody) {
    let message = Message {
        from: 1,
        to: 0x0102_0304_0506_0708,
        term: 5,
        body,
    };
    assert_golden(name, &message);
}

#[rstest]
#[case::empty("entry-empty", entry(11, EntryPayload::Blank))]
#[case::command("entry-command", entry(12, EntryPayload::Command(b"command".to_vec())))]
#[case::members(
    "entry-members",
    entry(13, EntryPayload::Membership(changing_membership()))
)]
fn entries_have_the_recorded_bytes(#[case] name: &str, #[case] entry: Entry) {
    assert_golden(name, &entry);
}

#[rstest]
#[case::term("record-term", Record::Term { term: 7, voted_for: 2 })]
#[case::append("record-append", Record::Append(entries()))]
#[case::install("record-install", Record::InstallSnapshot(snapshot()))]
#[case::commit("record-commit", Record::Commit(12))]
fn records_have_the_recorded_bytes(#[case] name: &str, #[case] record: Record) {
    assert_golden(name, &record);
}

#[test]
fn snapshots_have_the_recorded_bytes() {
    assert_golden("snapshot", &snapshot());
}

#[test]
fn snapshot_metadata_has_the_recorded_bytes() {
    let snapshot = snapshot();
    assert_golden(
        "snapshot-head",
        &SnapshotMeta::of(&snapshot, &snapshot.serialize_bin()),
    );
}

#[test]
fn members_have_the_recorded_bytes() {
    assert_golden("member", &member(4));
}
