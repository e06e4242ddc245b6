//! Bookkeeping for pending calls: numbering, retransmission to new leaders, and time-outs.

use super::call::LeaderAddress;
use super::commands::{PendingCommand, Proposal};
use super::read_index::PendingRead;
use super::registrations::{PendingAck, PendingReplication};
use super::{Action, CallResponse, ControlMachine};
use crate::wire::CallId;
use std::collections::BTreeMap;

/// The number of the first call of a process.
const FIRST_NUMBER: u64 = 2;

/// All pending calls of this machine.
#[derive(Debug)]
pub(super) struct PendingCalls {
    next_number: u64,
    /// Commands submitted to this machine that have not been proposed yet or are forwarded, keyed
    /// by call number.
    pub commands: BTreeMap<u64, PendingCommand>,
    /// Log entries proposed by this machine as leader, keyed by log index.
    pub proposals: BTreeMap<u64, Proposal>,
    /// Reads of the configuration, keyed by call number.
    pub reads: BTreeMap<u64, PendingRead>,
    /// Registrations awaiting acknowledgement by a quorum, keyed by call number.
    pub replications: BTreeMap<u64, PendingReplication>,
    /// Calls from other machines to be acknowledged after the registrations have been written to
    /// disk.
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
    /// Allocates the number of a new call.
    pub(super) fn next_number(&mut self) -> u64 {
        let number = self.calls.next_number;
        self.calls.next_number += 1;
        number
    }

    /// Allocates the identity of a new call.
    pub(super) fn next_call(&mut self) -> CallId {
        let number = self.next_number();
        self.call_id(number)
    }

    /// Returns the identity of the call that this process numbered `number`.
    pub(super) fn call_id(&self, number: u64) -> CallId {
        CallId {
            incarnation: self.settings.incarnation,
            number,
        }
    }

    /// Returns the number of a call if the call was made by this process and not by an earlier
    /// incarnation.
    pub(super) fn own_number(&self, call: CallId) -> Option<u64> {
        (call.incarnation == self.settings.incarnation).then_some(call.number)
    }

    /// Queues the response to a local call.
    pub(super) fn respond(&mut self, token: u64, response: CallResponse) {
        self.actions.push(Action::Respond { token, response });
    }

    /// Returns the leader of the current term if it is known. The leader may be this machine.
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

    /// Resends the calls that were forwarded to a machine after a new connection to it has been
    /// established, because calls sent over the previous connection may have been lost.
    pub(super) fn resend_calls(&mut self, address: &str) {
        self.reset_forwarded_commands(address);
        self.reset_requested_reads(address);
        self.forward_calls();
    }

    /// Forwards all pending calls that the current leader has not been sent. This includes calls
    /// that were sent to the leader of an earlier term.
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

    /// Forwards pending calls to the current leader, and responds to calls that have timed out.
    pub(super) fn time_out_calls(&mut self) {
        self.forward_calls();
        self.time_out_commands();
        self.time_out_reads();
        self.time_out_replications();
    }
}
