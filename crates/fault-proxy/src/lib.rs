//! TCP and UDP proxies on loopback that connect the processes of a test and inject faults by
//! ordered pair of nodes: delay, jitter, loss, duplication, reordering, limited bandwidth,
//! partitions in one direction or both, and resets.
//!
//! The proxies are transparent to the processes: the processes are configured with, or advertise,
//! the addresses of proxies, as behind network address translation. [`schedule`] computes delivery
//! times and performs no input or output; the other modules handle sockets.
//! `docs/cluster-test.md` describes the limits of this approach.

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
