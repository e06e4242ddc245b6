//! The transfer of a snapshot in chunks. The tests cover lost, repeated, corrupt and out-of-order
//! chunks, chunks of another snapshot, and the continuation of a transfer.

use super::builders::{SETTINGS, flush, founding_snapshot, message};
use nanoserde::DeBin;
use rstest::rstest;
use woadstall_consensus::{
    AppendEntriesResponse, DurableState, Entry, EntryPayload, InstallSnapshotRequest,
    InstallSnapshotResponse, Message, MessageBody, Record, Replica, ReplicaId, Snapshot,
    SnapshotChunk, VoteResponse,
};

const STATE_BYTES: usize = 500_000;

const SNAPSHOT_INDEX: u64 = 1_000;

fn state(seed: u8) -> Vec<u8> {
    (0..STATE_BYTES)
        .map(|position| (position % 251) as u8 ^ seed)
        .collect()
}

/// Creates replica 1 as a leader. Its log begins with a snapshot far ahead of the logs of its
/// followers.
fn leader(seed: u8) -> Replica {
    let mut durable = DurableState::new(1, founding_snapshot(1..=3));
    durable.apply_record(&Record::InstallSnapshot(Snapshot {
        index: SNAPSHOT_INDEX,
        state: state(seed),
        ..founding_snapshot(1..=3)
    }));
    let mut replica = Replica::new(durable, SETTINGS, 0, 1);
    replica.handle_message(10, message(2, 1, MessageBody::TimeoutNow));
    flush(&mut replica);
    replica.handle_message(
        20,
        message(
            2,
            2,
            MessageBody::VoteResponse(VoteResponse {
                pre_vote: false,
                granted: true,
            }),
        ),
    );
    assert!(replica.is_leader());
    replica
}

fn follower() -> Replica {
    let mut replica = Replica::new(
        DurableState::new(3, founding_snapshot(1..=3)),
        SETTINGS,
        0,
        3,
    );
    replica.take_outputs();
    replica
}

/// Delivers messages between the leader and the follower until neither sends a message. Returns the
/// number of chunks that the leader has sent.
fn exchange(
    now: u64,
    leader: &mut Replica,
    follower: &mut Replica,
    mut is_lost: impl FnMut(&Message) -> bool,
) -> usize {
    let mut chunks = 0;
    leader.tick(now);
    loop {
        let mut delivered = false;
        for message in flush(leader).into_iter().filter(|message| message.to == 3) {
            chunks += usize::from(matches!(
                message.body,
                MessageBody::InstallSnapshotRequest(_)
            ));
            if !is_lost(&message) {
                follower.handle_message(now, message);
                delivered = true;
            }
        }
        for message in flush(follower)
            .into_iter()
            .filter(|message| message.to == 1)
        {
            leader.handle_message(now, message);
            delivered = true;
        }
        if !delivered {
            return chunks;
        }
    }
}

fn has_caught_up(follower: &Replica) -> bool {
    follower.log().snapshot().index == SNAPSHOT_INDEX
        && follower.log().snapshot().state.len() == STATE_BYTES
}

#[test]
fn a_snapshot_is_sent_in_chunks_within_a_window() {
    let (mut leader, mut follower) = (leader(0), follower());
    // The response to the first heartbeat shows the leader that the follower lacks entries.
    let mut first = Vec::new();
    for message in flush(&mut leader)
        .into_iter()
        .filter(|message| message.to == 3)
    {
        follower.handle_message(30, message);
    }
    for message in flush(&mut follower) {
        leader.handle_message(30, message);
    }
    for message in flush(&mut leader) {
        if let MessageBody::InstallSnapshotRequest(InstallSnapshotRequest { chunk, .. }) =
            message.body
        {
            first.push(chunk.bytes.len());
        }
    }
    assert_eq!(first, [32 << 10; 4]);
}

#[test]
fn a_follower_receives_the_complete_snapshot() {
    let (mut leader, mut follower) = (leader(0), follower());
    let chunks = exchange(200, &mut leader, &mut follower, |_| false);
    assert!(has_caught_up(&follower));
    assert!(chunks <= STATE_BYTES / (32 << 10) + 2, "{chunks} chunks");
}

#[test]
fn only_lost_chunks_are_retransmitted() {
    let (mut leader, mut follower) = (leader(0), follower());
    let (mut count, mut total) = (0, 0);
    for round in 1..40 {
        total += exchange(round * 1_100, &mut leader, &mut follower, |message| {
            count += usize::from(matches!(
                message.body,
                MessageBody::InstallSnapshotRequest(_)
            ));
            matches!(message.body, MessageBody::InstallSnapshotRequest(_)) && count % 7 == 3
        });
        leader.handle_message(round * 1_100, message(2, 2, heartbeat_response(round * 20)));
        if has_caught_up(&follower) {
            break;
        }
    }
    assert!(has_caught_up(&follower));
    assert!(
        total < 40,
        "{total} chunks were sent, but 16 are sufficient"
    );
}

/// Creates a heartbeat response, which keeps a quorum in contact with the leader.
fn heartbeat_response(round: u64) -> MessageBody {
    MessageBody::AppendEntriesResponse(AppendEntriesResponse {
        success: true,
        last_index: 1,
        heartbeat_round: round,
    })
}

#[test]
fn a_follower_that_restarts_during_a_transfer_receives_it_from_the_beginning() {
    let (mut leader, mut follower) = (leader(0), follower());
    let mut count = 0;
    exchange(200, &mut leader, &mut follower, |message| {
        count += usize::from(matches!(
            message.body,
            MessageBody::InstallSnapshotRequest(_)
        ));
        count > 8
    });
    assert!(!has_caught_up(&follower));
    follower = Replica::new(
        DurableState::new(3, founding_snapshot(1..=3)),
        SETTINGS,
        0,
        4,
    );
    follower.take_outputs();
    for now in [400, 1_300, 1_450] {
        exchange(now, &mut leader, &mut follower, |_| false);
    }
    assert!(has_caught_up(&follower));
}

fn first_chunks(leader: &mut Replica, follower: &mut Replica, count: usize) -> Vec<SnapshotChunk> {
    let mut chunks = Vec::new();
    exchange(200, leader, follower, |message| {
        if let MessageBody::InstallSnapshotRequest(InstallSnapshotRequest { chunk, .. }) =
            &message.body
            && chunks.len() < count
        {
            chunks.push(chunk.clone());
        }
        chunks.len() >= count
    });
    chunks
}

#[rstest]
#[case::the_same_snapshot_resumes(0, true)]
#[case::another_snapshot_begins_anew(7, false)]
fn a_transfer_of_the_same_snapshot_resumes_under_another_leader(
    #[case] seed: u8,
    #[case] resumes: bool,
) {
    let (mut former, mut follower) = (leader(0), follower());
    let received = first_chunks(&mut former, &mut follower, 9).len();
    assert_eq!(received, 9);
    let mut next = leader(seed);
    let chunks = exchange(400, &mut next, &mut follower, |_| false);
    assert!(has_caught_up(&follower));
    assert_eq!(chunks < 14, resumes, "{chunks} chunks");
    assert_eq!(follower.log().snapshot().state, state(seed));
}

fn deliver(follower: &mut Replica, chunk: SnapshotChunk) -> Vec<Message> {
    follower.handle_message(
        300,
        Message {
            from: 1,
            to: 3,
            term: 2,
            body: MessageBody::InstallSnapshotRequest(InstallSnapshotRequest {
                chunk,
                heartbeat_round: 9,
            }),
        },
    );
    flush(follower)
}

#[rstest]
#[case::a_changed_byte(|chunk: &mut SnapshotChunk| chunk.bytes[5_000] ^= 1)]
#[case::another_checksum(|chunk: &mut SnapshotChunk| chunk.meta.checksum ^= 1)]
#[case::another_position(|chunk: &mut SnapshotChunk| chunk.meta.last_log.index += 1)]
fn a_corrupt_snapshot_is_rejected(#[case] change: fn(&mut SnapshotChunk)) {
    let (mut leader, mut follower) = (leader(0), follower());
    let mut chunks = first_chunks(&mut leader, &mut follower, 1);
    let first_chunk = chunks.remove(0);
    assert!(
        Snapshot::deserialize_bin(&first_chunk.bytes).is_err(),
        "the first chunk alone is not a complete snapshot"
    );
    let mut fresh = self::follower();
    let mut sender = self::leader(0);
    let mut all = Vec::new();
    let mut receiver = self::follower();
    exchange(200, &mut sender, &mut receiver, |message| {
        if let MessageBody::InstallSnapshotRequest(InstallSnapshotRequest { chunk, .. }) =
            &message.body
        {
            all.push(chunk.clone());
        }
        false
    });
    change(&mut all[0]);
    let meta = all[0].meta;
    for mut chunk in all {
        chunk.meta = meta;
        deliver(&mut fresh, chunk);
    }
    assert!(!has_caught_up(&fresh));
    assert_eq!(fresh.commit_index(), 1);
}

#[test]
fn out_of_order_chunks_and_oversized_metadata_are_not_buffered() {
    let (mut leader, mut follower) = (leader(0), follower());
    let first = first_chunks(&mut leader, &mut follower, 1).remove(0);
    let mut fresh = self::follower();
    let middle = SnapshotChunk {
        offset: 32 << 10,
        ..first.clone()
    };
    let mut oversized = first;
    oversized.meta.size = 1 << 40;
    for chunk in [middle, oversized] {
        let responses = deliver(&mut fresh, chunk);
        assert!(
            matches!(
                responses[0].body,
                MessageBody::InstallSnapshotResponse(InstallSnapshotResponse {
                    received_bytes: 0,
                    ..
                })
            ),
            "{responses:?}"
        );
    }
}

#[test]
fn uncommitted_entries_are_bounded() {
    let mut leader = leader(0);
    flush(&mut leader);
    let accepted = (0..100)
        .take_while(|_| leader.propose(vec![0; 100 << 10]).is_ok())
        .count();
    assert!(
        (35..=45).contains(&accepted),
        "{accepted} entries of 0.1 MB are uncommitted, but the limit is 4 MB"
    );
    let uncommitted: usize = leader.log().entries().iter().map(bytes).sum();
    assert!(uncommitted < 5 << 20);
}

fn bytes(entry: &Entry) -> usize {
    match &entry.payload {
        EntryPayload::Command(command) => command.len(),
        EntryPayload::Blank | EntryPayload::Membership(_) => 0,
    }
}

#[test]
fn the_sender_of_chunks_is_followed_as_the_leader() {
    let (mut leader, mut follower) = (leader(0), follower());
    let first = first_chunks(&mut leader, &mut follower, 1).remove(0);
    let mut fresh = self::follower();
    deliver(&mut fresh, first);
    const LEADER: ReplicaId = 1;
    assert_eq!(fresh.leader(), Some(LEADER));
}
