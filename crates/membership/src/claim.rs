//! What is claimed about a life. Claims have one order, and the last of two wins wherever they meet, so that members
//! that heard the same, in any order and however often, hold the same.

use crate::card::Generation;
use serde::{Deserialize, Serialize};

/// What is said of a member; each outranks the ones before it in the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It is there.
    Alive,
    /// It may be gone.
    Suspect,
    /// It is gone. It says otherwise itself in a later incarnation, if it only slept.
    Dead,
    /// It said so itself; there is nothing after this in its life.
    Left,
}

/// A claim about a life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The life that it is about.
    pub life: Generation,
    /// Raised by the member alone, to contradict what is said of it.
    pub incarnation: u32,
    /// What is said.
    pub said: MemberState,
}

impl MemberStatus {
    /// Everything is earlier.
    pub fn left(life: Generation) -> Self {
        Self {
            life,
            incarnation: u32::MAX,
            said: MemberState::Left,
        }
    }

    /// The incarnation in which the member can contradict this; `None` if it cannot.
    pub fn contradiction(&self) -> Option<u32> {
        // The last is kept for those that left.
        self.incarnation
            .checked_add(1)
            .filter(|next| *next < u32::MAX)
    }
}
