//! What merging an update into the records of a machine has done.

/// The effect of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// None: the update was late or is known.
    Stale,
    /// The record is only confirmed: its subject is still alive.
    Renewed,
    /// The record has changed, and others must be notified.
    Changed,
}
