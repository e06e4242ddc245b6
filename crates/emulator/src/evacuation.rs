//! Tracks which balancers evacuated which zone, when and for how long.

use crate::units::SECOND;
use serde::{Deserialize, Serialize};
use woadstall_engine::Time;

/// A share up to this is out, but for trials.
pub const OUT: f64 = 0.3;

/// A balancer gives a zone another share of its new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareChange {
    /// When.
    pub at: Time,
    /// Which balancer.
    pub balancer: u32,
    /// Which zone, by position.
    pub zone: u8,
    /// The share.
    pub share: f64,
}

/// Takes moves as they come.
#[derive(Clone, Debug)]
pub struct EvacuationTracker {
    zones: Vec<String>,
    shares: Vec<Vec<f64>>,
    since: Vec<Vec<Time>>,
    moves: Vec<ShareChange>,
    away: Vec<f64>,
}

/// All that was seen, for a run's end.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EvacuationReport {
    /// Times at which the part of the balancers that is out of a zone changed: second, zone, part.
    #[serde(rename = "out")]
    pub evacuated_fractions: Vec<(f64, String, f64)>,
    /// For each zone, the share that it did not get, times seconds, over all balancers' number.
    #[serde(rename = "moved")]
    pub diverted_share_seconds: Vec<(String, f64)>,
    /// Changes of shares.
    #[serde(rename = "moves")]
    pub share_changes: u64,
}

impl EvacuationTracker {
    /// Of these zones, by so many balancers.
    pub fn new(zones: Vec<String>, balancers: usize) -> Self {
        let count = zones.len();
        Self {
            zones,
            shares: vec![vec![1.0; count]; balancers],
            since: vec![vec![0; count]; balancers],
            moves: Vec::new(),
            away: vec![0.0; count],
        }
    }

    /// A balancer begins anew, in all zones.
    pub fn balancer_started(&mut self, at: Time, balancer: usize) {
        for zone in 0..self.zones.len() as u8 {
            self.record_share_change(ShareChange {
                at,
                balancer: balancer as u32,
                zone,
                share: 1.0,
            });
        }
    }

    /// A balancer gives a zone a share.
    pub fn record_share_change(&mut self, to: ShareChange) {
        let (balancer, zone) = (to.balancer as usize, usize::from(to.zone));
        let was = self.shares[balancer][zone];
        if was == to.share {
            return; // renewed
        }
        self.add_up(to.at, balancer, zone);
        self.shares[balancer][zone] = to.share;
        self.moves.push(to);
    }

    /// The share of a zone, by its name, as it is seen at a balancer.
    pub fn record_zone_share(&mut self, at: Time, balancer: u32, zone: &str, share: f64) {
        if let Some(zone) = self.zones.iter().position(|known| known == zone) {
            self.record_share_change(ShareChange {
                at,
                balancer,
                zone: zone as u8,
                share,
            });
        }
    }

    fn add_up(&mut self, now: Time, balancer: usize, zone: usize) {
        let since = std::mem::replace(&mut self.since[balancer][zone], now);
        let time = now.saturating_sub(since) as f64 / SECOND as f64;
        self.away[zone] += (1.0 - self.shares[balancer][zone]) * time;
    }

    /// All that was seen.
    pub fn end(mut self, now: Time) -> EvacuationReport {
        let balancers = self.shares.len();
        for balancer in 0..balancers {
            (0..self.zones.len()).for_each(|zone| self.add_up(now, balancer, zone));
        }
        let of = balancers.max(1) as f64;
        let mut outs = vec![vec![false; self.zones.len()]; balancers];
        let mut out = Vec::new();
        for to in &self.moves {
            let (balancer, zone) = (to.balancer as usize, usize::from(to.zone));
            if std::mem::replace(&mut outs[balancer][zone], to.share <= OUT) != (to.share <= OUT) {
                let part = outs.iter().filter(|outs| outs[zone]).count() as f64 / of;
                out.push((to.at as f64 / SECOND as f64, self.zones[zone].clone(), part));
            }
        }
        let moved = self
            .zones
            .iter()
            .cloned()
            .zip(self.away.iter().map(|away| away / of))
            .collect();
        EvacuationReport {
            evacuated_fractions: out,
            diverted_share_seconds: moved,
            share_changes: self.moves.len() as u64,
        }
    }
}

impl EvacuationReport {
    /// How long after a second so large a part of the balancers was out of a zone.
    pub fn evacuated_after(&self, zone: &str, from: f64, part: f64) -> Option<f64> {
        let of = self
            .evacuated_fractions
            .iter()
            .filter(|(_, name, _)| name == zone);
        let before = of
            .clone()
            .rfind(|(at, ..)| *at <= from)
            .is_some_and(|(_, _, out)| *out >= part);
        if before {
            return Some(0.0);
        }
        of.into_iter()
            .find(|(at, _, out)| *at > from && *out >= part)
            .map(|(at, ..)| at - from)
    }

    /// The largest part of the balancers that was out of a zone from a second on.
    pub fn max_evacuated_fraction(&self, zone: &str, from: f64, until: f64) -> f64 {
        let of = self
            .evacuated_fractions
            .iter()
            .filter(|(at, name, _)| name == zone && *at < until);
        let before = of
            .clone()
            .rfind(|(at, ..)| *at <= from)
            .map_or(0.0, |(_, _, part)| *part);
        of.filter(|(at, ..)| *at > from)
            .map(|(_, _, part)| *part)
            .fold(before, f64::max)
    }
}
