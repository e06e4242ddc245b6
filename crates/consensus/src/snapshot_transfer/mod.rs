//! The transfer of a snapshot from a leader to a follower, in chunks. After a loss, the leader
//! sends the chunks again from the offset up to which the follower has received the snapshot. If
//! another leader sends the same snapshot, the transfer continues from that offset.

mod receiver;
mod sender;

pub(crate) use receiver::{ChunkOutcome, SnapshotReceiver};
pub(crate) use sender::SnapshotSender;
