//! What is said about the local member. It alone may refute that, by a later incarnation of its
//! generation or, where that cannot be, by a later generation.

use super::Node;
use crate::event::Event;
use crate::message::MemberUpdate;
use crate::status::MemberState;
use crate::time::Timestamp;

/// Nanoseconds before the same generation of the local name is superseded again: two processes of
/// one name must not race.
const SUPERSEDE_INTERVAL: u64 = 10_000_000_000;
/// The most generations of the local name that are superseded.
const MAX_RIVAL_GENERATIONS: usize = 64;

impl Node {
    /// Handles an update about the local name.
    pub(super) fn handle_update_about_local(&mut self, now: Timestamp, update: &MemberUpdate) {
        let status = update.status;
        if status.generation == self.local.generation {
            self.refute(now, update);
        } else if status.generation > self.local.generation && status.state != MemberState::Left {
            // Of a former generation nothing matters: it is over.
            self.handle_rival(now, update);
        }
    }

    /// Refutes what is said against the local member, and a later incarnation than its own.
    fn refute(&mut self, now: Timestamp, update: &MemberUpdate) {
        let status = update.status;
        let is_own = status.state == MemberState::Alive && status.incarnation <= self.incarnation;
        if is_own || status.incarnation < self.incarnation || self.has_left {
            return;
        }
        match status.refuting_incarnation() {
            Some(incarnation) => self.incarnation = incarnation,
            // Somebody reports that it left.
            None => self.supersede(now, update),
        }
        if status.state != MemberState::Alive {
            self.local_health.degrade();
        }
        self.gossip_own_status();
    }

    /// A later generation of the local name: its own, of a clock that was set back since, or another
    /// process of the same name.
    fn handle_rival(&mut self, now: Timestamp, update: &MemberUpdate) {
        let id = update.status.generation.id;
        let superseded_at = self.rival_generations.get(&id).copied();
        if superseded_at.is_some() && update.status.state == MemberState::Alive {
            self.emit(Event::NameConflict {
                name: self.local.name.clone(),
                addresses: [self.local.address, update.metadata.address],
            });
        }
        let is_due = superseded_at.is_none_or(|at| now >= at.saturating_add(SUPERSEDE_INTERVAL));
        if is_due && self.rival_generations.len() < MAX_RIVAL_GENERATIONS {
            self.rival_generations.insert(id, now);
            self.supersede(now, update);
            self.gossip_own_status();
        }
    }

    /// Starts a later generation than the one of an update.
    fn supersede(&mut self, now: Timestamp, update: &MemberUpdate) {
        let later = update.status.generation.started_ms.saturating_add(1);
        let generation = &mut self.local.generation;
        generation.started_ms = later.max(generation.started_ms);
        self.incarnation = 0;
        self.records.republish(now, &self.local);
    }

    /// Enqueues the local member's own status.
    pub(super) fn gossip_own_status(&mut self) {
        self.gossip_update(self.own_update());
    }
}
