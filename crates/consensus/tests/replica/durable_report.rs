//! Durable reports on a leader and on a follower.

use super::builders::{
    SETTINGS, acknowledgement, append_entries, entry, flush, founding_snapshot, members, message,
};
use rstest::rstest;
use woadstall_consensus::{
    DurableReport, DurableState, Entry, EntryPayload, Membership, Message, MessageBody, Output,
    Record, Replica, ReplicaId, VoteResponse,
};

/// Creates the state of replica 1 in term 5 in a group with these voters. The log has entries of
/// terms 2, 2 and 4 at indices 2 to 4.
fn state_among(voters: impl IntoIterator<Item = ReplicaId>) -> DurableState {
    let mut state = DurableState::new(1, founding_snapshot(voters));
    state.apply_record(&Record::Term {
        term: 5,
        voted_for: 0,
    });
    state.apply_record(&Record::Append(vec![entry(2, 2), entry(3, 2), entry(4, 4)]));
    state
}

/// Creates replica 1 as the leader of a group of five in term 6. Its blank entry is at index 5.
fn leader_of_five() -> Replica {
    let mut replica = Replica::new(state_among(1..=5), SETTINGS, 0, 1);
    replica.handle_message(10, message(2, 5, MessageBody::TimeoutNow));
    flush(&mut replica);
    for voter in [2, 3] {
        let vote = VoteResponse {
            pre_vote: false,
            granted: true,
        };
        replica.handle_message(20, message(voter, 6, MessageBody::VoteResponse(vote)));
    }
    assert!(replica.is_leader());
    flush(&mut replica);
    replica
}

/// Creates replica 1 as a follower of replica 2 in term 5. `entries`, from index 5 on, are in its
/// log but not durable yet.
fn follower_among(voters: impl IntoIterator<Item = ReplicaId>, entries: Vec<Entry>) -> Replica {
    let mut replica = Replica::new(state_among(voters), SETTINGS, 0, 1);
    replica.handle_message(10, append_entries((4, 4), entries, 1));
    replica
}

fn report(term: u64, index: u64, holders: &[ReplicaId]) -> DurableReport {
    DurableReport {
        term,
        index,
        holders: holders.to_vec(),
    }
}

#[test]
fn a_leader_reports_once_the_entries_that_one_voter_fewer_than_a_quorum_holds() {
    let mut replica = leader_of_five();
    assert_eq!(replica.take_durable_report(), None);
    replica.handle_message(30, acknowledgement(2, 5, 1));
    assert_eq!(replica.take_durable_report(), Some(report(6, 5, &[1, 2])));
    assert_eq!(replica.take_durable_report(), None);
}

#[test]
fn a_leader_reports_itself_only_for_durable_entries() {
    let mut replica = leader_of_five();
    replica.handle_message(30, acknowledgement(2, 5, 1));
    replica.take_durable_report();
    replica.propose(vec![1]).unwrap();
    replica.handle_message(40, acknowledgement(2, 6, 1));
    assert_eq!(replica.take_durable_report(), None);
    flush(&mut replica);
    assert_eq!(replica.take_durable_report(), Some(report(6, 6, &[1, 2])));
}

#[test]
fn a_leader_whose_disk_is_slow_reports_two_other_holders() {
    let mut replica = leader_of_five();
    replica.propose(vec![1]).unwrap();
    replica.handle_message(30, acknowledgement(3, 6, 1));
    replica.handle_message(40, acknowledgement(4, 6, 1));
    assert_eq!(replica.take_durable_report(), Some(report(6, 6, &[3, 4])));
}

#[test]
fn a_leader_reports_no_entry_of_a_former_term() {
    let mut replica = leader_of_five();
    replica.handle_message(30, acknowledgement(2, 4, 1));
    assert_eq!(replica.take_durable_report(), None);
}

#[test]
fn a_leader_reports_no_committed_entry() {
    let mut replica = leader_of_five();
    replica.handle_message(30, acknowledgement(2, 5, 1));
    replica.handle_message(40, acknowledgement(3, 5, 1));
    assert_eq!(replica.commit_index(), 5);
    assert_eq!(replica.take_durable_report(), None);
}

#[test]
fn a_leader_reports_nothing_in_a_joint_membership() {
    let mut replica = leader_of_five();
    replica.handle_message(30, acknowledgement(2, 5, 1));
    replica.handle_message(40, acknowledgement(3, 5, 1));
    replica.change_voters(members([1, 2, 3, 6, 7])).unwrap();
    flush(&mut replica);
    replica.handle_message(50, acknowledgement(2, 6, 1));
    assert_eq!(replica.take_durable_report(), None);
}

#[test]
fn a_follower_has_no_report() {
    let mut replica = follower_among(1..=5, vec![entry(5, 5)]);
    flush(&mut replica);
    assert_eq!(replica.take_durable_report(), None);
}

#[test]
fn a_follower_that_completes_a_quorum_commits_the_reported_entries() {
    let mut replica = follower_among(1..=5, vec![entry(5, 5)]);
    flush(&mut replica);
    replica.observe_durable_report(20, 2, report(5, 5, &[2, 3]));
    assert_eq!(replica.commit_index(), 5);
    let outputs = replica.take_outputs();
    assert!(outputs.contains(&Output::Apply(entry(5, 5))), "{outputs:?}");
}

#[test]
fn a_follower_commits_only_entries_that_it_holds_durably_itself() {
    let mut replica = follower_among(1..=5, vec![entry(5, 5)]);
    replica.observe_durable_report(20, 2, report(5, 5, &[2, 3]));
    assert_eq!(replica.commit_index(), 1);
    flush(&mut replica);
    assert_eq!(replica.commit_index(), 5);
}

#[test]
fn a_follower_commits_entries_that_arrive_after_their_report() {
    let mut replica = follower_among(1..=5, Vec::new());
    replica.observe_durable_report(20, 2, report(5, 6, &[2, 3]));
    replica.handle_message(30, append_entries((4, 4), vec![entry(5, 5)], 1));
    flush(&mut replica);
    assert_eq!(replica.commit_index(), 5);
    replica.handle_message(40, append_entries((5, 5), vec![entry(6, 5)], 1));
    flush(&mut replica);
    assert_eq!(replica.commit_index(), 6);
}

#[test]
fn an_older_report_that_arrives_late_changes_nothing() {
    let mut replica = follower_among(1..=5, vec![entry(5, 5)]);
    replica.observe_durable_report(20, 2, report(5, 6, &[2, 3]));
    replica.observe_durable_report(30, 2, report(5, 5, &[2]));
    flush(&mut replica);
    assert_eq!(replica.commit_index(), 5);
}

#[rstest]
#[case::of_a_former_term(2, report(4, 5, &[2, 3]))]
#[case::of_a_later_term(2, report(6, 5, &[2, 3]))]
#[case::of_another_replica(3, report(5, 5, &[2, 3]))]
#[case::of_this_replica(1, report(5, 5, &[2, 3]))]
#[case::of_too_few_holders(2, report(5, 5, &[2]))]
#[case::of_holders_without_a_vote(2, report(5, 5, &[2, 8, 9]))]
#[case::that_counts_this_replica_too(2, report(5, 5, &[1, 2]))]
#[case::that_counts_a_holder_twice(2, report(5, 5, &[2, 2]))]
#[case::of_an_entry_of_a_former_term(2, report(5, 4, &[2, 3]))]
fn a_follower_does_not_commit_by_a_report(#[case] from: ReplicaId, #[case] report: DurableReport) {
    let mut replica = follower_among(1..=5, vec![entry(5, 5)]);
    flush(&mut replica);
    replica.observe_durable_report(20, from, report);
    assert_eq!(replica.commit_index(), 1);
}

#[test]
fn a_report_of_a_former_term_does_not_replace_the_current_one() {
    let mut replica = follower_among(1..=5, vec![entry(5, 5)]);
    replica.observe_durable_report(20, 2, report(5, 5, &[2, 3]));
    replica.observe_durable_report(30, 2, report(4, 9, &[2, 3]));
    flush(&mut replica);
    assert_eq!(replica.commit_index(), 5);
}

#[test]
fn a_report_does_not_count_for_the_entries_of_the_next_leader() {
    let mut replica = follower_among(1..=5, vec![entry(5, 5)]);
    replica.observe_durable_report(20, 2, report(5, 5, &[2, 3]));
    replica.handle_message(
        30,
        Message {
            from: 3,
            term: 6,
            ..append_entries((4, 4), vec![entry(5, 6)], 1)
        },
    );
    flush(&mut replica);
    assert_eq!(replica.log().last_term(), 6);
    assert_eq!(replica.commit_index(), 1);
}

#[test]
fn a_follower_needs_both_majorities_of_a_joint_membership() {
    let joint = Entry {
        payload: EntryPayload::Membership(Membership {
            voters: members(1..=5),
            next_voters: members([1, 6, 7]),
        }),
        ..entry(5, 5)
    };
    let mut replica = follower_among(1..=5, vec![joint, entry(6, 5)]);
    flush(&mut replica);
    replica.observe_durable_report(20, 2, report(5, 5, &[2, 3]));
    assert_eq!(replica.commit_index(), 1);
    replica.observe_durable_report(30, 2, report(5, 6, &[2, 3, 6]));
    assert_eq!(replica.commit_index(), 6);
}

#[test]
fn a_learner_does_not_count_itself() {
    let mut replica = follower_among(2..=6, vec![entry(5, 5), entry(6, 5)]);
    flush(&mut replica);
    replica.observe_durable_report(20, 2, report(5, 5, &[2, 3]));
    assert_eq!(replica.commit_index(), 1);
    replica.observe_durable_report(30, 2, report(5, 6, &[2, 3, 4]));
    assert_eq!(replica.commit_index(), 6);
}

#[test]
fn the_state_key_contains_a_report_of_the_current_term_and_no_report_of_a_former_term() {
    let mut with_report = follower_among(1..=5, Vec::new());
    let mut without_report = with_report.clone();
    with_report.observe_durable_report(20, 2, report(5, 5, &[2, 3]));
    assert_ne!(with_report.state_key(), without_report.state_key());
    for replica in [&mut with_report, &mut without_report] {
        let next_term = Message {
            from: 3,
            term: 6,
            ..append_entries((4, 4), Vec::new(), 1)
        };
        replica.handle_message(30, next_term);
    }
    assert_eq!(with_report.state_key(), without_report.state_key());
}
