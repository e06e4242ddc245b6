//! Server selection of the baseline policies.

use super::*;

/// Calls in flight per server from which on Ribbon avoids a zone.
const ZONE_LOAD: f64 = 0.6;
/// Fraction of tripped servers from which on Ribbon avoids a zone.
const ZONE_TRIPPED: f64 = 0.2;

impl BaselinePolicy {
    /// Position of the server for the next attempt, other than `excluded` if possible; `None` if no server is ready.
    pub(super) fn pick(&mut self, now: Time, excluded: Option<usize>) -> Option<usize> {
        let count = self.ready.len();
        if count == 0 {
            return None;
        }
        if self.config.selection == ServerSelection::Ribbon {
            return self.pick_ribbon(now, excluded);
        }
        let usable = |this: &Self, index: usize| {
            this.servers[index].unavailable_until <= now && (Some(index) != excluded || count == 1)
        };
        match self.config.selection {
            ServerSelection::RoundRobin | ServerSelection::Ribbon => {
                self.next_in_order(count, |this, index| usable(this, index))
            }
            ServerSelection::LeastConnections => {
                let start = self.cursor;
                self.cursor = (start + 1) % count;
                let rotation = (start..start + count).map(|place| self.ready[place % count]);
                rotation
                    .filter(|&index| usable(self, index))
                    .min_by_key(|&index| self.servers[index].in_flight)
            }
            ServerSelection::Random | ServerSelection::TwoChoices | ServerSelection::PeakEwma => {
                let first = self.draw(usable)?;
                if self.config.selection == ServerSelection::Random {
                    return Some(first);
                }
                let second = self.draw(usable)?;
                let cost = |index: usize| {
                    let server = &self.servers[index];
                    let calls = f64::from(server.in_flight) + 1.0;
                    match self.config.selection {
                        // A server without a known latency is expensive while a call to it is in flight.
                        ServerSelection::PeakEwma
                            if server.peak_latency == 0.0 && server.in_flight > 0 =>
                        {
                            1e12 * calls
                        }
                        ServerSelection::PeakEwma => {
                            let age = now.saturating_sub(server.peak_latency_at) as f64;
                            server.peak_latency * (-age / DECAY).exp() * calls
                        }
                        _ => calls,
                    }
                };
                Some(if cost(second) < cost(first) {
                    second
                } else {
                    first
                })
            }
        }
        .or_else(|| self.next_in_order(count, |_, _| true))
    }

    /// Draws a usable server at random; after several draws without success, takes the next usable one in
    /// order.
    fn draw(&mut self, usable: impl Fn(&Self, usize) -> bool) -> Option<usize> {
        for _ in 0..8 {
            let index = self.ready[self.rng.random_range(..self.ready.len())];
            if usable(self, index) {
                return Some(index);
            }
        }
        self.next_in_order(self.ready.len(), usable)
    }

    /// Takes the next usable server in round-robin order; `None` after `tries` unusable ones.
    fn next_in_order(
        &mut self,
        tries: usize,
        usable: impl Fn(&Self, usize) -> bool,
    ) -> Option<usize> {
        for _ in 0..tries {
            self.cursor = (self.cursor + 1) % self.ready.len();
            let index = self.ready[self.cursor];
            if usable(self, index) {
                return Some(index);
            }
        }
        None
    }

    /// Ribbon's selection: the own zone unless it is bad, or else a random zone other than the worst bad one.
    fn pick_ribbon(&mut self, now: Time, excluded: Option<usize>) -> Option<usize> {
        #[derive(Clone, Copy, Default)]
        struct Zone {
            servers: u32,
            tripped: u32,
            in_flight: u32,
        }
        let mut zones = vec![Zone::default(); self.settings.zones];
        for &index in &self.ready {
            let server = &self.servers[index];
            if let Some(zone) = zones.get_mut(server.zone) {
                zone.servers += 1;
                zone.tripped += u32::from(server.unavailable_until > now);
                zone.in_flight += server.in_flight;
            }
        }
        let load = |zone: &Zone| {
            f64::from(zone.in_flight) / f64::from((zone.servers - zone.tripped).max(1))
        };
        let is_bad = |zone: &Zone| {
            load(zone) >= ZONE_LOAD
                || f64::from(zone.tripped) >= ZONE_TRIPPED * f64::from(zone.servers.max(1))
        };
        let own_zone = usize::from(self.settings.zone.0);
        let stays_in_own_zone = zones
            .get(own_zone)
            .is_some_and(|zone| zone.servers >= 2 && !is_bad(zone));
        let candidates: Vec<usize> = if stays_in_own_zone {
            vec![own_zone]
        } else {
            let has_usable_server = |zone: &usize| zones[*zone].tripped < zones[*zone].servers;
            let mut usable_zones: Vec<usize> = (0..zones.len()).filter(has_usable_server).collect();
            let worst = usable_zones
                .iter()
                .copied()
                .filter(|&zone| is_bad(&zones[zone]));
            let worst = worst.max_by(|&a, &b| load(&zones[a]).total_cmp(&load(&zones[b])));
            if usable_zones.len() > 1 {
                usable_zones.retain(|&zone| Some(zone) != worst);
            }
            usable_zones
        };
        let chosen_zone = if candidates.is_empty() {
            None
        } else {
            Some(candidates[self.rng.random_range(..candidates.len())])
        };
        let usable = |this: &Self, index: usize| {
            let server = &this.servers[index];
            Some(server.zone) == chosen_zone
                && server.unavailable_until <= now
                && Some(index) != excluded
        };
        let count = self.ready.len();
        self.next_in_order(count, usable)
            .or_else(|| self.next_in_order(1, |_, _| true))
    }
}
