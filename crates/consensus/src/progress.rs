//! The replication progress of one follower, as its leader knows it.

use crate::config::Milliseconds;
use crate::log_position::LogIndex;
use crate::snapshot_transfer::SnapshotSender;

/// The replication progress of a follower.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// The index of the next entry to send (`nextIndex` in Raft).
    pub next_index: LogIndex,
    /// The last index that the leader knows to be durable on the follower (`matchIndex` in Raft).
    pub match_index: LogIndex,
    /// The start time of the newest heartbeat round to which the follower has responded; `None` if
    /// the follower has not responded in this term.
    pub last_contact: Option<Milliseconds>,
    /// The number of the newest heartbeat round to which the follower has responded.
    pub acknowledged_round: u64,
    /// The snapshot transfer to the follower, if one is in progress.
    pub snapshot: Option<SnapshotSender>,
}

impl Progress {
    /// Creates the progress of a follower that is assumed to have all entries before `next_index`.
    pub fn starting_at(next_index: LogIndex) -> Self {
        Self {
            next_index,
            ..Self::default()
        }
    }
}
