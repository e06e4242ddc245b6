//! Evacuation of failing servers, zones and regions. The balancers of a fleet decide jointly, rather
//! than each for itself, to move their work elsewhere.
//!
//! A *domain* in this crate is a failure domain: a server, a class of calls at a zone, a zone or a
//! region. Each balancer assesses all health reports (`woadstall-health-reports`) and takes each
//! domain through the same phases: in use, suspected, draining, evacuated, restoring. Balancers
//! with the same reports reach the same result. They publish it as [`DomainDecision`]s, so that a
//! balancer that was absent can adopt the decisions on which several others agree.
//!
//! [`EvacuationEngine`] makes the decisions. [`Coordinator`] connects it to a member of the fleet
//! (`woadstall-membership`) and to the decision module. The decision module receives the share of
//! new work that each domain is to get, and still chooses the server for each request itself.
//!
//! The crate does no I/O and reads no clock: `now` is nanoseconds on the member's clock, `now_ms` is
//! Unix time in milliseconds. The design is described in `docs/evacuation.md`.

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
