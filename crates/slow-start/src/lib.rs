//! A common slow start for a recovering destination, shared by all that send to it, without a
//! leader.
//!
//! Each sender limits its own rate to what the destination has answered on time for it, times a
//! growth factor ([`RateController`]). So the sum over all senders follows the throughput that the
//! destination has proven, whatever messages arrive: the parts of a partitioned fleet, or senders
//! that take each other for stopped, add up to the same. A sender can lease the rate that it does not
//! need to others ([`Lease`]): the lender reduces its own rate first, and takes the rate back only
//! when the borrower can no longer be using it. A lease that is lost, late or duplicated can reduce
//! the sum and never raise it. Senders exchange [`Report`]s.
//!
//! Nothing here does I/O or reads a clock, and nothing here chooses a server. `docs/slow-start.md`
//! has the proof of the bound. Rates are in requests a second; times are in nanoseconds.

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
