//! Registrations of upstreams, which are merged into the local registry and replicated to the other
//! machines. A drain or deregistration is acknowledged after a quorum has written it to disk.

use super::call::{CALL_TIMEOUT_MS, take_overdue};
use super::{Action, CallResponse, ControlMachine, LogEvent};
use crate::feed::FeedEvent;
use crate::merge::MergeOutcome;
use crate::registry::{OutdatedTimeOut, Registration, UpstreamStatus};
use crate::wire::{CallId, Packet};
use std::collections::BTreeSet;
use woadstall_consensus::Member;

/// The numbers of the last requested and the last completed write of the registrations.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PersistProgress {
    requested: u64,
    completed: u64,
}

/// A drain or deregistration whose caller waits until a quorum has written it to disk.
#[derive(Clone, Debug)]
pub(super) struct PendingReplication {
    token: u64,
    /// The internal addresses of the machines that have acknowledged the registration.
    acknowledged_by: BTreeSet<String>,
    deadline_ms: u64,
    /// The number of the write that must be completed before this machine counts towards the
    /// quorum.
    persist_request: u64,
}

/// A call from another machine to be acknowledged after the registrations in the call have been
/// written to disk.
#[derive(Clone, Debug)]
pub(super) struct PendingAck {
    address: String,
    call: CallId,
    persist_request: u64,
    deadline_ms: u64,
}

impl ControlMachine {
    /// Handles an upstream's heartbeat. The response is returned as [`Action::Respond`] with the
    /// given token.
    pub fn register(&mut self, now_ms: u64, token: u64, registration: Registration) {
        self.advance_clock(now_ms);
        let (id, sequence) = (registration.id.clone(), registration.sequence);
        let is_ready = registration.status == UpstreamStatus::Ready;
        let merged = self.registry.merge(self.now_ms, registration);
        if !is_ready {
            // Replicate an unchanged drain or deregistration too: it may be a retry after the
            // acknowledgement of the first attempt was lost or never sent.
            if merged == MergeOutcome::Changed {
                self.request_persist();
            }
            self.replicate_and_respond(token, &id);
            return;
        }
        match merged {
            MergeOutcome::Changed => drop(self.announce(&id)),
            MergeOutcome::Renewed => self.queue_renewal(id, sequence),
            MergeOutcome::Stale => {}
        }
        self.respond(token, CallResponse::Acknowledged);
    }

    /// Handles the deregistration of an upstream. The response is returned as [`Action::Respond`]
    /// with the given token.
    pub fn deregister(&mut self, now_ms: u64, token: u64, id: &str) {
        self.advance_clock(now_ms);
        if self.registry.deregister(self.now_ms, id) == MergeOutcome::Changed {
            self.request_persist();
        }
        self.replicate_and_respond(token, id);
    }

    /// Logs a registration, publishes it to the balancers, and sends it to the other machines.
    /// Returns the identity of the replication call, or `None` if the upstream is unknown.
    fn announce(&mut self, id: &str) -> Option<CallId> {
        let registration = self.registry.get(self.now_ms, id)?;
        self.registry.take_refresh(self.now_ms, id);
        self.log(LogEvent::RegistrationChanged(registration.clone()));
        self.publish(FeedEvent::Registered(registration.clone()));
        let call = self.next_call();
        self.broadcast(&Packet::Registrations {
            call,
            registrations: vec![registration],
        });
        Some(call)
    }

    /// Announces a drain or deregistration, and responds once a quorum has written it to disk. The
    /// upstream then stays terminated through every failure that the group tolerates, including a
    /// power loss of all machines.
    fn replicate_and_respond(&mut self, token: u64, id: &str) {
        let Some(call) = self.announce(id) else {
            return;
        };
        let replication = PendingReplication {
            token,
            acknowledged_by: BTreeSet::new(),
            deadline_ms: self.now_ms + CALL_TIMEOUT_MS,
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

    /// Responds to the caller if a quorum has written the registration to disk.
    fn complete_replication(&mut self, number: u64) {
        let Some(replication) = self.calls.replications.get(&number) else {
            return;
        };
        let own_address = &self.settings.machine.member.address;
        let is_persisted_here = self.persist_progress.completed >= replication.persist_request;
        let has_persisted = |member: &Member| {
            if member.address == *own_address {
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

    /// Responds to callers whose deadline has passed, and drops acknowledgements that other
    /// machines no longer wait for.
    pub(super) fn time_out_replications(&mut self) {
        let now_ms = self.now_ms;
        self.calls.acks.retain(|ack| now_ms < ack.deadline_ms);
        let overdue = take_overdue(&mut self.calls.replications, |replication| {
            now_ms >= replication.deadline_ms
        });
        let tokens: Vec<u64> = overdue
            .iter()
            .map(|replication| replication.token)
            .collect();
        for token in tokens {
            self.respond(token, CallResponse::Indeterminate);
        }
    }

    /// Requests a write of the current registrations to disk.
    fn request_persist(&mut self) {
        self.persist_progress.requested += 1;
        let number = self.persist_progress.requested;
        self.actions.push(Action::PersistRegistrations { number });
    }

    /// Handles the completion of a write: the registrations on disk are at least as new as they
    /// were when the write with this number was requested.
    pub fn registrations_persisted(&mut self, now_ms: u64, number: u64) {
        self.advance_clock(now_ms);
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

    /// Handles registrations from another machine. The acknowledgement waits for the write to disk
    /// if any of the registrations is a drain or deregistration.
    pub(super) fn on_registrations(
        &mut self,
        from: &str,
        call: CallId,
        registrations: Vec<Registration>,
    ) {
        let must_persist = registrations
            .iter()
            .any(|registration| registration.status.is_terminating());
        self.merge_registrations(from, registrations);
        let PersistProgress {
            requested,
            completed,
        } = self.persist_progress;
        if must_persist && completed < requested {
            self.calls.acks.push(PendingAck {
                address: from.to_owned(),
                call,
                persist_request: requested,
                deadline_ms: self.now_ms + CALL_TIMEOUT_MS,
            });
        } else {
            self.send(from, Packet::RegistrationsAck { call });
        }
    }

    /// Merges registrations from another machine, and publishes those that changed the registry.
    /// Sends back the heartbeats that the other machine has missed.
    fn merge_registrations(&mut self, from: &str, registrations: Vec<Registration>) {
        let mut must_persist = false;
        let mut missed = Vec::new();
        for registration in registrations {
            missed.extend(self.resolve_outdated_time_out(&registration));
            let id = registration.id.clone();
            let status_before = self.registry.status(&id);
            if self.registry.merge(self.now_ms, registration) == MergeOutcome::Changed
                && let Some(merged) = self.registry.get(self.now_ms, &id)
            {
                must_persist |= merged.status.is_terminating();
                self.publish_merged(status_before, merged);
            }
        }
        if must_persist {
            self.request_persist();
        }
        if !missed.is_empty() {
            let call = self.next_call();
            self.send(
                from,
                Packet::Registrations {
                    call,
                    registrations: missed,
                },
            );
        }
    }

    /// Publishes a registration that another machine has changed here.
    pub(super) fn publish_merged(
        &mut self,
        status_before: Option<UpstreamStatus>,
        merged: Registration,
    ) {
        let is_restored = status_before == Some(UpstreamStatus::TimedOut)
            && merged.status == UpstreamStatus::Ready;
        if is_restored {
            self.log(LogEvent::UpstreamRestored(merged.clone()));
        }
        self.publish(FeedEvent::Registered(merged));
    }

    /// Takes over an outdated mark that an upstream has timed out if the newest heartbeat known here
    /// is overdue too. Otherwise, returns the registration that the other machine has missed.
    fn resolve_outdated_time_out(&mut self, mark: &Registration) -> Option<Registration> {
        let timeout_ms = self.upstream_timeout_ms();
        match self
            .registry
            .handle_outdated_time_out(self.now_ms, timeout_ms, mark)
        {
            OutdatedTimeOut::Irrelevant => None,
            OutdatedTimeOut::Confirmed(registration) => {
                self.publish(FeedEvent::Registered(registration));
                None
            }
            OutdatedTimeOut::Contradicted(registration) => Some(registration),
        }
    }

    /// Restores the registrations persisted by an earlier process of this machine. The restored
    /// records are hints: heartbeats and registrations received later take precedence.
    pub fn restore_registrations(&mut self, registrations: Vec<Registration>) {
        for registration in registrations {
            self.registry.merge(self.now_ms, registration.clone());
            self.publish(FeedEvent::Registered(registration));
        }
    }
}
