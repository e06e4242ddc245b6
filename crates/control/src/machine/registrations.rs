//! Registrations of upstreams: merged here, told to the other machines, and judged silent by their shard's owner.

use super::{Answer, CALL_PATIENCE, Machine};
use crate::feed::Event;
use crate::registry::{Merge, Registration, Status};
use crate::shards::{MONITORS, replica_group, shard_of};
use crate::wire::{Packet, Renewal};
use std::collections::BTreeSet;

/// Heartbeats that must be missing before an upstream counts as silent, and what is added for calls that go from one
/// machine to the next.
const SILENT_BEATS: u64 = 3;
const SILENT_SLACK: u64 = 1_500;

/// A registration that a caller waits for until enough machines have it.
#[derive(Clone, Debug)]
pub(super) struct Spread {
    token: u64,
    taken: BTreeSet<String>,
    deadline: u64,
    /// Whether the caller may be told that it is done although few have it.
    is_optional: bool,
}

impl Machine {
    /// An upstream's heartbeat has come.
    pub fn register(&mut self, now: u64, token: u64, registration: Registration) {
        self.now = self.now.max(now);
        let (id, sequence) = (registration.id.clone(), registration.sequence);
        let is_ready = registration.status == Status::Ready;
        match self.registry.merge(self.now, registration) {
            Merge::Changed => self.spread(token, &id, is_ready),
            Merge::Renewed | Merge::Old if is_ready => {
                self.renewals.push(Renewal { id, sequence });
                self.answer(token, Answer::Done);
            }
            // Said again, perhaps because its first acknowledgement was lost, or never given.
            Merge::Renewed | Merge::Old => self.spread(token, &id, false),
        }
    }

    /// An upstream leaves.
    pub fn deregister(&mut self, now: u64, token: u64, id: &str) {
        self.now = self.now.max(now);
        match self.registry.leave(self.now, id) {
            Some(_) => self.spread(token, id, false),
            None => self.answer(token, Answer::Done),
        }
    }

    /// Tells balancers and the other machines of a registration, and answers once a majority has it.
    fn spread(&mut self, token: u64, id: &str, is_optional: bool) {
        let Some(registration) = self.registry.get(self.now, id) else { return };
        self.log(format!(
            "registration id={} service={} status={:?} cold_ms={} sequence={}",
            registration.id,
            registration.service,
            registration.status,
            registration.cold_remaining_ms,
            registration.sequence
        ));
        self.publish(Event::Registered(registration.clone()));
        let number = self.number();
        self.broadcast(&Packet::Registrations { number, registrations: vec![registration] });
        let deadline = self.now + CALL_PATIENCE;
        self.spreads.insert(number, Spread { token, taken: BTreeSet::new(), deadline, is_optional });
        self.finish_spread(number);
    }

    pub(super) fn on_taken(&mut self, from: &str, number: u64) {
        if let Some(spread) = self.spreads.get_mut(&number) {
            spread.taken.insert(from.to_owned());
            self.finish_spread(number);
        }
    }

    fn finish_spread(&mut self, number: u64) {
        let Some(spread) = self.spreads.get(&number) else { return };
        let own = &self.settings.machine.member.address;
        let members = self.replica.members();
        let holds = |address: &String| address == own || spread.taken.contains(address);
        let having = members.voters.iter().filter(|member| holds(&member.address)).count();
        if spread.is_optional || having >= members.quorum() {
            let token = spread.token;
            self.spreads.remove(&number);
            self.answer(token, Answer::Done);
        }
    }

    pub(super) fn give_up_spreads(&mut self) {
        let now = self.now;
        let overdue = self.spreads.extract_if(|_, spread| now >= spread.deadline);
        let overdue: Vec<u64> = overdue.map(|(_, spread)| spread.token).collect();
        overdue.into_iter().for_each(|token| self.answer(token, Answer::Unclear));
    }

    /// Merges what another machine tells.
    pub(super) fn merge_all(&mut self, registrations: Vec<Registration>) {
        for registration in registrations {
            let id = registration.id.clone();
            if self.registry.merge(self.now, registration) == Merge::Changed
                && let Some(merged) = self.registry.get(self.now, &id)
            {
                self.publish(Event::Registered(merged));
            }
        }
    }

    /// Tells the other machines who was heard from.
    pub(super) fn gossip(&mut self) {
        let renewals = std::mem::take(&mut self.renewals);
        if !renewals.is_empty() {
            self.broadcast(&Packet::Renewals(renewals));
        }
        let heartbeats = std::mem::take(&mut self.heartbeats);
        if !heartbeats.is_empty() {
            self.broadcast(&Packet::Balancers(heartbeats.into_values().collect()));
        }
        let still_there = std::mem::take(&mut self.still_there);
        if !still_there.is_empty() {
            self.broadcast(&Packet::BalancersStillThere(still_there.into_values().collect()));
        }
    }

    /// Judges upstreams of the shards that this machine owns. One that has only just heard of a quorum again may have missed
    /// heartbeats itself.
    pub(super) fn expire_upstreams(&mut self) {
        let after = self.settings.heartbeat_ms * SILENT_BEATS + SILENT_SLACK;
        if self.quorum_since.is_none_or(|since| self.now < since + after) {
            return;
        }
        let machines: Vec<String> =
            self.machines().into_iter().map(|machine| machine.member.address).collect();
        let own = self.settings.machine.member.address.clone();
        let owns = |service: &str| {
            let group = replica_group(shard_of(service), machines.iter().map(String::as_str), MONITORS);
            group.first().is_some_and(|owner| *owner == own)
        };
        for silent in self.registry.expire(self.now, after, owns) {
            self.log(format!("upstream silent id={} service={} after_ms={after}", silent.id, silent.service));
            self.publish(Event::Registered(silent.clone()));
            let number = self.number();
            self.broadcast(&Packet::Registrations { number, registrations: vec![silent] });
        }
    }
}
