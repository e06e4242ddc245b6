//! A simulated balancer, which builds its state from the change feed of a control process.

use std::collections::BTreeMap;
use woadstall_control::feed::FeedEvent;
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_control::state::ControlState;
use woadstall_control::wire::Packet;

/// The state of a balancer, as built from its feed.
#[derive(Debug, Default)]
pub struct Balancer {
    /// The configuration state that the balancer routes by.
    pub state: ControlState,
    /// Statuses of upstreams, by upstream id.
    pub statuses: BTreeMap<String, UpstreamStatus>,
    /// The active generation after each packet of the feed.
    pub generations: Vec<u64>,
    /// Epoch of the feed's journal; offsets are only valid within an epoch.
    pub epoch: u64,
    /// Offset of the next event to read in the journal.
    pub offset: u64,
    /// Whether the control process last reported that it follows a leader with a quorum.
    pub in_quorum: bool,
}

impl Balancer {
    /// Applies a packet of the feed.
    ///
    /// # Panics
    ///
    /// If a snapshot cannot be decoded. Control processes send only valid snapshots.
    pub fn receive(&mut self, packet: Packet) {
        match packet {
            Packet::Snapshot {
                epoch,
                offset,
                state,
                registrations,
            } => {
                (self.epoch, self.offset) = (epoch, offset);
                self.replace_state(&state);
                registrations
                    .into_iter()
                    .for_each(|registration| self.register(registration));
            }
            Packet::Events { offset, events } => {
                self.offset = offset;
                events.into_iter().for_each(|event| self.apply(event));
            }
            Packet::MachineStatus { in_quorum, .. } => self.in_quorum = in_quorum,
            _ => {}
        }
        self.generations.push(self.state.generation());
    }

    /// Replaces the state by an encoded one, if the latter is newer. A feed sends an empty encoding
    /// if the balancer already has the state.
    fn replace_state(&mut self, encoded: &[u8]) {
        if encoded.is_empty() {
            return;
        }
        let state = ControlState::decode(encoded).expect("a control process's state is decodable");
        self.state.replace_if_newer(state);
    }

    fn apply(&mut self, event: FeedEvent) {
        match event {
            FeedEvent::Committed { index, command } => self.state.apply_if_newer(index, &command),
            FeedEvent::Registered(registration) => self.register(registration),
        }
    }

    fn register(&mut self, registration: Registration) {
        let status = self
            .statuses
            .entry(registration.id)
            .or_insert(registration.status);
        if *status != UpstreamStatus::Deregistered {
            *status = registration.status;
        }
    }
}
