//! The transfer of a snapshot from a leader to a follower, in chunks. Lost chunks are sent again
//! from the follower's offset; what a follower has received stays valid under another leader that
//! sends the same snapshot.

mod receiver;
mod sender;

pub(crate) use receiver::{ChunkOutcome, SnapshotReceiver};
pub(crate) use sender::SnapshotSender;
