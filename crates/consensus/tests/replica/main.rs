//! Single messages to a single replica whose disk is fast.

mod append_entries;
mod builders;
mod durable_report;
mod elections;
mod install_snapshot;
mod leader;
mod membership_changes;
mod snapshot_transfer;
