//! Settings of the slow start: growth of the rate and duration of leases.

use thiserror::Error;
use woadstall_decisions::api::Duration;

const MILLISECOND_NS: Duration = 1_000_000;
/// Maximum growth factor. A larger factor would overload a destination that is warming up.
const MAX_GROWTH_FACTOR: f64 = 2.5;

/// Settings of a slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of the window over which outcomes are counted, in nanoseconds. The rate changes once
    /// per window. Default: 500 ms.
    pub window: Duration,
    /// Growing rate of a sender, as a multiple of the rate of requests answered on time. Default:
    /// 2.
    pub growth_factor: f64,
    /// Maximum fraction of failed requests; the rate shrinks if more requests fail. Default: 0.3.
    pub max_failed_fraction: f64,
    /// Shrinking rate of a sender, as a multiple of the rate of requests answered on time. Default:
    /// 0.7.
    pub backoff_factor: f64,
    /// Rate at which all senders together probe a destination that has not answered any request on
    /// time, in requests per second. Default: 10.
    pub probe_rate: f64,
    /// How long the borrower may use a lease after the grant, in nanoseconds. Default: 2 s.
    pub lease_duration: Duration,
    /// Additional time after the lease duration in which the lender does not use the rate, in
    /// nanoseconds. It must cover the largest error of the stated age of a message. Default: 1 s.
    pub lease_margin: Duration,
    /// Minimum rate of a lease in requests per second. A smaller lease is not worth its space in a
    /// report. Default: 0.5.
    pub min_lease_rate: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: 500 * MILLISECOND_NS,
            growth_factor: 2.0,
            max_failed_fraction: 0.3,
            backoff_factor: 0.7,
            probe_rate: 10.0,
            lease_duration: 2_000 * MILLISECOND_NS,
            lease_margin: 1_000 * MILLISECOND_NS,
            min_lease_rate: 0.5,
        }
    }
}

/// Error for invalid settings.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// The window has length 0.
    #[error("`window` is 0, must be greater than 0")]
    ZeroWindow,
    /// A lease is shorter than a window, so it would expire before it is used.
    #[error("`lease_duration` is {lease_duration} ns, shorter than `window` of {window} ns")]
    LeaseShorterThanWindow {
        /// Duration of a lease in nanoseconds.
        lease_duration: Duration,
        /// Length of the window in nanoseconds.
        window: Duration,
    },
    /// The growth factor is out of range.
    #[error("`growth_factor` is {0}, must be between 1 and {MAX_GROWTH_FACTOR}")]
    GrowthFactor(f64),
    /// A fraction is not between 0 and 1.
    #[error("`{name}` is {value}, must be between 0 and 1")]
    Fraction {
        /// Name of the settings field.
        name: &'static str,
        /// Value of the field.
        value: f64,
    },
    /// The probe rate is not positive, so the destination would never be probed.
    #[error("`probe_rate` is {0}, must be finite and greater than 0")]
    ProbeRate(f64),
    /// The minimum lease rate is negative or not finite.
    #[error("`min_lease_rate` is {0}, must be finite and not negative")]
    MinLeaseRate(f64),
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] for the first field that is out of range.
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

    /// Returns the share of one of `senders` senders in the probe rate, in requests per second.
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
