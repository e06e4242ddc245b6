//! Quorums of memberships, with and without a change in progress.

use rstest::rstest;
use woadstall_consensus::{Member, Membership, ReplicaId};

fn members(ids: &[ReplicaId]) -> Vec<Member> {
    ids.iter()
        .map(|id| Member {
            id: *id,
            address: format!("machine-{id}"),
        })
        .collect()
}

fn membership(voters: &[ReplicaId], next: &[ReplicaId]) -> Membership {
    Membership {
        voters: members(voters),
        next_voters: members(next),
    }
}

#[rstest]
#[case::two_of_three(&[1, 2, 3], &[], &[1, 3], true)]
#[case::one_of_three(&[1, 2, 3], &[], &[2], false)]
#[case::half_of_four(&[1, 2, 3, 4], &[], &[1, 2], false)]
#[case::three_of_four(&[1, 2, 3, 4], &[], &[1, 2, 4], true)]
#[case::non_members(&[1, 2, 3], &[], &[1, 8, 9], false)]
#[case::no_voters(&[], &[], &[1, 2], false)]
#[case::the_current_voters_alone(&[1, 2, 3], &[3, 4, 5], &[1, 2], false)]
#[case::the_next_voters_alone(&[1, 2, 3], &[3, 4, 5], &[4, 5], false)]
#[case::a_majority_of_both(&[1, 2, 3], &[3, 4, 5], &[1, 3, 4], true)]
#[case::a_majority_of_all_and_not_of_the_next(&[1, 2, 3], &[3, 4, 5], &[1, 2, 3], false)]
fn a_quorum_is_a_majority_of_the_current_and_of_the_next_voters(
    #[case] voters: &[ReplicaId],
    #[case] next: &[ReplicaId],
    #[case] agreeing: &[ReplicaId],
    #[case] expected: bool,
) {
    let membership = membership(voters, next);
    assert_eq!(
        membership.is_quorum(|member| agreeing.contains(&member.id)),
        expected
    );
    // `quorum_value` is 1 if and only if the agreeing members, whose value is 1, form a quorum.
    let value = |member: &Member| u64::from(agreeing.contains(&member.id));
    assert_eq!(membership.quorum_value(value) == 1, expected);
}

#[test]
fn a_joint_quorum_value_is_the_lesser_of_both() {
    let changing = membership(&[1, 2, 3], &[3, 4, 5]);
    assert_eq!(changing.quorum_value(|member| member.id * 10), 20);
    assert_eq!(
        changing.completed().quorum_value(|member| member.id * 10),
        40
    );
}

#[test]
fn a_joint_membership_lists_each_voter_once() {
    let changing = membership(&[1, 2, 3], &[3, 4, 5]);
    assert!((1..=5).all(|id| changing.is_voter(id)) && !changing.is_voter(6));
    assert_eq!(
        changing
            .all_voters()
            .map(|member| member.id)
            .collect::<Vec<_>>(),
        [1, 2, 3, 4, 5]
    );
    let completed = changing.completed();
    assert!(!completed.is_joint() && !completed.is_voter(1));
}

#[rstest]
#[case::one_of_three(&[1, 2, 3], &[], Some(9))]
#[case::two_of_five(&[1, 2, 3, 4, 5], &[], Some(8))]
#[case::two_of_four(&[1, 2, 3, 4], &[], Some(8))]
#[case::no_voter_of_one(&[1], &[], None)]
#[case::no_voters(&[], &[], None)]
#[case::a_joint_membership(&[1, 2, 3], &[1, 2, 4], None)]
fn the_value_below_quorum_is_reached_by_one_voter_fewer_than_a_majority(
    #[case] voters: &[ReplicaId],
    #[case] next: &[ReplicaId],
    #[case] expected: Option<u64>,
) {
    let value = membership(voters, next).value_below_quorum(|member| 10 - member.id);
    assert_eq!(value, expected);
}
