//! Reads: a leader answers one only once a quorum has answered a round of heartbeats that began after it.

use crate::membership::Member;
use crate::replica::{Output, Replica};
use crate::roles::{Read, Role};

impl Replica {
    /// Asks to read the state machine as of now; [`Output::ReadReady`] or [`Output::ReadFailed`] answers.
    pub fn request_read(&mut self, number: u64) {
        let committed = self.commit;
        let Role::Leader(leadership) = &mut self.role else {
            self.outputs
                .push_back(Output::ReadFailed { read_id: number });
            return;
        };
        if committed < leadership.first_index {
            self.outputs
                .push_back(Output::ReadFailed { read_id: number });
            return;
        }
        let round = leadership.round + 1;
        leadership.reads.push_back(Read { number, round });
        self.heartbeat();
        self.confirm_reads();
    }

    pub(crate) fn confirm_reads(&mut self) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let members = self.log.membership();
        let (id, progress) = (self.id, &leadership.progress);
        let confirmed = |read: &Read| {
            members.is_quorum(|member: &Member| {
                let answered = progress
                    .get(&member.id)
                    .is_some_and(|progress| progress.round >= read.round);
                member.id == id || answered
            })
        };
        while leadership.reads.front().is_some_and(&confirmed) {
            let read = leadership.reads.pop_front();
            self.outputs.extend(read.map(|read| Output::ReadReady {
                read_id: read.number,
            }));
        }
    }
}
