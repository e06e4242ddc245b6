//! A balancer that folds the feeds of two control machines.

use std::collections::BTreeMap;
use woadstall_control::feed::FeedEvent;
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_control::state::ControlState;
use woadstall_control::wire::Packet;

/// What a balancer holds.
#[derive(Debug, Default)]
pub struct Front {
    /// The state that its requests go by.
    pub state: ControlState,
    /// The statuses of upstreams.
    pub statuses: BTreeMap<String, UpstreamStatus>,
    /// Versions in the order in which they came into force.
    pub generations: Vec<u64>,
    /// The feed's identity and how far it was read.
    pub epoch: u64,
    /// The position behind the last event that was read.
    pub offset: u64,
    /// Whether the feed that was heard last says that its machine holds a quorum.
    pub in_quorum: bool,
}

impl Front {
    /// Takes a packet of a feed.
    pub fn take(&mut self, packet: Packet) {
        match packet {
            Packet::Snapshot {
                epoch,
                offset,
                state,
                registrations,
            } => {
                (self.epoch, self.offset) = (epoch, offset);
                if !state.is_empty() {
                    let state =
                        ControlState::decode(&state).expect("a machine's state can be read");
                    self.state.replace_if_newer(state);
                }
                registrations
                    .into_iter()
                    .for_each(|registration| self.register(registration));
            }
            Packet::Events { offset, events } => {
                self.offset = offset;
                events.into_iter().for_each(|event| self.follow(event));
            }
            Packet::MachineStatus { in_quorum, .. } => self.in_quorum = in_quorum,
            _ => {}
        }
        self.generations.push(self.state.generation());
    }

    fn follow(&mut self, event: FeedEvent) {
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
