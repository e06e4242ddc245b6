//! Commands that clients propose to the leader.

use super::Replica;
use crate::entry::EntryPayload;
use crate::error::ProposeError;
use crate::log_position::LogPosition;
use crate::role::Role;

/// The total size of uncommitted entries above which the leader rejects commands. With this limit,
/// a snapshot, the entries that are compacted next and the uncommitted entries together fit in one
/// segment of the durable storage.
const MAX_UNCOMMITTED_BYTES: usize = 4 << 20;

impl Replica {
    /// Appends a command to the leader's log and replicates it. The returned position identifies
    /// the command when its entry is applied. If an entry of another term is applied at the same
    /// index, the command is lost.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError`] if this replica is not the leader, is transferring leadership, or
    /// has too many bytes of uncommitted entries.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<LogPosition, ProposeError> {
        let Role::Leader(leader) = &self.role else {
            return Err(ProposeError::NotLeader {
                leader: self.leader(),
            });
        };
        if leader
            .transfer_deadline
            .is_some_and(|deadline| self.now < deadline)
        {
            return Err(ProposeError::TransferInProgress);
        }
        let uncommitted_bytes = self.log.bytes_after(self.commit_index);
        if uncommitted_bytes > MAX_UNCOMMITTED_BYTES {
            return Err(ProposeError::Backlogged { uncommitted_bytes });
        }
        let entry = self.next_entry(EntryPayload::Command(command));
        let position = entry.position();
        self.append(vec![entry]);
        self.replicate();
        Ok(position)
    }
}
