//! Zone selection: affinity to the local zone, avoidance of unhealthy zones, and spillover of the
//! calls beyond the capacity of the local zone.

use crate::api::Time;
use crate::balancer::Balancer;
use crate::log::LogEvent;
use crate::state::{PendingRequest, Pool, PoolIndex, ServerIndex};
use crate::tuning::{
    BLACKOUT_THRESHOLD, HEALTH_DECAY, MAX_LOCAL_FAILURE_RATE, MIN_HEALTHY, MIN_SAMPLES,
    SPILLOVER_COST_PART, SPILLOVER_GAIN, SPILLOVER_NOISE, TRIAL_SHARE, ZONE_OVERLOAD,
};

/// A selected server, and the pool from which it was selected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Selection {
    pub pool: PoolIndex,
    pub server: ServerIndex,
}

impl Balancer {
    /// Chooses the server for the next attempt of a request; `None` if no server may take it.
    pub(crate) fn choose(&mut self, request: &PendingRequest) -> Option<Selection> {
        let (all_servers, local) = (self.settings.zones, usize::from(self.settings.zone.0));
        self.draw_avoided_zones(request.class);
        let is_unusable = !self.is_local_zone_usable(local);
        if is_unusable != self.has_left_local_zone {
            self.has_left_local_zone = is_unusable;
            self.log_local_zone(local);
        }
        if let Some(trial) = self.trial_in_tripped_zone(local, request) {
            return Some(trial);
        }
        let first = self.first_pool(local, request.class);
        let selected = self.select(first, request);
        selected.or_else(|| {
            if first == all_servers {
                None
            } else {
                self.select(all_servers, request)
            }
        })
    }

    /// Draws at random the zones that a call avoids, according to the share of its usual traffic
    /// that the fleet's health evidence leaves each zone. Calls that must not run twice avoid all
    /// zones that are only on trial.
    fn draw_avoided_zones(&mut self, class: usize) {
        self.avoided_zones.clear();
        for zone in 0..self.settings.zones {
            let share = self.pools[zone].traffic_share_of(class, self.now);
            let is_trial = share <= TRIAL_SHARE && !self.is_idempotent(class);
            if share < 1.0 && (is_trial || self.rng.f64() >= share) {
                self.avoided_zones.push(zone);
            }
        }
    }

    fn select(&mut self, pool: PoolIndex, request: &PendingRequest) -> Option<Selection> {
        self.pick(pool, request)
            .map(|server| Selection { pool, server })
    }

    fn log_local_zone(&mut self, local: PoolIndex) {
        let zone = &self.pools[local];
        self.log(LogEvent::LocalZone {
            has_left: self.has_left_local_zone,
            healthy: zone.healthy(),
            servers: zone.members.len(),
            in_flight: zone.in_flight,
            failure_rate: zone.failure_rate.get(self.now, HEALTH_DECAY),
        });
    }

    /// The pool in which a call looks for a server first.
    ///
    /// While the fleet's health evidence reduces the traffic of the local zone, the fleet's share
    /// decides whether the local zone is used. The balancer's own observations decay too slowly to
    /// follow the fleet when it returns to a zone.
    fn first_pool(&mut self, local: PoolIndex, class: usize) -> PoolIndex {
        let is_share_reduced = self.pools[local].traffic_share_of(class, self.now) < 1.0;
        if self.avoided_zones.contains(&local) || (!is_share_reduced && self.has_left_local_zone) {
            self.zone_after_avoidance(local)
                .unwrap_or(self.settings.zones)
        } else if is_share_reduced {
            local
        } else {
            self.spillover_zone(local).unwrap_or(local)
        }
    }

    /// Selects a server for a due trial call in a zone whose breakers are all open. Such a zone is
    /// not used otherwise and would never get a trial call. Zones other than the local one are
    /// tried only by calls that leave the local zone in any case.
    fn trial_in_tripped_zone(
        &mut self,
        local: PoolIndex,
        request: &PendingRequest,
    ) -> Option<Selection> {
        let has_left = self.has_left_local_zone;
        let others = (0..self.settings.zones).filter(|zone| has_left && *zone != local);
        std::iter::once(local).chain(others).find_map(|zone| {
            let is_avoided = self.avoided_zones.contains(&zone);
            let is_tripped = self.pools[zone].healthy() == 0 && !is_avoided;
            if is_tripped {
                self.select(zone, request)
            } else {
                None
            }
        })
    }

    /// Whether calls may stay in the local zone. These are Ribbon's three tests of zone affinity
    /// (healthy servers, tripped breakers, load), and a test of the zone's failure rate for
    /// balancers with too few calls to trip breakers.
    fn is_local_zone_usable(&self, local: PoolIndex) -> bool {
        let zone = &self.pools[local];
        let is_blackout = zone.tripped as f64 >= BLACKOUT_THRESHOLD * zone.members.len() as f64;
        let max_failure_rate = MAX_LOCAL_FAILURE_RATE + self.settings.cross_zone_cost;
        let is_failing = zone.failure_rate.get(self.now, HEALTH_DECAY) > max_failure_rate;
        let is_healthy = zone.healthy() >= MIN_HEALTHY && !is_blackout && !is_failing;
        is_healthy && !self.is_overloaded(zone, zone.size)
    }

    /// Draws another zone for a call that exceeds the capacity of the healthy local zone, or `None`
    /// if the call stays.
    ///
    /// If a zone gets more traffic than its servers can handle, calls are slow at all of them, and
    /// a balancer with few calls has too few in flight to detect the overload by their number. The
    /// part of the calls that spills over is proportional to the latency that spillover gains, so
    /// that only the surplus leaves the zone.
    fn spillover_zone(&mut self, local: PoolIndex) -> Option<PoolIndex> {
        if self.pools[local].relative_latency.calls < MIN_SAMPLES {
            return None;
        }
        let now = self.now;
        let avoided = std::mem::take(&mut self.avoided_zones);
        let zone = self.random_zone(|zone, pool| {
            let is_healthy = pool.healthy() >= MIN_HEALTHY && failure_rate_is_low(pool, now);
            zone != local && !avoided.contains(&zone) && is_healthy
        });
        self.avoided_zones = avoided;
        let zone = zone?;
        let baseline = self.pools[local].relative_latency.baseline;
        let expected = |zone: PoolIndex| {
            self.pools[zone].expected_relative_latency(baseline, now, HEALTH_DECAY)
        };
        let min_gain = SPILLOVER_COST_PART * self.settings.cross_zone_cost + SPILLOVER_NOISE;
        let gain = expected(local) - expected(zone) - min_gain;
        (self.rng.f64() < SPILLOVER_GAIN * gain).then_some(zone)
    }

    /// Draws one of the eligible zones at random. Zones with more servers are drawn more often.
    fn random_zone(&mut self, is_eligible: impl Fn(PoolIndex, &Pool) -> bool) -> Option<PoolIndex> {
        let (all_servers, zones) = self.pools.split_last()?;
        let count = all_servers.members.len();
        let start = self.rng.usize(..count.max(1));
        let positions = start..start + count;
        let mut drawn =
            positions.map(|position| self.servers[all_servers.members[position % count]].zone);
        drawn.find(|&zone| zones.get(zone).is_some_and(|pool| is_eligible(zone, pool)))
    }

    /// Whether a zone has far more calls in flight than expected without load. The expected number
    /// is that of a zone of `normal_size`, scaled to the zone's size. It replaces a fixed
    /// threshold, which a balancer with few calls would never reach.
    fn is_overloaded(&self, zone: &Pool, normal_size: f64) -> bool {
        if self.overall_latency.calls < MIN_SAMPLES {
            // Before the first responses, there is no baseline and every zone would look
            // overloaded.
            return false;
        }
        let expected = self.baseline_in_flight() * zone.size / normal_size.max(f64::MIN_POSITIVE);
        let limit = ZONE_OVERLOAD.ratio * expected + ZONE_OVERLOAD.deviations * expected.sqrt();
        f64::from(zone.in_flight) > limit.max(ZONE_OVERLOAD.min_in_flight)
    }

    /// Applies zone avoidance: excludes zones whose breakers have all tripped, zones where half of
    /// the calls fail, the most overloaded zone, and the zones that health evidence makes the call
    /// avoid. If any zone was excluded, draws one of the others, larger ones more often; otherwise
    /// returns `None`.
    ///
    /// The failure rate is tested because a balancer with few calls would have to find each failing
    /// server of a zone separately.
    fn zone_after_avoidance(&mut self, local: PoolIndex) -> Option<PoolIndex> {
        let now = self.now;
        let worst = self.worst_overloaded_zone(local);
        let avoided = self.avoided_zones.clone();
        let is_eligible = |zone: PoolIndex, pool: &Pool| {
            let is_healthy = pool.healthy() > 0 && failure_rate_is_low(pool, now);
            is_healthy && Some(zone) != worst && !avoided.contains(&zone)
        };
        let (_, zones) = self.pools.split_last()?;
        let is_not_excluded = |(zone, pool)| is_eligible(zone, pool) || pool.members.is_empty();
        if zones.iter().enumerate().all(is_not_excluded) {
            return None;
        }
        self.random_zone(is_eligible)
    }

    fn worst_overloaded_zone(&self, local: PoolIndex) -> Option<PoolIndex> {
        let (all_servers, zones) = self.pools.split_last()?;
        let normal_size = zones
            .get(local)
            .filter(|zone| zone.size > 0.0)
            .unwrap_or(all_servers)
            .size;
        let is_overloaded = |zone: &PoolIndex| {
            let pool = &zones[*zone];
            pool.healthy() > 0 && self.is_overloaded(pool, normal_size)
        };
        let by_load = |a: &usize, b: &usize| zones[*a].load().total_cmp(&zones[*b].load());
        (0..zones.len()).filter(is_overloaded).max_by(by_load)
    }
}

fn failure_rate_is_low(pool: &Pool, now: Time) -> bool {
    pool.failure_rate.get(now, HEALTH_DECAY) < BLACKOUT_THRESHOLD
}
