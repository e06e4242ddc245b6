//! Snapshots in pieces: lost, repeated, of another snapshot, damaged, and resumed.

mod single;

use nanoserde::DeBin;
use rstest::rstest;
use single::{SETTINGS, settled};
use woadstall_consensus::{
    AppendEntriesResponse, DurableState, Entry, EntryPayload, InstallSnapshotRequest,
    InstallSnapshotResponse, Member, Membership, Message, MessageBody, Record, Replica, ReplicaId,
    Snapshot, SnapshotChunk, VoteResponse,
};

const STATE_BYTES: usize = 500_000;
const FAR: u64 = 1_000;

fn members() -> Membership {
    Membership::new(
        (1..=3)
            .map(|id| Member {
                id,
                address: format!("machine-{id}"),
            })
            .collect(),
    )
}

fn founding() -> Snapshot {
    Snapshot {
        index: 1,
        term: 1,
        membership: members(),
        state: Vec::new(),
    }
}

fn state(seed: u8) -> Vec<u8> {
    (0..STATE_BYTES)
        .map(|position| (position % 251) as u8 ^ seed)
        .collect()
}

/// Replica 1 as a leader whose log begins with a snapshot far behind where the others are.
fn leader(seed: u8) -> Replica {
    let mut durable = DurableState::new(1, founding());
    durable.apply_record(&Record::InstallSnapshot(Snapshot {
        index: FAR,
        term: 1,
        membership: members(),
        state: state(seed),
    }));
    let mut replica = Replica::new(durable, SETTINGS, 0, 1);
    replica.handle_message(
        10,
        Message {
            from: 2,
            to: 1,
            term: 1,
            body: MessageBody::TimeoutNow,
        },
    );
    settled(&mut replica);
    replica.handle_message(
        20,
        Message {
            from: 2,
            to: 1,
            term: 2,
            body: MessageBody::VoteResponse(VoteResponse {
                pre_vote: false,
                granted: true,
            }),
        },
    );
    assert!(replica.is_leader());
    replica
}

fn follower() -> Replica {
    let mut replica = Replica::new(DurableState::new(3, founding()), SETTINGS, 0, 3);
    replica.take_outputs();
    replica
}

/// Passes messages between the leader and the follower as long as there are any, at most so many of the leader's.
fn exchange(
    now: u64,
    leader: &mut Replica,
    follower: &mut Replica,
    mut loses: impl FnMut(&Message) -> bool,
) -> usize {
    let mut pieces = 0;
    leader.tick(now);
    loop {
        let mut passed = false;
        for message in settled(leader)
            .into_iter()
            .filter(|message| message.to == 3)
        {
            pieces += usize::from(matches!(
                message.body,
                MessageBody::InstallSnapshotRequest(_)
            ));
            if !loses(&message) {
                follower.handle_message(now, message);
                passed = true;
            }
        }
        for message in settled(follower)
            .into_iter()
            .filter(|message| message.to == 1)
        {
            leader.handle_message(now, message);
            passed = true;
        }
        if !passed {
            return pieces;
        }
    }
}

fn has_caught_up(follower: &Replica) -> bool {
    follower.log().snapshot().index == FAR && follower.log().snapshot().state.len() == STATE_BYTES
}

#[test]
fn a_snapshot_goes_in_bounded_pieces_of_which_few_are_on_their_way() {
    let (mut leader, mut follower) = (leader(0), follower());
    // The first heartbeat finds the follower behind.
    let mut first = Vec::new();
    for message in settled(&mut leader)
        .into_iter()
        .filter(|message| message.to == 3)
    {
        follower.handle_message(30, message);
    }
    for message in settled(&mut follower) {
        leader.handle_message(30, message);
    }
    for message in settled(&mut leader) {
        if let MessageBody::InstallSnapshotRequest(InstallSnapshotRequest {
            chunk: piece, ..
        }) = message.body
        {
            first.push(piece.bytes.len());
        }
    }
    assert_eq!(first, [32 << 10; 4]);
}

#[test]
fn a_follower_gets_it_whole() {
    let (mut leader, mut follower) = (leader(0), follower());
    let pieces = exchange(200, &mut leader, &mut follower, |_| false);
    assert!(has_caught_up(&follower));
    assert!(pieces <= STATE_BYTES / (32 << 10) + 2, "{pieces} pieces");
}

#[test]
fn pieces_that_are_lost_come_again_and_no_others() {
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
        leader.handle_message(
            round * 1_100,
            Message {
                from: 2,
                to: 1,
                term: 2,
                body: answer(round * 20),
            },
        );
        if has_caught_up(&follower) {
            break;
        }
    }
    assert!(has_caught_up(&follower));
    assert!(total < 40, "{total} pieces where 16 are enough");
}

/// Keeps the leader in office.
fn answer(round: u64) -> MessageBody {
    MessageBody::AppendEntriesResponse(AppendEntriesResponse {
        success: true,
        last_index: 1,
        heartbeat_round: round,
    })
}

#[test]
fn a_follower_that_starts_again_in_the_middle_begins_anew() {
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
    follower = Replica::new(DurableState::new(3, founding()), SETTINGS, 0, 4);
    follower.take_outputs();
    for now in [400, 1_300, 1_450] {
        exchange(now, &mut leader, &mut follower, |_| false);
    }
    assert!(has_caught_up(&follower));
}

fn first_pieces(leader: &mut Replica, follower: &mut Replica, most: usize) -> Vec<SnapshotChunk> {
    let mut pieces = Vec::new();
    exchange(200, leader, follower, |message| {
        if let MessageBody::InstallSnapshotRequest(InstallSnapshotRequest { chunk: piece, .. }) =
            &message.body
            && pieces.len() < most
        {
            pieces.push(piece.clone());
        }
        pieces.len() >= most
    });
    pieces
}

#[rstest]
#[case::the_same_snapshot_goes_on(0, true)]
#[case::another_one_begins_anew(7, false)]
fn what_has_come_from_one_leader_counts_with_the_next(#[case] seed: u8, #[case] goes_on: bool) {
    let (mut former, mut follower) = (leader(0), follower());
    let came = first_pieces(&mut former, &mut follower, 9).len();
    assert_eq!(came, 9);
    let mut next = leader(seed);
    let pieces = exchange(400, &mut next, &mut follower, |_| false);
    assert!(has_caught_up(&follower));
    assert_eq!(pieces < 14, goes_on, "{pieces} pieces");
    assert_eq!(follower.log().snapshot().state, state(seed));
}

fn deliver(follower: &mut Replica, piece: SnapshotChunk) -> Vec<Message> {
    follower.handle_message(
        300,
        Message {
            from: 1,
            to: 3,
            term: 2,
            body: MessageBody::InstallSnapshotRequest(InstallSnapshotRequest {
                chunk: piece,
                heartbeat_round: 9,
            }),
        },
    );
    settled(follower)
}

#[rstest]
#[case::a_changed_byte(|piece: &mut SnapshotChunk| piece.bytes[5_000] ^= 1)]
#[case::another_checksum(|piece: &mut SnapshotChunk| piece.meta.checksum ^= 1)]
#[case::another_position(|piece: &mut SnapshotChunk| piece.meta.last_log.index += 1)]
fn a_snapshot_that_does_not_check_is_not_taken(#[case] change: fn(&mut SnapshotChunk)) {
    let (mut leader, mut follower) = (leader(0), follower());
    let mut whole = first_pieces(&mut leader, &mut follower, 1);
    let encoded = whole.remove(0);
    assert!(
        Snapshot::deserialize_bin(&encoded.bytes).is_err(),
        "the first piece alone"
    );
    let mut fresh = self::follower();
    let mut source = self::leader(0);
    let mut all = Vec::new();
    let mut sink = self::follower();
    exchange(200, &mut source, &mut sink, |message| {
        if let MessageBody::InstallSnapshotRequest(InstallSnapshotRequest {
            chunk: piece, ..
        }) = &message.body
        {
            all.push(piece.clone());
        }
        false
    });
    change(&mut all[0]);
    let meta = all[0].meta;
    for mut piece in all {
        piece.meta = meta;
        deliver(&mut fresh, piece);
    }
    assert!(!has_caught_up(&fresh));
    assert_eq!(fresh.commit_index(), 1);
}

#[test]
fn a_piece_from_the_middle_and_a_head_that_claims_too_much_take_no_memory() {
    let (mut leader, mut follower) = (leader(0), follower());
    let first = first_pieces(&mut leader, &mut follower, 1).remove(0);
    let mut fresh = self::follower();
    let middle = SnapshotChunk {
        offset: 32 << 10,
        ..first.clone()
    };
    let mut claim = first;
    claim.meta.size = 1 << 40;
    for piece in [middle, claim] {
        let replies = deliver(&mut fresh, piece);
        assert!(
            matches!(
                replies[0].body,
                MessageBody::InstallSnapshotResponse(InstallSnapshotResponse {
                    received_bytes: 0,
                    ..
                })
            ),
            "{replies:?}"
        );
    }
}

#[test]
fn entries_that_wait_to_be_committed_are_bounded() {
    let mut leader = leader(0);
    settled(&mut leader);
    let taken = (0..100)
        .take_while(|_| leader.propose(vec![0; 100 << 10]).is_ok())
        .count();
    assert!(
        (35..=45).contains(&taken),
        "{taken} entries of 0.1 MB are held, 4 MB are the bound"
    );
    let held: usize = leader.log().entries().iter().map(bytes).sum();
    assert!(held < 5 << 20);
}

fn bytes(entry: &Entry) -> usize {
    match &entry.payload {
        EntryPayload::Command(command) => command.len(),
        EntryPayload::Blank | EntryPayload::Membership(_) => 0,
    }
}

#[test]
fn whoever_sends_pieces_is_the_leader_that_is_followed() {
    let (mut leader, mut follower) = (leader(0), follower());
    let first = first_pieces(&mut leader, &mut follower, 1).remove(0);
    let mut fresh = self::follower();
    deliver(&mut fresh, first);
    const LEADER: ReplicaId = 1;
    assert_eq!(fresh.leader(), Some(LEADER));
}
