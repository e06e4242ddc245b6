//! Registrations of upstreams: merged here, told to the other machines, and judged silent by their shard's owner.

use super::{Action, CALL_PATIENCE, CallResponse, ControlMachine};
use crate::feed::FeedEvent;
use crate::registry::{Merge, Registration, UpstreamStatus};
use crate::shards::{MONITORS, replica_group, shard_of};
use crate::wire::{CallId, Packet, Renewal};
use std::collections::BTreeSet;
use woadstall_consensus::Member;

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
    /// The wish that must be met before this machine has it on disk.
    keep: u64,
}

/// A call of another machine that is answered once the registrations that came with it are on disk.
#[derive(Clone, Debug)]
pub(super) struct PendingTaken {
    address: String,
    call: CallId,
    keep: u64,
    deadline: u64,
}

impl ControlMachine {
    /// An upstream's heartbeat has come.
    pub fn register(&mut self, now: u64, token: u64, registration: Registration) {
        self.now = self.now.max(now);
        let (id, sequence) = (registration.id.clone(), registration.sequence);
        let is_ready = registration.status == UpstreamStatus::Ready;
        match self.registry.merge(self.now, registration) {
            Merge::Changed if is_ready => {
                self.tell(&id);
                self.respond(token, CallResponse::Acknowledged);
            }
            Merge::Renewed | Merge::Old if is_ready => {
                self.renewals.push(Renewal { id, sequence });
                self.respond(token, CallResponse::Acknowledged);
            }
            Merge::Changed => {
                self.want_kept();
                self.spread(token, &id);
            }
            // Said again, perhaps because its first acknowledgement was lost, or never given.
            Merge::Renewed | Merge::Old => self.spread(token, &id),
        }
    }

    /// An upstream leaves.
    pub fn deregister(&mut self, now: u64, token: u64, id: &str) {
        self.now = self.now.max(now);
        if self.registry.leave(self.now, id) == Merge::Changed {
            self.want_kept();
        }
        self.spread(token, id);
    }

    /// Tells balancers and the other machines of a registration.
    fn tell(&mut self, id: &str) -> Option<CallId> {
        let registration = self.registry.get(self.now, id)?;
        self.log(format!(
            "registration id={} service={} status={} cold_ms={} sequence={}",
            registration.id,
            registration.service,
            registration.status,
            registration.slow_start_remaining_ms,
            registration.sequence
        ));
        self.publish(FeedEvent::Registered(registration.clone()));
        let call = self.next_call();
        self.broadcast(&Packet::Registrations {
            call,
            registrations: vec![registration],
        });
        Some(call)
    }

    /// Tells of an upstream that leaves, and answers once a majority has that on disk: no loss that the group bears, not even
    /// one of power everywhere, brings it back.
    fn spread(&mut self, token: u64, id: &str) {
        let Some(call) = self.tell(id) else { return };
        let deadline = self.now + CALL_PATIENCE;
        let spread = Spread {
            token,
            taken: BTreeSet::new(),
            deadline,
            keep: self.keep_wanted,
        };
        self.spreads.insert(call.number, spread);
        self.finish_spread(call.number);
    }

    pub(super) fn on_taken(&mut self, from: &str, call: CallId) {
        let Some(number) = self.own_number(call) else {
            return;
        };
        if let Some(spread) = self.spreads.get_mut(&number) {
            spread.taken.insert(from.to_owned());
            self.finish_spread(number);
        }
    }

    fn finish_spread(&mut self, number: u64) {
        let Some(spread) = self.spreads.get(&number) else {
            return;
        };
        let own = &self.settings.machine.member.address;
        let has_kept = self.kept >= spread.keep;
        let holds = |member: &Member| match member.address == *own {
            true => has_kept,
            false => spread.taken.contains(&member.address),
        };
        if self.replica.membership().is_quorum(holds) {
            let token = spread.token;
            self.spreads.remove(&number);
            self.respond(token, CallResponse::Acknowledged);
        }
    }

    pub(super) fn give_up_spreads(&mut self) {
        let now = self.now;
        self.taken.retain(|taken| now < taken.deadline);
        let overdue = self.spreads.extract_if(|_, spread| now >= spread.deadline);
        let overdue: Vec<u64> = overdue.map(|(_, spread)| spread.token).collect();
        overdue
            .into_iter()
            .for_each(|token| self.respond(token, CallResponse::Indeterminate));
    }

    /// Has the disk keep the registrations as they are now.
    fn want_kept(&mut self) {
        self.keep_wanted += 1;
        self.actions.push(Action::PersistRegistrations {
            number: self.keep_wanted,
        });
    }

    /// The registrations are on disk as they were when this wish was made, or later.
    pub fn registrations_persisted(&mut self, now: u64, number: u64) {
        self.now = self.now.max(now);
        self.kept = self.kept.max(number);
        let kept = self.kept;
        for PendingTaken { address, call, .. } in self
            .taken
            .extract_if(.., |taken| taken.keep <= kept)
            .collect::<Vec<_>>()
        {
            self.send(&address, Packet::RegistrationsAck { call });
        }
        let waiting: Vec<u64> = self.spreads.keys().copied().collect();
        waiting
            .into_iter()
            .for_each(|number| self.finish_spread(number));
    }

    /// Another machine tells of registrations.
    pub(super) fn on_registrations(
        &mut self,
        from: &str,
        call: CallId,
        registrations: Vec<Registration>,
    ) {
        let leaves = registrations
            .iter()
            .any(|registration| registration.status.is_terminating());
        self.merge_all(registrations);
        if leaves && self.kept < self.keep_wanted {
            let (address, keep, deadline) =
                (from.to_owned(), self.keep_wanted, self.now + CALL_PATIENCE);
            self.taken.push(PendingTaken {
                address,
                call,
                keep,
                deadline,
            });
        } else {
            self.send(from, Packet::RegistrationsAck { call });
        }
    }

    /// Merges what another machine tells.
    fn merge_all(&mut self, registrations: Vec<Registration>) {
        let mut leaves = false;
        for registration in registrations {
            let id = registration.id.clone();
            if self.registry.merge(self.now, registration) == Merge::Changed
                && let Some(merged) = self.registry.get(self.now, &id)
            {
                leaves |= merged.status.is_terminating();
                self.publish(FeedEvent::Registered(merged));
            }
        }
        if leaves {
            self.want_kept();
        }
    }

    /// Takes over the registrations that an earlier process of this machine kept. They are hints: whatever is heard goes
    /// before them.
    pub fn restore_registrations(&mut self, registrations: Vec<Registration>) {
        for registration in registrations {
            self.registry.merge(self.now, registration.clone());
            self.publish(FeedEvent::Registered(registration));
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
            self.broadcast(&Packet::BalancerHeartbeats(
                heartbeats.into_values().collect(),
            ));
        }
        let still_there = std::mem::take(&mut self.still_there);
        if !still_there.is_empty() {
            self.broadcast(&Packet::BalancerRenewals(
                still_there.into_values().collect(),
            ));
        }
    }

    /// Judges upstreams of the shards that this machine owns. One that has only just heard of a quorum again may have missed
    /// heartbeats itself.
    pub(super) fn expire_upstreams(&mut self) {
        let after = self.settings.heartbeat_ms * SILENT_BEATS + SILENT_SLACK;
        if self
            .quorum_since
            .is_none_or(|since| self.now < since + after)
        {
            return;
        }
        let machines: Vec<String> = self
            .machines()
            .into_iter()
            .map(|machine| machine.member.address)
            .collect();
        let own = self.settings.machine.member.address.clone();
        let owns = |service: &str| {
            let group = replica_group(
                shard_of(service),
                machines.iter().map(String::as_str),
                MONITORS,
            );
            group.first().is_some_and(|owner| *owner == own)
        };
        for silent in self.registry.expire(self.now, after, owns) {
            self.log(format!(
                "upstream silent id={} service={} after_ms={after}",
                silent.id, silent.service
            ));
            self.publish(FeedEvent::Registered(silent.clone()));
            let call = self.next_call();
            self.broadcast(&Packet::Registrations {
                call,
                registrations: vec![silent],
            });
        }
    }
}
