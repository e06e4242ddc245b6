//! Section `[evacuation]`: all balancers together stop sending requests to a failing upstream, zone or region.

use crate::ConfigError;
use crate::error::check_range;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Settings of section `[evacuation]`, which requires section `[instances]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EvacuationConfig {
    /// Interval at which the evidence of failures is evaluated, in milliseconds: 20 to 5000, 100 by default.
    #[serde(rename = "every_ms")]
    pub evaluation_interval_ms: u64,
    /// Region of each zone, by the zone's name. Zones that belong to no region are omitted.
    pub regions: BTreeMap<String, String>,
}

impl Default for EvacuationConfig {
    fn default() -> Self {
        Self {
            evaluation_interval_ms: 100,
            regions: BTreeMap::new(),
        }
    }
}

impl EvacuationConfig {
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        check_range(
            "evacuation.every_ms",
            self.evaluation_interval_ms,
            20,
            5_000,
        )?;
        let has_empty_name =
            |(zone, region): (&String, &String)| zone.is_empty() || region.is_empty();
        if self.regions.iter().any(has_empty_name) {
            return Err(ConfigError::EmptyRegionName);
        }
        Ok(())
    }
}
