//! Reads of the configuration: answered from the state here once it is as new as the leader's was when a quorum confirmed it.

use super::orders::{Leader, Origin};
use super::{CALL_PATIENCE, CallResponse, ControlMachine};
use crate::wire::{CallId, Packet};

/// A read of the configuration.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    origin: Origin,
    /// The position that must be applied, once the leader has told it.
    index: Option<u64>,
    /// The leader that was asked, perhaps this machine.
    asked: Option<Leader>,
    deadline: u64,
}

impl ControlMachine {
    /// An operator wants to read the configuration.
    pub fn read_configuration(&mut self, now: u64, token: u64) {
        self.now = self.now.max(now);
        let number = self.number();
        let deadline = self.now + CALL_PATIENCE;
        let read = PendingRead {
            origin: Origin::Call(token),
            index: None,
            asked: None,
            deadline,
        };
        self.reads.insert(number, read);
        self.ask_leader(number);
        self.settle();
    }

    /// Has the leader of the term confirm a read, unless it was asked before.
    pub(super) fn ask_leader(&mut self, number: u64) {
        let Some(leader) = self.leader() else { return };
        let Some(read) = self.reads.get_mut(&number) else {
            return;
        };
        let is_of_peer = read.origin.call().is_none();
        if is_of_peer || read.index.is_some() || read.asked.as_ref() == Some(&leader) {
            return;
        }
        read.asked = Some(leader.clone());
        if self.replica.is_leader() {
            self.replica.request_read(number);
        } else {
            let call = self.call(number);
            self.send(&leader.address, Packet::ReadIndexRequest { call });
        }
    }

    pub(super) fn ask_reads_again(&mut self, address: &str) {
        let is_there = |read: &&mut PendingRead| {
            read.asked
                .as_ref()
                .is_some_and(|asked| asked.address == address)
        };
        for read in self.reads.values_mut().filter(is_there) {
            read.asked = None;
        }
    }

    pub(super) fn on_forwarded_read(&mut self, from: &str, call: CallId) {
        let number = self.number();
        let origin = Origin::Peer {
            address: from.to_owned(),
            call,
        };
        let deadline = self.now + CALL_PATIENCE;
        self.reads.insert(
            number,
            PendingRead {
                origin,
                index: None,
                asked: None,
                deadline,
            },
        );
        self.replica.request_read(number);
        self.settle();
    }

    /// The leader's own quorum has confirmed a read, or has not. The read waits for all entries that are in the log by now: of an
    /// order whose caller was told that nobody can tell, it shows the effect, or there will never be one.
    pub(super) fn on_read_confirmed(&mut self, number: u64, confirmed: bool) {
        let index = confirmed.then_some(self.replica.log().last_index());
        let Some(read) = self.reads.get_mut(&number) else {
            return;
        };
        match &read.origin {
            Origin::Call(_) => {
                read.index = index;
                if !confirmed {
                    read.asked = None;
                }
                self.answer_reads();
            }
            Origin::Peer { address, call } => {
                let (address, call) = (address.clone(), *call);
                self.reads.remove(&number);
                self.send(&address, Packet::ReadIndexReply { call, index });
            }
        }
    }

    pub(super) fn on_read_done(&mut self, call: CallId, index: Option<u64>) {
        let Some(number) = self.own_number(call) else {
            return;
        };
        let Some(read) = self.reads.get_mut(&number) else {
            return;
        };
        match index {
            Some(index) => read.index = Some(index),
            None => read.asked = None,
        }
        self.answer_reads();
    }

    /// Answers the reads of callers whose position is applied. Where there is no configuration yet, nobody can tell one.
    pub(super) fn answer_reads(&mut self) {
        let applied = self.applied;
        let ready = self
            .reads
            .iter()
            .filter(|(_, read)| read.index.is_some_and(|index| index <= applied));
        let ready: Vec<u64> = ready.map(|(number, _)| *number).collect();
        for number in ready {
            let Some(PendingRead {
                origin: Origin::Call(token),
                ..
            }) = self.reads.remove(&number)
            else {
                continue;
            };
            let answer = match self.state.configuration {
                Some(_) => CallResponse::Document(
                    serde_json::to_vec(self.state.document()).unwrap_or_default(),
                ),
                None => CallResponse::Indeterminate,
            };
            self.respond(token, answer);
        }
    }

    pub(super) fn give_up_reads(&mut self) {
        self.answer_reads();
        let now = self.now;
        let overdue = self.reads.extract_if(|_, read| now >= read.deadline);
        let overdue: Vec<u64> = overdue.filter_map(|(_, read)| read.origin.call()).collect();
        overdue
            .into_iter()
            .for_each(|token| self.respond(token, CallResponse::Indeterminate));
    }
}
