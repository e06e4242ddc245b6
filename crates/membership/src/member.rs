//! The local member's knowledge of one other member.

use crate::message::MemberUpdate;
use crate::metadata::{MemberMetadata, Name};
use crate::paths::Paths;
use crate::status::{MemberState, MemberStatus};
use crate::suspicion::Suspicion;
use crate::time::Timestamp;

/// The local member's knowledge of one other member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Metadata of the current generation.
    pub metadata: MemberMetadata,
    /// The greatest status received.
    pub status: MemberStatus,
    /// Time at which the current status was received.
    pub since: Timestamp,
    /// The suspicion, present while the member is suspected.
    pub suspicion: Option<Suspicion>,
    /// Whether the member's host refused a connection to the member's address, which shows that no
    /// process listens there.
    pub connection_refused: bool,
    /// State of the two directions between the local member and this member.
    pub paths: Paths,
    /// Time at which the member was last reached, directly or through a relay.
    pub last_reached_at: Option<Timestamp>,
    /// The relay through which the member was last reached. Later probes ask the same relay again,
    /// since few members may reach both sides of a partition.
    pub reached_through: Option<Name>,
    /// Time of the last request to relay a probe; cleared when the relay reaches the target of a
    /// probe.
    pub failed_relay_at: Option<Timestamp>,
}

impl Member {
    /// Creates an entry for a newly discovered member.
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

    /// The member's status as an update for other members.
    pub fn status_update(&self) -> MemberUpdate {
        let suspicion = self.suspicion.as_ref();
        let by = suspicion.and_then(|suspicion| suspicion.suspected_by().next().cloned());
        MemberUpdate {
            metadata: self.metadata.clone(),
            status: self.status,
            by,
        }
    }

    /// Whether the member belongs to the fleet, that is, neither died nor left.
    pub fn is_present(&self) -> bool {
        matches!(self.status.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Whether the member's status is `Alive`.
    pub fn is_alive(&self) -> bool {
        self.status.state == MemberState::Alive
    }

    /// Whether a direct message from the member arrived since the start of the suspicion, which
    /// shows that the member is running.
    pub fn received_since_suspected(&self) -> bool {
        let suspicion = self.suspicion.as_ref();
        suspicion.is_some_and(|suspicion| self.paths.received_since(suspicion.started_at()))
    }
}
