//! Merging updates into the records of a machine: the outcome of an update, and the interval at
//! which records are repeated to machines that may have missed an update.

/// The interval in milliseconds at which a machine repeats to the others in full what it knows.
/// In between it sends differences only. Machines in contact therefore agree again this long after
/// a message was lost, whatever it held.
pub const REFRESH_INTERVAL_MS: u64 = 5_000;

/// Returns whether a record that was last sent in full at `sent_at_ms` has to be sent again; 0 if it
/// was never sent.
pub(crate) fn is_refresh_due(now_ms: u64, sent_at_ms: u64) -> bool {
    sent_at_ms == 0 || now_ms >= sent_at_ms + REFRESH_INTERVAL_MS
}

/// The effect of an update on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record is unchanged, because the update is already known or older than the record.
    Stale,
    /// The record is confirmed without changes: the upstream or balancer is still alive.
    Renewed,
    /// The record has changed, and other machines and balancers must be notified.
    Changed,
}
