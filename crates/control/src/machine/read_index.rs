//! Linearizable reads of the configuration by ReadIndex (Ongaro's dissertation on Raft, section
//! 6.4): the leader has a quorum confirm its leadership and names a position of the log; the read
//! is served here once that position is applied.

use super::call::{CALL_TIMEOUT_MS, CallOrigin, LeaderAddress, take_overdue};
use super::{CallResponse, ControlMachine};
use crate::wire::{CallId, Packet};

/// A read of the configuration.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    origin: CallOrigin,
    /// The position that must be applied, once the leader has named it.
    read_index: Option<u64>,
    /// The leader that was requested to name it, perhaps this machine.
    requested_from: Option<LeaderAddress>,
    deadline: u64,
}

impl ControlMachine {
    /// An operator reads the configuration; the response comes with the token.
    pub fn read_configuration(&mut self, now: u64, token: u64) {
        self.advance_clock(now);
        let number = self.insert_read(CallOrigin::Local(token));
        self.request_read_index(number);
        self.process_replica_outputs();
    }

    fn insert_read(&mut self, origin: CallOrigin) -> u64 {
        let number = self.next_number();
        let deadline = self.now + CALL_TIMEOUT_MS;
        let read = PendingRead {
            origin,
            read_index: None,
            requested_from: None,
            deadline,
        };
        self.calls.reads.insert(number, read);
        number
    }

    /// Requests the position for a read from the leader of the term, unless that was done before.
    pub(super) fn request_read_index(&mut self, number: u64) {
        let Some(leader) = self.leader() else { return };
        let Some(read) = self.calls.reads.get_mut(&number) else {
            return;
        };
        let is_of_peer = read.origin.token().is_none();
        if is_of_peer || read.read_index.is_some() || read.requested_from.as_ref() == Some(&leader)
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

    /// Reads for which a machine was requested to name the position are to be requested again.
    pub(super) fn forget_requested_reads(&mut self, address: &str) {
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

    /// A quorum has confirmed this leader for a read, or has not. The read waits for all entries
    /// that are in the log by now, so that it shows the effect of a command whose outcome was
    /// indeterminate, or there will never be one.
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

    /// Responds to the reads of callers whose position is applied. Where there is no configuration
    /// yet, there is nothing to respond with.
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
                Some(_) => {
                    let document = serde_json::to_vec(self.state.document());
                    CallResponse::Document(document.unwrap_or_default())
                }
                None => CallResponse::Indeterminate,
            };
            self.respond(token, response);
        }
    }

    /// Responds to reads whose time is over.
    pub(super) fn time_out_reads(&mut self) {
        self.complete_reads();
        let now = self.now;
        let overdue = take_overdue(&mut self.calls.reads, |read| now >= read.deadline);
        let tokens: Vec<u64> = overdue
            .iter()
            .filter_map(|read| read.origin.token())
            .collect();
        for token in tokens {
            self.respond(token, CallResponse::Indeterminate);
        }
    }
}
