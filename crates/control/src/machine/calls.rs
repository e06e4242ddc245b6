//! Calls that wait for a response: their numbers, their origins, and what ends them.

use super::call::LeaderAddress;
use super::commands::{PendingCommand, Proposal};
use super::read_index::PendingRead;
use super::registrations::{PendingAck, PendingReplication};
use super::{Action, CallResponse, ControlMachine};
use crate::wire::CallId;
use std::collections::BTreeMap;

/// The number of a process's first call.
const FIRST_NUMBER: u64 = 2;

/// Everything that waits for a response.
#[derive(Debug)]
pub(super) struct PendingCalls {
    /// The number of the next call.
    next_number: u64,
    /// Commands of callers, by the number of the call.
    pub commands: BTreeMap<u64, PendingCommand>,
    /// Entries proposed by this machine, by their position in the log.
    pub proposals: BTreeMap<u64, Proposal>,
    /// Reads of the configuration, by the number of the call.
    pub reads: BTreeMap<u64, PendingRead>,
    /// Registrations on their way to a quorum, by the number of the call.
    pub replications: BTreeMap<u64, PendingReplication>,
    /// Calls of other machines that are acknowledged once the registrations are on disk.
    pub acks: Vec<PendingAck>,
}

impl PendingCalls {
    pub fn new() -> Self {
        Self {
            next_number: FIRST_NUMBER,
            commands: BTreeMap::new(),
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            replications: BTreeMap::new(),
            acks: Vec::new(),
        }
    }
}

impl ControlMachine {
    /// The number of a new call.
    pub(super) fn next_number(&mut self) -> u64 {
        let number = self.calls.next_number;
        self.calls.next_number += 1;
        number
    }

    /// The identity of a new call.
    pub(super) fn next_call(&mut self) -> CallId {
        let number = self.next_number();
        self.call_id(number)
    }

    /// The identity of this process's call with a number.
    pub(super) fn call_id(&self, number: u64) -> CallId {
        CallId {
            incarnation: self.settings.incarnation,
            number,
        }
    }

    /// The number of a call, if this process made it.
    pub(super) fn own_number(&self, call: CallId) -> Option<u64> {
        (call.incarnation == self.settings.incarnation).then_some(call.number)
    }

    /// Responds to a caller of this machine.
    pub(super) fn respond(&mut self, token: u64, response: CallResponse) {
        self.actions.push(Action::Respond { token, response });
    }

    /// The leader of the current term, if it is known; it may be this machine.
    pub(super) fn leader(&self) -> Option<LeaderAddress> {
        let address = self
            .replica
            .leader()
            .and_then(|leader| self.address_of(leader))?;
        Some(LeaderAddress {
            address,
            term: self.replica.term(),
        })
    }

    /// The connection to a machine is new: calls that were forwarded to it over a former one may be
    /// lost and are sent again.
    pub(super) fn resend_calls(&mut self, address: &str) {
        self.forget_forwarded_commands(address);
        self.forget_requested_reads(address);
        self.forward_calls();
    }

    /// Forwards calls that wait for a leader, also those that were sent to the leader of a former
    /// term.
    fn forward_calls(&mut self) {
        let commands: Vec<u64> = self.calls.commands.keys().copied().collect();
        for number in commands {
            self.propose_or_forward(number);
        }
        let reads: Vec<u64> = self.calls.reads.keys().copied().collect();
        for number in reads {
            self.request_read_index(number);
        }
        self.process_replica_outputs();
    }

    /// Forwards waiting calls again, and responds to those whose time is over.
    pub(super) fn time_out_calls(&mut self) {
        self.forward_calls();
        self.time_out_commands();
        self.time_out_reads();
        self.time_out_replications();
    }
}
