//! Refutation of claims about the local member. Only the member itself may refute a claim, by a
//! later incarnation of its generation or, if none is left, by a later generation.

use super::Node;
use crate::event::Event;
use crate::message::MemberUpdate;
use crate::status::MemberState;
use crate::time::Timestamp;

/// Minimum time in nanoseconds before the same generation of the local name is superseded again, so
/// that two processes with one name do not race.
const SUPERSEDE_INTERVAL_NS: u64 = 10_000_000_000;
/// Maximum number of generations of the local name that are superseded.
const MAX_RIVAL_GENERATIONS: usize = 64;

impl Node {
    /// Handles an update about the local member's name.
    pub(super) fn handle_update_about_local(&mut self, now: Timestamp, update: &MemberUpdate) {
        let status = update.status;
        if status.generation == self.local.generation {
            self.refute(now, update);
        } else if status.generation > self.local.generation && status.state != MemberState::Left {
            // Updates about former generations are obsolete and ignored.
            self.handle_rival(now, update);
        }
    }

    /// Refutes a claim against the local member, or a later incarnation than the local one.
    fn refute(&mut self, now: Timestamp, update: &MemberUpdate) {
        let status = update.status;
        let is_own = status.state == MemberState::Alive && status.incarnation <= self.incarnation;
        if is_own || status.incarnation < self.incarnation || self.has_left {
            return;
        }
        match status.refuting_incarnation() {
            Some(incarnation) => self.incarnation = incarnation,
            // Another member reports that the local member left, which no incarnation can refute.
            None => self.supersede(now, update),
        }
        if status.state != MemberState::Alive {
            self.local_health.degrade();
        }
        self.gossip_own_status();
    }

    /// Handles a later generation of the local name. The generation belongs either to the local
    /// member, from before its clock was set back, or to another process with the same name.
    fn handle_rival(&mut self, now: Timestamp, update: &MemberUpdate) {
        let id = update.status.generation.id;
        let superseded_at = self.rival_generations.get(&id).copied();
        if superseded_at.is_some() && update.status.state == MemberState::Alive {
            self.emit(Event::NameConflict {
                name: self.local.name.clone(),
                addresses: [self.local.address, update.metadata.address],
            });
        }
        let is_due = superseded_at.is_none_or(|at| now >= at.saturating_add(SUPERSEDE_INTERVAL_NS));
        if is_due && self.rival_generations.len() < MAX_RIVAL_GENERATIONS {
            self.rival_generations.insert(id, now);
            self.supersede(now, update);
            self.gossip_own_status();
        }
    }

    /// Starts a generation later than that of the update.
    fn supersede(&mut self, now: Timestamp, update: &MemberUpdate) {
        let later = update.status.generation.started_ms.saturating_add(1);
        let generation = &mut self.local.generation;
        generation.started_ms = later.max(generation.started_ms);
        self.incarnation = 0;
        self.records.republish(now, &self.local);
    }

    /// Enqueues the local member's own status for gossip.
    pub(super) fn gossip_own_status(&mut self) {
        self.gossip_update(self.own_update());
    }
}
