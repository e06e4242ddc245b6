//! Deterministic simulation testing of the coordination service in virtual time.
//!
//! A [`cluster::Cluster`] runs machines of the service over the simulated network and disks of
//! `woadstall-control-simulation`. Processes are killed, lose power, freeze, are shut down and are
//! replaced. [`clients`] call the service as applications do: partitions do not affect them, they
//! switch to another machine after one second without an answer, and they resend requests without a
//! clear answer. All requests and answers are recorded as a [`history`]. The [`checks`] find
//! violations of the service's guarantees in the history. A [`scenario`] takes all random choices
//! from a seed.
//!
//! All times are milliseconds of virtual time since the start of the cluster, unless documented
//! otherwise.

pub mod checks;
pub mod clients;
pub mod cluster;
pub mod history;
pub mod scenario;
