//! The scenario's network and its faults as conditions of the fault proxy's links.

use std::time::Duration;
use woadstall_emulator::{Fault, FaultKind, Scenario};
use woadstall_fault_proxy::{LinkConditions, NodeId};

/// Shorter delays count as none: timers are not finer, and the relays take a tenth of a millisecond.
const MIN_DELAY: Duration = Duration::from_micros(500);

/// The callers of a zone.
pub fn callers_node(zone: u8) -> NodeId {
    NodeId(1 + u32::from(zone))
}

/// A balancer, by its number among all.
pub fn balancer_node(number: u32) -> NodeId {
    NodeId(1_024 + number)
}

/// An upstream, by its number among all.
pub fn upstream_node(number: u32) -> NodeId {
    NodeId(16_384 + number)
}

/// The discovery agent of a balancer.
pub fn agent_node(number: u32) -> NodeId {
    NodeId(32_768 + number)
}

/// A balancer as a member among the others: its machine may be reachable where its process is not.
pub fn member_node(number: u32) -> NodeId {
    NodeId(49_152 + number)
}

/// The direction of a link between a balancer and an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Requests.
    ToUpstream,
    /// Responses.
    FromUpstream,
}

/// A link between a balancer and an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLink {
    /// The balancer's zone.
    pub balancer_zone: u8,
    /// The upstream's zone.
    pub upstream_zone: u8,
    /// The upstream's number among all.
    pub upstream: u32,
    /// Its direction.
    pub direction: Direction,
}

/// A fault that is in force, and the numbers of the upstreams, or of the balancers, that it hits.
pub type ActiveFault<'a> = (&'a Fault, &'a [u32]);

/// The conditions of a link between a balancer and an upstream under the faults that are in force.
pub fn upstream_link_conditions<'a>(
    scenario: &Scenario,
    link: UpstreamLink,
    faults: impl Iterator<Item = ActiveFault<'a>>,
) -> LinkConditions {
    let network = &scenario.network;
    let crosses_zones = link.balancer_zone != link.upstream_zone;
    let base = if crosses_zones {
        network.between_zones
    } else {
        network.within_zone
    };
    let (from, to) = match link.direction {
        Direction::ToUpstream => (link.balancer_zone, link.upstream_zone),
        Direction::FromUpstream => (link.upstream_zone, link.balancer_zone),
    };
    let (from, to) = (scenario.zone_name(from), scenario.zone_name(to));
    let upstream_zone = scenario.zone_name(link.upstream_zone);
    let (mut delay_factor, mut extra_delay_ns) = (1.0, 0);
    let (mut loss, mut partitioned) = (network.loss, false);
    for (fault, upstreams) in faults {
        let hits_link = crosses_zones && fault.zone.as_ref() == upstream_zone;
        match &fault.kind {
            FaultKind::PartitionTo => {
                partitioned |= hits_link && link.direction == Direction::ToUpstream
            }
            FaultKind::PartitionFrom => {
                partitioned |= hits_link && link.direction == Direction::FromUpstream
            }
            FaultKind::SlowLink(factor) if upstreams.contains(&link.upstream) => {
                delay_factor *= factor
            }
            _ => {}
        }
        if let Some(between_zones) = fault.link(from, to) {
            extra_delay_ns += between_zones.delay.0;
            loss = between_zones.loss.max(loss);
            partitioned |= between_zones.partitioned;
        }
    }
    let delay = effective_delay((base.0 as f64 * delay_factor) as u64 + extra_delay_ns);
    LinkConditions {
        delay,
        jitter: delay.mul_f64(network.jitter),
        loss,
        partitioned,
        ..LinkConditions::default()
    }
}

/// A delay as the fault proxy gets it: none where it is too short to be kept.
pub fn effective_delay(nanos: u64) -> Duration {
    let delay = Duration::from_nanos(nanos);
    if delay < MIN_DELAY {
        Duration::ZERO
    } else {
        delay
    }
}
