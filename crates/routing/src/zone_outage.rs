//! Detection of zone outages.
//!
//! A balancer sends only a few requests to each upstream. Without zone-level detection, it would
//! lose requests to every failed upstream of an unavailable zone before it avoided all of them.

use std::collections::{BTreeSet, HashMap};

/// Minimum number of suspect upstreams in a zone that is considered down. A single suspect upstream
/// may have crashed on its own.
const MIN_SUSPECTS: usize = 2;
/// Minimum time without data from any upstream of a zone that is considered down, in milliseconds.
const INACTIVITY_MS: u64 = 500;
/// Initial interval between trial requests to a zone that is down, in milliseconds. The interval
/// doubles with each trial, because every trial costs each balancer a request.
const INITIAL_TRIAL_BACKOFF_MS: u64 = 500;
/// Maximum interval between trial requests to a zone that is down, in milliseconds.
const MAX_TRIAL_BACKOFF_MS: u64 = 2_000;
/// Factor by which the trial interval is longer for a request that is not idempotent, so that an
/// idempotent request serves as the trial first.
const NON_IDEMPOTENT_FACTOR: u64 = 2;

/// Detected zone outages. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneOutages {
    /// Time of the most recent data from any upstream, by zone.
    last_activity: HashMap<String, u64>,
    trials: HashMap<String, Trial>,
    down: BTreeSet<String>,
}

/// Most recent trial request to a zone that has sent no data since.
#[derive(Clone, Copy, Debug)]
struct Trial {
    sent_at: u64,
    /// Time until the next trial, in milliseconds.
    backoff_ms: u64,
}

impl ZoneOutages {
    /// Records data from an upstream of a zone, which ends an outage of that zone.
    pub fn record_activity(&mut self, now: u64, zone: &str) {
        match self.last_activity.get_mut(zone) {
            Some(last_activity) => *last_activity = now,
            None => drop(self.last_activity.insert(zone.to_owned(), now)),
        }
        self.down.remove(zone);
        self.trials.remove(zone);
    }

    /// Records that a request is sent to a zone. If the zone is down, the request is a trial.
    pub fn record_sent(&mut self, now: u64, zone: &str) {
        if !self.down.contains(zone) {
            return;
        }
        let next_backoff = |trial: &Trial| (trial.backoff_ms * 2).min(MAX_TRIAL_BACKOFF_MS);
        let backoff_ms = self
            .trials
            .get(zone)
            .map_or(INITIAL_TRIAL_BACKOFF_MS, next_backoff);
        self.trials.insert(
            zone.to_owned(),
            Trial {
                sent_at: now,
                backoff_ms,
            },
        );
    }

    /// Updates which zones are down. `suspect_zones` yields the zone of each suspect upstream, once
    /// per upstream. An upstream is suspect if it is unresponsive or has failed since its last
    /// success.
    pub fn update<'a>(&mut self, now: u64, suspect_zones: impl Iterator<Item = &'a str>) {
        let mut suspects: HashMap<&str, usize> = HashMap::new();
        suspect_zones.for_each(|zone| *suspects.entry(zone).or_default() += 1);
        self.down.clear();
        for (zone, count) in suspects {
            let last_activity = self.last_activity.get(zone).copied().unwrap_or(0);
            if count >= MIN_SUSPECTS && now > last_activity + INACTIVITY_MS {
                self.down.insert(zone.to_owned());
            }
        }
    }

    /// Whether a zone appears to be down.
    pub fn is_down(&self, zone: &str) -> bool {
        self.down.contains(zone)
    }

    /// Whether a request may be sent to a zone. A zone that is down accepts one trial request per
    /// interval.
    pub fn allows(&self, now: u64, zone: &str, is_idempotent: bool) -> bool {
        if !self.down.contains(zone) {
            return true;
        }
        let factor = if is_idempotent {
            1
        } else {
            NON_IDEMPOTENT_FACTOR
        };
        self.trials
            .get(zone)
            .is_none_or(|trial| now >= trial.sent_at + trial.backoff_ms * factor)
    }
}
