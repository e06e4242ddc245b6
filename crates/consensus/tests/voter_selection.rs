//! The choice of voters, on random groups and in single cases.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use woadstall_consensus::{
    FailureDomain, Liveness, Member, ReplicaId, VoterCandidate, choose_voters,
};

const REGIONS: u8 = 3;
const MAX_CANDIDATES: usize = 9;

fn candidate(id: ReplicaId, zone: u8, liveness: Liveness, is_voter: bool) -> VoterCandidate {
    VoterCandidate {
        member: Member {
            id,
            address: format!("machine-{id}"),
        },
        failure_domain: Some(FailureDomain {
            zone: format!("zone-{zone}"),
            region: format!("region-{}", zone % REGIONS),
        }),
        liveness,
        is_voter,
        is_leader: false,
    }
}

/// Generates random groups of candidates. All learners are live. The last candidate is the leader.
fn groups() -> impl Strategy<Value = Vec<VoterCandidate>> {
    let livenesses = prop_oneof![
        4 => Just(Liveness::Live),
        1 => Just(Liveness::Unresponsive),
        1 => Just(Liveness::Lost)
    ];
    let drawn = prop::collection::vec(
        (0..2 * REGIONS, livenesses, any::<bool>()),
        1..MAX_CANDIDATES,
    );
    drawn.prop_map(|drawn| {
        let mut group: Vec<VoterCandidate> = drawn
            .into_iter()
            .enumerate()
            .map(|(number, (zone, liveness, is_voter))| {
                let liveness = if is_voter { liveness } else { Liveness::Live };
                candidate(number as u64 + 1, zone, liveness, is_voter)
            })
            .collect();
        // The leader has the greatest identity, which has the lowest precedence in a tie. Only its
        // leadership keeps it a voter.
        if let Some(leader) = group.last_mut() {
            (leader.is_voter, leader.is_leader, leader.liveness) = (true, true, Liveness::Live);
        }
        group
    })
}

fn ids(voters: &[Member]) -> BTreeSet<ReplicaId> {
    voters.iter().map(|voter| voter.id).collect()
}

fn choose(group: &[VoterCandidate], min_voters: usize) -> BTreeSet<ReplicaId> {
    ids(&choose_voters(group, min_voters))
}

fn leader_of(group: &[VoterCandidate]) -> ReplicaId {
    group
        .iter()
        .find(|candidate| candidate.is_leader)
        .expect("a leader in the group")
        .member
        .id
}

fn voters_of(group: &[VoterCandidate]) -> Vec<Member> {
    group
        .iter()
        .filter(|candidate| candidate.is_voter)
        .map(|candidate| candidate.member.clone())
        .collect()
}

fn with_voters(group: &[VoterCandidate], voters: &BTreeSet<ReplicaId>) -> Vec<VoterCandidate> {
    let with = |candidate: &VoterCandidate| VoterCandidate {
        is_voter: voters.contains(&candidate.member.id),
        ..candidate.clone()
    };
    group.iter().map(with).collect()
}

fn live_voters<'a>(
    group: &'a [VoterCandidate],
    voters: &'a BTreeSet<ReplicaId>,
) -> impl Iterator<Item = &'a VoterCandidate> {
    group.iter().filter(|candidate| {
        candidate.liveness == Liveness::Live && voters.contains(&candidate.member.id)
    })
}

/// Returns whether the loss of some region leaves no majority of the voters.
fn has_majority_region(group: &[VoterCandidate], voters: &BTreeSet<ReplicaId>) -> bool {
    let mut regions: BTreeMap<&str, usize> = BTreeMap::new();
    for candidate in group
        .iter()
        .filter(|candidate| voters.contains(&candidate.member.id))
    {
        *regions
            .entry(&candidate.failure_domain.as_ref().unwrap().region)
            .or_default() += 1;
    }
    regions
        .values()
        .any(|count| 2 * (voters.len() - count) <= voters.len())
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        max_global_rejects: 20_000,
        rng_seed: RngSeed::Fixed(51),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Determines by brute force whether some choice that includes the leader keeps a majority after
/// the loss of any one region. A choice has an odd number of at least three candidates.
fn has_resilient_choice(group: &[VoterCandidate], min_voters: usize) -> bool {
    let leader = leader_of(group);
    (0u32..1 << group.len()).any(|bits| {
        let ids = group.iter().map(|candidate| candidate.member.id);
        let subset: BTreeSet<ReplicaId> = ids.filter(|id| bits >> (id - 1) & 1 == 1).collect();
        let has_valid_size =
            subset.len() % 2 == 1 && (min_voters.max(3)..=7).contains(&subset.len());
        subset.contains(&leader) && has_valid_size && !has_majority_region(group, &subset)
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_choice_is_stable(group in groups(), min_voters in 1usize..6) {
        // The first change replaces absent voters. An even number of voters, a lost voter or a poor
        // placement takes a further change.
        const MAX_CHANGES: usize = 3;
        let next = |group: &[VoterCandidate]| with_voters(group, &choose(group, min_voters));
        let stable = (0..MAX_CHANGES).fold(group, |group, _| next(&group));
        let voters: BTreeSet<ReplicaId> = ids(&voters_of(&stable));
        prop_assert_eq!(choose(&stable, min_voters), voters);
    }

    #[test]
    fn the_leader_stays_and_no_live_voter_is_replaced_by_an_absent_one(
        group in groups(),
        min_voters in 1usize..6,
    ) {
        let chosen = choose(&group, min_voters);
        let current = ids(&voters_of(&group));
        prop_assert!(chosen.contains(&leader_of(&group)));
        let before = live_voters(&group, &current).count();
        let after = live_voters(&group, &chosen).count();
        prop_assert!(
            after >= before.min(chosen.len()),
            "{before} live voters become {after} of {}",
            chosen.len()
        );
        let (absent_before, absent_after) = (current.len() - before, chosen.len() - after);
        prop_assert!(absent_after <= absent_before, "more absent voters than before");
    }

    #[test]
    fn with_all_live_the_number_is_odd_and_no_region_has_a_majority_if_possible(
        group in groups(),
        min_voters in 1usize..6,
    ) {
        let live = |candidate| VoterCandidate { liveness: Liveness::Live, ..candidate };
        let group: Vec<VoterCandidate> = group.into_iter().map(live).collect();
        let voters = group.iter().filter(|candidate| candidate.is_voter).count();
        prop_assume!(voters >= 3 && voters >= min_voters && group.len() >= min_voters);
        let chosen = choose(&group, min_voters);
        prop_assert!(chosen.len() >= min_voters.min(voters));
        if (min_voters..=group.len().min(7)).any(|size| size % 2 == 1) {
            prop_assert_eq!(chosen.len() % 2, 1);
        }
        if has_resilient_choice(&group, min_voters) {
            prop_assert!(!has_majority_region(&group, &chosen), "{chosen:?}");
        }
    }

    #[test]
    fn a_group_shrinks_only_by_lost_members_or_for_a_better_placement(
        group in groups(),
        min_voters in 1usize..6,
    ) {
        let chosen = choose(&group, min_voters);
        let voters: Vec<&VoterCandidate> =
            group.iter().filter(|candidate| candidate.is_voter).collect();
        if chosen.len() < voters.len() {
            let has_unresponsive =
                voters.iter().any(|candidate| candidate.liveness == Liveness::Unresponsive);
            prop_assert!(!has_unresponsive, "an unresponsive voter was removed too soon");
            prop_assert!(chosen.len() >= min_voters);
        }
    }
}

#[test]
fn five_of_six_machines_in_three_regions_vote_and_no_region_has_a_majority() {
    let group: Vec<VoterCandidate> = (0..6)
        .map(|zone| candidate(u64::from(zone) + 1, zone, Liveness::Live, zone < 3))
        .collect();
    let chosen = choose(&group, 5);
    assert_eq!(chosen.len(), 5);
    assert!(!has_majority_region(&group, &chosen));
}

#[test]
fn a_live_candidate_replaces_an_unresponsive_voter() {
    let mut group: Vec<VoterCandidate> = (0..6)
        .map(|zone| candidate(u64::from(zone) + 1, zone, Liveness::Live, zone < 5))
        .collect();
    group[2].liveness = Liveness::Unresponsive;
    assert_eq!(choose(&group, 5), BTreeSet::from([1, 2, 4, 5, 6]));
}

#[test]
fn no_voter_is_replaced_for_placement_while_another_domain_is_unknown() {
    // The first five candidates are voters. The sixth candidate, in `region-2`, would improve the
    // spread unless the third candidate, whose domain is unknown, is also in `region-2`.
    let mut group: Vec<VoterCandidate> = (0..6)
        .map(|zone| candidate(u64::from(zone) + 1, zone, Liveness::Live, zone < 5))
        .collect();
    group[2].failure_domain = None;
    assert_eq!(choose(&group, 5), BTreeSet::from([1, 2, 3, 4, 5]));
}

/// Generates a random group. The failure domains of some candidates are unknown.
fn random_group(random: &mut fastrand::Rng) -> Vec<VoterCandidate> {
    let mut group: Vec<VoterCandidate> = (1..=random.u64(1..MAX_CANDIDATES as u64))
        .map(|id| {
            let liveness = [
                Liveness::Live,
                Liveness::Live,
                Liveness::Unresponsive,
                Liveness::Lost,
            ][random.usize(..4)];
            let mut candidate = candidate(id, random.u8(..2 * REGIONS), liveness, random.bool());
            if random.u8(..10) == 0 {
                candidate.failure_domain = None;
            }
            candidate
        })
        .collect();
    let leader = random.usize(..group.len());
    (
        group[leader].is_voter,
        group[leader].is_leader,
        group[leader].liveness,
    ) = (true, true, Liveness::Live);
    group
}

/// Guards against unintended changes of the chosen voters and their order.
#[test]
fn recorded_groups_have_the_same_voters() {
    const GROUPS: usize = 5_000;
    const CHECKSUM: u32 = 702_419_999;
    let mut random = fastrand::Rng::with_seed(7);
    let mut checksum = crc32fast::Hasher::new();
    for _ in 0..GROUPS {
        let group = random_group(&mut random);
        let min_voters = random.usize(1..6);
        for voter in choose_voters(&group, min_voters) {
            checksum.update(&voter.id.to_le_bytes());
        }
        checksum.update(&[0]);
    }
    assert_eq!(checksum.finalize(), CHECKSUM);
}
