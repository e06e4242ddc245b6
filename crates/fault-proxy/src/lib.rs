//! Proxies on loopback through which the processes of a test reach each other, with faults by
//! ordered pair of nodes: delay, jitter, loss, duplication, reordering, limited bandwidth,
//! partitions in one direction or both, resets; TCP and UDP.
//!
//! The processes know nothing of it: they are given, or announce, addresses that lead through it,
//! as behind an address translator. [`schedule`] decides when bytes are delivered, without input or
//! output; the rest is sockets. `docs/cluster-test.md` has what this cannot show.

mod conditions;
mod counters;
mod proxy;
pub mod schedule;
mod shared;
mod state;
mod tcp;
mod udp;

pub use conditions::{ConditionsError, LinkConditions, MAX_DELAY};
pub use counters::TrafficCounts;
pub use proxy::FaultProxy;
pub use state::NodeId;
