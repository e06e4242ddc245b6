//! All decisions: where a call goes, whether it is retried, what is rejected.
//!
//! The ordinary path is Ribbon's zone-aware load balancing: stay in the local zone while it is
//! healthy, else avoid the worst zone, and go round robin past servers whose circuit breaker has
//! tripped or that are overloaded. `docs/design.md` has the source, and the condition under which
//! each exception acts.

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
