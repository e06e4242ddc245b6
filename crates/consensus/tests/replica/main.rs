//! Tests of a single replica. Each test passes in messages and completes the writes itself.

mod append_entries;
mod builders;
mod durable_report;
mod elections;
mod install_snapshot;
mod leader;
mod membership_changes;
mod snapshot_transfer;
