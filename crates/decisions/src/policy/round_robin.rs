//! Weighted round robin over the servers of a pool, which skips servers that are not available.
//!
//! Each pick goes through the pool and proposes servers that have a turn. The first proposed server
//! that is available gets the call.

use crate::api::{DedupScope, Effect};
use crate::balancer::Balancer;
use crate::state::{PendingRequest, PoolIndex, ServerIndex};
use crate::tuning::{
    BEST_WEIGHT_DECAY, MAX_EXCESS_FAILURE_RATE, MAX_PROPOSALS, MAX_ROUNDS, MIN_SLOWNESS,
    SERVER_OVERLOAD_RATIO, SUCCESS_RATE_EXPONENT, TRIAL_SHARE,
};

/// Positions in a pool to fall back to if no server is available. Each holds the first position
/// found.
#[derive(Debug, Default)]
struct Fallback {
    /// An overloaded server that is neither tripped nor rejecting calls.
    overloaded: Option<usize>,
    /// A server that was passed over, because it had no turn or was unsuitable for the call.
    passed_over: Option<usize>,
    /// Any server that the call may be sent to, even if it is tripped or rejecting calls.
    candidate: Option<usize>,
}

impl Balancer {
    /// Picks the next available server of a pool.
    ///
    /// The search ends after [`MAX_PROPOSALS`] proposals or [`MAX_ROUNDS`] rounds, and then takes a
    /// fallback: an overloaded server is preferred to a tripped or rejecting one. Tripped and
    /// rejecting servers are a fallback only in the pool of all servers, so that a server of
    /// another zone is preferred to them.
    pub(crate) fn pick(
        &mut self,
        pool: PoolIndex,
        request: &PendingRequest,
    ) -> Option<ServerIndex> {
        let (count, start) = (self.pools[pool].members.len(), self.pools[pool].cursor);
        let size = self.pools[pool].size.max(f64::MIN_POSITIVE);
        let in_flight_limit = SERVER_OVERLOAD_RATIO * self.baseline_in_flight() / size;
        let (mut proposals, mut fallback) = (0, Fallback::default());
        for position in (start + 1..)
            .take(MAX_ROUNDS * count)
            .map(|step| step % count)
        {
            let index = self.pools[pool].members[position];
            if !self.is_candidate(pool, index, request) {
                continue;
            }
            fallback.candidate = fallback.candidate.or(Some(position));
            if !self.is_proposed(pool, index, request) {
                let is_breaker_closed = !self.servers[index].breaker.tripped;
                let passed_over = Some(position).filter(|_| is_breaker_closed);
                fallback.passed_over = fallback.passed_over.or(passed_over);
                continue;
            }
            let is_rejecting = self.is_rejecting(index);
            let is_overloaded = is_rejecting || self.is_server_overloaded(index, in_flight_limit);
            if !is_overloaded && self.breaker_admits(index, request.class) {
                self.pools[pool].cursor = position;
                return Some(index);
            }
            let is_usable = !self.servers[index].breaker.tripped && !is_rejecting;
            fallback.overloaded = fallback.overloaded.or(Some(position).filter(|_| is_usable));
            proposals += 1;
            if proposals > MAX_PROPOSALS {
                break;
            }
        }
        self.pick_fallback(pool, &fallback)
    }

    fn pick_fallback(&mut self, pool: PoolIndex, fallback: &Fallback) -> Option<ServerIndex> {
        let usable = fallback.overloaded.or(fallback.passed_over);
        let is_pool_of_all = pool == self.settings.zones;
        let position = if is_pool_of_all {
            usable.or(fallback.candidate)?
        } else {
            usable?
        };
        self.pools[pool].cursor = position;
        Some(self.pools[pool].members[position])
    }

    /// Whether a request may be sent to a server of a pool at all. Draining and removed servers are
    /// in no pool.
    fn is_candidate(
        &mut self,
        pool: PoolIndex,
        index: ServerIndex,
        request: &PendingRequest,
    ) -> bool {
        let is_repeat = request
            .last_attempt
            .is_some_and(|last| last.server == index);
        let has_others = self.pools[pool].members.len() > 1;
        !(is_repeat && has_others)
            && self.is_in_dedup_scope(index, request)
            && self.slow_start_admits(pool, index)
    }

    /// Whether a server is in the deduplication scope of a request. A keyed request that may have
    /// run is only repeated at servers that would drop the repeat.
    fn is_in_dedup_scope(&self, index: ServerIndex, request: &PendingRequest) -> bool {
        let server = &self.servers[index];
        let first = request
            .may_have_run
            .map_or(server, |first| &self.servers[first.server]);
        match self.settings.classes[request.class].effect {
            Effect::Keyed(DedupScope::Zone, _) => first.zone == server.zone,
            Effect::Keyed(DedupScope::Cell, _) => first.cell == server.cell,
            _ => true,
        }
    }

    /// Whether a server is proposed for a request: it has a turn and is suitable for the request.
    ///
    /// In a zone to which the fleet sends a reduced share of its traffic, a server with a tripped
    /// breaker is proposed without a turn, so that the few calls there serve as trial calls.
    fn is_proposed(
        &mut self,
        pool: PoolIndex,
        index: ServerIndex,
        request: &PendingRequest,
    ) -> bool {
        let zone = self.servers[index].zone;
        let is_share_reduced = self.pools[zone].traffic_share.get(self.now) < 1.0;
        let is_trial = self.servers[index].breaker.tripped && is_share_reduced;
        !self.is_unsuitable(index, request.class)
            && !self.avoided_zones.contains(&zone)
            && (self.takes_turn(pool, index) || is_trial)
    }

    /// Whether a server is too likely to fail for calls of a class. Calls that must not run twice
    /// avoid failing servers and servers on trial; other calls are still sent to these servers and
    /// show whether they have recovered.
    fn is_unsuitable(&self, index: ServerIndex, class: usize) -> bool {
        let is_failing = || self.excess_failure_rate(index, 2.0) > MAX_EXCESS_FAILURE_RATE;
        let is_on_trial = || self.traffic_share_of_server(index) <= TRIAL_SHARE;
        !self.is_idempotent(class) && (is_failing() || is_on_trial())
    }

    fn is_rejecting(&self, index: ServerIndex) -> bool {
        self.now < self.servers[index].overloaded_until || self.is_at_connection_limit(index)
    }

    /// Whether a server has reached `in_flight_limit` calls in flight per unit of its size.
    fn is_server_overloaded(&self, index: ServerIndex, in_flight_limit: f64) -> bool {
        let server = &self.servers[index];
        f64::from(server.in_flight) >= (in_flight_limit * server.size).ceil().max(1.0)
    }

    /// Whether a server takes its turn in the weighted round robin.
    ///
    /// A server's weight grows with its size and speed; in an overload, slow servers would
    /// otherwise be congested while fast ones idle. Its failure rate reduces the weight, because
    /// failures that are too few in a row do not trip its breaker. A server in slow start takes
    /// every turn, because its slow-start budget limits its calls instead.
    fn takes_turn(&mut self, pool: PoolIndex, index: ServerIndex) -> bool {
        let is_warm = self.warmth(index) >= 1.0;
        let success_rate = 1.0 - self.excess_failure_rate(index, 1.0);
        let share = self.traffic_share_of_server(index);
        let server = &mut self.servers[index];
        let speed = server.slowness.max(MIN_SLOWNESS).powi(-2);
        let weight = server.size * speed * success_rate.powi(SUCCESS_RATE_EXPONENT) * share;
        // The server of the highest weight takes every turn. The highest weight decays, since its
        // server may have left the pool or slowed down.
        let best = &mut self.pools[pool].best_weight;
        *best = weight.max(*best * BEST_WEIGHT_DECAY);
        server.turn_credit += weight / best.max(f64::MIN_POSITIVE);
        let takes_turn = server.turn_credit >= 1.0 - 1e-9;
        server.turn_credit -= if takes_turn { 1.0 } else { 0.0 };
        takes_turn || !is_warm && share >= 1.0
    }
}
