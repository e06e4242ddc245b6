//! What is said about a member. Statuses are totally ordered and the greater of two replaces the
//! other wherever they meet, so members that received the same ones, in any order and however often,
//! agree.

use crate::metadata::Generation;
use serde::{Deserialize, Serialize};

/// The states of a member; each overrides the ones before it in the same incarnation (SWIM,
/// section 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It is there.
    Alive,
    /// It may be gone.
    Suspect,
    /// It is gone. If it was only paused, it refutes that in a later incarnation.
    Dead,
    /// It announced that it leaves; nothing follows in its generation.
    Left,
}

/// The state of one generation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The generation that it is about.
    pub generation: Generation,
    /// SWIM's incarnation number: raised by the member alone, to refute what is said about it.
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
}

impl MemberStatus {
    /// The last status of a generation: all others of it are less.
    pub fn left(generation: Generation) -> Self {
        Self {
            generation,
            incarnation: u32::MAX,
            state: MemberState::Left,
        }
    }

    /// The incarnation in which the member refutes this status; `None` where it cannot.
    pub fn refuting_incarnation(&self) -> Option<u32> {
        // The greatest is reserved for members that left.
        let next = self.incarnation.checked_add(1);
        next.filter(|next| *next < u32::MAX)
    }
}
