//! Linearizable reads of the configuration by ReadIndex (Ongaro's dissertation on Raft, section
//! 6.4). The leader confirms its leadership with a quorum and returns a log index; the machine that
//! received the read serves it once that index has been applied.

use super::call::{CALL_TIMEOUT_MS, CallOrigin, LeaderAddress, take_overdue};
use super::{CallResponse, ControlMachine};
use crate::wire::{CallId, Packet};

/// A pending read of the configuration.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    origin: CallOrigin,
    /// The log index that must be applied before the read is served, once the leader has returned
    /// it.
    read_index: Option<u64>,
    /// The leader from which the read index was requested. It may be this machine.
    requested_from: Option<LeaderAddress>,
    deadline_ms: u64,
}

impl ControlMachine {
    /// Starts an operator's read of the configuration. The response is returned as
    /// [`Action::Respond`](super::Action::Respond) with the given token.
    pub fn read_configuration(&mut self, now_ms: u64, token: u64) {
        self.advance_clock(now_ms);
        let number = self.insert_read(CallOrigin::Local(token));
        self.request_read_index(number);
        self.process_replica_outputs();
    }

    fn insert_read(&mut self, origin: CallOrigin) -> u64 {
        let number = self.next_number();
        let deadline_ms = self.now_ms + CALL_TIMEOUT_MS;
        let read = PendingRead {
            origin,
            read_index: None,
            requested_from: None,
            deadline_ms,
        };
        self.calls.reads.insert(number, read);
        number
    }

    /// Requests the read index of a pending read from the leader, unless it has already been
    /// requested from the leader of this term.
    pub(super) fn request_read_index(&mut self, number: u64) {
        let Some(leader) = self.leader() else { return };
        let Some(read) = self.calls.reads.get_mut(&number) else {
            return;
        };
        let is_forwarded = read.origin.token().is_none();
        if is_forwarded
            || read.read_index.is_some()
            || read.requested_from.as_ref() == Some(&leader)
        {
            return;
        }
        read.requested_from = Some(leader.clone());
        if self.replica.is_leader() {
            self.replica.request_read(number);
        } else {
            let call = self.call_id(number);
            self.send(&leader.address, Packet::ReadIndexRequest { call });
        }
    }

    /// Marks the reads whose read index was requested from a machine as not requested, so that the
    /// request is sent again.
    pub(super) fn reset_requested_reads(&mut self, address: &str) {
        for read in self.calls.reads.values_mut() {
            if read
                .requested_from
                .as_ref()
                .is_some_and(|leader| leader.address == address)
            {
                read.requested_from = None;
            }
        }
    }

    pub(super) fn on_read_index_request(&mut self, from: &str, call: CallId) {
        let number = self.insert_read(CallOrigin::Peer {
            address: from.to_owned(),
            call,
        });
        self.replica.request_read(number);
        self.process_replica_outputs();
    }

    /// Handles the result of a quorum check on this machine's leadership. A confirmed read waits
    /// for all entries that are now in the log. Its result therefore settles each earlier command
    /// with an indeterminate outcome: the command's effect is visible in the read, or never will
    /// be.
    pub(super) fn on_read_index_confirmed(&mut self, number: u64, is_confirmed: bool) {
        let index = is_confirmed.then_some(self.replica.log().last_index());
        let Some(read) = self.calls.reads.get_mut(&number) else {
            return;
        };
        match &read.origin {
            CallOrigin::Local(_) => {
                read.read_index = index;
                if !is_confirmed {
                    read.requested_from = None;
                }
                self.complete_reads();
            }
            CallOrigin::Peer { address, call } => {
                let (address, call) = (address.clone(), *call);
                self.calls.reads.remove(&number);
                self.send(&address, Packet::ReadIndexReply { call, index });
            }
        }
    }

    pub(super) fn on_read_index_reply(&mut self, call: CallId, index: Option<u64>) {
        let Some(number) = self.own_number(call) else {
            return;
        };
        let Some(read) = self.calls.reads.get_mut(&number) else {
            return;
        };
        match index {
            Some(index) => read.read_index = Some(index),
            None => read.requested_from = None,
        }
        self.complete_reads();
    }

    /// Responds to local reads whose read index has been applied. The response is indeterminate as
    /// long as there is no configuration.
    pub(super) fn complete_reads(&mut self) {
        let applied = self.applied_index;
        let is_complete =
            |read: &PendingRead| read.read_index.is_some_and(|index| index <= applied);
        let complete = self
            .calls
            .reads
            .iter()
            .filter(|(_, read)| is_complete(read));
        let complete: Vec<u64> = complete.map(|(number, _)| *number).collect();
        for number in complete {
            let read = self.calls.reads.remove(&number);
            let Some(token) = read.and_then(|read| read.origin.token()) else {
                continue;
            };
            let response = match self.state.configuration {
                Some(_) => CallResponse::Document(self.state.document().into_bytes()),
                None => CallResponse::Indeterminate,
            };
            self.respond(token, response);
        }
    }

    /// Responds to reads whose deadline has passed.
    pub(super) fn time_out_reads(&mut self) {
        self.complete_reads();
        let now_ms = self.now_ms;
        let overdue = take_overdue(&mut self.calls.reads, |read| now_ms >= read.deadline_ms);
        let tokens: Vec<u64> = overdue
            .iter()
            .filter_map(|read| read.origin.token())
            .collect();
        for token in tokens {
            self.respond(token, CallResponse::Indeterminate);
        }
    }
}
