//! Probes in flight: the local member's own probe, and probes relayed for other members.

use crate::metadata::{MemberMetadata, Name};
use crate::time::Timestamp;

/// The local member's own probe.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The member to probe.
    pub target: MemberMetadata,
    /// The probe's sequence number.
    pub sequence: u64,
    /// Time at which the direct ping was sent.
    pub started_at: Timestamp,
    /// Time at which indirect pings are sent if no acknowledgement has arrived.
    pub indirect_at: Timestamp,
    /// Time at which the probe fails.
    pub ends_at: Timestamp,
    /// Whether indirect pings have been sent.
    pub is_indirect: bool,
    /// Number of members that were asked to relay the probe.
    pub relays: usize,
    /// Number of relays that reported no answer from the target.
    pub nacks: usize,
    /// Whether the target was alive by its status when the probe started.
    pub target_was_alive: bool,
}

impl Probe {
    /// Time of the probe's next timer.
    pub fn deadline(&self) -> Timestamp {
        match self.is_indirect {
            true => self.ends_at,
            false => self.indirect_at,
        }
    }
}

/// A probe that the local member relays for another member.
#[derive(Clone, Debug)]
pub struct RelayedProbe {
    /// The member that requested the probe.
    pub origin: MemberMetadata,
    /// The sequence number of the origin's own probe.
    pub origin_sequence: u64,
    /// The member to probe.
    pub target: Name,
    /// The sequence number of the relayed ping.
    pub sequence: u64,
    /// Time at which the origin receives a nack if the target has not answered.
    pub ends_at: Timestamp,
}
