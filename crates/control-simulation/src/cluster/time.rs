//! Progress of virtual time: handles scheduled events, ticks processes and updates connections.

use super::scheduled_event::ScheduledEvent;
use super::{Cluster, address};
use crate::NodeIndex;
use crate::digest::Observation;
use crate::disk::Synced;
use crate::network::{Link, PacketId};

/// Interval of the ticks of all processes, in milliseconds.
pub const TICK_MS: u64 = 50;
/// Duration of a disk sync, in milliseconds.
const SYNC_MS: u64 = 5;
/// Delay before rejected writes are retried, in milliseconds.
const SYNC_RETRY_MS: u64 = 200;
/// Latency of a packet that a partition held back, from the end of the partition, in milliseconds.
const RELEASE_LATENCY_MS: u64 = 1;

impl Cluster {
    /// Advances virtual time by `duration_ms`, rounded up to a whole tick, and handles all events
    /// that become due.
    pub fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            let next_tick_ms = self.now_ms + TICK_MS - self.now_ms % TICK_MS;
            while let Some((at_ms, event)) = self.events.pop_until(next_tick_ms) {
                self.now_ms = self.now_ms.max(at_ms);
                self.handle(event);
            }
            self.now_ms = next_tick_ms;
            self.update_connections();
            (0..self.len()).for_each(|node| self.tick(node));
        }
    }

    fn tick(&mut self, node: NodeIndex) {
        if self.is_paused(node) {
            return;
        }
        if let Some(process) = self.nodes[node].process.as_mut() {
            process.tick(self.now_ms);
            self.execute_actions(node);
        }
    }

    /// Delivers packets whose partition has ended, resets connections that have timed out, and
    /// establishes connections between all nodes that can reach each other.
    fn update_connections(&mut self) {
        for (link, packets) in self.network.take_released() {
            for packet in packets {
                self.schedule_delivery(RELEASE_LATENCY_MS, link, packet);
            }
        }
        for link in self.network.timed_out(self.now_ms) {
            let packets = self.network.reset(self.now_ms, link);
            self.schedule_delayed_deliveries(link, packets);
        }
        for from in 0..self.len() {
            for to in self.others(from) {
                self.connect(Link { from, to });
            }
        }
    }

    fn connect(&mut self, link: Link) {
        let both_run = self.process(link.from).is_some() && self.process(link.to).is_some();
        if !both_run || self.is_paused(link.from) || !self.network.connect(self.now_ms, link) {
            return;
        }
        self.observe(Observation::Connect, |digest| {
            digest.node(link.from).node(link.to)
        });
        self.call(link.from, |process, now_ms, _| {
            process.link_up(now_ms, &address(link.to))
        });
    }

    /// Schedules the late delivery of packets that a connection held back when it was reset, if the
    /// network conditions allow for late packets.
    fn schedule_delayed_deliveries(&mut self, link: Link, packets: Vec<PacketId>) {
        let max_delay_ms = self.network.conditions.delayed_delivery_ms;
        if max_delay_ms == 0 {
            return;
        }
        let delay_ms = self.random.u64(..max_delay_ms);
        for packet in packets {
            let delivery = ScheduledEvent::Delivery {
                link,
                packet,
                incarnation: None,
            };
            self.schedule(delay_ms, delivery);
        }
    }

    /// Schedules the delivery of a packet to the current process of the receiving node.
    pub(super) fn schedule_delivery(&mut self, delay_ms: u64, link: Link, packet: PacketId) {
        let incarnation = Some(self.nodes[link.to].incarnation);
        self.schedule(
            delay_ms,
            ScheduledEvent::Delivery {
                link,
                packet,
                incarnation,
            },
        );
    }

    /// Schedules the sync of a write that was just queued.
    pub(super) fn schedule_sync(&mut self, node: NodeIndex) {
        let incarnation = self.nodes[node].incarnation;
        self.schedule(SYNC_MS, ScheduledEvent::Sync { node, incarnation });
    }

    fn schedule(&mut self, delay_ms: u64, event: ScheduledEvent) {
        self.events.schedule(self.now_ms + delay_ms, event);
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Delivery {
                link,
                packet,
                incarnation,
            } => {
                self.deliver(link, packet, incarnation);
            }
            ScheduledEvent::Sync { node, incarnation } => self.sync(node, incarnation),
        }
    }

    fn deliver(&mut self, link: Link, packet: PacketId, incarnation: Option<u64>) {
        let host = &mut self.nodes[link.to];
        if incarnation.is_some_and(|incarnation| incarnation != host.incarnation) {
            return;
        }
        if self.now_ms < host.paused_until_ms {
            let delivery = ScheduledEvent::Delivery {
                link,
                packet,
                incarnation,
            };
            self.events.schedule(host.paused_until_ms, delivery);
            return;
        }
        let Some(process) = host.process.as_mut() else {
            return;
        };
        let packet = self.packets[packet].clone();
        if let Some(digest) = &mut self.digest {
            let observed = digest.observe(Observation::Receive, self.now_ms);
            observed
                .node(link.to)
                .node(link.from)
                .bytes(&packet.encode());
        }
        process.receive_packet(self.now_ms, &address(link.from), packet);
        self.execute_actions(link.to);
    }

    fn sync(&mut self, node: NodeIndex, incarnation: u64) {
        let host = &mut self.nodes[node];
        if host.incarnation != incarnation || host.process.is_none() {
            return;
        }
        let stalled_until_ms = host.disk.stalled_until_ms.max(host.paused_until_ms);
        if self.now_ms < stalled_until_ms {
            self.events
                .schedule(stalled_until_ms, ScheduledEvent::Sync { node, incarnation });
            return;
        }
        let synced = host.disk.sync(self.now_ms);
        self.observe_sync(node, synced);
        self.on_synced(node, synced);
        self.execute_actions(node);
    }

    /// Notifies the process of newly durable data, or schedules a retry of rejected writes.
    fn on_synced(&mut self, node: NodeIndex, synced: Option<Synced>) {
        let host = &mut self.nodes[node];
        let Some(process) = host.process.as_mut() else {
            return;
        };
        match synced {
            Some(Synced::Records(sequence)) => process.persisted(self.now_ms, sequence),
            Some(Synced::Registrations(number)) => {
                process.registrations_persisted(self.now_ms, number)
            }
            None if host.disk.has_rejected() || host.disk.queued() > 0 => {
                let incarnation = host.incarnation;
                self.schedule(SYNC_RETRY_MS, ScheduledEvent::Sync { node, incarnation });
            }
            None => {}
        }
    }
}
