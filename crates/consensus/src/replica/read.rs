//! Linearizable reads: a leader serves a read only after a quorum has responded to a round of
//! heartbeats that started after the request (dissertation, section 6.4).

use super::Replica;
use crate::leader_state::PendingRead;
use crate::membership::Member;
use crate::output::Output;
use crate::role::Role;

impl Replica {
    /// Requests a linearizable read of the state machine. The replica answers with an
    /// [`Output::ReadReady`] or [`Output::ReadFailed`] that carries `read_id`.
    pub fn request_read(&mut self, read_id: u64) {
        let commit_index = self.commit_index;
        let leader = match &mut self.role {
            Role::Leader(leader) if commit_index >= leader.first_index => leader,
            _ => {
                self.outputs.push_back(Output::ReadFailed { read_id });
                return;
            }
        };
        let confirming_round = leader.rounds.latest_number() + 1;
        leader.pending_reads.push_back(PendingRead {
            read_id,
            confirming_round,
        });
        self.send_heartbeats();
        self.confirm_reads();
    }

    /// Completes the pending reads whose heartbeat round a quorum has acknowledged.
    pub(super) fn confirm_reads(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let membership = self.log.membership();
        let progress = &leader.progress;
        let id = self.id;
        let is_confirmed = |read: &PendingRead| {
            membership.is_quorum(|member: &Member| {
                let has_responded = progress
                    .get(&member.id)
                    .is_some_and(|progress| progress.acknowledged_round >= read.confirming_round);
                member.id == id || has_responded
            })
        };
        while let Some(read) = leader.pending_reads.front().copied().filter(&is_confirmed) {
            leader.pending_reads.pop_front();
            self.outputs.push_back(Output::ReadReady {
                read_id: read.read_id,
            });
        }
    }
}
