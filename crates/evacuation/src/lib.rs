//! Evacuation: a fleet of balancers moves its work away from servers, zones and regions that fail,
//! together and not one by one.
//!
//! A *domain* in this crate is a failure domain: a server, a class of calls at a zone, a zone or a
//! region. Each balancer assesses all health reports (`woadstall-health-reports`) and takes each
//! domain through the same phases: in use, suspected, draining, evacuated, restoring. Balancers
//! with the same reports come to the same result; they publish it as [`DomainDecision`]s, so that a
//! balancer that was absent learns it from several that were present.
//!
//! [`EvacuationEngine`] decides. [`Coordinator`] connects it to a member of the fleet
//! (`woadstall-membership`) and to the decision module, which is given shares of new work and still
//! chooses. The crate does no I/O and reads no clock: `now` is nanoseconds on the member's clock,
//! `now_ms` is Unix time in milliseconds. The design is in `docs/evacuation.md`.

mod coordinator;
mod domain_decision;
mod domain_state;
mod engine;
mod order;
mod status;
mod topology;

pub use coordinator::{Coordinator, CoordinatorOutput, CoordinatorSettings, ListedServer, LogLine};
pub use domain_decision::{DomainDecision, DomainDecisionError};
pub use domain_state::{Alternatives, Cause, DomainState, Phase};
pub use engine::{EngineInput, EvacuationEngine, MemberDecisions, StateChange};
pub use order::{Order, OrderAction, OrderError, OrderTable, SubmitError};
pub use status::{DomainStatus, Status};
pub use topology::{Topology, Zone};
