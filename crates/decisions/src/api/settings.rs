//! What a balancer is configured with.

use super::{Duration, ZoneId};

/// What repeating a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: safe to repeat, and to reject at any time.
    Safe,
    /// Carries an idempotency key: repeats are dropped by the servers of one scope for this long
    /// after the first attempt.
    Keyed(DedupScope, Duration),
    /// Not idempotent: must never run twice.
    Unsafe,
}

/// The servers that share the idempotency keys they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// Those in the zone of the first server that may have run the request.
    Zone,
    /// Those in the cell of the first server that may have run the request.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency target: a response within this time earns the full value.
    pub latency_target: Duration,
    /// The target grows by this multiple of the request's own work.
    pub latency_target_stretch: f64,
    /// The longest that a client waits, over all attempts.
    pub deadline: Duration,
    /// What repeating does.
    pub effect: Effect,
    /// Part of the value that a response after the target still earns, from 0 to 1.
    pub late_value: f64,
    /// Value of one request, or of a unit of its work if [`Settings::value_by_work`].
    pub value: f64,
}

/// A class that is new in changed settings and had another position under its name before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSuccession {
    /// Position of the new class.
    pub class: usize,
    /// Position of the class before it, whose latency holds for it until it has its own.
    pub predecessor: usize,
}

/// A tenant of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all balancers, that count in full.
    pub quota_rps: f64,
}

/// The settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes; requests name them by position.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Part of its value that a request beyond its tenant's quota keeps.
    pub over_quota_value: f64,
    /// Value is measured per unit of work, not per request.
    pub value_by_work: bool,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: usize,
    /// Number of balancers that send to the same tier, this one included.
    pub balancers: u32,
    /// The tier that this balancer sends to; 0 serves the clients.
    pub tier: u32,
    /// A call to a deeper tier carries the time that its caller has left.
    pub propagates_deadline: bool,
    /// Discovery sends changes only to those that have subscribed.
    pub subscribes_to_discovery: bool,
    /// Without a subscription, a balancer counts as notified of what was listed this long ago.
    pub subscribe_within: Duration,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// The longest `Retry-After` that clients follow.
    pub max_retry_after: Duration,
    /// Most attempts for one request, the first included.
    pub max_attempts: u32,
    /// Idle connections are closed after this time.
    pub idle_timeout: Duration,
    /// A server in slow start begins with this part of its capacity, from 0 to 1.
    pub slow_start_capacity: f64,
    /// A server in slow start that is sent more than this multiple of what it can do falls over.
    pub slow_start_overload: f64,
    /// Slow start is over after this time.
    pub slow_start_window: Duration,
    /// Position of the in-flight figure in load reports, if they carry it.
    pub in_flight_report_field: Option<usize>,
    /// Load reports come with probes alone, and probes are allowed.
    pub probes_for_load: bool,
    /// Cost of crossing zones with every request, as a part of all requests' value.
    pub cross_zone_cost: f64,
    /// Cost of one probe for every request, as a part of all requests' value.
    pub probe_cost: f64,
}

/// Why settings are rejected. The text names the field as the settings file does.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class of requests.
    #[error("`classes` is empty")]
    NoClasses,
    /// A figure of a class is negative, not finite, or 0 where it must not be.
    #[error("`classes[{class}].{field}` is {value}")]
    Class {
        /// Position of the class.
        class: usize,
        /// Name of the field.
        field: &'static str,
        /// What it is.
        value: f64,
    },
    /// The quota of a tenant is negative or not finite.
    #[error("`tenants[{tenant}].quota_rps` is {value}")]
    Quota {
        /// Position of the tenant.
        tenant: usize,
        /// What it is, in requests per second.
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
    /// Not even a first attempt is allowed.
    #[error("`max_attempts` is 0")]
    NoAttempts,
    /// The capacity at the beginning of slow start is no part of a whole.
    #[error("`start_capacity` is {0}, not between 0 and 1")]
    SlowStartCapacity(f64),
    /// A figure is negative or not finite.
    #[error("`{field}` is {value}")]
    Figure {
        /// Name of the field.
        field: &'static str,
        /// What it is.
        value: f64,
    },
}

impl Settings {
    /// Rejects settings that make no sense.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first field that is at fault.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        self.classes
            .iter()
            .enumerate()
            .try_for_each(|(at, class)| class.check(at))?;
        let unsound = |tenant: &Tenant| !is_sound(tenant.quota_rps);
        if let Some(tenant) = self.tenants.iter().position(unsound) {
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
        match figures.into_iter().find(|&(_, value)| !is_sound(value)) {
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
        if let Some((field, value)) = figures.into_iter().find(|&(_, value)| !is_sound(value)) {
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

fn is_sound(figure: f64) -> bool {
    figure.is_finite() && figure >= 0.0
}
