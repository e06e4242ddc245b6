//! The coordination service in virtual time (deterministic simulation testing).
//!
//! A [`cluster::Cluster`] runs machines of the service over the simulated network and disks of
//! `woadstall-control-simulation`, with processes that are killed, lose power, freeze, are shut down
//! and replaced. [`clients`] call it as applications do: they stand outside all partitions, turn to
//! another machine after a second without an answer, and resend what is unclear. All that they ask
//! and hear is recorded as a [`history`], over which the [`checks`] decide whether a promise was
//! broken. A [`scenario`] is drawn from a seed.
//!
//! All times are milliseconds of virtual time since the start of the cluster, unless said
//! otherwise.

pub mod checks;
pub mod clients;
pub mod cluster;
pub mod history;
pub mod scenario;
