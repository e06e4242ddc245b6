//! Settings of a balancer.

use super::{Duration, ZoneId};

/// The effect of running a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: the request may be repeated, and may be rejected even after it has run.
    Safe,
    /// The request carries an idempotency key. The servers of the scope drop repeats for this time
    /// after the first attempt.
    Keyed(DedupScope, Duration),
    /// Not idempotent: the request must never run twice.
    Unsafe,
}

/// The set of servers that share their idempotency keys, and so drop repeats of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers in the zone of the first server that may have run the request.
    Zone,
    /// The servers in the cell of the first server that may have run the request.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency target, in nanoseconds. A response within the target has the full value.
    pub latency_target: Duration,
    /// Multiple of the request's work that is added to the latency target.
    pub latency_target_stretch: f64,
    /// Longest time that a client waits, over all attempts, in nanoseconds.
    pub deadline: Duration,
    /// Effect of running a request of the class more than once.
    pub effect: Effect,
    /// Part of the value that a response after the latency target still has, from 0 to 1.
    pub late_value: f64,
    /// Value of one request, or of a unit of its work if [`Settings::value_by_work`] is set.
    pub value: f64,
}

/// A class that had another position, under the same name, before the settings changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSuccession {
    /// Position of the new class.
    pub class: usize,
    /// Position of the earlier class. The new class starts with its latency estimate.
    pub predecessor: usize,
}

/// A tenant of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Quota in requests per second, over all balancers. Requests within it have their full value.
    pub quota_rps: f64,
}

/// The settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes; requests refer to them by position. At least one is required.
    pub classes: Vec<Class>,
    /// Tenants; requests refer to them by position. May be empty.
    pub tenants: Vec<Tenant>,
    /// Part of its value that a request beyond its tenant's quota keeps.
    pub over_quota_value: f64,
    /// Whether the value of a class applies per unit of work instead of per request.
    pub value_by_work: bool,
    /// Zone of this balancer.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: usize,
    /// Number of balancers that send to the same tier, including this one.
    pub balancers: u32,
    /// Tier that this balancer sends to; tier 0 serves the clients.
    pub tier: u32,
    /// Whether a call to a deeper tier carries the remaining time of its caller.
    pub propagates_deadline: bool,
    /// Whether discovery sends changes only to balancers that have subscribed.
    pub subscribes_to_discovery: bool,
    /// Time after a change of the server list at which a balancer counts as notified of the change
    /// even if it has not subscribed, in nanoseconds.
    pub subscribe_within: Duration,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Longest `Retry-After` that clients follow, in nanoseconds.
    pub max_retry_after: Duration,
    /// Maximum number of attempts for one request, including the first; at least 1.
    pub max_attempts: u32,
    /// Time after which idle connections are closed, in nanoseconds.
    pub idle_timeout: Duration,
    /// Part of its capacity with which a server begins its slow start, from 0 to 1.
    pub slow_start_capacity: f64,
    /// Multiple of its current capacity beyond which a server in slow start collapses under load.
    pub slow_start_overload: f64,
    /// Length of slow start, in nanoseconds.
    pub slow_start_window: Duration,
    /// Position of the in-flight figure in load reports; `None` if reports do not carry it.
    pub in_flight_report_field: Option<usize>,
    /// Whether load reports come only in response to probes, and probes are allowed.
    pub probes_for_load: bool,
    /// Cost of sending every request across zones, as a part of the value of all requests.
    pub cross_zone_cost: f64,
    /// Cost of one probe for every request, as a part of the value of all requests.
    pub probe_cost: f64,
}

/// Reason for which settings are rejected. The message names the field as in the settings file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The settings contain no request class.
    #[error("`classes` is empty")]
    NoClasses,
    /// A number of a class is negative or not finite, or a time of a class is 0.
    #[error("`classes[{class}].{field}` is {value}")]
    Class {
        /// Position of the class.
        class: usize,
        /// Name of the field.
        field: &'static str,
        /// Value that was rejected.
        value: f64,
    },
    /// The quota of a tenant is negative or not finite.
    #[error("`tenants[{tenant}].quota_rps` is {value}")]
    Quota {
        /// Position of the tenant.
        tenant: usize,
        /// Value that was rejected, in requests per second.
        value: f64,
    },
    /// The balancer's zone is not in the list.
    #[error("`zone` is {zone} of {zones} zones")]
    Zone {
        /// Position of the zone.
        zone: u8,
        /// Number of zones.
        zones: usize,
    },
    /// No attempt is allowed, not even the first.
    #[error("`max_attempts` is 0")]
    NoAttempts,
    /// The initial capacity of a server in slow start is not between 0 and 1.
    #[error("`start_capacity` is {0}, not between 0 and 1")]
    SlowStartCapacity(f64),
    /// A number is negative or not finite.
    #[error("`{field}` is {value}")]
    Figure {
        /// Name of the field.
        field: &'static str,
        /// Value that was rejected.
        value: f64,
    },
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the first invalid field.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        self.classes
            .iter()
            .enumerate()
            .try_for_each(|(position, class)| class.check(position))?;
        let is_invalid = |tenant: &Tenant| !is_finite_and_not_negative(tenant.quota_rps);
        if let Some(tenant) = self.tenants.iter().position(is_invalid) {
            let value = self.tenants[tenant].quota_rps;
            return Err(SettingsError::Quota { tenant, value });
        }
        if usize::from(self.zone.0) >= self.zones {
            return Err(SettingsError::Zone {
                zone: self.zone.0,
                zones: self.zones,
            });
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        if !(0.0..=1.0).contains(&self.slow_start_capacity) {
            return Err(SettingsError::SlowStartCapacity(self.slow_start_capacity));
        }
        self.check_figures()
    }

    fn check_figures(&self) -> Result<(), SettingsError> {
        let figures = [
            ("over_quota_worth", self.over_quota_value),
            ("probe_price", self.probe_cost),
            ("cross_price", self.cross_zone_cost),
            ("tip_multiple", self.slow_start_overload),
        ];
        match figures
            .into_iter()
            .find(|&(_, value)| !is_finite_and_not_negative(value))
        {
            Some((field, value)) => Err(SettingsError::Figure { field, value }),
            None => Ok(()),
        }
    }
}

impl Class {
    fn check(&self, class: usize) -> Result<(), SettingsError> {
        let figures = [
            ("aim_stretch", self.latency_target_stretch),
            ("late_worth", self.late_value),
            ("worth", self.value),
        ];
        if let Some((field, value)) = figures
            .into_iter()
            .find(|&(_, value)| !is_finite_and_not_negative(value))
        {
            return Err(SettingsError::Class {
                class,
                field,
                value,
            });
        }
        let times = [("aim", self.latency_target), ("deadline", self.deadline)];
        match times.into_iter().find(|&(_, time)| time == 0) {
            Some((field, _)) => Err(SettingsError::Class {
                class,
                field,
                value: 0.0,
            }),
            None => Ok(()),
        }
    }
}

fn is_finite_and_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
