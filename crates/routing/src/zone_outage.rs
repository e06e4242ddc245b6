//! Detection of zones that are down as a whole.
//!
//! A balancer sends few requests to each upstream; without this it would find each dead upstream of
//! a lost zone with failed requests of its own.

use std::collections::{BTreeSet, HashMap};

/// The suspect upstreams that a zone must have: a single one may have crashed.
const MIN_SUSPECTS: usize = 2;
/// How long nothing may have come from any upstream of the zone, in milliseconds.
const INACTIVITY_MS: u64 = 500;
/// The time between trial requests to a zone that is down, in milliseconds: at first, and at most.
/// Each trial costs each balancer a request.
const INITIAL_TRIAL_BACKOFF_MS: u64 = 500;
const MAX_TRIAL_BACKOFF_MS: u64 = 2_000;
/// By how much longer a request that is not idempotent waits for its trial, so that an idempotent
/// one goes first.
const NON_IDEMPOTENT_FACTOR: u64 = 2;

/// Which zones seem to be down. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneOutages {
    /// When something came from any upstream of a zone last.
    last_activity: HashMap<String, u64>,
    trials: HashMap<String, Trial>,
    down: BTreeSet<String>,
}

/// The newest trial request to a zone since something came from it.
#[derive(Clone, Copy, Debug)]
struct Trial {
    sent_at: u64,
    /// The time until the next trial, in milliseconds.
    backoff: u64,
}

impl ZoneOutages {
    /// Records that something has come from an upstream of a zone, which ends its outage.
    pub fn record_activity(&mut self, now: u64, zone: &str) {
        match self.last_activity.get_mut(zone) {
            Some(at) => *at = now,
            None => drop(self.last_activity.insert(zone.to_owned(), now)),
        }
        self.down.remove(zone);
        self.trials.remove(zone);
    }

    /// Records that a request is sent to a zone: a trial, if the zone is down.
    pub fn record_sent(&mut self, now: u64, zone: &str) {
        if !self.down.contains(zone) {
            return;
        }
        let next = |trial: &Trial| (trial.backoff * 2).min(MAX_TRIAL_BACKOFF_MS);
        let backoff = self.trials.get(zone).map_or(INITIAL_TRIAL_BACKOFF_MS, next);
        self.trials.insert(
            zone.to_owned(),
            Trial {
                sent_at: now,
                backoff,
            },
        );
    }

    /// Decides which zones are down, given the zone of each suspect upstream: one that has failed
    /// without a success since, or that is unresponsive.
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

    /// Whether a zone seems to be down.
    pub fn is_down(&self, zone: &str) -> bool {
        self.down.contains(zone)
    }

    /// Whether a request may go to a zone: always while it is up, one trial at a time while it is
    /// down.
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
            .is_none_or(|trial| now >= trial.sent_at + trial.backoff * factor)
    }
}
