//! The rate at which one sender may send new requests to a recovering destination.

use crate::lease::{Lease, LeaseTable, ReceivedLease};
use crate::report::Report;
use crate::settings::{Settings, SettingsError};
use crate::throughput::{Outcome, Rates, ThroughputMeter};
use woadstall_decisions::api::{Duration, Time};

/// The part of its demand that a sender keeps beyond it, as requests don't come evenly.
const HEADROOM: f64 = 0.2;
/// Leases that are granted at a time.
const MAX_GRANTS: usize = 4;
/// Requests that may be sent at once after a quiet time.
const MAX_BURST: f64 = 2.0;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Whether a request is suited as a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestWeight {
    /// It is idempotent and not longer than most.
    Light,
    /// It must not run twice, or is long. It is not sent as a probe.
    Heavy,
}

/// How far the slow start of a destination has come for a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The destination has proven nothing: only light requests are sent.
    Probing,
    /// The rate grows.
    Growing,
    /// The rate shrinks, as too many requests fail.
    Shrinking,
    /// The rate covers the demand.
    Full,
}

/// The unmet demand of another sender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnmetDemand {
    /// The sender.
    pub sender: u64,
    /// The unmet demand in requests a second.
    pub rate: f64,
}

/// A report that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedReport<'a> {
    /// The sender that has sent it.
    pub from: u64,
    /// How leases name the receiver.
    pub receiver: u64,
    /// The report.
    pub report: &'a Report,
    /// How long ago it was sent, in nanoseconds.
    pub age: Duration,
}

/// The rate of one sender to one destination.
#[derive(Clone, Debug)]
pub struct RateController {
    settings: Settings,
    meter: ThroughputMeter,
    leases: LeaseTable,
    /// The rate that this sender's own observations justify, in requests a second.
    own_rate: f64,
    /// This sender's part of the probe rate, in requests a second.
    min_rate: f64,
    /// The token bucket, in requests.
    tokens: f64,
    refilled_at: Time,
}

impl RateController {
    /// A controller for a destination that has proven nothing. `senders` is the number of senders,
    /// as far as it is known.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings can't work.
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

    /// Sets the number of senders. If it is too small by half, the probe rate is twice what the
    /// settings say, which a destination that is warming up can serve; proven rates don't depend on
    /// it.
    pub fn set_sender_count(&mut self, senders: usize) {
        self.min_rate = self.settings.probe_rate_per_sender(senders);
    }

    /// Advances the time: once a window the rate changes, and tokens are added.
    pub fn advance(&mut self, now: Time) {
        if self.meter.advance(now) {
            self.update_own_rate();
            self.leases.expire(now);
        }
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / NANOSECONDS_PER_SECOND;
        self.refilled_at = self.refilled_at.max(now);
        // A long quiet time does not add up.
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

    /// The rate in requests a second that this sender may send: its own, less what it has lent, and
    /// what it borrows.
    pub fn allowed_rate(&self, now: Time) -> f64 {
        self.unlent_rate(now) + self.leases.borrowed_rate(now)
    }

    fn unlent_rate(&self, now: Time) -> f64 {
        (self.own_rate - self.leases.granted_rate(now)).max(0.0)
    }

    /// Counts a request for the destination; returns whether it may be sent. If so, it counts as
    /// sent.
    pub fn try_send(&mut self, now: Time, weight: RequestWeight) -> bool {
        self.advance(now);
        self.meter.record_demand();
        let is_suited = weight == RequestWeight::Light || self.phase(now) != Phase::Probing;
        if !is_suited || self.tokens < 1.0 {
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

    /// How far the slow start has come.
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

    /// The rates over the last complete windows.
    pub fn rates(&self) -> Rates {
        self.meter.rates()
    }

    /// The demand in requests a second beyond what this sender may send.
    pub fn unmet_demand(&self, now: Time) -> f64 {
        (self.meter.rates().demand - self.allowed_rate(now)).max(0.0)
    }

    /// Lends the rate that this sender does not need to those with the greatest unmet demand, in
    /// proportion to it. What it borrows itself is not passed on: it would return too late.
    pub fn grant_leases(&mut self, now: Time, unmet: &[UnmetDemand]) -> Vec<Lease> {
        self.advance(now);
        let spare = self.spare_rate(now);
        let min_rate = self.settings.min_lease_rate;
        if spare < min_rate || self.phase(now) == Phase::Shrinking {
            return Vec::new();
        }
        let borrowers = self.select_borrowers(unmet);
        let total: f64 = borrowers.iter().map(|borrower| borrower.rate).sum();
        let mut granted = Vec::new();
        for borrower in borrowers {
            let rate = (spare * borrower.rate / total).min(borrower.rate);
            if rate >= min_rate {
                granted.push(
                    self.leases
                        .grant(now, borrower.sender, rate, &self.settings),
                );
            }
        }
        granted
    }

    /// The rate of its own that this sender does not need, in requests a second.
    fn spare_rate(&self, now: Time) -> f64 {
        let needed = self.meter.rates().demand * (1.0 + HEADROOM);
        let needed_beyond_borrowed = (needed - self.leases.borrowed_rate(now)).max(0.0);
        self.unlent_rate(now) - needed_beyond_borrowed
    }

    /// The senders with the greatest unmet demand; those with equal demand by their identity.
    fn select_borrowers(&self, unmet: &[UnmetDemand]) -> Vec<UnmetDemand> {
        let is_lendable = |demand: &&UnmetDemand| {
            demand.rate.is_finite() && demand.rate >= self.settings.min_lease_rate
        };
        let mut borrowers: Vec<UnmetDemand> = unmet.iter().filter(is_lendable).copied().collect();
        borrowers.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(a.sender.cmp(&b.sender)));
        borrowers.truncate(MAX_GRANTS);
        borrowers
    }

    /// Accepts the leases of another sender's report; returns whether there was a new one for this
    /// sender.
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

    /// The report to all others.
    pub fn report(&self, now: Time) -> Report {
        let leases = self.leases.active_grants(now);
        Report::new(&self.meter.rates(), self.unmet_demand(now), leases)
    }

    /// An estimate for operators: the seconds until this sender may send at a rate in requests a
    /// second, if no requests fail.
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
