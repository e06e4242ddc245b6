//! How long a suspicion stands before it is a death: the shorter, the more others have found the same by themselves.

use crate::card::Name;
use crate::settings::Settings;
use std::collections::BTreeSet;

/// Lifeguard's dynamic suspicion.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    began: u64,
    least: u64,
    most: u64,
    needed: usize,
    by: BTreeSet<Name>,
    /// When the suspected member was asked for the last time, as nobody had contradicted until the end.
    pub asked_at: Option<u64>,
    /// When it was last told that it is suspected.
    told_at: u64,
}

impl Suspicion {
    /// One that begins now, in a fleet of so many, by a member that does so well itself (1 is best).
    pub fn new(now: u64, settings: &Settings, fleet: usize, times: u32, by: Option<Name>) -> Self {
        let size = (fleet.max(1) as f64).log10().max(1.0);
        let least = settings.suspicion.as_nanos() as f64 * size;
        // In a small fleet there may be nobody to confirm it.
        let needed = if settings.plain {
            0
        } else {
            settings.confirmations.min(fleet.saturating_sub(3))
        };
        let unconfirmed = if needed == 0 {
            1.0
        } else {
            settings.unconfirmed
        };
        let most = least * unconfirmed * f64::from(times);
        Self {
            began: now,
            least: least as u64,
            most: most as u64,
            needed,
            by: by.into_iter().collect(),
            asked_at: None,
            told_at: now,
        }
    }

    /// Somebody else has found the same. Whether that was news.
    pub fn confirm(&mut self, by: Name) -> bool {
        // More would not shorten it, and are not worth telling.
        self.by.len() <= self.needed && self.by.insert(by)
    }

    /// When it ends as a death.
    pub fn until(&self) -> u64 {
        let others = self.by.len().saturating_sub(1).min(self.needed);
        if self.needed == 0 {
            return self.began.saturating_add(self.least);
        }
        let part = (others as f64 + 1.0).ln() / (self.needed as f64 + 1.0).ln();
        let takes = self.most as f64 - (self.most as f64 - self.least as f64) * part;
        self.began
            .saturating_add(takes.max(self.least as f64) as u64)
    }

    /// This member stood still for so long: nobody could contradict it meanwhile.
    pub fn hold(&mut self, for_so_long: u64) {
        self.began = self.began.saturating_add(for_so_long);
        self.asked_at = None;
    }

    /// It ends so long from now, if that is sooner: the other's host says that no such process is there.
    pub fn hasten(&mut self, now: u64, refused: u64) {
        if now.saturating_add(refused) < self.until() {
            (self.began, self.least, self.most) = (now, refused, refused);
        }
    }

    /// Whether so long has passed since the suspected member was last told; it is told then.
    pub fn is_to_be_told(&mut self, now: u64, every: u64) -> bool {
        let due = now >= self.told_at.saturating_add(every);
        self.told_at = if due { now } else { self.told_at };
        due
    }

    /// Since when it stands.
    pub fn began(&self) -> u64 {
        self.began
    }

    /// Who suspects it.
    pub fn by(&self) -> impl Iterator<Item = &Name> {
        self.by.iter()
    }
}
