//! The feeds of balancers.

use super::{Action, ControlMachine};
use crate::feed::FeedEvent;
use crate::shards::short_hash;
use crate::state::ControlState;
use crate::wire::{Packet, ZoneBalancers};
use std::collections::BTreeMap;

/// How often a feed tells how its machine stands, in milliseconds.
pub(super) const STATUS_EVERY: u64 = 500;
/// How long a balancer counts among those that share budgets.
const BALANCER_COUNTS: u64 = 10_000;

/// A balancer that reads the feed.
#[derive(Clone, Debug)]
pub(super) struct Subscriber {
    /// Its name.
    pub balancer: String,
}

/// A balancer that waits for a snapshot.
#[derive(Clone, Debug)]
pub(super) struct Newcomer {
    subscriber: u64,
    balancer: String,
    /// The position up to which it has applied the configuration's log.
    index: u64,
}

impl ControlMachine {
    /// A balancer asks for the feed on a connection. One that needs a snapshot gets it with the next tick, together with others:
    /// when many come back at once, it is made and encoded once.
    pub fn subscribe(&mut self, now: u64, subscriber: u64, packet: &Packet) {
        self.now = self.now.max(now);
        let Packet::Subscribe {
            balancer,
            epoch,
            offset,
            index,
        } = packet
        else {
            return;
        };
        self.tell_events();
        let balancer = balancer.clone();
        match self.journal.tail(*epoch, *offset) {
            Some(events) => {
                let packet = Packet::Events {
                    offset: self.journal.end(),
                    events,
                };
                self.subscribers.insert(subscriber, Subscriber { balancer });
                self.begin_feed(vec![subscriber], packet);
            }
            None => self.newcomers.push(Newcomer {
                subscriber,
                balancer,
                index: *index,
            }),
        }
    }

    /// Balancers that wait for a snapshot get one.
    pub(super) fn admit_newcomers(&mut self) {
        let newcomers = std::mem::take(&mut self.newcomers);
        let Some(index) = newcomers.iter().map(|newcomer| newcomer.index).min() else {
            return;
        };
        self.tell_events();
        let packet = self.snapshot(index);
        let admitted: Vec<u64> = newcomers
            .iter()
            .map(|newcomer| newcomer.subscriber)
            .collect();
        for Newcomer {
            subscriber,
            balancer,
            ..
        } in newcomers
        {
            self.subscribers.insert(subscriber, Subscriber { balancer });
        }
        self.begin_feed(admitted, packet);
    }

    /// Tells readers what they begin with, and how this machine stands.
    fn begin_feed(&mut self, subscribers: Vec<u64>, beginning: Packet) {
        let (status, balancing) = (self.status(), Packet::ActiveBalancers(self.balancing()));
        for packet in [beginning, status, balancing] {
            self.actions.push(Action::Deliver {
                subscribers: subscribers.clone(),
                packet,
            });
        }
    }

    /// All that a reader needs who has applied the configuration's log up to a position.
    fn snapshot(&self, index: u64) -> Packet {
        let state = if self.state.index > index {
            self.state.encode()
        } else {
            Vec::new()
        };
        let (epoch, offset) = (self.journal.epoch(), self.journal.end());
        Packet::Snapshot {
            epoch,
            offset,
            state,
            registrations: self.registry.all(self.now),
        }
    }

    /// A balancer's connection has ended.
    pub fn unsubscribe(&mut self, subscriber: u64) {
        self.subscribers.remove(&subscriber);
        self.newcomers
            .retain(|newcomer| newcomer.subscriber != subscriber);
    }

    /// The names of the balancers that read the feed here.
    pub fn subscriber_names(&self) -> impl Iterator<Item = &str> {
        self.subscribers
            .values()
            .map(|subscriber| subscriber.balancer.as_str())
    }

    /// Appends an event to the journal. Readers are told of orders at once, of registrations with the next tick: many come
    /// together when upstreams start.
    pub(super) fn publish(&mut self, event: FeedEvent) {
        let is_order = matches!(event, FeedEvent::Committed { .. });
        self.registry_version += u64::from(!is_order);
        self.journal.append(event);
        if is_order {
            self.tell_events();
        }
    }

    /// Tells readers what the journal has that they were not told.
    pub(super) fn tell_events(&mut self) {
        let offset = self.journal.end();
        if self.told == offset {
            return;
        }
        let packet = match self.journal.tail(self.journal.epoch(), self.told) {
            Some(events) => Packet::Events { offset, events },
            None => self.snapshot(0),
        };
        self.told = offset;
        self.tell_all(packet);
    }

    fn tell_all(&mut self, packet: Packet) {
        let subscribers: Vec<u64> = self.subscribers.keys().copied().collect();
        if !subscribers.is_empty() {
            self.actions.push(Action::Deliver {
                subscribers,
                packet,
            });
        }
    }

    /// The state was replaced by a snapshot: readers get it whole.
    pub(super) fn restore(&mut self, state: ControlState) {
        self.state = state;
        self.log_bytes = 0;
        // The journal lacks the orders that the snapshot covers: nobody may go on from an offset before it.
        self.journal.restart();
        self.told = self.journal.end();
        let packet = self.snapshot(0);
        self.tell_all(packet);
    }

    pub(super) fn tell_status(&mut self) {
        let balancing = self.balancing();
        if balancing != self.balancing {
            self.balancing = balancing.clone();
            self.tell_all(Packet::ActiveBalancers(balancing));
        }
        let status = self.status();
        self.tell_all(status);
    }

    fn status(&self) -> Packet {
        Packet::MachineStatus {
            in_quorum: self.in_quorum(),
            machines: self.machines(),
        }
    }

    /// The balancers that share budgets, by zone.
    fn balancing(&self) -> Vec<ZoneBalancers> {
        let mut zones: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for heartbeat in self.balancers.alive(self.now, BALANCER_COUNTS) {
            zones
                .entry(&heartbeat.zone)
                .or_default()
                .push(short_hash(&heartbeat.name));
        }
        let of_zone = |(zone, balancers): (&str, Vec<u32>)| ZoneBalancers {
            zone: zone.to_owned(),
            balancers,
        };
        zones.into_iter().map(of_zone).collect()
    }
}
