//! Validation of scenarios. The first error in the order of these checks is reported, with the name of its key.

mod callers;
mod environment;
mod faults;
mod tiers;

use super::error::{CheckResult, in_range, inconsistent, unique_names};
use super::{CallClass, CallEffect, Scenario, ScenarioError, ScenarioPart};

/// Maximum number of timeline steps in a run.
const MAX_STEPS: u64 = 100_000;
/// Maximum number of zones.
const MAX_ZONES: usize = 64;

impl Scenario {
    pub(super) fn check_all(&self) -> CheckResult {
        self.check_times()?;
        self.check_lists()?;
        self.class.iter().try_for_each(check_class)?;
        self.check_tenants()?;
        self.check_evacuation()?;
        self.check_sizes()?;
        self.check_each_tier()?;
        self.check_call_chain()?;
        self.check_callers()?;
        self.check_environment()?;
        self.check_faults()?;
        self.check_members()?;
        self.check_regions()?;
        self.check_bounds()?;
        self.check_engine_settings()
    }

    fn check_times(&self) -> CheckResult {
        if self.duration.0 == 0 || self.step.0 == 0 {
            return inconsistent("`time` and `step` must not be 0");
        }
        if self.warm_up >= self.duration {
            return inconsistent("`warm-up` must be shorter than `time`");
        }
        if self.duration.0 / self.step.0 > MAX_STEPS {
            return inconsistent("`step`: more than 100,000 steps in `time`");
        }
        Ok(())
    }

    /// Requires at least one zone, class and tier, and unique names.
    fn check_lists(&self) -> CheckResult {
        let needed = [
            ("zones", self.zones.is_empty()),
            ("class", self.class.is_empty()),
            ("tier", self.tier.is_empty()),
        ];
        if let Some((list, _)) = needed.into_iter().find(|(_, is_empty)| *is_empty) {
            return Err(ScenarioError::EmptyList(list));
        }
        if self.zones.len() > MAX_ZONES {
            return inconsistent("`zones`: more than 64");
        }
        unique_names("zones", self.zones.iter())?;
        unique_names("class", self.class.iter().map(|class| &class.name))?;
        unique_names("tier", self.tier.iter().map(|tier| &tier.name))?;
        unique_names("callers", self.callers.iter().map(|group| &group.name))?;
        unique_names("tenant", self.tenant.iter().map(|tenant| &tenant.name))
    }

    fn check_tenants(&self) -> CheckResult {
        self.tenant.iter().try_for_each(|tenant| {
            let part = || ScenarioPart::Tenant(tenant.name.clone());
            in_range("quota", tenant.quota, 0.0, 1e9).map_err(|error| error.within(part()))
        })
    }

    fn check_regions(&self) -> CheckResult {
        self.regions.keys().try_for_each(|zone| {
            self.check_zone(Some(zone))
                .map_err(|error| error.within(ScenarioPart::Key("regions")))
        })
    }

    fn check_bounds(&self) -> CheckResult {
        unique_names("bound", self.bound.iter().map(|bound| &bound.name))?;
        self.bound.iter().try_for_each(|bound| {
            let part = || ScenarioPart::Bound(bound.name.clone());
            bound.check(self).map_err(|error| error.within(part()))
        })
    }

    fn check_engine_settings(&self) -> CheckResult {
        (0..self.zones.len()).try_for_each(|zone| {
            self.settings(0, zone as u8).check()?;
            Ok(())
        })
    }

    /// Fails if the scenario has no zone of this name.
    pub(super) fn check_zone(&self, name: Option<&String>) -> CheckResult {
        self.zone(&name.cloned()).map(drop)
    }
}

fn check_class(class: &CallClass) -> CheckResult {
    check_class_values(class).map_err(|error| error.within(ScenarioPart::Class(class.name.clone())))
}

fn check_class_values(class: &CallClass) -> CheckResult {
    class
        .service
        .check()
        .map_err(|error| error.within(ScenarioPart::Key("service")))?;
    if class.latency_target.0 == 0 || class.deadline < class.latency_target {
        return inconsistent("`aim` must not be 0, nor `deadline` shorter");
    }
    if class.effect == CallEffect::Keyed && class.window.0 == 0 {
        return inconsistent("`window` is missing: the class is keyed");
    }
    in_range("worth", class.value, 0.0, 1e6)?;
    in_range("bytes", class.bytes, 0.0, 1e9)?;
    in_range("late-worth", class.late_value, 0.0, 1.0)
}
