//! The choice of voters: an odd number of replicas that are there, spread over regions and zones so that the loss of one takes
//! no majority where another choice would leave one.

use crate::membership::Member;
use std::collections::BTreeMap;

/// Voters at most, where fewer bear the losses that the group is built for: each order waits for a majority of them.
const MOST_VOTERS: usize = 7;

/// Where a replica is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FailureDomain {
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// Whether a replica is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It answers, and does not say that it leaves.
    Live,
    /// It has been silent for so long that another one may take its vote.
    Unresponsive,
    /// It has been silent for so long that it may lose its vote without another one taking it.
    Lost,
}

/// A replica that votes or could.
#[derive(Clone, Debug)]
pub struct VoterCandidate {
    /// The replica.
    pub member: Member,
    /// Where it is, if that is known.
    pub place: Option<FailureDomain>,
    /// Whether it is there.
    pub presence: Liveness,
    /// Whether it votes now.
    pub is_voter: bool,
    /// Whether it leads; a leader that is there stays a voter.
    pub is_leader: bool,
}

/// The voters that these candidates should have, for a group that is built for `least` voters or more. The current ones stay
/// unless another choice is better.
pub fn choose_voters(candidates: &[VoterCandidate], least: usize) -> Vec<Member> {
    let key = place_to_bear(candidates);
    let current: Vec<&VoterCandidate> = candidates
        .iter()
        .filter(|candidate| candidate.is_voter)
        .collect();
    let live: Vec<&VoterCandidate> = candidates
        .iter()
        .filter(|candidate| candidate.presence == Liveness::Live)
        .collect();
    let chosen = match best_of(&live, least, key) {
        Some(chosen) if may_take(&current, chosen.len(), key) => chosen,
        _ => with_replacements(&current, &live),
    };
    let chosen = if is_better(&chosen, &current, key) {
        chosen
    } else {
        current
    };
    chosen
        .into_iter()
        .map(|candidate| candidate.member.clone())
        .collect()
}

/// Tells a candidate's region or its zone. One of which nothing is known is at a place of its own.
type Key = fn(&VoterCandidate) -> &str;

fn region(candidate: &VoterCandidate) -> &str {
    candidate
        .place
        .as_ref()
        .map_or(&candidate.member.address, |place| &place.region)
}

fn zone(candidate: &VoterCandidate) -> &str {
    candidate
        .place
        .as_ref()
        .map_or(&candidate.member.address, |place| &place.zone)
}

/// What may be lost as a whole without its voters being a majority: a region, or where there is only one, a zone.
fn place_to_bear(candidates: &[VoterCandidate]) -> Key {
    let mut known = candidates
        .iter()
        .filter_map(|candidate| candidate.place.as_ref());
    let is_one = known
        .next()
        .is_some_and(|first| known.all(|place| place.region == first.region));
    if is_one { zone } else { region }
}

/// The largest odd number of live candidates, spread so that no place holds a majority where that can be.
fn best_of<'a>(
    live: &[&'a VoterCandidate],
    least: usize,
    key: Key,
) -> Option<Vec<&'a VoterCandidate>> {
    let most = live.len().min(MOST_VOTERS.max(least));
    let sizes = (least.max(1)..=most).rev().filter(|size| size % 2 == 1);
    let mut choices = sizes.map(|size| spread(live, size)).peekable();
    let largest = choices.peek().cloned();
    choices
        .find(|choice| !has_majority_place(choice, key))
        .or(largest)
}

/// Whether a group may get this size: it shrinks only by members that are lost, to become odd, or to bear the loss of a place.
fn may_take(current: &[&VoterCandidate], size: usize, key: Key) -> bool {
    let are_live_or = |presence: Liveness| {
        let is =
            |candidate: &&VoterCandidate| [Liveness::Live, presence].contains(&candidate.presence);
        current.iter().all(is)
    };
    let has_lost = current
        .iter()
        .any(|candidate| candidate.presence == Liveness::Lost);
    let becomes_odd = current.len().is_multiple_of(2) && size + 1 == current.len();
    let is_ill_placed = becomes_odd || has_majority_place(current, key);
    size >= current.len()
        || has_lost && are_live_or(Liveness::Lost)
        || size > 1 && is_ill_placed && are_live_or(Liveness::Live)
}

/// As many voters as now, with live candidates in the places of those that are not there.
fn with_replacements<'a>(
    current: &[&'a VoterCandidate],
    live: &[&'a VoterCandidate],
) -> Vec<&'a VoterCandidate> {
    let mut chosen = spread(live, current.len());
    let absent = current
        .iter()
        .filter(|candidate| candidate.presence != Liveness::Live);
    chosen.extend(absent.take(current.len().saturating_sub(chosen.len())));
    chosen
}

/// So many candidates, each time from the region and zone that has the fewest; the leader first, then present voters.
fn spread<'a>(live: &[&'a VoterCandidate], size: usize) -> Vec<&'a VoterCandidate> {
    let mut left: Vec<&VoterCandidate> = live.to_vec();
    let mut chosen: Vec<&VoterCandidate> = Vec::new();
    while chosen.len() < size && !left.is_empty() {
        let same = |key: Key, candidate: &VoterCandidate| {
            chosen
                .iter()
                .filter(|other| key(other) == key(candidate))
                .count()
        };
        let rank = |candidate: &&VoterCandidate| {
            (
                !candidate.is_leader,
                same(region, candidate),
                same(zone, candidate),
                !candidate.is_voter,
                candidate.member.id,
            )
        };
        let Some(best) = (0..left.len()).min_by_key(|position| rank(&left[*position])) else {
            break;
        };
        chosen.push(left.swap_remove(best));
    }
    chosen
}

/// How many candidates each region or zone has, the greatest number first.
fn counts(chosen: &[&VoterCandidate], key: Key) -> Vec<usize> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for candidate in chosen {
        *counts.entry(key(candidate)).or_default() += 1;
    }
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    counts
}

/// Whether the loss of one place would leave no majority.
fn has_majority_place(chosen: &[&VoterCandidate], key: Key) -> bool {
    let most = counts(chosen, key).first().copied().unwrap_or_default();
    2 * (chosen.len() - most) <= chosen.len()
}

/// Whether a choice has fewer voters that are not there, bears the loss of a place better, or has a better number or spread.
/// Where the place of a current voter is not known, nothing can be said of places.
fn is_better(chosen: &[&VoterCandidate], current: &[&VoterCandidate], key: Key) -> bool {
    let knows_places = current.iter().all(|candidate| candidate.place.is_some());
    let measure = |choice: &[&VoterCandidate]| {
        let absent = choice
            .iter()
            .filter(|candidate| candidate.presence != Liveness::Live)
            .count();
        let is_even = choice.len().is_multiple_of(2);
        let size = std::cmp::Reverse(choice.len());
        let spread = knows_places.then(|| (counts(choice, region), counts(choice, zone)));
        (
            absent,
            knows_places && has_majority_place(choice, key),
            is_even,
            size,
            spread,
        )
    };
    measure(chosen) < measure(current)
}
