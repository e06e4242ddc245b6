//! The table of other members: merging of updates, and expiry of members that died or left long
//! ago.

use super::Node;
use crate::event::Event;
use crate::member::Member;
use crate::message::MemberUpdate;
use crate::metadata::{Generation, Name};
use crate::status::{MemberState, MemberStatus};
use crate::suspicion::Suspicion;
use crate::time::{Timestamp, nanos};
use rand::RngExt;

impl Node {
    /// Merges an update into the table. A greater status replaces a lesser one; equal suspicions
    /// confirm each other.
    pub(super) fn apply_update(&mut self, now: Timestamp, update: MemberUpdate) {
        if update.metadata.generation != update.status.generation {
            return; // inconsistent update
        }
        if update.metadata.name == self.local.name {
            return self.handle_update_about_local(now, &update);
        }
        let Some(member) = self.members.get(&update.metadata.name) else {
            return self.add_member(now, update);
        };
        let former = member.status;
        if update.status <= former {
            return self.confirm_suspicion(update, former);
        }
        self.replace_status(now, &update, former);
        if let Some(event) = change_event(&update, former) {
            self.emit(event);
        }
        self.gossip_update(update);
    }

    fn add_member(&mut self, now: Timestamp, update: MemberUpdate) {
        if self.members.len() >= self.settings.max_members {
            self.counters.members_rejected += 1;
            return;
        }
        let name = update.metadata.name.clone();
        let mut member = Member::new(update.metadata.clone(), update.status, now);
        if update.status.state == MemberState::Suspect {
            member.suspicion = Some(self.new_suspicion(now, update.by.clone()));
            self.suspected.insert(name.clone());
        }
        if member.is_present() {
            self.emit(Event::Joined(update.metadata.clone()));
            // New members are inserted at a random position of the current probe round (SWIM,
            // section 4.3).
            let index = self.rng.random_range(0..=self.probe_queue.len());
            self.probe_queue.insert(index, name.clone());
        }
        self.members.insert(name, member);
        self.gossip_update(update);
    }

    /// Counts an update that repeats a known suspicion as a confirmation of that suspicion by the
    /// reporting member.
    fn confirm_suspicion(&mut self, update: MemberUpdate, known: MemberStatus) {
        if update.status != known || known.state != MemberState::Suspect {
            return;
        }
        let member = self.members.get_mut(&update.metadata.name);
        let suspicion = member.and_then(|member| member.suspicion.as_mut());
        if let (Some(by), Some(suspicion)) = (update.by.clone(), suspicion)
            && suspicion.confirm(by)
        {
            self.gossip_update(update);
        }
    }

    fn replace_status(&mut self, now: Timestamp, update: &MemberUpdate, former: MemberStatus) {
        let name = &update.metadata.name;
        let is_new_generation = update.status.generation != former.generation;
        if let Some(member) = self.members.get_mut(name) {
            if is_new_generation {
                *member = Member::new(update.metadata.clone(), update.status, now);
            }
            (member.status, member.since) = (update.status, now);
        }
        let suspicion = match update.status.state {
            MemberState::Suspect => Some(self.new_suspicion(now, update.by.clone())),
            _ => None,
        };
        match suspicion.is_some() {
            true => self.suspected.insert(name.clone()),
            false => self.suspected.remove(name),
        };
        if let Some(member) = self.members.get_mut(name) {
            member.suspicion = suspicion;
        }
    }

    fn new_suspicion(&self, now: Timestamp, by: Option<Name>) -> Suspicion {
        let multiplier = self.local_health.multiplier();
        Suspicion::new(now, &self.settings, self.present_count(), multiplier, by)
    }

    /// Removes members that died or left longer ago than the member retention time, and records
    /// whose owners did so longer ago than the record retention time.
    pub(super) fn expire_members(&mut self, now: Timestamp) {
        let retention = nanos(self.settings.member_retention);
        self.members.retain(|_, member| {
            member.is_present() || now < member.since.saturating_add(retention)
        });
        let mut records = std::mem::take(&mut self.records);
        records.retain(|owner, generation| {
            let is_local = *owner == self.local.name && generation == self.local.generation;
            is_local || self.retained_generation(owner, now) == Some(generation)
        });
        self.records = records;
    }

    /// The generation of an owner whose records are kept: the owner's current generation while the
    /// owner is present, and until the retention time of records has passed.
    pub(super) fn retained_generation(&self, owner: &Name, now: Timestamp) -> Option<Generation> {
        let member = self.members.get(owner)?;
        let retention = nanos(self.settings.record_retention);
        let is_retained = member.is_present() || now < member.since.saturating_add(retention);
        is_retained.then_some(member.status.generation)
    }

    /// Number of members that are alive or suspected, including the local member.
    pub(super) fn present_count(&self) -> usize {
        let others = self.members.values();
        1 + others.filter(|member| member.is_present()).count()
    }
}

/// The event that a new status of a known member causes, if any.
fn change_event(update: &MemberUpdate, former: MemberStatus) -> Option<Event> {
    let (name, by) = (update.metadata.name.clone(), update.by.clone());
    match update.status.state {
        MemberState::Alive if update.status.generation != former.generation => {
            Some(Event::Joined(update.metadata.clone()))
        }
        MemberState::Alive if former.state != MemberState::Alive => Some(Event::Recovered(name)),
        MemberState::Alive => None,
        MemberState::Suspect => Some(Event::Suspected { name, by }),
        MemberState::Dead => Some(Event::Dead { name, by }),
        MemberState::Left => Some(Event::Left(name)),
    }
}
