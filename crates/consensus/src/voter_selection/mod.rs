//! The choice of voters: an odd number of live replicas, spread over failure domains. If some
//! choice keeps a majority after the loss of any one domain, such a choice is made.

mod placement;

use crate::membership::Member;
use placement::{
    DomainKey, choose_spread, domain_to_survive, has_majority_domain, replicas_per_domain,
};
use std::cmp::Reverse;

/// The largest number of voters, unless the tolerated faults require more. Each commit waits for a
/// majority of the voters.
const MAX_VOTERS: usize = 7;

/// The failure domains of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FailureDomain {
    /// The name of the replica's zone.
    pub zone: String,
    /// The name of the region that contains the zone.
    pub region: String,
}

/// The liveness of a replica, as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The replica responds and is not about to stop.
    Live,
    /// The replica has not responded recently or is about to stop. A live candidate may replace the
    /// replica as a voter.
    Unresponsive,
    /// The replica has lost its disk or has not responded for a longer time. The replica may lose
    /// its vote even if no candidate replaces it.
    Lost,
}

/// A current voter, or a learner that could become a voter.
#[derive(Clone, Debug)]
pub struct VoterCandidate {
    /// The identity and the address of the replica.
    pub member: Member,
    /// The failure domain of the replica, if the leader knows it.
    pub failure_domain: Option<FailureDomain>,
    /// The liveness of the replica, as the leader knows it.
    pub liveness: Liveness,
    /// Whether the replica is a current voter.
    pub is_voter: bool,
    /// Whether the replica is the leader. A live leader stays a voter.
    pub is_leader: bool,
}

/// Chooses the voters of a group among the candidates. A resized group has at least `min_voters`
/// voters. The current voters stay unless another choice is better.
pub fn choose_voters(candidates: &[VoterCandidate], min_voters: usize) -> Vec<Member> {
    let key = domain_to_survive(candidates);
    let current: Vec<&VoterCandidate> = candidates
        .iter()
        .filter(|candidate| candidate.is_voter)
        .collect();
    let live: Vec<&VoterCandidate> = candidates
        .iter()
        .filter(|candidate| is_live(candidate))
        .collect();
    let proposal = match largest_resilient_choice(&live, min_voters, key) {
        Some(choice) if may_resize(&current, choice.len(), key) => choice,
        _ => replace_absent_voters(&current, &live),
    };
    let chosen = if is_better(&proposal, &current, key) {
        proposal
    } else {
        current
    };
    chosen
        .into_iter()
        .map(|candidate| candidate.member.clone())
        .collect()
}

fn is_live(candidate: &VoterCandidate) -> bool {
    candidate.liveness == Liveness::Live
}

/// Returns the largest choice with an odd number of live candidates such that the loss of any one
/// failure domain leaves a majority. If there is no such choice, returns the largest choice with an
/// odd number of live candidates.
fn largest_resilient_choice<'a>(
    live: &[&'a VoterCandidate],
    min_voters: usize,
    key: DomainKey,
) -> Option<Vec<&'a VoterCandidate>> {
    let max_voters = live.len().min(MAX_VOTERS.max(min_voters));
    let odd_sizes = (min_voters.max(1)..=max_voters)
        .rev()
        .filter(|size| size % 2 == 1);
    let mut choices = odd_sizes.map(|size| choose_spread(live, size)).peekable();
    let largest = choices.peek().cloned();
    choices
        .find(|choice| !has_majority_domain(choice, key))
        .or(largest)
}

/// Returns whether the group may change to this size. A group may always keep its size or grow. A
/// group with lost voters may shrink if all its other voters are live. A group whose voters are all
/// live may shrink by one voter to get an odd number of voters, or by any number if the loss of one
/// failure domain would leave no majority; at least two voters remain.
fn may_resize(current: &[&VoterCandidate], size: usize, key: DomainKey) -> bool {
    let are_live_or = |liveness: Liveness| {
        current
            .iter()
            .all(|candidate| is_live(candidate) || candidate.liveness == liveness)
    };
    let has_lost_voter = current
        .iter()
        .any(|candidate| candidate.liveness == Liveness::Lost);
    let becomes_odd = current.len().is_multiple_of(2) && size + 1 == current.len();
    let improves = becomes_odd || has_majority_domain(current, key);
    size >= current.len()
        || has_lost_voter && are_live_or(Liveness::Lost)
        || size > 1 && improves && are_live_or(Liveness::Live)
}

/// Returns as many voters as the group has now. Live candidates replace the voters that are not
/// live, as far as there are enough live candidates.
fn replace_absent_voters<'a>(
    current: &[&'a VoterCandidate],
    live: &[&'a VoterCandidate],
) -> Vec<&'a VoterCandidate> {
    let mut chosen = choose_spread(live, current.len());
    let missing = current.len().saturating_sub(chosen.len());
    let absent = current.iter().filter(|candidate| !is_live(candidate));
    chosen.extend(absent.take(missing));
    chosen
}

/// Returns whether a choice is better than the current voters. The criteria are, in this order:
/// fewer voters that are not live, a majority after the loss of any one domain, an odd number of
/// voters, more voters, and a more even spread over domains. If the domain of a current voter is
/// unknown, the two criteria on domains are ignored.
fn is_better(choice: &[&VoterCandidate], current: &[&VoterCandidate], key: DomainKey) -> bool {
    let are_domains_known = current
        .iter()
        .all(|candidate| candidate.failure_domain.is_some());
    // The choice with the lower cost is better.
    let cost = |choice: &[&VoterCandidate]| {
        let absent = choice
            .iter()
            .filter(|candidate| !is_live(candidate))
            .count();
        let is_vulnerable = are_domains_known && has_majority_domain(choice, key);
        let is_even = choice.len().is_multiple_of(2);
        let concentration = are_domains_known.then(|| {
            (
                replicas_per_domain(choice, placement::region),
                replicas_per_domain(choice, placement::zone),
            )
        });
        (
            absent,
            is_vulnerable,
            is_even,
            Reverse(choice.len()),
            concentration,
        )
    };
    cost(choice) < cost(current)
}
