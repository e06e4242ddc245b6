//! Outgoing messages and the updates piggybacked on them (SWIM, section 4.1).

use super::Node;
use crate::event::OutgoingMessage;
use crate::member::Member;
use crate::message::{Body, MemberUpdate, Message, encoded_size};
use crate::metadata::{MemberMetadata, Name};
use crate::paths::PathState;
use crate::status::{MemberState, MemberStatus};
use crate::time::Timestamp;
use std::net::SocketAddr;

/// Nanoseconds between two rounds of gossip messages, which only carry updates.
pub(super) const GOSSIP_INTERVAL_NS: u64 = 100_000_000;
/// Number of gossip intervals between two rounds without urgent updates. Most non-urgent updates
/// are piggybacked on probes.
const RELAXED_INTERVALS: u64 = 5;
/// Number of members that receive each round of urgent updates.
pub(super) const FANOUT: usize = 3;
/// Bytes of a message taken by the version and by the counts of updates and records.
const FRAMING_BYTES: usize = 8;

impl Node {
    /// Whether any member or record updates are queued.
    pub(super) fn has_queued_updates(&self) -> bool {
        !self.gossip.is_empty() || self.records.has_queued()
    }

    /// Enqueues a member update, replacing an earlier update of the same member.
    pub(super) fn gossip_update(&mut self, update: MemberUpdate) {
        let bytes = encoded_size(&update);
        let name = update.metadata.name.clone();
        self.gossip.enqueue(name, update, bytes, 0);
    }

    /// The local member's own status as an update.
    pub(super) fn own_update(&self) -> MemberUpdate {
        let status = MemberStatus {
            generation: self.local.generation,
            incarnation: self.incarnation,
            state: MemberState::Alive,
        };
        MemberUpdate {
            metadata: self.local.clone(),
            status,
            by: None,
        }
    }

    /// Sends queued updates to a few random members.
    pub(super) fn send_gossip(&mut self, now: Timestamp) {
        let is_urgent = !self.gossip.is_empty() || self.records.has_urgent();
        let (interval, receivers) = match is_urgent {
            true => (GOSSIP_INTERVAL_NS, FANOUT),
            false => (RELAXED_INTERVALS * GOSSIP_INTERVAL_NS, 1),
        };
        self.next_gossip_at = now + interval;
        for to in self.random_reachable_members(now, receivers) {
            self.send(now, &to, Body::Gossip);
        }
    }

    /// Up to `max` random members of the fleet, excluding members to which the outbound direction
    /// is known to be partitioned, since messages to them would be lost.
    pub(super) fn random_reachable_members(
        &mut self,
        now: Timestamp,
        max: usize,
    ) -> Vec<MemberMetadata> {
        let (lifetime_ns, plain_swim) = (self.observation_lifetime_ns(), self.settings.plain_swim);
        self.random_members(max, |member| {
            let outbound = member.paths.outbound(now, lifetime_ns);
            member.is_present() && (plain_swim || outbound != PathState::Partitioned)
        })
    }

    /// Announces the leave of the local member. After the resulting messages, the node sends no
    /// more.
    pub fn leave(&mut self, now: Timestamp) {
        if std::mem::replace(&mut self.has_left, true) {
            return;
        }
        let status = MemberStatus::left(self.local.generation);
        self.gossip_update(MemberUpdate {
            metadata: self.local.clone(),
            status,
            by: None,
        });
        for to in self.random_members(3 * FANOUT, Member::is_present) {
            self.send(now, &to, Body::Gossip);
        }
    }

    /// Requests the complete state of a few known members, and of the seeds until the first
    /// synchronization.
    pub(super) fn request_state(&mut self, now: Timestamp) {
        let known = self.random_members(FANOUT, |member| member.status.state != MemberState::Left);
        for to in &known {
            self.send(now, to, Body::StateRequest);
        }
        if !known.is_empty() && self.is_synced {
            return;
        }
        let message = self.message(None, Body::StateRequest);
        for seed in self.seeds.clone() {
            if seed != self.local.address {
                self.enqueue(seed, &message, false);
            }
        }
    }

    /// Builds a message without piggybacked updates.
    pub(super) fn message(&self, to: Option<&MemberMetadata>, body: Body) -> Message {
        Message {
            from: self.local.clone(),
            incarnation: self.incarnation,
            to: to.map(|to| (to.name.clone(), to.generation)),
            body,
            updates: Vec::new(),
            records: Vec::new(),
        }
    }

    /// Sends a message with as many queued updates as fit into a datagram.
    pub(super) fn send(&mut self, now: Timestamp, to: &MemberMetadata, body: Body) {
        self.send_about(now, to, body, None);
    }

    /// Sends a message with as many queued updates as fit into a datagram, beginning with the
    /// status of `subject`, the member that the message concerns. A relay thereby learns of claims
    /// against its target, and the origin of a probe learns of the target's refutation, so that a
    /// single lost update does not leave the target suspected.
    pub(super) fn send_about(
        &mut self,
        now: Timestamp,
        to: &MemberMetadata,
        body: Body,
        subject: Option<&Name>,
    ) {
        let mut message = self.message(Some(to), body);
        let max_transmissions = self.max_transmissions();
        let max_bytes = self.settings.max_datagram_bytes;
        let mut bytes_left = max_bytes.saturating_sub(encoded_size(&message) + FRAMING_BYTES);
        for update in self.direct_updates(to, subject) {
            bytes_left = bytes_left.saturating_sub(encoded_size(&update));
            message.updates.push(update);
        }
        let queued = self.gossip.take(bytes_left, max_transmissions);
        let queued_bytes: usize = queued.iter().map(encoded_size).sum();
        bytes_left -= queued_bytes.min(bytes_left);
        message.updates.extend(queued);
        let settings = &self.settings;
        message.records = self
            .records
            .take(now, bytes_left, max_transmissions, settings);
        let is_empty = message.updates.is_empty() && message.records.is_empty();
        if message.body == Body::Gossip && is_empty {
            return;
        }
        self.enqueue(to.address, &message, false);
    }

    /// Updates that a message carries regardless of the queue: the receiver's own status if other
    /// than alive, so that the receiver can refute it, and the status of the member `subject`.
    fn direct_updates(&self, to: &MemberMetadata, subject: Option<&Name>) -> Vec<MemberUpdate> {
        if self.settings.plain_swim {
            return Vec::new();
        }
        let receiver = self.members.get(&to.name);
        let receiver = receiver.filter(|member| !member.is_alive());
        let subject = subject.and_then(|name| self.members.get(name));
        receiver
            .into_iter()
            .chain(subject)
            .map(Member::status_update)
            .collect()
    }

    /// Number of transmissions of each update.
    fn max_transmissions(&self) -> u32 {
        let size = (self.members.len() + 2) as f64;
        let transmissions = self.settings.retransmit_multiplier * size.log10();
        transmissions.ceil().max(1.0) as u32
    }

    /// Encodes a message and queues it for the caller.
    pub(super) fn enqueue(&mut self, to: SocketAddr, message: &Message, reliable: bool) {
        let bytes = message.encode();
        self.counters.messages_sent += 1;
        self.counters.bytes_sent += bytes.len() as u64;
        self.outgoing.push_back(OutgoingMessage {
            to,
            bytes,
            reliable,
        });
    }
}
