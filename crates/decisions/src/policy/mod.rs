//! Load-balancing policies: server selection, retries and rejection of requests.
//!
//! The common path is Ribbon's zone-aware load balancing: a call stays in the local zone while that
//! zone is healthy and otherwise avoids the worst zone. Within the zone, a round robin skips
//! servers that are overloaded or whose circuit breaker has tripped. `docs/design.md` cites the
//! source and states the condition of each exception to this path.

mod breakers;
mod connections;
mod load_probes;
mod load_shedding;
mod outcomes;
mod requests;
mod retries;
mod round_robin;
mod slow_start;
mod subscription;
mod zones;
