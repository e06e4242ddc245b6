//! The feeds that balancers subscribe to: a snapshot or the events since an offset, then each event
//! as it comes.

use super::{Action, ControlMachine};
use crate::feed::{EventJournal, FeedEvent};
use crate::shards::short_hash;
use crate::state::ControlState;
use crate::wire::{Packet, SubscribeRequest, ZoneBalancers};
use std::collections::BTreeMap;

/// The time in milliseconds for which a balancer counts among those that share budgets after it was
/// last heard of.
const BUDGET_MEMBER_TIMEOUT_MS: u64 = 10_000;

/// A balancer that is subscribed to the feed.
#[derive(Clone, Debug)]
pub(super) struct Subscriber {
    /// The balancer's name.
    pub balancer: String,
}

/// A balancer that waits for a snapshot.
#[derive(Clone, Debug)]
struct PendingSubscriber {
    subscriber: u64,
    balancer: String,
    /// The position up to which it has applied the configuration's log.
    applied_index: u64,
}

/// The journal of events and its subscribers.
#[derive(Debug)]
pub(super) struct Feeds {
    journal: EventJournal,
    /// The offset up to which the subscribers have got the events.
    delivered: u64,
    /// Subscribers by the numbers of their connections.
    pub subscribers: BTreeMap<u64, Subscriber>,
    pending: Vec<PendingSubscriber>,
    /// The balancers that share budgets, as the subscribers were last notified.
    active_balancers: Vec<ZoneBalancers>,
}

impl Feeds {
    /// A feed without events. The epoch must differ from that of any earlier process of the
    /// machine.
    pub fn new(epoch: u64) -> Self {
        Self {
            journal: EventJournal::new(epoch),
            delivered: 0,
            subscribers: BTreeMap::new(),
            pending: Vec::new(),
            active_balancers: Vec::new(),
        }
    }
}

impl ControlMachine {
    /// A balancer subscribes on a connection. One that needs a snapshot gets it with the next tick,
    /// together with others: when many come back at once, it is made and encoded once.
    pub fn subscribe(&mut self, now: u64, subscriber: u64, request: SubscribeRequest) {
        self.advance_clock(now);
        self.deliver_events();
        let SubscribeRequest {
            balancer,
            epoch,
            offset,
            applied_index,
        } = request;
        match self.feeds.journal.events_since(epoch, offset) {
            Some(events) => {
                let offset = self.feeds.journal.end_offset();
                self.feeds
                    .subscribers
                    .insert(subscriber, Subscriber { balancer });
                self.start_feed(&[subscriber], Packet::Events { offset, events });
            }
            None => {
                let pending = PendingSubscriber {
                    subscriber,
                    balancer,
                    applied_index,
                };
                self.feeds.pending.push(pending);
            }
        }
    }

    /// Balancers that wait for a snapshot get one, the same for all.
    pub(super) fn deliver_snapshots(&mut self) {
        let pending = std::mem::take(&mut self.feeds.pending);
        let Some(applied_index) = pending.iter().map(|pending| pending.applied_index).min() else {
            return;
        };
        self.deliver_events();
        let snapshot = self.snapshot_for(applied_index);
        let admitted: Vec<u64> = pending.iter().map(|pending| pending.subscriber).collect();
        for PendingSubscriber {
            subscriber,
            balancer,
            ..
        } in pending
        {
            self.feeds
                .subscribers
                .insert(subscriber, Subscriber { balancer });
        }
        self.start_feed(&admitted, snapshot);
    }

    /// Sends new subscribers what they begin with, the status of this machine, and the balancers
    /// that share budgets.
    fn start_feed(&mut self, subscribers: &[u64], first: Packet) {
        let status = self.machine_status();
        let active = Packet::ActiveBalancers(self.active_balancers());
        for packet in [first, status, active] {
            let subscribers = subscribers.to_vec();
            self.actions.push(Action::Deliver {
                subscribers,
                packet,
            });
        }
    }

    /// All that a balancer needs that has applied the configuration's log up to a position.
    fn snapshot_for(&self, applied_index: u64) -> Packet {
        let is_behind = self.state.index > applied_index;
        Packet::Snapshot {
            epoch: self.feeds.journal.epoch(),
            offset: self.feeds.journal.end_offset(),
            state: if is_behind {
                self.state.encode()
            } else {
                Vec::new()
            },
            registrations: self.registry.all(self.now),
        }
    }

    /// A balancer's connection has ended.
    pub fn unsubscribe(&mut self, subscriber: u64) {
        self.feeds.subscribers.remove(&subscriber);
        self.feeds
            .pending
            .retain(|pending| pending.subscriber != subscriber);
    }

    /// The names of the balancers that are subscribed here.
    pub fn subscriber_names(&self) -> impl Iterator<Item = &str> {
        self.feeds
            .subscribers
            .values()
            .map(|subscriber| subscriber.balancer.as_str())
    }

    /// Appends an event to the journal. Subscribers get commands at once, registrations with the
    /// next tick: many come together when upstreams start.
    pub(super) fn publish(&mut self, event: FeedEvent) {
        let is_command = matches!(event, FeedEvent::Committed { .. });
        self.feeds.journal.append(event);
        if is_command {
            self.deliver_events();
        } else {
            self.registry_version += 1;
        }
    }

    /// Sends the subscribers the events of the journal that they have not got.
    pub(super) fn deliver_events(&mut self) {
        let journal = &self.feeds.journal;
        let offset = journal.end_offset();
        if self.feeds.delivered == offset {
            return;
        }
        let packet = match journal.events_since(journal.epoch(), self.feeds.delivered) {
            Some(events) => Packet::Events { offset, events },
            None => self.snapshot_for(0),
        };
        self.feeds.delivered = offset;
        self.deliver_to_all(packet);
    }

    fn deliver_to_all(&mut self, packet: Packet) {
        let subscribers: Vec<u64> = self.feeds.subscribers.keys().copied().collect();
        if !subscribers.is_empty() {
            self.actions.push(Action::Deliver {
                subscribers,
                packet,
            });
        }
    }

    /// The state was replaced by a snapshot of the log: subscribers get it complete.
    pub(super) fn restore_state(&mut self, state: ControlState) {
        self.state = state;
        self.log_bytes = 0;
        // The journal lacks the commands that the snapshot covers: nobody may go on from an offset
        // before it.
        self.feeds.journal.reset();
        self.feeds.delivered = self.feeds.journal.end_offset();
        let snapshot = self.snapshot_for(0);
        self.deliver_to_all(snapshot);
    }

    /// Sends subscribers the status of this machine, after the balancers that share budgets where
    /// these have changed.
    pub(super) fn deliver_status(&mut self) {
        let active = self.active_balancers();
        if active != self.feeds.active_balancers {
            self.feeds.active_balancers.clone_from(&active);
            self.deliver_to_all(Packet::ActiveBalancers(active));
        }
        let status = self.machine_status();
        self.deliver_to_all(status);
    }

    fn machine_status(&self) -> Packet {
        Packet::MachineStatus {
            in_quorum: self.in_quorum(),
            machines: self.machines(),
        }
    }

    /// The balancers that share budgets, by zone.
    fn active_balancers(&self) -> Vec<ZoneBalancers> {
        let mut zones: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for heartbeat in self.balancers.alive(self.now, BUDGET_MEMBER_TIMEOUT_MS) {
            zones
                .entry(&heartbeat.zone)
                .or_default()
                .push(short_hash(&heartbeat.name));
        }
        let of_zone = |(zone, balancers): (&str, Vec<u32>)| {
            let zone = zone.to_owned();
            ZoneBalancers { zone, balancers }
        };
        zones.into_iter().map(of_zone).collect()
    }
}
