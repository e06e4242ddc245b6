//! Section `[evacuation]`: leaving nodos, zones and regions as a fleet.

use serde::Deserialize;
use std::collections::BTreeMap;

/// Section `[evacuation]`. It needs `[instances]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Evacuation {
    /// What is known is looked at this often, in milliseconds.
    pub every_ms: u64,
    /// The region of each zone that lies in one.
    pub regions: BTreeMap<String, String>,
}

impl Default for Evacuation {
    fn default() -> Self {
        Self {
            every_ms: 100,
            regions: BTreeMap::new(),
        }
    }
}

impl Evacuation {
    /// The field at fault, and what is wrong with it.
    pub(crate) fn check(&self) -> Result<(), (&'static str, String)> {
        if !(20..=5_000).contains(&self.every_ms) {
            return Err((
                "every_ms",
                format!("is {}, not between 20 and 5000", self.every_ms),
            ));
        }
        match self
            .regions
            .iter()
            .find(|(zone, region)| zone.is_empty() || region.is_empty())
        {
            Some(_) => Err(("regions", "has an empty name".to_owned())),
            None => Ok(()),
        }
    }
}
