//! Incoming messages: decoding, merging of piggybacked updates, and dispatch by type.

use super::Node;
use super::gossip::GOSSIP_INTERVAL_NS;
use crate::message::{Body, MemberUpdate, Message, MessageError, RecordUpdate};
use crate::metadata::{Generation, MemberMetadata, Name};
use crate::status::{MemberState, MemberStatus};
use crate::time::Timestamp;

impl Node {
    /// Handles an incoming message. The sender is identified by the message itself, not by its
    /// source address.
    ///
    /// # Errors
    ///
    /// [`MessageError`] if the bytes are not a message. Such bytes change only the counters.
    pub fn receive(&mut self, now: Timestamp, bytes: &[u8]) -> Result<(), MessageError> {
        self.counters.messages_received += 1;
        let message = Message::decode(bytes, self.settings.max_record_bytes)
            .inspect_err(|_| self.counters.messages_rejected += 1)?;
        // Messages that were queued during a pause of the local process are old, so the pause must
        // be detected before they are processed.
        self.tick(now);
        if !self.has_left {
            self.handle(now, message);
        }
        Ok(())
    }

    fn handle(&mut self, now: Timestamp, message: Message) {
        let Message {
            from,
            incarnation,
            to,
            body,
            updates,
            records,
        } = message;
        let is_local_name = from.name == self.local.name;
        if is_local_name && from.generation == self.local.generation {
            return;
        }
        self.apply_update(now, sender_update(&from, incarnation));
        if is_local_name {
            return;
        }
        self.record_contact(now, &from);
        for update in updates {
            self.apply_update(now, update);
        }
        for record in records {
            self.receive_record(now, record);
        }
        if self.is_for_local(to) {
            self.dispatch(now, from, body);
        } else {
            // A generation must not answer messages addressed to a former generation of the same
            // name.
            self.gossip_update(self.own_update());
            self.send(now, &from, Body::Gossip);
        }
    }

    /// Whether a message addressed to `to` is for the local member's current generation.
    fn is_for_local(&self, to: Option<(Name, Generation)>) -> bool {
        to.is_none_or(|(name, generation)| {
            name == self.local.name && generation == self.local.generation
        })
    }

    /// Records that a message arrived directly from the sender.
    fn record_contact(&mut self, now: Timestamp, from: &MemberMetadata) {
        let member = self.members.get_mut(&from.name);
        let member = member.filter(|member| member.status.generation == from.generation);
        if let Some(member) = member {
            member.paths.record_received(now);
            member.last_reached_at = Some(now);
            member.connection_refused = false;
        }
    }

    fn receive_record(&mut self, now: Timestamp, record: RecordUpdate) {
        // Other members are not a source for the local member's own records. A record that has
        // expired here is not accepted again from a member that still holds it.
        let generation = match record.owner == self.local.name {
            true => None,
            false => self.retained_generation(&record.owner, now),
        };
        if self
            .records
            .receive(now, record, generation, &self.settings)
        {
            let soon = now + GOSSIP_INTERVAL_NS / 4;
            self.next_gossip_at = self.next_gossip_at.min(soon);
        }
    }

    fn dispatch(&mut self, now: Timestamp, from: MemberMetadata, body: Body) {
        match body {
            Body::Ping { sequence, origin } => self.handle_ping(now, &from, sequence, origin),
            Body::Ack {
                sequence,
                last_direct_sequence,
            } => self.handle_ack(now, &from, sequence, last_direct_sequence),
            Body::IndirectPing { sequence, target } => {
                self.handle_indirect_ping(now, from, sequence, target);
            }
            Body::RelayedAck {
                sequence,
                last_direct_sequence,
            } => self.handle_relayed_ack(now, &from, sequence, last_direct_sequence),
            Body::Nack { sequence } => self.handle_nack(sequence),
            Body::StateRequest => self.send_shards(now, &from, |_| true, false),
            Body::ShardDigests(digests) => self.handle_digests(now, &from, &digests),
            Body::ShardState {
                shards,
                wants_reply,
            } => self.handle_shards(now, &from, &shards, wants_reply),
            Body::Gossip => {}
        }
    }
}

/// The update about the sender that every message implies.
fn sender_update(from: &MemberMetadata, incarnation: u32) -> MemberUpdate {
    let status = MemberStatus {
        generation: from.generation,
        incarnation,
        state: MemberState::Alive,
    };
    MemberUpdate {
        metadata: from.clone(),
        status,
        by: None,
    }
}
