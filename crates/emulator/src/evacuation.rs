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
    /// Present share, by balancer and zone.
    shares: Vec<Vec<f64>>,
    /// Time up to which each present share is included in `diverted_seconds`, by balancer and zone.
    accumulated_until: Vec<Vec<Time>>,
    changes: Vec<ShareChange>,
    /// Diverted share of each zone, integrated over time in seconds and summed over all balancers.
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
            accumulated_until: vec![vec![0; count]; balancers],
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
    pub fn record_share_change(&mut self, change: ShareChange) {
        let (balancer, zone) = (change.balancer as usize, usize::from(change.zone));
        let previous_share = self.shares[balancer][zone];
        if previous_share == change.share {
            return; // the verdict was renewed with the same share
        }
        self.accumulate(change.at, balancer, zone);
        self.shares[balancer][zone] = change.share;
        self.changes.push(change);
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

    /// Adds the diverted share since the last change to `diverted_seconds`.
    fn accumulate(&mut self, now: Time, balancer: usize, zone: usize) {
        let since = std::mem::replace(&mut self.accumulated_until[balancer][zone], now);
        let seconds = now.saturating_sub(since) as f64 / SECOND as f64;
        self.diverted_seconds[zone] += (1.0 - self.shares[balancer][zone]) * seconds;
    }

    /// Finishes the tracking and returns the report.
    pub fn end(mut self, now: Time) -> EvacuationReport {
        let balancers = self.shares.len();
        for balancer in 0..balancers {
            (0..self.zones.len()).for_each(|zone| self.accumulate(now, balancer, zone));
        }
        let balancer_count = balancers.max(1) as f64;
        // Whether each balancer has evacuated each zone.
        let mut has_evacuated = vec![vec![false; self.zones.len()]; balancers];
        let mut evacuated_fractions = Vec::new();
        for change in &self.changes {
            let (balancer, zone) = (change.balancer as usize, usize::from(change.zone));
            let evacuates = change.share <= EVACUATED_MAX_SHARE;
            if std::mem::replace(&mut has_evacuated[balancer][zone], evacuates) != evacuates {
                let evacuated = has_evacuated.iter().filter(|zones| zones[zone]).count();
                evacuated_fractions.push((
                    change.at as f64 / SECOND as f64,
                    self.zones[zone].clone(),
                    evacuated as f64 / balancer_count,
                ));
            }
        }
        let diverted_share_seconds = self
            .zones
            .iter()
            .cloned()
            .zip(
                self.diverted_seconds
                    .iter()
                    .map(|seconds| seconds / balancer_count),
            )
            .collect();
        EvacuationReport {
            evacuated_fractions,
            diverted_share_seconds,
            share_changes: self.changes.len() as u64,
        }
    }
}

impl EvacuationReport {
    /// Seconds after `from` until at least a fraction of the balancers had evacuated a zone.
    pub fn evacuated_after(&self, zone: &str, from: f64, fraction: f64) -> Option<f64> {
        let zone_changes = self
            .evacuated_fractions
            .iter()
            .filter(|(_, name, _)| name == zone);
        let was_evacuated = zone_changes
            .clone()
            .rfind(|(time, ..)| *time <= from)
            .is_some_and(|(_, _, evacuated)| *evacuated >= fraction);
        if was_evacuated {
            return Some(0.0);
        }
        zone_changes
            .into_iter()
            .find(|(time, _, evacuated)| *time > from && *evacuated >= fraction)
            .map(|(time, ..)| time - from)
    }

    /// Largest fraction of the balancers that had evacuated a zone between two times in seconds.
    pub fn max_evacuated_fraction(&self, zone: &str, from: f64, until: f64) -> f64 {
        let zone_changes = self
            .evacuated_fractions
            .iter()
            .filter(|(time, name, _)| name == zone && *time < until);
        let initial_fraction = zone_changes
            .clone()
            .rfind(|(time, ..)| *time <= from)
            .map_or(0.0, |(_, _, fraction)| *fraction);
        zone_changes
            .filter(|(time, ..)| *time > from)
            .map(|(_, _, fraction)| *fraction)
            .fold(initial_fraction, f64::max)
    }
}
