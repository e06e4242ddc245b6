//! Which of the candidates takes a request: round robin over the eligible ones, and for prompts
//! with a shared prefix the upstream whose prefix cache holds it.

use super::Router;
use crate::query::Query;
use crate::upstream::UpstreamId;
use std::cmp::Reverse;
use woadstall_control::shards::hash;

/// The most proposals of the round robin before it falls back (about ten, as in Ribbon).
const MIN_PROPOSALS: usize = 10;
/// The prefill backlog, in tokens, from which on an upstream is avoided by requests that could go
/// elsewhere: about one step of an engine, a tenth of a second.
const SHORT_BACKLOG_TOKENS: u64 = 4_096;
/// The prefill backlog over the length of a shared prefix up to which its upstream is waited for.
/// To prefill the prefix elsewhere takes as long as to wait for as many tokens, and then it is
/// cached twice at the cost of other prefixes.
const CACHE_OWNER_PATIENCE: u64 = 3;

impl Router {
    /// Selects one of the candidates, if any may be used.
    pub(super) fn pick(
        &mut self,
        now: u64,
        query: &Query<'_>,
        candidates: &[UpstreamId],
    ) -> Option<UpstreamId> {
        if candidates.is_empty() {
            return None;
        }
        let prefix_hash = query.prompt.prefix_hash;
        let by_prefix =
            prefix_hash.and_then(|hash| self.pick_by_prefix(now, query, candidates, hash));
        by_prefix.or_else(|| self.pick_round_robin(now, query, candidates))
    }

    /// Selects the upstream for a prompt with a shared prefix: of those that have it cached, the
    /// one with the shortest prefill backlog. Where none is known to have it cached, the first by
    /// rendezvous hashing with a short backlog: another balancer would have sent the prefix there.
    /// Otherwise the one with the shortest backlog.
    fn pick_by_prefix(
        &self,
        now: u64,
        query: &Query<'_>,
        candidates: &[UpstreamId],
        prefix_hash: u32,
    ) -> Option<UpstreamId> {
        let mut ranked: Vec<&UpstreamId> = candidates
            .iter()
            .filter(|id| self.is_eligible(now, query, id))
            .collect();
        ranked.sort_by_cached_key(|id| Reverse(hash(&(prefix_hash, &***id))));
        let max_backlog = CACHE_OWNER_PATIENCE * query.prompt.prefix_tokens;
        let backlog = |id: &&UpstreamId| self.fleet_prefill_backlog(now, id);
        let is_free = |id: &&UpstreamId| backlog(id) < max_backlog;
        let owners = ranked
            .iter()
            .copied()
            .filter(|id| self.has_cached(id, prefix_hash) && is_free(id));
        let owner = owners.min_by_key(backlog);
        let presumed_owner = || {
            let first_free = ranked.iter().copied().find(is_free);
            first_free.filter(|_| !self.placements.is_synchronized(now))
        };
        let least_loaded = || ranked.iter().copied().min_by_key(backlog);
        owner.or_else(presumed_owner).or_else(least_loaded).cloned()
    }

    /// Round robin: the next eligible candidate with a short prefill backlog, or else the next
    /// eligible one.
    fn pick_round_robin(
        &mut self,
        now: u64,
        query: &Query<'_>,
        candidates: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let first = self.advance_cursor(&query.service.name);
        let order = || {
            (0..candidates.len())
                .map(|step| &candidates[first.wrapping_add(step) % candidates.len()])
        };
        let proposals = || order().take(MIN_PROPOSALS.max(candidates.len()));
        let is_eligible = |id: &&UpstreamId| self.is_eligible(now, query, id);
        let is_free = |id: &&UpstreamId| {
            is_eligible(id) && self.fleet_prefill_backlog(now, id) < SHORT_BACKLOG_TOKENS
        };
        let chosen = proposals()
            .find(is_free)
            .or_else(|| proposals().find(is_eligible));
        // A breaker may be wrong, a warm-up quota may not.
        chosen
            .or_else(|| order().find(|id| self.may_fall_back(now, query, id)))
            .cloned()
    }

    /// The position of a service's round robin, which moves on by one. It begins at a random one,
    /// so that balancers that start together do not all send to the same upstream.
    fn advance_cursor(&mut self, service: &str) -> usize {
        let random = &mut self.random;
        let cursor = self
            .cursors
            .entry(service.to_owned())
            .or_insert_with(|| random.usize(..1 << 16));
        let position = *cursor;
        *cursor = position.wrapping_add(1);
        position
    }

    fn has_cached(&self, id: &str, prefix_hash: u32) -> bool {
        self.upstreams
            .get(id)
            .is_some_and(|upstream| upstream.prefix_cache.contains(prefix_hash))
    }

    fn fleet_prefill_backlog(&self, now: u64, id: &str) -> u64 {
        self.upstreams
            .get(id)
            .map_or(u64::MAX, |upstream| upstream.fleet_prefill_backlog(now))
    }
}
