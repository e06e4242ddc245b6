//! Duration of a suspicion before the suspected member is declared dead. The duration shrinks with
//! each independent confirmation by another member (Lifeguard's dynamic suspicion time-out, section
//! IV-B).

use crate::metadata::Name;
use crate::settings::Settings;
use crate::time::{Timestamp, nanos};
use std::collections::BTreeSet;

/// A suspicion that has been neither refuted nor resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    started_at: Timestamp,
    /// Duration in nanoseconds with all needed confirmations.
    min_ns: u64,
    /// Duration in nanoseconds without any confirmation.
    max_ns: u64,
    /// Number of confirmations that reduce the duration to the minimum.
    confirmations_needed: usize,
    /// Names of the members that share the suspicion.
    suspected_by: BTreeSet<Name>,
    /// Time at which the final probe was sent, after the suspicion had expired without a
    /// refutation.
    pub final_probe_at: Option<Timestamp>,
    /// Time at which the suspected member was last notified.
    notified_at: Timestamp,
}

impl Suspicion {
    /// Creates a suspicion that starts at `now` in a fleet of `fleet_size` members, raised while
    /// the local health multiplier is `health_multiplier`.
    pub fn new(
        now: Timestamp,
        settings: &Settings,
        fleet_size: usize,
        health_multiplier: u32,
        by: Option<Name>,
    ) -> Self {
        let size_factor = (fleet_size.max(1) as f64).log10().max(1.0);
        let min = nanos(settings.suspicion_timeout) as f64 * size_factor;
        // A small fleet may have no members left to confirm the suspicion.
        let confirmations_needed = match settings.plain_swim {
            true => 0,
            false => settings.confirmations.min(fleet_size.saturating_sub(3)),
        };
        let unconfirmed = match confirmations_needed {
            0 => 1.0,
            _ => settings.unconfirmed_multiplier,
        };
        let max = min * unconfirmed * f64::from(health_multiplier);
        Self {
            started_at: now,
            min_ns: min as u64,
            max_ns: max as u64,
            confirmations_needed,
            suspected_by: by.into_iter().collect(),
            final_probe_at: None,
            notified_at: now,
        }
    }

    /// Adds a confirmation by another member. Returns whether the confirmation is worth gossiping.
    pub fn confirm(&mut self, by: Name) -> bool {
        // Further confirmations would not shorten the suspicion.
        self.suspected_by.len() <= self.confirmations_needed && self.suspected_by.insert(by)
    }

    /// Time at which the suspicion expires unless the member refutes it.
    pub fn expires_at(&self) -> Timestamp {
        if self.confirmations_needed == 0 {
            return self.started_at.saturating_add(self.min_ns);
        }
        let confirmations = self.suspected_by.len().saturating_sub(1);
        let confirmations = confirmations.min(self.confirmations_needed);
        let needed = self.confirmations_needed as f64;
        let progress = (confirmations as f64 + 1.0).ln() / (needed + 1.0).ln();
        let (min, max) = (self.min_ns as f64, self.max_ns as f64);
        let duration = max - (max - min) * progress;
        self.started_at.saturating_add(duration.max(min) as u64)
    }

    /// Extends the suspicion by a pause of the local process of `pause_ns` nanoseconds, in which
    /// the local member could not receive a refutation.
    pub fn extend(&mut self, pause_ns: u64) {
        self.started_at = self.started_at.saturating_add(pause_ns);
        self.final_probe_at = None;
    }

    /// Lets the suspicion expire `timeout_ns` nanoseconds from now if that is sooner, because the
    /// host of the suspected member refused a connection.
    pub fn shorten(&mut self, now: Timestamp, timeout_ns: u64) {
        if now.saturating_add(timeout_ns) < self.expires_at() {
            (self.started_at, self.min_ns, self.max_ns) = (now, timeout_ns, timeout_ns);
        }
    }

    /// Whether the suspected member is due for another notification, `interval_ns` nanoseconds
    /// after the last one. A due notification is recorded as sent at `now`.
    pub fn take_notification(&mut self, now: Timestamp, interval_ns: u64) -> bool {
        let is_due = now >= self.notified_at.saturating_add(interval_ns);
        if is_due {
            self.notified_at = now;
        }
        is_due
    }

    /// Start of the suspicion.
    pub fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Names of the members that share the suspicion, in alphabetical order.
    pub fn suspected_by(&self) -> impl Iterator<Item = &Name> {
        self.suspected_by.iter()
    }
}
