//! Server selection of the baseline policies.

use super::*;

/// Calls in flight per server from which on Ribbon avoids a zone.
const ZONE_LOAD: f64 = 0.6;
/// Fraction of tripped servers from which on Ribbon avoids a zone.
const ZONE_TRIPPED: f64 = 0.2;

impl BaselinePolicy {
    pub(super) fn pick(&mut self, now: Time, not: Option<usize>) -> Option<usize> {
        let count = self.ready.len();
        if count == 0 {
            return None;
        }
        if self.config.selection == ServerSelection::Ribbon {
            return self.pick_ribbon(now, not);
        }
        let usable = |this: &Self, at: usize| {
            this.servers[at].out_until <= now && (Some(at) != not || count == 1)
        };
        match self.config.selection {
            ServerSelection::RoundRobin | ServerSelection::Ribbon => {
                self.next_in_order(count, |this, at| usable(this, at))
            }
            ServerSelection::LeastConnections => {
                let start = self.cursor;
                self.cursor = (start + 1) % count;
                let turn = (start..start + count).map(|at| self.ready[at % count]);
                turn.filter(|&at| usable(self, at))
                    .min_by_key(|&at| self.servers[at].in_flight)
            }
            ServerSelection::Random | ServerSelection::TwoChoices | ServerSelection::PeakEwma => {
                let one = self.draw(usable)?;
                if self.config.selection == ServerSelection::Random {
                    return Some(one);
                }
                let two = self.draw(usable)?;
                let cost = |at: usize| {
                    let server = &self.servers[at];
                    let calls = f64::from(server.in_flight) + 1.0;
                    match self.config.selection {
                        // A server without a known latency is expensive while a call to it is in flight.
                        ServerSelection::PeakEwma if server.cost == 0.0 && server.in_flight > 0 => {
                            1e12 * calls
                        }
                        ServerSelection::PeakEwma => {
                            let age = now.saturating_sub(server.cost_at) as f64;
                            server.cost * (-age / DECAY).exp() * calls
                        }
                        _ => calls,
                    }
                };
                Some(if cost(two) < cost(one) { two } else { one })
            }
        }
        .or_else(|| self.next_in_order(count, |_, _| true))
    }

    /// Draws a usable server at random; after several draws without success, takes the next usable one in
    /// order.
    fn draw(&mut self, usable: impl Fn(&Self, usize) -> bool) -> Option<usize> {
        for _ in 0..8 {
            let at = self.ready[self.rng.random_range(..self.ready.len())];
            if usable(self, at) {
                return Some(at);
            }
        }
        self.next_in_order(self.ready.len(), usable)
    }

    fn next_in_order(
        &mut self,
        tries: usize,
        usable: impl Fn(&Self, usize) -> bool,
    ) -> Option<usize> {
        for _ in 0..tries {
            self.cursor = (self.cursor + 1) % self.ready.len();
            let at = self.ready[self.cursor];
            if usable(self, at) {
                return Some(at);
            }
        }
        None
    }

    fn pick_ribbon(&mut self, now: Time, not: Option<usize>) -> Option<usize> {
        #[derive(Clone, Copy, Default)]
        struct Zone {
            servers: u32,
            tripped: u32,
            in_flight: u32,
        }
        let mut zones = vec![Zone::default(); self.settings.zones];
        for &at in &self.ready {
            let server = &self.servers[at];
            if let Some(zone) = zones.get_mut(server.zone) {
                zone.servers += 1;
                zone.tripped += u32::from(server.out_until > now);
                zone.in_flight += server.in_flight;
            }
        }
        let load = |zone: &Zone| {
            f64::from(zone.in_flight) / f64::from((zone.servers - zone.tripped).max(1))
        };
        let bad = |zone: &Zone| {
            load(zone) >= ZONE_LOAD
                || f64::from(zone.tripped) >= ZONE_TRIPPED * f64::from(zone.servers.max(1))
        };
        let own = usize::from(self.settings.zone.0);
        let home = zones
            .get(own)
            .is_some_and(|zone| zone.servers >= 2 && !bad(zone));
        let from: Vec<usize> = if home {
            vec![own]
        } else {
            let there = |zone: &usize| zones[*zone].tripped < zones[*zone].servers;
            let mut left: Vec<usize> = (0..zones.len()).filter(there).collect();
            let worst = left.iter().copied().filter(|&zone| bad(&zones[zone]));
            let worst = worst.max_by(|&a, &b| load(&zones[a]).total_cmp(&load(&zones[b])));
            if left.len() > 1 {
                left.retain(|&zone| Some(zone) != worst);
            }
            left
        };
        let one = if from.is_empty() {
            None
        } else {
            Some(from[self.rng.random_range(..from.len())])
        };
        let usable = |this: &Self, at: usize| {
            let server = &this.servers[at];
            Some(server.zone) == one && server.out_until <= now && Some(at) != not
        };
        let count = self.ready.len();
        self.next_in_order(count, usable)
            .or_else(|| self.next_in_order(1, |_, _| true))
    }
}
