//! How an attempt ends.

/// The result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The work was done.
    Served,
    /// Rejected before any work, with the advice when to retry, 0 if there was none.
    Rejected {
        /// In nanoseconds from now.
        retry_after_ns: u64,
    },
    /// An error, or no response.
    Failed,
    /// No balancer has seen it.
    NotSent,
}
