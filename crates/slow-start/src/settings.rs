//! How fast a rate grows, and how long a lease is valid.

use thiserror::Error;
use woadstall_decisions::api::Duration;

const MILLISECOND: Duration = 1_000_000;
/// The largest growth factor: a larger one would overload a destination that is warming up.
const MAX_GROWTH_FACTOR: f64 = 2.5;

/// The settings of a slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The window over which outcomes are counted, in nanoseconds. A rate changes once a window.
    /// Default: 500 ms.
    pub window: Duration,
    /// The rate of a sender as a multiple of what was answered on time. Default: 2.
    pub growth_factor: f64,
    /// The fraction of requests that may fail; above it the rate shrinks. Default: 0.3.
    pub max_failed_fraction: f64,
    /// A shrinking rate as a multiple of what was answered on time. Default: 0.7.
    pub backoff_factor: f64,
    /// The rate in requests a second with which all senders together probe a destination that has
    /// proven nothing. Default: 10.
    pub probe_rate: f64,
    /// How long the borrower may use a lease, from when it was granted, in nanoseconds. Default: 2
    /// s.
    pub lease_duration: Duration,
    /// How much longer the lender does without, in nanoseconds: the largest error of the age of a
    /// message. Default: 1 s.
    pub lease_margin: Duration,
    /// The smallest lease in requests a second; less is not worth its bytes. Default: 0.5.
    pub min_lease_rate: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: 500 * MILLISECOND,
            growth_factor: 2.0,
            max_failed_fraction: 0.3,
            backoff_factor: 0.7,
            probe_rate: 10.0,
            lease_duration: 2_000 * MILLISECOND,
            lease_margin: 1_000 * MILLISECOND,
            min_lease_rate: 0.5,
        }
    }
}

/// Why settings can't work.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// The window is 0.
    #[error("`window` is 0")]
    ZeroWindow,
    /// A lease would expire before it was used.
    #[error("`lease_duration` is {lease_duration} ns, shorter than `window` of {window} ns")]
    LeaseShorterThanWindow {
        /// The duration of a lease in nanoseconds.
        lease_duration: Duration,
        /// The window in nanoseconds.
        window: Duration,
    },
    /// The growth factor is out of its range.
    #[error("`growth_factor` is {0}, not from 1 to {MAX_GROWTH_FACTOR}")]
    GrowthFactor(f64),
    /// A fraction is out of its range.
    #[error("`{name}` is {value}, not from 0 to 1")]
    Fraction {
        /// The field.
        name: &'static str,
        /// Its value.
        value: f64,
    },
    /// The probe rate is not positive: nothing would ever be proven.
    #[error("`probe_rate` is {0}, not over 0")]
    ProbeRate(f64),
    /// The smallest lease is negative.
    #[error("`min_lease_rate` is {0}, under 0")]
    MinLeaseRate(f64),
}

impl Settings {
    /// Checks that the settings can work.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] for the first field that is out of its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.window == 0 {
            return Err(SettingsError::ZeroWindow);
        }
        if self.lease_duration < self.window {
            let (lease_duration, window) = (self.lease_duration, self.window);
            return Err(SettingsError::LeaseShorterThanWindow {
                lease_duration,
                window,
            });
        }
        if !(1.0..=MAX_GROWTH_FACTOR).contains(&self.growth_factor) {
            return Err(SettingsError::GrowthFactor(self.growth_factor));
        }
        check_fraction("max_failed_fraction", self.max_failed_fraction)?;
        check_fraction("backoff_factor", self.backoff_factor)?;
        if !self.probe_rate.is_finite() || self.probe_rate <= 0.0 {
            return Err(SettingsError::ProbeRate(self.probe_rate));
        }
        if !self.min_lease_rate.is_finite() || self.min_lease_rate < 0.0 {
            return Err(SettingsError::MinLeaseRate(self.min_lease_rate));
        }
        Ok(())
    }

    /// The part of the probe rate of one of so many senders, in requests a second.
    pub(crate) fn probe_rate_per_sender(&self, senders: usize) -> f64 {
        self.probe_rate / senders.max(1) as f64
    }
}

fn check_fraction(name: &'static str, value: f64) -> Result<(), SettingsError> {
    if (0.0..=1.0).contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::Fraction { name, value })
    }
}
