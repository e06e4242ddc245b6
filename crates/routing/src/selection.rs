//! Which of the candidates takes a request: round robin past those with an obstacle, and for prompts with a long beginning
//! the upstream that keeps it.

use crate::query::Query;
use crate::router::Router;
use crate::upstream::UpstreamId;
use woadstall_control::shards::hash;

/// Proposals of the round robin before it falls back (about ten, as in Ribbon).
const PROPOSALS: usize = 10;
/// Tokens that an upstream may have to read before it is passed over by requests that could go elsewhere: about one step
/// of an engine, a tenth of a second.
const READING: u64 = 4_096;
/// How much an upstream may have to read before a prompt goes past it to one of a lower rank, over what the prompt shares with
/// others. Whoever is ranked first keeps that part or is to keep it: to read it again elsewhere takes as long as to wait
/// for as many tokens, and then it is kept twice at the cost of others.
const HOLDER_PATIENCE: u64 = 3;

impl Router {
    /// Picks one of the candidates, if any may be used.
    pub(crate) fn pick(
        &mut self,
        now: u64,
        query: &Query<'_>,
        candidates: &[UpstreamId],
    ) -> Option<UpstreamId> {
        if candidates.is_empty() {
            return None;
        }
        let holder = query
            .prompt
            .prefix_hash
            .and_then(|shared| self.pick_holder(now, query, candidates, shared));
        holder.or_else(|| self.pick_in_turn(now, query, candidates))
    }

    /// Of those that keep the beginning of the prompt the one that has the least to read. Where it is not known who does, the first
    /// by rank that does not read much already: another balancer would have sent it there. Else the one with the least to read.
    fn pick_holder(
        &self,
        now: u64,
        query: &Query<'_>,
        candidates: &[UpstreamId],
        shared: u32,
    ) -> Option<UpstreamId> {
        let mut ranked: Vec<&UpstreamId> = candidates
            .iter()
            .filter(|id| self.has_room(now, query, id))
            .collect();
        ranked.sort_by_cached_key(|id| std::cmp::Reverse(hash(&(shared, &***id))));
        let patience = HOLDER_PATIENCE * query.prompt.prefix_tokens;
        let is_free = |id: &&&UpstreamId| self.reads_less(now, id, patience);
        let keeps = |id: &&&UpstreamId| self.keeps(id, shared) && is_free(id);
        let ranks = || ranked.iter();
        let reading = |id: &&&UpstreamId| self.reading(now, id);
        let keeper = ranks().filter(keeps).min_by_key(reading);
        let presumed = || {
            ranks()
                .find(is_free)
                .filter(|_| !self.placements.are_known(now))
        };
        keeper
            .or_else(presumed)
            .or_else(|| ranks().min_by_key(reading))
            .map(|id| (*id).clone())
    }

    /// Round robin.
    fn pick_in_turn(
        &mut self,
        now: u64,
        query: &Query<'_>,
        candidates: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let begin = self.next_turn(&query.service.name);
        let order = || {
            (0..candidates.len())
                .map(|step| &candidates[begin.wrapping_add(step) % candidates.len()])
        };
        let proposals = || order().take(PROPOSALS.max(candidates.len()));
        let has_room = |id: &&UpstreamId| self.has_room(now, query, id);
        let is_free = |id: &&UpstreamId| has_room(id) && self.reads_less(now, id, READING);
        let chosen = proposals()
            .find(is_free)
            .or_else(|| proposals().find(has_room));
        // The fallback: the next in order that is not known to be full; a breaker may be wrong, a cold budget may not.
        chosen
            .or_else(|| order().find(|id| self.may_fall_back(now, query, id)))
            .cloned()
    }

    fn next_turn(&mut self, service: &str) -> usize {
        let random = &mut self.random;
        let cursor = self
            .cursors
            .entry(service.to_owned())
            .or_insert_with(|| random.usize(..1 << 16));
        let turn = *cursor;
        *cursor = turn.wrapping_add(1);
        turn
    }

    fn keeps(&self, id: &str, shared: u32) -> bool {
        self.upstreams
            .get(id)
            .is_some_and(|upstream| upstream.kept.has(shared))
    }

    fn reads_less(&self, now: u64, id: &str, tokens: u64) -> bool {
        self.reading(now, id) < tokens
    }

    fn reading(&self, now: u64, id: &str) -> u64 {
        self.upstreams
            .get(id)
            .map_or(u64::MAX, |upstream| upstream.fleet_reading(now))
    }
}
