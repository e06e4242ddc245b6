//! Claims about a member's state. Statuses are totally ordered, and the greater of two statuses
//! always replaces the lesser. Members that received the same statuses therefore agree, whatever
//! the order and number of deliveries.

use crate::metadata::Generation;
use serde::{Deserialize, Serialize};

/// The states of a member. Each state overrides the preceding ones in the same incarnation (SWIM,
/// section 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member is running.
    Alive,
    /// The member may be dead.
    Suspect,
    /// The member is dead. A member that was only paused refutes its death in a later incarnation.
    Dead,
    /// The member announced its leave. No other state follows in the same generation.
    Left,
}

/// The state of a member in one generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Generation to which the status applies.
    pub generation: Generation,
    /// SWIM's incarnation number, which only the member itself raises in order to refute a claim.
    pub incarnation: u32,
    /// Claimed state of the member.
    pub state: MemberState,
}

impl MemberStatus {
    /// The greatest status of a generation, which overrides all others.
    pub fn left(generation: Generation) -> Self {
        Self {
            generation,
            incarnation: u32::MAX,
            state: MemberState::Left,
        }
    }

    /// The incarnation in which the member refutes this status, or `None` if no such incarnation
    /// exists.
    pub fn refuting_incarnation(&self) -> Option<u32> {
        // The greatest incarnation is reserved for members that left.
        let next = self.incarnation.checked_add(1);
        next.filter(|next| *next < u32::MAX)
    }
}
