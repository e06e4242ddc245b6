//! What is wrong between whom: the scenario's network and its faults as the ways of the fabric.

use std::time::Duration;
use woadstall_emulator::{Fault, FaultKind, Scenario};
use woadstall_fault_proxy::{LinkConditions, NodeId};

/// Delays shorter than this are left out: timers are not finer, and the relays take a tenth of a millisecond.
pub const LEAST_DELAY: Duration = Duration::from_micros(500);

/// Callers of a zone.
pub fn callers(zone: u8) -> NodeId {
    NodeId(1 + u32::from(zone))
}

/// A balancer, by its number among all.
pub fn balancer(number: u32) -> NodeId {
    NodeId(1_024 + number)
}

/// A nodo, by its number among all.
pub fn nodo(host: u32) -> NodeId {
    NodeId(16_384 + host)
}

/// The agent of a balancer.
pub fn agent(number: u32) -> NodeId {
    NodeId(32_768 + number)
}

/// A balancer as a member among the others: its machine may be found where its process is not.
pub fn member(number: u32) -> NodeId {
    NodeId(49_152 + number)
}

/// One end of a way between a balancer and a nodo.
#[derive(Clone, Copy, Debug)]
pub struct Ends {
    /// The balancer's zone.
    pub balancer: u8,
    /// The nodo's zone.
    pub nodo: u8,
    /// The nodo's number among all.
    pub host: u32,
    /// From the balancer to the nodo, or back.
    pub there: bool,
}

/// A fault in force, and the nodos, or the balancers, that it hits.
pub type InForce<'a> = (&'a Fault, &'a [u32]);

/// The way between a balancer and a nodo under the faults that are in force.
pub fn between<'a>(
    scenario: &Scenario,
    ends: Ends,
    faults: impl Iterator<Item = InForce<'a>>,
) -> LinkConditions {
    let network = &scenario.network;
    let base = if ends.balancer == ends.nodo {
        network.within
    } else {
        network.across
    };
    let (mut times, mut more, mut loss, mut cut) = (1.0, 0, network.loss, false);
    let (from, to) = if ends.there {
        (ends.balancer, ends.nodo)
    } else {
        (ends.nodo, ends.balancer)
    };
    let (from, to) = (scenario.zone_name(from), scenario.zone_name(to));
    for (fault, hit) in faults {
        let across =
            ends.balancer != ends.nodo && fault.zone.as_ref() == scenario.zone_name(ends.nodo);
        match &fault.what {
            FaultKind::PartitionTo => cut |= across && ends.there,
            FaultKind::PartitionFrom => cut |= across && !ends.there,
            FaultKind::SlowLink(by) if hit.contains(&ends.host) => times *= by,
            _ => {}
        }
        if let Some(link) = fault.link(from, to) {
            (more, loss, cut) = (
                more + link.delay.0,
                link.loss.max(loss),
                cut || link.partitioned,
            );
        }
    }
    let delay = Duration::from_nanos((base.0 as f64 * times) as u64 + more);
    let delay = if delay < LEAST_DELAY {
        Duration::ZERO
    } else {
        delay
    };
    LinkConditions {
        delay,
        jitter: delay.mul_f64(network.jitter),
        loss,
        partitioned: cut,
        ..LinkConditions::default()
    }
}
