//! Learners and membership changes.

use super::builders::{acknowledgement, flush, leader, members};
use woadstall_consensus::{ChangeVotersError, Member, Message, MessageBody, Replica, ReplicaId};

/// Creates a leader that has committed an entry of its term. A replica with this identity and
/// address has requested to join.
fn leader_with_learner(id: ReplicaId, address: &str) -> Replica {
    let mut replica = leader();
    replica.handle_message(30, acknowledgement(2, 5, 1));
    flush(&mut replica);
    replica.add_learner(Member {
        id,
        address: address.to_owned(),
    });
    replica
}

/// Creates a leader with the learners 4 and 5, of which only learner 4 has caught up.
fn leader_with_two_learners() -> Replica {
    let mut replica = leader_with_learner(4, "machine-4");
    replica.add_learner(Member {
        id: 5,
        address: "machine-5".to_owned(),
    });
    replica.handle_message(210, acknowledgement(4, 5, 2));
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

/// Returns the identities of the current and the next voters.
fn all_voters(replica: &Replica) -> Vec<ReplicaId> {
    replica
        .membership()
        .all_voters()
        .map(|member| member.id)
        .collect()
}

/// Returns the replicas to which entries or heartbeats were sent.
fn replicated_to(sent: &[Message]) -> Vec<ReplicaId> {
    let is_append =
        |message: &&Message| matches!(message.body, MessageBody::AppendEntriesRequest(_));
    let mut receivers: Vec<ReplicaId> = sent
        .iter()
        .filter(is_append)
        .map(|message| message.to)
        .collect();
    receivers.dedup();
    receivers
}

#[test]
fn membership_changes_run_one_at_a_time_and_only_after_a_commit_in_the_term() {
    let mut replica = leader();
    let others = |replica: &Replica, removed: ReplicaId| {
        replica
            .membership()
            .voters
            .iter()
            .filter(|member| member.id != removed)
            .cloned()
            .collect::<Vec<_>>()
    };
    let (without_2, without_3) = (others(&replica, 2), others(&replica, 3));
    assert!(
        replica.change_voters(without_3.clone()).is_err(),
        "no entry of this term is committed"
    );
    replica.handle_message(30, acknowledgement(2, 5, 1));
    flush(&mut replica);
    assert!(replica.change_voters(without_3).is_ok());
    assert!(
        replica.change_voters(without_2.clone()).is_err(),
        "the first change is not committed"
    );
    assert_eq!(
        replica.change_voters(Vec::new()),
        Err(ChangeVotersError::NoVoters)
    );
    replica.handle_message(40, acknowledgement(2, 6, 3));
    flush(&mut replica);
    assert!(
        replica.change_voters(without_2).is_err(),
        "the first change is committed but not complete"
    );
}

#[test]
fn caught_up_learners_become_voters_if_the_number_of_voters_stays_odd() {
    let mut replica = leader_with_two_learners();
    replica.tick(220);
    assert_eq!(
        all_voters(&replica),
        [1, 2, 3],
        "four voters tolerate no more faults than three"
    );
    replica.handle_message(230, acknowledgement(5, 4, 2));
    replica.tick(250);
    assert_eq!(all_voters(&replica), [1, 2, 3], "one entry is missing");
    replica.handle_message(260, acknowledgement(5, 5, 2));
    replica.tick(300);
    assert_eq!(all_voters(&replica), [1, 2, 3, 4, 5]);
    assert!(
        replica.membership().is_joint(),
        "the change also needs a majority of the current voters"
    );
}

#[test]
fn a_joint_membership_commits_only_with_a_majority_of_the_current_and_of_the_next_voters() {
    let mut replica = leader_with_two_learners();
    replica.handle_message(260, acknowledgement(5, 5, 2));
    replica.tick(300);
    flush(&mut replica);
    let change = replica.log().last_index();
    replica.handle_message(310, acknowledgement(4, change, 3));
    replica.handle_message(320, acknowledgement(5, change, 3));
    assert_eq!(
        replica.commit_index(),
        change - 1,
        "three of five next voters and one of three current voters have the entry"
    );
    replica.handle_message(330, acknowledgement(2, change, 3));
    flush(&mut replica);
    assert_eq!(replica.commit_index(), change);
    replica.tick(400);
    flush(&mut replica);
    assert_eq!(voters(&replica), [1, 2, 3, 4, 5]);
    assert!(!replica.membership().is_joint());
}

#[test]
fn a_member_that_lost_its_disk_is_replaced_by_its_new_identity_in_one_change() {
    let mut replica = leader_with_learner(9, "machine-3");
    replica.handle_message(210, acknowledgement(9, 5, 2));
    replica.tick(250);
    let membership = replica.membership().clone();
    assert_eq!(
        (voters(&replica), membership.next_voters.len()),
        (vec![1, 2, 3], 3)
    );
    assert!(
        membership.next_voters.iter().any(|member| member.id == 9)
            && !membership.next_voters.iter().any(|member| member.id == 3)
    );
    flush(&mut replica);
    replica.handle_message(255, acknowledgement(9, 6, 3));
    assert_eq!(
        replica.commit_index(),
        5,
        "only a majority of the next voters has the entry"
    );
    replica.handle_message(260, acknowledgement(2, 6, 3));
    flush(&mut replica);
    replica.tick(300);
    flush(&mut replica);
    assert_eq!(
        (voters(&replica), replica.membership().is_joint()),
        (vec![1, 2, 9], false)
    );
}

#[test]
fn a_retiring_voter_keeps_its_vote_until_its_replacement_is_a_voter() {
    let mut replica = leader_with_learner(4, "machine-4");
    replica.handle_message(210, acknowledgement(4, 5, 2));
    replica.set_retiring(220, 3);
    replica.tick(250);
    assert_eq!(all_voters(&replica), [1, 2, 3, 4]);
    flush(&mut replica);
    // Replicas 1 and 3 are a majority of the current voters 1, 2 and 3, but not of the next voters
    // 1, 2 and 4.
    replica.handle_message(255, acknowledgement(3, 6, 3));
    assert_eq!(replica.commit_index(), 5);
    replica.handle_message(260, acknowledgement(4, 6, 3));
    flush(&mut replica);
    assert_eq!(replica.commit_index(), 6);
    replica.tick(300);
    assert_eq!(voters(&replica), [1, 2, 4]);
}

#[test]
fn a_removed_leader_steps_down_once_the_change_is_committed() {
    let mut replica = leader_with_learner(4, "machine-4");
    replica.change_voters(members(2..=4)).unwrap();
    flush(&mut replica);
    for (round, index) in [(3, 6), (4, 7)] {
        for follower in [2, 3, 4] {
            replica.handle_message(210, acknowledgement(follower, index, round));
        }
        flush(&mut replica);
        if index == 6 {
            assert!(replica.is_leader(), "the change is not complete");
            replica.tick(220);
            flush(&mut replica);
        }
    }
    assert!(!replica.is_leader(), "the leader is no longer a voter");
    assert_eq!(voters(&replica), [2, 3, 4]);
}

#[test]
fn a_change_is_completed_only_once_it_is_committed() {
    let mut replica = leader_with_two_learners();
    replica.handle_message(260, acknowledgement(5, 5, 2));
    replica.tick(300);
    flush(&mut replica);
    replica.tick(350);
    flush(&mut replica);
    assert_eq!(
        (replica.log().last_index(), replica.membership().is_joint()),
        (6, true)
    );
}

#[test]
fn a_removed_voter_is_replicated_to_until_the_learner_timeout() {
    let mut replica = leader_with_learner(4, "machine-4");
    replica.handle_message(210, acknowledgement(4, 5, 2));
    replica.set_retiring(220, 3);
    replica.tick(250);
    flush(&mut replica);
    for follower in [2, 4] {
        replica.handle_message(255, acknowledgement(follower, 6, 3));
    }
    flush(&mut replica);
    replica.tick(300);
    assert_eq!(voters(&replica), [1, 2, 4]);
    assert_eq!(
        replicated_to(&flush(&mut replica)),
        [2, 3, 4],
        "the membership change is also sent to the removed voter"
    );
    for now in [500, 1_000, 1_500] {
        for follower in [2, 4] {
            let round = (now - 300) / 20;
            replica.handle_message(now, acknowledgement(follower, 7, round));
        }
        replica.tick(now);
        assert!(
            replicated_to(&flush(&mut replica)).contains(&3),
            "at {now} ms"
        );
    }
}
