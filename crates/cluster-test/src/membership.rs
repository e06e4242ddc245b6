//! Membership among the balancer processes: configures each process, and compares each member's reports about the
//! others with the set of running processes.

mod observations;
mod settings;
#[cfg(test)]
mod tests;

use crate::balancer::Balancer;
use crate::links;
use crate::ports::{PortPurpose, free_port};
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

/// Addresses of a member.
struct MemberAddress {
    /// Listen address of the member's process.
    listen: SocketAddr,
    /// Address that other members send to: a fault proxy in front of the listen address.
    advertised: SocketAddr,
}

/// State that a member has reported about itself.
#[derive(Clone, Debug, Default)]
struct ReportedState {
    /// Start of the current incarnation, as Unix time in milliseconds.
    started_ms: Option<u64>,
    /// Bytes sent by earlier incarnations.
    previous_bytes_sent: u64,
    /// Bytes sent by the current incarnation.
    current_bytes_sent: u64,
    /// Last report of the current incarnation.
    last_report: Option<Report>,
}

/// Observed state of the members. One mutex guards both fields: with two mutexes, every thread would have to lock them
/// in the same order to avoid a deadlock.
struct MemberViews {
    /// Compares the reports of members with the set of running members.
    observer: MembershipObserver,
    /// Last reported state of each member.
    reported: Vec<ReportedState>,
}

/// Membership configuration and observed state. A member has the index of its balancer.
pub struct Membership {
    addresses: Vec<MemberAddress>,
    /// The shared key of the membership protocol, in hexadecimal digits.
    key: String,
    /// Observed state of the members.
    views: Mutex<MemberViews>,
    /// Evacuation state of the zones as reported by each member.
    evacuations: Mutex<EvacuationTracker>,
    /// Indices of the members whose machines have no power.
    unpowered: Mutex<BTreeSet<u32>>,
    start: Instant,
}

impl Membership {
    /// Creates the membership of a fleet whose processes are not running yet. Callers start at `start`.
    ///
    /// # Errors
    ///
    /// If no port is free, or the listener of a proxy cannot be created.
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
            let listen = free_port(ip, PortPurpose::Members).await?;
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

    /// Returns the time since the start of callers, in nanoseconds.
    pub fn now_ns(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// Records whether the process of a balancer runs.
    pub fn set_running(&self, number: u32, running: bool) {
        let mut views = lock(&self.views);
        let member = &mut views.reported[number as usize];
        member.started_ms = None;
        member.last_report = None;
        member.previous_bytes_sent += std::mem::take(&mut member.current_bytes_sent);
        views
            .observer
            .set_running(self.now_ns(), number as usize, running);
        if running {
            lock(&self.evacuations).balancer_started(self.now_ns(), number as usize);
        }
    }

    /// Records whether the machine of a balancer has power.
    pub fn set_powered(&self, number: u32, powered: bool) {
        let mut unpowered = lock(&self.unpowered);
        if powered {
            unpowered.remove(&number);
        } else {
            unpowered.insert(number);
        }
    }

    /// Records whether the process of a balancer is suspended.
    pub fn set_suspended(&self, number: u32, suspended: bool) {
        let mut views = lock(&self.views);
        views
            .observer
            .set_paused(self.now_ns(), number as usize, suspended);
    }

    /// Sets the conditions of the links among all members. `link_state` returns the state of the link from one member
    /// to another.
    pub fn update_links(
        &self,
        network: &FaultProxy,
        scenario: &Scenario,
        link_state: impl Fn(usize, usize) -> MemberLink,
    ) {
        let unpowered = lock(&self.unpowered);
        let size = self.addresses.len();
        let mut partitioned = vec![false; size * size];
        for from in 0..size {
            for to in (0..size).filter(|&to| to != from) {
                let link = link_state(from, to);
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
            .partition(self.now_ns(), |from, to| partitioned[from * size + to]);
    }
}
