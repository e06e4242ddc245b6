//! Front that distributes callers' connections among the balancers of their zone, and that detects deaths of
//! balancers late.
//!
//! Callers keep their connections open, send one request at a time on each connection, and open another one
//! when all are busy. The caller of this module passes the time and the random generator.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use woadstall_engine::Time;

/// Maximum number of idle connections that the callers of one zone keep open.
const MAX_IDLE: usize = 100_000;

/// A caller's connection to one incarnation of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerConnection {
    /// Zone of the caller.
    pub zone: usize,
    /// Number of the balancer.
    pub balancer: u32,
    /// Incarnation of the balancer's process.
    pub incarnation: u32,
}

/// A balancer as the front knows it.
#[derive(Clone, Copy, Debug)]
struct FrontedBalancer {
    balancer: u32,
    weight: f64,
    detected_down: bool,
}

/// Distributes callers' connections among balancers.
#[derive(Debug)]
pub struct Front {
    /// Balancers by zone.
    zones: Vec<Vec<FrontedBalancer>>,
    /// Idle connections by the callers' zone, with the time since when each is idle.
    idle: Vec<Vec<(CallerConnection, Time)>>,
    idle_timeout: Time,
}

impl Front {
    /// Creates a front for the balancers of each zone. Weights are log-uniform between 1 and
    /// `max_weight_ratio`, so that some balancers get several times as many connections as others. Idle
    /// connections are closed after `idle_timeout`.
    pub fn new(
        zones: &[Vec<u32>],
        max_weight_ratio: f64,
        idle_timeout: Time,
        rng: &mut ChaCha8Rng,
    ) -> Self {
        let mut fronted_balancer = |&balancer: &u32| FrontedBalancer {
            balancer,
            weight: max_weight_ratio.max(1.0).powf(rng.random::<f64>()),
            detected_down: false,
        };
        let zones: Vec<Vec<FrontedBalancer>> = zones
            .iter()
            .map(|zone_balancers| zone_balancers.iter().map(&mut fronted_balancer).collect())
            .collect();
        Self {
            idle: vec![Vec::new(); zones.len()],
            zones,
            idle_timeout,
        }
    }

    /// Provides a connection for a call from a zone: the connection that became idle last, or a new one, whose
    /// incarnation the caller of this function fills in. The flag is `true` for a new connection. `None` if all
    /// balancers are known to be down.
    pub fn acquire(
        &mut self,
        zone: usize,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Option<(CallerConnection, bool)> {
        let idle_timeout = self.idle_timeout;
        let idle = &mut self.idle[zone];
        // All other connections on the stack have been idle for longer.
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
            let zone_balancers = &self.zones[(zone + step) % zones];
            let is_up = |fronted: &&FrontedBalancer| !fronted.detected_down;
            let weight_sum: f64 = zone_balancers
                .iter()
                .filter(is_up)
                .map(|fronted| fronted.weight)
                .sum();
            let mut remaining_weight = rng.random::<f64>() * weight_sum;
            let drawn = zone_balancers.iter().filter(is_up).find(|fronted| {
                remaining_weight -= fronted.weight;
                remaining_weight < 0.0
            });
            // Rounding may leave a remainder after the last balancer.
            let balancer = drawn.or(zone_balancers.iter().rev().find(is_up))?.balancer;
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

    /// Returns a connection after its call; it becomes idle.
    pub fn release(&mut self, connection: CallerConnection, now: Time) {
        let idle = &mut self.idle[connection.zone];
        if idle.len() < MAX_IDLE {
            idle.push((connection, now));
        }
    }

    /// Closes all idle connections to a balancer.
    pub fn close(&mut self, balancer: u32) {
        self.idle
            .iter_mut()
            .for_each(|idle| idle.retain(|(connection, _)| connection.balancer != balancer));
    }

    /// Marks a balancer as detected down, or as up again.
    pub fn set_detected_down(&mut self, balancer: u32, down: bool) {
        let balancers = self.zones.iter_mut().flatten();
        balancers
            .filter(|fronted| fronted.balancer == balancer)
            .for_each(|fronted| fronted.detected_down = down);
    }
}

#[cfg(test)]
mod tests;
