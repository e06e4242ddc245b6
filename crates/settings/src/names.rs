//! Names in the settings. The decision module refers to the named items by position only.

use crate::ParseError;
use crate::error::from_json;
use serde::Deserialize;
use std::time::Duration;
use woadstall_decisions::api::ZoneId;

/// Names in the settings, by position, and the connect timeout of the transport.
#[derive(Clone, Debug)]
pub struct Names {
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the tenants; may be empty.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the fields of load reports, in the order of their values.
    pub report_fields: Vec<String>,
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
}

impl Names {
    /// Returns the id of a zone, or `None` if there is no zone of this name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        let position = self.zones.iter().position(|zone| zone == name)?;
        u8::try_from(position).ok().map(ZoneId)
    }

    /// Returns the position of a class, or `None` if there is no class of this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// Returns the position of a tenant, or `None` if there is no tenant of this name. If the settings define no
    /// tenants, every name and `None` belong to the only tenant, at position 0.
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

/// Reads the names from the JSON text of the settings.
///
/// # Errors
///
/// Returns an error if the text is not JSON, or if a key is missing or has a value of the wrong type.
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
