//! What one sender leaves to another for a while. Who gives does without from then on, until nobody can be using it any
//! more: so what is lent never counts twice.

use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use woadstall_decisions::api::Time;

/// Givers whose leases are known at once; the smallest go.
const MOST: usize = 64;

/// A lease, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// To whom: a hash of its name and life, so that a later process of a name does not use what was lent to a former one.
    pub to: u64,
    /// Raised with each lease of its giver: of two to one the later holds, and one that comes twice is one.
    pub number: u32,
    /// Calls a second.
    pub rate: f32,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    number: u32,
    rate: f64,
    until: Time,
}

/// What a sender has given, and what it was given.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    given: Vec<(Lease, Time, Time)>,
    taken: BTreeMap<u64, Held>,
    next: u32,
}

impl Leases {
    /// Gives, from now on. What is told of it has to say how old it is.
    pub fn give(&mut self, now: Time, to: u64, rate: f64, settings: &Settings) -> Lease {
        self.next = self.next.saturating_add(1);
        // What the receiver reads must not be more than what is given up.
        let lease = Lease {
            to,
            number: self.next,
            rate: (rate as f32).next_down().max(0.0),
        };
        let until = now.saturating_add(settings.lease);
        self.given
            .push((lease, until, until.saturating_add(settings.margin)));
        lease
    }

    /// Takes what another has given so long ago. One that is over is not taken, nor one that was had.
    pub fn take(
        &mut self,
        now: Time,
        from: u64,
        lease: &Lease,
        age: Time,
        settings: &Settings,
    ) -> bool {
        let until = now.saturating_sub(age).saturating_add(settings.lease);
        let rate = f64::from(lease.rate);
        let known = self
            .taken
            .get(&from)
            .is_some_and(|held| held.number >= lease.number);
        if known || now >= until || !rate.is_finite() || rate <= 0.0 {
            return false;
        }
        self.forget(now);
        if self.taken.len() >= MOST && !self.taken.contains_key(&from) {
            let least = self
                .taken
                .iter()
                .min_by(|a, b| a.1.rate.total_cmp(&b.1.rate));
            let Some((&least, _)) = least.filter(|(_, held)| held.rate < rate) else {
                return false;
            };
            self.taken.remove(&least);
        }
        self.taken.insert(
            from,
            Held {
                number: lease.number,
                rate,
                until,
            },
        );
        true
    }

    /// Forgets what is over.
    pub fn forget(&mut self, now: Time) {
        self.given.retain(|(_, _, back)| now < *back);
        // The numbers of what was had have to outlast what may still come twice.
        self.taken
            .retain(|_, held| now < held.until.saturating_add(60_000_000_000));
    }

    /// What this sender does without, in calls a second.
    pub fn given(&self, now: Time) -> f64 {
        self.given
            .iter()
            .filter(|(_, _, back)| now < *back)
            .map(|(lease, ..)| f64::from(lease.rate))
            .sum()
    }

    /// What it was given.
    pub fn taken(&self, now: Time) -> f64 {
        self.taken
            .values()
            .filter(|held| now < held.until)
            .map(|held| held.rate)
            .sum()
    }

    /// Those that are to be told: all that still hold at their receivers, the last to each.
    pub fn told(&self, now: Time) -> Vec<Lease> {
        let mut last: BTreeMap<u64, Lease> = BTreeMap::new();
        for (lease, ..) in self.given.iter().filter(|(_, until, _)| now < *until) {
            last.insert(lease.to, *lease);
        }
        last.into_values().collect()
    }
}
