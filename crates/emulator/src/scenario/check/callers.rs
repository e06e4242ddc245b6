//! Validation of groups of callers.

use super::*;
use crate::scenario::{CallerGroup, CallerRetries, Load, MAX_CALLS};
use crate::units::Span;

impl Scenario {
    pub(super) fn check_callers(&self) -> CheckResult {
        self.callers.iter().try_for_each(|group| {
            let part = || ScenarioPart::Callers(group.name.clone());
            self.check_group(group)
                .map_err(|error| error.within(part()))
        })?;
        let calls: f64 = self
            .callers
            .iter()
            .map(|group| group.load.max_rate() * self.duration.seconds())
            .sum();
        if calls > MAX_CALLS {
            return Err(ScenarioError::TooManyCalls {
                calls,
                most: MAX_CALLS,
            });
        }
        Ok(())
    }

    fn check_group(&self, group: &CallerGroup) -> CheckResult {
        group
            .load
            .check()
            .map_err(|error| error.within(ScenarioPart::Key("load")))?;
        in_range("heeds-advice", group.honors_retry_after, 0.0, 1.0)?;
        self.check_mix(group)?;
        if let Some(tenant) = &group.tenant
            && !self.tenant.iter().any(|known| known.name == *tenant)
        {
            return Err(ScenarioError::UnknownName {
                key: "tenant",
                kind: "tenant",
                name: tenant.clone(),
            });
        }
        self.check_zone(group.zone.as_ref())?;
        let has_no_think_time = matches!(group.load, Load::Closed { think: Span(0), .. });
        if group.retries != CallerRetries::Never && has_no_think_time {
            return inconsistent("`load`: a crowd that asks again needs a `think` over 0");
        }
        Ok(())
    }

    /// Validates the classes that a group calls, and their shares.
    fn check_mix(&self, group: &CallerGroup) -> CheckResult {
        for (class, share) in &group.classes {
            if self.class(class).is_none() {
                return Err(ScenarioError::UnknownName {
                    key: "classes",
                    kind: "class",
                    name: class.clone(),
                });
            }
            in_range(class, *share, 0.0, 1e9)?;
        }
        if group.classes.values().sum::<f64>() <= 0.0 {
            return inconsistent("`classes`: none has a share");
        }
        Ok(())
    }
}
