//! Control of the rate at which one sender may send new requests to a recovering destination.

use crate::lease::{Lease, LeaseTable, ReceivedLease};
use crate::report::Report;
use crate::settings::{Settings, SettingsError};
use crate::throughput::{Outcome, Rates, ThroughputMeter};
use woadstall_decisions::api::{Duration, Time};

/// Fraction of its demand that a sender keeps in addition to the demand, because requests do not
/// arrive evenly.
const HEADROOM: f64 = 0.2;
/// Maximum number of leases that are granted at a time.
const MAX_GRANTS: usize = 4;
/// Maximum number of requests that may be sent at once after an idle period.
const MAX_BURST: f64 = 2.0;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Suitability of a request as a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestWeight {
    /// The request is idempotent and not longer than most requests.
    Light,
    /// The request must not run twice or is long, so it is not sent as a probe.
    Heavy,
}

/// Progress of a slow start, as seen by one sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The destination has not answered any request on time in the last windows. Only light
    /// requests are sent.
    Probing,
    /// The rate grows each window.
    Growing,
    /// The rate shrinks because too many requests fail.
    Shrinking,
    /// The rate covers the demand with headroom.
    Full,
}

/// Unmet demand of another sender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnmetDemand {
    /// Id of the sender.
    pub sender: u64,
    /// Unmet demand in requests per second.
    pub rate: f64,
}

/// A received report.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedReport<'a> {
    /// Id of the sender of the report.
    pub from: u64,
    /// Id of the receiver. Leases to the receiver name this id as the borrower.
    pub receiver: u64,
    /// The report as it was sent.
    pub report: &'a Report,
    /// Time since the report was sent, in nanoseconds.
    pub age: Duration,
}

/// Rate controller of one sender for one destination.
#[derive(Clone, Debug)]
pub struct RateController {
    settings: Settings,
    meter: ThroughputMeter,
    leases: LeaseTable,
    /// Rate that the observations of this sender justify, in requests per second.
    own_rate: f64,
    /// Share of this sender in the probe rate, in requests per second; the own rate never falls
    /// below it.
    min_rate: f64,
    /// Tokens in the token bucket; each request takes one.
    tokens: f64,
    refilled_at: Time,
}

impl RateController {
    /// Creates a controller for a destination that has not answered any request yet. `senders` is
    /// the known number of senders.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] if the settings are invalid.
    pub fn new(now: Time, senders: usize, settings: Settings) -> Result<Self, SettingsError> {
        settings.check()?;
        let min_rate = settings.probe_rate_per_sender(senders);
        Ok(Self {
            settings,
            meter: ThroughputMeter::new(now, settings.window),
            leases: LeaseTable::default(),
            own_rate: min_rate,
            min_rate,
            tokens: 0.0,
            refilled_at: now,
        })
    }

    /// Sets the known number of senders. If only half of the senders are known, the total probe
    /// rate is twice the configured rate, which a destination that is warming up can still serve.
    /// Rates above the probe rate do not depend on the number of senders.
    pub fn set_sender_count(&mut self, senders: usize) {
        self.min_rate = self.settings.probe_rate_per_sender(senders);
    }

    /// Advances the controller to `now`: adjusts the rate once per window and adds tokens.
    pub fn advance(&mut self, now: Time) {
        if self.meter.advance(now) {
            self.update_own_rate();
            self.leases.expire(now);
        }
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / NANOSECONDS_PER_SECOND;
        self.refilled_at = self.refilled_at.max(now);
        // The token limit keeps a long idle period from allowing a large burst.
        self.tokens = (self.tokens + self.allowed_rate(now) * elapsed).min(MAX_BURST);
    }

    fn update_own_rate(&mut self) {
        let rates = self.meter.rates();
        let factor = if self.fails_too_often(&rates) {
            self.settings.backoff_factor
        } else {
            self.settings.growth_factor
        };
        self.own_rate = (factor * rates.on_time).max(self.min_rate);
    }

    fn fails_too_often(&self, rates: &Rates) -> bool {
        rates.failed_fraction > self.settings.max_failed_fraction
    }

    /// Returns the rate at which this sender may send, in requests per second: its own rate, minus
    /// the rate that it has leased to others, plus the rate that it borrows.
    pub fn allowed_rate(&self, now: Time) -> f64 {
        self.unlent_rate(now) + self.leases.borrowed_rate(now)
    }

    fn unlent_rate(&self, now: Time) -> f64 {
        (self.own_rate - self.leases.granted_rate(now)).max(0.0)
    }

    /// Counts a request for the destination and returns whether it may be sent. An allowed request
    /// takes a token.
    pub fn try_send(&mut self, now: Time, weight: RequestWeight) -> bool {
        self.advance(now);
        self.meter.record_demand();
        let is_suitable = weight == RequestWeight::Light || self.phase(now) != Phase::Probing;
        if !is_suitable || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Counts the outcome of a request that was sent.
    pub fn record_outcome(&mut self, now: Time, outcome: Outcome) {
        self.advance(now);
        self.meter.record_outcome(outcome);
    }

    /// Returns the current phase of the slow start.
    pub fn phase(&self, now: Time) -> Phase {
        let rates = self.meter.rates();
        if rates.on_time <= 0.0 {
            Phase::Probing
        } else if self.fails_too_often(&rates) {
            Phase::Shrinking
        } else if self.allowed_rate(now) >= rates.demand * (1.0 + HEADROOM) {
            Phase::Full
        } else {
            Phase::Growing
        }
    }

    /// Returns the mean rates over the last complete windows.
    pub fn rates(&self) -> Rates {
        self.meter.rates()
    }

    /// Returns the demand that exceeds the allowed rate, in requests per second.
    pub fn unmet_demand(&self, now: Time) -> f64 {
        (self.meter.rates().demand - self.allowed_rate(now)).max(0.0)
    }

    /// Leases the spare rate of this sender to the senders with the greatest unmet demand, in
    /// proportion to their demand. Borrowed rate is not leased on, because it would be returned too
    /// late.
    pub fn grant_leases(&mut self, now: Time, unmet: &[UnmetDemand]) -> Vec<Lease> {
        self.advance(now);
        let spare = self.spare_rate(now);
        let min_lease_rate = self.settings.min_lease_rate;
        if spare < min_lease_rate || self.phase(now) == Phase::Shrinking {
            return Vec::new();
        }
        let borrowers = self.select_borrowers(unmet);
        let total_unmet: f64 = borrowers.iter().map(|borrower| borrower.rate).sum();
        let mut granted = Vec::new();
        for borrower in borrowers {
            let rate = (spare * borrower.rate / total_unmet).min(borrower.rate);
            if rate >= min_lease_rate {
                granted.push(
                    self.leases
                        .grant(now, borrower.sender, rate, &self.settings),
                );
            }
        }
        granted
    }

    /// Returns the part of its own rate that this sender does not need, in requests per second.
    fn spare_rate(&self, now: Time) -> f64 {
        let needed = self.meter.rates().demand * (1.0 + HEADROOM);
        let needed_own_rate = (needed - self.leases.borrowed_rate(now)).max(0.0);
        self.unlent_rate(now) - needed_own_rate
    }

    /// Returns the senders with the greatest unmet demand. Senders with equal demand are ordered by
    /// id.
    fn select_borrowers(&self, unmet: &[UnmetDemand]) -> Vec<UnmetDemand> {
        let is_lendable = |demand: &&UnmetDemand| {
            demand.rate.is_finite() && demand.rate >= self.settings.min_lease_rate
        };
        let mut borrowers: Vec<UnmetDemand> = unmet.iter().filter(is_lendable).copied().collect();
        borrowers.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(a.sender.cmp(&b.sender)));
        borrowers.truncate(MAX_GRANTS);
        borrowers
    }

    /// Accepts the leases to this sender in a report of another sender, and returns whether any of
    /// them was new.
    pub fn apply_report(&mut self, now: Time, received: &ReceivedReport<'_>) -> bool {
        self.advance(now);
        let ReceivedReport {
            from,
            receiver,
            report,
            age,
        } = *received;
        let mut has_accepted = false;
        for lease in &report.leases {
            if lease.borrower == receiver && from != receiver {
                let received = ReceivedLease {
                    lender: from,
                    lease,
                    age,
                };
                has_accepted |= self.leases.accept(now, &received, &self.settings);
            }
        }
        has_accepted
    }

    /// Returns the report for all other senders.
    pub fn report(&self, now: Time) -> Report {
        let leases = self.leases.active_grants(now);
        Report::new(&self.meter.rates(), self.unmet_demand(now), leases)
    }

    /// Returns an estimate for operators: the time in seconds until this sender may send at `rate`
    /// requests per second if no requests fail. The time is infinite if the growth factor does not
    /// let the rate grow.
    pub fn seconds_until_rate(&self, now: Time, rate: f64) -> f64 {
        let allowed = self
            .allowed_rate(now)
            .max(self.min_rate)
            .max(f64::MIN_POSITIVE);
        if rate <= allowed {
            return 0.0;
        }
        if self.settings.growth_factor <= 1.0 {
            return f64::INFINITY;
        }
        let windows = ((rate / allowed).ln() / self.settings.growth_factor.ln()).ceil();
        windows * self.settings.window as f64 / NANOSECONDS_PER_SECOND
    }
}
