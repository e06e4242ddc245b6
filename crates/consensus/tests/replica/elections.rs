//! Votes, pre-votes and campaigns.

use super::builders::{
    SETTINGS, append_entries, durable_state, entry, flush, founding_snapshot, granted_vote,
    message, pre_vote_request, replica, sent_immediately, vote_request,
};
use rstest::rstest;
use woadstall_consensus::{
    DurableState, LogPosition, Message, MessageBody, Output, Record, Replica, ReplicaId, Snapshot,
    VoteRequest,
};

#[rstest]
#[case::the_same_log(4, 4, true)]
#[case::a_longer_one(4, 9, true)]
#[case::a_shorter_one_of_a_later_term(5, 2, true)]
#[case::a_shorter_one(4, 3, false)]
#[case::a_longer_one_of_an_older_term(3, 90, false)]
fn a_vote_is_granted_to_a_log_that_is_up_to_date(
    #[case] last_term: u64,
    #[case] last_index: u64,
    #[case] granted: bool,
) {
    let mut replica = replica();
    replica.handle_message(10, message(2, 6, vote_request(last_term, last_index)));
    assert_eq!(granted_vote(&flush(&mut replica)), Some(granted));
}

#[test]
fn a_vote_is_sent_once_it_is_durable_and_to_one_candidate_per_term() {
    let mut replica = replica();
    replica.handle_message(10, message(2, 6, vote_request(4, 4)));
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
    assert_eq!(granted_vote(&flush(&mut replica)), Some(true));
    replica.handle_message(20, message(3, 6, vote_request(4, 4)));
    assert_eq!(granted_vote(&flush(&mut replica)), Some(false));
    replica.handle_message(20, message(3, 7, vote_request(4, 4)));
    assert_eq!(
        granted_vote(&flush(&mut replica)),
        Some(true),
        "a new term, a new vote"
    );
}

#[test]
fn vote_requests_are_ignored_while_a_leader_is_live_unless_it_transfers_leadership() {
    let mut replica = replica();
    replica.handle_message(10, append_entries((4, 4), Vec::new(), 1));
    flush(&mut replica);
    replica.handle_message(500, message(3, 6, vote_request(4, 4)));
    assert_eq!(
        (granted_vote(&flush(&mut replica)), replica.term()),
        (None, 5)
    );
    let transfer = MessageBody::VoteRequest(VoteRequest {
        pre_vote: false,
        last_log: LogPosition { index: 4, term: 4 },
        leadership_transfer: true,
    });
    replica.handle_message(510, message(3, 6, transfer));
    assert_eq!(granted_vote(&flush(&mut replica)), Some(true));
}

#[test]
fn a_replica_without_a_vote_is_never_a_candidate() {
    let mut state = DurableState::new(9, Snapshot::default());
    state.apply_record(&Record::InstallSnapshot(founding_snapshot(1..=3)));
    let mut replica = Replica::new(state, SETTINGS, 0, 1);
    flush(&mut replica);
    for now in (0..20_000).step_by(50) {
        replica.tick(now);
        assert!(flush(&mut replica).is_empty(), "at {now} ms");
    }
    replica.handle_message(
        20_000,
        Message {
            to: 9,
            ..message(2, 1, MessageBody::TimeoutNow)
        },
    );
    assert!(flush(&mut replica).is_empty());
    assert!(replica.should_join());
}

#[test]
fn a_replica_that_grants_a_pre_vote_postpones_its_own_election() {
    const ROUND_TRIP: u64 = 220;
    for seed in 0..50 {
        let mut replica = Replica::new(durable_state(), SETTINGS, 0, seed);
        replica.take_outputs();
        replica.handle_message(240, message(2, 6, pre_vote_request(4, 4)));
        assert_eq!(granted_vote(&flush(&mut replica)), Some(true));
        replica.tick(240 + ROUND_TRIP);
        assert!(
            flush(&mut replica).is_empty(),
            "seed {seed}: the replica campaigns against the candidate to which it granted a pre-vote"
        );
    }
}

#[rstest]
#[case::of_two_with_equal_logs_the_greater_identity(1, 4, true)]
#[case::a_longer_log_has_precedence(9, 5, true)]
#[case::the_lesser_identity_waits(9, 4, false)]
fn one_of_two_candidates_has_precedence(
    #[case] own: ReplicaId,
    #[case] last_index: u64,
    #[case] granted: bool,
) {
    let mut state = DurableState::new(own, founding_snapshot([own, 2, 3]));
    state.apply_record(&Record::Term {
        term: 5,
        voted_for: 0,
    });
    state.apply_record(&Record::Append(durable_state().log.entries().to_vec()));
    let mut replica = Replica::new(state, SETTINGS, 0, 1);
    replica.tick(700);
    flush(&mut replica);
    replica.handle_message(
        710,
        Message {
            to: own,
            ..message(2, 6, pre_vote_request(4, last_index))
        },
    );
    assert_eq!(granted_vote(&flush(&mut replica)), Some(granted));
}

/// Guards against a group that never elects a leader. The replica with the only complete log is one
/// term behind its voter, so the voter refuses its pre-votes until it adopts the voter's term.
#[test]
fn a_candidate_behind_in_its_term_is_elected_for_its_complete_log() {
    let mut state = DurableState::new(2, founding_snapshot(1..=2));
    state.apply_record(&Record::Term {
        term: 4,
        voted_for: 0,
    });
    state.apply_record(&Record::Append(durable_state().log.entries().to_vec()));
    let mut complete = Replica::new(state, SETTINGS, 0, 1);
    let mut state = DurableState::new(1, founding_snapshot(1..=2));
    state.apply_record(&Record::Term {
        term: 5,
        voted_for: 1,
    });
    let mut ahead = Replica::new(state, SETTINGS, 0, 2);
    for now in (0..20_000).step_by(50) {
        complete.tick(now);
        ahead.tick(now);
        for message in flush(&mut complete) {
            ahead.handle_message(now, message);
        }
        for message in flush(&mut ahead) {
            complete.handle_message(now, message);
        }
    }
    assert!(complete.is_leader());
}

#[test]
fn a_message_for_another_identity_is_ignored() {
    let mut replica = replica();
    replica.handle_message(
        10,
        Message {
            to: 9,
            ..message(2, 6, vote_request(4, 4))
        },
    );
    assert!(flush(&mut replica).is_empty());
    assert_eq!(replica.term(), 5);
}

#[test]
fn a_follower_sends_nothing_before_its_election_timeout() {
    let mut replica = replica();
    replica.tick(100);
    assert_eq!(sent_immediately(&mut replica), []);
}

/// Creates replica `id` in a group of the replicas 1, 2 and 3, of which replica 1 has failed
/// permanently.
fn remaining_replica(id: ReplicaId, term: u64) -> Replica {
    let mut state = DurableState::new(id, founding_snapshot(1..=3));
    state.apply_record(&Record::Term { term, voted_for: 0 });
    state.apply_record(&Record::Append(vec![entry(2, 2)]));
    Replica::new(state, SETTINGS, 0, id)
}

/// Guards against a group that never elects a leader. The candidate has precedence by its identity,
/// so it refuses the voter's pre-votes. The voter's term is ahead, so the voter refuses the
/// candidate's pre-votes until the candidate adopts the voter's term.
#[test]
fn a_candidate_whose_term_is_behind_that_of_its_voter_does_not_prevent_an_election() {
    let mut replicas = [remaining_replica(2, 6), remaining_replica(3, 5)];
    // Replica 3 has the greater identity. It becomes a candidate first, so that replica 2 gives
    // precedence to it.
    replicas[1].tick(700);
    flush(&mut replicas[1]);
    for now in (700..10_000).step_by(10) {
        let mut messages = Vec::new();
        for replica in &mut replicas {
            replica.tick(now);
            messages.extend(flush(replica));
        }
        for message in messages {
            for replica in &mut replicas {
                replica.handle_message(now, message.clone());
            }
        }
        if replicas.iter().any(Replica::is_leader) {
            return;
        }
    }
    panic!("no leader was elected within 10 s");
}
