//! What a node concludes about the others, for callers to build on.
//!
//! The verdicts on a member follow the order of its statuses, so within a generation a view only
//! moves forward: to a later incarnation, or to a worse state of the same one. `Left` ends a
//! generation. What the local member cannot know, because it was isolated or has just resumed, it
//! reports as such: no verdict on another gets worse by its own judgement then.

use crate::metadata::{MemberMetadata, Name};
use crate::paths::PathState;
use crate::time::Timestamp;

/// What the local member concludes about another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was reached lately, or others report it and nothing speaks against it.
    Alive,
    /// It may be gone: nobody reached it, and there is still time to refute that.
    Suspect,
    /// Others reach it, but a direction between it and the local member is partitioned.
    Partitioned {
        /// From the local member to it.
        outbound: PathState,
        /// From it to the local member.
        inbound: PathState,
    },
    /// It is gone.
    Dead,
    /// It announced that it leaves.
    Left,
    /// Not reached for longer than a suspicion lasts, but not declared dead: too many members
    /// vanished at once, or the local member could not know. Holds the time of the suspicion.
    UnknownSince(Timestamp),
}

/// What the local member observes of another one.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation<'a> {
    /// The member.
    pub metadata: &'a MemberMetadata,
    /// The conclusion.
    pub verdict: Verdict,
    /// When the member's present status was learned.
    pub since: Timestamp,
    /// When the member was last reached, directly or through others.
    pub last_reached_at: Option<Timestamp>,
    /// The members that suspect it.
    pub suspected_by: Vec<&'a Name>,
}

/// How much of the fleet the local member reaches at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Confidence {
    /// Fraction of the other members of the local zone that were reached lately; 1 where there are
    /// none.
    pub own_zone: f64,
    /// The same fraction of the members of all other zones.
    pub other_zones: f64,
    /// Whether the local member is isolated or has just resumed, and so suspects nobody.
    pub is_isolated: bool,
}

/// Size of the fleet, the local member included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Members that are alive.
    pub min: usize,
    /// Members that are alive or suspected.
    pub max: usize,
}
