//! Progress of virtual time: dispatches scheduled events, and updates connections periodically.

use super::Cluster;
use super::event::Event;
use woadstall_control_simulation::NodeIndex;
use woadstall_control_simulation::disk::Synced;
use woadstall_control_simulation::network::{Link, PacketId};

/// Interval of the ticks of a process, in milliseconds.
pub(super) const TICK_MS: u64 = 50;
/// Interval of connection updates, in milliseconds.
const CONNECTION_UPDATE_MS: u64 = 50;
/// Latency of a packet that a partition held back, from the end of the partition, in milliseconds.
const RELEASE_LATENCY_MS: u64 = 1;
/// Interval of state comparisons, in milliseconds.
const STATE_COMPARISON_MS: u64 = 2_000;

impl Cluster {
    /// Advances virtual time by `duration_ms` and handles all events that become due.
    pub fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.step_until(end_ms) {}
        self.now_ms = end_ms;
    }

    /// Handles the next event, if it is due by `until_ms`. Returns whether there was one.
    pub fn step_until(&mut self, until_ms: u64) -> bool {
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
            | Event::Deadline { .. }
            | Event::Request { .. } => self.handle_on_process(event),
            Event::Sync { node, incarnation } => self.sync(node, incarnation),
            Event::Resume { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && !self.is_frozen(node) {
                    self.resume(node);
                }
            }
            Event::Start { node } => self.start(node),
            Event::Stop { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation {
                    self.end(node, 0);
                }
            }
            Event::EndPartition { number } => self.end_partition(number),
            Event::UpdateConnections => {
                self.update_connections();
                self.schedule(CONNECTION_UPDATE_MS, Event::UpdateConnections);
            }
            Event::Answer { operation, answer } => self.deliver_answer(operation, answer),
            Event::ClientTimer { client, number } => self.on_client_timer(client, number),
            Event::CompareStates => {
                self.compare_states();
                self.schedule(STATE_COMPARISON_MS, Event::CompareStates);
            }
        }
    }

    /// Handles an event for a process. A frozen process gets the event when it resumes.
    fn handle_on_process(&mut self, event: Event) {
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
                self.with_process(link.from, |process, now_ms| {
                    process.connection_established(now_ms, &address)
                });
            }
            Event::Persisted { sequence, .. } => {
                self.with_process(node, |process, now_ms| process.persisted(now_ms, sequence));
            }
            Event::Tick { node, incarnation } => {
                self.with_process(node, |process, now_ms| process.tick(now_ms));
                self.schedule(TICK_MS, Event::Tick { node, incarnation });
            }
            Event::Deadline { .. } => {
                self.nodes[node].deadline_ms = None;
                self.with_process(node, |process, now_ms| process.tick(now_ms));
            }
            Event::Request { operation } => self.submit(operation),
            _ => {}
        }
    }

    /// The node whose process receives an event; `None` if that process has ended, in which case
    /// the event is discarded.
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
            | Event::Deadline { node, incarnation } => (*node, Some(*incarnation)),
            Event::Request { operation } => (self.history.operations[*operation].node, None),
            _ => return None,
        };
        let host = &self.nodes[node];
        let is_running = host.process.is_some()
            && incarnation.is_none_or(|incarnation| incarnation == host.incarnation);
        if !is_running {
            self.discard(event);
        }
        is_running.then_some(node)
    }

    /// Discards an event for a process that has ended. The client of a discarded request is
    /// disconnected.
    fn discard(&mut self, event: &Event) {
        match event {
            Event::Delivery { packet, .. } => {
                self.packets.remove(packet);
            }
            Event::Request { operation } => self.refuse_connection(*operation),
            _ => {}
        }
    }

    /// Resumes a frozen process, which handles the events that arrived meanwhile. In half of the
    /// cases its own timers run before these events.
    pub(super) fn resume(&mut self, node: NodeIndex) {
        if self.random.bool() {
            self.with_process(node, |process, now_ms| process.tick(now_ms));
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
        self.with_process(link.to, |process, now_ms| {
            process.receive_packet(now_ms, &from, packet);
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

    /// Schedules the next deadline of a process, unless an earlier one is scheduled.
    pub(super) fn schedule_deadline(&mut self, node: NodeIndex) {
        let host = &mut self.nodes[node];
        let Some(deadline) = host.process.as_ref().and_then(|process| process.next_due()) else {
            return;
        };
        let deadline_ms = (host.started_ms + deadline).max(self.now_ms);
        if host
            .deadline_ms
            .is_some_and(|scheduled| scheduled <= deadline_ms)
        {
            return;
        }
        host.deadline_ms = Some(deadline_ms);
        let incarnation = host.incarnation;
        self.events
            .schedule(deadline_ms, Event::Deadline { node, incarnation });
    }

    /// Delivers packets whose partition has ended, resets connections that have timed out, and
    /// establishes the connections that processes ask for.
    fn update_connections(&mut self) {
        for (link, packets) in self.network.take_released() {
            for packet in packets {
                self.schedule_delivery(RELEASE_LATENCY_MS, link, packet);
            }
        }
        for link in self.network.timed_out(self.now_ms) {
            self.reset_connection(link);
        }
        for from in 0..self.nodes.len() {
            if self.nodes[from].process.is_none() || self.is_frozen(from) {
                continue;
            }
            let addresses: Vec<String> = self.nodes[from]
                .wanted_connections
                .iter()
                .cloned()
                .collect();
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

    /// Resets a connection. The packets that it held back arrive late, over the closed connection.
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

    /// Schedules the delivery of a packet to the current process of the receiving node.
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
