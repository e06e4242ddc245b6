//! Evacuation: a fleet of balancers moves its work away from servers, zones and regions that fail, together and not one by
//! one.
//!
//! Each balancer assesses all health reports (`woadstall-health-reports`) and takes each place through the same phases: in use,
//! suspected, draining, evacuated, restoring. Balancers with the same reports come to the same result; they publish it as
//! [`PlaceDecision`]s, so that one that was absent learns it from several that were present.
//!
//! [`EvacuationEngine`] decides. [`Coordinator`] connects it to a member of the fleet (`woadstall-membership`) and to the
//! decision module, which is given shares of new work and still chooses. The crate does no I/O and reads no clock: `now` is
//! nanoseconds on the member's clock, `now_ms` is Unix time in milliseconds. The design is in `docs/evacuation.md`.

mod coordinator;
mod engine;
mod order;
mod packed_list;
mod place_decision;
mod place_state;
mod status;
mod topology;

pub use coordinator::{Coordinator, CoordinatorOutput, CoordinatorSettings, ListedServer, LogLine};
pub use engine::{EngineInput, EvacuationEngine, MemberDecisions, StateChange};
pub use order::{Order, OrderAction, OrderError, OrderTable, SubmitError};
pub use packed_list::PackedListError;
pub use place_decision::{PlaceDecision, PlaceDecisionError};
pub use place_state::{Alternatives, Cause, Phase, PlaceState};
pub use status::{PlaceStatus, Status};
pub use topology::{Topology, Zone};
