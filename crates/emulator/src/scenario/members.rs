//! Settings of membership among balancers, and faults of the links between them.

use super::error::{Check, in_range};
use super::{Fault, FaultKind, Scenario};
use crate::units::{SECOND, Span};
use serde::{Deserialize, Serialize};

/// Membership among all balancers of a run; without it they have no way to speak.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct MembershipConfig {
    /// Each probes one other each time this is over.
    pub period: Span,
    /// Then others are asked to.
    #[serde(rename = "patience")]
    pub timeout: Span,
    /// One that nobody hears is suspected for so long at least.
    pub suspicion: Span,
    /// Pauses that are to be borne: one that stood still for longer may be called dead.
    #[serde(rename = "pauses")]
    pub tolerated_pause: Span,
    /// Plain SWIM, for comparisons: without local health, directions, and anything that holds judgement back.
    #[serde(rename = "plain")]
    pub plain_swim: bool,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        let usual = woadstall_membership::Settings::default();
        let span = |time: std::time::Duration| Span(time.as_nanos() as u64);
        let (period, timeout, suspicion) = (
            span(usual.probe_interval),
            span(usual.probe_timeout),
            span(usual.suspicion_timeout),
        );
        Self {
            period,
            timeout,
            suspicion,
            tolerated_pause: Span(5 * SECOND),
            plain_swim: usual.plain_swim,
        }
    }
}

/// Which direction is hit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From those that the fault hits to the others.
    #[default]
    #[serde(rename = "there")]
    Forward,
    /// From the others to those.
    #[serde(rename = "back")]
    Reverse,
    /// Both.
    Both,
}

/// What is wrong between the balancers that a fault hits and others: those of a zone, or all that it does not hit,
/// or, where it hits all, all of them.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct MemberLinkFault {
    /// The others' zone.
    pub to: Option<String>,
    /// Which way.
    #[serde(rename = "way")]
    pub direction: Direction,
    /// Nothing comes through.
    #[serde(rename = "cut")]
    pub partitioned: bool,
    /// It takes so much longer.
    pub delay: Span,
    /// Part of it that is lost.
    pub loss: f64,
    /// Part of it that comes twice.
    #[serde(rename = "doubled")]
    pub duplicated: f64,
    /// Part of it that is overtaken.
    #[serde(rename = "overtaken")]
    pub reordered: f64,
    /// So many of those that it does not hit, the first by number, see both sides.
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

/// What goes from one balancer to another, under all that hits it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberLink {
    /// Nothing comes through.
    pub partitioned: bool,
    /// Time under way, in nanoseconds, before jitter.
    pub delay: u64,
    /// Part that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub duplicated: f64,
    /// Part that is overtaken.
    pub reordered: f64,
}

impl MemberLinkFault {
    pub(super) fn check(&self, scenario: &Scenario) -> Check {
        scenario.zone(&self.to)?;
        in_range("loss", self.loss, 0.0, 1.0)?;
        in_range("doubled", self.duplicated, 0.0, 1.0)?;
        in_range("overtaken", self.reordered, 0.0, 1.0)
    }

    /// Whether what goes from one to the other is hit, of `all` balancers. `hit` are those that the fault hits, in the order of
    /// their numbers.
    fn hits(
        &self,
        hit: &[u32],
        all: usize,
        to_zone: Option<u8>,
        from: (u32, u8),
        to: (u32, u8),
    ) -> bool {
        let is_hit = |of: u32| hit.binary_search(&of).is_ok();
        let is_bridge = |of: u32| {
            !is_hit(of)
                && (of as usize - hit.partition_point(|hit| *hit < of)) < self.bridges as usize
        };
        let is_other = |(of, zone): (u32, u8)| match to_zone {
            _ if is_bridge(of) => false,
            Some(there) => zone == there,
            None => hit.len() >= all || !is_hit(of),
        };
        let there = is_hit(from.0) && is_other(to);
        let back = is_hit(to.0) && is_other(from);
        match self.direction {
            Direction::Forward => there,
            Direction::Reverse => back,
            Direction::Both => there || back,
        }
    }
}

impl Scenario {
    /// What goes from one balancer to another, each by its number and zone, of so many. `faults` are those in force, with
    /// the balancers that each hits.
    pub fn member_link<'a>(
        &self,
        from: (u32, u8),
        to: (u32, u8),
        all: usize,
        faults: impl Iterator<Item = (&'a Fault, &'a [u32])>,
    ) -> MemberLink {
        let network = &self.network;
        let base = if from.1 == to.1 {
            network.within_zone
        } else {
            network.between_zones
        };
        let mut among = MemberLink {
            delay: base.0,
            loss: network.loss,
            ..MemberLink::default()
        };
        for (fault, hit) in faults {
            if let FaultKind::MemberLink(ill) = &fault.kind {
                let zone = self.zone(&ill.to).unwrap_or(None);
                if ill.hits(hit, all, zone, from, to) {
                    among.partitioned |= ill.partitioned;
                    among.delay += ill.delay.0;
                    among.loss = among.loss.max(ill.loss);
                    among.duplicated = among.duplicated.max(ill.duplicated);
                    among.reordered = among.reordered.max(ill.reordered);
                }
            } else if let Some(link) = fault.link(self.zone_name(from.1), self.zone_name(to.1)) {
                among.partitioned |= link.partitioned;
                among.delay += link.delay.0;
                among.loss = among.loss.max(link.loss);
            }
        }
        among
    }
}
