//! Tracks which balancers evacuated which zone, when and for how long.

use crate::units::SECOND;
use serde::{Deserialize, Serialize};
use woadstall_engine::Time;

/// A balancer counts as having evacuated a zone at this share or below; the remaining share is for trial
/// requests.
pub const EVACUATED_MAX_SHARE: f64 = 0.3;

/// A balancer changes the share of new requests that it sends to a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareChange {
    /// Time of the change.
    pub at: Time,
    /// Number of the balancer.
    pub balancer: u32,
    /// Position of the zone in the scenario.
    pub zone: u8,
    /// New share; 1 means that nothing is diverted.
    pub share: f64,
}

/// Collects the share changes of a run.
#[derive(Clone, Debug)]
pub struct EvacuationTracker {
    zones: Vec<String>,
    shares: Vec<Vec<f64>>,
    since: Vec<Vec<Time>>,
    changes: Vec<ShareChange>,
    diverted_seconds: Vec<f64>,
}

/// Report on the evacuations of a run.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EvacuationReport {
    /// Changes of the fraction of balancers that evacuated a zone: time in seconds, zone, new fraction.
    #[serde(rename = "out")]
    pub evacuated_fractions: Vec<(f64, String, f64)>,
    /// Diverted share of each zone, integrated over time in seconds and averaged over all balancers.
    #[serde(rename = "moved")]
    pub diverted_share_seconds: Vec<(String, f64)>,
    /// Number of share changes.
    #[serde(rename = "moves")]
    pub share_changes: u64,
}

impl EvacuationTracker {
    /// Creates a tracker for these zones and a number of balancers.
    pub fn new(zones: Vec<String>, balancers: usize) -> Self {
        let count = zones.len();
        Self {
            zones,
            shares: vec![vec![1.0; count]; balancers],
            since: vec![vec![0; count]; balancers],
            changes: Vec::new(),
            diverted_seconds: vec![0.0; count],
        }
    }

    /// Resets a balancer's shares to 1, as its process starts.
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

    /// Records a share change of a balancer.
    pub fn record_share_change(&mut self, to: ShareChange) {
        let (balancer, zone) = (to.balancer as usize, usize::from(to.zone));
        let was = self.shares[balancer][zone];
        if was == to.share {
            return; // an unchanged share that was renewed
        }
        self.accumulate(to.at, balancer, zone);
        self.shares[balancer][zone] = to.share;
        self.changes.push(to);
    }

    /// Records the share of a zone, given by its name, as observed at a balancer.
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

    fn accumulate(&mut self, now: Time, balancer: usize, zone: usize) {
        let since = std::mem::replace(&mut self.since[balancer][zone], now);
        let time = now.saturating_sub(since) as f64 / SECOND as f64;
        self.diverted_seconds[zone] += (1.0 - self.shares[balancer][zone]) * time;
    }

    /// Finishes the tracking and returns the report.
    pub fn end(mut self, now: Time) -> EvacuationReport {
        let balancers = self.shares.len();
        for balancer in 0..balancers {
            (0..self.zones.len()).for_each(|zone| self.accumulate(now, balancer, zone));
        }
        let of = balancers.max(1) as f64;
        let mut outs = vec![vec![false; self.zones.len()]; balancers];
        let mut out = Vec::new();
        for to in &self.changes {
            let (balancer, zone) = (to.balancer as usize, usize::from(to.zone));
            if std::mem::replace(&mut outs[balancer][zone], to.share <= EVACUATED_MAX_SHARE)
                != (to.share <= EVACUATED_MAX_SHARE)
            {
                let part = outs.iter().filter(|outs| outs[zone]).count() as f64 / of;
                out.push((to.at as f64 / SECOND as f64, self.zones[zone].clone(), part));
            }
        }
        let moved = self
            .zones
            .iter()
            .cloned()
            .zip(self.diverted_seconds.iter().map(|away| away / of))
            .collect();
        EvacuationReport {
            evacuated_fractions: out,
            diverted_share_seconds: moved,
            share_changes: self.changes.len() as u64,
        }
    }
}

impl EvacuationReport {
    /// Seconds after `from` until at least the fraction `part` of the balancers had evacuated a zone.
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

    /// Largest fraction of the balancers that had evacuated a zone between two times in seconds.
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
