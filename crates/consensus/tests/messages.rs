//! Single messages to a single replica: one thing is changed at a time.

mod single;

use nanoserde::SerBin;
use rstest::rstest;
use single::SETTINGS;
use woadstall_consensus::{
    AppendEntriesRequest, AppendEntriesResponse, ChangeVotersError, DurableState, Entry,
    EntryPayload, InstallSnapshotRequest, LogPosition, Member, Membership, Message, MessageBody,
    Output, Record, Replica, ReplicaId, Snapshot, SnapshotChunk, SnapshotMeta, VoteRequest,
    VoteResponse,
};

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: EntryPayload::Command(vec![index as u8]),
    }
}

/// The state of replica 1 of three, in term 5, with entries up to position 4 of terms 2, 2 and 4 behind the founding snapshot.
fn durable() -> DurableState {
    let voters = (1..=3)
        .map(|id| Member {
            id,
            address: format!("machine-{id}"),
        })
        .collect();
    let founding = Snapshot {
        index: 1,
        term: 1,
        membership: Membership::new(voters),
        state: Vec::new(),
    };
    let mut state = DurableState::new(1, founding);
    state.apply_record(&Record::Term {
        term: 5,
        voted_for: 0,
    });
    state.apply_record(&Record::Append(vec![entry(2, 2), entry(3, 2), entry(4, 4)]));
    state
}

/// Replica 1, just started.
fn replica() -> Replica {
    let mut replica = Replica::new(durable(), SETTINGS, 0, 1);
    replica.take_outputs();
    replica
}

/// A snapshot as one piece.
fn install(snapshot: &Snapshot, round: u64) -> MessageBody {
    let bytes = snapshot.serialize_bin();
    let head = SnapshotMeta::of(snapshot, &bytes);
    MessageBody::InstallSnapshotRequest(InstallSnapshotRequest {
        chunk: SnapshotChunk {
            meta: head,
            offset: 0,
            bytes,
        },
        heartbeat_round: round,
    })
}

fn message(from: ReplicaId, term: u64, body: MessageBody) -> Message {
    Message {
        from,
        to: 1,
        term,
        body,
    }
}

/// Makes all records durable, and gives the bodies of all messages sent so far, with their terms.
fn settled(replica: &mut Replica) -> Vec<(ReplicaId, u64, MessageBody)> {
    let sent = single::settled(replica).into_iter();
    sent.map(|message| (message.to, message.term, message.body))
        .collect()
}

/// What is sent before anything is durable.
fn sent_at_once(replica: &mut Replica) -> usize {
    replica
        .take_outputs()
        .iter()
        .filter(|output| matches!(output, Output::Send(_)))
        .count()
}

fn vote(last_term: u64, last_index: u64) -> MessageBody {
    MessageBody::VoteRequest(VoteRequest {
        pre_vote: false,
        last_log: LogPosition {
            index: last_index,
            term: last_term,
        },
        leadership_transfer: false,
    })
}

fn is_granted(sent: &[(ReplicaId, u64, MessageBody)]) -> Option<bool> {
    sent.iter().find_map(|(_, _, body)| match body {
        MessageBody::VoteResponse(VoteResponse { granted, .. }) => Some(*granted),
        _ => None,
    })
}

#[rstest]
#[case::the_same_log(4, 4, true)]
#[case::a_longer_one(4, 9, true)]
#[case::a_shorter_one_of_a_later_term(5, 2, true)]
#[case::a_shorter_one(4, 3, false)]
#[case::a_longer_one_of_an_older_term(3, 90, false)]
fn a_vote_is_given_to_a_log_that_is_not_behind(
    #[case] last_term: u64,
    #[case] last_index: u64,
    #[case] granted: bool,
) {
    let mut replica = replica();
    replica.handle_message(10, message(2, 6, vote(last_term, last_index)));
    assert_eq!(is_granted(&settled(&mut replica)), Some(granted));
}

#[test]
fn a_vote_leaves_only_once_it_is_durable_and_goes_to_one_candidate() {
    let mut replica = replica();
    replica.handle_message(10, message(2, 6, vote(4, 4)));
    let outputs = replica.take_outputs();
    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, Output::Send(_))),
        "{outputs:?}"
    );
    let records: Vec<(u64, Record)> = outputs
        .into_iter()
        .filter_map(|output| match output {
            Output::Persist { sequence, record } => Some((sequence, record)),
            _ => None,
        })
        .collect();
    let (sequence, record) = records.last().unwrap();
    assert_eq!(
        record,
        &Record::Term {
            term: 6,
            voted_for: 2
        }
    );
    replica.handle_persisted(*sequence);
    assert_eq!(is_granted(&settled(&mut replica)), Some(true));
    replica.handle_message(20, message(3, 6, vote(4, 4)));
    assert_eq!(is_granted(&settled(&mut replica)), Some(false));
    replica.handle_message(20, message(3, 7, vote(4, 4)));
    assert_eq!(
        is_granted(&settled(&mut replica)),
        Some(true),
        "a new term, a new vote"
    );
}

#[test]
fn a_live_leader_is_not_disturbed_unless_it_asks_for_it() {
    let mut replica = replica();
    let heartbeat = MessageBody::AppendEntriesRequest(AppendEntriesRequest {
        previous: LogPosition { index: 4, term: 4 },
        entries: Vec::new(),
        leader_commit: 1,
        heartbeat_round: 1,
    });
    replica.handle_message(10, message(2, 5, heartbeat));
    settled(&mut replica);
    replica.handle_message(500, message(3, 6, vote(4, 4)));
    assert_eq!(
        (is_granted(&settled(&mut replica)), replica.term()),
        (None, 5)
    );
    let transfer = MessageBody::VoteRequest(VoteRequest {
        pre_vote: false,
        last_log: LogPosition { index: 4, term: 4 },
        leadership_transfer: true,
    });
    replica.handle_message(510, message(3, 6, transfer));
    assert_eq!(is_granted(&settled(&mut replica)), Some(true));
}

fn append(previous: (u64, u64), entries: Vec<Entry>, commit: u64) -> Message {
    let (previous_index, previous_term) = previous;
    message(
        2,
        5,
        MessageBody::AppendEntriesRequest(AppendEntriesRequest {
            previous: LogPosition {
                index: previous_index,
                term: previous_term,
            },
            entries,
            leader_commit: commit,
            heartbeat_round: 7,
        }),
    )
}

fn replies(sent: &[(ReplicaId, u64, MessageBody)]) -> Vec<(bool, u64)> {
    sent.iter()
        .filter_map(|(_, _, body)| match body {
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success,
                last_index: index,
                ..
            }) => Some((*success, *index)),
            _ => None,
        })
        .collect()
}

#[test]
fn entries_are_acknowledged_as_far_as_they_are_durable() {
    let mut replica = replica();
    replica.handle_message(10, append((4, 4), vec![entry(5, 5), entry(6, 5)], 1));
    let outputs = replica.take_outputs();
    let at_once: Vec<MessageBody> = outputs
        .into_iter()
        .filter_map(|output| match output {
            Output::Send(message) => Some(message.body),
            _ => None,
        })
        .collect();
    assert_eq!(
        at_once,
        [MessageBody::AppendEntriesResponse(AppendEntriesResponse {
            success: true,
            last_index: 4,
            heartbeat_round: 7
        })]
    );
    replica.handle_persisted(1);
    assert_eq!(replies(&settled(&mut replica)), [(true, 6)]);
}

/// The positions that are acknowledged before any further record is durable.
fn acknowledged_at_once(replica: &mut Replica) -> Vec<u64> {
    let sent = replica
        .take_outputs()
        .into_iter()
        .filter_map(|output| match output {
            Output::Send(Message {
                body:
                    MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                        success: true,
                        last_index: index,
                        ..
                    }),
                ..
            }) => Some(index),
            _ => None,
        });
    sent.collect()
}

#[test]
fn entries_that_replace_durable_ones_are_not_durable_yet() {
    let mut replica = replica();
    replica.handle_message(10, append((2, 2), vec![entry(3, 5), entry(4, 5)], 1));
    replica.take_outputs();
    replica.handle_message(20, append((4, 5), Vec::new(), 1));
    assert_eq!(acknowledged_at_once(&mut replica), [2]);
}

#[test]
fn a_run_that_was_replaced_before_it_was_durable_does_not_count() {
    let mut replica = replica();
    replica.handle_message(10, append((4, 4), vec![entry(5, 5)], 1));
    replica.handle_message(
        20,
        Message {
            term: 6,
            ..append((4, 4), vec![entry(5, 6)], 1)
        },
    );
    replica.take_outputs();
    const FIRST_RUN: u64 = 1;
    replica.handle_persisted(FIRST_RUN);
    replica.take_outputs();
    replica.handle_message(
        30,
        Message {
            term: 6,
            ..append((5, 6), Vec::new(), 1)
        },
    );
    assert_eq!(acknowledged_at_once(&mut replica), [4]);
}

#[rstest]
#[case::a_gap(append((7, 5), vec![entry(8, 5)], 1), 4)]
#[case::another_term_before(append((4, 3), vec![entry(5, 5)], 1), 3)]
fn entries_that_do_not_follow_are_refused_with_where_to_try_again(
    #[case] message: Message,
    #[case] index: u64,
) {
    let mut replica = replica();
    replica.handle_message(10, message);
    assert_eq!(replies(&settled(&mut replica)), [(false, index)]);
    assert_eq!(replica.log().last_index(), 4);
}

#[test]
fn entries_that_agree_are_not_cut_by_an_older_message() {
    let mut replica = replica();
    replica.handle_message(10, append((2, 2), vec![entry(3, 2)], 1));
    settled(&mut replica);
    assert_eq!(replica.log().last_index(), 4);
}

#[test]
fn entries_of_another_term_replace_what_is_there() {
    let mut replica = replica();
    replica.handle_message(10, append((2, 2), vec![entry(3, 5)], 1));
    settled(&mut replica);
    assert_eq!(
        (replica.log().last_index(), replica.log().last_term()),
        (3, 5)
    );
}

#[test]
fn nothing_beyond_what_agrees_is_committed() {
    let mut replica = replica();
    replica.handle_message(10, append((2, 2), Vec::new(), 4));
    settled(&mut replica);
    assert_eq!(replica.commit_index(), 2);
}

#[test]
fn a_leader_of_a_former_term_hears_of_the_new_one() {
    let mut replica = replica();
    let old = MessageBody::AppendEntriesRequest(AppendEntriesRequest {
        previous: LogPosition { index: 4, term: 4 },
        entries: vec![entry(5, 4)],
        leader_commit: 4,
        heartbeat_round: 7,
    });
    replica.handle_message(10, message(2, 4, old));
    let sent = settled(&mut replica);
    assert_eq!(
        sent.iter()
            .map(|(to, term, _)| (*to, *term))
            .collect::<Vec<_>>(),
        [(2, 5)]
    );
    assert_eq!((replica.log().last_index(), replica.commit_index()), (4, 1));
}

#[test]
fn a_message_for_a_former_identity_is_not_taken() {
    let mut replica = replica();
    replica.handle_message(
        10,
        Message {
            to: 9,
            ..message(2, 6, vote(4, 4))
        },
    );
    assert!(settled(&mut replica).is_empty());
    assert_eq!(replica.term(), 5);
}

#[test]
fn an_old_snapshot_changes_nothing_and_a_new_one_replaces_what_does_not_follow() {
    let members = replica().membership().clone();
    let snapshot = |index, term| Snapshot {
        index,
        term,
        membership: members.clone(),
        state: vec![1],
    };
    let mut replica = replica();
    replica.handle_message(10, append((4, 4), Vec::new(), 3));
    settled(&mut replica);
    replica.handle_message(20, message(2, 5, install(&snapshot(2, 2), 8)));
    settled(&mut replica);
    assert_eq!((replica.commit_index(), replica.log().last_index()), (3, 4));
    replica.handle_message(30, message(2, 5, install(&snapshot(4, 5), 9)));
    settled(&mut replica);
    assert_eq!(
        (
            replica.commit_index(),
            replica.log().last_index(),
            replica.log().last_term()
        ),
        (4, 4, 5)
    );
    assert!(replica.log().entries().is_empty());
}

/// Replica 1 as the leader of term 6, with the empty entry that begins it at position 5.
fn leader() -> Replica {
    let mut replica = replica();
    replica.handle_message(10, message(2, 5, MessageBody::TimeoutNow));
    settled(&mut replica);
    replica.handle_message(
        20,
        message(
            2,
            6,
            MessageBody::VoteResponse(VoteResponse {
                pre_vote: false,
                granted: true,
            }),
        ),
    );
    assert!(replica.is_leader());
    settled(&mut replica);
    replica
}

#[test]
fn a_leader_commits_entries_of_former_terms_only_with_one_of_its_own() {
    let mut replica = leader();
    replica.handle_message(
        30,
        message(
            2,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 4,
                heartbeat_round: 1,
            }),
        ),
    );
    assert_eq!(replica.commit_index(), 1);
    replica.handle_message(
        40,
        message(
            2,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 1,
            }),
        ),
    );
    assert_eq!(replica.commit_index(), 5);
}

#[test]
fn a_leader_counts_its_own_entries_only_once_they_are_durable() {
    let mut replica = leader();
    replica.handle_message(
        30,
        message(
            2,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 1,
            }),
        ),
    );
    settled(&mut replica);
    replica.propose(vec![1]).unwrap();
    replica.handle_message(
        40,
        message(
            2,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 6,
                heartbeat_round: 2,
            }),
        ),
    );
    assert_eq!(replica.commit_index(), 5);
    settled(&mut replica);
    assert_eq!(replica.commit_index(), 6);
}

#[test]
fn a_read_waits_for_answers_to_a_round_that_began_after_it() {
    let mut replica = leader();
    replica.handle_message(
        30,
        message(
            2,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 1,
            }),
        ),
    );
    settled(&mut replica);
    replica.request_read(77);
    let is_ready = |replica: &mut Replica| {
        replica
            .take_outputs()
            .contains(&Output::ReadReady { read_id: 77 })
    };
    replica.handle_message(
        40,
        message(
            2,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 2,
            }),
        ),
    );
    assert!(!is_ready(&mut replica), "an answer to an earlier round");
    replica.handle_message(
        50,
        message(
            3,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 3,
            }),
        ),
    );
    assert!(is_ready(&mut replica));
}

#[test]
fn members_change_one_at_a_time_and_only_once_a_term_has_committed() {
    let mut replica = leader();
    let others = |replica: &Replica, gone: ReplicaId| {
        replica
            .membership()
            .voters
            .iter()
            .filter(|member| member.id != gone)
            .cloned()
            .collect::<Vec<_>>()
    };
    let (without_2, without_3) = (others(&replica, 2), others(&replica, 3));
    assert!(
        replica.change_voters(without_3.clone()).is_err(),
        "nothing of this term is committed"
    );
    replica.handle_message(
        30,
        message(
            2,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 1,
            }),
        ),
    );
    settled(&mut replica);
    assert!(replica.change_voters(without_3).is_ok());
    assert!(
        replica.change_voters(without_2.clone()).is_err(),
        "the first change is not committed"
    );
    assert_eq!(
        replica.change_voters(Vec::new()),
        Err(ChangeVotersError::NoVoters)
    );
    replica.handle_message(
        40,
        message(
            2,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 6,
                heartbeat_round: 3,
            }),
        ),
    );
    settled(&mut replica);
    assert!(
        replica.change_voters(without_2).is_err(),
        "it is committed and not complete"
    );
}

#[test]
fn nothing_is_sent_by_a_replica_that_is_told_nothing() {
    let mut replica = replica();
    replica.tick(100);
    assert_eq!(sent_at_once(&mut replica), 0);
}

#[test]
fn entries_behind_a_snapshot_that_they_do_not_follow_go() {
    let members = replica().membership().clone();
    let mut replica = replica();
    let snapshot = Snapshot {
        index: 3,
        term: 5,
        membership: members,
        state: vec![1],
    };
    replica.handle_message(10, message(2, 5, install(&snapshot, 8)));
    settled(&mut replica);
    assert_eq!(
        (replica.log().last_index(), replica.log().last_term()),
        (3, 5)
    );
}

/// A leader that has committed in its term, and a replica that asks it to join.
fn leader_and_learner(id: ReplicaId, address: &str) -> Replica {
    let mut replica = leader();
    replica.handle_message(
        30,
        message(
            2,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 1,
            }),
        ),
    );
    settled(&mut replica);
    replica.add_learner(Member {
        id,
        address: address.to_owned(),
    });
    replica
}

fn voters(replica: &Replica) -> Vec<ReplicaId> {
    replica
        .membership()
        .voters
        .iter()
        .map(|member| member.id)
        .collect()
}

/// All voters, also those that come next.
fn all_voters(replica: &Replica) -> Vec<ReplicaId> {
    replica
        .membership()
        .all_voters()
        .map(|member| member.id)
        .collect()
}

/// Two learners, of which one has caught up so far.
fn leader_and_two_learners() -> Replica {
    let mut replica = leader_and_learner(4, "machine-4");
    replica.add_learner(Member {
        id: 5,
        address: "machine-5".to_owned(),
    });
    replica.handle_message(
        210,
        message(
            4,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 2,
            }),
        ),
    );
    replica
}

#[test]
fn a_learner_votes_only_once_it_has_caught_up_and_the_number_stays_odd() {
    let mut replica = leader_and_two_learners();
    replica.tick(220);
    assert_eq!(
        all_voters(&replica),
        [1, 2, 3],
        "four voters bear no more than three"
    );
    replica.handle_message(
        230,
        message(
            5,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 4,
                heartbeat_round: 2,
            }),
        ),
    );
    replica.tick(250);
    assert_eq!(all_voters(&replica), [1, 2, 3], "one entry is missing");
    replica.handle_message(
        260,
        message(
            5,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 2,
            }),
        ),
    );
    replica.tick(300);
    assert_eq!(all_voters(&replica), [1, 2, 3, 4, 5]);
    assert!(
        replica.membership().is_joint(),
        "the former voters agree first"
    );
}

#[test]
fn a_change_counts_only_with_a_majority_of_the_former_and_of_the_next_voters() {
    let mut replica = leader_and_two_learners();
    replica.handle_message(
        260,
        message(
            5,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 2,
            }),
        ),
    );
    replica.tick(300);
    settled(&mut replica);
    let change = replica.log().last_index();
    replica.handle_message(
        310,
        message(
            4,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: change,
                heartbeat_round: 3,
            }),
        ),
    );
    replica.handle_message(
        320,
        message(
            5,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: change,
                heartbeat_round: 3,
            }),
        ),
    );
    assert_eq!(
        replica.commit_index(),
        change - 1,
        "three of five next voters, one of three former ones"
    );
    replica.handle_message(
        330,
        message(
            2,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: change,
                heartbeat_round: 3,
            }),
        ),
    );
    settled(&mut replica);
    assert_eq!(replica.commit_index(), change);
    replica.tick(400);
    settled(&mut replica);
    assert_eq!(voters(&replica), [1, 2, 3, 4, 5]);
    assert!(!replica.membership().is_joint());
}

#[test]
fn a_member_that_lost_its_disk_is_replaced_by_its_new_identity_in_one_joint_change() {
    let mut replica = leader_and_learner(9, "machine-3");
    replica.handle_message(
        210,
        message(
            9,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 2,
            }),
        ),
    );
    replica.tick(250);
    let members = replica.membership().clone();
    assert_eq!(
        (voters(&replica), members.next_voters.len()),
        (vec![1, 2, 3], 3)
    );
    assert!(
        members.next_voters.iter().any(|member| member.id == 9)
            && !members.next_voters.iter().any(|member| member.id == 3)
    );
    settled(&mut replica);
    replica.handle_message(
        255,
        message(
            9,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 6,
                heartbeat_round: 3,
            }),
        ),
    );
    assert_eq!(
        replica.commit_index(),
        5,
        "a majority of the next voters alone"
    );
    replica.handle_message(
        260,
        message(
            2,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 6,
                heartbeat_round: 3,
            }),
        ),
    );
    settled(&mut replica);
    replica.tick(300);
    settled(&mut replica);
    assert_eq!(
        (voters(&replica), replica.membership().is_joint()),
        (vec![1, 2, 9], false)
    );
}

#[test]
fn a_sound_member_that_leaves_votes_until_its_replacement_does() {
    let mut replica = leader_and_learner(4, "machine-4");
    replica.handle_message(
        210,
        message(
            4,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 2,
            }),
        ),
    );
    replica.set_retiring(220, 3);
    replica.tick(250);
    assert_eq!(all_voters(&replica), [1, 2, 3, 4]);
    settled(&mut replica);
    // A majority of the former voters (1 and 3) is none of the next ones (1, 2 and 4).
    replica.handle_message(
        255,
        message(
            3,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 6,
                heartbeat_round: 3,
            }),
        ),
    );
    assert_eq!(replica.commit_index(), 5);
    replica.handle_message(
        260,
        message(
            4,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 6,
                heartbeat_round: 3,
            }),
        ),
    );
    settled(&mut replica);
    assert_eq!(replica.commit_index(), 6);
    replica.tick(300);
    assert_eq!(voters(&replica), [1, 2, 4]);
}

#[test]
fn a_leader_that_is_replaced_stays_until_the_change_is_complete_and_hands_over() {
    let mut replica = leader_and_learner(4, "machine-4");
    let voters_after = [2, 3, 4].map(|id| Member {
        id,
        address: format!("machine-{id}"),
    });
    replica.change_voters(voters_after.to_vec()).unwrap();
    settled(&mut replica);
    for (round, index) in [(3, 6), (4, 7)] {
        for follower in [2, 3, 4] {
            replica.handle_message(
                210,
                message(
                    follower,
                    6,
                    MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                        success: true,
                        last_index: index,
                        heartbeat_round: round,
                    }),
                ),
            );
        }
        settled(&mut replica);
        if index == 6 {
            assert!(replica.is_leader(), "the change is not complete");
            replica.tick(220);
            settled(&mut replica);
        }
    }
    assert!(!replica.is_leader(), "it has no vote");
    assert_eq!(voters(&replica), [2, 3, 4]);
}

#[test]
fn a_change_is_completed_only_once_it_is_committed() {
    let mut replica = leader_and_two_learners();
    replica.handle_message(
        260,
        message(
            5,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 2,
            }),
        ),
    );
    replica.tick(300);
    settled(&mut replica);
    replica.tick(350);
    settled(&mut replica);
    assert_eq!(
        (replica.log().last_index(), replica.membership().is_joint()),
        (6, true)
    );
}

/// Those that are sent entries or heartbeats.
fn appended_to(sent: &[(ReplicaId, u64, MessageBody)]) -> Vec<ReplicaId> {
    let append = |(to, _, body): &(ReplicaId, u64, MessageBody)| {
        matches!(body, MessageBody::AppendEntriesRequest(_)).then_some(*to)
    };
    let mut all: Vec<ReplicaId> = sent.iter().filter_map(append).collect();
    all.dedup();
    all
}

#[test]
fn a_member_without_a_vote_hears_of_it_for_a_while() {
    let mut replica = leader_and_learner(4, "machine-4");
    replica.handle_message(
        210,
        message(
            4,
            6,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: true,
                last_index: 5,
                heartbeat_round: 2,
            }),
        ),
    );
    replica.set_retiring(220, 3);
    replica.tick(250);
    settled(&mut replica);
    for follower in [2, 4] {
        replica.handle_message(
            255,
            message(
                follower,
                6,
                MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                    success: true,
                    last_index: 6,
                    heartbeat_round: 3,
                }),
            ),
        );
    }
    settled(&mut replica);
    replica.tick(300);
    assert_eq!(voters(&replica), [1, 2, 4]);
    assert_eq!(
        appended_to(&settled(&mut replica)),
        [2, 3, 4],
        "the change itself goes to the former member too"
    );
    for now in [500, 1_000, 1_500] {
        for follower in [2, 4] {
            let round = (now - 300) / 20;
            replica.handle_message(
                now,
                message(
                    follower,
                    6,
                    MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                        success: true,
                        last_index: 7,
                        heartbeat_round: round,
                    }),
                ),
            );
        }
        replica.tick(now);
        assert!(
            appended_to(&settled(&mut replica)).contains(&3),
            "at {now} ms"
        );
    }
}

#[test]
fn a_replica_without_a_vote_never_stands() {
    let mut state = DurableState::new(9, Snapshot::default());
    let voters = (1..=3)
        .map(|id| Member {
            id,
            address: format!("machine-{id}"),
        })
        .collect();
    state.apply_record(&Record::InstallSnapshot(Snapshot {
        index: 1,
        term: 1,
        membership: Membership::new(voters),
        state: Vec::new(),
    }));
    let mut replica = Replica::new(state, SETTINGS, 0, 1);
    settled(&mut replica);
    for now in (0..20_000).step_by(50) {
        replica.tick(now);
        assert!(settled(&mut replica).is_empty(), "at {now} ms");
    }
    replica.handle_message(
        20_000,
        Message {
            to: 9,
            ..message(2, 1, MessageBody::TimeoutNow)
        },
    );
    assert!(settled(&mut replica).is_empty());
    assert!(replica.should_join());
}

#[test]
fn whoever_grants_a_pre_vote_gives_the_time_to_be_elected() {
    const ROUND_TRIP: u64 = 220;
    for seed in 0..50 {
        let mut replica = Replica::new(durable(), SETTINGS, 0, seed);
        replica.take_outputs();
        let pre_vote = MessageBody::VoteRequest(VoteRequest {
            pre_vote: true,
            last_log: LogPosition { index: 4, term: 4 },
            leadership_transfer: false,
        });
        replica.handle_message(240, message(2, 6, pre_vote));
        assert_eq!(is_granted(&settled(&mut replica)), Some(true));
        replica.tick(240 + ROUND_TRIP);
        assert!(
            settled(&mut replica).is_empty(),
            "seed {seed}: it stands against the one that it let go before"
        );
    }
}

#[rstest]
#[case::of_two_with_equal_logs_the_greater_identity(1, 4, true)]
#[case::a_longer_log_goes_before(9, 5, true)]
#[case::the_lesser_identity_waits(9, 4, false)]
fn of_two_that_stand_one_goes_before(
    #[case] own: ReplicaId,
    #[case] last_index: u64,
    #[case] granted: bool,
) {
    let mut state = durable();
    let voters = [own, 2, 3].map(|id| Member {
        id,
        address: format!("machine-{id}"),
    });
    let founding = Snapshot {
        index: 1,
        term: 1,
        membership: Membership::new(voters.to_vec()),
        state: Vec::new(),
    };
    let mut own_state = DurableState::new(own, founding);
    own_state.apply_record(&Record::Term {
        term: 5,
        voted_for: 0,
    });
    own_state.apply_record(&Record::Append(state.log.entries().to_vec()));
    state = own_state;
    let mut replica = Replica::new(state, SETTINGS, 0, 1);
    replica.tick(700);
    settled(&mut replica);
    let pre_vote = MessageBody::VoteRequest(VoteRequest {
        pre_vote: true,
        last_log: LogPosition {
            index: last_index,
            term: 4,
        },
        leadership_transfer: false,
    });
    replica.handle_message(
        710,
        Message {
            to: own,
            ..message(2, 6, pre_vote)
        },
    );
    assert_eq!(is_granted(&settled(&mut replica)), Some(granted));
}

#[test]
fn a_leader_is_in_contact_since_the_round_that_is_answered_not_since_the_answer() {
    let mut replica = leader();
    // Both answers to the first round come late: bytes that a cut held up.
    for now in (50..1_500).step_by(50) {
        replica.tick(now);
        settled(&mut replica);
    }
    assert!(replica.is_leader());
    for follower in [2, 3] {
        replica.handle_message(
            1_500,
            message(
                follower,
                6,
                MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                    success: true,
                    last_index: 5,
                    heartbeat_round: 1,
                }),
            ),
        );
    }
    settled(&mut replica);
    replica.tick(1_600);
    assert!(
        !replica.is_leader(),
        "nobody has answered anything that was sent within the last 1.5 s"
    );
}

#[test]
fn nothing_is_read_before_the_term_has_committed() {
    let mut replica = leader();
    replica.request_read(77);
    for round in 1..5 {
        replica.handle_message(
            30,
            message(
                2,
                6,
                MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                    success: true,
                    last_index: 4,
                    heartbeat_round: round,
                }),
            ),
        );
    }
    let outputs = replica.take_outputs();
    assert!(outputs.contains(&Output::ReadFailed { read_id: 77 }));
    assert!(!outputs.contains(&Output::ReadReady { read_id: 77 }));
}
