//! Deterministic simulation testing of the control plane in virtual time, with the production code
//! of its state machines and storage.
//!
//! A [`cluster::Cluster`] runs control processes over a simulated network (latency, one-way
//! partitions, limited bandwidth, packets that arrive after their connection was reset) and
//! simulated disks (stalls, rejected writes, loss of unsynced writes). Processes crash, pause and
//! restart. Operators, upstreams and balancers are the clients. The [`invariants`] are checked
//! after each event, and the [`history`] of operators' requests is checked for linearizability. A
//! [`scenario::Scenario`] is a list of steps, generated from a seed, that can be replayed and
//! shrunk.
//!
//! All times are milliseconds of virtual time since the start of the cluster, unless
//! documented otherwise.

pub mod balancer;
pub mod cluster;
pub mod digest;
pub mod disk;
pub mod event_queue;
pub mod gossip_faults;
pub mod history;
pub mod invariants;
pub mod medium;
pub mod network;
pub mod scenario;

/// Index of a simulated node, from 0 in the order in which nodes were added.
pub type NodeIndex = usize;
