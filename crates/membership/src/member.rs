//! One other member, as the local one knows it.

use crate::message::MemberUpdate;
use crate::metadata::{MemberMetadata, Name};
use crate::paths::Paths;
use crate::status::{MemberState, MemberStatus};
use crate::suspicion::Suspicion;
use crate::time::Timestamp;

/// One other member, as the local one knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its metadata.
    pub metadata: MemberMetadata,
    /// The greatest status that was received.
    pub status: MemberStatus,
    /// When that status was received.
    pub since: Timestamp,
    /// Present while it is suspected.
    pub suspicion: Option<Suspicion>,
    /// Its host has refused a connection: no such process runs there.
    pub connection_refused: bool,
    /// The directions between it and the local member.
    pub paths: Paths,
    /// When it was last reached, directly or through others.
    pub last_reached_at: Option<Timestamp>,
    /// The relay through which it was last reached: where few see both sides of a partition, they
    /// have to be asked again.
    pub reached_through: Option<Name>,
    /// When it was last asked to relay a probe, unless it has reached the target.
    pub failed_relay_at: Option<Timestamp>,
}

impl Member {
    /// A member that was just heard of.
    pub fn new(metadata: MemberMetadata, status: MemberStatus, now: Timestamp) -> Self {
        Self {
            metadata,
            status,
            since: now,
            suspicion: None,
            connection_refused: false,
            paths: Paths::default(),
            last_reached_at: None,
            reached_through: None,
            failed_relay_at: None,
        }
    }

    /// Its status, to be passed on.
    pub fn update(&self) -> MemberUpdate {
        let suspicion = self.suspicion.as_ref();
        let by = suspicion.and_then(|suspicion| suspicion.by().next().cloned());
        MemberUpdate {
            metadata: self.metadata.clone(),
            status: self.status,
            by,
        }
    }

    /// Whether it belongs to the fleet: neither dead nor left.
    pub fn is_present(&self) -> bool {
        matches!(self.status.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Whether nothing is said against it.
    pub fn is_alive(&self) -> bool {
        self.status.state == MemberState::Alive
    }

    /// Whether it has sent the local member a message since it is suspected: then it is not gone.
    pub fn received_since_suspected(&self) -> bool {
        let suspicion = self.suspicion.as_ref();
        suspicion.is_some_and(|suspicion| self.paths.received_since(suspicion.started_at()))
    }
}
