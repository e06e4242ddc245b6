//! One other member, as this one knows it.

use crate::card::{MemberMetadata, Name};
use crate::claim::{MemberState, MemberStatus};
use crate::message::MemberUpdate;
use crate::reach::Paths;
use crate::suspicion::Suspicion;

/// See the module's documentation.
#[derive(Clone, Debug)]
pub struct Member {
    /// Who it is.
    pub card: MemberMetadata,
    /// The last that is claimed of it.
    pub claim: MemberStatus,
    /// Since when that is claimed.
    pub since: u64,
    /// While it is suspected.
    pub suspicion: Option<Suspicion>,
    /// Its host has said that no such process is there.
    pub refused: bool,
    /// Which ways between it and this member work.
    pub reach: Paths,
    /// When it was last found to be there, directly or by way of others.
    pub found_at: Option<u64>,
    /// The last helper by whose way it was found: where few see both sides, they have to be asked again.
    pub found_by: Option<Name>,
    /// When it was last asked as a helper and had not found anybody; 0 if it did.
    pub in_vain_at: u64,
}

impl Member {
    /// One that was just heard of.
    pub fn new(card: MemberMetadata, claim: MemberStatus, now: u64) -> Self {
        let (suspicion, reach) = (None, Paths::default());
        Self {
            card,
            claim,
            since: now,
            suspicion,
            refused: false,
            reach,
            found_at: None,
            found_by: None,
            in_vain_at: 0,
        }
    }

    /// What is claimed of it, to be passed on.
    pub fn news(&self) -> MemberUpdate {
        let by = self
            .suspicion
            .as_ref()
            .and_then(|suspicion| suspicion.by().next().cloned());
        MemberUpdate {
            card: self.card.clone(),
            claim: self.claim,
            by,
        }
    }

    /// Whether it counts as a part of the fleet: neither dead nor gone.
    pub fn counts(&self) -> bool {
        matches!(self.claim.said, MemberState::Alive | MemberState::Suspect)
    }

    /// Whether it has spoken to this member itself since it is suspected: then it is not gone.
    pub fn spoke_since_suspected(&self) -> bool {
        self.suspicion
            .as_ref()
            .is_some_and(|suspicion| self.reach.spoke_since(suspicion.began()))
    }

    /// Whether nothing is said against it.
    pub fn is_alive(&self) -> bool {
        self.claim.said == MemberState::Alive
    }
}
