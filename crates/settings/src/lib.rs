//! The settings of a deployment in their JSON form, as the platform writes them and as a plug-in's owner does.
//! Times are in nanoseconds, rates in requests a second. Nothing is decided here.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod terms;

pub use terms::{Change, MOST_CLASSES, Terms};

use serde::Deserialize;
use std::fmt;
use std::time::Duration as StdDuration;
use woadstall_decisions::api::{Class, Duration, Effect, Group, Settings, Tenant, ZoneId};

/// What is wrong with settings; the text names the key that is at fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// What the settings name and the decision module knows by position alone, and the figures of the sockets.
#[derive(Clone, Debug)]
pub struct Names {
    /// The classes of requests.
    pub classes: Vec<String>,
    /// The tenants; may be empty.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The fields of load reports, in the order of their figures.
    pub report_fields: Vec<String>,
    /// How long a connection may take to come up.
    pub connect_timeout: StdDuration,
}

impl Names {
    /// The zone of this name; `None` if there is none.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        let at = self.zones.iter().position(|zone| zone == name)?;
        u8::try_from(at).ok().map(ZoneId)
    }

    /// The class of this name, as a position.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// The tenant of this name, as a position. Where no tenants are told apart, any name will do.
    pub fn tenant(&self, name: Option<&str>) -> Option<usize> {
        match self.tenants.is_empty() {
            true => Some(0),
            false => self
                .tenants
                .iter()
                .position(|tenant| Some(tenant.as_str()) == name),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawNames {
    classes: Vec<Named>,
    #[serde(default)]
    tenants: Vec<Named>,
    zones: Vec<String>,
    limits: NameLimits,
    telemetry: Option<NameTelemetry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Named {
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NameLimits {
    connect_timeout_ns: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NameTelemetry {
    #[serde(default)]
    fields: Vec<String>,
}

/// Reads the names in settings.
pub fn names(text: &[u8]) -> Result<Names, Error> {
    let raw: RawNames = json(text)?;
    Ok(Names {
        classes: raw.classes.into_iter().map(|class| class.name).collect(),
        tenants: raw.tenants.into_iter().map(|tenant| tenant.name).collect(),
        zones: raw.zones,
        report_fields: raw
            .telemetry
            .map_or(Vec::new(), |telemetry| telemetry.fields),
        connect_timeout: StdDuration::from_nanos(raw.limits.connect_timeout_ns),
    })
}

fn json<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, Error> {
    let error = |error: &dyn fmt::Display| Error(format!("settings: {error}"));
    let mut text = serde_json::Deserializer::from_slice(text);
    let raw = serde_path_to_error::deserialize(&mut text).map_err(|e| error(&e))?;
    text.end().map_err(|e| error(&e))?;
    Ok(raw)
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawSettings {
    classes: Vec<RawClass>,
    discovery: RawDiscovery,
    family_info: Option<RawFamily>,
    layer: u32,
    limits: RawLimits,
    over_share_worth: Option<f64>,
    prices: Option<RawPrices>,
    safety: RawSafety,
    siblings: u32,
    telemetry: Option<RawTelemetry>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    value_by: RawValueBy,
    zone: u8,
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawClass {
    aim_ns: Duration,
    aim_stretch: Option<f64>,
    deadline_ns: Duration,
    effect: RawEffect,
    group: Option<RawGroup>,
    late_worth: Option<f64>,
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
    Ask,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawValueBy {
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
    conn_idle_ns: Option<Duration>,
    max_retry_after_ns: Option<Duration>,
    #[serde(default)]
    may_probe: bool,
    try_limit: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawSafety {
    ask_within_ns: Option<Duration>,
    start_capacity: f64,
    tip_multiple: f64,
    ramp_time_ns: Duration,
}

#[derive(Deserialize)]
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

/// Reads the settings that an instance starts with. The error names the key that is at fault.
pub fn settings(text: &[u8]) -> Result<Settings, Error> {
    let raw: RawSettings = json(text)?;
    let classes = raw
        .classes
        .into_iter()
        .map(class)
        .collect::<Result<Vec<_>, _>>()?;
    let ask_discovery = matches!(raw.discovery, RawDiscovery::Ask);
    if ask_discovery && raw.safety.ask_within_ns.is_none() {
        return Err(Error("settings: missing field `AskWithinNs`".to_owned()));
    }
    let prices = raw.prices.unwrap_or_default();
    let (fields, via) = raw.telemetry.map_or((Vec::new(), None), |telemetry| {
        (telemetry.fields, telemetry.via)
    });
    Ok(Settings {
        classes,
        tenants: raw
            .tenants
            .into_iter()
            .map(|t| Tenant {
                quota_rps: t.quota_rps,
            })
            .collect(),
        over_quota_worth: raw.over_share_worth.unwrap_or(1.0),
        worth_by_work: matches!(raw.value_by, RawValueBy::Work),
        zone: ZoneId(raw.zone),
        zones: raw.zones.len(),
        siblings: raw.siblings,
        tier: raw.layer,
        passes_deadline: raw
            .family_info
            .and_then(|f| f.passes_deadline)
            .unwrap_or(true),
        ask_discovery,
        ask_within: raw.safety.ask_within_ns.unwrap_or(0),
        may_cancel: raw.limits.cancelling,
        max_retry_after: raw.limits.max_retry_after_ns.unwrap_or(0),
        max_attempts: raw.limits.try_limit,
        conn_idle: raw.limits.conn_idle_ns.unwrap_or(Duration::MAX),
        start_capacity: raw.safety.start_capacity,
        tip_multiple: raw.safety.tip_multiple,
        ramp_time: raw.safety.ramp_time_ns,
        report_inflight: fields.iter().position(|field| field == "inflight"),
        cross_price: prices.cross_zone,
        probe_price: prices.probe,
        load_by_probe: raw.limits.may_probe && via.as_deref() == Some("probe"),
    })
}

fn class(raw: RawClass) -> Result<Class, Error> {
    let effect = match raw.effect {
        RawEffect::ReadLike => Effect::Safe,
        RawEffect::NonIdempotent => Effect::Unsafe,
        RawEffect::IdempotencyKey => {
            let missing = |key| Error(format!("settings: missing field `{key}`"));
            let group = match raw.group.ok_or_else(|| missing("Group"))? {
                RawGroup::All => Group::All,
                RawGroup::Zone => Group::Zone,
                RawGroup::Cell => Group::Cell,
            };
            Effect::Keyed(group, raw.window_ns.ok_or_else(|| missing("WindowNs"))?)
        }
    };
    Ok(Class {
        aim: raw.aim_ns,
        aim_stretch: raw.aim_stretch.unwrap_or(0.0),
        deadline: raw.deadline_ns,
        effect,
        late_worth: raw.late_worth.unwrap_or(0.0),
        worth: raw.value,
    })
}
