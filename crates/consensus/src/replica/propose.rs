//! Commands of clients.

use super::Replica;
use crate::entry::EntryPayload;
use crate::error::ProposeError;
use crate::log_position::LogPosition;
use crate::role::Role;

/// Bytes of entries that may wait to be committed: with a snapshot and what is compacted next, they
/// fit a segment of the durable storage.
const MAX_UNCOMMITTED_BYTES: usize = 4 << 20;

impl Replica {
    /// Appends a command to the log of the leader and replicates it. The position identifies the
    /// command when it is applied; if another entry is applied at its index, the command was lost.
    ///
    /// # Errors
    ///
    /// [`ProposeError`] if this replica does not lead, is handing leadership over, or has too much
    /// uncommitted.
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
