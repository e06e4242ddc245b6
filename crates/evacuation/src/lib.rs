//! Leaving nodos, zones and regions that fail as a fleet, and not one by one.
//!
//! Each balancer weighs what all have told (`woadstall-health-reports`) and goes through the same states: in use, doubted,
//! leaving, left, returning. Those that hear the same find the same; what they found they tell as a [`PlaceDecision`], so that
//! one that was not there learns it from several who were. [`EvacuationEngine`] decides, [`Coordinator`] puts it between a member
//! (`woadstall-membership`) and the decision module, which is told shares of new work and still chooses. Nothing here does
//! input or output or reads a clock. The design is in `docs/evacuation.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod coordinator;
mod decide;
mod order;
mod packed;
mod place_decision;
mod standing;
mod status;

pub use coordinator::{Coordinator, CoordinatorOutput, Line, Settings, Topology, Zone};
pub use decide::{EngineInput, EvacuationEngine, StateChange};
pub use order::{Order, OrderAction, OrderError, OrderTable};
pub use place_decision::{PlaceDecision, PlaceDecisionError};
pub use standing::{Alternatives, Cause, Phase, PlaceState};
pub use status::{PlaceStatus, Status};
