//! The rule for regions that are mostly evacuated.

use super::{EngineInput, EvacuationEngine};
use std::collections::BTreeMap;
use woadstall_decisions::api::Time;
use woadstall_health_reports::{Reporters, Subject};

/// A region stays in use only if more than this fraction of its size is in use.
const MIN_IN_USE_FRACTION: f64 = 0.5;

/// The sizes of a region's servers in service, summed over its zones.
#[derive(Clone, Copy, Default)]
struct RegionSize {
    total: f64,
    in_use: f64,
}

impl RegionSize {
    /// Returns whether more than [`MIN_IN_USE_FRACTION`] of the region's size is in use.
    fn is_mostly_in_use(&self) -> bool {
        self.total > 0.0 && self.in_use > self.total * MIN_IN_USE_FRACTION
    }
}

impl EvacuationEngine {
    /// Evacuates the rest of a region in one step, rather than zone by zone, if the region is
    /// mostly evacuated and another region is mostly in use. Takes the region back into use in the
    /// same way.
    pub(super) fn step_regions(&mut self, now: Time, input: &EngineInput<'_>) {
        let sizes = self.region_sizes(input);
        let is_other_in_use = |region: &Subject| {
            sizes
                .iter()
                .any(|(other, size)| other != region && size.is_mostly_in_use())
        };
        for (subject, size) in &sizes {
            let is_evacuated =
                size.total > 0.0 && !size.is_mostly_in_use() && is_other_in_use(subject);
            let mut state = self.state(subject);
            if is_evacuated == (state.share < 1.0) {
                continue;
            }
            state.set_evacuated(now, is_evacuated);
            self.set_state(*subject, state, Reporters::default());
        }
    }

    fn region_sizes(&self, input: &EngineInput<'_>) -> BTreeMap<Subject, RegionSize> {
        let mut sizes: BTreeMap<Subject, RegionSize> = BTreeMap::new();
        for (zone, zone_size) in input.topology.zones.iter().zip(input.zone_sizes) {
            let Some(region) = zone.region_subject else {
                continue;
            };
            let size = sizes.entry(region).or_default();
            size.total += zone_size;
            size.in_use += zone_size * self.state(&zone.subject).share;
        }
        sizes
    }
}
