//! One pace for a place that returns, shared by all that send to it, without a leader.
//!
//! Each sender may send what it had answered in time itself, and somewhat more ([`Pace`]). So the sum over all senders goes
//! by what the place has proven that it can end, whoever hears whom: parts of a fleet that are cut off from each other,
//! or that take each other for gone, add up to the same. What a sender needs less it may lease to others ([`Lease`]);
//! who gives gives it up first, and takes it back only when nobody can still be using it. A lease that is lost, late or comes
//! twice can make the sum smaller, never larger. What is told in facts is a [`Report`].
//!
//! Nothing here does input or output or reads a clock, and nothing here chooses a server: it says how much of its new
//! work a sender may send to a place. The sum, with its proof, is in `docs/slow-start.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod lease;
mod pace;
mod proof;
mod report;
mod settings;

pub use lease::{Lease, Leases};
pub use pace::{Pace, Phase, Work};
pub use proof::{Proof, Rates};
pub use report::{Report, ReportError};
pub use settings::{Settings, SettingsError};
