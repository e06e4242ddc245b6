//! The replicated log behind the machine: what the replica wants done, and the state that its entries make.

use super::{Action, ControlMachine, leader_clock};
use crate::command::Command;
use crate::feed::FeedEvent;
use crate::state::ControlState;
use crate::wire::Packet;
use nanoserde::{DeBin, SerBin};
use woadstall_consensus::{Entry, EntryPayload, Member, Message, Output};

/// Bytes and entries of the log behind its snapshot from which on a new one is taken.
const COMPACT_BYTES: usize = 4 << 20;
const COMPACT_ENTRIES: usize = 1_000;
/// Entries that are kept while a snapshot is on its way to another machine, which needs them next. The bound on bytes stays:
/// the disk's segments are made for it.
const COMPACT_ENTRIES_LATER: usize = 3_000;

impl ControlMachine {
    /// A message of the log has come.
    pub(super) fn on_consensus(&mut self, message: Message, clock: u64) {
        let (from, term) = (message.from, message.term);
        let is_of_leader = leader_clock::tells_time(&message);
        self.replica.handle_message(self.now, message);
        if is_of_leader && self.replica.term() == term && self.replica.leader() == Some(from) {
            self.leader_clock.hear(self.now, term, clock);
        }
        self.settle();
    }

    /// Carries out what the replica wants.
    pub(super) fn settle(&mut self) {
        loop {
            let outputs = self.replica.take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.carry_out(output);
            }
        }
        let addresses: Vec<String> = self
            .replica
            .membership()
            .all_voters()
            .map(|member| member.address.clone())
            .collect();
        addresses
            .into_iter()
            .for_each(|address| self.connect(address));
        self.answer_reads();
        self.compact();
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Persist { sequence, record } => {
                self.actions.push(Action::Persist { sequence, record })
            }
            Output::Send(message) => {
                if let Some(address) = self.address_of(message.to) {
                    let clock = self.now;
                    self.send(&address, Packet::Consensus { message, clock });
                }
            }
            Output::Apply(entry) => self.apply_entry(entry),
            Output::Restore(snapshot) => match ControlState::decode(&snapshot.state) {
                Ok(state) => {
                    self.applied = snapshot.index;
                    self.restore(state);
                }
                Err(error) => self.log(format!("snapshot {} refused: {error}", snapshot.index)),
            },
            Output::ReadReady { read_id } => self.on_read_confirmed(read_id, true),
            Output::ReadFailed { read_id } => self.on_read_confirmed(read_id, false),
        }
    }

    fn apply_entry(&mut self, entry: Entry) {
        self.applied = entry.index;
        match entry.payload {
            EntryPayload::Command(bytes) => {
                self.log_bytes += bytes.len();
                match Command::deserialize_bin(&bytes) {
                    Ok(command) => self.apply(entry.index, entry.term, command),
                    Err(error) => {
                        self.log(format!("entry {} can't be decoded: {error}", entry.index))
                    }
                }
            }
            EntryPayload::Membership(members) => {
                let addresses = |members: &[Member]| {
                    members
                        .iter()
                        .map(|member| member.address.clone())
                        .collect::<Vec<_>>()
                        .join(",")
                };
                let (voters, next) = (addresses(&members.voters), addresses(&members.next_voters));
                self.log(format!(
                    "members changed index={} voters={voters} next={next}",
                    entry.index
                ));
                self.finish_proposed(entry.index, entry.term, None);
            }
            EntryPayload::Blank => self.finish_proposed(entry.index, entry.term, None),
        }
    }

    fn apply(&mut self, index: u64, term: u64, command: Command) {
        let outcome = self.state.apply(index, &command);
        self.log(format!(
            "order applied index={index} outcome={outcome:?} generation={}",
            self.state.generation()
        ));
        self.publish(FeedEvent::Committed { index, command });
        self.finish_proposed(index, term, Some(outcome));
    }

    fn compact(&mut self) {
        let entries = self.replica.log().entries().len();
        let most = if self.replica.is_sending_snapshot() {
            COMPACT_ENTRIES_LATER
        } else {
            COMPACT_ENTRIES
        };
        if self.log_bytes < COMPACT_BYTES && entries < most {
            return;
        }
        let index = self.state.index;
        if index > self.replica.log().snapshot().index {
            self.log_bytes = 0;
            self.replica.compact(index, self.state.encode());
            for output in self.replica.take_outputs() {
                self.carry_out(output);
            }
        }
    }
}

/// A command as an entry of the log holds it.
pub(super) fn encoded(command: &Command) -> Vec<u8> {
    command.serialize_bin()
}
