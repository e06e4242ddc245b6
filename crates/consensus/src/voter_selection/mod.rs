//! The choice of voters: an odd number of live replicas, spread over failure domains so that the
//! loss of one domain takes no majority where another choice would keep one.

mod placement;

use crate::membership::Member;
use placement::{
    DomainKey, choose_spread, domain_to_survive, has_majority_domain, replicas_per_domain,
};
use std::cmp::Reverse;

/// Voters at most, unless more are needed for the tolerated faults: each commit waits for a
/// majority of them.
const MAX_VOTERS: usize = 7;

/// The failure domains of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FailureDomain {
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// The liveness of a replica, as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It responds, and is not about to stop.
    Live,
    /// It has not responded for so long, or is about to stop, that another replica may take its
    /// vote.
    Unresponsive,
    /// It has not responded for so long that it may lose its vote even if no other replica takes
    /// it.
    Lost,
}

/// A replica that votes or could vote.
#[derive(Clone, Debug)]
pub struct VoterCandidate {
    /// The replica.
    pub member: Member,
    /// Its failure domain, if it is known.
    pub failure_domain: Option<FailureDomain>,
    /// Its liveness.
    pub liveness: Liveness,
    /// Whether it votes now.
    pub is_voter: bool,
    /// Whether it is the leader. A live leader stays a voter.
    pub is_leader: bool,
}

/// Chooses the voters among the candidates, for a group of at least `min_voters` voters. The
/// current voters stay unless another choice is better.
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
        _ => with_replacements(&current, &live),
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

/// The largest odd number of live candidates of which no failure domain has a majority; if there is
/// no such choice, the largest odd number of them.
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

/// Whether the group may get this size. It shrinks only by lost members, to become odd, or to
/// survive the loss of a domain.
fn may_resize(current: &[&VoterCandidate], size: usize, key: DomainKey) -> bool {
    let are_live_or = |liveness: Liveness| {
        current
            .iter()
            .all(|candidate| is_live(candidate) || candidate.liveness == liveness)
    };
    let has_lost = current
        .iter()
        .any(|candidate| candidate.liveness == Liveness::Lost);
    let becomes_odd = current.len().is_multiple_of(2) && size + 1 == current.len();
    let improves = becomes_odd || has_majority_domain(current, key);
    size >= current.len()
        || has_lost && are_live_or(Liveness::Lost)
        || size > 1 && improves && are_live_or(Liveness::Live)
}

/// As many voters as now, with live candidates in place of those that are not live.
fn with_replacements<'a>(
    current: &[&'a VoterCandidate],
    live: &[&'a VoterCandidate],
) -> Vec<&'a VoterCandidate> {
    let mut chosen = choose_spread(live, current.len());
    let missing = current.len().saturating_sub(chosen.len());
    let absent = current.iter().filter(|candidate| !is_live(candidate));
    chosen.extend(absent.take(missing));
    chosen
}

/// Whether a choice is better than the current voters: fewer of them are absent, it survives the
/// loss of a domain, or has a better size or spread. If the domain of a current voter is unknown,
/// domains don't count.
fn is_better(choice: &[&VoterCandidate], current: &[&VoterCandidate], key: DomainKey) -> bool {
    let knows_domains = current
        .iter()
        .all(|candidate| candidate.failure_domain.is_some());
    // Smaller is better.
    let cost = |choice: &[&VoterCandidate]| {
        let absent = choice
            .iter()
            .filter(|candidate| !is_live(candidate))
            .count();
        let is_vulnerable = knows_domains && has_majority_domain(choice, key);
        let is_even = choice.len().is_multiple_of(2);
        let concentration = knows_domains.then(|| {
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
