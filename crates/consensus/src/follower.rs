//! What a follower does with entries and snapshots.

use crate::durable::Record;
use crate::log::{Entry, Snapshot};
use crate::membership::ReplicaId;
use crate::message::MessageBody;
use crate::replica::{Output, Replica};
use crate::snapshots::{IncomingSnapshot, Received, SnapshotChunk};

impl Replica {
    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        previous: (u64, u64),
        mut entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let (previous_index, previous_term) = previous;
        let begin = self.log.snapshot().index;
        let matches =
            previous_index < begin || self.log.term_at(previous_index) == Some(previous_term);
        if !matches {
            let index = self.log.last_index().min(previous_index.saturating_sub(1));
            // Positions up to the commit agree with every leader.
            let index = index.max(self.commit.min(previous_index.saturating_sub(1)));
            self.send(
                from,
                MessageBody::AppendReply {
                    success: false,
                    index,
                    round,
                },
            );
            return;
        }
        let end = previous_index + entries.len() as u64;
        entries.retain(|entry| entry.index > begin);
        let known = entries
            .iter()
            .take_while(|entry| self.log.term_at(entry.index) == Some(entry.term))
            .count();
        entries.drain(..known);
        self.append(entries);
        if commit > self.commit {
            self.commit = commit.min(end).max(self.commit);
            self.apply_committed();
        }
        if self.durable < end {
            let index = self.durable;
            self.send(
                from,
                MessageBody::AppendReply {
                    success: true,
                    index,
                    round,
                },
            );
        }
        self.send_durably(
            from,
            MessageBody::AppendReply {
                success: true,
                index: end,
                round,
            },
        );
    }

    pub(crate) fn on_install(&mut self, from: ReplicaId, piece: SnapshotChunk, round: u64) {
        let head = piece.head;
        if head.index > self.commit {
            match IncomingSnapshot::receive(&mut self.incoming, piece) {
                Received::Whole(snapshot) => self.take_snapshot(snapshot),
                Received::Part(received) => {
                    self.send(
                        from,
                        MessageBody::InstallReply {
                            head,
                            received,
                            round,
                        },
                    );
                    return;
                }
            }
        }
        self.send_durably(
            from,
            MessageBody::AppendReply {
                success: true,
                index: head.index,
                round,
            },
        );
    }

    fn take_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        self.log.install(snapshot.clone());
        (self.commit, self.applied) = (index, index);
        self.durable = self.durable.min(index);
        self.appended.retain(|(_, end, _)| *end > index);
        self.appended
            .push_back((self.next_sequence, index, snapshot.term));
        self.persist(Record::InstallSnapshot(snapshot.clone()));
        self.outputs.push_back(Output::Restore(snapshot));
    }
}
