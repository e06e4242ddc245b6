//! JSON form of the settings. The platform defines the names of the keys.

use crate::ParseError;
use crate::error::from_json;
use serde::Deserialize;
use woadstall_decisions::api::{Class, DedupScope, Duration, Effect, Settings, Tenant, ZoneId};

/// Field of load reports with the number of requests in flight.
const IN_FLIGHT_FIELD: &str = "inflight";
/// Value of `Telemetry.Via` for load reports that upstreams send only in response to probes.
const VIA_PROBE: &str = "probe";
/// Default fraction of its value that a request beyond the quota of its tenant keeps.
const DEFAULT_OVER_QUOTA_VALUE_RATIO: f64 = 1.0;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawSettings {
    classes: Vec<RawClass>,
    discovery: RawDiscovery,
    family_info: Option<RawFamily>,
    #[serde(rename = "Layer")]
    tier: u32,
    limits: RawLimits,
    /// Fraction of its value that a request beyond the quota of its tenant keeps.
    #[serde(rename = "OverShareWorth")]
    over_quota_value_ratio: Option<f64>,
    prices: Option<RawPrices>,
    safety: RawSafety,
    siblings: u32,
    telemetry: Option<RawTelemetry>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(rename = "ValueBy")]
    value_unit: RawValueUnit,
    zone: u8,
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawClass {
    #[serde(rename = "AimNs")]
    latency_target_ns: Duration,
    /// Multiple of the work of a request that is added to its latency target.
    #[serde(rename = "AimStretch")]
    latency_target_stretch: Option<f64>,
    deadline_ns: Duration,
    effect: RawEffect,
    group: Option<RawGroup>,
    /// Fraction of its value that a response after the latency target keeps.
    #[serde(rename = "LateWorth")]
    value_ratio_after_target: Option<f64>,
    window_ns: Option<Duration>,
    value: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawEffect {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawGroup {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawDiscovery {
    Push,
    #[serde(rename = "ask")]
    Poll,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawValueUnit {
    Request,
    Work,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawFamily {
    passes_deadline: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawLimits {
    cancelling: bool,
    #[serde(rename = "ConnIdleNs")]
    idle_timeout_ns: Option<Duration>,
    max_retry_after_ns: Option<Duration>,
    #[serde(default)]
    may_probe: bool,
    #[serde(rename = "TryLimit")]
    max_attempts: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawSafety {
    #[serde(rename = "AskWithinNs")]
    poll_within_ns: Option<Duration>,
    /// Fraction of its capacity that an upstream has at the start of its warm-up.
    start_capacity: f64,
    /// Load, as a multiple of its current capacity, at which an upstream that is warming up fails.
    #[serde(rename = "TipMultiple")]
    overload_multiple: f64,
    #[serde(rename = "RampTimeNs")]
    slow_start_ns: Duration,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawTelemetry {
    #[serde(default)]
    fields: Vec<String>,
    via: Option<String>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawPrices {
    #[serde(default)]
    cross_zone: f64,
    #[serde(default)]
    probe: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawTenant {
    quota_rps: f64,
}

/// Reads the settings of the decision module from their JSON text.
///
/// # Errors
///
/// Returns an error if the text is not JSON, or if a key is missing or has a value of the wrong type.
/// [`Settings::check`] validates the values.
pub fn parse_settings(text: &[u8]) -> Result<Settings, ParseError> {
    let raw: RawSettings = from_json(text)?;
    raw.into_settings()
}

impl RawSettings {
    fn into_settings(self) -> Result<Settings, ParseError> {
        let classes = self
            .classes
            .into_iter()
            .map(RawClass::into_class)
            .collect::<Result<_, _>>()?;
        let subscribes_to_discovery = matches!(self.discovery, RawDiscovery::Poll);
        if subscribes_to_discovery && self.safety.poll_within_ns.is_none() {
            return Err(ParseError::MissingKey { key: "AskWithinNs" });
        }
        let prices = self.prices.unwrap_or_default();
        let telemetry = self.telemetry.unwrap_or_default();
        let tenants = self.tenants.iter().map(|raw| Tenant {
            quota_rps: raw.quota_rps,
        });
        let is_in_flight = |field: &String| field == IN_FLIGHT_FIELD;
        Ok(Settings {
            classes,
            tenants: tenants.collect(),
            over_quota_value: self
                .over_quota_value_ratio
                .unwrap_or(DEFAULT_OVER_QUOTA_VALUE_RATIO),
            value_by_work: matches!(self.value_unit, RawValueUnit::Work),
            zone: ZoneId(self.zone),
            zones: self.zones.len(),
            balancers: self.siblings,
            tier: self.tier,
            propagates_deadline: self
                .family_info
                .and_then(|family| family.passes_deadline)
                .unwrap_or(true),
            subscribes_to_discovery,
            subscribe_within: self.safety.poll_within_ns.unwrap_or(0),
            may_cancel: self.limits.cancelling,
            max_retry_after: self.limits.max_retry_after_ns.unwrap_or(0),
            max_attempts: self.limits.max_attempts,
            idle_timeout: self.limits.idle_timeout_ns.unwrap_or(Duration::MAX),
            slow_start_capacity: self.safety.start_capacity,
            slow_start_overload: self.safety.overload_multiple,
            slow_start_window: self.safety.slow_start_ns,
            in_flight_report_field: telemetry.fields.iter().position(is_in_flight),
            cross_zone_cost: prices.cross_zone,
            probe_cost: prices.probe,
            probes_for_load: self.limits.may_probe && telemetry.via.as_deref() == Some(VIA_PROBE),
        })
    }
}

impl RawClass {
    fn into_class(self) -> Result<Class, ParseError> {
        Ok(Class {
            latency_target: self.latency_target_ns,
            latency_target_stretch: self.latency_target_stretch.unwrap_or(0.0),
            deadline: self.deadline_ns,
            effect: self.effect()?,
            late_value: self.value_ratio_after_target.unwrap_or(0.0),
            value: self.value,
        })
    }

    /// Returns the effect of the class, which determines whether its requests may be repeated.
    fn effect(&self) -> Result<Effect, ParseError> {
        match self.effect {
            RawEffect::ReadLike => Ok(Effect::Safe),
            RawEffect::NonIdempotent => Ok(Effect::Unsafe),
            RawEffect::IdempotencyKey => {
                let group = self
                    .group
                    .as_ref()
                    .ok_or(ParseError::MissingKey { key: "Group" })?;
                let window = self
                    .window_ns
                    .ok_or(ParseError::MissingKey { key: "WindowNs" })?;
                Ok(Effect::Keyed(group.into(), window))
            }
        }
    }
}

impl From<&RawGroup> for DedupScope {
    fn from(raw: &RawGroup) -> Self {
        match raw {
            RawGroup::All => Self::All,
            RawGroup::Zone => Self::Zone,
            RawGroup::Cell => Self::Cell,
        }
    }
}
