//! The control plane as it is shipped, in virtual time (deterministic simulation testing).
//!
//! A [`cluster::Cluster`] runs control processes over a simulated network (latency, partitions in
//! one direction, packets that arrive after their connection was given up, narrow links) and
//! simulated disks (stalls, rejected writes, loss of what was not synced), with processes that
//! crash, pause and restart, and with operators, upstreams and balancers as clients. [`invariants`]
//! are checked after each event; whole [`history`] records of client operations are checked for
//! linearizability. A [`scenario::Scenario`] is a list of steps, generated from a seed, that can be
//! run again and shrunk.
//!
//! All times are milliseconds of virtual time since the start of the cluster, unless said
//! otherwise.

pub mod balancer;
pub mod cluster;
pub mod digest;
pub mod disk;
pub mod event_queue;
pub mod history;
pub mod invariants;
pub mod medium;
pub mod network;
pub mod scenario;

/// The number of a simulated node, from 0 in the order in which nodes were added.
pub type NodeIndex = usize;
