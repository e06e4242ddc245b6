//! Settings of membership among balancers, and faults of the links between them.

use super::error::{CheckResult, in_range};
use super::{Fault, FaultKind, Scenario};
use crate::units::{SECOND, Span};
use serde::{Deserialize, Serialize};

/// Membership among all balancers of a run. Without it, balancers exchange no messages.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct MembershipConfig {
    /// Interval at which each member probes another one.
    pub period: Span,
    /// Timeout of a probe, after which other members are asked to probe.
    #[serde(rename = "patience")]
    pub timeout: Span,
    /// Minimum time that an unreachable member is suspected before it is declared dead.
    pub suspicion: Span,
    /// Longest pause of a process that must be tolerated; a member that was paused for longer may be declared
    /// dead.
    #[serde(rename = "pauses")]
    pub tolerated_pause: Span,
    /// Plain SWIM for comparisons: without local health, reports on path directions, and other delays of a
    /// verdict.
    #[serde(rename = "plain")]
    pub plain_swim: bool,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        let defaults = woadstall_membership::Settings::default();
        let span = |time: std::time::Duration| Span(time.as_nanos() as u64);
        let (period, timeout, suspicion) = (
            span(defaults.probe_interval),
            span(defaults.probe_timeout),
            span(defaults.suspicion_timeout),
        );
        Self {
            period,
            timeout,
            suspicion,
            tolerated_pause: Span(5 * SECOND),
            plain_swim: defaults.plain_swim,
        }
    }
}

/// Direction of an affected path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the balancers in the fault's scope to the others.
    #[default]
    #[serde(rename = "there")]
    Forward,
    /// From the other balancers to the ones in scope.
    #[serde(rename = "back")]
    Reverse,
    /// Both directions.
    Both,
}

/// Fault on the paths between the balancers in its scope and other balancers. These are the ones in the zone `to`;
/// without `to`, they are all balancers out of scope, or all balancers if none is out of scope.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct MemberLinkFault {
    /// Zone of the other balancers.
    pub to: Option<String>,
    /// Affected direction.
    #[serde(rename = "way")]
    pub direction: Direction,
    /// The paths are partitioned.
    #[serde(rename = "cut")]
    pub partitioned: bool,
    /// Additional delay.
    pub delay: Span,
    /// Fraction of the messages that are lost.
    pub loss: f64,
    /// Fraction of the messages that are duplicated.
    #[serde(rename = "doubled")]
    pub duplicated: f64,
    /// Fraction of the messages that are reordered.
    #[serde(rename = "overtaken")]
    pub reordered: f64,
    /// Number of balancers out of scope, the first ones by number, whose paths to both sides are not affected.
    pub bridges: u32,
}

impl Default for MemberLinkFault {
    fn default() -> Self {
        let (to, direction, partitioned, delay) = (None, Direction::Forward, false, Span(0));
        Self {
            to,
            direction,
            partitioned,
            delay,
            loss: 0.0,
            duplicated: 0.0,
            reordered: 0.0,
            bridges: 0,
        }
    }
}

/// Condition of the path from one balancer to another under all active faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberLink {
    /// The path is partitioned.
    pub partitioned: bool,
    /// Delay before jitter, in nanoseconds.
    pub delay: u64,
    /// Fraction of the messages that are lost.
    pub loss: f64,
    /// Fraction of the messages that are duplicated.
    pub duplicated: f64,
    /// Fraction of the messages that are reordered.
    pub reordered: f64,
}

impl MemberLinkFault {
    pub(super) fn check(&self, scenario: &Scenario) -> CheckResult {
        scenario.zone(&self.to)?;
        in_range("loss", self.loss, 0.0, 1.0)?;
        in_range("doubled", self.duplicated, 0.0, 1.0)?;
        in_range("overtaken", self.reordered, 0.0, 1.0)
    }

    /// Whether the fault affects the path between two balancers, given by number and zone. `in_scope` are the
    /// numbers of the balancers in scope in ascending order, and `balancer_count` is the number of all balancers.
    fn affects(
        &self,
        in_scope: &[u32],
        balancer_count: usize,
        to_zone: Option<u8>,
        from: (u32, u8),
        to: (u32, u8),
    ) -> bool {
        let is_in_scope = |balancer: u32| in_scope.binary_search(&balancer).is_ok();
        let is_bridge = |balancer: u32| {
            let in_scope_before = in_scope.partition_point(|other| *other < balancer);
            !is_in_scope(balancer) && (balancer as usize - in_scope_before) < self.bridges as usize
        };
        let is_other = |(balancer, zone): (u32, u8)| match to_zone {
            _ if is_bridge(balancer) => false,
            Some(to_zone) => zone == to_zone,
            None => in_scope.len() >= balancer_count || !is_in_scope(balancer),
        };
        let ((from_balancer, _), (to_balancer, _)) = (from, to);
        let forward = is_in_scope(from_balancer) && is_other(to);
        let reverse = is_in_scope(to_balancer) && is_other(from);
        match self.direction {
            Direction::Forward => forward,
            Direction::Reverse => reverse,
            Direction::Both => forward || reverse,
        }
    }
}

impl Scenario {
    /// Condition of the path between two balancers, given by number and zone. `balancer_count` is the number of all
    /// balancers; `faults` are the active faults, each with the balancers in its scope.
    pub fn member_link<'a>(
        &self,
        from: (u32, u8),
        to: (u32, u8),
        balancer_count: usize,
        faults: impl Iterator<Item = (&'a Fault, &'a [u32])>,
    ) -> MemberLink {
        let network = &self.network;
        let ((_, from_zone), (_, to_zone)) = (from, to);
        let base = if from_zone == to_zone {
            network.within_zone
        } else {
            network.between_zones
        };
        let mut path = MemberLink {
            delay: base.0,
            loss: network.loss,
            ..MemberLink::default()
        };
        for (fault, in_scope) in faults {
            if let FaultKind::MemberLink(member_fault) = &fault.kind {
                let fault_zone = self.zone(&member_fault.to).unwrap_or(None);
                if member_fault.affects(in_scope, balancer_count, fault_zone, from, to) {
                    path.partitioned |= member_fault.partitioned;
                    path.delay += member_fault.delay.0;
                    path.loss = path.loss.max(member_fault.loss);
                    path.duplicated = path.duplicated.max(member_fault.duplicated);
                    path.reordered = path.reordered.max(member_fault.reordered);
                }
            } else if let Some(link) =
                fault.link(self.zone_name(from_zone), self.zone_name(to_zone))
            {
                path.partitioned |= link.partitioned;
                path.delay += link.delay.0;
                path.loss = path.loss.max(link.loss);
            }
        }
        path
    }
}
