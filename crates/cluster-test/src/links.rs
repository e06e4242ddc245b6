//! Conversion of the scenario's network and faults to link conditions of the fault proxy.

use std::time::Duration;
use woadstall_emulator::{Fault, FaultKind, Scenario};
use woadstall_fault_proxy::{LinkConditions, NodeId};

/// Shorter delays are set to zero: timers have no finer resolution, and the proxies themselves add 0.1 ms.
const MIN_DELAY: Duration = Duration::from_micros(500);

/// Returns the node of all callers of a zone.
pub fn callers_node(zone: u8) -> NodeId {
    NodeId(1 + u32::from(zone))
}

/// Returns the node of a balancer by its index among all balancers.
pub fn balancer_node(number: u32) -> NodeId {
    NodeId(1_024 + number)
}

/// Returns the node of an upstream by its index among all upstreams.
pub fn upstream_node(number: u32) -> NodeId {
    NodeId(16_384 + number)
}

/// Returns the node of a balancer's discovery agent.
pub fn agent_node(number: u32) -> NodeId {
    NodeId(32_768 + number)
}

/// Returns the node of a balancer in its role as a member. It is separate from the balancer's node because a member's
/// machine may be reachable while its process is stopped.
pub fn member_node(number: u32) -> NodeId {
    NodeId(49_152 + number)
}

/// The direction of a link between a balancer and an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Direction of requests, from the balancer to the upstream.
    ToUpstream,
    /// Direction of responses, from the upstream to the balancer.
    FromUpstream,
}

/// One direction of the connection between a balancer and an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLink {
    /// Index of the balancer's zone.
    pub balancer_zone: u8,
    /// Index of the upstream's zone.
    pub upstream_zone: u8,
    /// Index of the upstream among all upstreams.
    pub upstream: u32,
    /// Direction of the traffic on the link.
    pub direction: Direction,
}

/// An active fault with the indices of its targets, which are upstreams or balancers.
pub type ActiveFault<'a> = (&'a Fault, &'a [u32]);

/// Returns the conditions of a link between a balancer and an upstream under the active faults.
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
        let affects_link = crosses_zones && fault.zone.as_ref() == upstream_zone;
        match &fault.kind {
            FaultKind::PartitionTo => {
                partitioned |= affects_link && link.direction == Direction::ToUpstream
            }
            FaultKind::PartitionFrom => {
                partitioned |= affects_link && link.direction == Direction::FromUpstream
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

/// Returns the delay to configure in the fault proxy: zero for delays below [`MIN_DELAY`].
pub fn effective_delay(nanos: u64) -> Duration {
    let delay = Duration::from_nanos(nanos);
    if delay < MIN_DELAY {
        Duration::ZERO
    } else {
        delay
    }
}
