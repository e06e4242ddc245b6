//! Validation of faults.

use super::*;
use crate::scenario::{Fault, FaultKind, LinkFault};

impl Scenario {
    pub(super) fn check_faults(&self) -> CheckResult {
        self.fault.iter().zip(1..).try_for_each(|(fault, number)| {
            self.check_fault(fault)
                .map_err(|error| error.within(ScenarioPart::Fault(number)))
        })
    }

    fn check_fault(&self, fault: &Fault) -> CheckResult {
        in_range("part", fault.part, 0.0, 1.0)?;
        if fault.until.is_some_and(|until| until <= fault.at) {
            return inconsistent("`until` is not after `at`");
        }
        self.check_zone(fault.zone.as_ref())?;
        if let Some(name) = &fault.tier
            && self.tier(name).is_none()
        {
            return Err(ScenarioError::UnknownName {
                key: "tier",
                kind: "tier",
                name: name.clone(),
            });
        }
        self.check_kind(fault)
    }

    fn check_kind(&self, fault: &Fault) -> CheckResult {
        match &fault.kind {
            FaultKind::Slow(factor) | FaultKind::SlowLink(factor) => {
                in_range("what", *factor, 0.01, 1e4)
            }
            FaultKind::ResponseLoss(fraction) | FaultKind::Resets(fraction) => {
                in_range("what", *fraction, 0.0, 1.0)
            }
            FaultKind::Errors { share, class } => self.check_errors(*share, class.as_ref()),
            FaultKind::RollBalancers if fault.until.is_none() => {
                inconsistent("`until` is missing: a roll has an end")
            }
            FaultKind::Restart { .. } | FaultKind::RollBalancers | FaultKind::PauseBalancers
                if self.hits_sidecars(fault) =>
            {
                inconsistent("`tier`: its balancers go with their nodos")
            }
            FaultKind::PartitionTo | FaultKind::PartitionFrom | FaultKind::Link(_)
                if fault.zone.is_none() =>
            {
                inconsistent("`zone` is missing: a cut has one, and a link begins in one")
            }
            FaultKind::Link(link) => self.check_link(link),
            FaultKind::MemberLink(_) if self.members.is_none() => {
                inconsistent("there is no `[members]`: balancers do not speak")
            }
            FaultKind::MemberLink(member_fault) => member_fault.check(self),
            FaultKind::PowerLoss { .. } | FaultKind::SuspendUpstreams if fault.until.is_none() => {
                inconsistent("`until` is missing: power comes back, and what stands still goes on")
            }
            _ => Ok(()),
        }
    }

    /// Whether the balancers of a fault's tier are sidecars.
    fn hits_sidecars(&self, fault: &Fault) -> bool {
        let tier = fault.tier.as_ref().and_then(|name| self.tier(name));
        tier.is_some_and(|position| self.tier[position].sidecar)
    }

    fn check_errors(&self, share: f64, class: Option<&String>) -> CheckResult {
        in_range("share", share, 0.0, 1.0)?;
        match class {
            Some(name) if self.class(name).is_none() => Err(ScenarioError::UnknownName {
                key: "class",
                kind: "class",
                name: name.clone(),
            }),
            _ => Ok(()),
        }
    }

    fn check_link(&self, link: &LinkFault) -> CheckResult {
        self.check_zone(Some(&link.to))?;
        in_range("loss", link.loss, 0.0, 1.0)
    }
}
