//! A leader's view of one follower.

use crate::config::Milliseconds;
use crate::log_position::LogIndex;
use crate::snapshot_transfer::SnapshotSender;

/// The replication progress of a follower.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// The index of the next entry to send (`nextIndex` in Raft).
    pub next_index: LogIndex,
    /// The last index that is known to be durable there (`matchIndex` in Raft).
    pub match_index: LogIndex,
    /// When the newest round of heartbeats that it responded to started; `None` if it has not
    /// responded in this term.
    pub last_contact: Option<Milliseconds>,
    /// The newest round of heartbeats that it responded to.
    pub acknowledged_round: u64,
    /// The snapshot that is being sent there.
    pub snapshot: Option<SnapshotSender>,
}

impl Progress {
    /// The progress of a follower that is assumed to have all entries before `next_index`.
    pub fn starting_at(next_index: LogIndex) -> Self {
        Self {
            next_index,
            ..Self::default()
        }
    }
}
