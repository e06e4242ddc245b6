//! The front: deals out callers' connections among the balancers of their zone, and notices deaths late.
//!
//! Callers keep their connections, send one request at a time on each, and open one more when all are busy.
//! Handed its time and its randomness; it knows balancers by number alone.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use woadstall_engine::Time;

/// Most idle connections that the callers of a zone keep to all balancers together.
const MAX_IDLE: usize = 100_000;

/// A connection of a caller to one incarnation of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerConnection {
    /// The zone of its callers.
    pub zone: usize,
    /// The balancer.
    pub balancer: u32,
    /// Which of its processes.
    pub incarnation: u32,
}

#[derive(Clone, Copy, Debug)]
struct FrontedBalancer {
    balancer: u32,
    weight: f64,
    out: bool,
}

/// See the module's documentation.
#[derive(Debug)]
pub struct Front {
    /// The balancers of each zone.
    zones: Vec<Vec<FrontedBalancer>>,
    /// Idle connections of each zone's callers, and since when they are.
    idle: Vec<Vec<(CallerConnection, Time)>>,
    idle_timeout: Time,
}

impl Front {
    /// A front before the balancers of each zone. Their weights lie between 1 and `uneven`, the logarithm evenly:
    /// some get several times as many connections as others. Idle connections are closed after `kept`.
    pub fn new(
        zones: &[Vec<u32>],
        max_weight_ratio: f64,
        idle_timeout: Time,
        rng: &mut ChaCha8Rng,
    ) -> Self {
        let mut fronted_balancer = |&balancer: &u32| FrontedBalancer {
            balancer,
            weight: max_weight_ratio.max(1.0).powf(rng.random::<f64>()),
            out: false,
        };
        let zones: Vec<Vec<FrontedBalancer>> = zones
            .iter()
            .map(|there| there.iter().map(&mut fronted_balancer).collect())
            .collect();
        Self {
            idle: vec![Vec::new(); zones.len()],
            zones,
            idle_timeout,
        }
    }

    /// A connection for a call from a zone: the one that was idle last, or else a new one, whose incarnation the caller
    /// fills in. `None` where all balancers are known to be out.
    pub fn acquire(
        &mut self,
        zone: usize,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Option<(CallerConnection, bool)> {
        let idle_timeout = self.idle_timeout;
        let idle = &mut self.idle[zone];
        // The rest of the pile has been idle for longer.
        if idle
            .last()
            .is_some_and(|(_, since)| now.saturating_sub(*since) >= idle_timeout)
        {
            idle.clear();
        }
        if let Some((connection, _)) = idle.pop() {
            return Some((connection, false));
        }
        let zones = self.zones.len();
        (0..zones).find_map(|step| {
            let there = &self.zones[(zone + step) % zones];
            let sum: f64 = there
                .iter()
                .filter(|one| !one.out)
                .map(|one| one.weight)
                .sum();
            let mut left = rng.random::<f64>() * sum;
            let drawn = there.iter().filter(|one| !one.out).find(|one| {
                left -= one.weight;
                left < 0.0
            });
            let balancer = drawn.or(there.iter().rev().find(|one| !one.out))?.balancer;
            Some((
                CallerConnection {
                    zone,
                    balancer,
                    incarnation: 0,
                },
                true,
            ))
        })
    }

    /// A call on a connection is over, and the connection stays.
    pub fn release(&mut self, connection: CallerConnection, now: Time) {
        let idle = &mut self.idle[connection.zone];
        if idle.len() < MAX_IDLE {
            idle.push((connection, now));
        }
    }

    /// All connections to a balancer are closed.
    pub fn close(&mut self, balancer: u32) {
        self.idle
            .iter_mut()
            .for_each(|idle| idle.retain(|(connection, _)| connection.balancer != balancer));
    }

    /// It is known by now that a balancer is out, or back.
    pub fn set_out(&mut self, balancer: u32, out: bool) {
        let all = self.zones.iter_mut().flatten();
        all.filter(|one| one.balancer == balancer)
            .for_each(|one| one.out = out);
    }
}

#[cfg(test)]
mod tests;
