//! The spread of candidates over failure domains.

use super::VoterCandidate;
use std::collections::BTreeMap;

/// A function that returns the name of a candidate's region or zone. For a candidate whose failure
/// domain is unknown, the function returns the candidate's address, as a domain with no other
/// replica.
pub(super) type DomainKey = fn(&VoterCandidate) -> &str;

pub(super) fn region(candidate: &VoterCandidate) -> &str {
    let domain = candidate.failure_domain.as_ref();
    domain.map_or(&candidate.member.address, |domain| &domain.region)
}

pub(super) fn zone(candidate: &VoterCandidate) -> &str {
    let domain = candidate.failure_domain.as_ref();
    domain.map_or(&candidate.member.address, |domain| &domain.zone)
}

/// Returns the kind of failure domain whose loss the group should survive: a region, or a zone if
/// all known domains are in one region.
pub(super) fn domain_to_survive(candidates: &[VoterCandidate]) -> DomainKey {
    let mut known = candidates
        .iter()
        .filter_map(|candidate| candidate.failure_domain.as_ref());
    let is_single_region = known
        .next()
        .is_some_and(|first| known.all(|domain| domain.region == first.region));
    if is_single_region { zone } else { region }
}

/// Chooses up to `size` candidates. The leader is chosen first. Each further candidate comes from
/// the region, then the zone, with the fewest chosen candidates. Among equal candidates, current
/// voters have precedence, then lower identities.
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

/// Returns the number of replicas in each domain, in descending order.
pub(super) fn replicas_per_domain(replicas: &[&VoterCandidate], key: DomainKey) -> Vec<usize> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for replica in replicas {
        *counts.entry(key(replica)).or_default() += 1;
    }
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    counts
}

/// Returns whether the loss of the domain with the most replicas would leave no majority.
pub(super) fn has_majority_domain(replicas: &[&VoterCandidate], key: DomainKey) -> bool {
    let largest = replicas_per_domain(replicas, key)
        .first()
        .copied()
        .unwrap_or_default();
    2 * (replicas.len() - largest) <= replicas.len()
}
