//! What the settings name and the decision module knows by position alone.

use crate::ParseError;
use crate::error::from_json;
use serde::Deserialize;
use std::time::Duration;
use woadstall_decisions::api::ZoneId;

/// The names in settings, by position, and what the sockets need to know.
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
    /// How long a connection may take to be established.
    pub connect_timeout: Duration,
}

impl Names {
    /// The zone of a name; `None` if there is none.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        let position = self.zones.iter().position(|zone| zone == name)?;
        u8::try_from(position).ok().map(ZoneId)
    }

    /// The position of the class of a name; `None` if there is none.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// The position of the tenant of a name; `None` if there is none. Where the settings name no tenants, any name is
    /// that of the only one.
    pub fn tenant(&self, name: Option<&str>) -> Option<usize> {
        if self.tenants.is_empty() {
            return Some(0);
        }
        self.tenants
            .iter()
            .position(|tenant| Some(tenant.as_str()) == name)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawNames {
    classes: Vec<RawNamed>,
    #[serde(default)]
    tenants: Vec<RawNamed>,
    zones: Vec<String>,
    limits: RawLimits,
    telemetry: Option<RawTelemetry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawNamed {
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawLimits {
    connect_timeout_ns: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawTelemetry {
    #[serde(default)]
    fields: Vec<String>,
}

/// Reads the names in the JSON text of settings.
///
/// # Errors
///
/// Fails if the text is not JSON, or if a key is missing or of another type.
pub fn parse_names(text: &[u8]) -> Result<Names, ParseError> {
    let raw: RawNames = from_json(text)?;
    let names = |named: Vec<RawNamed>| named.into_iter().map(|named| named.name).collect();
    Ok(Names {
        classes: names(raw.classes),
        tenants: names(raw.tenants),
        zones: raw.zones,
        report_fields: raw
            .telemetry
            .map_or(Vec::new(), |telemetry| telemetry.fields),
        connect_timeout: Duration::from_nanos(raw.limits.connect_timeout_ns),
    })
}
