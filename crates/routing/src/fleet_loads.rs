//! What balancers near each other tell of upstreams: each sees a small share of an upstream's requests, so that a batch that
//! reads long prompts, or an upstream that is dead, would else be found by every balancer for itself.
//!
//! What is told ages within a second and is never stronger than what this balancer has seen itself since.

use crate::router::Router;
use crate::upstream::Upstream;
use std::collections::HashMap;
use woadstall_control::loads::{FleetLoad, UpstreamLoad};

/// How long what was told holds, in milliseconds: it is repeated every 300 ms.
const TOLD_HOLDS: u64 = 700;
/// Balancers of the zone that must tell that an upstream fails: one alone may have a trouble of its own.
const WITNESSES: u16 = 2;
/// Prompt tokens from which on others are told that an upstream has to read them: fewer are read within one step.
const WORTH_TELLING: u64 = 4_096;
/// Upstreams that are told of at most, so that a report fits into a datagram.
const MOST_TOLD: usize = 128;

impl Router {
    /// What others should know of upstreams.
    pub fn load(&self, now: u64) -> Vec<UpstreamLoad> {
        let load = |upstream: &Upstream| {
            let is_failing = self.is_silent(now, upstream) || upstream.breaker.is_open(now);
            let unread = if upstream.reading >= WORTH_TELLING { upstream.reading } else { 0 };
            let unread = u32::try_from(unread).unwrap_or(u32::MAX);
            UpstreamLoad { upstream: upstream.key, unread, is_failing }
        };
        let is_worth_telling = |load: &UpstreamLoad| load.unread > 0 || load.is_failing;
        self.upstreams.values().map(load).filter(is_worth_telling).take(MOST_TOLD).collect()
    }

    /// The balancers near this one tell how upstreams stand with them, whole each time.
    pub fn set_fleet_loads(&mut self, now: u64, loads: &[FleetLoad]) {
        let by_key: HashMap<u32, FleetLoad> = loads.iter().map(|load| (load.upstream, *load)).collect();
        for upstream in self.upstreams.values_mut() {
            upstream.told = by_key.get(&upstream.key).map(|load| (now, *load));
        }
    }
}

impl Upstream {
    fn told(&self, now: u64) -> Option<(u64, FleetLoad)> {
        self.told.filter(|(at, _)| now <= at + TOLD_HOLDS)
    }

    /// Prompt tokens that it has to read, of this balancer's requests or of those of all near ones.
    pub(crate) fn fleet_reading(&self, now: u64) -> u64 {
        let told = self.told(now).map_or(0, |(_, load)| u64::from(load.unread));
        self.reading.max(told)
    }

    /// Whether others tell that it fails, and nothing has come from it here within so many milliseconds before that.
    pub(crate) fn is_told_failing(&self, now: u64, patience: u64) -> bool {
        let Some((at, load)) = self.told(now) else { return false };
        let is_contradicted = self.heard.is_some_and(|heard| heard + patience >= at);
        load.failing >= WITNESSES && !is_contradicted
    }
}
