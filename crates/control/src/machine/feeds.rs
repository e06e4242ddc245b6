//! The change feeds to which balancers subscribe. A subscriber receives a snapshot or the events
//! since its offset, and then each new event.

use super::{Action, ControlMachine};
use crate::feed::{EventJournal, FeedEvent};
use crate::shards::short_hash;
use crate::state::ControlState;
use crate::wire::{Packet, SubscribeRequest, ZoneBalancers};
use std::collections::BTreeMap;

/// The time in milliseconds after its last heartbeat for which a balancer counts as active, that
/// is, as one of those that share retry budgets and quotas.
const ACTIVE_BALANCER_TIMEOUT_MS: u64 = 10_000;

#[derive(Clone, Debug)]
pub(super) struct Subscriber {
    /// The balancer's name.
    pub balancer: String,
}

/// A subscribing balancer that has not been sent its snapshot yet.
#[derive(Clone, Debug)]
struct PendingSubscriber {
    subscriber: u64,
    balancer: String,
    /// The log index up to which the balancer has applied the configuration log.
    applied_index: u64,
}

/// The event journal and its subscribers.
#[derive(Debug)]
pub(super) struct Feeds {
    journal: EventJournal,
    /// The end offset of the events that have been sent to the subscribers.
    delivered_offset: u64,
    /// The subscribers, keyed by connection number.
    pub subscribers: BTreeMap<u64, Subscriber>,
    pending: Vec<PendingSubscriber>,
    /// The active balancers, as last sent to the subscribers.
    active_balancers: Vec<ZoneBalancers>,
}

impl Feeds {
    /// Creates a feed without events. The epoch must differ from the epochs of all earlier
    /// processes of this machine.
    pub fn new(epoch: u64) -> Self {
        Self {
            journal: EventJournal::new(epoch),
            delivered_offset: 0,
            subscribers: BTreeMap::new(),
            pending: Vec::new(),
            active_balancers: Vec::new(),
        }
    }
}

impl ControlMachine {
    /// Handles a balancer's subscription on a connection. Snapshots are sent on the next tick, so
    /// that a single snapshot is built and encoded when many balancers reconnect at the same time.
    pub fn subscribe(&mut self, now_ms: u64, subscriber: u64, request: SubscribeRequest) {
        self.advance_clock(now_ms);
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

    /// Sends one shared snapshot to all balancers that wait for one.
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

    /// Sends new subscribers their first packet (a snapshot or events), the status of this machine,
    /// and the active balancers.
    fn start_feed(&mut self, subscribers: &[u64], first_packet: Packet) {
        let status = self.machine_status();
        let active = Packet::ActiveBalancers(self.active_balancers());
        for packet in [first_packet, status, active] {
            let subscribers = subscribers.to_vec();
            self.actions.push(Action::Deliver {
                subscribers,
                packet,
            });
        }
    }

    /// Builds a snapshot for balancers that have applied the configuration log up to
    /// `applied_index`. The state is left empty if it is not newer than that.
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
            registrations: self.registry.all(self.now_ms),
        }
    }

    /// Removes the subscription of a closed connection.
    pub fn unsubscribe(&mut self, subscriber: u64) {
        self.feeds.subscribers.remove(&subscriber);
        self.feeds
            .pending
            .retain(|pending| pending.subscriber != subscriber);
    }

    /// Returns the names of the balancers that are subscribed to this machine.
    pub fn subscriber_names(&self) -> impl Iterator<Item = &str> {
        self.feeds
            .subscribers
            .values()
            .map(|subscriber| subscriber.balancer.as_str())
    }

    /// Appends an event to the journal. Commands are sent to the subscribers immediately,
    /// registrations on the next tick, because many registrations arrive together when upstreams
    /// start.
    pub(super) fn publish(&mut self, event: FeedEvent) {
        let is_command = matches!(event, FeedEvent::Committed { .. });
        self.feeds.journal.append(event);
        if is_command {
            self.deliver_events();
        } else {
            self.registry_version += 1;
        }
    }

    /// Sends the subscribers all journal events that have not been sent yet.
    pub(super) fn deliver_events(&mut self) {
        let journal = &self.feeds.journal;
        let offset = journal.end_offset();
        if self.feeds.delivered_offset == offset {
            return;
        }
        let packet = match journal.events_since(journal.epoch(), self.feeds.delivered_offset) {
            Some(events) => Packet::Events { offset, events },
            None => self.snapshot_for(0),
        };
        self.feeds.delivered_offset = offset;
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

    /// Replaces the state by one from a snapshot of the log, and sends the complete state to all
    /// subscribers.
    pub(super) fn restore_state(&mut self, state: ControlState) {
        self.state = state;
        self.log_bytes = 0;
        // The journal lacks the commands covered by the snapshot, so no balancer may resume from an
        // earlier offset.
        self.feeds.journal.reset();
        self.feeds.delivered_offset = self.feeds.journal.end_offset();
        let snapshot = self.snapshot_for(0);
        self.deliver_to_all(snapshot);
    }

    /// Sends subscribers the status of this machine. If the set of active balancers has changed,
    /// the new set is sent first.
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

    /// Returns the active balancers, grouped by zone.
    fn active_balancers(&self) -> Vec<ZoneBalancers> {
        let mut zones: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for heartbeat in self
            .balancers
            .alive(self.now_ms, ACTIVE_BALANCER_TIMEOUT_MS)
        {
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
