//! Selection among the candidate upstreams of a request: round robin over the eligible candidates,
//! or, for a prompt with a shared prefix, the upstream whose prefix cache holds that prefix.

use super::Router;
use crate::query::Query;
use crate::upstream::UpstreamId;
use std::cmp::Reverse;
use woadstall_control::shards::hash;

/// Minimum number of candidates that the round robin checks before it falls back (about ten, as in
/// Ribbon).
const MIN_ROUND_ROBIN_CANDIDATES: usize = 10;
/// Prefill backlog, in tokens, from which an upstream is avoided by requests that could go
/// elsewhere. It corresponds to about one engine step, a tenth of a second.
const AVOIDED_BACKLOG_TOKENS: u64 = 4_096;
/// Maximum ratio of prefill backlog to prefix length up to which a request is still sent to an
/// upstream that has its prefix cached. Prefilling the prefix on another upstream takes as long as
/// waiting for the same number of tokens, and then caches the prefix a second time at the expense
/// of other prefixes.
const MAX_OWNER_BACKLOG_RATIO: u64 = 3;

impl Router {
    /// Selects one of the candidates; `None` if no candidate may be used.
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

    /// Selects the upstream for a prompt with a shared prefix among the eligible candidates, in
    /// this order:
    /// - the upstream with the shortest acceptable prefill backlog among the upstreams that have
    ///   the prefix cached;
    /// - the first upstream by rendezvous hashing that has an acceptable backlog, because another
    ///   balancer would have sent the prefix there; this rule is skipped if the placement log is
    ///   complete;
    /// - the upstream with the shortest backlog.
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
        let max_backlog = MAX_OWNER_BACKLOG_RATIO * query.prompt.prefix_tokens;
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

    /// Selects the next eligible candidate with a short prefill backlog in round-robin order, or
    /// else the next eligible candidate.
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
        let round_robin = || order().take(MIN_ROUND_ROBIN_CANDIDATES.max(candidates.len()));
        let is_eligible = |id: &&UpstreamId| self.is_eligible(now, query, id);
        let is_free = |id: &&UpstreamId| {
            is_eligible(id) && self.fleet_prefill_backlog(now, id) < AVOIDED_BACKLOG_TOKENS
        };
        let chosen = round_robin()
            .find(is_free)
            .or_else(|| round_robin().find(is_eligible));
        // An unhealthy upstream may have recovered and serves as a fallback; the warm-up quota and
        // the concurrency limit still apply.
        chosen
            .or_else(|| order().find(|id| self.may_fall_back(now, query, id)))
            .cloned()
    }

    /// Returns the round-robin position of a service and advances it by one. The initial position
    /// is random, so that balancers that start together do not all send to the same upstream.
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
