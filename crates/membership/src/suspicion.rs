//! How long a suspicion lasts before the member is declared dead: the shorter, the more others have
//! found the same by themselves (Lifeguard's dynamic suspicion time-out, section IV-B).

use crate::metadata::Name;
use crate::settings::Settings;
use crate::time::{Timestamp, nanos};
use std::collections::BTreeSet;

/// A suspicion in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    started_at: Timestamp,
    /// Nanoseconds that it lasts with all confirmations.
    min: u64,
    /// Nanoseconds that it lasts with none.
    max: u64,
    /// Confirmations that bring it down to the minimum.
    confirmations_needed: usize,
    by: BTreeSet<Name>,
    /// When the final probe was sent, after nobody had refuted the suspicion in time.
    pub final_probe_at: Option<Timestamp>,
    /// When the suspected member was last notified.
    notified_at: Timestamp,
}

impl Suspicion {
    /// A suspicion that starts now, in a fleet of `fleet` members, raised by a member with this
    /// local health multiplier.
    pub fn new(
        now: Timestamp,
        settings: &Settings,
        fleet: usize,
        health_multiplier: u32,
        by: Option<Name>,
    ) -> Self {
        let size_factor = (fleet.max(1) as f64).log10().max(1.0);
        let min = nanos(settings.suspicion_timeout) as f64 * size_factor;
        // In a small fleet there may be nobody to confirm it.
        let confirmations_needed = match settings.plain_swim {
            true => 0,
            false => settings.confirmations.min(fleet.saturating_sub(3)),
        };
        let unconfirmed = match confirmations_needed {
            0 => 1.0,
            _ => settings.unconfirmed_multiplier,
        };
        let max = min * unconfirmed * f64::from(health_multiplier);
        Self {
            started_at: now,
            min: min as u64,
            max: max as u64,
            confirmations_needed,
            by: by.into_iter().collect(),
            final_probe_at: None,
            notified_at: now,
        }
    }

    /// Another member has found the same. Returns whether that is worth passing on.
    pub fn confirm(&mut self, by: Name) -> bool {
        // More confirmations would not shorten it.
        self.by.len() <= self.confirmations_needed && self.by.insert(by)
    }

    /// When the member is declared dead, unless it refutes the suspicion.
    pub fn expires_at(&self) -> Timestamp {
        if self.confirmations_needed == 0 {
            return self.started_at.saturating_add(self.min);
        }
        let confirmations = self.by.len().saturating_sub(1);
        let confirmations = confirmations.min(self.confirmations_needed);
        let needed = self.confirmations_needed as f64;
        let progress = (confirmations as f64 + 1.0).ln() / (needed + 1.0).ln();
        let (min, max) = (self.min as f64, self.max as f64);
        let lasts = max - (max - min) * progress;
        self.started_at.saturating_add(lasts.max(min) as u64)
    }

    /// The local process was paused for `pause` nanoseconds: nobody could refute it meanwhile.
    pub fn extend(&mut self, pause: u64) {
        self.started_at = self.started_at.saturating_add(pause);
        self.final_probe_at = None;
    }

    /// Expires `timeout` nanoseconds from now, if that is sooner: the member's host refuses
    /// connections.
    pub fn shorten(&mut self, now: Timestamp, timeout: u64) {
        if now.saturating_add(timeout) < self.expires_at() {
            (self.started_at, self.min, self.max) = (now, timeout, timeout);
        }
    }

    /// Whether the suspected member is to be notified again, `interval` nanoseconds after the last
    /// time; counts as notified then.
    pub fn take_notification(&mut self, now: Timestamp, interval: u64) -> bool {
        let is_due = now >= self.notified_at.saturating_add(interval);
        if is_due {
            self.notified_at = now;
        }
        is_due
    }

    /// When it started.
    pub fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// The members that suspect, by name.
    pub fn by(&self) -> impl Iterator<Item = &Name> {
        self.by.iter()
    }
}
