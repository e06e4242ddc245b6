//! Upstream selection for requests to language-model services.
//!
//! [`Router`] holds the routing state of one balancer: the registered upstreams with this
//! balancer's own request counts, circuit breakers, retry budgets and zone outages, and the load
//! reports of other balancers. For each [`Query`], the router returns a [`Decision`]: the upstream
//! that the request is forwarded to, or a rejection with a retry delay.
//!
//! The design follows Netflix's Ribbon. A balancer sends requests to its own region unless that
//! region is unhealthy or overloaded. Round robin skips upstreams whose circuit breaker is open or
//! which have reached their concurrency limit. Circuit breakers open after a few consecutive
//! failures. Requests whose prompts share a long prefix go to the same upstream while that upstream
//! has capacity, because its prefix cache already holds the tokens of the prefix.
//!
//! The crate does no I/O and does not read a clock. Every `now` argument is a time in milliseconds
//! on the caller's monotonic clock. Random numbers come from a generator that the caller seeds.

mod circuit_breaker;
mod fleet;
mod locality;
mod placement_log;
mod prefix_cache;
mod query;
mod retry_budget;
mod router;
mod skip_reason;
mod upstream;
mod warmup_quota;
mod zone_outage;

pub use circuit_breaker::CircuitBreaker;
pub use fleet::Fleet;
pub use locality::{Locality, RegionLoad};
pub use query::{CandidateSummary, Decision, Query, Rejection, Target};
pub use retry_budget::RetryBudget;
pub use router::{Location, Router, RoutingLimits};
pub use skip_reason::SkipReason;
pub use upstream::{Outcome, Prompt, UpstreamId};
pub use warmup_quota::{QuotaGroup, WarmupQuota};
