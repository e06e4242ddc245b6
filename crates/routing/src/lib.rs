//! Which upstream a request goes to, or when it may come back.
//!
//! The design is Ribbon's: a balancer stays in its region unless the region's health says otherwise, round robin passes
//! over tripped and over-full upstreams, breakers trip after a few consecutive failures. Requests that share a long
//! beginning of their prompts go to the same upstream where it has room, since it keeps what it has read.
//!
//! No I/O, no clock: times are milliseconds of the caller's clock, randomness is seeded.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod breaker;
mod budget;
mod eligibility;
mod fleet;
mod fleet_loads;
mod kept;
mod locality;
mod outage;
mod query;
mod regions;
mod router;
mod selection;
mod upstream;

pub use breaker::CircuitBreaker;
pub use budget::{RetryBudget, WarmupQuota};
pub use eligibility::SkipReason;
pub use fleet::Fleet;
pub use locality::{Locality, RegionLoad};
pub use query::{CandidateSummary, Decision, Query, Rejection, Target};
pub use router::{Location, Router, RoutingLimits};
pub use upstream::{Outcome, Prompt, UpstreamId};
