//! Membership among the balancers' processes: what each is configured with, and what each reports of the others, compared
//! with who really runs.

mod observations;
mod settings;
#[cfg(test)]
mod tests;

use crate::balancer::Balancer;
use crate::links;
use crate::ports::{Port, free_port};
use rand::RngExt;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use woadstall_emulator::{
    Actor, EvacuationTracker, MemberLink, MembershipConfig, MembershipObserver, Scenario, stream,
};
use woadstall_fault_proxy::{FaultProxy, LinkConditions};
use woadstall_load_test::lock;
use woadstall_membership_net::Report;

const KEY_BYTES: usize = 32;

/// Where the members find a member.
struct MemberAddress {
    /// Where its process listens.
    listen: SocketAddr,
    /// Where the others send to: the fault proxy before it.
    advertised: SocketAddr,
}

/// What a member has reported of itself.
#[derive(Clone, Debug, Default)]
struct ReportedState {
    /// The start of its present incarnation, Unix time in milliseconds.
    started_ms: Option<u64>,
    /// Bytes that its former incarnations have sent.
    former_bytes: u64,
    /// Bytes that its present incarnation has sent.
    present_bytes: u64,
    /// The last report of its present incarnation.
    last_report: Option<Report>,
}

/// What is known of the members. Under one lock: with two, each thread would have to take them in
/// the same order.
struct MemberViews {
    /// Compares what members report with who runs.
    observer: MembershipObserver,
    /// What each member has reported.
    reported: Vec<ReportedState>,
}

/// See the module's documentation. Members are numbered as the balancers are.
pub struct Membership {
    addresses: Vec<MemberAddress>,
    /// The shared key, in hexadecimal digits.
    key: String,
    /// What is known of the members.
    views: Mutex<MemberViews>,
    /// What each member makes of zones, where they evacuate them together.
    evacuations: Mutex<EvacuationTracker>,
    /// The members whose machines have no power.
    unpowered: Mutex<BTreeSet<u32>>,
    start: Instant,
}

impl Membership {
    /// The membership of a fleet, none of which runs yet. Callers begin at `start`.
    ///
    /// # Errors
    ///
    /// Where no port is free, or a proxy cannot listen.
    pub async fn new(
        members: &MembershipConfig,
        network: &FaultProxy,
        balancers: &[Arc<Balancer>],
        zones: &[String],
        seed: u64,
        start: Instant,
    ) -> io::Result<Self> {
        let mut addresses = Vec::new();
        for balancer in balancers {
            let ip = balancer.placement.listen.ip();
            let listen = free_port(ip, Port::Members).await?;
            let node = links::member_node(balancer.placement.number);
            network.assign_address(node, ip);
            let advertised = network.proxy_shared(node, listen).await?;
            addresses.push(MemberAddress { listen, advertised });
        }
        let mut rng = stream(seed, Actor::Member, 0);
        let mut key = String::new();
        for _ in 0..KEY_BYTES {
            let _ = write!(key, "{:02x}", rng.random::<u8>());
        }
        let size = balancers.len();
        Ok(Self {
            addresses,
            key,
            views: Mutex::new(MemberViews {
                observer: MembershipObserver::new(size, members.tolerated_pause.0),
                reported: vec![ReportedState::default(); size],
            }),
            evacuations: Mutex::new(EvacuationTracker::new(zones.to_vec(), size)),
            unpowered: Mutex::default(),
            start,
        })
    }

    /// The time since callers began, in nanoseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// A balancer's process runs, or no longer does.
    pub fn set_running(&self, number: u32, running: bool) {
        let mut views = lock(&self.views);
        let member = &mut views.reported[number as usize];
        member.started_ms = None;
        member.last_report = None;
        member.former_bytes += std::mem::take(&mut member.present_bytes);
        views
            .observer
            .set_running(self.now(), number as usize, running);
        if running {
            lock(&self.evacuations).balancer_started(self.now(), number as usize);
        }
    }

    /// A balancer's machine has power, or has lost it.
    pub fn set_powered(&self, number: u32, powered: bool) {
        let mut unpowered = lock(&self.unpowered);
        if powered {
            unpowered.remove(&number);
        } else {
            unpowered.insert(number);
        }
    }

    /// A balancer's process is suspended, or resumed.
    pub fn set_suspended(&self, number: u32, suspended: bool) {
        let mut views = lock(&self.views);
        views
            .observer
            .set_paused(self.now(), number as usize, suspended);
    }

    /// Sets the conditions of the links among all members, as `link` has them from one to another.
    pub fn update_links(
        &self,
        network: &FaultProxy,
        scenario: &Scenario,
        link: impl Fn(usize, usize) -> MemberLink,
    ) {
        let unpowered = lock(&self.unpowered);
        let size = self.addresses.len();
        let mut partitioned = vec![false; size * size];
        for from in 0..size {
            for to in (0..size).filter(|&to| to != from) {
                let link = link(from, to);
                let (sender, receiver) = (from as u32, to as u32);
                let is_partitioned = link.partitioned
                    || unpowered.contains(&sender)
                    || unpowered.contains(&receiver);
                let delay = links::effective_delay(link.delay);
                let conditions = LinkConditions {
                    delay,
                    jitter: delay.mul_f64(scenario.network.jitter),
                    loss: link.loss,
                    duplication: link.duplicated,
                    reordering: link.reordered,
                    bytes_per_second: 0,
                    partitioned: is_partitioned,
                };
                let (sender, receiver) = (links::member_node(sender), links::member_node(receiver));
                network.set_conditions(sender, receiver, conditions);
                partitioned[from * size + to] = is_partitioned;
            }
        }
        let mut views = lock(&self.views);
        views
            .observer
            .partition(self.now(), |from, to| partitioned[from * size + to]);
    }
}
