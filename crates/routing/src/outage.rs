//! Zones that seem to be lost as a whole. A balancer that sends few requests to each upstream would else find each dead one
//! by requests of its own.

use std::collections::{BTreeSet, HashMap};

/// Upstreams of a zone that must be suspect: one alone may have crashed.
const SUSPECTS: usize = 2;
/// How long nothing may have come from any upstream of the zone, in milliseconds.
const SILENCE: u64 = 500;
/// When one request tries a zone that seems lost, in milliseconds since the last one: the first time, and at most. Each
/// balancer pays with requests of its own.
const FIRST_TRIAL: u64 = 500;
const LONGEST_TRIAL: u64 = 2_000;
/// How much later a request tries that can't be repeated, so that one that can goes first.
const UNREPEATABLE: u64 = 2;

/// What is known of zones, with times in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outages {
    heard: HashMap<String, u64>,
    trials: HashMap<String, Trial>,
    lost: BTreeSet<String>,
}

/// The trials of a zone since it was last heard from.
#[derive(Clone, Copy, Debug)]
struct Trial {
    at: u64,
    pause: u64,
}

impl Outages {
    /// Something has come from an upstream of a zone.
    pub fn heard(&mut self, now: u64, zone: &str) {
        match self.heard.get_mut(zone) {
            Some(at) => *at = now,
            None => drop(self.heard.insert(zone.to_owned(), now)),
        }
        self.lost.remove(zone);
        self.trials.remove(zone);
    }

    /// A request goes to a zone.
    pub fn sent(&mut self, now: u64, zone: &str) {
        if self.lost.contains(zone) {
            let pause = self
                .trials
                .get(zone)
                .map_or(FIRST_TRIAL, |trial| (trial.pause * 2).min(LONGEST_TRIAL));
            self.trials
                .insert(zone.to_owned(), Trial { at: now, pause });
        }
    }

    /// Takes over how many upstreams of each zone are suspect now: they have failed and not answered since, or say nothing
    /// while requests wait there.
    pub fn update<'a>(&mut self, now: u64, suspects: impl Iterator<Item = &'a str>) {
        let mut counts: HashMap<&str, usize> = HashMap::new();
        suspects.for_each(|zone| *counts.entry(zone).or_default() += 1);
        self.lost.clear();
        for (zone, count) in counts {
            let heard = self.heard.get(zone).copied().unwrap_or(0);
            if count >= SUSPECTS && now > heard + SILENCE {
                self.lost.insert(zone.to_owned());
            }
        }
    }

    /// Whether a zone seems to be lost.
    pub fn is_lost(&self, zone: &str) -> bool {
        self.lost.contains(zone)
    }

    /// Whether a request may go to a zone: always while it is not lost, one at a time else.
    pub fn allows(&self, now: u64, zone: &str, is_repeatable: bool) -> bool {
        if !self.lost.contains(zone) {
            return true;
        }
        let wait = if is_repeatable { 1 } else { UNREPEATABLE };
        self.trials
            .get(zone)
            .is_none_or(|trial| now >= trial.at + trial.pause * wait)
    }
}
