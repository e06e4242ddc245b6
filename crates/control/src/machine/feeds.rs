//! The feeds of balancers, and what clients are told of balancers.

use super::{Action, Machine};
use crate::feed::Event;
use crate::shards::short_hash;
use crate::state::ControlState;
use crate::wire::{Packet, ZoneBalancers};
use std::collections::BTreeMap;

/// How often a feed tells how its machine stands, in milliseconds.
pub(super) const STATUS_EVERY: u64 = 500;
/// How long a balancer is named to clients after it was last heard of: three heartbeats, and the way between machines.
const BALANCER_ALIVE: u64 = 1_100;
/// How long a balancer counts among those that share budgets.
const BALANCER_COUNTS: u64 = 10_000;
/// Balancers that are named to a client at most.
const MOST_NAMED: usize = 64;
/// Seconds for which names of balancers hold with clients.
pub const RESOLVE_TTL_S: u64 = 1;

/// A balancer that reads the feed.
#[derive(Clone, Debug)]
pub(super) struct Subscriber {
    /// Its name.
    pub balancer: String,
}

impl Machine {
    /// A balancer asks for the feed on a connection.
    pub fn subscribe(&mut self, now: u64, subscriber: u64, packet: &Packet) {
        self.now = self.now.max(now);
        let Packet::Subscribe { balancer, epoch, offset, index } = packet else { return };
        self.subscribers.insert(subscriber, Subscriber { balancer: balancer.clone() });
        let end = self.journal.end();
        let packet = match self.journal.tail(*epoch, *offset) {
            Some(events) => Packet::Events { offset: end, events },
            None => {
                let newer = self.state.index > *index;
                let state = if newer { self.state.encode() } else { Vec::new() };
                let registrations = self.registry.all(self.now);
                Packet::Snapshot { epoch: self.journal.epoch(), offset: end, state, registrations }
            }
        };
        self.actions.push(Action::Deliver { subscriber, packet });
        let status = self.status();
        self.actions.push(Action::Deliver { subscriber, packet: status });
        let balancing = Packet::Balancing(self.balancing());
        self.actions.push(Action::Deliver { subscriber, packet: balancing });
    }

    /// A balancer's connection has ended.
    pub fn unsubscribe(&mut self, subscriber: u64) {
        self.subscribers.remove(&subscriber);
    }

    /// The names of the balancers that read the feed here.
    pub fn readers(&self) -> impl Iterator<Item = &str> {
        self.subscribers.values().map(|subscriber| subscriber.balancer.as_str())
    }

    /// Appends an event to the journal and tells it to all readers.
    pub(super) fn publish(&mut self, event: Event) {
        if matches!(event, Event::Registered(_)) {
            self.registry_version += 1;
        }
        self.journal.append(event.clone());
        let offset = self.journal.end();
        for subscriber in self.subscribers.keys() {
            let packet = Packet::Events { offset, events: vec![event.clone()] };
            self.actions.push(Action::Deliver { subscriber: *subscriber, packet });
        }
    }

    /// The state was replaced by a snapshot: readers get it whole.
    pub(super) fn restore(&mut self, state: ControlState) {
        self.state = state;
        self.log_bytes = 0;
        let (epoch, offset) = (self.journal.epoch(), self.journal.end());
        let (state, registrations) = (self.state.encode(), self.registry.all(self.now));
        for subscriber in self.subscribers.keys() {
            let (state, registrations) = (state.clone(), registrations.clone());
            let packet = Packet::Snapshot { epoch, offset, state, registrations };
            self.actions.push(Action::Deliver { subscriber: *subscriber, packet });
        }
    }

    pub(super) fn tell_status(&mut self) {
        let balancing = self.balancing();
        if balancing != self.balancing {
            self.balancing = balancing.clone();
            for subscriber in self.subscribers.keys() {
                let packet = Packet::Balancing(balancing.clone());
                self.actions.push(Action::Deliver { subscriber: *subscriber, packet });
            }
        }
        let status = self.status();
        for subscriber in self.subscribers.keys() {
            self.actions.push(Action::Deliver { subscriber: *subscriber, packet: status.clone() });
        }
    }

    fn status(&self) -> Packet {
        Packet::Status { in_quorum: self.in_quorum(), machines: self.machines() }
    }

    /// The balancers that share budgets, by zone.
    fn balancing(&self) -> Vec<ZoneBalancers> {
        let mut zones: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for heartbeat in self.balancers.alive(self.now, BALANCER_COUNTS) {
            zones.entry(&heartbeat.zone).or_default().push(short_hash(&heartbeat.name));
        }
        let of_zone =
            |(zone, balancers): (&str, Vec<u32>)| ZoneBalancers { zone: zone.to_owned(), balancers };
        zones.into_iter().map(of_zone).collect()
    }

    /// The balancers that a client of a zone and region goes to: those of its zone, else of its region, else all.
    pub fn resolve(&self, zone: &str, region_of: impl Fn(&str) -> Option<String>) -> Vec<String> {
        let region = region_of(zone);
        let alive = || self.balancers.alive(self.now, BALANCER_ALIVE).filter(|heartbeat| heartbeat.ready);
        let in_zone: Vec<&str> =
            alive().filter(|heartbeat| heartbeat.zone == zone).map(|heartbeat| &*heartbeat.address).collect();
        let in_region = || {
            let near = alive().filter(|heartbeat| region.is_some() && region_of(&heartbeat.zone) == region);
            near.map(|heartbeat| &*heartbeat.address).collect::<Vec<&str>>()
        };
        let mut named = in_zone;
        if named.is_empty() {
            named = in_region();
        }
        if named.is_empty() {
            named = alive().map(|heartbeat| &*heartbeat.address).collect();
        }
        named.into_iter().take(MOST_NAMED).map(str::to_owned).collect()
    }
}
