//! The passing of time: events of the queue, and connections that come up and time out.

use super::Cluster;
use super::event::Event;
use woadstall_control_simulation::NodeIndex;
use woadstall_control_simulation::disk::Synced;
use woadstall_control_simulation::network::{Link, PacketId};

/// How often processes tick, in milliseconds.
pub(super) const TICK_MS: u64 = 50;
/// How often connections are looked after, in milliseconds.
const CONNECTIONS_MS: u64 = 50;
/// How long a packet takes that a partition has held back, once the partition ends, in
/// milliseconds.
const RELEASE_MS: u64 = 1;
/// How often the states of the machines are compared, in milliseconds.
const COMPARE_MS: u64 = 2_000;

impl Cluster {
    /// Lets some milliseconds pass.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.step(end_ms) {}
        self.now_ms = end_ms;
    }

    /// Handles the next event, if it is no later than `until_ms`.
    pub fn step(&mut self, until_ms: u64) -> bool {
        let Some((at_ms, event)) = self.events.pop_until(until_ms) else {
            return false;
        };
        self.now_ms = self.now_ms.max(at_ms);
        self.handle(event);
        true
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Delivery { .. }
            | Event::LinkUp { .. }
            | Event::Persisted { .. }
            | Event::Tick { .. }
            | Event::Due { .. }
            | Event::Request { .. } => self.handle_by_process(event),
            Event::Sync { node, incarnation } => self.sync(node, incarnation),
            Event::Thaw { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && !self.is_frozen(node) {
                    self.thaw(node);
                }
            }
            Event::Start { node } => self.start(node),
            Event::Stop { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation {
                    self.end(node, 0);
                }
            }
            Event::EndPartition { number } => self.end_partition(number),
            Event::Connections => {
                self.update_connections();
                self.schedule(CONNECTIONS_MS, Event::Connections);
            }
            Event::Answer { operation, answer } => self.deliver_answer(operation, answer),
            Event::Wake { client, number } => self.wake(client, number),
            Event::CompareStates => {
                self.compare_states();
                self.schedule(COMPARE_MS, Event::CompareStates);
            }
        }
    }

    /// An event for a process; a frozen one handles it when it goes on.
    fn handle_by_process(&mut self, event: Event) {
        let Some(node) = self.receiver_of(&event) else {
            return;
        };
        if self.is_frozen(node) {
            self.nodes[node].inbox.push_back(event);
            return;
        }
        match event {
            Event::Delivery { link, packet, .. } => self.deliver(link, packet),
            Event::LinkUp { link, .. } => {
                let address = self.nodes[link.to].address.clone();
                self.call(link.from, |process, now| {
                    process.connection_established(now, &address)
                });
            }
            Event::Persisted { sequence, .. } => {
                self.call(node, |process, now| process.persisted(now, sequence));
            }
            Event::Tick { node, incarnation } => {
                self.call(node, |process, now| process.tick(now));
                self.schedule(TICK_MS, Event::Tick { node, incarnation });
            }
            Event::Due { .. } => {
                self.nodes[node].due_ms = None;
                self.call(node, |process, now| process.tick(now));
            }
            Event::Request { operation } => self.submit(operation),
            _ => {}
        }
    }

    /// The node whose process an event is for; `None` if that process has ended.
    fn receiver_of(&mut self, event: &Event) -> Option<NodeIndex> {
        let (node, incarnation) = match event {
            Event::Delivery {
                link, incarnation, ..
            } => (link.to, *incarnation),
            Event::LinkUp { link, incarnation } => (link.from, Some(*incarnation)),
            Event::Persisted {
                node, incarnation, ..
            }
            | Event::Tick { node, incarnation }
            | Event::Due { node, incarnation } => (*node, Some(*incarnation)),
            Event::Request { operation } => (self.history.operations[*operation].node, None),
            _ => return None,
        };
        let host = &self.nodes[node];
        let runs = host.process.is_some()
            && incarnation.is_none_or(|incarnation| incarnation == host.incarnation);
        if !runs {
            self.discard(event);
        }
        runs.then_some(node)
    }

    /// An event has come to a process that has ended.
    fn discard(&mut self, event: &Event) {
        match event {
            Event::Delivery { packet, .. } => {
                self.packets.remove(packet);
            }
            Event::Request { operation } => self.refuse_connection(*operation),
            _ => {}
        }
    }

    /// A frozen process goes on: it handles what has arrived, perhaps after its own timers.
    pub(super) fn thaw(&mut self, node: NodeIndex) {
        if self.random.bool() {
            self.call(node, |process, now| process.tick(now));
        }
        for event in std::mem::take(&mut self.nodes[node].inbox) {
            self.handle(event);
        }
    }

    fn deliver(&mut self, link: Link, packet: PacketId) {
        let Some(packet) = self.packets.remove(&packet) else {
            return;
        };
        let from = self.nodes[link.from].address.clone();
        self.call(link.to, |process, now| {
            process.receive_packet(now, &from, packet);
        });
    }

    fn sync(&mut self, node: NodeIndex, incarnation: u64) {
        let host = &mut self.nodes[node];
        if host.incarnation != incarnation || host.process.is_none() {
            return;
        }
        if self.now_ms < host.disk.stalled_until_ms {
            let until_ms = host.disk.stalled_until_ms;
            self.events
                .schedule(until_ms, Event::Sync { node, incarnation });
            return;
        }
        if let Some(Synced::Records(sequence)) = host.disk.sync(self.now_ms) {
            let persisted = Event::Persisted {
                node,
                incarnation,
                sequence,
            };
            self.schedule(0, persisted);
        }
    }

    /// Schedules the call that a process has asked for.
    pub(super) fn schedule_due(&mut self, node: NodeIndex) {
        let host = &mut self.nodes[node];
        let Some(due) = host.process.as_ref().and_then(|process| process.next_due()) else {
            return;
        };
        let due_ms = (host.started_ms + due).max(self.now_ms);
        if host.due_ms.is_some_and(|scheduled| scheduled <= due_ms) {
            return;
        }
        host.due_ms = Some(due_ms);
        let incarnation = host.incarnation;
        self.events
            .schedule(due_ms, Event::Due { node, incarnation });
    }

    /// Delivers packets whose partition has ended, resets connections that have timed out, and
    /// establishes others.
    fn update_connections(&mut self) {
        for (link, packets) in self.network.take_released() {
            for packet in packets {
                self.schedule_delivery(RELEASE_MS, link, packet);
            }
        }
        for link in self.network.timed_out(self.now_ms) {
            self.reset_connection(link);
        }
        for from in 0..self.nodes.len() {
            if self.nodes[from].process.is_none() || self.is_frozen(from) {
                continue;
            }
            let addresses: Vec<String> = self.nodes[from].connected.iter().cloned().collect();
            for address in addresses {
                self.connect(from, &address);
            }
        }
    }

    fn connect(&mut self, from: NodeIndex, address: &str) {
        let Some(to) = self.node_at(address) else {
            return;
        };
        let link = Link { from, to };
        if self.nodes[to].process.is_some() && self.network.connect(self.now_ms, link) {
            let incarnation = self.nodes[from].incarnation;
            self.schedule(0, Event::LinkUp { link, incarnation });
        }
    }

    /// Resets a connection. Packets that it held back may still arrive, over the former connection.
    pub(super) fn reset_connection(&mut self, link: Link) {
        let packets = self.network.reset(self.now_ms, link);
        let delay_ms = self
            .random
            .u64(..self.network.conditions.delayed_delivery_ms);
        for packet in packets {
            let delivery = Event::Delivery {
                link,
                packet,
                incarnation: None,
            };
            self.schedule(delay_ms, delivery);
        }
    }

    /// Schedules the delivery of a packet to the process that runs at the link's end now.
    pub(super) fn schedule_delivery(&mut self, delay_ms: u64, link: Link, packet: PacketId) {
        let incarnation = Some(self.nodes[link.to].incarnation);
        let delivery = Event::Delivery {
            link,
            packet,
            incarnation,
        };
        self.schedule(delay_ms, delivery);
    }
}
