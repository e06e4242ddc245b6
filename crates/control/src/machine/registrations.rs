//! Registrations of upstreams: merged here and replicated to the other machines. That an upstream
//! drains or leaves is acknowledged once a majority has it on disk.

use super::call::{CALL_TIMEOUT_MS, take_overdue};
use super::{Action, CallResponse, ControlMachine, LogEvent};
use crate::feed::FeedEvent;
use crate::merge::MergeOutcome;
use crate::registry::{Registration, UpstreamStatus};
use crate::wire::{CallId, Packet, Renewal};
use std::collections::BTreeSet;
use woadstall_consensus::Member;

/// How far the registrations are persisted, by the numbers of the requests to do so.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PersistProgress {
    requested: u64,
    completed: u64,
}

/// A registration whose caller waits until a majority has it on disk.
#[derive(Clone, Debug)]
pub(super) struct PendingReplication {
    token: u64,
    /// Internal addresses of the machines that have acknowledged it.
    acknowledged_by: BTreeSet<String>,
    deadline: u64,
    /// The request that must be completed before this machine has it on disk.
    persist_request: u64,
}

/// A call of another machine that is acknowledged once the registrations that came with it are on
/// disk.
#[derive(Clone, Debug)]
pub(super) struct PendingAck {
    address: String,
    call: CallId,
    persist_request: u64,
    deadline: u64,
}

impl ControlMachine {
    /// An upstream's heartbeat has arrived; the response comes with the token.
    pub fn register(&mut self, now: u64, token: u64, registration: Registration) {
        self.advance_clock(now);
        let (id, sequence) = (registration.id.clone(), registration.sequence);
        let is_ready = registration.status == UpstreamStatus::Ready;
        let merged = self.registry.merge(self.now, registration);
        if !is_ready {
            // One without changes may be a repetition whose first acknowledgement was lost, or
            // never sent.
            if merged == MergeOutcome::Changed {
                self.request_persist();
            }
            self.replicate_and_respond(token, &id);
            return;
        }
        if merged == MergeOutcome::Changed {
            self.announce(&id);
        } else {
            self.gossip.renewals.push(Renewal { id, sequence });
        }
        self.respond(token, CallResponse::Acknowledged);
    }

    /// An upstream leaves; the response comes with the token.
    pub fn deregister(&mut self, now: u64, token: u64, id: &str) {
        self.advance_clock(now);
        if self.registry.deregister(self.now, id) == MergeOutcome::Changed {
            self.request_persist();
        }
        self.replicate_and_respond(token, id);
    }

    /// Sends a registration to the balancers and to the other machines.
    fn announce(&mut self, id: &str) -> Option<CallId> {
        let registration = self.registry.get(self.now, id)?;
        self.log(LogEvent::RegistrationChanged(registration.clone()));
        self.publish(FeedEvent::Registered(registration.clone()));
        let call = self.next_call();
        self.broadcast(&Packet::Registrations {
            call,
            registrations: vec![registration],
        });
        Some(call)
    }

    /// Announces an upstream that drains or leaves, and responds once a majority has that on disk:
    /// no loss that the group tolerates, not even one of power everywhere, brings it back.
    fn replicate_and_respond(&mut self, token: u64, id: &str) {
        let Some(call) = self.announce(id) else {
            return;
        };
        let replication = PendingReplication {
            token,
            acknowledged_by: BTreeSet::new(),
            deadline: self.now + CALL_TIMEOUT_MS,
            persist_request: self.persist_progress.requested,
        };
        self.calls.replications.insert(call.number, replication);
        self.complete_replication(call.number);
    }

    pub(super) fn on_registrations_ack(&mut self, from: &str, call: CallId) {
        let Some(number) = self.own_number(call) else {
            return;
        };
        if let Some(replication) = self.calls.replications.get_mut(&number) {
            replication.acknowledged_by.insert(from.to_owned());
            self.complete_replication(number);
        }
    }

    /// Responds if a majority has a registration on disk.
    fn complete_replication(&mut self, number: u64) {
        let Some(replication) = self.calls.replications.get(&number) else {
            return;
        };
        let own = &self.settings.machine.member.address;
        let is_persisted_here = self.persist_progress.completed >= replication.persist_request;
        let has_persisted = |member: &Member| {
            if member.address == *own {
                is_persisted_here
            } else {
                replication.acknowledged_by.contains(&member.address)
            }
        };
        if self.replica.membership().is_quorum(has_persisted) {
            let token = replication.token;
            self.calls.replications.remove(&number);
            self.respond(token, CallResponse::Acknowledged);
        }
    }

    /// Responds to callers whose time is over, and drops calls of other machines that have timed
    /// out there.
    pub(super) fn time_out_replications(&mut self) {
        let now = self.now;
        self.calls.acks.retain(|ack| now < ack.deadline);
        let overdue = take_overdue(&mut self.calls.replications, |replication| {
            now >= replication.deadline
        });
        let tokens: Vec<u64> = overdue
            .iter()
            .map(|replication| replication.token)
            .collect();
        for token in tokens {
            self.respond(token, CallResponse::Indeterminate);
        }
    }

    /// Requests that the registrations are written to disk as they are now.
    fn request_persist(&mut self) {
        self.persist_progress.requested += 1;
        let number = self.persist_progress.requested;
        self.actions.push(Action::PersistRegistrations { number });
    }

    /// The registrations are on disk as they were when the request with this number was made, or
    /// later.
    pub fn registrations_persisted(&mut self, now: u64, number: u64) {
        self.advance_clock(now);
        let completed = self.persist_progress.completed.max(number);
        self.persist_progress.completed = completed;
        let is_persisted = |ack: &mut PendingAck| ack.persist_request <= completed;
        let acks: Vec<PendingAck> = self.calls.acks.extract_if(.., is_persisted).collect();
        for PendingAck { address, call, .. } in acks {
            self.send(&address, Packet::RegistrationsAck { call });
        }
        let numbers: Vec<u64> = self.calls.replications.keys().copied().collect();
        for number in numbers {
            self.complete_replication(number);
        }
    }

    /// Another machine sends registrations. It gets an acknowledgement, which waits for the disk if
    /// an upstream drains or leaves.
    pub(super) fn on_registrations(
        &mut self,
        from: &str,
        call: CallId,
        registrations: Vec<Registration>,
    ) {
        let must_persist = registrations
            .iter()
            .any(|registration| registration.status.is_terminating());
        self.merge_registrations(registrations);
        let PersistProgress {
            requested,
            completed,
        } = self.persist_progress;
        if must_persist && completed < requested {
            self.calls.acks.push(PendingAck {
                address: from.to_owned(),
                call,
                persist_request: requested,
                deadline: self.now + CALL_TIMEOUT_MS,
            });
        } else {
            self.send(from, Packet::RegistrationsAck { call });
        }
    }

    /// Merges what another machine sends, and publishes what it changes.
    fn merge_registrations(&mut self, registrations: Vec<Registration>) {
        let mut must_persist = false;
        for registration in registrations {
            let id = registration.id.clone();
            if self.registry.merge(self.now, registration) == MergeOutcome::Changed
                && let Some(merged) = self.registry.get(self.now, &id)
            {
                must_persist |= merged.status.is_terminating();
                self.publish(FeedEvent::Registered(merged));
            }
        }
        if must_persist {
            self.request_persist();
        }
    }

    /// Takes over the registrations that an earlier process of this machine has persisted. They are
    /// hints: whatever is heard from now on takes precedence.
    pub fn restore_registrations(&mut self, registrations: Vec<Registration>) {
        for registration in registrations {
            self.registry.merge(self.now, registration.clone());
            self.publish(FeedEvent::Registered(registration));
        }
    }
}
