//! The outcome of merging an update into the records of a machine.

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
