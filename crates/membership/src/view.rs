//! What others build on: who is there, and how sure that is.
//!
//! A member's states follow the order of its claims, so that within a life a view only moves forward: to a later
//! incarnation, or to a worse state of the same. `Left` is the end of a life. What this member cannot know, since it was
//! cut off or has just woken, it says as such: then no state of another gets worse by its own judgement.

use crate::card::{MemberMetadata, Name};
use crate::reach::PathState;

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was found lately, or another says so and nothing speaks against it.
    Alive,
    /// It may be gone: nobody found it, and there is time to contradict.
    Suspect,
    /// Others find it; between it and this member a way is cut.
    Partitioned {
        /// From this member to it.
        to: PathState,
        /// From it to this member.
        from: PathState,
    },
    /// It is gone.
    Dead,
    /// It said so.
    Left,
    /// Not found for longer than a suspicion lasts, but neither dead: too many vanished at once, or this member
    /// could not know.
    UnknownSince(u64),
}

/// One line of a view.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation<'a> {
    /// Who.
    pub card: &'a MemberMetadata,
    /// Its state.
    pub state: Verdict,
    /// Since when that is claimed.
    pub since: u64,
    /// When it was last found to be there.
    pub found_at: Option<u64>,
    /// Who suspects it.
    pub suspected_by: Vec<&'a Name>,
}

/// How much of the fleet is heard at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Confidence {
    /// Part of the own zone's other members that were found lately; 1 where there is none.
    pub own_zone: f64,
    /// Part of the other zones' members.
    pub others: f64,
    /// Whether this member is cut off, or has just woken, so that it judges nobody.
    pub cut_off: bool,
}

/// How large the fleet is, this member included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Those that nothing is said against.
    pub least: usize,
    /// Those that are not known to be gone.
    pub most: usize,
}
