//! Probes in flight: the local member's own, and those that it relays for others.

use crate::metadata::{MemberMetadata, Name};
use crate::time::Timestamp;

/// The probe that the local member has in flight.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The probed member.
    pub target: MemberMetadata,
    /// The probe's sequence number.
    pub sequence: u64,
    /// When the direct ping was sent.
    pub started_at: Timestamp,
    /// When indirect pings are sent, if no acknowledgement came.
    pub indirect_at: Timestamp,
    /// When the probe fails.
    pub ends_at: Timestamp,
    /// Whether indirect pings were sent.
    pub is_indirect: bool,
    /// Members that were asked to relay it.
    pub relays: usize,
    /// Relays that have reported that the target does not answer them either.
    pub nacks: usize,
    /// Whether nothing was said against the target when the probe started.
    pub target_was_alive: bool,
}

impl Probe {
    /// When it has to be looked at next.
    pub fn deadline(&self) -> Timestamp {
        match self.is_indirect {
            true => self.ends_at,
            false => self.indirect_at,
        }
    }
}

/// A probe that the local member relays for another.
#[derive(Clone, Debug)]
pub struct RelayedProbe {
    /// The member that asked for it.
    pub origin: MemberMetadata,
    /// The sequence number of the origin's own probe.
    pub origin_sequence: u64,
    /// The probed member.
    pub target: Name,
    /// The sequence number of the relayed ping.
    pub sequence: u64,
    /// When the origin is told that the target does not answer.
    pub ends_at: Timestamp,
}
