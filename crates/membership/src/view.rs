//! The conclusions of a node about the other members, for use by callers.
//!
//! Verdicts follow the order of a member's statuses, so within a generation a verdict only moves
//! forward: to a later incarnation, or to a worse state of the same incarnation. `Left` ends a
//! generation. While the local member is isolated or has just resumed from a pause, it reports
//! missing knowledge as such and worsens no verdict by its own judgement.

use crate::metadata::{MemberMetadata, Name};
use crate::paths::PathState;
use crate::time::Timestamp;

/// The local member's conclusion about another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The member was reached recently, or other members report it alive and nothing contradicts
    /// them.
    Alive,
    /// The member may be dead: probes failed, but the suspicion has not expired and can still be
    /// refuted.
    Suspect,
    /// Other members reach the member, but a direction between it and the local member is
    /// partitioned.
    Partitioned {
        /// The direction from the local member to the other member.
        outbound: PathState,
        /// The direction from the other member to the local member.
        inbound: PathState,
    },
    /// The member's suspicion expired without a refutation.
    Dead,
    /// The member announced its leave.
    Left,
    /// The member was unreachable for longer than a suspicion lasts but was not declared dead,
    /// because too many members vanished at once or the local member was itself impaired. Holds the
    /// time at which the suspicion began.
    UnknownSince(Timestamp),
}

/// The local member's view of another member.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation<'a> {
    /// Name, generation, address and zone of the other member.
    pub metadata: &'a MemberMetadata,
    /// The conclusion from all observations and updates.
    pub verdict: Verdict,
    /// Time at which the member's current status was received.
    pub since: Timestamp,
    /// Time at which the member was last reached, directly or through a relay.
    pub last_reached_at: Option<Timestamp>,
    /// Names of the members known to suspect this member.
    pub suspected_by: Vec<&'a Name>,
}

/// The part of the fleet that the local member currently reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Confidence {
    /// Fraction of the other members in the local zone that were reached within the observation
    /// lifetime; 1 if the zone has no other members.
    pub own_zone: f64,
    /// Fraction of the members in all other zones that were reached within the observation
    /// lifetime; 1 if there are no such members.
    pub other_zones: f64,
    /// Whether the local member is isolated or has just resumed from a pause. In that state it
    /// suspects no other member.
    pub is_isolated: bool,
}

/// Bounds on the size of the fleet, including the local member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of members that are alive.
    pub min: usize,
    /// Number of members that are alive or suspected.
    pub max: usize,
}
