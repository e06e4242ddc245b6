//! The spread of candidates over failure domains.

use super::VoterCandidate;
use std::collections::BTreeMap;

/// Gives the name of a candidate's region or zone. A candidate whose domain is unknown is in one of
/// its own.
pub(super) type DomainKey = fn(&VoterCandidate) -> &str;

pub(super) fn region(candidate: &VoterCandidate) -> &str {
    let domain = candidate.failure_domain.as_ref();
    domain.map_or(&candidate.member.address, |domain| &domain.region)
}

pub(super) fn zone(candidate: &VoterCandidate) -> &str {
    let domain = candidate.failure_domain.as_ref();
    domain.map_or(&candidate.member.address, |domain| &domain.zone)
}

/// The kind of domain whose loss the group should survive: a region, or a zone if there is only one
/// region.
pub(super) fn domain_to_survive(candidates: &[VoterCandidate]) -> DomainKey {
    let mut known = candidates
        .iter()
        .filter_map(|candidate| candidate.failure_domain.as_ref());
    let is_single_region = known
        .next()
        .is_some_and(|first| known.all(|domain| domain.region == first.region));
    if is_single_region { zone } else { region }
}

/// Up to `size` candidates, each from the region and zone that have the fewest so far; the leader
/// first, then current voters.
pub(super) fn choose_spread<'a>(
    live: &[&'a VoterCandidate],
    size: usize,
) -> Vec<&'a VoterCandidate> {
    let mut remaining: Vec<&VoterCandidate> = live.to_vec();
    let mut chosen: Vec<&VoterCandidate> = Vec::new();
    while chosen.len() < size && !remaining.is_empty() {
        let chosen_in_domain = |key: DomainKey, candidate: &VoterCandidate| {
            chosen
                .iter()
                .filter(|other| key(other) == key(candidate))
                .count()
        };
        let rank = |candidate: &VoterCandidate| {
            (
                !candidate.is_leader,
                chosen_in_domain(region, candidate),
                chosen_in_domain(zone, candidate),
                !candidate.is_voter,
                candidate.member.id,
            )
        };
        let Some(best) = (0..remaining.len()).min_by_key(|index| rank(remaining[*index])) else {
            break;
        };
        chosen.push(remaining.swap_remove(best));
    }
    chosen
}

/// The number of replicas in each domain, the greatest first.
pub(super) fn replicas_per_domain(replicas: &[&VoterCandidate], key: DomainKey) -> Vec<usize> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for replica in replicas {
        *counts.entry(key(replica)).or_default() += 1;
    }
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    counts
}

/// Whether the loss of one domain would leave no majority.
pub(super) fn has_majority_domain(replicas: &[&VoterCandidate], key: DomainKey) -> bool {
    let largest = replicas_per_domain(replicas, key)
        .first()
        .copied()
        .unwrap_or_default();
    2 * (replicas.len() - largest) <= replicas.len()
}
