//! Upstream selection: which upstream takes a request, or when its client should retry.
//!
//! [`Router`] holds all state of one balancer's routing: the registered upstreams with this
//! balancer's own counts of them, circuit breakers, retry budgets, zone outages, and what the other
//! balancers report. For each [`Query`] it returns a [`Decision`].
//!
//! The design follows Netflix's Ribbon: a balancer stays in its own region unless the region's
//! health says otherwise, round robin skips upstreams with an open breaker or over their
//! concurrency limit, and breakers open after a few consecutive failures. Requests whose prompts
//! share a long prefix go to the same upstream while it has capacity, since its prefix cache holds
//! the tokens already.
//!
//! The crate does no I/O and reads no clock. Every `now` is a time in milliseconds on the caller's
//! monotonic clock; randomness comes from a generator that the caller seeds.

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
