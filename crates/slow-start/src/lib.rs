//! Slow start for a recovering destination, shared by all its senders without a leader.
//!
//! Each sender limits its own rate to the rate at which the destination has answered its requests
//! on time, multiplied by a growth factor ([`RateController`]). The sum over all senders therefore
//! follows the proven throughput of the destination, independent of the messages that arrive. This
//! also holds if the fleet is partitioned, or if senders consider each other stopped.
//!
//! A sender can lease a part of its rate that it does not need to other senders ([`Lease`]). The
//! lender reduces its own rate first, and reclaims the leased rate only when the borrower can no
//! longer use it. A lost, late or duplicated lease can reduce the sum of the rates but never raises
//! it. Senders exchange leases and rates in [`Report`]s.
//!
//! The crate does no I/O, does not read a clock and does not select servers. `docs/slow-start.md`
//! contains the proof of the bound. Rates are in requests per second; times are in nanoseconds.

mod lease;
mod rate_controller;
mod report;
mod settings;
mod throughput;

pub use lease::{Lease, LeaseTable, ReceivedLease};
pub use rate_controller::{Phase, RateController, ReceivedReport, RequestWeight, UnmetDemand};
pub use report::{Report, ReportError};
pub use settings::{Settings, SettingsError};
pub use throughput::{Outcome, Rates, ThroughputMeter};
